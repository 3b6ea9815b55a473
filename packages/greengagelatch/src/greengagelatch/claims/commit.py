"""The steps that bring a batch of operations into a shard's head."""

from __future__ import annotations

import dataclasses
from dataclasses import dataclass
from enum import Enum

from result import Err, Ok, Result

from ..store import ABSENT, Entry, StoreError, WriteOutcome, WriteResult
from .encoding import decode_head, decode_segment
from .head import Head, Limits, Segment, SegmentRef, View
from .operations import (
    Operation,
    OperationResult,
    Plan,
    ResultKind,
    create_plan,
    is_needed,
)

__all__ = ("Commit", "Step", "begin")

#: reads of the head for one batch, before its operations are given up; each means
#: that other writers have moved the head meanwhile
MAX_READS = 12

Read = Result[Entry | None, StoreError]


class Step(Enum):
    """What has to be done next, and then told to the commit."""

    #: read the head: :meth:`Commit.take_head`
    READ_HEAD = "read-head"
    #: read the segment :attr:`Commit.missing`: :meth:`Commit.take_segment`
    READ_SEGMENT = "read-segment"
    #: write the segment of the plan: :meth:`Commit.take_sealed`
    WRITE_SEGMENT = "write-segment"
    #: read what stands in the segment's place: :meth:`Commit.take_obstacle`
    READ_OBSTACLE = "read-obstacle"
    #: swap in the head of the plan: :meth:`Commit.take_swapped`
    SWAP_HEAD = "swap-head"
    #: nothing: :attr:`Commit.results` are final
    DONE = "done"


@dataclass(frozen=True, slots=True, kw_only=True)
class Commit:
    """A batch on its way into the head; every step returns the next state."""

    batch_id: bytes
    operations: tuple[Operation, ...]
    #: wall-clock seconds
    now: int
    limits: Limits
    deleted: frozenset[int] = frozenset()
    step: Step = Step.READ_HEAD
    #: what is known of the shard; ``None`` once it is known to be outdated
    view: View | None = None
    #: segments already read, which are good for any later head that names them
    segments: tuple[tuple[SegmentRef, Segment], ...] = ()
    #: whether the view was read since the batch began
    fresh: bool = False
    #: whether older claims may be sealed; given up if that does not work at once
    seal: bool = True
    #: revision of the entry that the segment replaces
    segment_expected: int = ABSENT
    plan: Plan | None = None
    #: whether a swap of the plan was sent and not seen to succeed
    unsettled: bool = False
    reads: int = 0
    results: tuple[OperationResult, ...] = ()

    @property
    def missing(self) -> SegmentRef | None:
        """The first segment that is needed and was not read yet."""
        known = {ref for ref, _ in self.segments}
        for ref in self._needed():
            if ref not in known:
                return ref
        return None

    def take_head(self, answer: Read) -> Commit:
        """Go on with the head that was read."""
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
                        # written by a release that this one does not understand
                        return self._fail()
                    case Ok(head):
                        revision = entry.revision
        state = dataclasses.replace(self, reads=reads, fresh=True)
        if self.unsettled:
            if is_applied(self.plan, self.batch_id, head):
                return state._finish(self.plan, View(head, revision))
            if revision == self.view.revision:
                # the lost swap may still be on its way: sending it again at the
                # same revision lets only one of the two succeed
                return dataclasses.replace(state, step=Step.SWAP_HEAD)
            if is_beyond_ring(self.plan, head):
                return state._fail()
        view = View(head, revision)
        state = dataclasses.replace(state, view=view, plan=None, unsettled=False)
        return state._load()

    def take_segment(self, answer: Read) -> Commit:
        """Go on with the segment that was read."""
        ref = self.missing
        match answer:
            case Ok(Entry(revision=ref.revision) as entry):
                pass
            case Ok(_):
                # dropped since the head was read
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

    def take_sealed(self, answer: WriteResult) -> Commit:
        """Go on after the segment was written."""
        if answer.outcome is WriteOutcome.APPLIED:
            head = self.plan.head
            ref = dataclasses.replace(head.segments[-1], revision=answer.revision)
            head = dataclasses.replace(head, segments=(*head.segments[:-1], ref))
            plan = dataclasses.replace(self.plan, head=head)
            return dataclasses.replace(self, plan=plan, step=Step.SWAP_HEAD)
        if answer.outcome is WriteOutcome.CONFLICT and not self.segment_expected:
            return dataclasses.replace(self, step=Step.READ_OBSTACLE)
        return dataclasses.replace(self, seal=False)._evaluate()

    def take_obstacle(self, answer: Read) -> Commit:
        """Go on with what stands in the place of the segment."""
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

    def take_swapped(self, answer: WriteResult) -> Commit:
        """Go on after the head was swapped, or not."""
        match answer.outcome:
            case WriteOutcome.APPLIED:
                view = View(self.plan.head, answer.revision)
                return self._finish(self.plan, view)
            case WriteOutcome.NOT_APPLIED:
                return self._fail()
        # a conflict is looked into as well: whatever repeats a write on its way to
        # the store makes the second one conflict with the first
        return dataclasses.replace(self, step=Step.READ_HEAD, unsettled=True)

    def _load(self) -> Commit:
        if self.missing is not None:
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

    def _finish(self, plan: Plan, view: View) -> Commit:
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
        kind = ResultKind.UNSETTLED if self.unsettled else ResultKind.UNREACHABLE
        results = tuple(OperationResult(kind) for _ in self.operations)
        return dataclasses.replace(self, step=Step.DONE, view=None, results=results)


def begin(
    operations: tuple[Operation, ...],
    *,
    batch_id: bytes,
    now: int,
    limits: Limits,
    view: View | None = None,
    segments: tuple[tuple[SegmentRef, Segment], ...] = (),
    deleted: frozenset[int] = frozenset(),
) -> Commit:
    """Begin to commit a batch.

    ``view`` and ``segments`` are those that an earlier commit of the shard left;
    with them a batch usually takes a single call to the store.
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
    """Whether a swap whose answer was lost took effect.

    Without this, the batch would be applied once more: a claim of it that was
    given back meanwhile would hold its key again, for an attempt that is over.
    """
    return head.sequence >= plan.head.sequence and batch_id in head.batches


def is_beyond_ring(plan: Plan, head: Head) -> bool:
    """Whether so many swaps came after a lost one that its id may be gone."""
    return head.sequence - plan.head.sequence >= len(head.batches)


def must_confirm(fresh: bool) -> bool:
    """Whether a refusal rests on a head that was read before the batch began.

    Such a head may be outdated. A caller would be told that its key was used for
    another request, with nothing run, when that claim was given back long since
    and its own request has run.
    """
    return not fresh


def may_overwrite(found: Segment, view: View) -> bool:
    """Whether a segment was left behind by a writer that lost its swap.

    It was made for a head that is no longer the current one, so no swap that
    names it can succeed any more.
    """
    return found.base < view.revision
