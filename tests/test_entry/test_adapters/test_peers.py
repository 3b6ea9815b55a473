"""Tests of links between entry instances, over loopback."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field

import pytest
from result import Err, Ok
from websockets.asyncio.client import connect
from websockets.exceptions import ConnectionClosed

from greengagelatch.clock import SystemClock
from greengagelatch.events import EventBus
from greengagelatch.instances import Instance, InstanceKind, Listing
from greengagelatch.peers import MemberState, PeerErrorKind
from greengagelatch.peers.codec import (
    MAX_MESSAGE_BYTES,
    Envelope,
    Message,
    encode,
    register,
)
from greengagelatch.peers.messages import Hello
from greengagelatch.settings import parse
from greengagelatch_entry.adapters.peer_link import MAX_DROPPABLE, Link, OutgoingFrame
from greengagelatch_entry.adapters.peer_sockets import Traffic
from greengagelatch_entry.adapters.peers import PeerHub
from greengagelatch_entry.controllers.drain import DRAIN_STARTED
from greengagelatch_entry.controllers.listing import LISTING_RECEIVED
from greengagelatch_entry.metrics import Metrics
from greengagelatch_lab.standins.tcp_proxy import TcpProxy as FaultyLink
from greengagelatch_lab.waiting import wait_until

TIMEOUT = 10.0

SETTINGS = """
[instance]
id = {instance_id}
data_centre = tutuban-hall
[peers]
listen = 127.0.0.1:0
seeds = {seeds}
heartbeat = 0.1
silence = {silence}
rest_factor = {rest}
probe_interval = 0.2
dead_interval = 0.5
[platform]
store = 127.0.0.1:1
instances = 127.0.0.1:1
"""


@register("test-echo")
@dataclass(frozen=True, slots=True)
class Echo(Message):
    text: str = ""


@register("test-hang")
@dataclass(frozen=True, slots=True)
class Hang(Message):
    pass


@register("test-crash")
@dataclass(frozen=True, slots=True)
class Crash(Message):
    pass


class AdvanceableClock(SystemClock):
    """Clock that can be advanced."""

    def __init__(self) -> None:
        self.offset = 0.0

    def now(self) -> float:
        return super().now() + self.offset


@dataclass
class Peer:
    hub: PeerHub
    events: EventBus
    metrics: Metrics
    clock: AdvanceableClock
    echoed: list[str] = field(default_factory=list)

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

    def find_state(self, instance_id: str) -> MemberState | None:
        for member in self.hub.members():
            if member.instance_id == instance_id:
                return member.state
        return None

    def count_links(self) -> int:
        return len(self.hub.dump()["links"])


@pytest.fixture
async def start():
    peers = []

    async def create(
        instance_id: str, *, silence: float = 5, rest: float = 1, seeds: str = ""
    ) -> Peer:
        text = SETTINGS.format(
            instance_id=instance_id, silence=silence, rest=rest, seeds=seeds
        )
        events, metrics, clock = EventBus(), Metrics("127.0.0.1:9"), AdvanceableClock()
        hub = PeerHub(
            clock=clock,
            random_source=random.Random(instance_id),
            events=events,
            settings=parse(text).unwrap(),
            metrics=metrics,
        )
        peer = Peer(hub, events, metrics, clock)

        def echo(sender: str, message: Echo) -> Echo:
            peer.echoed.append(message.text)
            return message

        async def hang(sender: str, message: Hang) -> None:
            await asyncio.Event().wait()

        def crash(sender: str, message: Crash) -> None:
            raise RuntimeError("meant to fail")

        hub.handle(Echo, echo)
        hub.handle(Hang, hang)
        hub.handle(Crash, crash)
        await hub.start()
        peers.append(peer)
        return peer

    yield create
    for peer in peers:
        await peer.hub.stop()


async def start_trio(start, **options) -> list[Peer]:
    ids = ("e-1", "e-2", "e-3")
    trio = [await start(instance_id, **options) for instance_id in ids]
    shown = [(peer.hub.instance_id, peer.address) for peer in trio]
    for peer in trio:
        peer.emit_listing(*shown)
    await wait_until(lambda: all(know_each_other(peer, trio) for peer in trio))
    await wait_until(lambda: all(peer.count_links() == 2 for peer in trio))
    return trio


def know_each_other(peer: Peer, trio: list[Peer]) -> bool:
    ids = [other.hub.instance_id for other in trio]
    return all(peer.find_state(item) is MemberState.ALIVE for item in ids)


async def test_instances_discover_and_call_each_other(start):
    trio = await start_trio(start)
    for peer in trio:
        for other in trio:
            if other is peer:
                continue
            answer = await peer.hub.ask(other.hub.instance_id, Echo("x"), TIMEOUT)
            assert answer == Ok(Echo("x"))
    assert [peer.count_links() for peer in trio] == [2, 2, 2]


async def test_both_dial_at_once_and_keep_one_link(start):
    """Guards against two links per pair, and links closed in turn by both sides.

    If both dial at the same time, they must agree on which of the two links is kept.
    """
    first, second = await start("e-1"), await start("e-2")
    shown = (("e-1", first.address), ("e-2", second.address))
    first.emit_listing(*shown)
    second.emit_listing(*shown)
    asks = [
        peer.hub.ask(other, Echo(str(number)), TIMEOUT)
        for number in range(20)
        for peer, other in ((first, "e-2"), (second, "e-1"))
    ]
    answers = await asyncio.gather(*asks)
    assert all(isinstance(answer, Ok) for answer in answers)
    assert (first.count_links(), second.count_links()) == (1, 1)
    held = [peer.hub.dump()["links"] for peer in (first, second)]
    assert held[0]["e-2"]["initiated"] != held[1]["e-1"]["initiated"]
    assert sorted(second.echoed) == sorted(str(number) for number in range(20))


async def test_dial_of_an_earlier_process_keeps_the_link_to_its_successor(start):
    """Guards against links that are reopened for minutes after all instances restart.

    A process starts at the address of an earlier one under a new id, while peers still
    dial the earlier one, which they consider dead. The new process treats the hello
    as a newer link and retires the one in use; the dialler gets another id than it
    dialled and closes the new link too. Live instances are then suspected repeatedly.
    """
    first, second = await start("e-1"), await start("e-2")
    shown = (("e-1", first.address), ("e-2", second.address))
    first.emit_listing(*shown)
    second.emit_listing(*shown)
    assert isinstance(await first.hub.ask("e-2", Echo("x"), TIMEOUT), Ok)
    held = [peer.hub._links.list_links() for peer in (first, second)]
    first.emit_listing(*shown, ("e-0", second.address))
    for _ in range(5):
        assert isinstance(await first.hub.ask("e-0", Echo("y"), 0.2), Err)
        await asyncio.sleep(0.1)
    assert [peer.hub._links.list_links() for peer in (first, second)] == held
    assert second.echoed == ["x"]


async def test_errors_tell_whether_the_call_may_have_run(start):
    trio = await start_trio(start)
    hub = trio[0].hub

    async def find_kind(instance_id: str, message: Message, timeout: float):
        match await hub.ask(instance_id, message, timeout):
            case Err(error):
                return error.kind
        return None

    assert await find_kind("e-9", Echo(), TIMEOUT) is PeerErrorKind.NOT_SENT
    assert await find_kind("e-2", Hang(), 0.2) is PeerErrorKind.NO_ANSWER
    assert await find_kind("e-2", Crash(), TIMEOUT) is PeerErrorKind.NO_ANSWER
    # a hello has no handler
    assert await find_kind("e-2", Hello(), TIMEOUT) is PeerErrorKind.REFUSED
    huge = Echo("x" * MAX_MESSAGE_BYTES)
    assert await find_kind("e-2", huge, TIMEOUT) is PeerErrorKind.NOT_SENT


async def test_call_of_a_later_release_is_answered(start):
    """Guards against calls of newer instances that hang during a rolling upgrade.

    An older instance must answer a call with a message type that it does not know.
    """
    peer = await start("e-1")
    async with connect(f"ws://{peer.address}", proxy=None) as raw:
        hello = Hello(
            instance_id="e-2",
            data_centre="tutuban-hall",
            address="127.0.0.1:1",
            incarnation=1,
        )
        await raw.send(encode(Envelope(hello)))
        frame = encode(Envelope(Echo(), call_id=77)).replace(b"test-echo", b"next-echo")
        await raw.send(frame)
        async with asyncio.timeout(TIMEOUT):
            while b"not-understood" not in (reply := await raw.recv()):
                continue
    assert encode(Envelope(Echo(), reply_to=77))[-4:] == reply[-4:]


async def test_silent_link_is_detected_and_replaced(start):
    """Guards against calls to a healthy peer that time out for minutes.

    The open connection drops all data in both directions while new ones work, and the
    send buffer is full, so that no heartbeat can be written. Silence must be detected
    without relying on a write or its answer, as both wait behind the full buffer.
    """
    # only the second instance may detect the silence: the first would otherwise dial
    # and replace the link before the second does
    first = await start("e-1", silence=60.0)
    async with FaultyLink(first.address) as link:
        second = await start("e-2", silence=0.6)
        second.emit_listing(("e-1", link.address))
        await wait_until(lambda: second.find_state("e-1") is MemberState.ALIVE)
        link.blackhole(only_open=True)
        for _ in range(40):
            second.hub.send("e-1", Echo("x" * 100_000))
        silent = second.metrics
        await wait_until(lambda: silent.value("peers.silent_links") == 1)
        await wait_until(lambda: second.count_links() == 1)
        assert await second.hub.ask("e-1", Echo("y"), TIMEOUT) == Ok(Echo("y"))


async def test_call_on_a_link_that_was_silent_at_rest_fails_soon(start):
    """Guards against stage calls that wait until their deadline for a dead link.

    On a link without calls, silence is detected late, as heartbeats are rare there.
    """
    first = await start("e-1", silence=60.0, rest=100)
    async with FaultyLink(first.address) as link:
        second = await start("e-2", silence=0.6, rest=100)
        second.emit_listing(("e-1", link.address))
        await wait_until(lambda: second.find_state("e-1") is MemberState.ALIVE)
        link.blackhole(only_open=True)
        async with asyncio.timeout(TIMEOUT):
            answer = await second.hub.ask("e-1", Echo("y"), 60.0)
        assert isinstance(answer, Err)
        assert second.metrics.value("peers.silent_links") == 1


async def test_peer_that_works_on_a_call_sends_heartbeats(start):
    """Guards against long calls that fail as their link counts as silent."""
    first = await start("e-1", silence=0.6, rest=100)
    second = await start("e-2", silence=0.6, rest=100)
    second.emit_listing(("e-1", first.address))
    await wait_until(lambda: second.find_state("e-1") is MemberState.ALIVE)
    answer = await second.hub.ask("e-1", Hang(), 2.0)
    assert answer.unwrap_err().kind is PeerErrorKind.NO_ANSWER
    assert second.metrics.value("peers.silent_links") == 0
    assert second.count_links() == 1


async def test_pause_keeps_links(start):
    """Guards against the loss of all links after a process is paused and resumed.

    Its clocks jump by a minute between two loop iterations, and data of the peers is
    still unread. The pause must not count as silence of the peers.
    """
    trio = await start_trio(start)
    hub = trio[0].hub
    trio[0].clock.offset = 60.0
    for link in hub._links.list_links():
        link.opened -= 60.0
        link._connection.last_received -= 60.0
    hub.maintain_links()
    assert trio[0].metrics.value("peers.silent_links") == 0
    assert trio[0].count_links() == 2
    assert know_each_other(trio[0], trio)


async def test_leaving_is_propagated_to_all(start):
    trio = await start_trio(start)
    trio[0].events.emit(DRAIN_STARTED)
    await wait_until(
        lambda: all(peer.find_state("e-1") is MemberState.LEAVING for peer in trio)
    )
    # a leaving instance still answers calls
    assert await trio[1].hub.ask("e-1", Echo("x"), TIMEOUT) == Ok(Echo("x"))


async def test_instances_discover_each_other_without_listings(start):
    """Guards against missing members while the platform's instance list is down.

    Only one instance gets a listing. The two others must learn of each other from the
    peers that connect to them.
    """
    first, second, third = [await start(f"e-{number}") for number in (1, 2, 3)]
    assert [member.instance_id for member in first.hub.members()] == ["e-1"]
    first.emit_listing(("e-2", second.address), ("e-3", third.address))
    trio = [first, second, third]
    await wait_until(lambda: all(know_each_other(peer, trio) for peer in trio))
    assert (await second.hub.ask("e-3", Echo("x"), TIMEOUT)) == Ok(Echo("x"))


async def test_new_instance_discovers_the_others_by_a_seed(start):
    """Guards against an isolated instance if the platform's instance list is down.

    One of its two seed addresses is unreachable; it must try the other and discover
    all members through it.
    """
    first, second = await start("e-1"), await start("e-2")
    first.emit_listing(("e-2", second.address))
    new = await start("e-3", seeds=f"127.0.0.1:1, {first.address}")
    trio = [first, second, new]
    await wait_until(lambda: all(know_each_other(peer, trio) for peer in trio))
    dials = new.metrics.value("peers.seed_dials")
    assert dials >= 1
    new.hub.maintain_links()
    assert new.metrics.value("peers.seed_dials") == dials


async def test_seed_that_leaves_is_dialled_once(start):
    """Guards against a link that is opened and closed five times a second.

    The only reachable seed is leaving and so is no neighbour. It must not be dialled
    again while a link to it is open.
    """
    leaving = await start("e-1")
    leaving.events.emit(DRAIN_STARTED)
    new = await start("e-2", seeds=leaving.address)
    await wait_until(lambda: new.find_state("e-1") is MemberState.LEAVING)
    dials = new.metrics.value("peers.seed_dials")
    for _ in range(5):
        new.hub.maintain_links()
    assert new.metrics.value("peers.seed_dials") == dials


async def find_close_code(address: str, first_frame: bytes) -> int | None:
    async with connect(f"ws://{address}", proxy=None, max_size=None) as raw:
        try:
            await raw.send(first_frame)
            async with asyncio.timeout(TIMEOUT):
                while True:
                    await raw.recv()
        except ConnectionClosed:
            return raw.close_code


@pytest.mark.parametrize("instance_id", ["e-1", "e-2"])
async def test_peer_under_anothers_id_is_rejected(start, instance_id):
    """Guards against messages that reach the wrong instance.

    A process connects under the id of an instance that is alive at another address.
    """
    trio = await start_trio(start)
    hello = Hello(
        instance_id=instance_id,
        data_centre="tutuban-hall",
        address="127.0.0.1:1",
        incarnation=2**40,
    )
    code = await find_close_code(trio[0].address, encode(Envelope(hello)))
    assert code == 4002
    assert await trio[0].hub.ask("e-2", Echo("x"), TIMEOUT) == Ok(Echo("x"))


LONG_PROTOCOL = encode(Envelope(Hello(instance_id="e-2", protocol="é" * 90)))


@pytest.mark.parametrize(
    ("frame", "code"),
    [
        (b"\xff" * 50, 4002),
        (b"x" * (MAX_MESSAGE_BYTES + 1), 1009),
        # the reason in a close frame has 123 bytes at the most
        (LONG_PROTOCOL, 4002),
    ],
)
async def test_invalid_first_frame_closes_the_link(start, frame, code):
    peer = await start("e-1")
    assert await find_close_code(peer.address, frame) == code
    assert peer.count_links() == 0


async def test_queue_drops_only_droppable_messages():
    """Guards against unbounded memory, and against lost answers, with a slow peer.

    If more is sent than the peer reads, the queue must drop messages, oldest first,
    but never answers.
    """
    link = Link(connection=None, peer=Hello(), initiated=True, traffic=Traffic())
    answers = [OutgoingFrame(b"answer", "a") for _ in range(10)]
    for number in range(MAX_DROPPABLE * 2):
        assert link.offer(OutgoingFrame(b"%d" % number, "g"), droppable=True)
        if number < 10:
            assert link.offer(answers[number], droppable=False)
    assert link.dropped == MAX_DROPPABLE
    taken = [link._pop() for _ in range(MAX_DROPPABLE + 10)]
    assert taken[:10] == answers
    assert taken[10].frame == b"%d" % MAX_DROPPABLE
    assert link._pop() is None
    assert not link.offer(OutgoingFrame(b"x" * 2**23, "q"), droppable=False)
