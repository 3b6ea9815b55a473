"""Interface to the platform's list of instances."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
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
    """Role of an instance."""

    ENTRY = "entry"
    TARGET = "target"


class InstanceState(Enum):
    """Whether an instance accepts new work; leaving instances only finish theirs."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True, kw_only=True)
class Instance:
    """An instance in the platform's list."""

    instance_id: str
    kind: InstanceKind
    data_centre: str
    #: ``host:port``: for targets the port for stage calls, for entry instances the
    #: port for peer links
    address: str
    state: InstanceState = InstanceState.LIVE
    #: service that a target provides; empty for entry instances
    service: str = ""
    #: bundles of stage calls that an entry instance can collect per second; 0: unknown
    capacity: int = 0


@dataclass(frozen=True, slots=True)
class Listing:
    """A snapshot of the list.

    ``as_of`` increases from one version of the list to the next. A snapshot may be
    out of date when it is received.
    """

    as_of: int
    instances: tuple[Instance, ...]


class InstanceList(ABC):
    """The platform's list of live and leaving instances, which may be out of date."""

    @abstractmethod
    async def fetch(self) -> Result[Listing, StoreError]:
        """Return the newest listing that the platform provides."""
