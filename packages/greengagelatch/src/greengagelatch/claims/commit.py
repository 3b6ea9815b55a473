"""State machine that commits a batch of operations to a shard's head."""

from __future__ import annotations

import dataclasses
from dataclasses import dataclass
from enum import Enum

from result import Err, Ok, Result

from ..store import ABSENT, Entry, StoreError, WriteOutcome, WriteResult
from .encoding import decode_head, decode_segment
from .head import Head, Segment, SegmentRef, ShardLimits, ShardView
from .operations import (
    Operation,
    OperationResult,
    Plan,
    ResultKind,
    create_plan,
    is_needed,
)

__all__ = ("Commit", "Step", "create_commit")

#: reads of the head for one batch before its operations fail; each further read means
#: that another writer has swapped the head or that a swap was not confirmed
MAX_READS = 12

Read = Result[Entry | None, StoreError]


class Step(Enum):
    """Next call to the store, and the method that handles its result."""

    #: read the head: :meth:`Commit.handle_head`
    READ_HEAD = "read-head"
    #: read the segment :attr:`Commit.missing_segment`: :meth:`Commit.handle_segment`
    READ_SEGMENT = "read-segment"
    #: write the segment of the plan: :meth:`Commit.handle_segment_write`
    WRITE_SEGMENT = "write-segment"
    #: read the entry that conflicts with the segment:
    #: :meth:`Commit.handle_conflicting_segment`
    READ_CONFLICTING_SEGMENT = "read-obstacle"
    #: swap in the head of the plan: :meth:`Commit.handle_head_swap`
    SWAP_HEAD = "swap-head"
    #: no further call: :attr:`Commit.results` are final
    DONE = "done"


@dataclass(frozen=True, slots=True, kw_only=True)
class Commit:
    """State of a batch that is being committed; each method returns the next state."""

    batch_id: bytes
    operations: tuple[Operation, ...]
    #: wall-clock seconds
    now: int
    limits: ShardLimits
    deleted: frozenset[int] = frozenset()
    step: Step = Step.READ_HEAD
    #: cached state of the shard; ``None`` if it is known to be stale
    view: ShardView | None = None
    #: segments already read; they are immutable, so they stay valid for later heads
    segments: tuple[tuple[SegmentRef, Segment], ...] = ()
    #: whether the view was read after the batch began
    fresh: bool = False
    #: whether older claims may be sealed; cleared if writing the segment fails
    seal: bool = True
    #: expected revision of the entry that the segment replaces
    segment_expected: int = ABSENT
    plan: Plan | None = None
    #: whether a swap of the plan was sent without a confirmation
    unconfirmed: bool = False
    reads: int = 0
    results: tuple[OperationResult, ...] = ()

    @property
    def missing_segment(self) -> SegmentRef | None:
        """First needed segment that has not been read yet."""
        known = {ref for ref, _ in self.segments}
        for ref in self._needed():
            if ref not in known:
                return ref
        return None

    def handle_head(self, answer: Read) -> Commit:
        """Handle the result of reading the head."""
        reads = self.reads + 1
        if reads > MAX_READS:
            return self._fail()
        match answer:
            case Err(_):
                return self._fail()
            case Ok(None):
                head, revision = Head(), ABSENT
            case Ok(entry):
                match decode_head(entry.value):
                    case Err(_):
                        # written in a format that this release does not support
                        return self._fail()
                    case Ok(head):
                        revision = entry.revision
        state = dataclasses.replace(self, reads=reads, fresh=True)
        if self.unconfirmed:
            if is_applied(self.plan, self.batch_id, head):
                return state._finish(self.plan, ShardView(head, revision))
            if revision == self.view.revision:
                # the unconfirmed swap may still arrive: a second one with the same
                # expected revision lets only one of the two succeed
                return dataclasses.replace(state, step=Step.SWAP_HEAD)
            if is_batch_id_evicted(self.plan, head):
                return state._fail()
        view = ShardView(head, revision)
        state = dataclasses.replace(state, view=view, plan=None, unconfirmed=False)
        return state._load()

    def handle_segment(self, answer: Read) -> Commit:
        """Handle the result of reading a segment."""
        ref = self.missing_segment
        match answer:
            case Ok(Entry(revision=ref.revision) as entry):
                pass
            case Ok(_):
                # deleted since the head was read
                return dataclasses.replace(self, step=Step.READ_HEAD)
            case Err(_):
                return self._fail()
        match decode_segment(entry.value):
            case Err(_):
                return self._fail()
            case Ok(segment):
                pass
        state = dataclasses.replace(self, segments=(*self.segments, (ref, segment)))
        return state._load()

    def handle_segment_write(self, answer: WriteResult) -> Commit:
        """Handle the result of writing the segment."""
        if answer.outcome is WriteOutcome.APPLIED:
            head = self.plan.head
            ref = dataclasses.replace(head.segments[-1], revision=answer.revision)
            head = dataclasses.replace(head, segments=(*head.segments[:-1], ref))
            plan = dataclasses.replace(self.plan, head=head)
            return dataclasses.replace(self, plan=plan, step=Step.SWAP_HEAD)
        if answer.outcome is WriteOutcome.CONFLICT and not self.segment_expected:
            return dataclasses.replace(self, step=Step.READ_CONFLICTING_SEGMENT)
        return dataclasses.replace(self, seal=False)._evaluate()

    def handle_conflicting_segment(self, answer: Read) -> Commit:
        """Handle the result of reading the entry that conflicts with the segment."""
        match answer:
            case Ok(Entry() as entry):
                found = decode_segment(entry.value)
            case _:
                return dataclasses.replace(self, seal=False)._evaluate()
        if found.is_err() or not may_overwrite(found.unwrap(), self.view):
            return dataclasses.replace(self, seal=False)._evaluate()
        return dataclasses.replace(
            self, segment_expected=entry.revision, step=Step.WRITE_SEGMENT
        )

    def handle_head_swap(self, answer: WriteResult) -> Commit:
        """Handle the result of swapping the head."""
        match answer.outcome:
            case WriteOutcome.APPLIED:
                view = ShardView(self.plan.head, answer.revision)
                return self._finish(self.plan, view)
            case WriteOutcome.NOT_APPLIED:
                return self._fail()
        # a conflict does not prove failure: if a layer below retries the write, the
        # second copy conflicts with the first, which took effect
        return dataclasses.replace(self, step=Step.READ_HEAD, unconfirmed=True)

    def _load(self) -> Commit:
        if self.missing_segment is not None:
            return dataclasses.replace(self, step=Step.READ_SEGMENT)
        known = dict(self.segments)
        refs = self._needed()
        view = dataclasses.replace(
            self.view, segments=tuple(known[ref] for ref in refs)
        )
        state = dataclasses.replace(
            self, view=view, segments=tuple((ref, known[ref]) for ref in refs)
        )
        return state._evaluate()

    def _needed(self) -> tuple[SegmentRef, ...]:
        return tuple(
            ref
            for ref in self.view.head.segments
            if is_needed(ref, self.now, self.limits)
        )

    def _evaluate(self) -> Commit:
        plan = create_plan(
            self.view,
            self.operations,
            batch_id=self.batch_id,
            now=self.now,
            limits=self.limits,
            seal=self.seal,
            deleted=self.deleted,
        )
        state = dataclasses.replace(self, plan=plan, segment_expected=ABSENT)
        if plan.changed:
            step = Step.SWAP_HEAD if plan.segment is None else Step.WRITE_SEGMENT
            return dataclasses.replace(state, step=step)
        if must_confirm(state.fresh):
            return dataclasses.replace(state, step=Step.READ_HEAD)
        return dataclasses.replace(state, step=Step.DONE, results=plan.results)

    def _finish(self, plan: Plan, view: ShardView) -> Commit:
        segments = self.segments
        if plan.segment is not None and view.head.segments:
            segments = (*segments, (view.head.segments[-1], plan.segment))
        return dataclasses.replace(
            self,
            step=Step.DONE,
            results=plan.results,
            segments=segments,
            view=view,
        )

    def _fail(self) -> Commit:
        kind = ResultKind.UNSETTLED if self.unconfirmed else ResultKind.UNREACHABLE
        results = tuple(OperationResult(kind) for _ in self.operations)
        return dataclasses.replace(self, step=Step.DONE, view=None, results=results)


