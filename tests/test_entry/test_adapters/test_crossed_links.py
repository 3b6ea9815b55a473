"""Two links of one pair of instances, with the order of events fixed by gates."""

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
from greengagelatch_lab.standins.link import Link as FaultyLink
from greengagelatch_lab.waiting import wait_until

TIMEOUT = 10.0

#: times to open a link that no run comes near, so that only the gates give the order
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


class OffsetClock(SystemClock):
    """A clock whose time of day is given."""

    def __init__(self, wall: float) -> None:
        self._wall = wall

    def wall(self) -> float:
        return self._wall


@dataclass
class Gates:
    """Where an instance waits before it reads a hello; open unless a test shuts it."""

    accepted: asyncio.Event = field(default_factory=asyncio.Event)
    dialled: asyncio.Event = field(default_factory=asyncio.Event)
    #: dials that have sent their hello and wait for the other one
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

    def show(self, *shown: tuple[str, str]) -> None:
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
        """Return how many questions were handed to a socket."""
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
        """Have a link make room, which the other side does not know of."""
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
async def test_questions_on_both_of_two_crossed_links_are_answered(start, learns_first):
    """
    Symptom: right after two instances have met, a question fails with "the link
    closed" though nothing was cut, and an owner of stage work is taken for lost.
    Sequence: both dial, and both hellos are on their way before either is read; each
    takes the link of the other and asks on it; only then each learns that its own
    dial was answered too. Cause: one of the two links was closed with a question on
    it, by the side that had not yet used it.
    """
    peers = {"e-1": await start("e-1"), "e-2": await start("e-2")}
    others = {"e-1": "e-2", "e-2": "e-1"}
    for peer in peers.values():
        peer.gates.hold()
    for peer in peers.values():
        peer.show(*((one, other.address) for one, other in peers.items()))
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
    # both kept the one that the lower id has dialled
    held = {one: peer.hub.dump()["links"][others[one]] for one, peer in peers.items()}
    assert held["e-1"]["initiated"] is True
    assert held["e-2"]["initiated"] is False
    for one, peer in peers.items():
        assert await peer.hub.ask(others[one], Echo("x"), TIMEOUT) == Ok(Echo("x"))


async def test_link_that_replaces_a_silent_one_is_not_refused(start):
    """
    Symptom: after a cut of seconds one instance can't reach another that works.
    Sequence: the link that the lower id has dialled goes silent soon after it was
    opened; only the other side notices, and dials anew. Cause: the new link was taken
    for one that had crossed the silent one, and refused.
    """
    second = await start("e-2", silence=0.6)
    async with FaultyLink(second.address) as way:
        first = await start("e-1")
        first.show(("e-2", way.address))
        await wait_until(lambda: first.count_links() == second.count_links() == 1)
        waiting = asyncio.create_task(second.hub.ask("e-1", Hold(), TIMEOUT))
        await wait_until(lambda: first.holds == 1)
        way.silence(only_open=True)
        await wait_until(lambda: second.metrics.value("peers.silent_links") == 1)
        # the machine may be gone: nothing says that another link would reach it
        error = (await waiting).err_value
        assert (error.kind, error.disconnected) == (PeerErrorKind.NO_ANSWER, False)
        second.show(("e-1", first.address))
        assert await second.hub.ask("e-1", Echo("x"), TIMEOUT) == Ok(Echo("x"))
        held = first.hub.dump()["links"]["e-2"]
        assert held["initiated"] is False


async def meet(start) -> tuple[Peer, Peer]:
    """Start two instances, of which the first has dialled the second."""
    first, second = await start("e-1"), await start("e-2")
    first.show(("e-2", second.address))
    await wait_until(lambda: first.count_links() == second.count_links() == 1)
    return first, second


async def test_instance_that_starts_again_under_its_address_is_not_refused(start):
    """
    Symptom: an instance that has started again can't reach another one. Sequence: its
    machine is gone without a word, so that the other still has the old link; it starts
    again within the same second. Cause: its dial was taken for one that had crossed
    the old link, as both have the same incarnation, and refused.
    """
    second = await start("e-2", clock=OffsetClock(1_000_000.1))
    async with FaultyLink(second.address) as way:
        first = await start("e-1")
        first.show(("e-2", way.address))
        await wait_until(lambda: first.count_links() == second.count_links() == 1)
        way.silence(only_open=True)
        port = second.hub.port
        await second.hub.stop()
        again = await start("e-2", port=port, clock=OffsetClock(1_000_000.4))
        again.show(("e-1", first.address))
        assert await again.hub.ask("e-1", Echo("x"), TIMEOUT) == Ok(Echo("x"))
        assert await first.hub.ask("e-2", Echo("y"), TIMEOUT) == Ok(Echo("y"))
        assert first.find_link("e-2").initiated is False


