"""Tests of two links between a pair of instances, in an order set by gates."""

from __future__ import annotations

import asyncio
import itertools
import random
from dataclasses import dataclass, field

import pytest
from result import Err, Ok

from greengagelatch.clock import SystemClock
from greengagelatch.events import EventBus
from greengagelatch.instances import Instance, InstanceKind, Listing
from greengagelatch.peers import PeerErrorKind
from greengagelatch.peers.codec import Message, register
from greengagelatch.peers.messages import Hello
from greengagelatch.settings import parse
from greengagelatch_entry.adapters import link_retirement, peer_links
from greengagelatch_entry.adapters.link_tie_break import replaces
from greengagelatch_entry.adapters.peer_link import CloseCode, Link
from greengagelatch_entry.adapters.peer_sockets import Traffic
from greengagelatch_entry.adapters.peers import PeerHub
from greengagelatch_entry.controllers.listing import LISTING_RECEIVED
from greengagelatch_entry.metrics import Metrics
from greengagelatch_lab.standins.tcp_proxy import TcpProxy as FaultyLink
from greengagelatch_lab.waiting import wait_until

TIMEOUT = 10.0

#: with an open_timeout that never expires, so that only the gates set the order
SETTINGS = """
[instance]
id = {instance_id}
data_centre = tutuban-hall
[peers]
listen = 127.0.0.1:{port}
heartbeat = 0.1
silence = {silence}
open_timeout = 60
probe_interval = 0.2
dead_interval = 0.5
[platform]
store = 127.0.0.1:1
instances = 127.0.0.1:1
"""


@register("test-crossed-echo")
@dataclass(frozen=True, slots=True)
class Echo(Message):
    text: str = ""


@register("test-crossed-hold")
@dataclass(frozen=True, slots=True)
class Hold(Message):
    pass


class FixedWallClock(SystemClock):
    """Clock with a fixed wall time."""

    def __init__(self, wall: float) -> None:
        self._wall = wall

    def wall(self) -> float:
        return self._wall


@dataclass
class Gates:
    """Gates that delay the reading of hellos; open unless a test closes them."""

    accepted: asyncio.Event = field(default_factory=asyncio.Event)
    dialled: asyncio.Event = field(default_factory=asyncio.Event)
    #: number of dials that have sent their hello and wait for that of the peer
    dials: int = 0

    def __post_init__(self) -> None:
        self.accepted.set()
        self.dialled.set()

    def hold(self) -> None:
        self.accepted.clear()
        self.dialled.clear()

    def hold_dial(self, connection) -> None:
        receive = connection.recv

        async def receive_later():
            self.dials += 1
            await self.dialled.wait()
            return await receive()

        connection.recv = receive_later

    def hold_accepted(self, connection) -> None:
        receive = connection.recv

        async def receive_later():
            await self.accepted.wait()
            return await receive()

        connection.recv = receive_later


@dataclass
class Peer:
    hub: PeerHub
    events: EventBus
    metrics: Metrics
    gates: Gates
    echoed: list[str] = field(default_factory=list)
    holds: int = 0
    released: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.hub.port}"

    def emit_listing(self, *shown: tuple[str, str]) -> None:
        rows = tuple(
            Instance(
                instance_id=instance_id,
                kind=InstanceKind.ENTRY,
                data_centre="tutuban-hall",
                address=address,
            )
            for instance_id, address in shown
        )
        self.events.emit(LISTING_RECEIVED, Listing(1, rows))

    def count_links(self) -> int:
        return len(self.hub.dump()["links"])

    def count_sent(self) -> int:
        """Return the number of calls handed to a socket."""
        kind = Echo.wire_name
        unreported = self.hub._links.traffic.frames_by_kind[kind]
        return unreported + self.metrics.value(f"peers.frames_out.{kind}")

    async def echo(self, sender: str, message: Echo) -> Echo:
        self.echoed.append(message.text)
        return message

    async def hold(self, sender: str, message: Hold) -> Echo:
        self.holds += 1
        await self.released.wait()
        return Echo("released")

    def find_link(self, instance_id: str) -> Link:
        return self.hub._links.find(instance_id)

    def retire(self, instance_id: str) -> Link:
        """Evict a link, which the peer does not know of."""
        link = self.find_link(instance_id)
        self.hub._links._retire(link, CloseCode.IDLE, "making room")
        return link


