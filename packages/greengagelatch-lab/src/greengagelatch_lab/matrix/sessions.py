"""Sessions towards the bench's targets, in the place of those of aiohttp."""

from __future__ import annotations

import asyncio
import json
from collections import deque
from typing import TYPE_CHECKING, Any

import aiohttp
from yarl import URL

from greengagelatch_entry.adapters.target_pool import TargetPool

from .network import Pipe
from .processes import schedule_outside, spawn_outside
from .steps import Step

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable, Generator

    from .fleet import FleetTarget
    from .network import Network
    from .processes import SimulatedProcess
    from .steps import Announcer

    #: given status, bytes and whether these are the last
    Answer = Callable[[int, bytes, bool], None]
    #: what a target does with a request
    Request = Callable[[FleetTarget, Answer], Awaitable[None]]

__all__ = ("ORDERS", "Dialer", "SimulatedPool", "SimulatedSession")

EVENT_STREAM = "text/event-stream"
JSON = "application/json"
#: in the place of a status: the connection was reset
RESET = 0
#: beginning of the subject of steps of orders; the data centre follows
ORDERS = "orders"
#: seconds after which bytes are sent again that did not arrive
RETRANSMISSION = 0.2
#: share of a session's time limit that may pass until a connection is made
CONNECT_SHARE = 0.4
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

    async def open(self, address: str, *, lingers_off: bool = False) -> Connection:
        """Open a connection."""
        target = self.targets[address]
        delay = 2 * self.network.draw_latency(self.place, target.data_centre)
        if not self.reaches(target):
            # nothing comes back: whoever waits has a time limit
            await asyncio.Event().wait()
        await asyncio.sleep(delay)
        if not target.alive:
            raise aiohttp.ClientConnectionError("refused")
        connection = Connection(self, target, lingers_off=lingers_off)
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
    """One connection to one target; it carries one call at a time.

    Bytes that were handed over wait while the way is cut, and arrive afterwards if
    the connection is still open.
    """

    def __init__(
        self, dialer: Dialer, target: FleetTarget, *, lingers_off: bool = False
    ) -> None:
        self.dialer = dialer
        self.target = target
        #: whether bytes not yet sent are dropped when the process ends
        self.lingers_off = lingers_off
        self.silent = False
        self.open = True
        self._response: SimulatedResponse | None = None
        #: from the target and to it
        self._pipes = (Pipe(), Pipe())

    def send(self, request: Request, response: SimulatedResponse) -> None:
        """Send a request, whose answer goes to ``response``."""
        self._response = response
        self._pass(self.target.data_centre, self._arrive, request, response)

    def close(self) -> None:
        """Close the connection; the target runs on until it is told to stop."""
        self.open = False
        self._response = None
        self.dialer.forget(self)

    def _arrive(self, request: Request, response: SimulatedResponse) -> None:
        def answer(status: int, data: bytes, last: bool) -> None:
            state = "leaving" if self.target.leaving else "live"
            place = self.dialer.place
            self._pass(place, self._return, response, status, state, data, last)

        if not self.target.alive:
            answer(RESET, b"", True)
            return
        spawn_outside(_serve(self.target, request, answer))

    def _return(self, response: SimulatedResponse, *answer: Any) -> None:
        if self._response is response:
            self.dialer.process.deliver(response.take, *answer)

    def _pass(self, place: str, callback: Callable[..., None], *args: Any) -> None:
        """Carry something to a place, as late as TCP does where the way is cut."""
        there = callback != self._return
        sender = self.dialer.place if there else self.target.data_centre
        network = self.dialer.network

        def arrive() -> None:
            if self.silent or not self.open:
                return
            if network.reaches(sender, place):
                callback(*args)
            elif not (self.lingers_off and self.dialer.process.killed):
                schedule_outside(RETRANSMISSION, arrive)

        self._pipes[there].carry(network.draw_latency(sender, place), arrive)


