"""HTTP connections whose clients may send anything, or nothing."""

from __future__ import annotations

import select
from functools import partial
from typing import TYPE_CHECKING, Any

from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.web_protocol import RequestHandler
from aiohttp.web_response import Response

from greengagelatch.connection_limits import ConnectionLimit, ConnectionUse

from .socket_options import describe_peer, limit_read_size

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Mapping

    from aiohttp.web_request import BaseRequest
    from aiohttp.web_response import StreamResponse

    from .bounded_server import BoundedServer

__all__ = (
    "READ_BYTES",
    "STATUS_UNAVAILABLE",
    "WRITE_BUFFER_BYTES",
    "BoundedConnection",
    "create_response",
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
RETRY_HEADERS = {"Retry-After": "1"}
#: errors of a connection whose peer does not read on, or has left
_LEFT = select.POLLRDHUP | select.POLLHUP | select.POLLERR


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


def create_response(
    status: int, headers: Mapping[str, str] | None = None, body: bytes = b""
) -> bytes:
    """Return a response to write without a request; it closes the connection.

    :param headers: by default a time to retry after, where it is due
    """
    if headers is None:
        headers = RETRY_HEADERS if status == STATUS_UNAVAILABLE else {}
    lines = [f"HTTP/1.1 {status} {_REASONS[status]}", "Connection: close"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
