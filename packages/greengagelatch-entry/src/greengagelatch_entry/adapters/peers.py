"""Messages between entry instances over WebSocket links."""

from __future__ import annotations

import asyncio
import logging
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
from greengagelatch.peers.codec import DecodeError, Envelope, Message, decode
from greengagelatch.peers.messages import Hello, NotUnderstood
from greengagelatch.setting_values import split_endpoints

from ..controllers import Controller
from ..controllers.membership import MembershipController, is_probe
from .peer_calls import MessageDispatcher, encode_bounded
from .peer_link import OutgoingFrame
from .peer_links import LinkLimits, LinkOwner, PeerLinks
from .pending_calls import PendingCalls

if TYPE_CHECKING:
    import random
    from collections.abc import Awaitable, Callable

    from greengagelatch.clock import Clock
    from greengagelatch.events import EventBus
    from greengagelatch.setting_values import Settings

    from ..metrics import Metrics
    from .peer_link import Link
    from .peer_sockets import AcceptedConnection

__all__ = ("PeerHub",)

logger = logging.getLogger(__name__)

#: maximum seconds between two checks of the links
MAX_TICK = 0.2

#: maximum attempts of a call that was not sent because its link closed
MAX_ATTEMPTS = 2

#: upper bound on the hellos that an instance sends in a second
HELLOS_PER_SECOND = 1_000_000

#: seconds between two reports of traffic
REPORT_INTERVAL = 1.0


