"""Two links of one pair of instances, with the order of events fixed by gates."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field

import pytest
from result import Ok

from greengagelatch.clock import SystemClock
from greengagelatch.events import EventBus
from greengagelatch.instances import Instance, InstanceKind, Listing
from greengagelatch.peers.codec import Message, register
from greengagelatch.settings import parse
from greengagelatch_entry.adapters import peer_links
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
listen = 127.0.0.1:0
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


@pytest.fixture
async def start(monkeypatch):
    peers = {}
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

    async def create(instance_id: str, *, silence: float = 60.0) -> Peer:
        text = SETTINGS.format(instance_id=instance_id, silence=silence)
        events, metrics = EventBus(), Metrics("127.0.0.1:9")
        hub = PeerHub(
            clock=SystemClock(),
            random_source=random.Random(instance_id),
            events=events,
            settings=parse(text).unwrap(),
            metrics=metrics,
        )
        peer = Peer(hub, events, metrics, Gates())
        hub.handle(Echo, peer.echo)
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
        way.silence(only_open=True)
        await wait_until(lambda: second.metrics.value("peers.silent_links") == 1)
        second.show(("e-1", first.address))
        assert await second.hub.ask("e-1", Echo("x"), TIMEOUT) == Ok(Echo("x"))
        held = first.hub.dump()["links"]["e-2"]
        assert held["initiated"] is False
