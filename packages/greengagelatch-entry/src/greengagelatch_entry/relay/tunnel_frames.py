"""Conventions of the WebSocket connections that carry tunnels."""

from __future__ import annotations

from enum import IntEnum

__all__ = (
    "CHUNK_BYTES",
    "HEARTBEAT_SECONDS",
    "SILENCE_SECONDS",
    "TUNNEL_PATH",
    "TunnelCloseCode",
    "was_paused",
)

#: path by which the peers' listener tells tunnels from links
TUNNEL_PATH = "/tunnel"
#: maximum payload in bytes of a frame, which bounds what is queued for a slow reader
CHUNK_BYTES = 32_768
#: seconds without other frames after which each side sends a pong
HEARTBEAT_SECONDS = 0.5
#: seconds without a received byte after which the other side counts as lost
SILENCE_SECONDS = 3.0
#: multiple of the heartbeat interval after which a timer shows that this process was
#: paused
PAUSE_FACTOR = 2.0


class TunnelCloseCode(IntEnum):
    """WebSocket close codes of tunnels, in addition to 1001 of a stopping instance."""

    #: orderly end of the stream
    END = 1000
    #: the connection to the target was reset
    RESET = 4010
    #: refused, or the first message was invalid
    REFUSED = 4011


def was_paused(seconds: float) -> bool:
    """Return whether a timer of one heartbeat interval that took longer shows a pause.

    :param seconds: how long it took
    """
    return seconds > PAUSE_FACTOR * HEARTBEAT_SECONDS
