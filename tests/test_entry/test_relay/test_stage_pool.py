"""Tests of greengagelatch_entry.relay.stage_pool, in virtual time."""

from __future__ import annotations

import asyncio
import random
from types import SimpleNamespace

import pytest

from greengagelatch.relay.batches import BatchPolicy, CrossRequestBatching
from greengagelatch.relay.groups import MakerGroup
from greengagelatch.relay.incarnations import Incarnation
from greengagelatch.relay.pieces import Bundle, Piece, PieceFailure
from greengagelatch.relay.targets import ListedTarget
from greengagelatch_entry.relay.decisions import DecisionLog
from greengagelatch_entry.relay.piece_suspects import NoSuspects
from greengagelatch_entry.relay.prometheus import PrometheusMetrics
from greengagelatch_entry.relay.stage_pool import LOOK_AGAIN, StagePool
from greengagelatch_lab.stage_load.models import Maker, ModelCodec, ModelLinks, Results
from greengagelatch_lab.stage_load.shapes import MakerShape, StageShape
from greengagelatch_lab.stage_load.trial import LoopClock

pytestmark = pytest.mark.looptime

SERVICE = "ledger"
SHAPE = MakerShape(
    name=SERVICE, count=1, batch=10, item_seconds=0.01, room_bytes=1_000_000
)
PROFILE = SHAPE.create_profile()
STAGE = StageShape(service=SERVICE, result_bytes=100)
#: seconds of patience of the bundles here
PATIENCE = 60.0


class CountingPolicy(BatchPolicy):
    """Decides like the policy in use, and counts the decisions."""

    def __init__(self) -> None:
        self.plans = 0
        self._policy = CrossRequestBatching()
        #: the requests of each call
        self.calls: list[set[str]] = []

    def plan(self, bundles, makers, profile, now):
        self.plans += 1
        calls = self._policy.plan(bundles, makers, profile, now)
        self.calls += [{one.request_id for one, _ in call.pieces} for call in calls]
        return calls


class NamedSuspects(NoSuspects):
    """Suspects and holds the requests whose names it is given."""

    def __init__(self) -> None:
        self.suspected: set[str] = set()
        self.held: set[str] = set()

    def has_any(self) -> bool:
        return bool(self.suspected or self.held)

    def is_suspect(self, bundle: Bundle) -> bool:
        return bundle.request_id in self.suspected

    def is_held(self, bundle: Bundle) -> bool:
        return bundle.request_id in self.held


class World:
    """One maker, and the pool of its service."""

    def __init__(self) -> None:
        self.clock = LoopClock()
        self.policy = CountingPolicy()
        self.suspects = NamedSuspects()
        self.results = Results()
        self.maker = Maker(SHAPE, "m:1", "north", self.results, random.Random(1))
        listed = (
            ListedTarget(
                incarnation=Incarnation("m", 1),
                service=SERVICE,
                address="m:1",
                data_centre="north",
            ),
        )
        metrics = PrometheusMetrics()
        self.pool = StagePool(
            MakerGroup(SERVICE),
            list_makers=lambda: listed,
            find_profile=lambda: PROFILE,
            is_sole=lambda: False,
            suspects=self.suspects,
            policy=self.policy,
            book=SimpleNamespace(
                list_service=lambda service: listed,
                accepts=lambda incarnation: True,
                is_superseded=lambda incarnation: False,
                has_superseded=lambda incarnations: False,
            ),
            links=ModelLinks(
                {"m:1": self.maker}, self.results, find_stage=lambda piece: STAGE
            ),
            codec=ModelCodec(),
            budgets=SimpleNamespace(
                note_request=lambda service: None,
                count_left=lambda service: 99,
                take=lambda service: None,
            ),
            clock=self.clock,
            metrics=metrics,
            decisions=DecisionLog(clock=self.clock, metrics=metrics),
        )

    def ask(
        self, number: int, patience: float = PATIENCE, pieces: int = 1
    ) -> asyncio.Task:
        now = self.clock.now()
        name = f"r{number}"
        bundle = Bundle(
            bundle_id=f"{name}/0",
            service=SERVICE,
            pieces=tuple(
                Piece(request_id=name, stage=0, segment=one, key="k")
                for one in range(pieces)
            ),
            result_bytes=100,
            soft_deadline=now + patience,
            hard_deadline=now + patience,
        )
        return asyncio.create_task(self.pool.make(bundle, lambda: None))


@pytest.fixture
async def world():
    world = World()
    yield world
    await world.pool.close()


async def test_bundles_that_come_while_no_maker_is_idle_cost_no_decision(world):
    """Symptom: the instance that gathers a service's pieces is late with all it does.

    Sequence: bundles come by the hundred while every maker is at work.
    Cause: for each, all that wait were put in order, although no call could begin;
    the work grew with the square of the queue.
    """
    tasks = [world.ask(0)]
    await asyncio.sleep(0.01)
    before = world.policy.plans
    tasks += [world.ask(number) for number in range(1, 200)]
    await asyncio.sleep(0.1)
    assert world.policy.plans == before
    await asyncio.gather(*tasks)


async def test_next_call_begins_as_soon_as_the_maker_is_idle(world):
    tasks = [world.ask(number) for number in range(12)]
    await asyncio.gather(*tasks)
    # the first alone, then a full call and the one that is left
    shortest = 3 * SHAPE.call_seconds + 12 * SHAPE.item_seconds
    assert world.clock.now() < shortest + 0.05


async def test_those_that_come_at_the_same_moment_see_each_other_wait(world):
    """Symptom: of requests that come together more are begun than can be on time.

    Sequence: the queue was counted, then several bundles come within milliseconds.
    Cause: all of them are told the length that was counted before the first.
    """
    tasks = [world.ask(number) for number in range(12)]
    await asyncio.sleep(0.01)
    first = world.pool.estimate_wait().total
    tasks.append(world.ask(12, pieces=10))
    await asyncio.sleep(0.001)
    call = PROFILE.estimate_seconds(PROFILE.batch)
    assert world.pool.estimate_wait().total == pytest.approx(first + call)
    await asyncio.gather(*tasks)


async def test_bundle_that_can_not_be_made_in_time_is_given_up_while_makers_work(world):
    tasks = [world.ask(number) for number in range(40)]
    hopeless = world.ask(40, patience=0.3)
    await asyncio.sleep(3 * LOOK_AGAIN)
    assert hopeless.done()
    assert {one.failure for one in hopeless.result()} == {PieceFailure.LATE}
    await asyncio.gather(*tasks)


async def test_bundle_under_which_makers_ended_shares_calls_with_none(world):
    """Guards against sound requests whose calls a suspected one ends."""
    world.suspects.suspected = {"r3"}
    await asyncio.gather(*(world.ask(number) for number in range(8)))
    shared = [call for call in world.policy.calls if "r3" in call]
    assert shared == [{"r3"}]
    assert set().union(*world.policy.calls) == {f"r{number}" for number in range(8)}


async def test_held_bundle_goes_to_no_maker(world):
    """Guards against a maker that ends under a bundle known to end makers."""
    world.suspects.held = {"r1"}
    held, sound = await asyncio.gather(world.ask(1), world.ask(2))
    assert [one.failure for one in held] == [PieceFailure.HELD]
    assert [one.failure for one in sound] == [None]
    assert world.policy.calls == [{"r2"}]
