"""Connection pool for targets; each request is written at most once."""

from __future__ import annotations

import asyncio
import errno
import socket
from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING

from aiohttp import ClientError
from aiohttp.client_proto import ResponseHandler
from aiohttp.http_exceptions import HttpProcessingError

from greengagelatch.relay.connection_loss import ConnectionLossRule
from greengagelatch.relay.incarnations import Incarnation

from .soft_timeout import SoftTimeoutScope
from .target_dialers import Destination, DialError, TunnelLostError
from .tunnel_transport import TUNNELLED

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from aiohttp import StreamReader
    from aiohttp.http import RawResponseMessage

    from greengagelatch.clock import Clock

    from ..metrics import Metrics
    from .messages import OutboundRequest
    from .soft_timeout import SoftTimeout
    from .target_dialers import TargetDialer

__all__ = (
    "TargetResponseError",
    "NotSentError",
    "TargetConnectionPool",
    "TargetResponse",
    "configure_socket",
)

#: seconds for opening a connection, directly or through peers. Without the timeout, a
#: target behind a partition holds a request until its deadline
DIAL_TIMEOUT = 1.5
#: seconds of a dial after which the deadline in the request is brought up to date
SLOW_DIAL_SECONDS = 0.05
#: seconds for which an idle connection is reused if the target announces no timeout
MAX_IDLE_SECONDS = 3.0
#: fraction of the idle timeout announced by a target that is used
KEEP_ALIVE_FRACTION = 0.5
#: when the kernel drops a connection to a silent target
LOSS_RULE = ConnectionLossRule(
    user_timeout=5.0, probe_idle=1, probe_interval=1, probe_count=4
)
#: size in bytes of the read buffer for a response
READ_BUFFER_BYTES = 256 * 1024
MAX_HEADER_BYTES = 32_768

#: targets for which the time of the last request for an idle connection is kept
MAX_TRACKED_TARGETS = 1024


class NotSentError(Exception):
    """No byte of the request was sent to the target."""


class TargetResponseError(Exception):
    """A response is missing or incomplete; the request may have run.

    :param broken: whether the target closed or reset the connection
    :param path_lost: whether the connection was direct and the target is reached
        through peers only now, so that it may be well
    :param silent: whether it was given up as the target was silent
    :param endured: whether that silence is recorded, as the request waited on before
    """

    def __init__(
        self,
        message: str,
        *,
        broken: bool = False,
        path_lost: bool = False,
        silent: bool = False,
        endured: bool = False,
    ) -> None:
        super().__init__(message)
        self.broken = broken
        self.path_lost = path_lost
        self.silent = silent
        self.endured = endured


def configure_socket(connection: socket.socket, rule: ConnectionLossRule) -> None:
    """Configure the kernel to detect a peer that vanished silently.

    A connection across a partition, or one whose state a middlebox has lost, accepts
    writes but never delivers a response. Without detection, a request on it would
    wait until its deadline.
    """
    options = (
        (socket.TCP_NODELAY, 1),
        (socket.TCP_USER_TIMEOUT, int(rule.user_timeout * 1000)),
        (socket.TCP_KEEPIDLE, rule.probe_idle),
        (socket.TCP_KEEPINTVL, rule.probe_interval),
        (socket.TCP_KEEPCNT, rule.probe_count),
    )
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in options:
        connection.setsockopt(socket.IPPROTO_TCP, option, value)


