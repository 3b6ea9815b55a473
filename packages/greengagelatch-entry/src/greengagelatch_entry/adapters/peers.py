"""Messages between entry instances over WebSocket links."""

from __future__ import annotations

import asyncio
import inspect
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
from greengagelatch.peers.codec import (
    MAX_MESSAGE_BYTES,
    DecodeError,
    Envelope,
    Message,
    decode,
    encode,
)
from greengagelatch.peers.messages import Busy, Hello, NotUnderstood, Unanswered
from greengagelatch.settings import split_endpoints

from ..controllers import Controller
from ..controllers.membership import MembershipController, is_probe
from .peer_link import Outgoing
from .peer_links import LinkLimits, LinkOwner, PeerLinks
from .peer_questions import Questions

if TYPE_CHECKING:
    import random

    from greengagelatch.clock import Clock
    from greengagelatch.events import EventBus
    from greengagelatch.settings import Settings

    from ..metrics import Metrics
    from .peer_link import Link

__all__ = ("PeerHub",)

logger = logging.getLogger(__name__)

#: seconds between two looks at the links, at the most
TICK = 0.2

#: times a question is tried on a new link after one closed with it unsent
TRIES = 2

#: seconds between two reports of traffic
REPORT_INTERVAL = 1.0


class PeerHub(Controller, PeerNetwork, LinkOwner):
    """Links to other entry instances, and what is known of them.

    Peers are trusted as far as their network is: an id is checked against what is
    known of it, but not proved.
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
    ) -> None:
        super().__init__()
        self._clock = clock
        self._metrics = metrics
        self._listen: str = settings["peers.listen"]
        self._silence: float = settings["peers.silence"]
        self._tick = min(TICK, settings["peers.heartbeat"])
        self._max_in_work: int = settings["peers.in_work"]
        self._advertise: str = settings["peers.advertise"]
        self._seeds = split_endpoints(settings["peers.seeds"])
        self._random = random_source
        self._handlers: dict[type[Message], MessageHandler] = {}
        self._questions = Questions()
        self._in_work: set[asyncio.Task[None]] = set()
        self._waiting: set[asyncio.Task[None]] = set()
        self._last_report = 0.0
        self._last_tick: float | None = None
        self._links = PeerLinks(
            owner=self,
            limits=_read_limits(settings),
            random_source=random_source,
            metrics=metrics,
        )
        self._membership = MembershipController(
            peers=self,
            clock=clock,
            random_source=random_source,
            events=events,
            settings=settings,
            metrics=metrics,
        )
        self.add_dependency(self._membership)

    # peer network

    @property
    def instance_id(self) -> str:
        return self._membership.instance_id

    @property
    def port(self) -> int:
        """Port on which peers connect; known once started."""
        return self._links.port

    def members(self) -> tuple[Member, ...]:
        return self._membership.members()

    def neighbours(self) -> tuple[str, ...]:
        return self._membership.list_neighbours()

    def send(self, instance_id: str, message: Message) -> bool:
        frame = self._encode(Envelope(message))
        if frame is None:
            return False
        outgoing = Outgoing(frame, message.wire_name)
        link = self._links.find(instance_id)
        if link is not None:
            return self._offer(link, outgoing, message)
        dial = self._dial(instance_id)
        if dial is None:
            return False
        task = asyncio.create_task(self._offer_later(dial, outgoing, message))
        self._waiting.add(task)
        task.add_done_callback(self._waiting.discard)
        return True

    async def ask(
        self, instance_id: str, message: Message, timeout: float
    ) -> Result[Message, PeerError]:
        deadline = asyncio.get_running_loop().time() + timeout
        if self._encode(Envelope(message)) is None:
            return _fail_unsent("the message is too large")
        answer = _fail_unsent(f"no link to {instance_id}")
        for _ in range(TRIES):
            link = await self._find_link(instance_id, deadline)
            if link is None:
                return answer
            link.note_use()
            answer = await self._questions.ask(link, message, deadline)
            if not _is_unsent(answer) or self._links.find(instance_id) is link:
                return answer
        return answer

    def handle(self, message_type: type[Message], handler: MessageHandler) -> None:
        if message_type in self._handlers:
            msg = f"{message_type.__name__} already has a handler"
            raise ValueError(msg)
        self._handlers[message_type] = handler

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
            "questions": len(self._questions),
            "in_work": len(self._in_work),
            **self._membership.dump(),
        }

    # service

    async def on_start(self) -> None:
        host, _, port = self._listen.rpartition(":")
        await self._links.start(host.strip("[]"), int(port))
        self._membership.begin(self._advertise or f"{host}:{self.port}")

    async def on_stop(self) -> None:
        tasks = (*self._in_work, *self._waiting)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._links.stop()
        self._links.traffic.report(self._metrics)

    @Service.task
    async def _tend_forever(self) -> None:
        while not self.should_stop:
            self.tend()
            # cheaper than the service's own sleep, which starts a task each time
            await asyncio.sleep(self._tick)

    def tend(self) -> None:
        """Drop links that went silent or idle, open those that are missing."""
        now = self._clock.now()
        self._notice_pause(now)
        neighbours = self._membership.list_neighbours()
        self._links.tend(frozenset(neighbours))
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
        """Try to meet others by one of the addresses given in the settings."""
        known = {link.peer.address for link in self._links.list_links()}
        known.add(self._membership.describe().address)
        seeds = [address for address in self._seeds if address not in known]
        if not seeds:
            return
        if self._links.dial_any(self._random.choice(seeds)) is not None:
            self._metrics.count("peers.seed_dials")

    def _notice_pause(self, now: float) -> None:
        last, self._last_tick = self._last_tick, now
        if last is not None and now - last > self._silence / 2:
            # while this process stood still it read nothing: what its peers sent
            # still waits in the sockets, and no link may be called silent for that
            self._links.excuse_silence()

    # what links need

    def describe(self) -> Hello:
        return self._membership.describe()

    def find_fault(self, hello: Hello) -> str:
        held = self._links.find(hello.instance_id)
        linked_address = "" if held is None else held.peer.address
        return self._membership.find_fault(hello, linked_address)

    def note_open(self, link: Link) -> None:
        hello = link.peer
        identity = Identity(
            instance_id=hello.instance_id,
            data_centre=hello.data_centre,
            address=hello.address,
            incarnation=hello.incarnation,
        )
        self._membership.meet(identity, leaving=hello.leaving)

    def note_closed(self, link: Link) -> None:
        self._questions.abandon(link)
        if not link.ended_in_order:
            self._membership.note_link_lost(link.instance_id)

    def receive(self, link: Link, data: bytes) -> None:
        match decode(data):
            case Ok(envelope):
                self._dispatch(link, envelope)
            case Err(DecodeError(unknown=True) as error):
                self._metrics.count("peers.unknown_messages")
                self._answer(link, error.question, NotUnderstood(error.reason))
            case Err(error):
                self._metrics.count("peers.bad_frames")
                logger.warning("bad frame from %s: %s", link.instance_id, error.reason)
                link.abort()

    # messages

    def _dispatch(self, link: Link, envelope: Envelope) -> None:
        message = envelope.message
        if envelope.answer:
            if not self._questions.settle(link, envelope.answer, message):
                self._metrics.count("peers.late_answers")
            return
        if not is_probe(message):
            link.note_use()
        handler = self._handlers.get(type(message))
        if handler is None:
            self._metrics.count("peers.unhandled_messages")
            reason = f"no handler for {message.wire_name}"
            self._answer(link, envelope.question, NotUnderstood(reason))
            return
        if len(self._in_work) >= self._max_in_work:
            # answers are still read, or two peers that wait for each other's
            # answers would both be stuck
            self._metrics.count("peers.busy")
            self._answer(link, envelope.question, Busy())
            return
        self._call(link, envelope.question, handler, message)

    def _call(
        self, link: Link, question: int, handler: MessageHandler, message: Message
    ) -> None:
        try:
            answer = handler(link.instance_id, message)
        except Exception:
            logger.exception("handler of %s failed", message.wire_name)
            self._answer(link, question, Unanswered())
            return
        if not inspect.isawaitable(answer):
            self._answer(link, question, answer or Unanswered())
            return
        task = asyncio.create_task(self._finish_call(link, question, answer, message))
        self._in_work.add(task)
        task.add_done_callback(self._in_work.discard)

    async def _finish_call(
        self, link: Link, question: int, pending: Any, message: Message
    ) -> None:
        answer: Message | None = None
        try:
            answer = await pending
        except Exception:
            logger.exception("handler of %s failed", message.wire_name)
        self._answer(link, question, answer or Unanswered())

    def _answer(self, link: Link, question: int, message: Message) -> None:
        if not question:
            return
        frame = self._encode(Envelope(message, answer=question))
        if frame is None:
            frame = encode(Envelope(Unanswered(), answer=question))
        if not link.offer(Outgoing(frame, message.wire_name), droppable=False):
            # a peer that does not read its answers; it is told nothing more
            self._metrics.count("peers.answers_without_room")
            link.abort()

    def _offer(self, link: Link, outgoing: Outgoing, message: Message) -> bool:
        if not is_probe(message):
            link.note_use()
        return link.offer(outgoing, droppable=True)

    async def _offer_later(
        self, dial: asyncio.Task[Link | None], outgoing: Outgoing, message: Message
    ) -> None:
        link = await asyncio.shield(dial)
        if link is not None:
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
                return await asyncio.shield(dial)
        except TimeoutError:
            return None

    def _dial(self, instance_id: str) -> asyncio.Task[Link | None] | None:
        address = self._membership.find_address(instance_id)
        if not address:
            return None
        return self._links.dial(instance_id, address)

    def _encode(self, envelope: Envelope) -> bytes | None:
        frame = encode(envelope)
        if len(frame) <= MAX_MESSAGE_BYTES:
            return frame
        self._metrics.count("peers.too_large")
        logger.error("%s of %s bytes not sent", envelope.message, len(frame))
        return None


def _fail_unsent(reason: str) -> Err[PeerError]:
    return Err(PeerError(PeerErrorKind.NOT_SENT, reason))


def _is_unsent(answer: Result[Message, PeerError]) -> bool:
    match answer:
        case Err(PeerError(PeerErrorKind.NOT_SENT)):
            return True
    return False


def _read_limits(settings: Settings) -> LinkLimits:
    return LinkLimits(
        heartbeat=settings["peers.heartbeat"],
        silence=settings["peers.silence"],
        rest_factor=settings["peers.rest_factor"],
        open_timeout=settings["peers.open_timeout"],
        idle=settings["peers.idle"],
        max_links=settings["peers.max_links"],
    )