async def _serve(target: FleetTarget, request: Request, answer: Answer) -> None:
    try:
        await request(target, answer)
    except asyncio.CancelledError:
        # stopped at the caller's word; what ran until then is in the record
        if not target.alive:
            answer(RESET, b"", True)


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
        """Take in what has arrived."""
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
        if self.status == RESET:
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

    async def iter_any(self) -> AsyncIterator[bytes]:
        """Yield what arrives until the end."""
        while chunk := await self.readany():
            yield chunk

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
    """Connections to targets, kept for the next call or not.

    :param timeout: seconds for a whole exchange; ``None``: no limit here
    """

    def __init__(
        self, dialer: Dialer, *, keep: bool, timeout: float | None = None
    ) -> None:
        self._dialer = dialer
        self._keep = keep
        self._timeout = timeout
        self._idle: list[Connection] = []

    def post(
        self, url: URL | str, *, data: Any = None, json: Any = None, **_options: Any
    ) -> _Exchange:
        """Make a call, which may be awaited or entered."""
        place = URL(url)
        address = f"{place.host}:{place.port}"
        if place.path == "/orders":
            return _Exchange(self._order(address, data))
        if data is None:
            return _Exchange(self._cancel(address, json["attempt"]))
        return _Exchange(self._call(address, data))

    def get(self, url: URL | str, **_options: Any) -> _Exchange:
        """Read an engine's state."""
        place = URL(url)
        return _Exchange(self._read_state(f"{place.host}:{place.port}"))

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
        marker = self._dialer.markers.get(call["request"], "")
        watched = call["stage"] == WATCHED_STAGE
        steps = (Step.CONNECTING, Step.SENT) if watched else (None, None)
        return await self._exchange(
            address,
            lambda target, answer: target.serve(call, answer),
            data,
            marker,
            steps,
        )

    async def _cancel(self, address: str, attempt: str) -> SimulatedResponse:
        async def cancel(target: FleetTarget, answer: Answer) -> None:
            stopped = target.cancel(attempt)
            answer(200, json.dumps({"cancelled": stopped}).encode(), True)

        return await self._exchange(address, cancel)

    async def _order(self, address: str, data: Any) -> SimulatedResponse:
        order = json.loads(data.decode())
        target = self._dialer.targets[address]
        group = f"{ORDERS}/{target.data_centre}"
        steps = (Step.ORDER_SENDING, Step.ORDER_SENT)
        async with asyncio.timeout(self._timeout):
            return await self._exchange(
                address,
                lambda target, answer: target.engine.carry_out(order, answer),
                data,
                group,
                steps,
            )

    async def _read_state(self, address: str) -> SimulatedResponse:
        async def read(target: FleetTarget, answer: Answer) -> None:
            answer(200, target.engine.describe(), True)

        target = self._dialer.targets[address]
        group = f"{ORDERS}/{target.data_centre}"
        announcer = self._dialer.announcer
        async with asyncio.timeout(self._timeout):
            if (Step.ORDER_SENT, group) in announcer.reached:
                await announcer.reach(Step.ORDER_READ_BACK, group, self._dialer.process)
            return await self._exchange(address, read)

    async def _exchange(
        self,
        address: str,
        request: Request,
        data: Any = None,
        subject: str = "",
        steps: tuple[Step | None, Step | None] = (None, None),
    ) -> SimulatedResponse:
        """Make one request; ``steps`` are announced before and after it is sent."""
        dialer = self._dialer
        connection = await self._open(address)
        if steps[0] is not None:
            await dialer.announcer.reach(steps[0], subject, dialer.process)
        response = SimulatedResponse(self, connection)
        try:
            await _write(data)
            connection.send(request, response)
            if steps[1] is not None:
                await dialer.announcer.reach(steps[1], subject, dialer.process)
            await response.wait_for_head()
        except BaseException:
            connection.close()
            raise
        return response

    async def _open(self, address: str) -> Connection:
        if self._idle:
            return self._idle.pop()
        if self._timeout is None:
            return await self._dialer.open(address)
        # such sessions are those for orders, whose sockets drop what is not sent
        async with asyncio.timeout(self._timeout * CONNECT_SHARE):
            return await self._dialer.open(address, lingers_off=True)


async def _write(data: Any) -> None:
    """Have a body written; whatever it raises reaches the caller as aiohttp has it."""
    if data is None:
        return
    try:
        await data.write_with_length(_Sink(), None)
    except Exception as error:
        raise aiohttp.ClientConnectionError("failed to send") from error


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