@pytest.fixture
async def start(monkeypatch):
    peers: dict[str, Peer] = {}
    dial, listen = peer_links.open_connection, peer_links.listen

    async def dial_held(address, traffic, options):
        connection = await dial(address, traffic, options)
        for peer in peers.values():
            if peer.hub._links.traffic is traffic:
                peer.gates.hold_dial(connection)
        return connection

    async def listen_held(host, port, accept, traffic, options):
        async def accept_held(connection):
            for peer in peers.values():
                if peer.hub._links.traffic is traffic:
                    peer.gates.hold_accepted(connection)
            await accept(connection)

        return await listen(host, port, accept_held, traffic, options)

    monkeypatch.setattr(peer_links, "open_connection", dial_held)
    monkeypatch.setattr(peer_links, "listen", listen_held)

    async def create(
        instance_id: str,
        *,
        silence: float = 60.0,
        port: int = 0,
        clock: SystemClock | None = None,
    ) -> Peer:
        text = SETTINGS.format(instance_id=instance_id, silence=silence, port=port)
        events, metrics = EventBus(), Metrics("127.0.0.1:9")
        hub = PeerHub(
            clock=clock or SystemClock(),
            random_source=random.Random(instance_id),
            events=events,
            settings=parse(text).unwrap(),
            metrics=metrics,
        )
        peer = Peer(hub, events, metrics, Gates())
        hub.handle(Echo, peer.echo)
        hub.handle(Hold, peer.hold)
        peers[instance_id] = peer
        await hub.start()
        return peer

    yield create
    for peer in peers.values():
        await peer.hub.stop()


@pytest.mark.parametrize("learns_first", ["e-1", "e-2"])
async def test_calls_on_both_of_two_crossed_links_are_answered(start, learns_first):
    """Guards against calls that fail because of two crossed dials.

    Both instances dial, and both hellos are sent before either is read. Each accepts
    the link of the other and sends a call on it, before it learns that its own dial
    was answered too. If the redundant link is closed at once, the call on it fails,
    and an owner of a stage is treated as lost.
    """
    peers = {"e-1": await start("e-1"), "e-2": await start("e-2")}
    others = {"e-1": "e-2", "e-2": "e-1"}
    for peer in peers.values():
        peer.gates.hold()
    for peer in peers.values():
        peer.emit_listing(*((one, other.address) for one, other in peers.items()))
    await wait_until(lambda: all(peer.gates.dials == 1 for peer in peers.values()))
    for peer in peers.values():
        peer.gates.accepted.set()
    await wait_until(lambda: all(peer.count_links() == 1 for peer in peers.values()))
    asked = [
        asyncio.create_task(peer.hub.ask(others[one], Echo(f"from {one}"), TIMEOUT))
        for one, peer in peers.items()
    ]
    await wait_until(lambda: all(peer.count_sent() == 1 for peer in peers.values()))
    peers[learns_first].gates.dialled.set()
    await wait_until(lambda: not peers[learns_first].hub._links._dials)
    peers[others[learns_first]].gates.dialled.set()
    answers = await asyncio.gather(*asked)
    assert answers == [Ok(Echo("from e-1")), Ok(Echo("from e-2"))]
    assert peers["e-1"].echoed == ["from e-2"]
    assert peers["e-2"].echoed == ["from e-1"]
    await wait_until(lambda: not any(peer.hub._links._dials for peer in peers.values()))
    # both kept the link dialled by the lower id
    held = {one: peer.hub.dump()["links"][others[one]] for one, peer in peers.items()}
    assert held["e-1"]["initiated"] is True
    assert held["e-2"]["initiated"] is False
    for one, peer in peers.items():
        assert await peer.hub.ask(others[one], Echo("x"), TIMEOUT) == Ok(Echo("x"))