def create_commit(
    operations: tuple[Operation, ...],
    *,
    batch_id: bytes,
    now: int,
    limits: ShardLimits,
    view: ShardView | None = None,
    segments: tuple[tuple[SegmentRef, Segment], ...] = (),
    deleted: frozenset[int] = frozenset(),
) -> Commit:
    """Create the commit of a batch.

    ``view`` and ``segments`` are the cached state left by an earlier commit of the
    shard; with them a batch usually takes a single call to the store.
    """
    commit = Commit(
        batch_id=batch_id,
        operations=operations,
        now=now,
        limits=limits,
        deleted=deleted,
        view=view,
        segments=segments,
    )
    return commit if view is None else commit._load()


def is_applied(plan: Plan, batch_id: bytes, head: Head) -> bool:
    """Whether an unconfirmed swap took effect.

    Without this check the batch would be applied a second time: a claim that was
    given back in between would hold its key again, for an attempt that has ended.
    """
    return head.sequence >= plan.head.sequence and batch_id in head.batches


def is_batch_id_evicted(plan: Plan, head: Head) -> bool:
    """Whether the batch id of an unconfirmed swap may have left the head."""
    return head.sequence - plan.head.sequence >= len(head.batches)


def must_confirm(fresh: bool) -> bool:
    """Whether a refusal has to be checked against a newly read head.

    A head cached before the batch began may be stale. A caller would be told that
    its key was used for another request and that nothing ran, although that claim
    was given back long ago and the caller's own request has run.
    """
    return not fresh


def may_overwrite(found: Segment, view: ShardView) -> bool:
    """Whether a segment is an orphan of a writer whose swap failed.

    It was created for a head that is no longer current, so no swap that refers to
    it can succeed.
    """
    return found.base < view.revision
