"""What a shard of claims holds: one head and the sealed segments it names."""

from __future__ import annotations

from array import array
from collections.abc import Iterable
from dataclasses import dataclass, field

from . import Claim
from .packing import (
    RECORD_BYTES,
    Incarnations,
    find_record,
    list_prefixes,
    pack_claims,
    unpack_claims,
)

__all__ = ("RING_SIZE", "Head", "Limits", "Segment", "SegmentRef", "View")

#: batch ids a head remembers; a writer that reads the head back later than that
#: many swaps after its own can't tell any more whether its batch took effect
RING_SIZE = 64


@dataclass(frozen=True, slots=True, kw_only=True)
class Limits:
    """Bounds of a shard."""

    #: seconds for which a claim is kept
    retention: int
    #: seconds by which the wall clocks of instances may differ
    clock_margin: int
    #: claims in a head before the older half is sealed
    head_claims: int
    #: claims in one sealed segment
    segment_claims: int
    #: sealed segments of a shard; beyond, new claims are refused
    segments: int


@dataclass(frozen=True, slots=True)
class SegmentRef:
    """A sealed segment, as named by the head."""

    number: int
    #: revision of the segment's entry in the store, which never changes
    revision: int
    claims: int
    #: wall-clock seconds after which no claim in it holds
    forget_at: int


@dataclass(frozen=True, slots=True)
class Segment:
    """Older claims of a shard, written once.

    A shard may have a few hundred thousand of them. They stay packed and are found
    by bisection: a writer that takes over a shard reads them all, and must neither
    stop its event loop for that nor hold an object for each.
    """

    #: revision of the head for which it was made: once the head has moved on
    #: without naming it, it never will be named
    base: int
    incarnations: Incarnations
    #: records sorted by key
    packed: bytes
    _prefixes: array[int] = field(init=False, compare=False, repr=False)

    def __post_init__(self) -> None:
        object.__setattr__(self, "_prefixes", list_prefixes(self.packed))

    @classmethod
    def create(cls, base: int, claims: Iterable[Claim]) -> Segment:
        """Return a segment of ``claims``, of which each has a key of its own."""
        return cls(base, *pack_claims(sorted(claims, key=_get_key)))

    def __len__(self) -> int:
        return len(self.packed) // RECORD_BYTES

    @property
    def claims(self) -> tuple[Claim, ...]:
        """All claims, by key."""
        return unpack_claims(self.incarnations, self.packed)

    def find(self, key: bytes) -> Claim | None:
        """Return the claim under ``key``."""
        return find_record(self.incarnations, self.packed, self._prefixes, key)


@dataclass(frozen=True, slots=True, kw_only=True)
class Head:
    """The value that is swapped: newest claims, and what else there is."""

    #: number of swaps that made this head
    sequence: int = 0
    #: highest wall-clock reading of any writer, in seconds
    written_at: int = 0
    #: newest claims, in the order in which they were made
    claims: tuple[Claim, ...] = ()
    #: sealed segments, oldest first; a newer claim overrides an older one
    segments: tuple[SegmentRef, ...] = ()
    #: segments no longer needed, which may still have to be deleted
    retired: tuple[SegmentRef, ...] = ()
    next_segment: int = 1
    #: ids of the newest batches, the latest last
    batches: tuple[bytes, ...] = ()


@dataclass(frozen=True, slots=True)
class View:
    """A head at one revision, and those of its segments that are still needed."""

    head: Head
    revision: int
    segments: tuple[Segment, ...] = ()


def _get_key(claim: Claim) -> bytes:
    return claim.key
