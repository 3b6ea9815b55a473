"""Interface for probes of targets, by this instance and by its peers."""

from __future__ import annotations

from abc import ABC, abstractmethod
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .target_dialers import Destination, DialFailure

__all__ = ("PeerFinding", "TargetProber")


class PeerFinding(Enum):
    """What peers have found that were to connect to a target."""

    REACHED = "reached"
    #: none reached it, and its host refused one at least
    REFUSED = "refused"
    #: none reached it or could tell why
    UNKNOWN = "unknown"
    #: no other instance is alive
    NO_PEERS = "no-peers"


class TargetProber(ABC):
    """Connects to targets to see whether they listen."""

    @abstractmethod
    async def probe(self, destination: Destination) -> DialFailure | None:
        """Connect directly and close the connection; return why that failed."""

    @abstractmethod
    async def probe_by_peers(self, destination: Destination) -> PeerFinding:
        """Let a few peers connect to a target; return what they found."""
