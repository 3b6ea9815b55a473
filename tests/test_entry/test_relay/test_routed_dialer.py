"""Tests of greengagelatch_entry.relay.routed_dialer in virtual time."""

from __future__ import annotations

import asyncio
import random
from types import SimpleNamespace

import pytest

from greengagelatch.peers import Member, MemberState
from greengagelatch.relay.incarnations import Incarnation
from greengagelatch.relay.reachability import DOWN_SECONDS, Reachability
from greengagelatch.relay.targets import ListedTarget, TargetTable
from greengagelatch_entry.relay.prometheus import PrometheusMetrics
from greengagelatch_entry.relay.reachability_probes import ReachabilityController
from greengagelatch_entry.relay.routed_dialer import (
    DIRECT_TIMEOUT,
    FIRST_TUNNEL_TIMEOUT,
    FIRST_TUNNELS_TIMEOUT,
    HEAD_START,
    LOG_LINES,
    RoutedDialer,
)
from greengagelatch_entry.relay.target_connections import DIAL_TIMEOUT
from greengagelatch_entry.relay.target_dialers import (
    DialError,
    DialFailure,
    TargetDialer,
    create_destination,
)
from greengagelatch_entry.relay.tunnel_dialer import (
    TunnelDialer,
    TunnelError,
    TunnelFailure,
)
from greengagelatch_lab.stage_load.virtual_time import LoopClock

pytestmark = pytest.mark.looptime

#: seconds to open a connection
CONNECT_SECONDS = 0.002
#: seconds within which the instance must have returned to direct connections
RETURN_SECONDS = 2.0


class Connection(asyncio.Protocol):
    """A connection with the way it took; counts as its own transport."""

    def __init__(self) -> None:
        self.transport = self
        self.way = ""
        self.closed = False

    def abort(self) -> None:
        self.closed = True


class FakeDirectDialer(TargetDialer):
    """Connects unless the target is cut off."""

    def __init__(self) -> None:
        #: failure by target id; ``TIMED_OUT``: attempts hang
        self.cut: dict[str, DialFailure] = {}
        self.seconds = CONNECT_SECONDS
        self.opened: list[Connection] = []
        self.dialled: list[str] = []

    async def dial(self, destination, create_protocol, timeout):
        self.dialled.append(destination.incarnation.target_id)
        failure = self.cut.get(destination.incarnation.target_id)
        if failure is DialFailure.TIMED_OUT or self.seconds > timeout:
            await asyncio.sleep(timeout)
            raise DialError("connect timed out", DialFailure.TIMED_OUT)
        await asyncio.sleep(self.seconds)
        if failure is not None:
            raise DialError("connect failed", failure)
        return open_connection(self.opened, create_protocol, "direct")


class FakeTunnelDialer(TunnelDialer):
    """Peers that reach the targets, or fail in a given way."""

    def __init__(self) -> None:
        #: failure by peer id, or by peer and target id
        self.failures: dict[str | tuple[str, str], TunnelError] = {}
        self.seconds = 2 * CONNECT_SECONDS
        self.opened: list[Connection] = []
        self.asked: list[str] = []

    async def dial_through(self, peer_id, destination, create_protocol, timeout):
        self.asked.append(peer_id)
        await asyncio.sleep(min(timeout, self.seconds))
        key = (peer_id, destination.incarnation.target_id)
        failure = self.failures.get(key) or self.failures.get(peer_id)
        if failure is not None:
            raise failure
        return open_connection(self.opened, create_protocol, peer_id)


def open_connection(opened, create_protocol, way: str):
    connection = create_protocol()
    transport = connection if isinstance(connection, Connection) else Connection()
    connection.connection_made(transport)
    transport.way = way
    opened.append(transport)
    return connection


def create_error(failure: TunnelFailure, *, refused: bool = False) -> TunnelError:
    return TunnelError(failure.value, failure, target_refused=refused)


class RecordedDecisions:
    def __init__(self) -> None:
        self.lines: list[dict] = []

    def log_state_change(self, kind: str, **fields) -> None:
        self.lines.append({"kind": kind, **fields})


