"""Tests of greengagelatch_entry.relay.forwarding_stage_executor, in one process."""

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
from greengagelatch.relay.messages import BundleCancelled, BundleRequest, StageWaits
from greengagelatch.relay.owners import rank_owners
from greengagelatch.relay.pieces import Bundle, Piece, PieceFailure, PieceResult
from greengagelatch.relay.queue_waits import QueueWait, RankWait
from greengagelatch.relay.targets import ListedTarget
from greengagelatch_entry.relay.decisions import DecisionLog
from greengagelatch_entry.relay.forwarding_stage_executor import ForwardingStageExecutor
from greengagelatch_entry.relay.ownership import (
    CONVERGENCE_SECONDS,
    HANDOVER_SECONDS,
    MEMBERS_CACHE_SECONDS,
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
    """In-process links between executors; instances may be unreachable."""

    def __init__(self) -> None:
        self.handlers: dict[str, dict] = {name: {} for name in NAMES}
        self.gone: set[str] = set()
        self.dead: set[str] = set()
        self.leaving: set[str] = set()
        self.suspected: set[str] = set()
        self.data_centres: dict[str, str] = {}

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
                data_centre=self.data_centres.get(name, "north"),
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


class FakeLocalExecutor:
    """Makes pieces at once and records them."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.made: list[str] = []
        self.groups: list[MakerGroup] = []
        self.freed: list[PieceResult] = []
        self.wait = QueueWait()
        self.hold: asyncio.Event | None = None
        self.cancelled = 0

    async def execute_in(self, group, bundle, on_read):
        self.made.append(bundle.bundle_id)
        self.groups.append(group)
        try:
            if self.hold is not None:
                await self.hold.wait()
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        on_read()
        return tuple(
            PieceResult(
                handle=f"{self.name}/{piece.segment}", data_centre="north", maker=MAKER
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
        self.local = {name: FakeLocalExecutor(name) for name in NAMES}
        self.metrics = PrometheusMetrics()
        self.decisions = DecisionLog(clock=self.clock, metrics=self.metrics)
        self.ownerships: dict[str, Ownership] = {}
        self.executors = {name: self._create_executor(name) for name in NAMES}
        self.ranked = rank_owners(WHOLE, self.network.list_members())

    def _create_executor(self, name: str) -> ForwardingStageExecutor:
        peers = self.network.create_peers(name)
        book = SimpleNamespace(list_service=lambda service: MAKERS)
        self.ownerships[name] = Ownership(
            peers=peers, clock=self.clock, decisions=self.decisions
        )
        return ForwardingStageExecutor(
            local=self.local[name],
            groups=MakerGroups(
                rule=CapacityBasedOwnership(),
                target_table=book,
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
    for executor in world.executors.values():
        results = await executor.execute(BUNDLE, do_nothing)
        assert [one.failure for one in results] == [None, None]
    owner = world.ranked[0]
    assert world.count_made() == {name: 3 * (name == owner) for name in NAMES}


async def test_next_owner_is_asked_if_the_owner_is_lost(world):
    """Guard against stages that stall for seconds after the owner has died.

    Until the membership detected the failure, no other owner was tried.
    """
    owner, second, third = world.ranked
    world.network.gone.add(owner)
    await world.executors[third].execute(BUNDLE, do_nothing)
    assert world.local[second].made == [BUNDLE.bundle_id]
    await world.executors[third].execute(BUNDLE, do_nothing)
    assert len(world.local[second].made) == 2


async def test_owner_is_asked_again_where_two_links_crossed(world):
    """Guard against several owners of one service after a restart of all instances.

    Two instances open links to each other at the same time, and one link is closed with
    a request on it, as by a peer of an earlier release. The owner was then excluded,
    although the other link still reached it.
    """
    owner, _, third = world.ranked
    ask = world.network.ask
    calls = []

    async def ask_over_two_links(sender, to, message):
        calls.append(to)
        if len(calls) == 1:
            return Err(
                PeerError(PeerErrorKind.NO_ANSWER, "the link closed", disconnected=True)
            )
        return await ask(sender, to, message)

    world.network.ask = ask_over_two_links
    await world.executors[third].execute(BUNDLE, do_nothing)
    assert calls == [owner, owner]
    assert len(world.local[owner].made) == 1


@pytest.mark.parametrize(
    "error",
    [
        PeerError(PeerErrorKind.NO_ANSWER, "no answer in time"),
        # connecting to a lost instance would take as long again
        PeerError(PeerErrorKind.NO_ANSWER, "the link went silent"),
        PeerError(PeerErrorKind.NOT_SENT, "no link"),
        PeerError(PeerErrorKind.REFUSED, "the peer is busy"),
    ],
)
async def test_owner_that_does_not_answer_is_asked_once(world, error):
    """Guard against stages that are late because a lost owner is tried twice.

    A second request only helps if another link to the owner may exist.
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
    await world.executors[third].execute(BUNDLE, do_nothing)
    assert calls == [owner, second]


async def test_bundle_that_is_asked_for_twice_is_made_once(world):
    owner, _, third = world.ranked
    world.local[owner].hold = asyncio.Event()
    executor = world.executors[third]
    tasks = [
        asyncio.create_task(executor._send(owner, WHOLE, BUNDLE)) for _ in range(2)
    ]
    await asyncio.sleep(0.01)
    world.local[owner].hold.set()
    replies = await asyncio.gather(*tasks)
    assert len(world.local[owner].made) == 1
    assert replies[0].ok_value == replies[1].ok_value


async def test_partitioned_instances_ask_the_owner_of_local_makers(world):
    """Guard against separate calls of each instance in a partitioned data centre."""
    owner, second, third = world.ranked
    world.network.data_centres[owner] = "south"
    world.network.gone.add(owner)
    near = rank_owners(MakerGroup(SERVICE, "north"), world.network.list_members())[0]
    for asker in (second, third):
        await world.executors[asker].execute(BUNDLE, do_nothing)
    assert world.count_made() == {name: 2 * (name == near) for name in NAMES}
    assert world.local[near].groups == [MakerGroup(SERVICE, "north")] * 2


async def test_owner_that_is_back_is_asked_again(world):
    owner, _, third = world.ranked
    world.network.gone.add(owner)
    await world.executors[third].execute(BUNDLE, do_nothing)
    world.network.gone.clear()
    world.clock.advance(5.0)
    await world.executors[third].execute(BUNDLE, do_nothing)
    assert len(world.local[owner].made) == 1


async def test_unreachable_peers_make_an_instance_call_makers_itself(world):
    third = world.ranked[2]
    world.network.gone.update(world.ranked[:2])
    results = await world.executors[third].execute(BUNDLE, do_nothing)
    assert results[0].handle == f"{third}/0"


async def test_dead_instance_owns_nothing(world):
    world.network.dead.add(world.ranked[0])
    await world.executors[world.ranked[2]].execute(BUNDLE, do_nothing)
    assert world.count_made()[world.ranked[1]] == 1


async def test_instance_that_leaves_asks_the_next_owner(world):
    """Guard against two owners of one service while instances restart.

    A draining owner, whose peers already used the next owner, still counted itself as
    the owner for its own requests.
    """
    owner, second, _ = world.ranked
    world.network.leaving.add(owner)
    results = await world.executors[owner].execute(BUNDLE, do_nothing)
    assert [one.handle for one in results] == [f"{second}/0", f"{second}/1"]
    assert world.count_made() == {name: int(name == second) for name in NAMES}


async def test_instance_that_leaves_last_makes_its_pieces_itself(world):
    owner = world.ranked[0]
    world.network.leaving.update(NAMES)
    results = await world.executors[owner].execute(BUNDLE, do_nothing)
    assert results[0].handle == f"{owner}/0"
    assert world.count_made() == {name: int(name == owner) for name in NAMES}


async def test_instance_that_leaves_finishes_the_bundles_of_its_peers(world):
    owner, _, third = world.ranked
    local = world.local[owner]
    local.hold = asyncio.Event()
    task = asyncio.create_task(world.executors[third].execute(BUNDLE, do_nothing))
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
    """Guard against pieces that are made twice, and late, while instances restart.

    An owner waited only for its own callers before it stopped. Bundles of its peers
    were cut off, and sent again to the next owner.
    """
    owner, _, third = world.ranked
    executor, local = world.executors[owner], world.local[owner]
    assert await executor.wait_idle(0.0)
    local.hold = asyncio.Event()
    asking = asyncio.create_task(world.executors[third].execute(BUNDLE, do_nothing))
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    assert local.made == [BUNDLE.bundle_id]
    assert not await executor.wait_idle(0.0)
    waiting = asyncio.create_task(executor.wait_idle(60.0))
    local.hold.set()
    assert await waiting
    assert [one.handle for one in await asking] == [f"{owner}/0", f"{owner}/1"]


async def test_owner_is_exclusive_once_the_membership_is_stable(world):
    """Guard against inputs freed too early after a change of owner.

    The next owner's calls wait at the makers behind the last calls of the previous
    one. It assumed exclusive use at once, and pieces failed as "input gone".
    """
    owner, second, _ = world.ranked
    executors = world.executors
    assert not world.ownerships[owner].is_exclusive(WHOLE)
    world.clock.advance(HANDOVER_SECONDS)
    for executor in executors.values():
        executor.estimate_wait(SERVICE)
    world.clock.advance(HANDOVER_SECONDS)
    exclusive = [world.ownerships[name].is_exclusive(WHOLE) for name in world.ranked]
    assert exclusive == [True, False, False]
    world.network.leaving.add(owner)
    world.clock.advance(1.0)
    exclusive = [world.ownerships[name].is_exclusive(WHOLE) for name in world.ranked]
    assert exclusive == [False, False, False]
    world.clock.advance(HANDOVER_SECONDS - 1.0)
    assert not world.ownerships[second].is_exclusive(WHOLE)
    world.clock.advance(1.0)
    exclusive = [world.ownerships[name].is_exclusive(WHOLE) for name in world.ranked]
    assert exclusive == [False, True, False]


async def test_owner_stays_exclusive_while_others_join_and_leave(world):
    """Guard against low batch sizes during a rolling restart.

    Each instance that left, a few seconds apart and without owning anything, made the
    owner wait as for the calls of a previous owner. Inputs filled the makers' room,
    and calls were only two thirds as full.
    """
    owner, second, third = world.ranked
    world.executors[owner].estimate_wait(SERVICE)
    world.clock.advance(HANDOVER_SECONDS)
    assert world.ownerships[owner].is_exclusive(WHOLE)
    for other in (third, second):
        world.network.leaving.add(other)
        world.clock.advance(1.0)
        assert not world.ownerships[owner].is_exclusive(WHOLE)
        world.clock.advance(CONVERGENCE_SECONDS)
        assert world.ownerships[owner].is_exclusive(WHOLE)


async def test_owner_that_is_suspected_for_a_moment_stays_the_owner(world):
    """Guard against a change of owner for a suspicion that is soon refuted.

    In a large fleet a lost probe answer makes all instances suspect the owner, which
    refutes it 0.1 s later. Ownership moved to the next instance in between, and two
    instances filled the makers of one service.
    """
    owner, second, third = world.ranked
    for executor in world.executors.values():
        executor.estimate_wait(SERVICE)
    world.clock.advance(HANDOVER_SECONDS)
    world.network.suspected.add(owner)
    world.clock.advance(MEMBERS_CACHE_SECONDS)
    await world.executors[third].execute(BUNDLE, do_nothing)
    assert world.local[owner].made == [BUNDLE.bundle_id]
    world.clock.advance(SUSPICION_SECONDS)
    await world.executors[third].execute(BUNDLE, do_nothing)
    assert world.local[second].made == [BUNDLE.bundle_id]


async def test_owner_that_lost_ownership_briefly_is_not_exclusive(world):
    """Guard against inputs freed too early after a brief change of owner.

    An instance that ranks before the owner joins and leaves again, and may have left
    calls at the makers.
    """
    owner, second, _ = world.ranked
    world.network.leaving.add(owner)
    world.executors[second].estimate_wait(SERVICE)
    world.clock.advance(HANDOVER_SECONDS)
    assert world.ownerships[second].is_exclusive(WHOLE)
    world.network.leaving.discard(owner)
    world.clock.advance(1.0)
    assert not world.ownerships[second].is_exclusive(WHOLE)
    world.network.leaving.add(owner)
    world.clock.advance(1.0)
    assert not world.ownerships[second].is_exclusive(WHOLE)
    world.clock.advance(HANDOVER_SECONDS - 1.0)
    assert not world.ownerships[second].is_exclusive(WHOLE)
    world.clock.advance(1.0)
    assert world.ownerships[second].is_exclusive(WHOLE)


async def test_instance_that_excluded_the_owner_is_not_exclusive(world):
    """Guard against inputs freed too early where an owner is only unreachable.

    An instance that cannot reach the owner uses the next one or calls the makers
    itself, while the owner continues for other instances. Any instance that made
    pieces assumed exclusive use of the makers, and pieces failed as "input gone" next
    to log entries "owner-lost".
    """
    owner, second, third = world.ranked
    for executor in world.executors.values():
        executor.estimate_wait(SERVICE)
    world.clock.advance(HANDOVER_SECONDS)
    world.network.gone.update((owner, second))
    await world.executors[third].execute(BUNDLE, do_nothing)
    assert world.local[third].made == [BUNDLE.bundle_id]
    assert not world.ownerships[third].is_exclusive(WHOLE)
    assert not world.ownerships[second].is_exclusive(WHOLE)


async def test_cancelled_caller_withdraws_its_bundle_at_the_owner(world):
    owner, _, third = world.ranked
    world.local[owner].hold = asyncio.Event()
    task = asyncio.create_task(world.executors[third].execute(BUNDLE, do_nothing))
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    await asyncio.sleep(0)
    assert world.local[owner].cancelled == 1


async def test_bundle_that_is_asked_for_right_after_it_was_withdrawn_is_made(world):
    """Guard against retried stages that wait in vain until their deadline.

    A stage is cancelled and requested again at once under the same id, and the owner
    reads both messages together. It joined the new request to the cancelled task.
    """
    owner, _, third = world.ranked
    local = world.local[owner]
    local.hold = asyncio.Event()
    executor = world.executors[third]
    first = asyncio.create_task(executor._send(owner, WHOLE, BUNDLE))
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    assert local.made == [BUNDLE.bundle_id]
    world.network.send(third, owner, BundleCancelled(BUNDLE.bundle_id))
    second = asyncio.create_task(executor._send(owner, WHOLE, BUNDLE))
    await asyncio.sleep(0.01)
    local.hold.set()
    reply = await second
    assert len(reply.ok_value.results) == len(BUNDLE.pieces)
    assert local.cancelled == 1
    await asyncio.gather(first, return_exceptions=True)


async def test_results_are_freed_by_the_owner_that_made_them(world):
    owner, _, third = world.ranked
    results = await world.executors[third].execute(BUNDLE, do_nothing)
    world.executors[third].free(SERVICE, results)
    assert world.local[owner].freed == list(results)


async def test_results_of_an_owner_that_is_gone_are_freed_directly(world):
    owner, _, third = world.ranked
    results = await world.executors[third].execute(BUNDLE, do_nothing)
    world.network.gone.add(owner)
    world.executors[third].free(SERVICE, results)
    assert world.local[third].freed == list(results)


async def test_caller_is_notified_that_inputs_are_read(world):
    read = []
    await world.executors[world.ranked[2]].execute(BUNDLE, lambda: read.append(True))
    assert read == [True]


async def test_owner_reports_its_queue_wait(world):
    owner, _, third = world.ranked
    await world.executors[third].execute(BUNDLE, do_nothing)
    world.local[owner].wait = QueueWait(0.5, 1.5)
    world.executors[owner]._reports.publish(world.local[owner].list_waits())
    assert world.executors[third].estimate_wait(SERVICE) == QueueWait(0.5, 1.5)
    world.clock.advance(2.0)
    assert world.executors[third].estimate_wait(SERVICE) == QueueWait()


async def test_owner_reports_its_queue_wait_by_rank(world):
    owner, _, third = world.ranked
    await world.executors[third].execute(BUNDLE, do_nothing)
    ranks = (RankWait(0.45, 0.2, 0.3), RankWait(0.9, 1.0, 1.5))
    world.local[owner].wait = wait = QueueWait(0.9, 1.5, 0.3, ranks)
    world.executors[owner]._reports.publish(world.local[owner].list_waits())
    assert world.executors[third].estimate_wait(SERVICE) == wait


async def test_owner_of_an_earlier_release_reports_one_wait_for_all_ranks(world):
    """Guards against requests admitted behind a queue whose ranks are not known."""
    owner, _, third = world.ranked
    message = StageWaits(queues=((SERVICE, "", 0.5, 1.5, 0.3),))
    world.executors[third]._handle_waits(owner, message)
    wait = world.executors[third].estimate_wait(SERVICE)
    assert wait.find_at_rank(0.0) == QueueWait(0.5, 1.5, 0.3)


async def test_failure_of_pieces_is_passed_on(world):
    owner, _, third = world.ranked

    async def fail(sender, message):
        return await world.executors[owner]._handle_request(sender, message)

    async def make_nothing(group, bundle, on_read):
        return (PieceResult(failure=PieceFailure.LATE),) * len(bundle.pieces)

    world.local[owner].execute_in = make_nothing
    world.network.handlers[owner][BundleRequest] = fail
    results = await world.executors[third].execute(BUNDLE, do_nothing)
    assert {one.failure for one in results} == {PieceFailure.LATE}
