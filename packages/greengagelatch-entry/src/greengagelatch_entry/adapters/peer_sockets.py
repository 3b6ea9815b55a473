"""WebSocket connections between entry instances, with traffic counters."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from functools import partial
from typing import TYPE_CHECKING, Any

from websockets.asyncio.client import ClientConnection, connect
from websockets.asyncio.server import Server, ServerConnection, serve

from greengagelatch.connection_limits import MAX_HANDSHAKES, ConnectionLimit
from greengagelatch.peers.codec import MAX_MESSAGE_BYTES

from .socket_options import (
    ACCEPTED_AT_ONCE,
    describe_peer,
    extend_backlog,
    limit_read_size,
)

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Awaitable, Callable

    from ..metrics import Metrics

__all__ = (
    "AcceptedConnection",
    "Connection",
    "PendingHandshakes",
    "SocketOptions",
    "Traffic",
    "listen",
    "open_connection",
)

#: received frames that are buffered; above it, TCP applies backpressure
MAX_READ_AHEAD = 16

#: bytes in the transport's write buffer above which writers are paused
WRITE_LIMIT = 65_536

#: seconds for the closing handshake, after which a connection is dropped
CLOSE_TIMEOUT = 1.0

#: maximum bytes that a peer sends in its handshake, its first message included
MAX_HANDSHAKE_BYTES = 4 * 1024

#: bytes of one read after the handshake
READ_BYTES = 256 * 1024

#: connections that the kernel queues until this process accepts them
BACKLOG = 128


@dataclass(frozen=True, slots=True, kw_only=True)
class SocketOptions:
    """Timeouts and limits of connections; times in seconds."""

    open_timeout: float
    #: accepted connections in their handshake
    max_handshakes: int = MAX_HANDSHAKES
    #: called with the name of a limit and the address of the client whose connection
    #: is closed by it
    on_limit: Callable[[str, str], None] = lambda *_: None


class PendingHandshakes:
    """Accepted connections in their handshake; the oldest yields to a new one.

    The handshake ends with the first valid message of a peer. One that is rejected is
    pending until its connection is closed.
    """

    def __init__(self, options: SocketOptions) -> None:
        self._most = options.max_handshakes
        self._on_limit = options.on_limit
        self._connections: dict[AcceptedConnection, None] = {}

    def add(self, connection: AcceptedConnection) -> None:
        """Add a new connection; close the oldest one if there are too many."""
        self._connections[connection] = None
        if len(self._connections) > self._most:
            self.abort(next(iter(self._connections)), ConnectionLimit.NUMBER)

    def remove(self, connection: AcceptedConnection) -> None:
        """Remove a connection whose handshake has ended, or that is closed."""
        self._connections.pop(connection, None)

    def abort(self, connection: AcceptedConnection, limit: str) -> None:
        """Close a connection by a limit."""
        self.remove(connection)
        self._on_limit(limit, describe_peer(connection.transport))
        connection.abort()


@dataclass(slots=True, eq=False)
class Traffic:
    """Bytes and frames since the last report, batched to save metric datagrams."""

    #: bytes on the wire, including handshakes, heartbeats and frame headers
    sent: int = 0
    received: int = 0
    #: bytes of messages sent, by message type
    sent_by_kind: Counter[str] = field(default_factory=Counter)
    frames_by_kind: Counter[str] = field(default_factory=Counter)

    def count_frame(self, kind: str, size: int) -> None:
        """Count a message that is handed to a socket."""
        self.sent_by_kind[kind] += size
        self.frames_by_kind[kind] += 1

    def report(self, metrics: Metrics) -> None:
        """Add the counters to the metrics and reset them."""
        metrics.count("peers.wire_out", self.sent)
        metrics.count("peers.wire_in", self.received)
        metrics.count("peers.bytes_out", self.sent_by_kind.total())
        for kind, size in self.sent_by_kind.items():
            metrics.count(f"peers.bytes_out.{kind}", size)
        for kind, number in self.frames_by_kind.items():
            metrics.count(f"peers.frames_out.{kind}", number)
        self.sent = self.received = 0
        self.sent_by_kind.clear()
        self.frames_by_kind.clear()


class _CountingConnection:
    """Mixin that counts a connection's bytes and records the last receipt."""

    def __init__(self, traffic: Traffic, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self._traffic = traffic
        #: seconds of the event loop's clock
        self.last_received = self.loop.time()
        self._lost = False

    def abort(self) -> None:
        """Drop the connection without a closing handshake, unless it is lost."""
        # asyncio raises an error for a transport that closed after a last write
        if not self._lost:
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self._lost = True
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        self.last_received = self.loop.time()
        self._traffic.received += len(data)
        super().data_received(data)

    def send_data(self) -> None:
        self._traffic.sent += sum(len(data) for data in self.protocol.writes)
        super().send_data()


class _CountingClient(_CountingConnection, ClientConnection):
    pass


class AcceptedConnection(_CountingConnection, ServerConnection):
    """Accepted connection, whose client may send little until it is identified."""

    def __init__(
        self, pending: PendingHandshakes, traffic: Traffic, *args: Any, **options: Any
    ) -> None:
        super().__init__(traffic, *args, **options)
        self._pending = pending
        self._is_identified = False
        self._handshake_bytes = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        limit_read_size(transport, MAX_HANDSHAKE_BYTES)
        self._pending.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._pending.remove(self)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        super().data_received(data)
        # the library drops what follows invalid data, and tells the client the reason
        if self._is_identified or self.protocol.parser_exc is not None:
            return
        self._handshake_bytes += len(data)
        if self._handshake_bytes > MAX_HANDSHAKE_BYTES:
            self._pending.abort(self, ConnectionLimit.HANDSHAKE)

    def end_handshake(self) -> None:
        """Lift the limits for the handshake, as the client is a peer."""
        self._is_identified = True
        self._pending.remove(self)
        limit_read_size(self.transport, READ_BYTES)


Connection = _CountingClient | AcceptedConnection


def _create_options(options: SocketOptions) -> dict[str, Any]:
    return {
        "open_timeout": options.open_timeout,
        "close_timeout": CLOSE_TIMEOUT,
        # Links send their own heartbeats and detect silence by the last received
        # byte. The library's pings are disabled: each costs an answer, also on links
        # that carry messages, and its keepalive task blocks while a ping can't be
        # written, so it never times out a silent connection with a full send buffer.
        "ping_interval": None,
        # messages are too small to benefit, and each link would allocate buffers
        "compression": None,
        "max_size": MAX_MESSAGE_BYTES,
        "max_queue": MAX_READ_AHEAD,
        "write_limit": WRITE_LIMIT,
    }


async def listen(
    host: str,
    port: int,
    accept: Callable[[AcceptedConnection], Awaitable[None]],
    traffic: Traffic,
    options: SocketOptions,
) -> Server:
    """Listen for connections of peers; each is open until its ``accept`` returns.

    :param accept: must end the handshake of a connection once a peer is identified
    """
    server = await serve(
        accept,
        host,
        port,
        create_connection=partial(
            AcceptedConnection, PendingHandshakes(options), traffic
        ),
        server_header=None,
        backlog=ACCEPTED_AT_ONCE,
        **_create_options(options),
    )
    extend_backlog(server.sockets, BACKLOG)
    return server


async def open_connection(
    address: str, traffic: Traffic, options: SocketOptions, path: str = ""
) -> Connection:
    """Open a connection to a peer, without retries.

    :param path: path of the request; empty for a link
    :raises OSError, TimeoutError, websockets.exceptions.WebSocketException:
        if it can't be opened.
    """
    host, _, port = address.rpartition(":")
    return await connect(
        f"ws://{address}{path}",
        # with an explicit host the library follows no redirect to another address
        host=host.strip("[]"),
        port=int(port),
        create_connection=partial(_CountingClient, traffic),
        # the default uses a proxy from the environment
        proxy=None,
        user_agent_header=None,
        **_create_options(options),
    )
