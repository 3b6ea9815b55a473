"""WebSocket connections between entry instances, with all bytes counted."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from functools import partial
from typing import TYPE_CHECKING, Any

from websockets.asyncio.client import ClientConnection, connect
from websockets.asyncio.server import Server, ServerConnection, serve

from greengagelatch.peers.codec import MAX_MESSAGE_BYTES

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from ..metrics import Metrics

__all__ = ("Connection", "SocketOptions", "Traffic", "listen", "open_connection")

#: frames read ahead of the one in work; a sender beyond that is slowed by TCP
READ_AHEAD = 16

#: bytes handed to the socket and not yet taken by the system until writers wait
WRITE_LIMIT = 65_536

#: seconds for the closing handshake, after which a connection is dropped
CLOSE_TIMEOUT = 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class SocketOptions:
    """Times of a connection, in seconds."""

    open_timeout: float


@dataclass(slots=True, eq=False)
class Traffic:
    """Bytes and frames since the last report; one datagram each would cost more."""

    #: bytes on the wire, with handshakes, heartbeats and frame headers
    sent: int = 0
    received: int = 0
    #: bytes of messages handed over, by message type
    sent_by_kind: Counter[str] = field(default_factory=Counter)
    frames_by_kind: Counter[str] = field(default_factory=Counter)

    def count_frame(self, kind: str, size: int) -> None:
        """Count a message that is handed to a socket."""
        self.sent_by_kind[kind] += size
        self.frames_by_kind[kind] += 1

    def report(self, metrics: Metrics) -> None:
        """Add what came together to the metrics."""
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


class _Counted:
    """Counts the bytes of a connection and notes when the last ones came."""

    def __init__(self, traffic: Traffic, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self._traffic = traffic
        #: seconds of the event loop's clock
        self.last_received = self.loop.time()

    def data_received(self, data: bytes) -> None:
        self.last_received = self.loop.time()
        self._traffic.received += len(data)
        super().data_received(data)

    def send_data(self) -> None:
        self._traffic.sent += sum(len(data) for data in self.protocol.writes)
        super().send_data()


class _CountedClient(_Counted, ClientConnection):
    pass


class _CountedServer(_Counted, ServerConnection):
    pass


Connection = _CountedClient | _CountedServer


def _list_options(options: SocketOptions) -> dict[str, Any]:
    return {
        "open_timeout": options.open_timeout,
        "close_timeout": CLOSE_TIMEOUT,
        # The library's pings stay unused: each is answered, on links that carry
        # messages too, and its task waits until a ping is handed over, which never
        # happens on a silent connection whose send buffer is full. Links send
        # heartbeats of their own, and judge silence by the last byte received.
        "ping_interval": None,
        # messages are too small to gain from it, and each link would hold buffers
        "compression": None,
        "max_size": MAX_MESSAGE_BYTES,
        "max_queue": READ_AHEAD,
        "write_limit": WRITE_LIMIT,
    }


async def listen(
    host: str,
    port: int,
    accept: Callable[[Connection], Awaitable[None]],
    traffic: Traffic,
    options: SocketOptions,
) -> Server:
    """Serve connections of peers; ``accept`` runs for as long as one is open."""
    return await serve(
        accept,
        host,
        port,
        create_connection=partial(_CountedServer, traffic),
        server_header=None,
        **_list_options(options),
    )


async def open_connection(
    address: str, traffic: Traffic, options: SocketOptions
) -> Connection:
    """Open a connection to a peer, in one attempt.

    :raises OSError, TimeoutError, websockets.exceptions.WebSocketException:
        it could not be opened.
    """
    host, _, port = address.rpartition(":")
    return await connect(
        f"ws://{address}",
        # given explicitly, the library follows no redirect to another address
        host=host.strip("[]"),
        port=int(port),
        create_connection=partial(_CountedClient, traffic),
        # by default it would look for a proxy in the environment
        proxy=None,
        user_agent_header=None,
        **_list_options(options),
    )
