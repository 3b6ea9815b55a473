"""Tests of greengagelatch_entry.relay.owned_desk with peers in one process."""

from __future__ import annotations

import asyncio
import random
from types import SimpleNamespace

import pytest
from result import Err, Ok

from greengagelatch.clock import ManualClock
from greengagelatch.peers import Member, MemberState, PeerError, PeerErrorKind
from greengagelatch.relay.groups import CapacityBasedOwnership, MakerGroup
from greengagelatch.relay.incarnations import Incarnation
from greengagelatch.relay.messages import BundleCancelled, BundleRequest
from greengagelatch.relay.owners import rank_owners
from greengagelatch.relay.pieces import Bundle, Piece, PieceFailure, PieceResult
from greengagelatch.relay.queue_waits import QueueWait
from greengagelatch.relay.targets import ListedTarget
from greengagelatch_entry.relay.decisions import DecisionLog
from greengagelatch_entry.relay.owned_desk import OwnedDesk
from greengagelatch_entry.relay.ownership import (
    MEETING_SECONDS,
    MEMBERS_LIFE,
    SETTLING_SECONDS,
    SUSPICION_SECONDS,
    Ownership,
)
from greengagelatch_entry.relay.prometheus import PrometheusMetrics
from greengagelatch_entry.relay.stage_groups import MakerGroups

NAMES = ("entry-1", "entry-2", "entry-3")
MAKER = Incarnation("m-1", 1_700_000_000_123)
SERVICE = "ledger"
WHOLE = MakerGroup(SERVICE)
MAKERS = (
    ListedTarget(
        incarnation=MAKER, service=SERVICE, address="m:1", data_centre="north"
    ),
)
BUNDLE = Bundle(
    bundle_id="r-1/0",
    service=SERVICE,
    pieces=(
        Piece(request_id="r-1", stage=0, segment=0, key="k"),
        Piece(request_id="r-1", stage=0, segment=1, key="k"),
    ),
    result_bytes=100,
    soft_deadline=1001.0,
    hard_deadline=1004.0,
)


class Network:
    """Links between desks; some instances may be out of reach."""

    def __init__(self) -> None:
        self.handlers: dict[str, dict] = {name: {} for name in NAMES}
        self.gone: set[str] = set()
        self.dead: set[str] = set()
        self.leaving: set[str] = set()
        self.suspected: set[str] = set()
        self.places: dict[str, str] = {}

    def create_peers(self, name: str) -> SimpleNamespace:
        return SimpleNamespace(
            instance_id=name,
            members=self.list_members,
            handle=self.handlers[name].__setitem__,
            ask=lambda to, message, timeout: self.ask(name, to, message),
            send=lambda to, message: self.send(name, to, message),
        )

    def list_members(self) -> tuple[Member, ...]:
        return tuple(
            Member(
                instance_id=name,
                data_centre=self.places.get(name, "north"),
                address=name,
                state=self._find_state(name),
            )
            for name in NAMES
        )

    def _find_state(self, name: str) -> MemberState:
        if name in self.dead:
            return MemberState.DEAD
        if name in self.suspected:
            return MemberState.SUSPECT
        if name in self.leaving:
            return MemberState.LEAVING
        return MemberState.ALIVE

    async def ask(self, sender: str, to: str, message):
        if to in self.gone:
            return Err(PeerError(PeerErrorKind.NO_ANSWER, "the link closed"))
        answer = self.handlers[to][type(message)](sender, message)
        return Ok(await answer)

    def send(self, sender: str, to: str, message) -> bool:
        if to in self.gone:
            return False
        self.handlers[to][type(message)](sender, message)
        return True


