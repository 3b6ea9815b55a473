"""Callers' HTTP connections, with limits on number, size and time."""

from __future__ import annotations

import asyncio
import logging
import select
import socket
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from aiohttp.web_response import Response

from greengagelatch.errors import Refusal, RefusalCode
from greengagelatch.verdict import Verdict

from .bounded_connections import (
    READ_BYTES,
    STATUS_UNAVAILABLE,
    BoundedConnection,
    create_response,
)
from .bounded_server import BoundedServer
from .caller_answers import create_headers, describe_refusal, encode

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable

    from aiohttp.web_request import BaseRequest
    from aiohttp.web_response import StreamResponse

    from greengagelatch.connection_limits import ConnectionLimits

__all__ = (
    "CallerConnections",
    "RequestPosition",
    "begin_request",
    "end_request",
    "find_position",
)

logger = logging.getLogger(__name__)

STATUS_INTERNAL = 500
#: seconds for responses in progress at shutdown; aiohttp applies it twice. It is
#: short, as a planned stop drains requests before the server is closed
CLOSE_TIMEOUT = 0.1
#: seconds that a stop waits for the rest of the headers after their first byte
HEADER_SECONDS = 0.5
#: seconds for which the rest of a rejected body is read and discarded, as a reset of
#: the connection could lose the response
LINGER_SECONDS = 1.0
#: milliseconds after which a caller may retry when all connections are in use
FULL_RETRY_MS = 1000
#: maximum number of header lines of a request
MAX_HEADERS = 64
#: maximum characters of an invalid value in an error message
MAX_SHOWN = 64
#: seconds without traffic until the kernel sends the first TCP keepalive probe. The
#: write timeout also ends the probes, so that several have to fit in it
KEEPALIVE_IDLE = 2
#: seconds between two keepalive probes
KEEPALIVE_INTERVAL = 1


@dataclass(frozen=True, slots=True)
class RequestPosition:
    """Position of a request: its connection and its place there, both from 1."""

    connection: int = 0
    request: int = 0
    #: whether its first byte was read after the shutdown of connections began
    received_while_closing: bool = False


class CallerConnections:
    """Protocol factory for accepted connections, which it counts and closes.

    :param handle: serves one request; cancelled if the connection is lost
    :param find_max_header_bytes: returns the maximum size of a header line; looked up
        for each new connection
    :param find_idle_timeout: returns the seconds after which an idle connection is
        closed. A higher value applies to open connections as well
    :param decompress_bodies: whether to decode bodies by their ``Content-Encoding``
    """

    def __init__(
        self,
        handle: Callable[[BaseRequest], Awaitable[StreamResponse]],
        *,
        limits: ConnectionLimits,
        find_max_header_bytes: Callable[[], int],
        find_idle_timeout: Callable[[], float],
        write_timeout: float,
        decompress_bodies: bool = True,
        on_limit: Callable[[str, str], None] = lambda *_: None,
        on_held: Callable[[int], None] = lambda _: None,
    ) -> None:
        self._server = _Server(
            handle,
            limits=limits,
            on_limit=on_limit,
            on_held=on_held,
            write_timeout=write_timeout,
            find_max_header_bytes=find_max_header_bytes,
            find_idle_timeout=find_idle_timeout,
            handler_cancellation=True,
            access_log=None,
            auto_decompress=decompress_bodies,
            lingering_time=LINGER_SECONDS,
            max_headers=MAX_HEADERS,
            read_bufsize=READ_BYTES,
        )

    def __len__(self) -> int:
        return len(self._server.connections)

    def create(self) -> asyncio.BaseProtocol:
        """Create the protocol of a newly accepted connection."""
        return self._server()

    def close_idle(self) -> int:
        """Close idle connections now, and the others once they become idle.

        :return: number of connections closed now
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
            # closing it with unread data would reset it and lose that request
            if connection in unread:
                continue
            connection.force_close()
            closed += 1
        return closed

    def count_busy(self) -> int:
        """Count the connections with a newly started request or buffered response.

        A request counts for :data:`HEADER_SECONDS` after its first byte. After that it
        has reached its handler, or its headers are incomplete and it is not waited for.
        """
        now = asyncio.get_running_loop().time()
        return sum(
            isinstance(connection, _Connection) and connection.is_busy(now)
            for connection in self._server.connections
        )

    async def close(self) -> None:
        """Close every connection."""
        await self._server.shutdown(CLOSE_TIMEOUT)


class _Server(BoundedServer):
    """Server with refusals instead of aiohttp's error pages."""

    def __init__(
        self,
        handle: Callable[[BaseRequest], Awaitable[StreamResponse]],
        *,
        write_timeout: float,
        find_max_header_bytes: Callable[[], int],
        find_idle_timeout: Callable[[], float],
        **options: Any,
    ) -> None:
        super().__init__(handle, **options)
        self._write_timeout = write_timeout
        self._find_max_header_bytes = find_max_header_bytes
        self.find_idle_timeout = find_idle_timeout
        #: whether connections are closed once they become idle
        self.closing = False

    def create_rejection(self) -> bytes:
        limit = self.limits.max_connections
        refusal = Refusal(
            code=RefusalCode.OVERLOADED,
            message="too many open connections",
            field="connections",
            value=str(limit),
            retry_after_ms=FULL_RETRY_MS,
        )
        body = encode(describe_refusal("", refusal))
        return create_response(STATUS_UNAVAILABLE, create_headers(refusal), body)

    def create_connection(self) -> _Connection:
        max_header_bytes = self._find_max_header_bytes()
        return _Connection(
            self,
            self._write_timeout,
            loop=self._loop,
            max_line_size=max_header_bytes,
            max_field_size=max_header_bytes,
            keepalive_timeout=self.find_idle_timeout(),
            **self._kwargs,
        )


