"""Connections to targets: each request is written once, and known to be or not."""

from __future__ import annotations

import asyncio
import socket
from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING

from aiohttp import ClientError
from aiohttp.client_proto import ResponseHandler
from aiohttp.http_exceptions import HttpProcessingError

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from aiohttp import StreamReader
    from aiohttp.http import RawResponseMessage

    from greengagelatch.clock import Clock
    from greengagelatch.relay.incarnations import Incarnation

    from ..metrics import Metrics
    from .messages import OutboundRequest

__all__ = (
    "TargetResponseError",
    "NotSentError",
    "TargetConnectionPool",
    "TargetResponse",
    "configure_socket",
)

#: seconds allowed for opening a connection. The far end is milliseconds away, and the
#: kernel sends a lost opening packet again after a second only: another target is
#: reached sooner. One behind a partition would hold a booking until its deadline
CONNECT_TIMEOUT = 0.3
#: seconds for which an idle connection is used again where the target says nothing
MAX_IDLE_SECONDS = 3.0
#: share of the idle time that a target announces which is used
KEEP_ALIVE_FRACTION = 0.5
#: seconds without an acknowledgement after which the kernel gives a connection up
UNACKNOWLEDGED_SECONDS = 2.0
#: seconds of quiet after which the kernel probes the other end, and between probes
PROBE_INTERVAL = 1
PROBE_COUNT = 2
#: bytes of an answer that wait to be read
READ_BUFFER_BYTES = 256 * 1024
MAX_HEADER_BYTES = 32_768

#: targets of which it is remembered when a kept connection was asked for
MAX_TRACKED_TARGETS = 1024


class NotSentError(Exception):
    """No byte of a request reached its target."""


class TargetResponseError(Exception):
    """An answer that did not come, or not whole; the request may have run.

    :param broken: whether the other end closed or reset the connection
    """

    def __init__(self, message: str, *, broken: bool = False) -> None:
        super().__init__(message)
        self.broken = broken


def configure_socket(connection: socket.socket) -> None:
    """Have the kernel notice an end that is gone without a word.

    A connection behind a partition, or one that something between the two ends has
    lost track of, accepts writes and never answers; a request on it would be held
    until its deadline.
    """
    options = (
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            int(UNACKNOWLEDGED_SECONDS * 1000),
        ),
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_INTERVAL),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_INTERVAL),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBE_COUNT),
    )
    for level, option, value in options:
        connection.setsockopt(level, option, value)


class _TargetConnection(ResponseHandler):
    """One connection; remembers whether it was reset."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        #: whether it ended by anything but an orderly close
        self.reset = False
        #: monotonic seconds until which it may be used again
        self.reusable_until = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        configure_socket(transport.get_extra_info("socket"))

    def connection_lost(self, exc: BaseException | None) -> None:
        # the parser takes the end of a connection for the end of an answer without
        # a length, also where a reset cut it short
        self.reset = exc is not None
        super().connection_lost(exc)

    @property
    def reusable(self) -> bool:
        """Whether nothing is left on it of an earlier request."""
        if not self.is_connected() or self.should_close:
            return False
        return self.transport.get_write_buffer_size() == 0


@dataclass(slots=True)
class TargetResponse:
    """An answer whose head is there; it must be released or aborted."""

    message: RawResponseMessage
    content: StreamReader
    _connection: _TargetConnection
    _release: Callable[[_TargetConnection, RawResponseMessage], None]

    async def iterate(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives.

        :raises TargetResponseError: if it ends before it is whole
        """
        try:
            while chunk := await self.content.readany():
                yield chunk
        except (ClientError, HttpProcessingError, OSError) as error:
            raise _create_error("answer cut", error) from error
        if self._connection.reset and not self._is_framed():
            raise TargetResponseError(
                "answer without a length ended by a reset", broken=True
            )

    async def read(self, limit: int) -> bytes:
        """Return the whole body.

        :raises TargetResponseError: if it is cut or larger than ``limit`` bytes
        """
        chunks = []
        size = 0
        async for chunk in self.iterate():
            size += len(chunk)
            if size > limit:
                raise TargetResponseError(f"answer of more than {limit} bytes")
            chunks.append(chunk)
        return b"".join(chunks)

    def release(self) -> None:
        """Give the connection back, if nothing is left on it."""
        self._release(self._connection, self.message)

    def abort(self) -> None:
        """Close the connection at once; the target may stop its work."""
        self._connection.abort()

    def _is_framed(self) -> bool:
        headers = self.message.headers
        return self.message.chunked or "Content-Length" in headers


