"""Applies a batch of operations to a shard of claims."""

from __future__ import annotations

import dataclasses
from dataclasses import dataclass
from enum import Enum

from . import Claim, ClaimState, Token
from .head import MAX_BATCH_IDS, Head, Segment, SegmentRef, ShardLimits, ShardView

__all__ = (
    "Acquire",
    "GiveBack",
    "Operation",
    "OperationResult",
    "Plan",
    "ResultKind",
    "create_plan",
    "find_claim",
    "is_needed",
)


@dataclass(frozen=True, slots=True)
class Acquire:
    """Claims a key for the attempt ``token``."""

    key: bytes
    digest: bytes
    token: Token
    #: former holder, whose instance has confirmed that it never ran and never will
    replaces: Token | None = None


@dataclass(frozen=True, slots=True)
class GiveBack:
    """Releases a key for which the attempt ``token`` sent nothing."""

    key: bytes
    token: Token


Operation = Acquire | GiveBack


class ResultKind(Enum):
    """Result of an operation."""

    GRANTED = "granted"
    #: another attempt holds the key
    HELD = "held"
    #: the key was used for another request
    KEY_REUSED = "key-reused"
    GIVEN_BACK = "given-back"
    #: the shard is at its limit of claims
    FULL = "full"
    #: the store could not be reached; the operation did not take effect
    UNREACHABLE = "unreachable"
    #: the result is unknown: the operation may have taken effect
    UNSETTLED = "unsettled"


@dataclass(frozen=True, slots=True)
class OperationResult:
    """Result of an operation; ``holder`` is set if another attempt holds the key."""

    kind: ResultKind
    holder: Token | None = None


@dataclass(frozen=True, slots=True)
class Plan:
    """The head to swap in, and the results of its operations once that succeeds."""

    head: Head
    #: results in the order of the operations
    results: tuple[OperationResult, ...]
    #: whether the operations change anything
    changed: bool
    #: segment to write before the head that refers to it
    segment: Segment | None = None


def create_plan(
    view: ShardView,
    operations: tuple[Operation, ...],
    *,
    batch_id: bytes,
    now: int,
    limits: ShardLimits,
    seal: bool = True,
    deleted: frozenset[int] = frozenset(),
) -> Plan:
    """Apply ``operations`` in order to a copy of the head.

    The head may grow to twice its limit before claims are refused.

    :param now: wall-clock seconds
    :param seal: whether older claims may be moved to a segment
    :param deleted: numbers of retired segments that no longer exist
    """
    head = view.head
    # a writer whose clock is behind would make claims expire too early
    timestamp = max(now, head.written_at)
    claims = {claim.key: claim for claim in head.claims}
    results = []
    changed = False
    for operation in operations:
        current = find_claim(claims, view, operation.key)
        if current is not None and is_expired(current, now, limits):
            current = None
        if isinstance(operation, GiveBack):
            result = _give_back(claims, view, operation, current)
            changed |= result.kind is ResultKind.GIVEN_BACK
        else:
            has_room = len(claims) < 2 * limits.head_claims
            result, added = _acquire(
                claims, operation, current, has_room, timestamp, limits
            )
            changed |= added
        results.append(result)
    unexpired = tuple(
        claim for claim in claims.values() if not is_expired(claim, now, limits)
    )
    changed |= bool(deleted.intersection(ref.number for ref in head.retired))
    proposed = Head(
        sequence=head.sequence + 1,
        written_at=timestamp,
        claims=unexpired,
        segments=tuple(ref for ref in head.segments if is_needed(ref, now, limits)),
        retired=tuple(ref for ref in head.retired if ref.number not in deleted)
        + tuple(ref for ref in head.segments if not is_needed(ref, now, limits)),
        next_segment=head.next_segment,
        batches=(*head.batches, batch_id)[-MAX_BATCH_IDS:],
    )
    plan = Plan(proposed, tuple(results), changed)
    if not seal or not changed or len(unexpired) <= limits.head_claims:
        return plan
    return _seal(plan, view, now, limits)


def find_claim(claims: dict[bytes, Claim], view: ShardView, key: bytes) -> Claim | None:
    """Return the newest record of ``key``, from the head or a sealed segment."""
    current = claims.get(key)
    if current is not None:
        return current
    return _find_sealed(view, key)


def is_expired(claim: Claim, now: int, limits: ShardLimits) -> bool:
    """Whether a claim has expired by the clock of every instance.

    Without the margin, an instance whose clock is fast would drop a claim whose key
    may still be repeated, and the request would run twice.
    """
    return now > claim.expires_at + limits.clock_margin