class _Connection(BoundedConnection):
    """Connection of a caller."""

    def __init__(self, server: _Server, write_timeout: float, **options: Any) -> None:
        super().__init__(server, **options)
        self._write_timeout = write_timeout
        self._callers_server = server
        #: whether a request is read or served. Set with the first byte, as the
        #: handler starts some loop iterations later: a connection closed in between
        #: would have its request forwarded although the caller is disconnected
        self.busy = False
        #: event loop time in seconds at which the first byte of the request was read
        self._started_at = 0.0
        #: whether that request started after the shutdown of connections began
        self.started_while_closing = False
        #: requests received on this connection
        self.requests = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        _enable_loss_detection(transport.get_extra_info("socket"), self._write_timeout)

    def data_received(self, data: bytes) -> None:
        if data and not self.busy:
            self._begin()
        super().data_received(data)

    def _process_keepalive(self) -> None:
        # the timer was set with the timeout in force then
        idle_since = self._next_keepalive_close_time - self._keepalive_timeout
        close_time = idle_since + self._callers_server.find_idle_timeout()
        if self._loop.time() < close_time:
            self._keepalive_handle = self._loop.call_at(
                close_time, self._process_keepalive
            )
            return
        super()._process_keepalive()

    def _begin(self) -> None:
        self.busy = True
        self._started_at = self._loop.time()
        self.started_while_closing = self._callers_server.closing

    def is_busy(self, now: float) -> bool:
        """Whether a request was just started or response bytes are still buffered.

        :param now: event loop time in seconds
        """
        if self.busy and now - self._started_at < HEADER_SECONDS:
            return True
        transport = self.transport
        return transport is not None and transport.get_write_buffer_size() > 0

    def end_request(self) -> None:
        """Mark the request as finished; close the connection if the server closes.

        A connection on which the next request is already received stays open for it.

        The response headers, perhaps sent before the stop, may have offered to keep
        the connection alive. It is closed nevertheless, as callers would otherwise
        send requests on it until the process exits.
        """
        self.busy = False
        if self._messages:
            self._begin()
        elif self._callers_server.closing:
            self.close()

    def handle_error(
        self,
        request: BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> StreamResponse:
        """Respond with a refusal to a request that can't be parsed or handled."""
        if request.writer.output_size > 0:
            # part of a response is sent: only closing the connection signals the error
            raise ConnectionError("error after the response was started")
        if status < STATUS_INTERNAL:
            refusal = Refusal(
                code=RefusalCode.BAD_REQUEST,
                message="not a valid HTTP request",
                field="header",
                value=_shorten(message or str(exc or "")),
            )
        else:
            logger.error("unhandled error while serving a request", exc_info=exc)
            refusal = Refusal(
                code=RefusalCode.INTERNAL,
                message="internal error of this instance",
                verdict=Verdict.MAY_HAVE_RUN,
            )
        response = Response(
            status=status,
            body=encode(describe_refusal("", refusal)),
            headers=create_headers(refusal),
        )
        response.force_close()
        return response


def begin_request(request: BaseRequest) -> None:
    """Increment the request count of the connection."""
    if isinstance(request.protocol, _Connection):
        request.protocol.requests += 1


def end_request(request: BaseRequest) -> None:
    """Mark a request as finished on its connection."""
    if isinstance(request.protocol, _Connection):
        request.protocol.end_request()


def find_position(request: BaseRequest) -> RequestPosition:
    """Return the connection of a request and the place of the request there."""
    connection = request.protocol
    if not isinstance(connection, _Connection):
        return RequestPosition()
    return RequestPosition(
        connection.number, connection.requests, connection.started_while_closing
    )


def _find_readable(connections: Iterable[_Connection]) -> set[_Connection]:
    """Return the connections whose sockets have unread data."""
    poll = select.poll()
    by_descriptor: dict[int, _Connection] = {}
    for connection in connections:
        if connection.transport is None:
            continue
        descriptor = connection.transport.get_extra_info("socket").fileno()
        if descriptor < 0:
            continue
        by_descriptor[descriptor] = connection
        poll.register(descriptor, select.POLLIN)
    return {by_descriptor[descriptor] for descriptor, _ in poll.poll(0)}


def _enable_loss_detection(connection: socket.socket, write_timeout: float) -> None:
    """Make the kernel drop a connection whose peer is unreachable.

    Without this, requests of a caller that vanished without closing its connection
    would run until their deadlines, and the kernel would retransmit unacknowledged
    data for 15 minutes.
    """
    limit = int(write_timeout * 1000)
    options = (
        (socket.TCP_USER_TIMEOUT, limit),
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL),
    )
    for option, value in options:
        connection.setsockopt(socket.IPPROTO_TCP, option, value)


def _shorten(text: str) -> str:
    return " ".join(text.split())[:MAX_SHOWN]
