"""Options of sockets: loss of silent peers, resets, and size of reads."""

from __future__ import annotations

import socket
import struct
from typing import TYPE_CHECKING

from greengagelatch.relay.connection_loss import ConnectionLossRule

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Iterable

__all__ = (
    "ACCEPTED_AT_ONCE",
    "LOSS_RULE",
    "configure_socket",
    "describe_peer",
    "extend_backlog",
    "limit_read_size",
    "reset_on_close",
)

#: connections that are accepted in one turn of the event loop
ACCEPTED_AT_ONCE = 16

#: when the kernel drops a connection to a silent target
LOSS_RULE = ConnectionLossRule(
    user_timeout=5.0, probe_idle=1, probe_interval=1, probe_count=4
)
#: SO_LINGER with a time of zero
_ZERO_LINGER = struct.pack("ii", 1, 0)


def limit_read_size(transport: asyncio.BaseTransport | None, size: int) -> None:
    """Limit the bytes that a transport reads at once.

    It may read that many beyond the limit of the protocol's buffer. Transports that
    have no such attribute are left as they are.
    """
    if hasattr(transport, "max_size"):
        transport.max_size = size


def describe_peer(transport: asyncio.BaseTransport) -> str:
    """Return the address of a transport's peer; empty: not known."""
    name = transport.get_extra_info("peername")
    return f"{name[0]}:{name[1]}" if name else ""


def extend_backlog(
    listeners: Iterable[asyncio.trsock.TransportSocket], backlog: int
) -> None:
    """Have the kernel queue more connections than the event loop accepts at once.

    The event loop accepts as many as it is told that the kernel queues, and only then
    closes any: their descriptors would exceed all limits.
    """
    for one in listeners:
        with one.dup() as listener:
            listener.listen(backlog)


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


def reset_on_close(connection: socket.socket) -> None:
    """Have the kernel end a connection by a reset, and discard what is not sent."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _ZERO_LINGER)
