"""Data model of a shard of claims: one head and its sealed segments."""

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

__all__ = ("MAX_BATCH_IDS", "Head", "ShardLimits", "Segment", "SegmentRef", "ShardView")

#: number of recent batch ids in a head; a writer that reads the head back more than
#: that many swaps after its own can't tell whether its batch took effect
MAX_BATCH_IDS = 64


@dataclass(frozen=True, slots=True, kw_only=True)
class ShardLimits:
    """Limits of a shard."""

    #: seconds for which a claim is kept
    retention: int
    #: largest difference between the wall clocks of instances, in seconds
    clock_margin: int
    #: claims in a head above which the older half is sealed into a segment
    head_claims: int
    #: maximum number of claims in one sealed segment
    segment_claims: int
    #: maximum number of sealed segments; once it is reached and the head is full, new
    #: claims are refused
    segments: int


@dataclass(frozen=True, slots=True)
class SegmentRef:
    """Reference from the head to a sealed segment."""

    number: int
    #: revision of the segment's entry in the store, which never changes
    revision: int
    claims: int
    #: wall-clock seconds after which all its claims have expired
    expires_at: int


@dataclass(frozen=True, slots=True)
class Segment:
    """Immutable block of older claims of a shard.

    A shard may have a few hundred thousand claims. They stay packed and are looked
    up by binary search: a writer that takes over a shard reads all segments, and
    unpacking them would block its event loop and allocate an object per claim.
    """

    #: revision of the head that the segment was created for; a later head that does
    #: not refer to it shows that no head ever will
    base: int
    incarnations: Incarnations
    #: records sorted by key
    packed: bytes
    _prefixes: array[int] = field(init=False, compare=False, repr=False)

    def __post_init__(self) -> None:
        object.__setattr__(self, "_prefixes", list_prefixes(self.packed))

    @classmethod
    def create(cls, base: int, claims: Iterable[Claim]) -> Segment:
        """Create a segment of ``claims``, whose keys must be distinct."""
        return cls(base, *pack_claims(sorted(claims, key=_get_key)))

    def __len__(self) -> int:
        return len(self.packed) // RECORD_BYTES

    @property
    def claims(self) -> tuple[Claim, ...]:
        """All claims, sorted by key."""
        return unpack_claims(self.incarnations, self.packed)

    def find(self, key: bytes) -> Claim | None:
        """Return the claim on ``key``, if there is one."""
        return find_record(self.incarnations, self.packed, self._prefixes, key)


@dataclass(frozen=True, slots=True, kw_only=True)
class Head:
    """Root of a shard, replaced by compare-and-swap: newest claims and segment list."""

    #: number of swaps so far
    sequence: int = 0
    #: highest wall-clock time that any writer has recorded, in seconds
    written_at: int = 0
    #: newest claims, in order of acquisition
    claims: tuple[Claim, ...] = ()
    #: sealed segments, oldest first; a newer claim overrides an older one
    segments: tuple[SegmentRef, ...] = ()
    #: segments that are no longer needed and may not have been deleted yet
    retired: tuple[SegmentRef, ...] = ()
    next_segment: int = 1
    #: ids of the most recent batches, newest last
    batches: tuple[bytes, ...] = ()


@dataclass(frozen=True, slots=True)
class ShardView:
    """A head at one revision, with the contents of its unexpired segments."""

    head: Head
    revision: int
    segments: tuple[Segment, ...] = ()


def _get_key(claim: Claim) -> bytes:
    return claim.key