class _TargetConnection(ResponseHandler):
    """One connection; records whether it was reset."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        #: error that ended it; ``None`` while it is open and after an orderly close
        self.loss: BaseException | None = None
        #: monotonic time in seconds until which it may be reused
        self.reusable_until = 0.0
        #: whether a peer carries it
        self.tunnelled = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.tunnelled = bool(transport.get_extra_info(TUNNELLED))
        configure_socket(transport.get_extra_info("socket"), LOSS_RULE)

    def connection_lost(self, exc: BaseException | None) -> None:
        # the parser takes the end of the connection for the end of a response without
        # a length, even if a reset truncated it
        self.loss = exc
        super().connection_lost(exc)

    @property
    def reusable(self) -> bool:
        """Whether it is direct and no data of an earlier request is left on it."""
        if not self.is_connected() or self.should_close:
            return False
        # once idle, a tunnel would hold up a planned stop of the peer that carries it
        if self.tunnelled:
            return False
        return self.transport.get_write_buffer_size() == 0


@dataclass(slots=True)
class TargetResponse:
    """A response whose head was received; it must be released or aborted."""

    message: RawResponseMessage
    content: StreamReader
    _connection: _TargetConnection
    _release: Callable[[_TargetConnection, RawResponseMessage], None]
    #: returns whether the connection is direct although its target is reached through
    #: peers only
    is_path_lost: Callable[[], bool]

    async def iterate(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives.

        :raises TargetResponseError: if the body is truncated
        """
        try:
            while chunk := await self.content.readany():
                yield chunk
        except (ClientError, HttpProcessingError, OSError) as error:
            raise _create_error(
                "response truncated", error, self._connection.loss, self.is_path_lost()
            ) from error
        if self._connection.loss is not None and not self._is_framed():
            raise TargetResponseError(
                "connection reset during a response without a length",
                broken=not isinstance(self._connection.loss, TunnelLostError),
                path_lost=self.is_path_lost(),
            )

    async def read(self, limit: int) -> bytes:
        """Return the complete body.

        :raises TargetResponseError: if it is truncated or exceeds ``limit`` bytes
        """
        chunks = []
        size = 0
        async for chunk in self.iterate():
            size += len(chunk)
            if size > limit:
                raise TargetResponseError(f"response exceeds {limit} bytes")
            chunks.append(chunk)
        return b"".join(chunks)

    def release(self) -> None:
        """Return the connection to the pool if it is reusable."""
        self._release(self._connection, self.message)

    def abort(self) -> None:
        """Close the connection immediately; the target may cancel its work."""
        self._connection.abort()

    def _is_framed(self) -> bool:
        headers = self.message.headers
        return self.message.chunked or "Content-Length" in headers


