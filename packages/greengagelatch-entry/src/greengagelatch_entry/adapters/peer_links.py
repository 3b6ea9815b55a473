"""Links of this instance to its peers: accepting, dialling, replacing, closing."""

from __future__ import annotations

import asyncio
import logging
from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from result import Err, Ok, Result
from websockets.exceptions import WebSocketException

from greengagelatch.peers.codec import Envelope, encode

from .dial_backoff import DialBackoff
from .handshake import Handshake, truncate_reason
from .link_retirement import close_when_drained
from .link_tie_break import replaces
from .peer_link import CloseCode, Link
from .peer_sockets import SocketOptions, Traffic, listen, open_connection

if TYPE_CHECKING:
    import random
    from collections.abc import Awaitable, Callable, Coroutine

    from websockets.asyncio.server import Server

    from greengagelatch.peers.messages import Hello

    from ..metrics import Metrics
    from .peer_sockets import AcceptedConnection

__all__ = ("LinkLimits", "LinkOwner", "PeerLinks")

logger = logging.getLogger(__name__)

#: seconds between two log lines about limits of handshakes
LIMIT_LOG_INTERVAL = 1.0

#: maximum number of concurrent dials
MAX_DIALS = 16

#: seconds without use after which a link may be evicted for another one
EVICTION_IDLE_SECONDS = 2.0


@dataclass(frozen=True, slots=True, kw_only=True)
class LinkLimits:
    """Limits of links; times in seconds."""

    heartbeat_interval: float
    silence_timeout: float
    #: factor by which both are longer while no answer is due
    idle_factor: float
    open_timeout: float
    idle_timeout: float
    max_links: int
    #: accepted connections in their handshake
    max_handshakes: int


class LinkOwner(ABC):
    """Interface that :class:`PeerLinks` requires of its owner."""

    @abstractmethod
    def create_hello(self) -> Hello:
        """Return the hello of this instance."""

    @abstractmethod
    def check_hello(self, hello: Hello) -> str:
        """Return why a peer's hello is invalid; empty if it is valid."""

    @abstractmethod
    def handle_open(self, link: Link) -> None:
        """Handle a new link."""

    @abstractmethod
    def handle_closed(self, link: Link) -> None:
        """Handle the closing of a link, whether it was in use or retired."""

    @abstractmethod
    def handle_frame(self, link: Link, data: bytes) -> None:
        """Handle a received frame."""