def is_needed(ref: SegmentRef, now: int, limits: ShardLimits) -> bool:
    """Whether a sealed segment may contain an unexpired claim."""
    return now <= ref.expires_at + limits.clock_margin


def may_acquire(operation: Acquire, current: Claim | None) -> bool:
    """Whether an attempt may claim a key.

    The holder's instance may have confirmed that its attempt never ran. That
    frees the key from this one attempt only: a newer one may hold it by now.
    """
    if current is None or current.state is ClaimState.GIVEN_BACK:
        return True
    return operation.replaces is not None and operation.replaces == current.token


def may_give_back(operation: GiveBack, current: Claim | None) -> bool:
    """Whether a key is still held by the attempt that gives it back.

    Otherwise a delayed give-back would release the claim of a newer attempt that
    is running, and a third attempt could run concurrently with it.
    """
    return (
        current is not None
        and current.state is ClaimState.CLAIMED
        and current.token == operation.token
    )


def is_same_request(operation: Acquire, current: Claim) -> bool:
    """Whether a key is repeated with the request that it was first used for."""
    return operation.digest == current.digest


def is_sealed(view: ShardView, key: bytes) -> bool:
    """Whether a sealed segment contains a record of ``key``."""
    return _find_sealed(view, key) is not None


def _acquire(
    claims: dict[bytes, Claim],
    operation: Acquire,
    current: Claim | None,
    has_room: bool,
    timestamp: int,
    limits: ShardLimits,
) -> tuple[OperationResult, bool]:
    """Return the result, and whether a claim was added."""
    if current is not None and current.token == operation.token:
        # the same operation was committed before, but its answer was lost
        if current.state is ClaimState.CLAIMED:
            return OperationResult(ResultKind.GRANTED), False
        return OperationResult(ResultKind.HELD, current.token), False
    if not may_acquire(operation, current):
        if not is_same_request(operation, current):
            return OperationResult(ResultKind.KEY_REUSED), False
        return OperationResult(ResultKind.HELD, current.token), False
    if not has_room:
        return OperationResult(ResultKind.FULL), False
    # reinserted at the end, so that the map stays in order of acquisition
    claims.pop(operation.key, None)
    claims[operation.key] = Claim(
        operation.key, operation.digest, operation.token, timestamp + limits.retention
    )
    return OperationResult(ResultKind.GRANTED), True


def _give_back(
    claims: dict[bytes, Claim],
    view: ShardView,
    operation: GiveBack,
    current: Claim | None,
) -> OperationResult:
    if not may_give_back(operation, current):
        return OperationResult(ResultKind.HELD, current.token if current else None)
    claims.pop(operation.key, None)
    if is_sealed(view, operation.key):
        # segments are immutable: without this tombstone the sealed claim would be
        # visible again
        claims[operation.key] = dataclasses.replace(
            current, state=ClaimState.GIVEN_BACK
        )
    return OperationResult(ResultKind.GIVEN_BACK)


def _find_sealed(view: ShardView, key: bytes) -> Claim | None:
    for segment in reversed(view.segments):
        claim = segment.find(key)
        if claim is not None:
            return claim
    return None


def _seal(plan: Plan, view: ShardView, now: int, limits: ShardLimits) -> Plan:
    """Move the older half of the claims to a segment, merged with the newest one."""
    head = plan.head
    half = len(head.claims) - limits.head_claims // 2
    sealed = {claim.key: claim for claim in head.claims[:half]}
    refs = head.segments
    retired = head.retired
    newest = view.segments[-1] if view.segments else None
    merges = (
        newest is not None
        and bool(refs)
        and refs[-1] == view.head.segments[-1]
        and refs[-1].claims + len(sealed) <= limits.segment_claims
    )
    if merges:
        older = {
            claim.key: claim
            for claim in newest.claims
            if not is_expired(claim, now, limits)
        }
        sealed = older | sealed
        retired = (*retired, refs[-1])
        refs = refs[:-1]
    if len(refs) >= limits.segments:
        return plan
    segment = Segment.create(view.revision, sealed.values())
    ref = SegmentRef(
        number=head.next_segment,
        revision=0,
        claims=len(segment),
        expires_at=max(claim.expires_at for claim in sealed.values()),
    )
    sealed_head = dataclasses.replace(
        head,
        claims=head.claims[half:],
        segments=(*refs, ref),
        retired=retired,
        next_segment=head.next_segment + 1,
    )
    return dataclasses.replace(plan, head=sealed_head, segment=segment)
