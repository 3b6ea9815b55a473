"""What a batch of operations changes in a shard of claims."""

from __future__ import annotations

import dataclasses
from dataclasses import dataclass
from enum import Enum

from . import Claim, ClaimState, Token
from .head import RING_SIZE, Head, Limits, Segment, SegmentRef, View

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
    """Claim a key for the attempt ``token``."""

    key: bytes
    digest: bytes
    token: Token
    #: attempt whose instance has said that it never ran and never will
    replaces: Token | None = None


@dataclass(frozen=True, slots=True)
class GiveBack:
    """Free a key, as nothing was sent for the attempt ``token``."""

    key: bytes
    token: Token


Operation = Acquire | GiveBack


class ResultKind(Enum):
    """What became of an operation."""

    GRANTED = "granted"
    #: another attempt holds the key
    HELD = "held"
    #: the key was used for another request
    KEY_REUSED = "key-reused"
    GIVEN_BACK = "given-back"
    #: the shard has no room
    FULL = "full"
    #: the store gave no answer; the operation did not take effect
    UNREACHABLE = "unreachable"
    #: the store gave no answer; the operation may have taken effect
    UNSETTLED = "unsettled"


@dataclass(frozen=True, slots=True)
class OperationResult:
    """What became of an operation; ``holder`` is set if another attempt holds."""

    kind: ResultKind
    holder: Token | None = None


@dataclass(frozen=True, slots=True)
class Plan:
    """A head to be swapped in, and what its success will mean."""

    head: Head
    #: results in the order of the operations
    results: tuple[OperationResult, ...]
    #: whether the operations change anything
    changed: bool
    #: segment that must be written before ``head`` may name it
    segment: Segment | None = None


def create_plan(
    view: View,
    operations: tuple[Operation, ...],
    *,
    batch_id: bytes,
    now: int,
    limits: Limits,
    seal: bool = True,
    deleted: frozenset[int] = frozenset(),
) -> Plan:
    """Apply ``operations`` in order to a copy of the head.

    ``now`` is wall-clock seconds. Without ``seal`` the head may grow to twice its
    bound before claims are refused. ``deleted`` numbers retired segments that no
    longer exist.
    """
    head = view.head
    # a writer whose clock is behind would let claims be forgotten too early
    stamp = max(now, head.written_at)
    claims = {claim.key: claim for claim in head.claims}
    results = []
    changed = False
    for operation in operations:
        current = find_claim(claims, view, operation.key)
        if current is not None and is_forgotten(current, now, limits):
            current = None
        if isinstance(operation, GiveBack):
            result = _give_back(claims, view, operation, current)
            changed |= result.kind is ResultKind.GIVEN_BACK
        else:
            room = len(claims) < 2 * limits.head_claims
            result, added = _acquire(claims, operation, current, room, stamp, limits)
            changed |= added
        results.append(result)
    kept = tuple(
        claim for claim in claims.values() if not is_forgotten(claim, now, limits)
    )
    changed |= bool(deleted.intersection(ref.number for ref in head.retired))
    proposed = Head(
        sequence=head.sequence + 1,
        written_at=stamp,
        claims=kept,
        segments=tuple(ref for ref in head.segments if is_needed(ref, now, limits)),
        retired=tuple(ref for ref in head.retired if ref.number not in deleted)
        + tuple(ref for ref in head.segments if not is_needed(ref, now, limits)),
        next_segment=head.next_segment,
        batches=(*head.batches, batch_id)[-RING_SIZE:],
    )
    plan = Plan(proposed, tuple(results), changed)
    if not seal or not changed or len(kept) <= limits.head_claims:
        return plan
    return _seal(plan, view, now, limits)


def find_claim(claims: dict[bytes, Claim], view: View, key: bytes) -> Claim | None:
    """Return the newest record under ``key``, in the head or a sealed segment."""
    current = claims.get(key)
    if current is not None:
        return current
    return _find_sealed(view, key)


def is_forgotten(claim: Claim, now: int, limits: Limits) -> bool:
    """Whether a claim is past its time by any instance's clock.

    An instance whose clock is fast would forget a claim while its key may still
    be asked again, and the request would run twice. The margin covers that.
    """
    return now > claim.forget_at + limits.clock_margin


