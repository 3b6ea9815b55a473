"""Connections of callers, bounded in number, size and time."""

from __future__ import annotations

import asyncio
import logging
import select
import socket
from dataclasses import dataclass
from itertools import count
from typing import TYPE_CHECKING, Any

from aiohttp import web
from aiohttp.web_protocol import RequestHandler

from greengagelatch.errors import Refusal, RefusalCode
from greengagelatch.verdict import Verdict

from .caller_answers import create_headers, describe_refusal, encode

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable

__all__ = (
    "CallerConnections",
    "ConnectionUse",
    "begin_request",
    "end_request",
    "find_use",
)

logger = logging.getLogger(__name__)

STATUS_INTERNAL = 500
#: seconds that answers under way get when the server ends, twice over; a planned
#: stop has given them their time before, and what is left of it is short
CLOSE_TIMEOUT = 0.1
#: seconds for which a stop waits for the rest of a head whose first byte has come
HEAD_SECONDS = 0.5
#: seconds for which the rest of a refused body is read, so that the refusal is not
#: lost by a reset of the connection
LINGER = 1.0
#: milliseconds after which a place may be free again
FULL_RETRY_MS = 1000
#: most header lines of one request
MAX_HEADERS = 64
#: characters of an offending value that are shown
MAX_SHOWN = 64
#: seconds of quiet after which the kernel probes whether a caller is still there
PROBE_AFTER = 10
#: seconds between two probes
PROBE_INTERVAL = 5


@dataclass(frozen=True, slots=True)
class ConnectionUse:
    """Which connection a request came on, and as which one there, both from 1."""

    connection: int = 0
    request: int = 0
    #: whether its first byte was read after connections began to be closed
    late: bool = False


class CallerConnections:
    """Creates the protocol of each accepted connection.

    :param handle: answers one request; it is cancelled if the connection is lost
    """

    def __init__(
        self,
        handle: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
        *,
        max_connections: int,
        max_header_bytes: int,
        idle_timeout: float,
        write_timeout: float,
    ) -> None:
        self._max_connections = max_connections
        self._server = _Server(
            handle,
            write_timeout=write_timeout,
            handler_cancellation=True,
            access_log=None,
            keepalive_timeout=idle_timeout,
            lingering_time=LINGER,
            max_line_size=max_header_bytes,
            max_field_size=max_header_bytes,
            max_headers=MAX_HEADERS,
        )

    def __len__(self) -> int:
        return len(self._server.connections)

    def create(self) -> asyncio.BaseProtocol:
        """Return the protocol for a connection that was just accepted."""
        if len(self) >= self._max_connections:
            return _TurnAway(self._max_connections)
        return self._server()

    def close_idle(self) -> int:
        """Close idle connections now, and the others as soon as they are idle.

        :return: how many were closed now
        """
        self._server.closing = True
        idle = [
            connection
            for connection in self._server.connections
            if isinstance(connection, _Connection) and not connection.busy
        ]
        unread = _find_readable(idle)
        closed = 0
        for connection in idle:
            # closed with a request unread it would be reset
            if connection in unread:
                continue
            connection.force_close()
            closed += 1
        return closed

    def count_busy(self) -> int:
        """Return on how many connections a request is being read or an answer sent.

        Not counted are heads that are not whole some time after their first byte.
        """
        now = asyncio.get_running_loop().time()
        return sum(
            isinstance(connection, _Connection) and connection.is_busy(now)
            for connection in self._server.connections
        )

    async def close(self) -> None:
        """Close every connection."""
        await self._server.shutdown(CLOSE_TIMEOUT)


class _Server(web.Server):
    """aiohttp's low-level server, with refusals in place of its error pages."""

    def __init__(
        self,
        handle: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
        *,
        write_timeout: float,
        **options: Any,
    ) -> None:
        super().__init__(handle, **options)
        self._write_timeout = write_timeout
        self.numbers = count(1)
        #: whether connections are closed as soon as they are idle
        self.closing = False

    def __call__(self) -> RequestHandler:
        return _Connection(self, self._write_timeout, loop=self._loop, **self._kwargs)


