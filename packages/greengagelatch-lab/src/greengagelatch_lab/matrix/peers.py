"""Simulated peer links between entry instances, with the real failure detector."""

from __future__ import annotations

import asyncio
import inspect
import itertools
from collections import defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from mode import Service
from result import Err, Ok, Result

from greengagelatch.membership.steps import Identity
from greengagelatch.peers import (
    Member,
    MessageHandler,
    PeerError,
    PeerErrorKind,
    PeerNetwork,
)
from greengagelatch.peers.codec import Envelope, Message, decode, encode
from greengagelatch.peers.messages import NotUnderstood, Unanswered
from greengagelatch_entry.controllers import Controller
from greengagelatch_entry.controllers.membership import MembershipController

from .network import Pipe

if TYPE_CHECKING:
    import random

    from greengagelatch.clock import Clock
    from greengagelatch.events import EventBus
    from greengagelatch.settings import Settings
    from greengagelatch_entry.metrics import Metrics

    from .network import Network
    from .processes import SimulatedProcess

__all__ = ("LinkRegistry", "SimulatedPeers")

#: seconds between two checks of the links
CHECK_INTERVAL = 0.5


@dataclass(slots=True, eq=False)
class _Link:
    """A connection of two instances; as in TCP, frames wait during a partition."""

    ends: tuple[SimulatedPeers, SimulatedPeers]
    #: whether it drops all frames, as after a middlebox has lost its state
    silent: bool = False
    open: bool = True
    #: loop time at which each end last received from the other
    last_received: dict[str, float] = field(default_factory=dict)
    #: undelivered frames by receiver
    undelivered: dict[str, list[bytes]] = field(default_factory=dict)
    pipes: dict[str, Pipe] = field(default_factory=lambda: defaultdict(Pipe))

    def get_other(self, end: SimulatedPeers) -> SimulatedPeers:
        return self.ends[1] if self.ends[0] is end else self.ends[0]


class LinkRegistry:
    """Registry of instances by address, and of the links between them."""

    def __init__(self, network: Network) -> None:
        self.network = network
        self._peers: dict[str, SimulatedPeers] = {}
        self._links: dict[frozenset[str], _Link] = {}

    def join(self, address: str, peers: SimulatedPeers) -> None:
        """Register an instance that listens at ``address``."""
        self._peers[address] = peers

    def silence(self, instance_id: str) -> None:
        """Drop all further traffic on an instance's open links."""
        for names, link in self._links.items():
            if instance_id in names:
                link.silent = True

    def reset(self, instance_id: str) -> None:
        """Close all links, as the operating system does for a dead process."""
        for names, link in list(self._links.items()):
            if instance_id in names:
                self.close(link)

    def find(self, one: str, other: str) -> _Link | None:
        """Return the open link between two instances."""
        return self._links.get(frozenset((one, other)))

    def dial(self, caller: SimulatedPeers, address: str) -> _Link | None:
        """Open a link or return the existing one; ``None`` if it cannot be opened."""
        callee = self._peers.get(address)
        if (
            callee is None
            or not callee.accepting
            or not self._can_connect(caller, callee)
        ):
            return None
        names = frozenset((caller.instance_id, callee.instance_id))
        existing = self._links.get(names)
        if existing is not None:
            return existing
        link = _Link((caller, callee))
        now = asyncio.get_running_loop().time()
        self._links[names] = link
        for end in link.ends:
            link.last_received[end.instance_id] = now
            end.process.deliver(end.handle_link_open, link.get_other(end))
        return link

    def close(self, link: _Link) -> None:
        """Close a link and notify both ends."""
        if not link.open:
            return
        link.open = False
        names = frozenset(end.instance_id for end in link.ends)
        self._links.pop(names, None)
        for end in link.ends:
            end.process.deliver(
                end.handle_link_closed, link, link.get_other(end).instance_id
            )

    def carry(self, link: _Link, sender: SimulatedPeers, frame: bytes) -> None:
        """Send a frame, or queue it while the receiver is unreachable."""
        receiver = link.get_other(sender)
        if not self._can_deliver(link, sender, receiver):
            link.undelivered.setdefault(receiver.instance_id, []).append(frame)
            return
        latency = self.network.draw_latency(sender.place, receiver.place)
        pipe = link.pipes[receiver.instance_id]
        pipe.carry(latency, self._arrive, link, receiver, frame)

    def check_links(self, end: SimulatedPeers) -> list[_Link]:
        """Update an end's links, deliver frames queued for it, and return the links."""
        now = asyncio.get_running_loop().time()
        own = [link for link in self._links.values() if end in link.ends]
        for link in own:
            other = link.get_other(end)
            if other.process.running and self._can_deliver(link, other, end):
                link.last_received[end.instance_id] = now
                for frame in link.undelivered.pop(end.instance_id, ()):
                    end.process.deliver(end.receive, link, frame)
        return own

    def _can_connect(self, one: SimulatedPeers, other: SimulatedPeers) -> bool:
        both_ways = self.network.reaches(one.place, other.place) and (
            self.network.reaches(other.place, one.place)
        )
        return both_ways and other.process.running

    def _can_deliver(
        self, link: _Link, sender: SimulatedPeers, receiver: SimulatedPeers
    ) -> bool:
        return not link.silent and self.network.reaches(sender.place, receiver.place)

    def _arrive(self, link: _Link, receiver: SimulatedPeers, frame: bytes) -> None:
        if link.open:
            receiver.process.deliver(receiver.receive, link, frame)