class World:
    """The dialer of one instance with three peers and targets of two services."""

    def __init__(self) -> None:
        self.clock = LoopClock()
        self.metrics = PrometheusMetrics()
        self.decisions = RecordedDecisions()
        self.direct = FakeDirectDialer()
        self.tunnels = FakeTunnelDialer()
        self.closed_idle: list[Incarnation] = []
        self.table = TargetTable()
        for service, data_centre in (("desk", "north"), ("llm", "south")):
            for number in (1, 2, 3):
                self.table.put(
                    ListedTarget(
                        incarnation=Incarnation(f"{service}-{number}", 1),
                        service=service,
                        address=f"{service}-{number}:1",
                        data_centre=data_centre,
                    )
                )
        self.members = [
            Member(
                instance_id=name,
                data_centre=data_centre,
                address="",
                state=MemberState.ALIVE,
            )
            for name, data_centre in (
                ("own", "north"),
                ("a", "north"),
                ("b", "south"),
                ("c", "east"),
            )
        ]
        self.reachability = Reachability(
            instance_id="own", data_centre="north", random_source=random.Random(1)
        )
        self.dialer = RoutedDialer(
            direct=self.direct,
            tunnels=self.tunnels,
            reachability=self.reachability,
            peers=SimpleNamespace(
                instance_id="own", members=lambda: tuple(self.members)
            ),
            on_bypassed=self.closed_idle.append,
            clock=self.clock,
            metrics=self.metrics,
            decisions=self.decisions,
        )
        self.controller = ReachabilityController(
            dialer=self.dialer,
            reachability=self.reachability,
            target_table=self.table,
            clock=self.clock,
        )

    def find(self, target_id: str, data_centres: frozenset[str] | None = None):
        destination = create_destination(self.table.find_listed(target_id))
        if data_centres is None:
            return destination
        return type(destination)(
            incarnation=destination.incarnation,
            address=destination.address,
            service=destination.service,
            data_centre=destination.data_centre,
            data_centres=data_centres,
        )

    async def dial(self, target_id: str, **restrictions) -> str:
        """Return the way that a connection took: ``direct`` or a peer."""
        destination = self.find(target_id, **restrictions)
        connection = await self.dialer.dial(destination, Connection, DIAL_TIMEOUT)
        return connection.way

    def cut(self, failure: DialFailure, *services: str) -> None:
        for target in self.table.list_all():
            if not services or target.service in services:
                self.direct.cut[target.target_id] = failure

    def list_states(self) -> list[str]:
        return [line["state"] for line in self.decisions.lines]


@pytest.fixture
async def world():
    created = World()
    yield created
    await created.controller.on_stop()


async def test_reached_targets_are_dialled_directly(world):
    assert await world.dial("desk-1") == "direct"
    assert world.tunnels.asked == []
    assert world.decisions.lines == []


@pytest.mark.parametrize("failure", DialFailure)
async def test_target_that_only_a_peer_reaches_is_dialled_through_it(world, failure):
    """Guards against an instance that refuses what its peers could pass on."""
    world.cut(failure)
    peer = await world.dial("desk-1")
    assert peer in ("a", "b", "c")
    # known now: no direct attempt, and the peer that worked
    world.direct.dialled.clear()
    before = world.clock.now()
    assert await world.dial("desk-1") == peer
    assert world.direct.dialled == []
    assert world.clock.now() - before < HEAD_START
    assert world.closed_idle == [Incarnation("desk-1", 1)]
    (line,) = world.decisions.lines
    assert (line["state"], line["peer"]) == ("bypassed", peer)
    assert line["evidence"] == failure.value


async def test_other_targets_get_a_short_head_start_while_one_is_bypassed(world):
    world.cut(DialFailure.TIMED_OUT)
    await world.dial("desk-1")
    before = world.clock.now()
    assert await world.dial("llm-1") != "direct"
    assert world.clock.now() - before < DIRECT_TIMEOUT
    assert len(world.closed_idle) == 2