async def test_question_that_meets_the_end_of_its_link_is_asked_again(start):
    """
    Symptom: a question fails with "the link closed" though no instance was lost.
    Sequence: one side ends a link that it needs no more; a question of the other is
    on its way as it does. Cause: nothing told whether it had been looked at.
    """
    first, second = await meet(start)
    link = first.find_link("e-2")
    link.drained = True
    asked = asyncio.create_task(second.hub.ask("e-1", Echo("x"), TIMEOUT))
    unread = first.metrics
    await wait_until(lambda: unread.value("peers.untouched_questions") == 1)
    await link.close_drained(CloseCode.IDLE)
    assert await asked == Ok(Echo("x"))
    assert first.echoed == ["x"]


@pytest.mark.parametrize("asks", ["e-1", "e-2"])
async def test_link_ends_only_once_nothing_is_under_way(start, monkeypatch, asks):
    """
    Symptom: a question that takes long fails as its link ends. Sequence: either side
    asks; the link makes room for another; its time is over before the answer is there.
    Cause: it was closed at that time, whatever was under way on it.
    """
    looks = 0
    has_pending_work = Link.has_pending_work.fget

    def look(link: Link) -> bool:
        nonlocal looks
        looks += 1
        return has_pending_work(link)

    first, second = await meet(start)
    monkeypatch.setattr(Link, "has_pending_work", property(look))
    monkeypatch.setattr(link_retirement, "MIN_RETIREMENT", 0.0)
    monkeypatch.setattr(link_retirement, "POLL_INTERVAL", 0.01)
    asking, asked = (first, second) if asks == "e-1" else (second, first)
    other = asked.hub.instance_id
    waiting = asyncio.create_task(asking.hub.ask(other, Hold(), TIMEOUT))
    await wait_until(lambda: asked.holds == 1)
    link = first.retire("e-2")
    await wait_until(lambda: looks >= 3)
    assert not link.ended
    asked.released.set()
    assert await waiting == Ok(Echo("released"))
    await wait_until(lambda: link.ended)
    assert asked.holds == 1


async def test_link_that_never_rests_ends_without_its_word(start, monkeypatch):
    """
    Symptom: retired links and their sockets grow in number, or a question is handled
    twice. Sequence: a handler does not end; its link is retired. Cause: the link was
    kept for good, or closed as one on which all is answered.
    """
    first, second = await meet(start)
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
    """
    Symptom: an instance takes eight seconds longer to stop. Sequence: a link that it
    has accepted was replaced shortly before. Cause: only the links in use were
    closed, and the server waits for all.
    """
    monkeypatch.setattr(link_retirement, "MIN_RETIREMENT", 3600.0)
    _, second = await meet(start)
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
    """
    Symptom: two instances lose each link a moment after it was opened. Sequence: two
    links cross, or one follows the other; the two sides learn of them in different
    orders. Cause: each side decides by what only it knows.
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
                # the hellos of one are both later: it follows the other
                assert kept == {orders[0]}


@pytest.mark.parametrize("apart", [0.0, 5.0])
async def test_peer_without_numbers_gets_the_rule_by_time(apart):
    """
    Symptom: during a rolling upgrade instances lose links that they have just opened.
    Sequence: two links of an instance and one of an earlier release cross, or one
    follows the other. Cause: they were decided on by numbers that one side lacks.
    """
    # seconds for which the earlier release takes two links for crossed
    crossing = 1.0
    for own in ("e-1", "e-2"):
        numbers = {"e-1": 0, "e-2": 0, own: 7}
        held = create_link(own, "e-1", numbers)
        new = create_link(own, "e-2", numbers | {own: 8})
        new.opened = held.opened + apart
        # crossed, the one of the lower id is kept; later, it is the newer
        assert replaces(new, held, own, crossing) is (apart > crossing)
        new = create_link(own, "e-1", numbers | {own: 8})
        assert replaces(new, held, own, crossing)