class TargetConnectionPool:
    """Pools connections by the incarnation of their target.

    The client of the HTTP library resends a request by itself when a pooled connection
    drops. Here each request is written once, so that requests that are not idempotent
    run at most once.

    :param dialer: opens the connections
    :param find_idle_limit: returns the maximum number of idle connections to a target
    :param is_reachable: returns whether a direct connection to a target may succeed
    """

    def __init__(
        self,
        *,
        dialer: TargetDialer,
        find_idle_limit: Callable[[Incarnation], int],
        clock: Clock,
        metrics: Metrics,
        is_reachable: Callable[[Incarnation], bool] = lambda _: True,
    ) -> None:
        self._is_reachable = is_reachable
        self._dialer = dialer
        self._find_idle_limit = find_idle_limit
        self._clock = clock
        self._metrics = metrics
        self._idle: dict[Incarnation, list[_TargetConnection]] = defaultdict(list)
        #: monotonic time in seconds at which an idle connection was last requested
        self._last_requested: dict[Incarnation, float] = {}

    async def send(
        self,
        *,
        incarnation: Incarnation,
        address: str,
        outbound: OutboundRequest,
        fresh: bool,
        timeout: float,
        encode_again: Callable[[], OutboundRequest] | None = None,
        soft_timeout: SoftTimeout | None = None,
        may_send: Callable[[], bool] | None = None,
        service: str = "",
        data_centre: str = "",
        data_centres: frozenset[str] | None = None,
    ) -> TargetResponse:
        """Write a request and wait for the head of its response.

        :param fresh: whether to open a new connection; a pooled one may drop the
            request without evidence of whether it ran
        :param timeout: seconds until the head must have arrived
        :param encode_again: returns the request as of now; called after a slow dial, as
            the deadline that the request states is closer by then
        :param soft_timeout: when a target that is silent may be left before that
        :param may_send: checked once connected, and again before pooling the connection
        :param service: service of the target
        :param data_centre: data centre of the target
        :param data_centres: those of the instances that the request may pass;
            ``None``: all
        :raises NotSentError: if no byte was sent
        :raises TargetResponseError: if the request was written without a response
        """
        loop = asyncio.get_running_loop()
        started = loop.time()
        end = started + timeout
        connection = None if fresh else self._checkout(incarnation)
        if connection is None:
            destination = Destination(
                incarnation=incarnation,
                address=address,
                service=service,
                data_centre=data_centre,
                data_centres=data_centres,
            )
            connection = await self._open(destination, min(timeout, DIAL_TIMEOUT))
        if encode_again is not None and loop.time() - started > SLOW_DIAL_SECONDS:
            outbound = encode_again()
        if may_send is not None and not may_send():
            connection.abort()
            raise NotSentError(
                "the target is leaving, or inputs of the request are lost"
            )
        connection.set_response_params(
            skip_payload=outbound.method == "HEAD",
            read_until_eof=True,
            auto_decompress=False,
            read_bufsize=READ_BUFFER_BYTES,
            max_line_size=MAX_HEADER_BYTES,
            max_field_size=MAX_HEADER_BYTES,
        )

        def is_path_lost() -> bool:
            return not connection.tunnelled and not self._is_reachable(incarnation)

        try:
            data = _serialize(outbound, address)
            self._metrics.count("links.bytes_out", len(data))
            connection.transport.write(data)
            async with SoftTimeoutScope(end, soft_timeout, is_path_lost):
                message, content = await self._read_head(connection)
        except TimeoutError:
            connection.abort()
            raise TargetResponseError(
                "timed out waiting for the response head",
                path_lost=is_path_lost(),
                silent=True,
                endured=soft_timeout is not None and soft_timeout.endured,
            ) from None
        except (ClientError, HttpProcessingError, OSError) as error:
            connection.abort()
            raise _create_error(
                "no response", error, connection.loss, is_path_lost()
            ) from error
        except BaseException:
            connection.abort()
            raise
        return TargetResponse(
            message,
            content,
            connection,
            lambda one, head: self._release(incarnation, one, head, may_send),
            is_path_lost,
        )

    def close_idle(self, incarnation: Incarnation) -> None:
        """Close the idle connections to a target."""
        self._last_requested.pop(incarnation, None)
        for connection in self._idle.pop(incarnation, ()):
            connection.abort()

    def close_all_idle(self) -> None:
        """Close all idle connections."""
        for incarnation in tuple(self._idle):
            self.close_idle(incarnation)

    def count_idle(self) -> int:
        """Return the number of idle connections."""
        return sum(len(connections) for connections in self._idle.values())

    async def _read_head(
        self, connection: _TargetConnection
    ) -> tuple[RawResponseMessage, StreamReader]:
        while True:
            message, content = await connection.read()
            # skip informational responses such as 100
            if message.code >= 200:
                return message, content

    async def _open(
        self, destination: Destination, timeout: float
    ) -> _TargetConnection:
        try:
            return await self._dial(destination, timeout)
        except DialError as error:
            raise NotSentError(str(error)) from error

    async def _dial(
        self, destination: Destination, timeout: float
    ) -> _TargetConnection:
        loop = asyncio.get_running_loop()
        connection = await self._dialer.dial(
            destination, lambda: _TargetConnection(loop), timeout
        )
        assert isinstance(connection, _TargetConnection)
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
        # reinsert at the end, so that eviction removes the least recent target
        self._last_requested.pop(incarnation, None)
        self._last_requested[incarnation] = now
        if len(self._last_requested) > MAX_TRACKED_TARGETS:
            del self._last_requested[next(iter(self._last_requested))]

    def _is_in_demand(self, incarnation: Incarnation, now: float) -> bool:
        """Return whether a coming request might use an idle connection.

        Requests that are not idempotent never do. If connections were pooled after
        these alone, they would take up the connection limit of the target, to the
        disadvantage of instances that need one.
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
            # the target has left or restarted: a pooled connection would neither be
            # used nor closed, and each restart would leak some
            connection.abort()
            return
        if message.should_close or not connection.reusable or seconds <= 0:
            connection.abort()
            return
        self._keep_idle(incarnation, connection, seconds)


def _create_error(
    what: str, error: Exception, loss: BaseException | None, path_lost: bool
) -> TargetResponseError:
    """Create the error of a lost response.

    :param loss: error that ended the connection; ``None`` if there was none
    """
    # malformed data comes from a live process, and the loss of a peer that carried the
    # connection says nothing about the target
    malformed = isinstance(error, HttpProcessingError)
    broken = not malformed and not isinstance(loss, TunnelLostError)
    reason = f"{what}: {type(error).__name__}"
    code = getattr(loss, "errno", None)
    if code in errno.errorcode:
        reason += f" ({errno.errorcode[code]})"
    return TargetResponseError(reason, broken=broken, path_lost=path_lost)


def _parse_idle_seconds(text: str) -> float:
    """Return for how many seconds the connection may be reused after a response."""
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
