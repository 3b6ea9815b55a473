"""Sessions towards the bench's targets, in the place of those of aiohttp."""

from __future__ import annotations

import asyncio
import json
from collections import deque
from typing import TYPE_CHECKING, Any

import aiohttp

from greengagelatch_entry.adapters.target_pool import TargetPool

from .network import Pipe
from .processes import spawn_outside
from .steps import Step

if TYPE_CHECKING:
    from collections.abc import Callable, Generator

    from yarl import URL

    from .fleet import FleetTarget
    from .network import Network
    from .processes import SimulatedProcess
    from .steps import Announcer

__all__ = ("Dialer", "SimulatedPool")

EVENT_STREAM = "text/event-stream"
JSON = "application/json"
#: stage whose calls are announced
WATCHED_STAGE = "book"


class Dialer:
    """Opens one process's connections to targets.

    :param markers: marker of each request by its id, for the announcer
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
        """Have all open connections go silent for good; new ones work."""
        for connection in self._connections:
            connection.silent = True

    async def open(self, address: str) -> Connection:
        """Open a connection."""
        target = self.targets[address]
        delay = 2 * self.network.draw_latency(self.place, target.data_centre)
        if not self.reaches(target):
            # nothing comes back: whoever waits has a time limit
            await asyncio.Event().wait()
        await asyncio.sleep(delay)
        if not target.alive:
            raise aiohttp.ClientConnectionError("refused")
        connection = Connection(self, target)
        self._connections.append(connection)
        return connection

    def reaches(self, target: FleetTarget) -> bool:
        """Whether messages pass both ways."""
        there = self.network.reaches(self.place, target.data_centre)
        return there and self.network.reaches(target.data_centre, self.place)

    def forget(self, connection: Connection) -> None:
        """Drop a closed connection."""
        if connection in self._connections:
            self._connections.remove(connection)


class Connection:
    """One connection to one target; it carries one call at a time."""

    def __init__(self, dialer: Dialer, target: FleetTarget) -> None:
        self.dialer = dialer
        self.target = target
        self.silent = False
        self.open = True
        self._response: SimulatedResponse | None = None
        #: from the target and to it
        self._pipes = (Pipe(), Pipe())

    def send(self, call: dict[str, Any], response: SimulatedResponse) -> None:
        """Send a call, whose answer goes to ``response``."""
        self._response = response
        self._pass(self.target.data_centre, self._arrive, call, response)

    def cancel(self, attempt: str, response: SimulatedResponse) -> None:
        """Ask the target to stop an attempt."""
        self._response = response
        self._pass(self.target.data_centre, self._arrive_cancel, attempt, response)

    def close(self) -> None:
        """Close the connection; the target runs on until it is told to stop."""
        self.open = False
        self._response = None
        self.dialer.forget(self)

    def _arrive(self, call: dict[str, Any], response: SimulatedResponse) -> None:
        if not self.target.alive:
            self._return(response, 0, "", b"", True)
            return

        def answer(status: int, data: bytes, last: bool) -> None:
            state = "leaving" if self.target.leaving else "live"
            place = self.dialer.place
            self._pass(place, self._return, response, status, state, data, last)

        spawn_outside(_serve(self.target, call, answer))

    def _arrive_cancel(self, attempt: str, response: SimulatedResponse) -> None:
        stopped = self.target.alive and self.target.cancel(attempt)
        body = json.dumps({"cancelled": stopped}).encode()
        place = self.dialer.place
        self._pass(place, self._return, response, 200, "live", body, True)

    def _return(self, response: SimulatedResponse, *answer: Any) -> None:
        if self._response is response:
            self.dialer.process.deliver(response.take, *answer)

    def _pass(self, place: str, callback: Callable[..., None], *args: Any) -> None:
        """Carry something to a place, unless a cut or the connection swallows it."""
        there = callback != self._return
        sender = self.dialer.place if there else self.target.data_centre
        network = self.dialer.network

        def arrive() -> None:
            if not self.silent and network.reaches(sender, place):
                callback(*args)

        self._pipes[there].carry(network.draw_latency(sender, place), arrive)


async def _serve(target: FleetTarget, call: dict[str, Any], answer: Any) -> None:
    try:
        await target.serve(call, answer)
    except asyncio.CancelledError:
        # stopped at the caller's word; what ran until then is in the record
        return


class SimulatedResponse:
    """The answer to one call, as far as the client of targets uses it.

    It stands for the response and for its body, which is read in chunks.
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
        """Take in what has arrived; status 0 is a connection reset."""
        self.status = status
        self.headers["X-Target-State"] = state
        if data.startswith(b"event:"):
            self.content_type = EVENT_STREAM
        if data:
            self._chunks.append(data)
        self._last = last
        self._wanted.set()

    async def wait_for_head(self) -> None:
        """Wait until the answer has begun."""
        await self._wanted.wait()
        if self.status == 0:
            raise aiohttp.ServerDisconnectedError

    def is_eof(self) -> bool:
        """Whether all has arrived."""
        return self._last

    def at_eof(self) -> bool:
        """Whether all has been read."""
        return self._last and not self._chunks

    async def readany(self) -> bytes:
        """Return what has arrived; empty at the end."""
        while not self._chunks:
            if self._last:
                return b""
            self._wanted.clear()
            await self._wanted.wait()
        return self._chunks.popleft()

    async def json(self) -> Any:
        """Return the body read as JSON."""
        return json.loads(b"".join(self._chunks))

    def close(self) -> None:
        """Close the connection."""
        self._connection.close()

    def release(self) -> None:
        """Give the connection back."""
        self._session.keep(self._connection)