class _Connection(RequestHandler):
    """One connection of a caller."""

    def __init__(self, server: _Server, write_timeout: float, **options: Any) -> None:
        super().__init__(server, **options)
        self._write_timeout = write_timeout
        self._callers_server = server
        #: whether a request is being read or served. It is from its first byte on: a
        #: handler begins some turns of the loop later, and a connection closed in
        #: between would pass a request on that nobody waits for any more
        self.busy = False
        #: when its first byte was read, in seconds of the loop's clock
        self._began = 0.0
        #: whether that request began after connections began to be closed
        self.late = False
        #: number among the connections of this process
        self.number = next(server.numbers)
        #: requests that came on it so far
        self.requests = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        _detect_loss(transport.get_extra_info("socket"), self._write_timeout)

    def data_received(self, data: bytes) -> None:
        if data and not self.busy:
            self._begin()
        super().data_received(data)

    def _begin(self) -> None:
        self.busy = True
        self._began = self._loop.time()
        self.late = self._callers_server.closing

    def is_busy(self, now: float) -> bool:
        """Whether a request was read lately, or an answer is not yet with the kernel.

        :param now: seconds of the loop's clock
        """
        if self.busy and now - self._began < HEAD_SECONDS:
            return True
        transport = self.transport
        return transport is not None and transport.get_write_buffer_size() > 0

    def end_request(self) -> None:
        """Take in that a request is answered, and close if it was the last one.

        Whether to keep the connection was told with the head of the answer, maybe
        before a stop. Kept after it, it would bring requests to the very end.
        """
        self.busy = False
        if self._messages:
            self._begin()
        elif self._callers_server.closing:
            self.close()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Answer a request that can't be parsed or handled by a refusal."""
        if request.writer.output_size > 0:
            # part of another answer is out already: only a cut is honest
            raise ConnectionError("an answer has begun")
        if status < STATUS_INTERNAL:
            refusal = Refusal(
                code=RefusalCode.BAD_REQUEST,
                message="not a valid HTTP request",
                field="header",
                value=_shorten(message or str(exc or "")),
            )
        else:
            logger.error("a request failed", exc_info=exc)
            refusal = Refusal(
                code=RefusalCode.INTERNAL,
                message="error of this instance",
                verdict=Verdict.MAY_HAVE_RUN,
            )
        response = web.Response(
            status=status,
            body=encode(describe_refusal("", refusal)),
            headers=create_headers(refusal),
        )
        response.force_close()
        return response


def begin_request(request: web.BaseRequest) -> None:
    """Count a request on its connection."""
    if isinstance(request.protocol, _Connection):
        request.protocol.requests += 1


def end_request(request: web.BaseRequest) -> None:
    """Note that a request is answered."""
    if isinstance(request.protocol, _Connection):
        request.protocol.end_request()


def find_use(request: web.BaseRequest) -> ConnectionUse:
    """Return which connection the request came on."""
    connection = request.protocol
    if not isinstance(connection, _Connection):
        return ConnectionUse()
    return ConnectionUse(connection.number, connection.requests, connection.late)


def _find_readable(connections: Iterable[_Connection]) -> set[_Connection]:
    """Return the connections on which something has come that is not read yet."""
    poll = select.poll()
    by_number: dict[int, _Connection] = {}
    for connection in connections:
        if connection.transport is None:
            continue
        number = connection.transport.get_extra_info("socket").fileno()
        if number < 0:
            continue
        by_number[number] = connection
        poll.register(number, select.POLLIN)
    return {by_number[number] for number, _ in poll.poll(0)}


def _detect_loss(connection: socket.socket, write_timeout: float) -> None:
    """Have the kernel give up a connection whose other end is gone.

    A caller that vanished without closing would be waited for, and worked for,
    until its deadline; what was written to it would be kept for a quarter of an
    hour.
    """
    limit = int(write_timeout * 1000)
    options = (
        (socket.TCP_USER_TIMEOUT, limit),
        (socket.TCP_KEEPIDLE, PROBE_AFTER),
        (socket.TCP_KEEPINTVL, PROBE_INTERVAL),
    )
    for option, value in options:
        connection.setsockopt(socket.IPPROTO_TCP, option, value)


class _TurnAway(asyncio.Protocol):
    """Answers a connection beyond the bound and closes it.

    Without an answer the caller would see a reset, and could not tell whether its
    request ran.
    """

    def __init__(self, limit: int) -> None:
        refusal = Refusal(
            code=RefusalCode.OVERLOADED,
            message="too many open connections",
            field="connections",
            value=str(limit),
            retry_after_ms=FULL_RETRY_MS,
        )
        body = encode(describe_refusal("", refusal))
        lines = ["HTTP/1.1 503 Service Unavailable", "Connection: close"]
        for name, value in create_headers(refusal).items():
            lines.append(f"{name}: {value}")
        lines.append(f"Content-Length: {len(body)}")
        self._answer = "\r\n".join(lines).encode() + b"\r\n\r\n" + body

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        transport.write(self._answer)
        transport.close()


def _shorten(text: str) -> str:
    return " ".join(text.split())[:MAX_SHOWN]