async def test_link_that_replaces_a_silent_one_is_not_refused(start):
    """Guards against an instance that can't reach a healthy peer after a disconnect.

    The link dialled by the lower id becomes silent soon after it was opened. Only the
    other side detects it and dials again. The new link must not be treated as one
    that crossed the silent one, and rejected.
    """
    second = await start("e-2", silence=0.6)
    async with FaultyLink(second.address) as faulty_link:
        first = await start("e-1")
        first.emit_listing(("e-2", faulty_link.address))
        await wait_until(lambda: first.count_links() == second.count_links() == 1)
        waiting = asyncio.create_task(second.hub.ask("e-1", Hold(), TIMEOUT))
        await wait_until(lambda: first.holds == 1)
        faulty_link.blackhole(only_open=True)
        await wait_until(lambda: second.metrics.value("peers.silent_links") == 1)
        # the host may be down, so the error does not claim a mere disconnect
        error = (await waiting).err_value
        assert (error.kind, error.disconnected) == (PeerErrorKind.NO_ANSWER, False)
        second.emit_listing(("e-1", first.address))
        assert await second.hub.ask("e-1", Echo("x"), TIMEOUT) == Ok(Echo("x"))
        held = first.hub.dump()["links"]["e-2"]
        assert held["initiated"] is False


async def start_linked(start) -> tuple[Peer, Peer]:
    """Start two instances, of which the first has dialled the second."""
    first, second = await start("e-1"), await start("e-2")
    first.emit_listing(("e-2", second.address))
    await wait_until(lambda: first.count_links() == second.count_links() == 1)
    return first, second


async def test_instance_restarted_at_its_address_is_not_refused(start):
    """Guards against a restarted instance that can't reach a peer.

    Its host fails without closing connections, so the peer still has the old link. It
    restarts within the same second and so has the same incarnation. Its dial must not
    be treated as one that crossed the old link, and rejected.
    """
    second = await start("e-2", clock=FixedWallClock(1_000_000.1))
    async with FaultyLink(second.address) as faulty_link:
        first = await start("e-1")
        first.emit_listing(("e-2", faulty_link.address))
        await wait_until(lambda: first.count_links() == second.count_links() == 1)
        faulty_link.blackhole(only_open=True)
        port = second.hub.port
        await second.hub.stop()
        again = await start("e-2", port=port, clock=FixedWallClock(1_000_000.4))
        again.emit_listing(("e-1", first.address))
        assert await again.hub.ask("e-1", Echo("x"), TIMEOUT) == Ok(Echo("x"))
        assert await first.hub.ask("e-2", Echo("y"), TIMEOUT) == Ok(Echo("y"))
        assert first.find_link("e-2").initiated is False


async def test_call_on_a_closing_link_is_retried(start):
    """Guards against a call that fails with "the link closed" though no peer was lost.

    One side closes a link that it no longer needs while a call of the peer is in
    transit. The close reason must tell that the call was not handled.
    """
    first, second = await start_linked(start)
    link = first.find_link("e-2")
    link.drained = True
    asked = asyncio.create_task(second.hub.ask("e-1", Echo("x"), TIMEOUT))
    unread = first.metrics
    await wait_until(lambda: unread.value("peers.untouched_questions") == 1)
    await link.close_drained(CloseCode.IDLE)
    assert await asked == Ok(Echo("x"))
    assert first.echoed == ["x"]


@pytest.mark.parametrize("asks", ["e-1", "e-2"])
async def test_link_is_closed_only_without_pending_work(start, monkeypatch, asks):
    """Guards against long calls that fail because their link is retired.

    A call of either side is pending when the link is evicted. The link must stay open
    beyond its minimum retirement time until the answer is received.
    """
    checks = 0
    has_pending_work = Link.has_pending_work.fget

    def count_check(link: Link) -> bool:
        nonlocal checks
        checks += 1
        return has_pending_work(link)

    first, second = await start_linked(start)
    monkeypatch.setattr(Link, "has_pending_work", property(count_check))
    monkeypatch.setattr(link_retirement, "MIN_RETIREMENT", 0.0)
    monkeypatch.setattr(link_retirement, "POLL_INTERVAL", 0.01)
    asking, asked = (first, second) if asks == "e-1" else (second, first)
    other = asked.hub.instance_id
    waiting = asyncio.create_task(asking.hub.ask(other, Hold(), TIMEOUT))
    await wait_until(lambda: asked.holds == 1)
    link = first.retire("e-2")
    await wait_until(lambda: checks >= 3)
    assert not link.ended
    asked.released.set()
    assert await waiting == Ok(Echo("released"))
    await wait_until(lambda: link.ended)
    assert asked.holds == 1


