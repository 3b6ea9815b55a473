"""Tests of maker groups that two instances own at the same time.

They run in virtual time, so that the order of events is the same in each run.
"""

from __future__ import annotations

import asyncio
import random
from types import SimpleNamespace
from typing import TYPE_CHECKING

import pytest

from greengagelatch.peers import Member, MemberState
from greengagelatch.relay.batches import CrossRequestBatching
from greengagelatch.relay.groups import CapacityBasedOwnership, MakerGroup
from greengagelatch.relay.incarnations import Incarnation
from greengagelatch.relay.pieces import Bundle, Piece, PieceFailure
from greengagelatch.relay.targets import ListedTarget
from greengagelatch_entry.relay.bundle_quarantine import DisabledBundleQuarantine
from greengagelatch_entry.relay.decisions import DecisionLog
from greengagelatch_entry.relay.forwarding_stage_executor import ForwardingStageExecutor
from greengagelatch_entry.relay.local_stage_executor import LocalStageExecutor
from greengagelatch_entry.relay.ownership import Ownership
from greengagelatch_entry.relay.prometheus import PrometheusMetrics
from greengagelatch_entry.relay.stage_groups import MakerGroups
from greengagelatch_entry.relay.stage_pool import StagePool
from greengagelatch_lab.stage_load.models import (
    Maker,
    ModelCodec,
    ModelConnections,
    ResultTable,
    StoredResult,
)
from greengagelatch_lab.stage_load.shapes import MakerShape, StageShape
from greengagelatch_lab.stage_load.trial import LoopClock

if TYPE_CHECKING:
    from collections.abc import Callable

pytestmark = pytest.mark.looptime

SERVICE = "ledger"
WHOLE = MakerGroup(SERVICE)
SHAPE = MakerShape(
    name=SERVICE, count=1, batch=10, item_seconds=0.01, result_memory_bytes=1_000_000
)
PROFILE = SHAPE.create_profile()
STAGE = StageShape(service=SERVICE, result_bytes=100)
#: seconds between the first and the second owner's call, each of which takes about
#: 0.25 s
CALL_OFFSET = 0.02
#: seconds after which the membership counts as stable: longer than a draining instance
#: continues
STABLE_SECONDS = 30.0


class World:
    """A maker that processes one call at a time, in order of arrival."""

    def __init__(self) -> None:
        self.clock = LoopClock()
        self.metrics = PrometheusMetrics()
        self.decisions = DecisionLog(clock=self.clock, metrics=self.metrics)
        self.results = ResultTable()
        source = random.Random(1)
        self.maker = Maker(SHAPE, "m:1", "north", self.results, source)
        self.links = ModelConnections(
            {"m:1": self.maker}, self.results, find_stage=lambda piece: STAGE
        )
        self.target = ListedTarget(
            incarnation=Incarnation("m", 1),
            service=SERVICE,
            address="m:1",
            data_centre="north",
        )
        self.makers = (self.target,)
        self.book = SimpleNamespace(
            list_service=lambda service: self.makers,
            accepts=lambda incarnation: True,
            is_superseded=lambda incarnation: False,
            has_superseded=lambda incarnations: False,
        )

    def create_pool(
        self, is_exclusive: Callable[[], bool] = lambda: False
    ) -> StagePool:
        budgets = SimpleNamespace(
            record_request=lambda service: None,
            count_left=lambda service: 99,
            try_spend=lambda service: None,
        )
        return StagePool(
            WHOLE,
            list_makers=lambda: self.makers,
            find_profile=lambda: PROFILE,
            is_exclusive=is_exclusive,
            quarantine=DisabledBundleQuarantine(),
            policy=CrossRequestBatching(),
            target_table=self.book,
            connections=self.links,
            codec=ModelCodec(),
            budgets=budgets,
            clock=self.clock,
            metrics=self.metrics,
            decisions=self.decisions,
        )

    def create_executor(
        self, members: dict[str, MemberState]
    ) -> ForwardingStageExecutor:
        """Return the executor of the first of ``members``, with its view of them."""
        peers = SimpleNamespace(
            instance_id=next(iter(members)),
            members=lambda: tuple(
                Member(instance_id=name, data_centre="north", address="", state=state)
                for name, state in members.items()
            ),
            handle=lambda kind, handler: None,
        )
        ownership = Ownership(peers=peers, clock=self.clock, decisions=self.decisions)
        executor = ForwardingStageExecutor(
            local=LocalStageExecutor(
                create_pool=lambda group: self.create_pool(
                    lambda: ownership.is_exclusive(group)
                )
            ),
            groups=MakerGroups(
                rule=CapacityBasedOwnership(),
                target_table=self.book,
                list_members=peers.members,
                find_profile=lambda service: PROFILE,
            ),
            ownership=ownership,
            peers=peers,
            data_centre="north",
            find_profile=lambda service: PROFILE,
            clock=self.clock,
            random_source=random.Random(1),
            metrics=self.metrics,
            decisions=self.decisions,
        )
        # initialises the membership view
        executor.estimate_wait(SERVICE)
        return executor

    def add_input(self, handle: str) -> None:
        until = self.clock.now() + STABLE_SECONDS
        self.results.held[handle] = StoredResult(self.maker, 100, until)
        self.maker.used_bytes += 100

    def create_bundle(self, request_id: str) -> Bundle:
        """Return a bundle of four pieces that read one result."""
        handle = f"m:1/of-{request_id}"
        self.add_input(handle)
        pieces = tuple(
            Piece(request_id=request_id, stage=1, segment=one, inputs=(handle,))
            for one in range(4)
        )
        return Bundle(
            bundle_id=f"{request_id}/1",
            service=SERVICE,
            pieces=pieces,
            result_bytes=100,
            soft_deadline=self.clock.now() + 3.0,
            hard_deadline=self.clock.now() + 5.0,
        )

    async def execute_both(self, first, second) -> list[set[PieceFailure | None]]:
        """Let two executors or pools make a bundle each; return the failures of both.

        The inputs of the pieces are freed as soon as they are reported as read.
        """
        tasks = []
        for number, maker in enumerate((first, second)):
            bundle = self.create_bundle(f"r-{number}")
            handle = bundle.pieces[0].inputs[0]
            on_read = self._create_freeing(handle)
            tasks.append(asyncio.create_task(maker.execute(bundle, on_read)))
            await asyncio.sleep(CALL_OFFSET)
        made = await asyncio.gather(*tasks)
        return [{one.failure for one in results} for results in made]

    def _create_freeing(self, handle: str):
        return lambda: self.results.drop(handle)


