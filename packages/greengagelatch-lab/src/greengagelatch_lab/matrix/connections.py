"""Simulated connections to targets, with delay, loss and retransmission."""

from __future__ import annotations

import asyncio
import json
from collections import deque
from typing import TYPE_CHECKING, Any

import aiohttp

from .network import Pipe
from .processes import schedule_outside, spawn_outside

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

    from .fleet import FleetTarget
    from .network import Network
    from .processes import SimulatedProcess
    from .sessions import SimulatedSession
    from .steps import Announcer

    #: called with status, bytes and whether these are the last
    Answer = Callable[[int, bytes, bool], None]
    #: the target's handler of a request
    Request = Callable[[FleetTarget, Answer], Awaitable[None]]

__all__ = ("Connection", "Dialer", "SimulatedResponse")

EVENT_STREAM = "text/event-stream"
JSON = "application/json"
#: status that stands for a reset connection
RESET = 0
#: retransmission timeout, in seconds
RETRANSMISSION_SECONDS = 0.2


class Dialer:
    """Opens one process's connections to targets.

    :param markers: marker of each request by request id, for the announcer
    """

    def __init__(
        self,
        *,
        process: SimulatedProcess,
        place: str,
        network: Network,
        targets: dict[str, FleetTarget],
        announcer: Announcer,
        markers: dict[str, str],
    ) -> None:
        self.process = process
        self.place = place
        self.network = network
        self.targets = targets
        self.announcer = announcer
        self.markers = markers
        self._connections: list[Connection] = []

    def silence(self) -> None:
        """Drop all further traffic on open connections; new ones work."""
        for connection in self._connections:
            connection.silent = True

    async def open(self, address: str, *, drops_unsent: bool = False) -> Connection:
        """Open a connection; never returns if the target is unreachable."""
        target = self.targets[address]
        delay = 2 * self.network.draw_latency(self.place, target.data_centre)
        if not self.reaches(target):
            # the SYN is lost without an error; callers have a timeout
            await asyncio.Event().wait()
        await asyncio.sleep(delay)
        if not target.alive:
            raise aiohttp.ClientConnectionError(f"connection to {address} refused")
        connection = Connection(self, target, drops_unsent=drops_unsent)
        self._connections.append(connection)
        return connection

    def reaches(self, target: FleetTarget) -> bool:
        """Whether messages get through in both directions."""
        to_target = self.network.reaches(self.place, target.data_centre)
        return to_target and self.network.reaches(target.data_centre, self.place)

    def forget(self, connection: Connection) -> None:
        """Remove a closed connection."""
        if connection in self._connections:
            self._connections.remove(connection)


class Connection:
    """One connection to one target; it carries one call at a time.

    Bytes sent during a network partition are retransmitted, and arrive once it has
    healed if the connection is still open.
    """

    def __init__(
        self, dialer: Dialer, target: FleetTarget, *, drops_unsent: bool = False
    ) -> None:
        self.dialer = dialer
        self.target = target
        #: whether unsent bytes are dropped when the process ends (``SO_LINGER`` 0)
        self.drops_unsent = drops_unsent
        self.silent = False
        self.open = True
        self._response: SimulatedResponse | None = None
        #: one from the target and one to it
        self._pipes = (Pipe(), Pipe())

    def send(self, request: Request, response: SimulatedResponse) -> None:
        """Send a request, whose response is received by ``response``."""
        self._response = response
        self._deliver(self.target.data_centre, self._arrive, request, response)

    def close(self) -> None:
        """Close the connection; the target continues until the call is cancelled."""
        self.open = False
        self._response = None
        self.dialer.forget(self)

    def _arrive(self, request: Request, response: SimulatedResponse) -> None:
        def answer(status: int, data: bytes, last: bool) -> None:
            state = "leaving" if self.target.leaving else "live"
            place = self.dialer.place
            self._deliver(place, self._return, response, status, state, data, last)

        if not self.target.alive:
            answer(RESET, b"", True)
            return
        spawn_outside(_serve(self.target, request, answer))

    def _return(self, response: SimulatedResponse, *answer: Any) -> None:
        if self._response is response:
            self.dialer.process.deliver(response.take, *answer)

    def _deliver(self, place: str, callback: Callable[..., None], *args: Any) -> None:
        """Deliver a message, retransmitting it during a partition as TCP does."""
        to_target = callback != self._return
        sender = self.dialer.place if to_target else self.target.data_centre
        network = self.dialer.network

        def arrive() -> None:
            if self.silent or not self.open:
                return
            if network.reaches(sender, place):
                callback(*args)
            elif not (self.drops_unsent and self.dialer.process.killed):
                schedule_outside(RETRANSMISSION_SECONDS, arrive)

        self._pipes[to_target].carry(network.draw_latency(sender, place), arrive)


async def _serve(target: FleetTarget, request: Request, answer: Answer) -> None:
    try:
        await request(target, answer)
    except asyncio.CancelledError:
        # cancelled by the caller; the run so far is in the record
        if not target.alive:
            answer(RESET, b"", True)


class SimulatedResponse:
    """The response to one call, with the interface that the target client uses.

    Serves both as the response and as its body, which is read in chunks.
    """

    def __init__(self, session: SimulatedSession, connection: Connection) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.content_type = JSON
        self._session = session
        self._connection = connection
        self._chunks: deque[bytes] = deque()
        self._last = False
        self._wanted = asyncio.Event()

    @property
    def content(self) -> SimulatedResponse:
        """The body."""
        return self

    def take(self, status: int, state: str, data: bytes, last: bool) -> None:
        """Receive a part of the response."""
        self.status = status
        self.headers["X-Target-State"] = state
        if data.startswith(b"event:"):
            self.content_type = EVENT_STREAM
        if data:
            self._chunks.append(data)
        self._last = last
        self._wanted.set()

    async def wait_for_head(self) -> None:
        """Wait for the head of the response."""
        await self._wanted.wait()
        if self.status == RESET:
            raise aiohttp.ServerDisconnectedError

    def is_eof(self) -> bool:
        """Whether the whole body has arrived."""
        return self._last

    def at_eof(self) -> bool:
        """Whether the whole body has been read."""
        return self._last and not self._chunks

    async def readany(self) -> bytes:
        """Return the next chunk, or empty bytes at the end of the body."""
        while not self._chunks:
            if self._last:
                return b""
            self._wanted.clear()
            await self._wanted.wait()
        return self._chunks.popleft()

    async def iter_any(self) -> AsyncIterator[bytes]:
        """Yield chunks until the end of the body."""
        while chunk := await self.readany():
            yield chunk

    async def json(self) -> Any:
        """Return the body parsed as JSON."""
        return json.loads(b"".join(self._chunks))

    def close(self) -> None:
        """Close the connection."""
        self._connection.close()

    def release(self) -> None:
        """Return the connection to its session."""
        self._session.keep(self._connection)