class SimulatedSession:
    """Connections to targets, kept for the next call or not."""

    def __init__(self, dialer: Dialer, *, keep: bool) -> None:
        self._dialer = dialer
        self._keep = keep
        self._idle: list[Connection] = []

    def post(
        self, url: URL, *, data: Any = None, json: Any = None, **_options: Any
    ) -> _Exchange:
        """Make a call, which may be awaited or entered."""
        address = f"{url.host}:{url.port}"
        if data is None:
            return _Exchange(self._cancel(address, json["attempt"]))
        return _Exchange(self._call(address, data))

    async def close(self) -> None:
        """Close the connections that are not in use."""
        for connection in self._idle:
            connection.close()
        self._idle.clear()

    def keep(self, connection: Connection) -> None:
        """Take a connection back."""
        if self._keep and connection.open:
            self._idle.append(connection)
        else:
            connection.close()

    async def _call(self, address: str, data: Any) -> SimulatedResponse:
        call = json.loads(data.decode())
        dialer = self._dialer
        marker = dialer.markers.get(call["request"], "")
        watched = call["stage"] == WATCHED_STAGE
        if watched:
            await dialer.announcer.reach(Step.CONNECTING, marker, dialer.process)
        connection = await self._open(address)
        await data.write_with_length(_Sink(), None)
        response = SimulatedResponse(self, connection)
        try:
            connection.send(call, response)
            if watched:
                await dialer.announcer.reach(Step.SENT, marker, dialer.process)
            await response.wait_for_head()
        except BaseException:
            connection.close()
            raise
        return response

    async def _cancel(self, address: str, attempt: str) -> SimulatedResponse:
        connection = await self._open(address)
        response = SimulatedResponse(self, connection)
        try:
            connection.cancel(attempt, response)
            await response.wait_for_head()
        except BaseException:
            connection.close()
            raise
        return response

    async def _open(self, address: str) -> Connection:
        if self._idle:
            return self._idle.pop()
        return await self._dialer.open(address)


class _Exchange:
    """A call under way, as aiohttp gives it: to be awaited or entered."""

    def __init__(self, work: Any) -> None:
        self._work = work
        self._response: SimulatedResponse | None = None

    def __await__(self) -> Generator[Any, None, SimulatedResponse]:
        return self._work.__await__()

    async def __aenter__(self) -> SimulatedResponse:
        self._response = await self._work
        return self._response

    async def __aexit__(self, *_error: Any) -> None:
        if self._response is not None:
            self._response.close()


class _Sink:
    """Takes the bytes of a body; the call itself is carried as a message."""

    async def write(self, _data: bytes) -> None:
        return


class SimulatedPool(TargetPool):
    """The real pool of connections, with sessions of the bench."""

    def __init__(self, *, dialer: Dialer, **rules: Any) -> None:
        super().__init__(**rules)
        self._dialer = dialer

    def _open(self, *, keep: bool) -> Any:
        return SimulatedSession(self._dialer, keep=keep)