def is_needed(ref: SegmentRef, now: int, limits: Limits) -> bool:
    """Whether a sealed segment holds a claim that is not forgotten."""
    return now <= ref.forget_at + limits.clock_margin


def may_acquire(operation: Acquire, current: Claim | None) -> bool:
    """Whether a key is free for an attempt.

    A key whose attempt never ran is freed by the word of that attempt's instance;
    it counts only for that one attempt, as another may hold the key by now.
    """
    if current is None or current.state is ClaimState.GIVEN_BACK:
        return True
    return operation.replaces is not None and operation.replaces == current.token


def may_give_back(operation: GiveBack, current: Claim | None) -> bool:
    """Whether a key is still held by the attempt that gives it back.

    A give-back that arrives late would else free the claim of a newer attempt,
    which is running, and let a third one run beside it.
    """
    return (
        current is not None
        and current.state is ClaimState.CLAIMED
        and current.token == operation.token
    )


def is_same_request(operation: Acquire, current: Claim) -> bool:
    """Whether a key is asked again for what it was first used for."""
    return operation.digest == current.digest


def is_sealed(view: View, key: bytes) -> bool:
    """Whether a sealed segment holds a record under ``key``."""
    return _find_sealed(view, key) is not None


def _acquire(
    claims: dict[bytes, Claim],
    operation: Acquire,
    current: Claim | None,
    room: bool,
    stamp: int,
    limits: Limits,
) -> tuple[OperationResult, bool]:
    """Return the result, and whether a claim was added."""
    if current is not None and current.token == operation.token:
        # an earlier try of the same attempt took effect, its answer was lost
        if current.state is ClaimState.CLAIMED:
            return OperationResult(ResultKind.GRANTED), False
        return OperationResult(ResultKind.HELD, current.token), False
    if not may_acquire(operation, current):
        if not is_same_request(operation, current):
            return OperationResult(ResultKind.KEY_REUSED), False
        return OperationResult(ResultKind.HELD, current.token), False
    if not room:
        return OperationResult(ResultKind.FULL), False
    # put in anew, so that the order of the map stays the order of the claims
    claims.pop(operation.key, None)
    claims[operation.key] = Claim(
        operation.key, operation.digest, operation.token, stamp + limits.retention
    )
    return OperationResult(ResultKind.GRANTED), True


def _give_back(
    claims: dict[bytes, Claim], view: View, operation: GiveBack, current: Claim | None
) -> OperationResult:
    if not may_give_back(operation, current):
        return OperationResult(ResultKind.HELD, current.token if current else None)
    claims.pop(operation.key, None)
    if is_sealed(view, operation.key):
        # segments are never changed: without this record the sealed claim would
        # come to light again
        claims[operation.key] = dataclasses.replace(
            current, state=ClaimState.GIVEN_BACK
        )
    return OperationResult(ResultKind.GIVEN_BACK)


def _find_sealed(view: View, key: bytes) -> Claim | None:
    for segment in reversed(view.segments):
        claim = segment.find(key)
        if claim is not None:
            return claim
    return None


def _seal(plan: Plan, view: View, now: int, limits: Limits) -> Plan:
    """Move the older half of the claims to a segment, joined with the newest one."""
    head = plan.head
    half = len(head.claims) - limits.head_claims // 2
    sealed = {claim.key: claim for claim in head.claims[:half]}
    refs = head.segments
    retired = head.retired
    newest = view.segments[-1] if view.segments else None
    joins = (
        newest is not None
        and bool(refs)
        and refs[-1] == view.head.segments[-1]
        and refs[-1].claims + len(sealed) <= limits.segment_claims
    )
    if joins:
        older = {
            claim.key: claim
            for claim in newest.claims
            if not is_forgotten(claim, now, limits)
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
        forget_at=max(claim.forget_at for claim in sealed.values()),
    )
    sealed_head = dataclasses.replace(
        head,
        claims=head.claims[half:],
        segments=(*refs, ref),
        retired=retired,
        next_segment=head.next_segment + 1,
    )
    return dataclasses.replace(plan, head=sealed_head, segment=segment)
