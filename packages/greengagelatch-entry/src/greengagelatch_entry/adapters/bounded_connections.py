"""HTTP connections that are bounded by themselves and in sum."""

from __future__ import annotations

import asyncio
import select
from functools import partial
from itertools import count
from typing import TYPE_CHECKING, Any

from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.web_protocol import RequestHandler
from aiohttp.web_response import Response
from aiohttp.web_server import Server

from greengagelatch.connection_limits import (
    ConnectionLimit,
    ConnectionLimits,
    ConnectionUse,
    find_largest,
    find_longest_unread,
)

from .socket_options import (
    ACCEPTED_AT_ONCE,
    describe_peer,
    extend_backlog,
    limit_read_size,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from aiohttp.web_request import BaseRequest
    from aiohttp.web_response import StreamResponse

__all__ = (
    "READ_BYTES",
    "BoundedConnection",
    "BoundedServer",
    "RejectingProtocol",
    "listen",
)

#: size in bytes of one read from a client, and of the buffer of a body; there may be
#: thousands of connections that are not read on
READ_BYTES = 32 * 1024
#: bytes of responses written and not taken by the kernel from which on a client counts
#: as not reading
WRITE_BUFFER_BYTES = 32 * 1024
#: complete requests that may wait for their turn on a connection before it is not read
#: on; those of one read may be more
MAX_REQUESTS_AHEAD = 2
#: size in bytes of a head as a multiple of the limit for its lines
HEAD_FACTOR = 2
#: bytes that are read and dropped after an invalid head, so that its response is not
#: lost in a reset; the connection is not read on after that
MAX_DROPPED_BYTES = 256 * 1024
STATUS_HEAD_TOO_LARGE = 431
STATUS_INTERNAL = 500
STATUS_UNAVAILABLE = 503
_REASONS = {
    STATUS_HEAD_TOO_LARGE: "Request Header Fields Too Large",
    STATUS_UNAVAILABLE: "Service Unavailable",
}
#: errors of a connection whose peer does not read on, or has left
_LEFT = select.POLLRDHUP | select.POLLHUP | select.POLLERR


class BoundedServer(Server):
    """aiohttp's low-level server with limits on all its connections together.

    :param limits: of the connections of this listener
    :param on_limit: called with the name of a limit and the address of the client
        whose connection is closed or rejected by it
    :param on_held: called with the bytes that all connections hold, as these change
    """

    def __init__(
        self,
        handler: Callable[[BaseRequest], Awaitable[StreamResponse]],
        *,
        limits: ConnectionLimits,
        on_limit: Callable[[str, str], None] = lambda *_: None,
        on_held: Callable[[int], None] = lambda _: None,
        **options: Any,
    ) -> None:
        super().__init__(self._serve, **options)
        self._handler = handler
        self.limits = limits
        self._on_limit = on_limit
        self._on_held = on_held
        self._held_bytes = 0
        #: connections that are not closed, by their numbers
        self._open: dict[int, BoundedConnection] = {}
        #: those of them without a complete request, the longest idle one first
        self._idle: dict[BoundedConnection, None] = {}
        #: those whose clients do not read on, the longest waiting one first
        self._unread: dict[BoundedConnection, None] = {}
        self.connection_numbers = count(1)

    def create_connection(self) -> BoundedConnection:
        """Create the protocol of a connection that is not rejected."""
        options = {"read_bufsize": READ_BYTES, **self._kwargs}
        return BoundedConnection(self, loop=self._loop, **options)

    def __call__(self) -> asyncio.BaseProtocol:
        """Create the protocol of a newly accepted connection.

        If there are too many, the one that has served nothing for longest is closed. If
        all are served, it is one whose client has left, has sent most ahead, or has not
        read its response for longest; the new one is rejected if there is none.
        """
        if len(self._open) < self.limits.max_connections or self._make_room():
            return self.create_connection()
        return RejectingProtocol(
            self.create_rejection(),
            lambda peer: self.report_limit(ConnectionLimit.NUMBER, peer),
        )

    def _make_room(self) -> bool:
        """Close a connection for a new one; return whether there was one to close."""
        longest_idle = next(iter(self._idle), None)
        if longest_idle is not None:
            self._shed(longest_idle, ConnectionLimit.NUMBER)
            return True
        if self._abort_left():
            return True
        number = self._find_largest()
        if number is None:
            number = find_longest_unread(one.describe_use() for one in self._unread)
        if number is None:
            return False
        self._abort(self._open[number], ConnectionLimit.NUMBER)
        return True

    def create_rejection(self) -> bytes:
        """Return the response to a connection that is not accepted."""
        return create_response(STATUS_UNAVAILABLE)

    def report_limit(self, limit: str, peer: str) -> None:
        """Report that a connection is closed or rejected by a limit."""
        self._on_limit(limit, peer)

    def add(self, connection: BoundedConnection) -> None:
        """Record a new connection."""
        self._open[connection.number] = connection
        self.add_idle(connection)

    def remove(self, connection: BoundedConnection) -> None:
        """Record that a connection is closed."""
        self._open.pop(connection.number, None)
        self._idle.pop(connection, None)
        self._unread.pop(connection, None)

    def add_idle(self, connection: BoundedConnection) -> None:
        """Record that a connection has no request in service from now on."""
        self._idle.pop(connection, None)
        self._idle[connection] = None

    def remove_idle(self, connection: BoundedConnection) -> None:
        """Record that a connection has a complete request in service."""
        self._idle.pop(connection, None)

    def add_unread(self, connection: BoundedConnection) -> None:
        """Record that a client does not read on; abort the longest if need be."""
        self._unread[connection] = None
        if len(self._unread) > self.limits.max_unread:
            self._abort(next(iter(self._unread)), ConnectionLimit.UNREAD)

    def remove_unread(self, connection: BoundedConnection) -> None:
        """Record that a client reads on."""
        self._unread.pop(connection, None)

    def change_held(self, change: int) -> None:
        """Change the bytes that connections hold; close the largest ones if need be."""
        self._held_bytes += change
        self._on_held(self._held_bytes)
        while change > 0 and self._held_bytes > self.limits.max_read_ahead:
            number = self._find_largest()
            if number is None:
                return
            self._shed(self._open[number], ConnectionLimit.READ_AHEAD)

    async def _serve(self, request: BaseRequest) -> StreamResponse:
        connection = request.protocol
        connection.begin_serving(request)
        try:
            return await self._handler(request)
        finally:
            connection.end_serving()

    def _find_largest(self) -> int | None:
        return find_largest(one.describe_use() for one in self._open.values())

    def _abort_left(self) -> bool:
        """Abort the connections whose clients have left; return whether there are any.

        The event loop may accept a connection before it reads that others have ended.
        """
        left = [one for one in self._open.values() if one.has_peer_left()]
        for one in left:
            one.abort()
        return bool(left)

    def _abort(self, connection: BoundedConnection, limit: str) -> None:
        self.report_limit(limit, connection.peer)
        connection.abort()

    def _shed(self, connection: BoundedConnection, limit: str) -> None:
        self.report_limit(limit, connection.peer)
        connection.shed(STATUS_UNAVAILABLE)


class BoundedConnection(RequestHandler):
    """Connection of a client."""

    def __init__(self, server: BoundedServer, **options: Any) -> None:
        super().__init__(server, **options)
        self._max_msg_queue_size = MAX_REQUESTS_AHEAD
        self._msg_queue_resume_size = MAX_REQUESTS_AHEAD - 1
        self._bounded_server = server
        #: sequence number among the connections of its listener
        self.number = next(server.connection_numbers)
        self.peer = ""
        #: whether it is closed, or will be after the current response
        self.is_closing = False
        self._serving = False
        #: event loop time in seconds since which the client does not read on
        self._unread_since: float | None = None
        #: the request in service, while its body is incomplete
        self._incomplete: BaseRequest | None = None
        #: whether a request waits, or waited, for the response to another one
        self._is_ahead = False
        #: bytes of the head that is being read
        self._head_bytes = 0
        #: bytes of requests that are not served completely
        self._held_bytes = 0
        #: bytes dropped after an invalid head; ``None``: there was none
        self._dropped_bytes: int | None = None
        #: body of the last request
        self._body: Any = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        limit_read_size(transport, READ_BYTES)
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        self.peer = describe_peer(transport)
        self._bounded_server.add(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        self.is_closing = True
        self._bounded_server.remove(self)
        self._change_held(-self._held_bytes)
        super().connection_lost(exc)

    def pause_writing(self) -> None:
        super().pause_writing()
        if not self.is_closing:
            self._unread_since = self._loop.time()
            self._bounded_server.add_unread(self)

    def resume_writing(self) -> None:
        super().resume_writing()
        self._unread_since = None
        self._bounded_server.remove_unread(self)

    def data_received(self, data: bytes) -> None:
        if self.is_closing:
            return
        if self._dropped_bytes is not None:
            self._drop(data)
            return
        is_body = self._is_reading_body()
        before = len(self._messages)
        super().data_received(data)
        new = len(self._messages) - before
        if new:
            self._is_ahead = self._serving or len(self._messages) > 1
            message, self._body = self._messages[-1]
            if isinstance(getattr(message, "exc", None), HttpProcessingError):
                self._dropped_bytes = 0
        elif is_body:
            return
        self._count_head(len(data), new)

    def shed(self, status: int) -> None:
        """Drop what was read ahead, and close the connection.

        The response of a request that is served is written first. A client that has
        sent nothing expects no response.

        :param status: of the response to a request that is not served
        """
        is_begun = self._head_bytes > 0 or bool(self._messages)
        if self._incomplete is not None:
            is_begun = self._incomplete.writer.output_size == 0
        self.is_closing = True
        self._bounded_server.remove(self)
        self._change_held(-self._count_ahead())
        self._messages.clear()
        if self._serving and self._incomplete is None:
            self.close()
            self._pause_reading_for_buffer()
            return
        if is_begun and self.transport is not None:
            self.transport.write(create_response(status))
        self.force_close()

    def describe_use(self) -> ConnectionUse:
        """Return what the connection takes up."""
        unread = 0.0
        if self._unread_since is not None:
            unread = self._loop.time() - self._unread_since
        return ConnectionUse(
            number=self.number, ahead_bytes=self._count_ahead(), unread_seconds=unread
        )

    def begin_serving(self, request: BaseRequest) -> None:
        """Mark a request as served.

        While its body is incomplete the connection may yield to a new one, as if it was
        idle: nothing of the request has run.

        :raises ConnectionError: if the client has left; what it had sent ahead hides
            the end of the connection from the event loop
        """
        self._serving = True
        self._incomplete = request
        # called at once if the body is complete
        request.content.on_eof(partial(self._complete_request, request))
        if self._is_ahead and self.has_peer_left():
            raise ConnectionResetError("the client has left")

    def abort(self) -> None:
        """Close the connection at once; a request in service is cancelled."""
        self.is_closing = True
        self._bounded_server.remove(self)
        if self.transport is not None:
            self.transport.abort()

    def end_serving(self) -> None:
        """Mark a request as served completely."""
        self._change_held(self._count_ahead() - self._held_bytes)
        self._serving = False
        self._incomplete = None
        self._is_ahead = bool(self._messages)
        if not self._is_reading_body():
            self._body = None
        if not self.is_closing:
            self._bounded_server.add_idle(self)

    def _is_reading_body(self) -> bool:
        return self._body is not None and not self._body.is_eof()

    def _complete_request(self, request: BaseRequest) -> None:
        # its body may be read on after its response
        if self._incomplete is request:
            self._incomplete = None
            self._bounded_server.remove_idle(self)

    def _count_ahead(self) -> int:
        """Return the bytes that are held, without those of the request in service."""
        if not self._serving:
            return self._held_bytes
        waiting = len(self._messages)
        return self._held_bytes * waiting // (waiting + 1)

    def handle_error(
        self,
        request: BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> StreamResponse:
        """Respond to a request that can't be parsed, or whose handler failed.

        The library logs each with a traceback, also those that any client can cause.
        """
        if status >= STATUS_INTERNAL or request.writer.output_size > 0:
            return super().handle_error(request, status, exc, message)
        response = Response(status=status)
        response.force_close()
        return response

    def has_peer_left(self) -> bool:
        """Whether the client has closed the connection, or it is broken."""
        transport = self.transport
        if transport is None:
            return True
        connection = transport.get_extra_info("socket")
        if connection is None or connection.fileno() < 0:
            return True
        poll = select.poll()
        poll.register(connection.fileno(), _LEFT)
        return any(event & _LEFT for _, event in poll.poll(0))

    def _drop(self, data: bytes) -> None:
        self._dropped_bytes += len(data)
        if self._dropped_bytes > MAX_DROPPED_BYTES and not self._buffer_paused:
            self._pause_reading_for_buffer()

    def _count_head(self, size: int, new: int) -> None:
        """Count bytes of heads that were read.

        :param new: number of heads that are complete with them
        """
        max_head = self.max_field_size * HEAD_FACTOR
        self._head_bytes = 0 if new else self._head_bytes + size
        if self._head_bytes > max_head:
            self._bounded_server.report_limit(ConnectionLimit.HEAD, self.peer)
            self.shed(STATUS_HEAD_TOO_LARGE)
            return
        # a read may hold the rest of a body as well
        self._change_held(min(size, (new + 1) * max_head))

    def _change_held(self, change: int) -> None:
        if change:
            self._held_bytes += change
            self._bounded_server.change_held(change)


class RejectingProtocol(asyncio.Protocol):
    """Rejects a connection with a response and closes it.

    Without a response the client would see a reset and could not tell whether its
    request was executed.
    """

    def __init__(self, response: bytes, on_rejected: Callable[[str], None]) -> None:
        self._response = response
        self._on_rejected = on_rejected

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._on_rejected(describe_peer(transport))
        transport.write(self._response)
        transport.close()


def create_response(status: int) -> bytes:
    """Return a response without a body, which closes the connection."""
    lines = [f"HTTP/1.1 {status} {_REASONS[status]}", "Connection: close"]
    if status == STATUS_UNAVAILABLE:
        lines.append("Retry-After: 1")
    lines.append("Content-Length: 0")
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


async def listen(
    create: Callable[[], asyncio.BaseProtocol], host: str, port: int, backlog: int
) -> asyncio.Server:
    """Listen at an address.

    :param backlog: connections that the kernel queues
    """
    loop = asyncio.get_running_loop()
    server = await loop.create_server(create, host, port, backlog=ACCEPTED_AT_ONCE)
    extend_backlog(server.sockets, backlog)
    return server