@pytest.fixture
async def world():
    return World()


async def test_second_of_two_owners_keeps_the_inputs_of_its_pieces(world):
    """Guard against inputs that are freed before a queued call has read them.

    With two owners, the second one's call waits at the maker behind the first one's.
    Each counted only its own calls at the maker, so that the inputs were reported as
    read and freed 0.1 s after the call was sent. During restarts a tenth of the pieces
    failed as "input gone", and their requests with lost stage results.
    """
    made = await world.execute_both(world.create_pool(), world.create_pool())
    assert made == [{None}, {None}]


async def test_next_owner_waits_for_the_calls_of_one_that_leaves(world):
    """Guard against inputs freed too early while an owner drains.

    The draining owner still executes bundles of its peers, which send newer bundles to
    the next owner.
    """
    members = {"entry-1": MemberState.LEAVING, "entry-2": MemberState.ALIVE}
    leaving = world.create_executor(members)
    before = {"entry-2": MemberState.ALIVE, "entry-1": MemberState.ALIVE}
    following = world.create_executor(before)
    await asyncio.sleep(STABLE_SECONDS)
    before["entry-1"] = MemberState.LEAVING
    # as a peer's bundle: those it gathers itself
    made = await world.execute_both(leaving._local, following)
    assert made == [{None}, {None}]


async def test_newcomer_waits_for_the_calls_of_the_owner_before(world):
    """Guard against inputs freed too early by a new owner.

    An instance joins and becomes the owner while the previous owner has a call at the
    maker.
    """
    members = {"entry-2": MemberState.ALIVE}
    before = world.create_executor(members)
    await asyncio.sleep(STABLE_SECONDS)
    newcomer = world.create_executor({"entry-1": MemberState.ALIVE})
    made = await world.execute_both(before, newcomer)
    assert made == [{None}, {None}]


async def test_owner_before_waits_for_the_calls_of_a_newcomer(world):
    """Guard against inputs freed too early by a previous owner.

    An instance joins and becomes the owner; the previous owner knows it and still has
    queued bundles of its peers.
    """
    members = {"entry-2": MemberState.ALIVE}
    before = world.create_executor(members)
    await asyncio.sleep(STABLE_SECONDS)
    members["entry-1"] = MemberState.ALIVE
    newcomer = world.create_executor(dict(reversed(members.items())))
    made = await world.execute_both(newcomer._local, before._local)
    assert made == [{None}, {None}]


async def test_inputs_of_an_exclusive_owner_are_freed_during_its_call(world):
    """Guard against inputs that occupy makers longer than needed.

    If a long-standing owner kept the inputs until the end of a call that started at
    once, other calls would wait for room although the membership is stable.
    """
    executor = world.create_executor({"entry-1": MemberState.ALIVE})
    await asyncio.sleep(STABLE_SECONDS)
    bundle = world.create_bundle("r-1")
    read = []
    task = asyncio.create_task(
        executor.execute(bundle, lambda: read.append(task.done()))
    )
    assert [one.failure for one in await task] == [None] * 4
    assert read == [False]


async def test_inputs_of_a_new_owner_are_kept_until_its_call_has_ended(world):
    members = {"entry-1": MemberState.ALIVE, "entry-2": MemberState.ALIVE}
    executor = world.create_executor(members)
    await asyncio.sleep(STABLE_SECONDS)
    del members["entry-2"]
    bundle = world.create_bundle("r-1")
    read = []
    results = await executor._local.execute(bundle, lambda: read.append(True))
    assert [one.failure for one in results] == [None] * 4
    assert read == []