class TargetConnectionPool:
    """Opens, keeps and ends connections, by the incarnation that they lead to.

    A library's client sends a request again by itself when a kept connection drops;
    here each request is written once, so that one which may run only once does.

    :param count_kept: returns how many idle connections may be kept to a target
    """

    def __init__(
        self,
        *,
        find_idle_limit: Callable[[Incarnation], int],
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._find_idle_limit = find_idle_limit
        self._clock = clock
        self._metrics = metrics
        self._idle: dict[Incarnation, list[_TargetConnection]] = defaultdict(list)
        #: monotonic seconds at which a kept connection was last asked for
        self._last_requested: dict[Incarnation, float] = {}

    async def send(
        self,
        *,
        incarnation: Incarnation,
        address: str,
        outbound: OutboundRequest,
        fresh: bool,
        timeout: float,
        may_send: Callable[[], bool] | None = None,
    ) -> TargetResponse:
        """Write a request and wait for the head of its answer.

        :param fresh: whether to leave kept connections alone; on one of them a
            request may be lost without a word on whether it ran
        :param timeout: seconds until the head must be there
        :param may_send: asked again once the connection stands, and before it is kept
        :raises NotSentError: if no byte left
        :raises TargetResponseError: if it was written and no answer came
        """
        end = asyncio.get_running_loop().time() + timeout
        connection = None if fresh else self._checkout(incarnation)
        if connection is None:
            connection = await self._open(address, min(timeout, CONNECT_TIMEOUT))
        if may_send is not None and not may_send():
            connection.abort()
            raise NotSentError("the target began to leave, or its inputs are lost")
        connection.set_response_params(
            skip_payload=outbound.method == "HEAD",
            read_until_eof=True,
            auto_decompress=False,
            read_bufsize=READ_BUFFER_BYTES,
            max_line_size=MAX_HEADER_BYTES,
            max_field_size=MAX_HEADER_BYTES,
        )
        try:
            data = _serialize(outbound, address)
            self._metrics.count("links.bytes_out", len(data))
            connection.transport.write(data)
            async with asyncio.timeout_at(end):
                message, content = await self._read_head(connection)
        except TimeoutError:
            connection.abort()
            raise TargetResponseError("no answer in time") from None
        except (ClientError, HttpProcessingError, OSError) as error:
            connection.abort()
            raise _create_error("no answer", error) from error
        except BaseException:
            connection.abort()
            raise
        return TargetResponse(
            message,
            content,
            connection,
            lambda one, head: self._release(incarnation, one, head, may_send),
        )

    async def is_port_closed(self, address: str) -> bool:
        """Whether nobody listens at an address: its process has ended.

        One that is silent may be out of reach only.
        """
        try:
            connection = await self._open(address, CONNECT_TIMEOUT)
        except NotSentError as error:
            return isinstance(error.__cause__, ConnectionRefusedError)
        connection.abort()
        return False

    def close_idle(self, incarnation: Incarnation) -> None:
        """Close the idle connections to a target that is gone."""
        self._last_requested.pop(incarnation, None)
        for connection in self._idle.pop(incarnation, ()):
            connection.abort()

    def close_all_idle(self) -> None:
        """Close every idle connection, as all may have gone silent."""
        for incarnation in tuple(self._idle):
            self.close_idle(incarnation)

    def count_idle(self) -> int:
        """Return the number of connections that are kept."""
        return sum(len(connections) for connections in self._idle.values())

    async def _read_head(
        self, connection: _TargetConnection
    ) -> tuple[RawResponseMessage, StreamReader]:
        while True:
            message, content = await connection.read()
            # an interim answer such as 100 is not the answer
            if message.code >= 200:
                return message, content

    async def _open(self, address: str, timeout: float) -> _TargetConnection:
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        self._metrics.count("links.opened")
        try:
            async with asyncio.timeout(timeout):
                _, connection = await loop.create_connection(
                    lambda: _TargetConnection(loop), host, int(port)
                )
        except TimeoutError:
            raise NotSentError("no connection in time") from None
        except (OSError, ValueError) as error:
            raise NotSentError(f"no connection: {type(error).__name__}") from error
        return connection

    def _checkout(self, incarnation: Incarnation) -> _TargetConnection | None:
        connections = self._idle.get(incarnation)
        now = self._clock.now()
        self._record_demand(incarnation, now)
        while connections:
            connection = connections.pop()
            if connection.reusable and now < connection.reusable_until:
                return connection
            connection.abort()
        return None

    def _keep_idle(
        self,
        incarnation: Incarnation,
        connection: _TargetConnection,
        seconds: float = MAX_IDLE_SECONDS,
    ) -> None:
        connections = self._idle[incarnation]
        now = self._clock.now()
        in_demand = self._is_in_demand(incarnation, now)
        if len(connections) >= (self._find_idle_limit(incarnation) if in_demand else 0):
            connection.abort()
            return
        connection.reusable_until = now + seconds
        connections.append(connection)

    def _record_demand(self, incarnation: Incarnation, now: float) -> None:
        # to the end, so that those asked for longest ago are forgotten first
        self._last_requested.pop(incarnation, None)
        self._last_requested[incarnation] = now
        if len(self._last_requested) > MAX_TRACKED_TARGETS:
            del self._last_requested[next(iter(self._last_requested))]

    def _is_in_demand(self, incarnation: Incarnation, now: float) -> bool:
        """Whether a request might use a kept connection.

        Requests that run only once never do; kept after these alone, connections
        would take those that their target accepts from instances in need of one.
        """
        return (
            now - self._last_requested.get(incarnation, float("-inf"))
            < MAX_IDLE_SECONDS
        )

    def _release(
        self,
        incarnation: Incarnation,
        connection: _TargetConnection,
        message: RawResponseMessage,
        may_send: Callable[[], bool] | None,
    ) -> None:
        seconds = _parse_idle_seconds(message.headers.get("Keep-Alive", ""))
        if may_send is not None and not may_send():
            # nobody would take it or close it: each restart of a target would leave
            # some open
            connection.abort()
            return
        if message.should_close or not connection.reusable or seconds <= 0:
            connection.abort()
            return
        self._keep_idle(incarnation, connection, seconds)


def _create_error(what: str, error: Exception) -> TargetResponseError:
    # bytes that are no answer come from a process that lives
    broken = not isinstance(error, HttpProcessingError)
    return TargetResponseError(f"{what}: {type(error).__name__}", broken=broken)


def _parse_idle_seconds(text: str) -> float:
    """Return the seconds for which a connection may be used after an answer."""
    for part in text.split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.strip().isdecimal():
            return min(MAX_IDLE_SECONDS, int(value) * KEEP_ALIVE_FRACTION)
    return MAX_IDLE_SECONDS


def _serialize(outbound: OutboundRequest, address: str) -> bytes:
    lines = [f"{outbound.method} {outbound.target} HTTP/1.1".encode()]
    if not any(name.lower() == b"host" for name, _ in outbound.headers):
        lines.append(b"Host: " + address.encode())
    lines.extend(name + b": " + value for name, value in outbound.headers)
    if outbound.body or outbound.method in ("POST", "PUT", "PATCH"):
        lines.append(f"Content-Length: {len(outbound.body)}".encode())
    return b"\r\n".join(lines) + b"\r\n\r\n" + outbound.body