async def test_link_with_endless_work_is_closed_as_not_drained(start, monkeypatch):
    """Guards against leaked links, and against calls that are handled twice.

    The link of a handler that does not return is retired. It must be closed after the
    maximum retirement time, but not as drained: the peer would retry the call.
    """
    first, second = await start_linked(start)
    monkeypatch.setattr(link_retirement, "MIN_RETIREMENT", 0.0)
    monkeypatch.setattr(link_retirement, "MAX_RETIREMENT", 0.0)
    waiting = asyncio.create_task(second.hub.ask("e-1", Hold(), TIMEOUT))
    await wait_until(lambda: first.holds == 1)
    link = first.retire("e-2")
    match await waiting:
        case Err(error):
            assert error.kind is PeerErrorKind.NO_ANSWER
            assert error.disconnected
        case answer:
            pytest.fail(f"answered: {answer}")
    await wait_until(lambda: link.ended)
    assert first.holds == 1


async def test_stop_does_not_wait_for_retired_links(start, monkeypatch):
    """Guards against a stop that is delayed by the retirement time of a link.

    The server waits for all links that it has accepted, also for one that was
    replaced shortly before, so a stop must close retired links too.
    """
    monkeypatch.setattr(link_retirement, "MIN_RETIREMENT", 3600.0)
    _, second = await start_linked(start)
    link = second.retire("e-1")
    async with asyncio.timeout(TIMEOUT):
        await second.hub.stop()
    assert link.ended


def create_link(own: str, dialler: str, numbers: dict[str, int]) -> Link:
    other = "e-2" if own == "e-1" else "e-1"
    return Link(
        connection=None,
        peer=Hello(instance_id=other, number=numbers[other]),
        initiated=dialler == own,
        traffic=Traffic(),
        hello_number=numbers[own],
    )


async def test_both_sides_keep_the_same_link():
    """Guards against instances that close each other's links right after opening.

    Two links cross, or one follows the other, and the sides learn of them in
    different orders. Both must decide by what the two of them know.
    """
    ids = ("e-1", "e-2")
    for diallers in itertools.product(ids, ids):
        for orders in itertools.product((False, True), repeat=2):
            links = []
            for place, dialler in enumerate(diallers):
                numbers = {}
                for one, later in zip(ids, orders, strict=True):
                    numbers[one] = 5 + (place if later else -place)
                links.append((dialler, numbers))
            kept = set()
            for own in ids:
                one, two = (create_link(own, *link) for link in links)
                second_stays = replaces(two, one, own, 1.0)
                assert replaces(one, two, own, 1.0) is not second_stays
                kept.add(second_stays)
            assert len(kept) == 1
            if orders[0] == orders[1]:
                # both hellos of one link are later, so it is the newer link
                assert kept == {orders[0]}


@pytest.mark.parametrize("apart", [0.0, 5.0])
async def test_peer_without_hello_numbers_is_decided_by_time(apart):
    """Guards against lost links during a rolling upgrade.

    An instance of an earlier release does not number its hellos. Two links with it
    that cross, or follow each other, must be decided by time.
    """
    # seconds within which the earlier release treats two links as crossed
    crossing = 1.0
    for own in ("e-1", "e-2"):
        numbers = {"e-1": 0, "e-2": 0, own: 7}
        held = create_link(own, "e-1", numbers)
        new = create_link(own, "e-2", numbers | {own: 8})
        new.opened = held.opened + apart
        # of crossed links that of the lower id is kept, otherwise the newer one
        assert replaces(new, held, own, crossing) is (apart > crossing)
        new = create_link(own, "e-1", numbers | {own: 8})
        assert replaces(new, held, own, crossing)
