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
from greengagelatch_entry.relay.bundle_quarantine import DisabledBundleQuarantine
from greengagelatch_entry.relay.decisions import DecisionLog
from greengagelatch_entry.relay.prometheus import PrometheusMetrics
from greengagelatch_entry.relay.stage_pool import RESCHEDULE_SECONDS, StagePool
from greengagelatch_lab.stage_load.models import (
    Maker,
    ModelCodec,
    ModelConnections,
    ResultTable,
)
from greengagelatch_lab.stage_load.shapes import MakerShape, StageShape
from greengagelatch_lab.stage_load.trial import LoopClock

pytestmark = pytest.mark.looptime

SERVICE = "ledger"
SHAPE = MakerShape(
    name=SERVICE, count=1, batch=10, item_seconds=0.01, result_memory_bytes=1_000_000
)
PROFILE = SHAPE.create_profile()
STAGE = StageShape(service=SERVICE, result_bytes=100)
#: default deadline of the bundles, in seconds
DEFAULT_TIMEOUT = 60.0


class CountingPolicy(BatchPolicy):
    """Applies the production policy and counts its decisions."""

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


class FakeQuarantine(DisabledBundleQuarantine):
    """Suspects and quarantines the requests with the given ids."""

    def __init__(self) -> None:
        self.suspected: set[str] = set()
        self.quarantined: set[str] = set()
        #: suspected ones that have to wait for their turn
        self.waiting: set[str] = set()

    def has_suspects(self) -> bool:
        return bool(self.suspected or self.quarantined)

    def is_suspect(self, bundle: Bundle) -> bool:
        return bundle.request_id in self.suspected

    def may_send(self, bundle: Bundle) -> bool:
        return bundle.request_id not in self.waiting

    def is_quarantined(self, bundle: Bundle) -> bool:
        return bundle.request_id in self.quarantined


class World:
    """A maker and the pool of its service."""

    def __init__(self) -> None:
        self.clock = LoopClock()
        self.policy = CountingPolicy()
        self.quarantine = FakeQuarantine()
        self.results = ResultTable()
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
            is_exclusive=lambda: False,
            quarantine=self.quarantine,
            policy=self.policy,
            target_table=SimpleNamespace(
                list_service=lambda service: listed,
                accepts=lambda incarnation: True,
                is_superseded=lambda incarnation: False,
                has_superseded=lambda incarnations: False,
            ),
            connections=ModelConnections(
                {"m:1": self.maker}, self.results, find_stage=lambda piece: STAGE
            ),
            codec=ModelCodec(),
            budgets=SimpleNamespace(
                record_request=lambda service: None,
                count_left=lambda service: 99,
                try_spend=lambda service: None,
            ),
            clock=self.clock,
            metrics=metrics,
            decisions=DecisionLog(clock=self.clock, metrics=metrics),
        )

    def submit(
        self, number: int, timeout: float = DEFAULT_TIMEOUT, pieces: int = 1
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
            soft_deadline=now + timeout,
            hard_deadline=now + timeout,
        )
        return asyncio.create_task(self.pool.execute(bundle, lambda: None))


@pytest.fixture
async def world():
    world = World()
    yield world
    await world.pool.close()


async def test_bundles_that_come_while_no_maker_is_idle_cost_no_decision(world):
    """Guard against an owner that is overloaded by planning calls.

    Each bundle that arrived while all makers were busy had the whole queue sorted,
    although no call could start, so that the work grew with the square of the queue.
    """
    tasks = [world.submit(0)]
    await asyncio.sleep(0.01)
    before = world.policy.plans
    tasks += [world.submit(number) for number in range(1, 200)]
    await asyncio.sleep(0.1)
    assert world.policy.plans == before
    await asyncio.gather(*tasks)


async def test_next_call_begins_as_soon_as_the_maker_is_idle(world):
    tasks = [world.submit(number) for number in range(12)]
    await asyncio.gather(*tasks)
    # one call with the first piece, one full call and one with the last piece
    shortest = 3 * SHAPE.call_seconds + 12 * SHAPE.item_seconds
    assert world.clock.now() < shortest + 0.05


async def test_those_that_come_at_the_same_moment_see_each_other_wait(world):
    """Guard against admitting more simultaneous requests than can be on time.

    Bundles that arrived within milliseconds of each other all got the wait that was
    computed before the first of them.
    """
    tasks = [world.submit(number) for number in range(12)]
    await asyncio.sleep(0.01)
    first = world.pool.estimate_wait().total
    tasks.append(world.submit(12, pieces=10))
    await asyncio.sleep(0.001)
    call = PROFILE.estimate_seconds(PROFILE.batch)
    assert world.pool.estimate_wait().total == pytest.approx(first + call)
    await asyncio.gather(*tasks)


async def test_bundle_that_cannot_be_made_in_time_fails_while_makers_are_busy(world):
    tasks = [world.submit(number) for number in range(40)]
    expired = world.submit(40, timeout=0.3)
    await asyncio.sleep(3 * RESCHEDULE_SECONDS)
    assert expired.done()
    assert {one.failure for one in expired.result()} == {PieceFailure.LATE}
    await asyncio.gather(*tasks)


async def test_bundle_that_crashed_makers_shares_no_calls(world):
    """Guard against calls of sound requests that a suspected one crashes."""
    world.quarantine.suspected = {"r3"}
    await asyncio.gather(*(world.submit(number) for number in range(8)))
    shared = [call for call in world.policy.calls if "r3" in call]
    assert shared == [{"r3"}]
    assert set().union(*world.policy.calls) == {f"r{number}" for number in range(8)}


async def test_quarantined_bundle_is_sent_to_no_maker(world):
    """Guard against sending a bundle that is known to crash makers."""
    world.quarantine.quarantined = {"r1"}
    held, sound = await asyncio.gather(world.submit(1), world.submit(2))
    assert [one.failure for one in held] == [PieceFailure.HELD]
    assert [one.failure for one in sound] == [None]
    assert world.policy.calls == [{"r2"}]


async def test_suspected_bundle_waits_for_its_turn(world):
    """Guards against several attempts that crash a maker each."""
    world.quarantine.suspected = {"r1"}
    world.quarantine.waiting = {"r1"}
    suspected, sound = world.submit(1), world.submit(2)
    await sound
    await asyncio.sleep(1.0)
    assert not suspected.done()
    world.quarantine.waiting = set()
    await suspected
    assert world.policy.calls == [{"r2"}, {"r1"}]