async def test_loser_of_a_race_is_closed(world):
    """Guards against connections that are opened and never used or closed."""
    world.cut(DialFailure.TIMED_OUT, "desk")
    await world.dial("desk-1")
    # both ways open at the same time
    world.direct.seconds = HEAD_START + world.tunnels.seconds
    ways = [await world.dial("llm-1")]
    # the tunnel is faster
    world.direct.seconds = DIRECT_TIMEOUT - 0.01
    ways.append(await world.dial("llm-2"))
    await asyncio.sleep(DIAL_TIMEOUT)
    opened = world.direct.opened + world.tunnels.opened[1:]
    assert sorted(ways) == sorted(one.way for one in opened if not one.closed)
    assert ways[1] != "direct"


async def test_failed_tunnel_leaves_a_slow_direct_connection(world):
    world.cut(DialFailure.TIMED_OUT, "desk")
    await world.dial("desk-1")
    for peer_id in "abc":
        world.tunnels.failures[peer_id] = create_error(TunnelFailure.DENIED)
    world.direct.seconds = 4 * HEAD_START
    assert await world.dial("llm-1") == "direct"


async def test_cancelled_dial_closes_what_it_has_opened(world):
    world.cut(DialFailure.TIMED_OUT, "desk")
    await world.dial("desk-1")
    world.direct.seconds = 4 * HEAD_START
    world.tunnels.seconds = 4 * HEAD_START
    task = asyncio.create_task(world.dial("llm-1"))
    await asyncio.sleep(2 * HEAD_START)
    task.cancel()
    await asyncio.sleep(DIAL_TIMEOUT)
    assert len(world.tunnels.opened) == 1
    assert world.direct.opened == []


async def test_peer_that_is_cut_off_too_is_not_asked_again(world):
    world.cut(DialFailure.REFUSED)
    world.tunnels.failures = {
        "a": create_error(TunnelFailure.TARGET_UNREACHABLE, refused=True),
        "b": create_error(TunnelFailure.PEER_UNREACHABLE),
    }
    for target_id in ("desk-1", "desk-2", "desk-3"):
        assert await world.dial(target_id) == "c"
    assert world.tunnels.asked.count("a") <= 1
    assert world.tunnels.asked.count("b") <= 1


async def test_crashed_target_is_asked_for_once_a_second(world):
    """Guards against a crashed target that costs a tunnel for each request."""
    world.direct.cut["desk-1"] = DialFailure.REFUSED
    for peer_id in "abc":
        world.tunnels.failures[peer_id, "desk-1"] = create_error(
            TunnelFailure.TARGET_UNREACHABLE, refused=True
        )
    assert await world.dial("desk-2") == "direct"
    for _ in range(5):
        with pytest.raises(DialError) as caught:
            await world.dial("desk-1")
        assert caught.value.failure is DialFailure.REFUSED
    assert len(world.tunnels.asked) == 1
    assert world.list_states() == ["down"]
    await asyncio.sleep(DOWN_SECONDS)
    with pytest.raises(DialError):
        await world.dial("desk-1")
    assert len(world.tunnels.asked) > 1


async def test_hanging_target_is_asked_for_once_a_second(world):
    """Guards against a machine that is down and holds up each request for long."""
    world.direct.cut["desk-1"] = DialFailure.TIMED_OUT
    # peers learn after a while only that the target does not answer
    world.tunnels.seconds = 0.8 * FIRST_TUNNEL_TIMEOUT
    for peer_id in "abc":
        world.tunnels.failures[peer_id, "desk-1"] = create_error(
            TunnelFailure.TARGET_UNREACHABLE
        )
    before = world.clock.now()
    with pytest.raises(DialError):
        await world.dial("desk-1")
    held = world.clock.now() - before
    assert held <= DIRECT_TIMEOUT + FIRST_TUNNELS_TIMEOUT + 0.001
    asked = len(world.tunnels.asked)
    before = world.clock.now()
    for _ in range(2):
        with pytest.raises(DialError):
            await world.dial("desk-1")
    assert world.clock.now() - before <= 2 * DIRECT_TIMEOUT + 0.001
    assert len(world.tunnels.asked) == asked
    # no peer is left out for it
    world.direct.cut["desk-2"] = DialFailure.REFUSED
    world.tunnels.seconds = CONNECT_SECONDS
    assert await world.dial("desk-2") in ("a", "b", "c")
    chosen = world.reachability.choose_peers("desk", world.members, world.clock.now())
    assert len(chosen) == 3


