"""All links of this instance: accepted, dialled, replaced and closed."""

from __future__ import annotations

import asyncio
import logging
from abc import ABC, abstractmethod
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Any

from result import Err, Ok, Result
from websockets.exceptions import WebSocketException

from greengagelatch.peers.codec import PROTOCOL_VERSION, Envelope, decode, encode
from greengagelatch.peers.messages import Hello

from .peer_dials import DialPauses
from .peer_endings import end_later
from .peer_link import CloseCode, Link
from .peer_pairs import replaces
from .peer_sockets import SocketOptions, Traffic, listen, open_connection

if TYPE_CHECKING:
    import random
    from collections.abc import Coroutine

    from websockets.asyncio.server import Server

    from ..metrics import Metrics
    from .peer_sockets import Connection

__all__ = ("LinkLimits", "LinkOwner", "PeerLinks")

logger = logging.getLogger(__name__)

#: connections that have not yet told who they are
MAX_UNIDENTIFIED = 64

#: dials under way at the same time
MAX_DIALS = 16

#: seconds without use after which a link may make room for another one
UNUSED = 2.0


@dataclass(frozen=True, slots=True, kw_only=True)
class LinkLimits:
    """Limits of links; times in seconds."""

    heartbeat: float
    silence: float
    #: how much longer both are on links at rest
    rest_factor: float
    open_timeout: float
    idle: float
    max_links: int


class LinkOwner(ABC):
    """What links need of whoever owns them."""

    @abstractmethod
    def describe(self) -> Hello:
        """Return what this instance says of itself."""

    @abstractmethod
    def find_fault(self, hello: Hello) -> str:
        """Return why a peer's word on itself can't be true, empty if it can."""

    @abstractmethod
    def note_open(self, link: Link) -> None:
        """Take note of a new link."""

    @abstractmethod
    def note_closed(self, link: Link) -> None:
        """Take note that a link, of whatever standing, was closed."""

    @abstractmethod
    def receive(self, link: Link, data: bytes) -> None:
        """Take in a frame."""


