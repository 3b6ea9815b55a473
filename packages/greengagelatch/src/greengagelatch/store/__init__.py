"""Interface of the platform's key-value service."""

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

#: revision of a key that does not exist
ABSENT = 0


@dataclass(frozen=True, slots=True)
class Entry:
    """A key's value; ``revision`` rises with every write to the whole store."""

    key: str
    value: bytes
    revision: int


@dataclass(frozen=True, slots=True)
class Lease:
    """A lease the store has granted; ``ttl`` is in seconds."""

    lease_id: str
    ttl: float
    #: rises with every lease granted by the store: usable as a fencing number
    number: int


class StoreErrorKind(Enum):
    """Why a read, watch or lease call has no answer."""

    UNREACHABLE = "unreachable"
    TIMEOUT = "timeout"
    RATE_LIMITED = "rate-limited"
    LEASE_GONE = "lease-gone"
    BAD_ANSWER = "bad-answer"
    #: the history that a watch asks for is gone
    COMPACTED = "compacted"


@dataclass(frozen=True, slots=True)
class StoreError:
    """A read, watch or lease call that has no answer."""

    kind: StoreErrorKind
    message: str


class WriteOutcome(Enum):
    """What is known of a write."""

    #: the write took effect
    APPLIED = "applied"
    #: the compare failed; the write did not take effect
    CONFLICT = "conflict"
    #: the write certainly did not take effect (never sent, or refused)
    NOT_APPLIED = "not-applied"
    #: the answer is lost; only reading back can settle it
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class WriteResult:
    """Outcome of a compare-and-swap; ``revision`` is set when applied."""

    outcome: WriteOutcome
    revision: int = ABSENT
    message: str = ""


class Store(ABC):
    """The platform's key-value service.

    No implementation repeats a write by itself: the second of two equal
    compare-and-swaps fails against the first, which would make an applied write
    look like a conflict. Reads may be repeated within their time-out.
    """

    @abstractmethod
    async def get(self, key: str) -> Result[Entry | None, StoreError]:
        """Return the entry at ``key``, or ``Ok(None)`` where there is none."""

    @abstractmethod
    async def list(self, prefix: str) -> Result[tuple[Entry, ...], StoreError]:
        """Return all entries whose keys start with ``prefix``, by key."""

    @abstractmethod
    async def swap(
        self, key: str, value: bytes, expected: int, *, lease_id: str = ""
    ) -> WriteResult:
        """Write ``value`` if the key's revision is ``expected``.

        With ``lease_id`` the entry vanishes when that lease lapses.
        """

    @abstractmethod
    async def delete(self, key: str, expected: int) -> WriteResult:
        """Delete ``key`` if its revision is ``expected``."""

    @abstractmethod
    async def watch(
        self, key: str, after: int, wait: float
    ) -> Result[Entry | None, StoreError]:
        """Return the entry once its revision is above ``after``.

        After ``wait`` seconds, or if the key is absent, return ``Ok(None)``.
        """

    @abstractmethod
    async def grant_lease(self, ttl: float) -> Result[Lease, StoreError]:
        """Grant a lease that lapses ``ttl`` seconds after its last keep-alive."""

    @abstractmethod
    async def keep_lease(self, lease_id: str) -> Result[Lease, StoreError]:
        """Renew a lease; ``LEASE_GONE`` if it has lapsed."""

    @abstractmethod
    async def revoke_lease(self, lease_id: str) -> WriteResult:
        """End a lease and delete the entries bound to it."""
