"""Limits on accepted connections, and which of them are closed first."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = (
    "MAX_HANDSHAKES",
    "MIN_UNREAD_SECONDS",
    "ConnectionLimit",
    "ConnectionLimits",
    "ConnectionUse",
    "find_largest",
    "find_longest_unread",
    "find_max_connections",
    "find_max_handshakes",
)

#: descriptors that are left for files
FILE_DESCRIPTORS = 200
#: share of the others for callers' connections: each may need one to a target, and
#: peers, the store and operators need some as well
CALLER_SHARE = 0.4
#: minimum number of callers' connections
MIN_CONNECTIONS = 16
#: share for connections of peers that are not open yet, and bounds of their number. All
#: instances of a fleet may connect to one at once
HANDSHAKE_SHARE = 0.125
MIN_HANDSHAKES = 64
MAX_HANDSHAKES = 256
#: seconds for which a client does not read its response before its connection may yield
#: to a new one
MIN_UNREAD_SECONDS = 1.0


class ConnectionLimit:
    """Names of the limits, as they are logged."""

    #: number of connections
    NUMBER = "connections"
    #: bytes of one head
    HEAD = "head-bytes"
    #: bytes of all requests that were read ahead
    READ_AHEAD = "read-ahead-bytes"
    #: number of responses that wait for their clients to read on
    UNREAD = "unread-responses"
    #: bytes before the first message of a peer
    HANDSHAKE = "handshake-bytes"


@dataclass(frozen=True, slots=True, kw_only=True)
class ConnectionLimits:
    """Limits on the connections of one listener; sizes in bytes."""

    max_connections: int
    #: for all requests together that were read before their turn
    max_read_ahead: int = 16 * 1024 * 1024
    #: responses that wait for their clients to read on
    max_unread: int = 64


@dataclass(frozen=True, slots=True, kw_only=True)
class ConnectionUse:
    """What a connection takes up."""

    number: int
    #: bytes of requests that were read, without the one that is served
    ahead_bytes: int
    #: seconds for which its client has not read on; 0: it has
    unread_seconds: float = 0.0


def find_largest(uses: Iterable[ConnectionUse]) -> int | None:
    """Return the number of the connection that is furthest ahead; ``None``: none is."""
    largest: ConnectionUse | None = None
    for one in uses:
        if one.ahead_bytes <= 0:
            continue
        if largest is None or one.ahead_bytes > largest.ahead_bytes:
            largest = one
    return None if largest is None else largest.number


def find_longest_unread(uses: Iterable[ConnectionUse]) -> int | None:
    """Return the number of the connection whose response is unread for longest.

    :return: ``None``: no client keeps its response waiting
    """
    longest = max(uses, key=lambda one: one.unread_seconds, default=None)
    if longest is None or longest.unread_seconds < MIN_UNREAD_SECONDS:
        return None
    return longest.number


def find_max_connections(descriptors: int, most: int) -> int:
    """Return how many connections callers may have open.

    :param descriptors: that the process may have open; 0: not known
    :param most: the number that is not exceeded in any case
    """
    if descriptors <= 0:
        return most
    share = int((descriptors - FILE_DESCRIPTORS) * CALLER_SHARE)
    return min(most, max(MIN_CONNECTIONS, share))


def find_max_handshakes(descriptors: int) -> int:
    """Return how many connections of peers may be in their handshake.

    :param descriptors: that the process may have open; 0: not known
    """
    if descriptors <= 0:
        return MAX_HANDSHAKES
    share = int((descriptors - FILE_DESCRIPTORS) * HANDSHAKE_SHARE)
    return max(MIN_HANDSHAKES, min(MAX_HANDSHAKES, share))
