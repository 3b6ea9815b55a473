"""Tests of the maker statistics that calls update, in virtual time."""

from __future__ import annotations

import asyncio
import random
from types import SimpleNamespace

import pytest

from greengagelatch.relay.batches import PlannedCall
from greengagelatch.relay.incarnations import Incarnation
from greengagelatch.relay.pieces import Bundle, Piece, PieceFailure
from greengagelatch.relay.result_memory import ResultMemory
from greengagelatch.relay.targets import ListedTarget
from greengagelatch_entry.relay.maker_calls import MADE, UNSENT, MakerCaller
from greengagelatch_entry.relay.makers import Maker
from greengagelatch_entry.relay.prometheus import PrometheusMetrics
from greengagelatch_entry.relay.target_connections import NotSentError
from greengagelatch_lab.stage_load import models
from greengagelatch_lab.stage_load.shapes import MakerShape, StageShape
from greengagelatch_lab.stage_load.trial import LoopClock

pytestmark = pytest.mark.looptime

SHAPE = MakerShape(
    name="ledger", count=1, batch=10, item_seconds=0.01, result_memory_bytes=10_000
)
PROFILE = SHAPE.create_profile()
#: timeout of a call, in seconds
CALL_TIMEOUT = 5.0


class World:
    """A simulated maker, and the local state of it."""

    def __init__(self) -> None:
        self.clock = LoopClock()
        self.results = models.ResultTable()
        self.model = models.Maker(SHAPE, "m:1", "north", self.results, random.Random(1))
        target = ListedTarget(
            incarnation=Incarnation("m", 1),
            service="ledger",
            address="m:1",
            data_centre="north",
        )
        self.maker = Maker(target, PROFILE, ResultMemory(10_000, 4.0))
        stage = StageShape(service="ledger", result_bytes=100)
        self.caller = MakerCaller(
            connections=models.ModelConnections(
                {"m:1": self.model}, self.results, lambda _: stage
            ),
            codec=models.ModelCodec(),
            target_table=SimpleNamespace(accepts=lambda incarnation: True),
            clock=self.clock,
            metrics=PrometheusMetrics(),
        )

    async def call(self, *inputs: str) -> set[PieceFailure | None]:
        """Make four pieces that read ``inputs`` and return their distinct failures."""
        now = self.clock.now()
        pieces = tuple(
            Piece(request_id="r", stage=1, segment=one, key="k", inputs=inputs)
            for one in range(4)
        )
        bundle = Bundle(
            bundle_id="r/1",
            service="ledger",
            pieces=pieces,
            result_bytes=100,
            soft_deadline=now + CALL_TIMEOUT,
            hard_deadline=now + CALL_TIMEOUT,
        )
        call = PlannedCall(Incarnation("m", 1), [(bundle, piece) for piece in pieces])
        self.maker.start_call(len(pieces), now)
        end = await self.caller.call(self.maker, call, CALL_TIMEOUT, now)
        assert end.outcome == MADE
        return {one.failure for one in end.results}

    def find_slowness(self) -> float:
        return self.maker.find_slowness(self.clock.now())


@pytest.fixture
async def world():
    return World()


async def test_call_whose_inputs_are_gone_does_not_make_its_maker_seem_fast(world):
    """Guard against makers that attract calls because pieces fail there quickly.

    If the inputs of all pieces of a call are lost, the maker answers early. Measured
    against the time for making the pieces, it would seem fast.
    """
    assert await world.call("nowhere/1") == {PieceFailure.GONE}
    assert world.find_slowness() == 1.0


async def test_call_without_room_does_not_make_its_maker_seem_fast(world):
    world.model.used_bytes = 10_000.0
    assert await world.call() == {PieceFailure.ROOM}
    assert world.find_slowness() == 1.0


async def test_call_that_waited_in_vain_shows_that_its_maker_is_slow(world):
    async with world.model._lock:
        task = asyncio.create_task(world.call("nowhere/1"))
        await asyncio.sleep(1.0)
    assert await task == {PieceFailure.GONE}
    assert world.find_slowness() > 2.0
    assert world.maker.calls == 0


async def test_call_made_in_half_the_time_shows_that_its_maker_is_fast(world):
    for _ in range(3):
        assert await world.call() == {None}
    usual = world.find_slowness()
    world.model.shape = MakerShape(
        name="ledger",
        count=1,
        batch=10,
        item_seconds=0.005,
        result_memory_bytes=10_000,
        call_seconds=0.1,
    )
    assert await world.call() == {None}
    assert world.find_slowness() < usual - 0.1


@pytest.mark.parametrize(
    ("allowed", "expected"),
    [
        ((None, None), None),
        ((None, {"north"}), {"north"}),
        (({"north", "south"}, {"south", "east"}), {"south"}),
        (({"north"}, {"south"}), set()),
    ],
)
async def test_call_may_pass_what_all_its_requests_allow(world, allowed, expected):
    """Guard against pieces that leave the region of their request by a shared call."""
    passed = []

    async def send(destination, outbound, **details):
        passed.append(destination)
        raise NotSentError("not sent")

    now = world.clock.now()
    rows = []
    for number, one in enumerate(allowed):
        piece = Piece(request_id=f"r-{number}", stage=1, segment=0)
        bundle = Bundle(
            bundle_id=f"r-{number}/1",
            service="ledger",
            pieces=(piece,),
            result_bytes=100,
            soft_deadline=now + CALL_TIMEOUT,
            hard_deadline=now + CALL_TIMEOUT,
            data_centres=None if one is None else frozenset(one),
        )
        rows.append((bundle, piece))
    caller = MakerCaller(
        connections=SimpleNamespace(send=send, close_idle=lambda incarnation: None),
        codec=models.ModelCodec(),
        target_table=SimpleNamespace(
            is_available=lambda incarnation: True,
            has_superseded=lambda incarnations: False,
        ),
        clock=world.clock,
        metrics=PrometheusMetrics(),
    )
    world.maker.start_call(len(rows), now)
    call = PlannedCall(Incarnation("m", 1), rows)
    assert (await caller.call(world.maker, call, CALL_TIMEOUT, now)).outcome == UNSENT
    (destination,) = passed
    assert destination.data_centres == expected
    assert destination.service == "ledger"
    assert destination.data_centre == "north"