class PeerLinks:
    """Links to peers, at most one in use for each peer."""

    def __init__(
        self,
        *,
        owner: LinkOwner,
        limits: LinkLimits,
        random_source: random.Random,
        metrics: Metrics,
        last_hello_number: int,
    ) -> None:
        """Create the links.

        :param last_hello_number: sequence number before that of the first hello; must
            be higher than any that an earlier process with the same id has sent.
        """
        self._owner = owner
        self._handshake = Handshake(
            create_hello=owner.create_hello,
            check_hello=owner.check_hello,
            timeout=limits.open_timeout,
            last_number=last_hello_number,
        )
        self._limits = limits
        self._metrics = metrics
        self._traffic = Traffic()
        self._options = SocketOptions(
            open_timeout=limits.open_timeout,
            max_handshakes=limits.max_handshakes,
            on_limit=self._record_limit,
        )
        #: event loop time in seconds from which a limit is logged again
        self._limit_logged_until = 0.0
        self._server: Server | None = None
        #: handlers of the connections that are no links, by path
        self._path_handlers: dict[
            str, Callable[[AcceptedConnection], Awaitable[None]]
        ] = {}
        self._links: dict[str, Link] = {}
        #: all open links, including retired ones
        self._running: set[Link] = set()
        self._dials: dict[str, asyncio.Task[Link | None]] = {}
        self._dial_backoff = DialBackoff(random_source)
        self._tasks: set[asyncio.Task[None]] = set()
        self._closing = False

    @property
    def traffic(self) -> Traffic:
        """Traffic counters since the last report."""
        return self._traffic

    @property
    def port(self) -> int:
        """Port of the listener."""
        assert self._server is not None
        return next(iter(self._server.sockets)).getsockname()[1]

    def find(self, instance_id: str) -> Link | None:
        """Return the link in use to an instance."""
        return self._links.get(instance_id)

    def list_links(self) -> tuple[Link, ...]:
        """Return all links in use."""
        return tuple(self._links.values())

    def serve_path(
        self, path: str, handler: Callable[[AcceptedConnection], Awaitable[None]]
    ) -> None:
        """Pass the connections for a path to ``handler`` instead of taking links.

        Each is open until the handler returns; all must end before :meth:`stop`. The
        handler ends the handshake of a connection once its client is identified.
        """
        self._path_handlers[path] = handler

    async def start(self, host: str, port: int) -> None:
        """Start accepting links."""
        self._server = await listen(
            host, port, self._accept, self._traffic, self._options
        )

    def _record_limit(self, limit: str, peer: str) -> None:
        self._metrics.count("peers.handshakes_closed")
        now = asyncio.get_running_loop().time()
        if now >= self._limit_logged_until:
            self._limit_logged_until = now + LIMIT_LOG_INTERVAL
            logger.warning("handshake of %s closed by the limit %s", peer, limit)

    async def stop(self) -> None:
        """Close all links; returns within the close timeout."""
        self._closing = True
        if self._server is not None:
            self._server.close(close_connections=False)
        for dial in self._dials.values():
            dial.cancel()
        # including retired links, as the server waits for all accepted connections
        links = [link.close(1001, "stopping") for link in self._running]
        await asyncio.gather(*links, *self._dials.values(), return_exceptions=True)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()

    def dial(self, instance_id: str, address: str) -> asyncio.Task[Link | None] | None:
        """Open a link to an instance; ``None`` if a dial is not allowed now."""
        dial = self._dials.get(instance_id)
        if dial is not None:
            return dial
        if self._closing or self._dial_backoff.is_active(instance_id):
            return None
        if self._is_address_in_use(instance_id, address):
            return None
        if len(self._dials) >= MAX_DIALS or not self._ensure_capacity():
            self._metrics.count("peers.dials_refused")
            return None
        dial = asyncio.create_task(self._dial(instance_id, address))
        self._dials[instance_id] = dial
        dial.add_done_callback(lambda _: self._dials.pop(instance_id, None))
        return dial

    def _is_address_in_use(self, instance_id: str, address: str) -> bool:
        """Whether an open link shows that another instance has this address.

        A process can reuse the address of an earlier one under a new id. A dial meant
        for the earlier process would make it replace the link in use.
        """
        return any(
            link.peer.address == address and link.instance_id != instance_id
            for link in self._links.values()
        )

    def dial_any(self, address: str) -> asyncio.Task[Link | None] | None:
        """Open a link to an address whose instance is unknown.

        ``None`` if a dial is not allowed now: at most one such dial is in progress,
        and a failed one delays the next to any address.
        """
        return None if "" in self._dials else self.dial("", address)

    def reset_silence(self) -> None:
        """Restart the measurement of silence on all links after a process pause."""
        for link in self._links.values():
            link.reset_silence()

    def maintain(self, neighbours: frozenset[str]) -> None:
        """Send heartbeats, drop silent links, close idle ones to non-neighbours.

        Heartbeats are frequent only towards a peer that waits for an answer, as only a
        call has to fail over soon: at one in each direction every 0.3 s, they would be
        more than half of all frames.
        """
        now = asyncio.get_running_loop().time()
        rare = self._limits.idle_factor
        for link in self.list_links():
            factor = 1.0 if link.active_handlers else rare
            link.send_heartbeat(now, self._limits.heartbeat_interval * factor)
            factor = 1.0 if link.pending_calls else rare
            if link.find_silence(now) > self._limits.silence_timeout * factor:
                # A middlebox that has lost the state of an open connection drops its
                # packets for good, while new connections work. Calls on it would
                # time out; once dropped, it is replaced by a new dial.
                self._metrics.count("peers.silent_links")
                self._drop(link)
                link.silent = True
                link.abort()
                continue
            idle = now - link.last_used > self._limits.idle_timeout
            # only the side that opened a link closes it, as the other may still need it
            if idle and link.initiated and link.instance_id not in neighbours:
                self._retire(link, CloseCode.IDLE, "idle")

    # opening links

    async def _dial(self, instance_id: str, address: str) -> Link | None:
        self._metrics.count("peers.dials")
        match await self._open(instance_id, address):
            case Ok(link):
                self._dial_backoff.record_success(instance_id)
                return link
            case Err(reason):
                current = self._links.get(instance_id)
                if current is not None:
                    # the peer has opened a link at the same time
                    return current
                self._metrics.count("peers.dial_failures")
                logger.debug("no link to %s at %s: %s", instance_id, address, reason)
                self._dial_backoff.record_failure(instance_id)
                return None

    async def _open(self, instance_id: str, address: str) -> Result[Link, str]:
        try:
            connection = await open_connection(address, self._traffic, self._options)
        except (OSError, TimeoutError, ValueError, WebSocketException) as error:
            return Err(str(error) or type(error).__name__)
        current = self._links.get(instance_id)
        if current is not None:
            # the peer has dialled meanwhile; a hello sent now would tell it that this
            # side has no link, and replace the one in use
            self._spawn(connection.close(CloseCode.DUPLICATE, "duplicate"))
            return Ok(current)
        own = self._handshake.create_hello()
        try:
            await connection.send(encode(Envelope(own)))
            hello = await self._handshake.read_hello(connection)
        except (TimeoutError, WebSocketException) as error:
            await connection.close()
            return Err(str(error) or type(error).__name__)
        except asyncio.CancelledError:
            connection.transport.abort()
            raise
        problem = self._handshake.check_hello(hello, instance_id)
        if problem or hello is None:
            await connection.close(CloseCode.IDENTITY, truncate_reason(problem))
            return Err(problem)
        link = Link(
            connection=connection,
            peer=hello,
            initiated=True,
            traffic=self._traffic,
            hello_number=own.number,
        )
        self._register(link)
        self._spawn(self._run(link))
        return Ok(self._links.get(link.instance_id, link))

    async def _accept(self, connection: AcceptedConnection) -> None:
        request = connection.request
        handler = self._path_handlers.get(request.path if request else "")
        if handler is not None:
            await handler(connection)
            return
        if self._closing:
            await connection.close(1001, "stopping")
            return
        try:
            hello = await self._handshake.read_hello(connection)
        except (TimeoutError, WebSocketException):
            return
        problem = self._handshake.check_hello(hello, "")
        if problem or hello is None:
            self._metrics.count("peers.rejected")
            logger.warning("rejected link from a peer: %s", problem)
            await connection.close(CloseCode.IDENTITY, truncate_reason(problem))
            return
        known = hello.instance_id in self._links
        if not known and len(self._links) >= self._limits.max_links:
            self._metrics.count("peers.links_refused")
            await connection.close(CloseCode.FULL, "too many links")
            return
        own = self._handshake.create_hello()
        link = Link(
            connection=connection,
            peer=hello,
            initiated=False,
            traffic=self._traffic,
            hello_number=own.number,
        )
        if self._closing or self._is_redundant(link):
            # the peer has received no hello yet, so no calls are pending on the link
            await connection.close(CloseCode.DUPLICATE, "duplicate")
            return
        connection.end_handshake()
        # without an await after the number is drawn: a hello sent in between on a dial
        # would have a later number, as if its sender knew of this link
        self._register(link)
        await self._run(link, encode(Envelope(own)))

    # choosing one link per peer

    def _is_redundant(self, link: Link) -> bool:
        """Whether the link already in use is kept instead of ``link``."""
        current = self._links.get(link.instance_id)
        if current is None:
            return False
        own_id = self._owner.create_hello().instance_id
        return not replaces(link, current, own_id, self._limits.open_timeout)

    def _register(self, link: Link) -> None:
        self._running.add(link)
        if self._is_redundant(link):
            # the peer may have sent calls on it before it learns of the link in use;
            # closing it at once would fail them though no instance was lost
            self._retire(link, CloseCode.DUPLICATE, "duplicate")
            return
        current = self._links.get(link.instance_id)
        if current is not None:
            self._retire(current, CloseCode.DUPLICATE, "replaced")
        self._links[link.instance_id] = link
        self._dial_backoff.record_success(link.instance_id)
        self._owner.handle_open(link)

    async def _run(self, link: Link, hello_frame: bytes = b"") -> None:
        try:
            await link.run(self._owner.handle_frame, hello_frame)
        finally:
            self._running.discard(link)
            self._metrics.count("peers.dropped", link.dropped)
            self._drop(link)
            self._owner.handle_closed(link)

    def _drop(self, link: Link) -> None:
        if self._links.get(link.instance_id) is link:
            del self._links[link.instance_id]

    def _retire(self, link: Link, code: int, reason: str) -> None:
        """Stop using a link for new messages and close it once it is drained."""
        link.retired = True
        self._drop(link)
        self._spawn(close_when_drained(link, code, reason))

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _ensure_capacity(self) -> bool:
        if len(self._links) + len(self._dials) < self._limits.max_links:
            return True
        own = [link for link in self._links.values() if link.initiated]
        now = asyncio.get_running_loop().time()
        evictable = [
            link for link in own if now - link.last_used > EVICTION_IDLE_SECONDS
        ]
        if not evictable:
            return False
        least_recent = min(evictable, key=lambda link: link.last_used)
        self._retire(least_recent, CloseCode.IDLE, "making room")
        return True