async def test_peers_that_were_slow_once_are_asked_again(world):
    """Guards against an instance that refuses all since its peers were slow."""
    world.cut(DialFailure.REFUSED)
    assert await world.dial("desk-1") != "direct"
    for peer_id in "abc":
        world.tunnels.failures[peer_id] = create_error(TunnelFailure.PEER_UNREACHABLE)
    with pytest.raises(DialError):
        await world.dial("desk-1")
    world.tunnels.failures.clear()
    assert await world.dial("desk-1") in ("a", "b", "c")


async def test_failure_without_a_helping_peer_is_that_of_the_direct_attempt(world):
    world.cut(DialFailure.TIMED_OUT)
    for peer_id in "abc":
        world.tunnels.failures[peer_id] = create_error(TunnelFailure.DENIED)
    with pytest.raises(DialError) as caught:
        await world.dial("desk-1")
    assert caught.value.failure is DialFailure.TIMED_OUT
    assert world.decisions.lines == []


async def test_dial_ends_within_its_timeout(world):
    world.cut(DialFailure.TIMED_OUT)
    world.tunnels.seconds = 3600.0
    for peer_id in "abc":
        world.tunnels.failures[peer_id] = create_error(TunnelFailure.PEER_UNREACHABLE)
    before = world.clock.now()
    with pytest.raises(DialError):
        await world.dial("desk-1")
    assert world.clock.now() - before <= DIAL_TIMEOUT + 0.001


async def test_restricted_request_takes_no_way_outside_its_data_centres(world):
    """Guards against data that passes a region which it may not."""
    world.cut(DialFailure.REFUSED)
    allowed = frozenset({"north", "south"})
    for _ in range(20):
        assert await world.dial("llm-1", data_centres=allowed) in ("a", "b")
        assert await world.dial("llm-2", data_centres=frozenset({"south"})) == "b"
    assert "c" not in world.tunnels.asked
    with pytest.raises(DialError):
        await world.dial("llm-1", data_centres=frozenset({"west"}))


async def test_instance_returns_to_direct_connections_after_the_heal(world):
    """Guards against load on peers that lasts longer than the partition."""
    world.cut(DialFailure.TIMED_OUT)
    for target in world.table.list_all():
        await world.dial(target.target_id)
    await world.controller.start()
    await asyncio.sleep(3.0)
    assert world.reachability.describe(world.clock.now())["bypassed_targets"] == 6
    world.direct.cut.clear()
    world.direct.dialled.clear()
    await asyncio.sleep(RETURN_SECONDS)
    assert not world.reachability.is_bypassing
    # each target was probed once
    assert sorted(world.direct.dialled) == sorted(
        target.target_id for target in world.table.list_all()
    )
    assert all(one.closed for one in world.direct.opened)
    assert world.list_states() == ["bypassed"] * 6 + ["direct"] * 6
    await world.controller.stop()


async def test_probes_are_few_during_a_partition(world):
    world.cut(DialFailure.REFUSED)
    for target in world.table.list_all():
        await world.dial(target.target_id)
    world.direct.dialled.clear()
    await world.controller.start()
    await asyncio.sleep(10.0)
    await world.controller.stop()
    # two services, each about every half second
    assert 20 <= len(world.direct.dialled) <= 60


async def test_target_that_has_left_is_not_probed(world):
    world.cut(DialFailure.REFUSED)
    await world.dial("desk-1")
    world.table.remove(Incarnation("desk-1", 1), 9)
    world.direct.dialled.clear()
    await world.controller.start()
    await asyncio.sleep(2.0)
    await world.controller.stop()
    assert world.direct.dialled == []
    assert not world.reachability.is_bypassing


async def test_log_lines_are_bounded(world):
    """Guards against a log that a flapping path fills."""
    for _ in range(LOG_LINES):
        world.cut(DialFailure.REFUSED)
        await world.dial("desk-1")
        world.direct.cut.clear()
        await world.dialer.probe(world.find("desk-1"))
    assert len(world.decisions.lines) == LOG_LINES
    assert world.metrics.value("reachability.unlogged") == LOG_LINES