class PeerLinks:
    """At most one link to each peer."""

    def __init__(
        self,
        *,
        owner: LinkOwner,
        limits: LinkLimits,
        random_source: random.Random,
        metrics: Metrics,
        number: int,
    ) -> None:
        """Create the links.

        :param number: that of the hello before the first: higher than any that an
            earlier process of the same id has sent.
        """
        self._owner = owner
        self._number = number
        self._limits = limits
        self._metrics = metrics
        self._traffic = Traffic()
        self._options = SocketOptions(open_timeout=limits.open_timeout)
        self._server: Server | None = None
        self._links: dict[str, Link] = {}
        #: all that read and write, also those that are used for nothing new
        self._running: set[Link] = set()
        self._dials: dict[str, asyncio.Task[Link | None]] = {}
        self._pauses = DialPauses(random_source)
        self._unidentified = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._closing = False

    @property
    def traffic(self) -> Traffic:
        """Bytes since the last report."""
        return self._traffic

    @property
    def port(self) -> int:
        """Port that is listened on."""
        assert self._server is not None
        return next(iter(self._server.sockets)).getsockname()[1]

    def find(self, instance_id: str) -> Link | None:
        """Return the open link to an instance."""
        return self._links.get(instance_id)

    def list_links(self) -> tuple[Link, ...]:
        """Return all open links."""
        return tuple(self._links.values())

    async def start(self, host: str, port: int) -> None:
        """Begin to accept links."""
        self._server = await listen(
            host, port, self._accept, self._traffic, self._options
        )

    async def stop(self) -> None:
        """Close all links; returns within the closing timeout."""
        self._closing = True
        if self._server is not None:
            self._server.close(close_connections=False)
        for dial in self._dials.values():
            dial.cancel()
        # also those retired: the server waits for all that it has accepted
        links = [link.close(1001, "stopping") for link in self._running]
        await asyncio.gather(*links, *self._dials.values(), return_exceptions=True)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()

    def dial(self, instance_id: str, address: str) -> asyncio.Task[Link | None] | None:
        """Open a link to an instance; ``None`` if it may not be tried now."""
        dial = self._dials.get(instance_id)
        if dial is not None:
            return dial
        if self._closing or self._pauses.lasts(instance_id):
            return None
        if self._is_of_another(instance_id, address):
            return None
        if len(self._dials) >= MAX_DIALS or not self._make_room():
            self._metrics.count("peers.dials_refused")
            return None
        dial = asyncio.create_task(self._dial(instance_id, address))
        self._dials[instance_id] = dial
        dial.add_done_callback(lambda _: self._dials.pop(instance_id, None))
        return dial

    def _is_of_another(self, instance_id: str, address: str) -> bool:
        """Whether another instance is known to be at an address, by an open link.

        A process that starts at the address of a former one has an id of its own. Its
        peer would give up the link in use for a dial that is meant for the former one.
        """
        return any(
            link.peer.address == address and link.instance_id != instance_id
            for link in self._links.values()
        )

    def dial_any(self, address: str) -> asyncio.Task[Link | None] | None:
        """Open a link to whichever instance is at an address.

        ``None`` if it may not be tried now: at most one such dial is under way, and
        a failed one delays the next, whatever its address.
        """
        return None if "" in self._dials else self.dial("", address)

    def excuse_silence(self) -> None:
        """Count the silence of all links from now, after this process stood still."""
        for link in self._links.values():
            link.excuse_silence()

    def tend(self, kept: frozenset[str]) -> None:
        """Drop silent links, and idle ones to peers that are not in ``kept``.

        Links at rest have rare heartbeats: with one in each direction every 0.3 s,
        an instance with eight links spent two thirds of its idle time on them.
        """
        now = asyncio.get_running_loop().time()
        for link in self.list_links():
            factor = 1.0 if link.is_used(now) else self._limits.rest_factor
            link.send_heartbeat(now, self._limits.heartbeat * factor)
            if link.find_silence(now) > self._limits.silence * factor:
                # An open connection that something on the way has lost track of
                # stays silent for good while new ones work. It would swallow
                # questions until they time out; dropped, it is replaced by a dial.
                self._metrics.count("peers.silent_links")
                self._drop(link)
                link.silent = True
                link.abort()
                continue
            idle = now - link.last_used > self._limits.idle
            # the one that opened a link closes it: the other may still want it
            if idle and link.initiated and link.instance_id not in kept:
                self._retire(link, CloseCode.IDLE, "idle")

    # opening

    async def _dial(self, instance_id: str, address: str) -> Link | None:
        self._metrics.count("peers.dials")
        match await self._open(instance_id, address):
            case Ok(link):
                self._pauses.end(instance_id)
                return link
            case Err(reason):
                held = self._links.get(instance_id)
                if held is not None:
                    # the peer has dialled at the same time
                    return held
                self._metrics.count("peers.dial_failures")
                logger.debug("no link to %s at %s: %s", instance_id, address, reason)
                self._pauses.extend(instance_id)
                return None

    async def _open(self, instance_id: str, address: str) -> Result[Link, str]:
        try:
            connection = await open_connection(address, self._traffic, self._options)
        except (OSError, TimeoutError, ValueError, WebSocketException) as error:
            return Err(str(error) or type(error).__name__)
        held = self._links.get(instance_id)
        if held is not None:
            # the peer has dialled meanwhile; a hello now would say that this side
            # knows of no link, and replace the one that is in use
            self._spawn(connection.close(CloseCode.DUPLICATE, "duplicate"))
            return Ok(held)
        own = self._describe()
        try:
            await connection.send(encode(Envelope(own)))
            hello = await self._read_hello(connection)
        except (TimeoutError, WebSocketException) as error:
            await connection.close()
            return Err(str(error) or type(error).__name__)
        except asyncio.CancelledError:
            connection.transport.abort()
            raise
        fault = self._find_fault(hello, instance_id)
        if fault or hello is None:
            await connection.close(CloseCode.IDENTITY, fault[:100])
            return Err(fault)
        link = Link(
            connection=connection,
            peer=hello,
            initiated=True,
            traffic=self._traffic,
            number=own.number,
        )
        self._register(link)
        self._spawn(self._run(link))
        return Ok(self._links.get(link.instance_id, link))

    async def _accept(self, connection: Connection) -> None:
        if self._closing or self._unidentified >= MAX_UNIDENTIFIED:
            await connection.close(CloseCode.FULL, "too many connections")
            return
        self._unidentified += 1
        try:
            hello = await self._read_hello(connection)
        except (TimeoutError, WebSocketException):
            return
        finally:
            self._unidentified -= 1
        fault = self._find_fault(hello, "")
        if fault or hello is None:
            self._metrics.count("peers.rejected")
            logger.warning("rejected a link: %s", fault)
            await connection.close(CloseCode.IDENTITY, fault[:100])
            return
        known = hello.instance_id in self._links
        if not known and len(self._links) >= self._limits.max_links:
            self._metrics.count("peers.links_refused")
            await connection.close(CloseCode.FULL, "too many links")
            return
        own = self._describe()
        link = Link(
            connection=connection,
            peer=hello,
            initiated=False,
            traffic=self._traffic,
            number=own.number,
        )
        if self._closing or self._loses(link):
            # the other side has no hello yet, and so has asked nothing on it
            await connection.close(CloseCode.DUPLICATE, "duplicate")
            return
        # in the same turn as the number is drawn, or a dial that is sent in between
        # would look as if it knew of this link
        self._register(link)
        await self._run(link, encode(Envelope(own)))

    def _describe(self) -> Hello:
        self._number += 1
        return replace(self._owner.describe(), number=self._number)

    async def _read_hello(self, connection: Connection) -> Hello | None:
        async with asyncio.timeout(self._limits.open_timeout):
            data = await connection.recv()
        if isinstance(data, str):
            return None
        match decode(data):
            case Ok(Envelope(message=Hello() as hello)):
                return hello
        return None

    def _find_fault(self, hello: Hello | None, dialled: str) -> str:
        if hello is None:
            return "no readable hello"
        if hello.protocol != PROTOCOL_VERSION:
            return f"protocol {hello.protocol!r} instead of {PROTOCOL_VERSION}"
        if dialled and hello.instance_id != dialled:
            return f"{hello.instance_id!r} answered in place of {dialled!r}"
        return self._owner.find_fault(hello)

    # one link for each pair

    def _loses(self, link: Link) -> bool:
        """Whether the link that is already open is to be kept instead."""
        held = self._links.get(link.instance_id)
        if held is None:
            return False
        own_id = self._owner.describe().instance_id
        return not replaces(link, held, own_id, self._limits.open_timeout)

    def _register(self, link: Link) -> None:
        self._running.add(link)
        if self._loses(link):
            # the other side may have asked on it before it learns of the one kept:
            # closed unread, questions would fail though no instance was lost
            self._retire(link, CloseCode.DUPLICATE, "duplicate")
            return
        held = self._links.get(link.instance_id)
        if held is not None:
            self._retire(held, CloseCode.DUPLICATE, "replaced")
        self._links[link.instance_id] = link
        self._pauses.end(link.instance_id)
        self._owner.note_open(link)

    async def _run(self, link: Link, greeting: bytes = b"") -> None:
        try:
            await link.run(self._owner.receive, greeting)
        finally:
            self._running.discard(link)
            self._metrics.count("peers.dropped", link.dropped)
            self._drop(link)
            self._owner.note_closed(link)

    def _drop(self, link: Link) -> None:
        if self._links.get(link.instance_id) is link:
            del self._links[link.instance_id]

    def _retire(self, link: Link, code: int, reason: str) -> None:
        """Use a link no more, but let what is under way on it end."""
        link.retired = True
        self._drop(link)
        self._spawn(end_later(link, code, reason))

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _make_room(self) -> bool:
        if len(self._links) + len(self._dials) < self._limits.max_links:
            return True
        own = [link for link in self._links.values() if link.initiated]
        now = asyncio.get_running_loop().time()
        unused = [link for link in own if now - link.last_used > UNUSED]
        if not unused:
            return False
        longest = min(unused, key=lambda link: link.last_used)
        self._retire(longest, CloseCode.IDLE, "making room")
        return True
