"""Interface to the platform's key-value store."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import Enum

from result import Result

__all__ = (
    "ABSENT",
    "Entry",
    "Lease",
    "Store",
    "StoreError",
    "StoreErrorKind",
    "WriteOutcome",
    "WriteResult",
)

#: revision of an absent key
ABSENT = 0


@dataclass(frozen=True, slots=True)
class Entry:
    """A key's value; ``revision`` increases with every write to the store."""

    key: str
    value: bytes
    revision: int


@dataclass(frozen=True, slots=True)
class Lease:
    """A lease that the store has granted; ``ttl`` is in seconds."""

    lease_id: str
    ttl: float
    #: increases with every lease that the store grants; it cannot serve as a fencing
    #: token, see :class:`~greengagelatch.leases.state.LeaseState`
    number: int


class StoreErrorKind(Enum):
    """Why a read, watch or lease call failed."""

    UNREACHABLE = "unreachable"
    TIMEOUT = "timeout"
    RATE_LIMITED = "rate-limited"
    LEASE_GONE = "lease-gone"
    BAD_ANSWER = "bad-answer"
    #: the store no longer has the history that a watch requires
    COMPACTED = "compacted"


@dataclass(frozen=True, slots=True)
class StoreError:
    """A failed read, watch or lease call."""

    kind: StoreErrorKind
    message: str


class WriteOutcome(Enum):
    """What is known about the effect of a write."""

    #: the write took effect
    APPLIED = "applied"
    #: the comparison failed; the write did not take effect
    CONFLICT = "conflict"
    #: the write certainly did not take effect (never sent, or refused)
    NOT_APPLIED = "not-applied"
    #: no answer was received; only a read can show whether the write took effect
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class WriteResult:
    """Outcome of a write; ``revision`` is set if it was applied."""

    outcome: WriteOutcome
    revision: int = ABSENT
    message: str = ""


class Store(ABC):
    """The platform's key-value store.

    Implementations must not retry writes: a retried compare-and-swap fails against the
    revision of the first one, so an applied write would be reported as a conflict.
    Reads may be retried within their time-out.
    """

    @abstractmethod
    async def get(self, key: str) -> Result[Entry | None, StoreError]:
        """Return the entry at ``key``, or ``Ok(None)`` if it is absent."""

    @abstractmethod
    async def list(self, prefix: str) -> Result[tuple[Entry, ...], StoreError]:
        """Return all entries whose keys start with ``prefix``, sorted by key."""

    @abstractmethod
    async def swap(
        self, key: str, value: bytes, expected: int, *, lease_id: str = ""
    ) -> WriteResult:
        """Write ``value`` if the key's revision is ``expected`` (compare-and-swap).

        With ``lease_id`` the entry is deleted when that lease expires.
        """

    @abstractmethod
    async def delete(self, key: str, expected: int) -> WriteResult:
        """Delete ``key`` if its revision is ``expected``."""

    @abstractmethod
    async def watch(
        self, key: str, after: int, wait: float
    ) -> Result[Entry | None, StoreError]:
        """Wait until the entry's revision is above ``after`` and return the entry.

        Return ``Ok(None)`` after ``wait`` seconds, or if the key is absent.
        """

    @abstractmethod
    async def grant_lease(self, ttl: float) -> Result[Lease, StoreError]:
        """Grant a lease that expires ``ttl`` seconds after its last renewal."""

    @abstractmethod
    async def renew_lease(self, lease_id: str) -> Result[Lease, StoreError]:
        """Renew a lease; fails with ``LEASE_GONE`` if it has expired."""

    @abstractmethod
    async def revoke_lease(self, lease_id: str) -> WriteResult:
        """Revoke a lease and delete the entries bound to it."""