class Local:
    """Makes pieces at once and notes which."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.made: list[str] = []
        self.groups: list[MakerGroup] = []
        self.freed: list[PieceResult] = []
        self.wait = QueueWait()
        self.hold: asyncio.Event | None = None
        self.cancelled = 0

    async def make_in(self, group, bundle, note_read):
        self.made.append(bundle.bundle_id)
        self.groups.append(group)
        try:
            if self.hold is not None:
                await self.hold.wait()
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        note_read()
        return tuple(
            PieceResult(
                handle=f"{self.name}/{piece.segment}",
                data_centre="north",
                maker=MAKER,
            )
            for piece in bundle.pieces
        )

    def free(self, service, results):
        self.freed.extend(results)

    def estimate_wait_in(self, group):
        return self.wait

    def list_waits(self):
        return [(WHOLE, self.wait)]


class World:
    def __init__(self) -> None:
        self.network = Network()
        self.clock = ManualClock()
        self.local = {name: Local(name) for name in NAMES}
        self.metrics = PrometheusMetrics()
        self.decisions = DecisionLog(clock=self.clock, metrics=self.metrics)
        self.ownerships: dict[str, Ownership] = {}
        self.desks = {name: self._create_desk(name) for name in NAMES}
        self.ranked = rank_owners(WHOLE, self.network.list_members())

    def _create_desk(self, name: str) -> OwnedDesk:
        peers = self.network.create_peers(name)
        book = SimpleNamespace(list_service=lambda service: MAKERS)
        self.ownerships[name] = Ownership(
            peers=peers, clock=self.clock, decisions=self.decisions
        )
        return OwnedDesk(
            local=self.local[name],
            groups=MakerGroups(
                rule=CapacityBasedOwnership(),
                book=book,
                list_members=peers.members,
                find_profile=lambda service: None,
            ),
            ownership=self.ownerships[name],
            peers=peers,
            data_centre="north",
            find_profile=lambda service: None,
            clock=self.clock,
            random_source=random.Random(1),
            metrics=self.metrics,
            decisions=self.decisions,
        )

    def count_made(self) -> dict[str, int]:
        return {name: len(local.made) for name, local in self.local.items()}


@pytest.fixture
def world():
    return World()


def do_nothing() -> None:
    pass


async def test_all_instances_ask_the_same_owner(world):
    for desk in world.desks.values():
        results = await desk.make(BUNDLE, do_nothing)
        assert [one.failure for one in results] == [None, None]
    owner = world.ranked[0]
    assert world.count_made() == {name: 3 * (name == owner) for name in NAMES}


async def test_next_one_is_asked_where_the_owner_is_lost(world):
    """Symptom: stages stand still for seconds after one instance has died.

    Sequence: the owner of a service dies; the membership has not noticed yet.
    Cause: only the membership could name another owner.
    """
    owner, second, third = world.ranked
    world.network.gone.add(owner)
    await world.desks[third].make(BUNDLE, do_nothing)
    assert world.local[second].made == [BUNDLE.bundle_id]
    await world.desks[third].make(BUNDLE, do_nothing)
    assert len(world.local[second].made) == 2


async def test_owner_is_asked_again_where_two_links_crossed(world):
    """Symptom: after a restart of all, several instances own one service for seconds.

    Sequence: two instances open a link to each other at the same time; one of the two
    links is closed, with a question on it, as by a peer of an earlier release.
    Cause: the owner was passed over for a link that was not needed.
    """
    owner, _, third = world.ranked
    ask = world.network.ask
    calls = []

    async def ask_over_two_links(sender, to, message):
        calls.append(to)
        if len(calls) == 1:
            return Err(PeerError(PeerErrorKind.NO_ANSWER, "the link closed", cut=True))
        return await ask(sender, to, message)

    world.network.ask = ask_over_two_links
    await world.desks[third].make(BUNDLE, do_nothing)
    assert calls == [owner, owner]
    assert len(world.local[owner].made) == 1


@pytest.mark.parametrize(
    "error",
    [
        PeerError(PeerErrorKind.NO_ANSWER, "no answer in time"),
        # a dial of a machine that is lost would take as long again
        PeerError(PeerErrorKind.NO_ANSWER, "the link went silent"),
        PeerError(PeerErrorKind.NOT_SENT, "no link"),
        PeerError(PeerErrorKind.REFUSED, "the peer is busy"),
    ],
)
async def test_owner_that_does_not_answer_is_asked_once(world, error):
    """Symptom: stage work ends late where its owner's machine was lost.

    Sequence: the owner does not answer, or nothing can be sent to it.
    Cause: it is asked again, though no other link leads to it.
    """
    owner, second, third = world.ranked
    ask = world.network.ask
    calls = []

    async def ask_in_vain(sender, to, message):
        calls.append(to)
        if to == owner:
            return Err(error)
        return await ask(sender, to, message)

    world.network.ask = ask_in_vain
    await world.desks[third].make(BUNDLE, do_nothing)
    assert calls == [owner, second]


async def test_bundle_that_is_asked_for_twice_is_made_once(world):
    owner, _, third = world.ranked
    world.local[owner].hold = asyncio.Event()
    desk = world.desks[third]
    tasks = [asyncio.create_task(desk._send(owner, WHOLE, BUNDLE)) for _ in range(2)]
    await asyncio.sleep(0.01)
    world.local[owner].hold.set()
    replies = await asyncio.gather(*tasks)
    assert len(world.local[owner].made) == 1
    assert replies[0].ok_value == replies[1].ok_value


async def test_cut_off_instances_ask_the_owner_of_the_makers_beside_them(world):
    """Guards against calls of each by itself in a data centre that is cut off."""
    owner, second, third = world.ranked
    world.network.places[owner] = "south"
    world.network.gone.add(owner)
    near = rank_owners(MakerGroup(SERVICE, "north"), world.network.list_members())[0]
    for asker in (second, third):
        await world.desks[asker].make(BUNDLE, do_nothing)
    assert world.count_made() == {name: 2 * (name == near) for name in NAMES}
    assert world.local[near].groups == [MakerGroup(SERVICE, "north")] * 2


async def test_owner_that_is_back_is_asked_again(world):
    owner, _, third = world.ranked
    world.network.gone.add(owner)
    await world.desks[third].make(BUNDLE, do_nothing)
    world.network.gone.clear()
    world.clock.advance(5.0)
    await world.desks[third].make(BUNDLE, do_nothing)
    assert len(world.local[owner].made) == 1


async def test_instance_that_reaches_nobody_makes_its_pieces_itself(world):
    third = world.ranked[2]
    world.network.gone.update(world.ranked[:2])
    results = await world.desks[third].make(BUNDLE, do_nothing)
    assert results[0].handle == f"{third}/0"


async def test_dead_instance_owns_nothing(world):
    world.network.dead.add(world.ranked[0])
    await world.desks[world.ranked[2]].make(BUNDLE, do_nothing)
    assert world.count_made()[world.ranked[1]] == 1


async def test_instance_that_leaves_asks_the_next_owner(world):
    """Symptom: while instances restart, two own one service for seconds.

    Sequence: the owner of a service begins to leave; its peers ask the next one; it
    goes on for as long as its own requests do.
    Cause: it was the first candidate in its own eyes whatever its state.
    """
    owner, second, _ = world.ranked
    world.network.leaving.add(owner)
    results = await world.desks[owner].make(BUNDLE, do_nothing)
    assert [one.handle for one in results] == [f"{second}/0", f"{second}/1"]
    assert world.count_made() == {name: int(name == second) for name in NAMES}


async def test_instance_that_leaves_last_makes_its_pieces_itself(world):
    owner = world.ranked[0]
    world.network.leaving.update(NAMES)
    results = await world.desks[owner].make(BUNDLE, do_nothing)
    assert results[0].handle == f"{owner}/0"
    assert world.count_made() == {name: int(name == owner) for name in NAMES}


async def test_instance_that_leaves_finishes_the_bundles_of_its_peers(world):
    owner, _, third = world.ranked
    local = world.local[owner]
    local.hold = asyncio.Event()
    task = asyncio.create_task(world.desks[third].make(BUNDLE, do_nothing))
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    assert local.made == [BUNDLE.bundle_id]
    world.network.leaving.add(owner)
    world.clock.advance(1.0)
    local.hold.set()
    results = await task
    assert [one.handle for one in results] == [f"{owner}/0", f"{owner}/1"]
    assert local.cancelled == 0


async def test_stop_waits_for_the_bundles_of_peers(world):
    """Symptom: while instances restart, pieces are made twice and come late.

    Sequence: an owner whose own requests are done stops with bundles of its peers in
    work, which these then ask the next owner for.
    Cause: the stop waited for its own callers only.
    """
    owner, _, third = world.ranked
    desk, local = world.desks[owner], world.local[owner]
    assert await desk.wait_idle(0.0)
    local.hold = asyncio.Event()
    asking = asyncio.create_task(world.desks[third].make(BUNDLE, do_nothing))
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    assert local.made == [BUNDLE.bundle_id]
    assert not await desk.wait_idle(0.0)
    waiting = asyncio.create_task(desk.wait_idle(60.0))
    local.hold.set()
    assert await waiting
    assert [one.handle for one in await asking] == [f"{owner}/0", f"{owner}/1"]


async def test_owner_is_sole_once_nobody_has_come_or_gone_for_long(world):
    """Symptom: pieces fail as "input gone" for seconds after an instance has left.

    Sequence: the owner leaves, and is gone; the next one's calls wait at makers
    behind its last ones.
    Cause: the next one took the makers for its own at once.
    """
    owner, second, _ = world.ranked
    desks = world.desks
    assert not world.ownerships[owner].is_sole(WHOLE)
    world.clock.advance(SETTLING_SECONDS)
    for desk in desks.values():
        desk.estimate_wait(SERVICE)
    world.clock.advance(SETTLING_SECONDS)
    soles = [world.ownerships[name].is_sole(WHOLE) for name in world.ranked]
    assert soles == [True, False, False]
    world.network.leaving.add(owner)
    world.clock.advance(1.0)
    soles = [world.ownerships[name].is_sole(WHOLE) for name in world.ranked]
    assert soles == [False, False, False]
    world.clock.advance(SETTLING_SECONDS - 1.0)
    assert not world.ownerships[second].is_sole(WHOLE)
    world.clock.advance(1.0)
    soles = [world.ownerships[name].is_sole(WHOLE) for name in world.ranked]
    assert soles == [False, True, False]


async def test_owner_stays_sole_while_others_come_and_go(world):
    """Symptom: on days on which instances restart in turn, makers' calls are two
    thirds as full, and their room binds.

    Sequence: instances that own nothing leave, one after the other, a few seconds
    apart.
    Cause: each of them made the owner wait for calls of an owner before.
    """
    owner, second, third = world.ranked
    world.desks[owner].estimate_wait(SERVICE)
    world.clock.advance(SETTLING_SECONDS)
    assert world.ownerships[owner].is_sole(WHOLE)
    for other in (third, second):
        world.network.leaving.add(other)
        world.clock.advance(1.0)
        assert not world.ownerships[owner].is_sole(WHOLE)
        world.clock.advance(MEETING_SECONDS)
        assert world.ownerships[owner].is_sole(WHOLE)


async def test_owner_that_is_suspected_for_a_moment_stays_the_owner(world):
    """Symptom: in a large fleet two instances fill one service's makers, a moment each.

    Sequence: one answer to a probe is lost; the owner is suspected by all, and
    refutes it a tenth of a second later.
    Cause: a suspicion moved what the suspected one owned to the next.
    """
    owner, second, third = world.ranked
    for desk in world.desks.values():
        desk.estimate_wait(SERVICE)
    world.clock.advance(SETTLING_SECONDS)
    world.network.suspected.add(owner)
    world.clock.advance(MEMBERS_LIFE)
    await world.desks[third].make(BUNDLE, do_nothing)
    assert world.local[owner].made == [BUNDLE.bundle_id]
    world.clock.advance(SUSPICION_SECONDS)
    await world.desks[third].make(BUNDLE, do_nothing)
    assert world.local[second].made == [BUNDLE.bundle_id]


async def test_owner_that_was_not_for_a_moment_is_not_sole(world):
    """Symptom and cause as above for an owner that left.

    Sequence: an instance that goes before the owner comes and leaves again.
    """
    owner, second, _ = world.ranked
    world.network.leaving.add(owner)
    world.desks[second].estimate_wait(SERVICE)
    world.clock.advance(SETTLING_SECONDS)
    assert world.ownerships[second].is_sole(WHOLE)
    world.network.leaving.discard(owner)
    world.clock.advance(1.0)
    assert not world.ownerships[second].is_sole(WHOLE)
    world.network.leaving.add(owner)
    world.clock.advance(1.0)
    assert not world.ownerships[second].is_sole(WHOLE)
    world.clock.advance(SETTLING_SECONDS - 1.0)
    assert not world.ownerships[second].is_sole(WHOLE)
    world.clock.advance(1.0)
    assert world.ownerships[second].is_sole(WHOLE)


async def test_instance_that_passed_the_owner_over_is_not_sole(world):
    """Symptom: pieces fail as "input gone" beside lines "owner-lost".

    Sequence: an instance can't reach the owner and asks the next one, or makes its
    pieces itself; the owner goes on with those of others.
    Cause: whoever makes pieces took the makers for its own.
    """
    owner, second, third = world.ranked
    for desk in world.desks.values():
        desk.estimate_wait(SERVICE)
    world.clock.advance(SETTLING_SECONDS)
    world.network.gone.update((owner, second))
    await world.desks[third].make(BUNDLE, do_nothing)
    assert world.local[third].made == [BUNDLE.bundle_id]
    assert not world.ownerships[third].is_sole(WHOLE)
    assert not world.ownerships[second].is_sole(WHOLE)


async def test_caller_that_leaves_withdraws_its_bundle_at_the_owner(world):
    owner, _, third = world.ranked
    world.local[owner].hold = asyncio.Event()
    task = asyncio.create_task(world.desks[third].make(BUNDLE, do_nothing))
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    await asyncio.sleep(0)
    assert world.local[owner].cancelled == 1


async def test_bundle_that_is_asked_for_right_after_it_was_withdrawn_is_made(world):
    """Symptom: stages that are made again wait until their last moment for nothing.

    Sequence: a stage is given up and asked for again at once, under the same name;
    the owner reads both messages together.
    Cause: it took the work that was being cancelled for that which is asked for.
    """
    owner, _, third = world.ranked
    local = world.local[owner]
    local.hold = asyncio.Event()
    desk = world.desks[third]
    first = asyncio.create_task(desk._send(owner, WHOLE, BUNDLE))
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    assert local.made == [BUNDLE.bundle_id]
    world.network.send(third, owner, BundleCancelled(BUNDLE.bundle_id))
    second = asyncio.create_task(desk._send(owner, WHOLE, BUNDLE))
    await asyncio.sleep(0.01)
    local.hold.set()
    reply = await second
    assert len(reply.ok_value.results) == len(BUNDLE.pieces)
    assert local.cancelled == 1
    await asyncio.gather(first, return_exceptions=True)


async def test_results_are_freed_by_the_owner_that_made_them(world):
    owner, _, third = world.ranked
    results = await world.desks[third].make(BUNDLE, do_nothing)
    world.desks[third].free(SERVICE, results)
    assert world.local[owner].freed == list(results)


async def test_results_of_an_owner_that_is_gone_are_freed_directly(world):
    owner, _, third = world.ranked
    results = await world.desks[third].make(BUNDLE, do_nothing)
    world.network.gone.add(owner)
    world.desks[third].free(SERVICE, results)
    assert world.local[third].freed == list(results)


async def test_reader_is_told_that_inputs_are_read(world):
    read = []
    await world.desks[world.ranked[2]].make(BUNDLE, lambda: read.append(True))
    assert read == [True]


async def test_owner_tells_how_long_its_queue_is(world):
    owner, _, third = world.ranked
    await world.desks[third].make(BUNDLE, do_nothing)
    world.local[owner].wait = QueueWait(0.5, 1.5)
    world.desks[owner]._words.tell(world.local[owner].list_waits())
    assert world.desks[third].estimate_wait(SERVICE) == QueueWait(0.5, 1.5)
    world.clock.advance(2.0)
    assert world.desks[third].estimate_wait(SERVICE) == QueueWait()


async def test_failure_of_pieces_is_passed_on(world):
    owner, _, third = world.ranked

    async def fail(sender, message):
        return await world.desks[owner]._answer_wanted(sender, message)

    async def make_nothing(group, bundle, note_read):
        return (PieceResult(failure=PieceFailure.LATE),) * len(bundle.pieces)

    world.local[owner].make_in = make_nothing
    world.network.handlers[owner][BundleRequest] = fail
    results = await world.desks[third].make(BUNDLE, do_nothing)
    assert {one.failure for one in results} == {PieceFailure.LATE}
