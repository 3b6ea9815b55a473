"""Interface of the platform's list of instances."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import Enum

from result import Result

from ..store import StoreError

__all__ = (
    "Instance",
    "InstanceKind",
    "InstanceList",
    "InstanceState",
    "Listing",
)


class InstanceKind(Enum):
    """What an instance is for."""

    ENTRY = "entry"
    TARGET = "target"


class InstanceState(Enum):
    """Whether an instance may be given new work."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True, kw_only=True)
class Instance:
    """One instance of the platform's list."""

    instance_id: str
    kind: InstanceKind
    data_centre: str
    #: ``host:port`` of targets' calls, or of an entry instance's peer port
    address: str
    state: InstanceState = InstanceState.LIVE
    #: the service a target provides; empty for entry instances
    service: str = ""
    #: stage work that an entry instance can gather; 0: not told
    capacity: int = 0


@dataclass(frozen=True, slots=True)
class Listing:
    """The list at one moment; ``as_of`` rises and may lie in the past."""

    as_of: int
    instances: tuple[Instance, ...]


class InstanceList(ABC):
    """The platform's list of live and leaving instances, which lags."""

    @abstractmethod
    async def fetch(self) -> Result[Listing, StoreError]:
        """Return the newest listing that the platform shows."""