class SimulatedPeers(Controller, PeerNetwork):
    """One instance's side of an :class:`LinkRegistry`; replaces ``PeerHub``."""

    name = "peers"

    def __init__(
        self,
        *,
        links: LinkRegistry,
        process: SimulatedProcess,
        place: str,
        clock: Clock,
        random_source: random.Random,
        events: EventBus,
        settings: Settings,
        metrics: Metrics,
    ) -> None:
        super().__init__()
        self.process = process
        self.place = place
        self.accepting = False
        self.port = 0
        self._links = links
        self._address: str = settings["peers.listen"]
        self._silence: float = settings["peers.silence"]
        self._handlers: dict[type[Message], MessageHandler] = {}
        self._pending_calls: dict[int, tuple[_Link, asyncio.Future[Any]]] = {}
        self._call_ids = itertools.count(1)
        self._last_tick = 0.0
        self._tasks: set[asyncio.Task[None]] = set()
        self._membership = MembershipController(
            peers=self,
            clock=clock,
            random_source=random_source,
            events=events,
            settings=settings,
            metrics=metrics,
        )
        self.add_dependency(self._membership)

    @property
    def instance_id(self) -> str:
        return self._membership.instance_id

    def members(self) -> tuple[Member, ...]:
        return self._membership.members()

    def send(self, instance_id: str, message: Message) -> bool:
        link = self._find_link(instance_id)
        if link is None:
            return False
        self._links.carry(link, self, encode(Envelope(message)))
        return True

    async def ask(
        self, instance_id: str, message: Message, timeout: float
    ) -> Result[Message, PeerError]:
        link = self._find_link(instance_id)
        if link is None:
            return Err(PeerError(PeerErrorKind.NOT_SENT, f"no link to {instance_id}"))
        call_id = next(self._call_ids)
        answer: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        self._pending_calls[call_id] = (link, answer)
        self._links.carry(link, self, encode(Envelope(message, call_id=call_id)))
        try:
            async with asyncio.timeout(timeout):
                reply = await answer
        except TimeoutError:
            return Err(PeerError(PeerErrorKind.NO_ANSWER, "no answer in time"))
        except ConnectionError:
            return Err(
                PeerError(PeerErrorKind.NO_ANSWER, "the link closed", disconnected=True)
            )
        finally:
            del self._pending_calls[call_id]
        if isinstance(reply, NotUnderstood):
            return Err(PeerError(PeerErrorKind.REFUSED, "not understood"))
        if isinstance(reply, Unanswered):
            return Err(PeerError(PeerErrorKind.NO_ANSWER, "the peer's handler failed"))
        return Ok(reply)

    def handle(self, message_type: type[Message], handler: MessageHandler) -> None:
        if message_type in self._handlers:
            msg = f"{message_type.__name__} already has a handler"
            raise ValueError(msg)
        self._handlers[message_type] = handler

    def dump(self) -> dict[str, Any]:
        return self._membership.dump()

    async def on_start(self) -> None:
        self._links.join(self._address, self)
        self.accepting = True

    async def on_stop(self) -> None:
        self.accepting = False
        self._links.reset(self.instance_id)

    @Service.task
    async def _check_links_forever(self) -> None:
        loop = asyncio.get_running_loop()
        while not self.should_stop:
            now = loop.time()
            paused = now - self._last_tick > 2 * CHECK_INTERVAL
            self._last_tick = now
            for link in self._links.check_links(self):
                # after a pause, frames sent in the meantime are still unread
                silent = now - link.last_received[self.instance_id] > self._silence
                if silent and not paused:
                    self._links.close(link)
            for instance_id in self._membership.list_neighbours():
                self._find_link(instance_id)
            await self.sleep(CHECK_INTERVAL)

    def handle_link_open(self, other: SimulatedPeers) -> None:
        """Register the peer of a new link, after the exchange of hello messages."""
        hello = other.create_hello()
        identity = Identity(
            instance_id=hello.instance_id,
            data_centre=hello.data_centre,
            address=hello.address,
            incarnation=hello.incarnation,
        )
        self._membership.register_peer(identity, leaving=hello.leaving)

    def create_hello(self) -> Any:
        """Return this instance's hello message."""
        return self._membership.create_hello()

    def handle_link_closed(self, link: _Link, instance_id: str) -> None:
        """Fail pending calls on a closed link and report its loss."""
        for used, answer in self._pending_calls.values():
            if used is link and not answer.done():
                answer.set_exception(ConnectionResetError())
        self._membership.handle_link_loss(instance_id)

    def receive(self, link: _Link, frame: bytes) -> None:
        """Process a received frame."""
        envelope = decode(frame).unwrap()
        if envelope.reply_to:
            used, answer = self._pending_calls.get(envelope.reply_to, (None, None))
            if used is link and not answer.done():
                answer.set_result(envelope.message)
            return
        handler = self._handlers.get(type(envelope.message))
        if handler is None:
            self._answer(link, envelope.call_id, NotUnderstood("no handler"))
            return
        answer = handler(link.get_other(self).instance_id, envelope.message)
        if not inspect.isawaitable(answer):
            self._answer(link, envelope.call_id, answer or Unanswered())
            return
        task = asyncio.create_task(self._finish(link, envelope.call_id, answer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _finish(self, link: _Link, call_id: int, pending: Any) -> None:
        self._answer(link, call_id, await pending or Unanswered())

    def _answer(self, link: _Link, call_id: int, message: Message) -> None:
        if call_id and link.open:
            self._links.carry(link, self, encode(Envelope(message, reply_to=call_id)))

    def _find_link(self, instance_id: str) -> _Link | None:
        link = self._links.find(self.instance_id, instance_id)
        if link is not None:
            return link
        address = self._membership.find_address(instance_id)
        return self._links.dial(self, address) if address else None
