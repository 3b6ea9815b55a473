"""Tests of stage work of which two instances believe that they gather it.

Times are those of a virtual loop, so the order of events is the same in each run.
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
from greengagelatch_entry.relay.decisions import DecisionLog
from greengagelatch_entry.relay.desk import LocalDesk
from greengagelatch_entry.relay.owned_desk import OwnedDesk
from greengagelatch_entry.relay.ownership import Ownership
from greengagelatch_entry.relay.piece_suspects import NoSuspects
from greengagelatch_entry.relay.prometheus import PrometheusMetrics
from greengagelatch_entry.relay.stage_groups import MakerGroups
from greengagelatch_entry.relay.stage_pool import StagePool
from greengagelatch_lab.stage_load.models import (
    Maker,
    ModelCodec,
    ModelLinks,
    Result,
    Results,
)
from greengagelatch_lab.stage_load.shapes import MakerShape, StageShape
from greengagelatch_lab.stage_load.trial import LoopClock

if TYPE_CHECKING:
    from collections.abc import Callable

pytestmark = pytest.mark.looptime

SERVICE = "ledger"
WHOLE = MakerGroup(SERVICE)
SHAPE = MakerShape(
    name=SERVICE, count=1, batch=10, item_seconds=0.01, room_bytes=1_000_000
)
PROFILE = SHAPE.create_profile()
STAGE = StageShape(service=SERVICE, result_bytes=100)
#: seconds by which the second owner's call comes after the first one's, of about
#: 0.25 that each takes
APART = 0.02
#: seconds after which what an instance knows of others is believed: longer than an
#: instance that leaves goes on
LONG = 30.0


class World:
    """One maker, which works on one call at a time, in the order of arrival."""

    def __init__(self) -> None:
        self.clock = LoopClock()
        self.metrics = PrometheusMetrics()
        self.decisions = DecisionLog(clock=self.clock, metrics=self.metrics)
        self.results = Results()
        source = random.Random(1)
        self.maker = Maker(SHAPE, "m:1", "north", self.results, source)
        self.links = ModelLinks(
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

    def create_pool(self, is_sole: Callable[[], bool] = lambda: False) -> StagePool:
        budgets = SimpleNamespace(
            note_request=lambda service: None,
            count_left=lambda service: 99,
            take=lambda service: None,
        )
        return StagePool(
            WHOLE,
            list_makers=lambda: self.makers,
            find_profile=lambda: PROFILE,
            is_sole=is_sole,
            suspects=NoSuspects(),
            policy=CrossRequestBatching(),
            book=self.book,
            links=self.links,
            codec=ModelCodec(),
            budgets=budgets,
            clock=self.clock,
            metrics=self.metrics,
            decisions=self.decisions,
        )

    def create_desk(self, members: dict[str, MemberState]) -> OwnedDesk:
        """Return the desk of the first of ``members``, as that one sees them."""
        peers = SimpleNamespace(
            instance_id=next(iter(members)),
            members=lambda: tuple(
                Member(instance_id=name, data_centre="north", address="", state=state)
                for name, state in members.items()
            ),
            handle=lambda kind, handler: None,
        )
        ownership = Ownership(peers=peers, clock=self.clock, decisions=self.decisions)
        desk = OwnedDesk(
            local=LocalDesk(
                create_pool=lambda group: self.create_pool(
                    lambda: ownership.is_sole(group)
                )
            ),
            groups=MakerGroups(
                rule=CapacityBasedOwnership(),
                book=self.book,
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
        # takes note of who is there
        desk.estimate_wait(SERVICE)
        return desk

    def add_input(self, handle: str) -> None:
        until = self.clock.now() + LONG
        self.results.held[handle] = Result(self.maker, 100, until)
        self.maker.used += 100

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

    async def make_both(self, first, second) -> list[set[PieceFailure | None]]:
        """Have two desks or pools make a bundle each; return what failed of it.

        What the pieces read is freed as soon as it is said to be read.
        """
        tasks = []
        for number, maker in enumerate((first, second)):
            bundle = self.create_bundle(f"r-{number}")
            handle = bundle.pieces[0].inputs[0]
            note_read = self._create_freeing(handle)
            tasks.append(asyncio.create_task(maker.make(bundle, note_read)))
            await asyncio.sleep(APART)
        made = await asyncio.gather(*tasks)
        return [{one.failure for one in results} for results in made]

    def _create_freeing(self, handle: str):
        return lambda: self.results.drop(handle)


@pytest.fixture
async def world():
    return World()


async def test_second_of_two_owners_keeps_the_inputs_of_its_pieces(world):
    """Symptom: a tenth of the pieces fail as "input gone" while instances restart,
    and requests end with "stage results were lost again and again".

    Sequence: two instances gather the pieces of one service; the call of the second
    waits at the maker behind that of the first; 0.1 s after it was sent its inputs
    are said to be read and are freed; its turn comes.
    Cause: each counts only its own calls at a maker.
    """
    made = await world.make_both(world.create_pool(), world.create_pool())
    assert made == [{None}, {None}]


async def test_next_owner_waits_for_the_calls_of_one_that_leaves(world):
    """Symptom and cause as above.

    Sequence: the owner of a service begins to leave, with bundles of its peers in
    work; the next owner is asked for the newer ones.
    """
    members = {"entry-1": MemberState.LEAVING, "entry-2": MemberState.ALIVE}
    leaving = world.create_desk(members)
    before = {"entry-2": MemberState.ALIVE, "entry-1": MemberState.ALIVE}
    following = world.create_desk(before)
    await asyncio.sleep(LONG)
    before["entry-1"] = MemberState.LEAVING
    # as a peer's bundle: those it gathers itself
    made = await world.make_both(leaving._local, following)
    assert made == [{None}, {None}]


async def test_newcomer_waits_for_the_calls_of_the_owner_before(world):
    """Symptom and cause as above.

    Sequence: an instance comes and owns a service; the one that owned it before has
    a call at the maker.
    """
    members = {"entry-2": MemberState.ALIVE}
    before = world.create_desk(members)
    await asyncio.sleep(LONG)
    newcomer = world.create_desk({"entry-1": MemberState.ALIVE})
    made = await world.make_both(before, newcomer)
    assert made == [{None}, {None}]


async def test_owner_before_waits_for_the_calls_of_a_newcomer(world):
    """Symptom and cause as above.

    Sequence: an instance comes and owns a service; the one that owned it before
    knows it, and still has bundles of its peers that wait for a maker.
    """
    members = {"entry-2": MemberState.ALIVE}
    before = world.create_desk(members)
    await asyncio.sleep(LONG)
    members["entry-1"] = MemberState.ALIVE
    newcomer = world.create_desk(dict(reversed(members.items())))
    made = await world.make_both(newcomer._local, before._local)
    assert made == [{None}, {None}]


async def test_inputs_of_a_sole_owner_are_freed_while_its_call_is_made(world):
    """Symptom: calls wait for room on quiet days, though no instance came or went.

    Sequence: an instance has owned a service for long; its call begins at once.
    Cause: what pieces read lies at its makers until their call has ended.
    """
    desk = world.create_desk({"entry-1": MemberState.ALIVE})
    await asyncio.sleep(LONG)
    bundle = world.create_bundle("r-1")
    read = []
    task = asyncio.create_task(desk.make(bundle, lambda: read.append(task.done())))
    assert [one.failure for one in await task] == [None] * 4
    assert read == [False]


async def test_inputs_of_a_new_owner_are_kept_until_its_call_has_ended(world):
    members = {"entry-1": MemberState.ALIVE, "entry-2": MemberState.ALIVE}
    desk = world.create_desk(members)
    await asyncio.sleep(LONG)
    del members["entry-2"]
    bundle = world.create_bundle("r-1")
    read = []
    results = await desk._local.make(bundle, lambda: read.append(True))
    assert [one.failure for one in results] == [None] * 4
    assert read == []
