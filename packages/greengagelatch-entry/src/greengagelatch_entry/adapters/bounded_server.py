"""HTTP servers whose connections are bounded in sum."""

from __future__ import annotations

import asyncio
from itertools import count
from typing import TYPE_CHECKING, Any

from aiohttp.web_server import Server

from greengagelatch.connection_limits import (
    ConnectionLimit,
    ConnectionLimits,
    find_largest,
    find_longest_unread,
)

from .bounded_connections import (
    READ_BYTES,
    STATUS_UNAVAILABLE,
    BoundedConnection,
    create_response,
)
from .socket_options import ACCEPTED_AT_ONCE, describe_peer, extend_backlog

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from aiohttp.web_request import BaseRequest
    from aiohttp.web_response import StreamResponse

__all__ = ("BoundedServer", "RejectingProtocol", "listen")


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