class PeerHub(Controller, PeerNetwork, LinkOwner):
    """Network of entry instances: messages, calls and membership.

    Peers are trusted as far as their network is: an id is checked for consistency
    with known members, but not authenticated.
    """

    name = "peers"

    def __init__(
        self,
        *,
        clock: Clock,
        random_source: random.Random,
        events: EventBus,
        settings: Settings,
        metrics: Metrics,
        capacity: int = 0,
    ) -> None:
        """Create the hub.

        :param capacity: capacity of this instance to own stages; 0 if not announced
        """
        super().__init__()
        self._clock = clock
        self._metrics = metrics
        self._listen: str = settings["peers.listen"]
        self._silence: float = settings["peers.silence"]
        self._tick = min(MAX_TICK, settings["peers.heartbeat"])
        self._advertise: str = settings["peers.advertise"]
        self._seeds = split_endpoints(settings["peers.seeds"])
        self._random = random_source
        self._dispatcher = MessageDispatcher(
            max_concurrent=settings["peers.in_work"], metrics=metrics
        )
        self._pending_calls = PendingCalls()
        self._pending_sends: set[asyncio.Task[None]] = set()
        self._last_report = 0.0
        self._last_tick: float | None = None
        self._links = PeerLinks(
            owner=self,
            limits=_read_limits(settings),
            random_source=random_source,
            metrics=metrics,
            # like incarnations, numbers are higher in a later process with the same id
            last_hello_number=int(clock.wall() * HELLOS_PER_SECOND),
        )
        self._membership = MembershipController(
            peers=self,
            clock=clock,
            random_source=random_source,
            events=events,
            settings=settings,
            metrics=metrics,
            capacity=capacity,
        )
        self.add_dependency(self._membership)

    # peer network

    @property
    def instance_id(self) -> str:
        return self._membership.instance_id

    @property
    def port(self) -> int:
        """Port for connections of peers; known once started."""
        return self._links.port

    def members(self) -> tuple[Member, ...]:
        return self._membership.members()

    def neighbours(self) -> tuple[str, ...]:
        return self._membership.list_neighbours()

    def send(self, instance_id: str, message: Message) -> bool:
        frame = encode_bounded(Envelope(message), self._metrics)
        if frame is None:
            return False
        outgoing = OutgoingFrame(frame, message.wire_name)
        link = self._links.find(instance_id)
        if link is not None:
            return self._offer(link, outgoing, message)
        dial = self._dial(instance_id)
        if dial is None:
            return False
        task = asyncio.create_task(self._offer_after_dial(dial, outgoing, message))
        self._pending_sends.add(task)
        task.add_done_callback(self._pending_sends.discard)
        return True

    async def ask(
        self, instance_id: str, message: Message, timeout: float
    ) -> Result[Message, PeerError]:
        deadline = asyncio.get_running_loop().time() + timeout
        if encode_bounded(Envelope(message), self._metrics) is None:
            return _fail_unsent("the message is too large")
        answer = _fail_unsent(f"no link to {instance_id}")
        for _ in range(MAX_ATTEMPTS):
            link = await self._find_link(instance_id, deadline)
            if link is None:
                return answer
            link.record_use()
            answer = await self._pending_calls.ask(link, message, deadline)
            if not _is_unsent(answer) or self._links.find(instance_id) is link:
                return answer
        return answer

    def handle(self, message_type: type[Message], handler: MessageHandler) -> None:
        self._dispatcher.handle(message_type, handler)

    def dump(self) -> dict[str, Any]:
        now = asyncio.get_running_loop().time()
        links = {
            link.instance_id: {
                "address": link.peer.address,
                "initiated": link.initiated,
                "age": now - link.opened,
                "seconds_since_byte": now - link.last_received,
                "dropped": link.dropped,
            }
            for link in self._links.list_links()
        }
        return {
            "links": links,
            "questions": len(self._pending_calls),
            "in_work": len(self._dispatcher),
            **self._membership.dump(),
        }

    def serve_path(
        self, path: str, handler: Callable[[AcceptedConnection], Awaitable[None]]
    ) -> None:
        """Serve WebSocket connections for a path on the listener of the links."""
        self._links.serve_path(path, handler)

    # service

    async def on_start(self) -> None:
        host, _, port = self._listen.rpartition(":")
        await self._links.start(host.strip("[]"), int(port))
        self._membership.set_address(self._advertise or f"{host}:{self.port}")

    async def on_stop(self) -> None:
        await self._dispatcher.stop()
        tasks = tuple(self._pending_sends)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._links.stop()
        self._links.traffic.report(self._metrics)

    @Service.task
    async def _maintain_links_forever(self) -> None:
        while not self.should_stop:
            self.maintain_links()
            # cheaper than the sleep method of Service, which starts a task on each call
            await asyncio.sleep(self._tick)

    def maintain_links(self) -> None:
        """Maintain the links: drop silent ones, close idle ones, open missing ones."""
        now = self._clock.now()
        self._detect_pause(now)
        neighbours = self._membership.list_neighbours()
        self._links.maintain(frozenset(neighbours))
        for instance_id in neighbours:
            if self._links.find(instance_id) is None:
                self._dial(instance_id)
        if not neighbours:
            self._dial_seed()
        if now - self._last_report >= REPORT_INTERVAL:
            self._last_report = now
            self._links.traffic.report(self._metrics)
            self._metrics.gauge("peers.links", len(self._links.list_links()))

    def _dial_seed(self) -> None:
        """Dial a random seed address from the settings."""
        known = {link.peer.address for link in self._links.list_links()}
        known.add(self._membership.create_hello().address)
        seeds = [address for address in self._seeds if address not in known]
        if not seeds:
            return
        if self._links.dial_any(self._random.choice(seeds)) is not None:
            self._metrics.count("peers.seed_dials")

    def _detect_pause(self, now: float) -> None:
        last, self._last_tick = self._last_tick, now
        if last is not None and now - last > self._silence / 2:
            # a paused process reads nothing: data of the peers is still in the socket
            # buffers, so links must not be dropped as silent
            self._links.reset_silence()

    # link owner

    def create_hello(self) -> Hello:
        return self._membership.create_hello()

    def check_hello(self, hello: Hello) -> str:
        current = self._links.find(hello.instance_id)
        linked_address = "" if current is None else current.peer.address
        return self._membership.check_hello(hello, linked_address)

    def handle_open(self, link: Link) -> None:
        hello = link.peer
        identity = Identity(
            instance_id=hello.instance_id,
            data_centre=hello.data_centre,
            address=hello.address,
            incarnation=hello.incarnation,
            capacity=hello.capacity,
        )
        self._membership.register_peer(identity, leaving=hello.leaving)

    def handle_closed(self, link: Link) -> None:
        self._pending_calls.fail_calls(link)
        if not link.closed_cleanly:
            self._membership.handle_link_loss(link.instance_id)

    def handle_frame(self, link: Link, data: bytes) -> None:
        match decode(data):
            case Ok(envelope):
                self._dispatch(link, envelope)
            case Err(DecodeError(unknown=True) as error):
                self._metrics.count("peers.unknown_messages")
                self._dispatcher.send_answer(
                    link, error.call_id, NotUnderstood(error.reason)
                )
            case Err(error):
                self._metrics.count("peers.bad_frames")
                logger.warning(
                    "invalid frame from %s: %s", link.instance_id, error.reason
                )
                link.abort()

    # messages

    def _dispatch(self, link: Link, envelope: Envelope) -> None:
        message = envelope.message
        if envelope.reply_to:
            if not self._pending_calls.deliver(link, envelope.reply_to, message):
                self._metrics.count("peers.late_answers")
            return
        if not is_probe(message):
            link.record_use()
        self._dispatcher.dispatch(link, envelope.call_id, message)

    def _offer(self, link: Link, outgoing: OutgoingFrame, message: Message) -> bool:
        if not is_probe(message):
            link.record_use()
        return link.offer(outgoing, droppable=True)

    async def _offer_after_dial(
        self, dial: asyncio.Task[Link | None], outgoing: OutgoingFrame, message: Message
    ) -> None:
        link = await asyncio.shield(dial)
        if link is not None:
            # the dialled link may have been replaced meanwhile
            link = self._links.find(link.instance_id) or link
            self._offer(link, outgoing, message)

    async def _find_link(self, instance_id: str, deadline: float) -> Link | None:
        link = self._links.find(instance_id)
        if link is not None:
            return link
        dial = self._dial(instance_id)
        if dial is None:
            return None
        try:
            async with asyncio.timeout_at(deadline):
                await asyncio.shield(dial)
        except TimeoutError:
            return None
        # not the dialled link, which may have been replaced or closed meanwhile: a
        # call on a closed link would wait until its deadline
        return self._links.find(instance_id)

    def _dial(self, instance_id: str) -> asyncio.Task[Link | None] | None:
        address = self._membership.find_address(instance_id)
        if not address:
            return None
        return self._links.dial(instance_id, address)


def _fail_unsent(reason: str) -> Err[PeerError]:
    return Err(PeerError(PeerErrorKind.NOT_SENT, reason))


def _is_unsent(answer: Result[Message, PeerError]) -> bool:
    match answer:
        case Err(PeerError(PeerErrorKind.NOT_SENT)):
            return True
    return False


def _read_limits(settings: Settings) -> LinkLimits:
    return LinkLimits(
        heartbeat_interval=settings["peers.heartbeat"],
        silence_timeout=settings["peers.silence"],
        idle_factor=settings["peers.rest_factor"],
        open_timeout=settings["peers.open_timeout"],
        idle_timeout=settings["peers.idle"],
        max_links=settings["peers.max_links"],
        max_handshakes=settings["peers.max_handshakes"],
    )
