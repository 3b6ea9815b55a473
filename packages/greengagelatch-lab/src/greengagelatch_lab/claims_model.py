"""State-space model of keyed requests: shard writers, retries and faults.

The decisions are those of the production code in :mod:`greengagelatch.claims`; the
model adds the network, the store and the faults. A paused process is one that takes
no step while others do, so pauses need no step of their own.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import Any

from result import Ok

from greengagelatch.claims import Claim, Token, attempt, registry
from greengagelatch.claims.attempt import Action, Attempt
from greengagelatch.claims.commit import Commit, Step, create_commit
from greengagelatch.claims.encoding import (
    decode_head,
    decode_segment,
    encode_head,
    encode_segment,
)
from greengagelatch.claims.head import Head, ShardLimits, ShardView
from greengagelatch.claims.operations import (
    Acquire,
    GiveBack,
    Operation,
    OperationResult,
    ResultKind,
    find_claim,
)
from greengagelatch.claims.registry import AttemptRecord, AttemptState
from greengagelatch.store import ABSENT, Entry, WriteOutcome, WriteResult

from .explore import Model

__all__ = ("OTHER_KEY", "ClaimsModel", "ClaimsState", "FaultBudget", "KeyedRequest")

#: wall-clock time in seconds; it does not advance, as expiry has tests of its own
NOW = 1000
KEY = b"k" * 16
OTHER_KEY = b"o" * 16
#: claim of an unrelated request that fills the head
FILLER_CLAIM = Claim(b"f" * 16, b"f" * 8, Token("none", 1, 0), NOW + 600)
OUTCOME = b"outcome"
#: number under which the store holds the head; segments are numbered from 1
HEAD_KEY = 0

NOT_FOUND = Ok(None)
UNKNOWN = WriteResult(WriteOutcome.UNKNOWN)
UNREACHABLE = OperationResult(ResultKind.UNREACHABLE)

#: actions that answer the caller with "not run"
NOT_RUN_ACTIONS = (
    Action.REFUSE_KEY_REUSED,
    Action.REFUSE_FULL,
    Action.STORE_UNREACHABLE,
)


@dataclass(frozen=True, slots=True)
class KeyedRequest:
    """A keyed request, and the instance at which it arrives."""

    instance: int
    #: instances whose writer may commit its claim, in the order of trying
    candidates: tuple[int, ...]
    digest: bytes = b"d" * 8
    key: bytes = KEY


@dataclass(frozen=True, slots=True, kw_only=True)
class FaultBudget:
    """How often each fault may occur in one run."""

    #: writes whose answer is lost; they take effect at any later time, or never
    lost_swaps: int = 0
    #: writes that the store rejects without effect
    refused_swaps: int = 0
    #: calls to another instance that time out
    timeouts: int = 0
    #: requests that are abandoned while their claim is being acquired
    abandoned: int = 0
    #: claimed requests that end without anything having been sent
    not_run: int = 0
    #: give-backs that are delivered twice
    resends: int = 0
    crashes: int = 0


@dataclass(frozen=True, slots=True)
class RequestState:
    """State of one request at its instance."""

    #: ``None`` before it has arrived
    state: AttemptState | None = None
    attempt: Attempt | None = None
    #: number of the try whose result is awaited; 0 if none is
    awaited_try: int = 0
    tries: int = 0
    #: final action with which the caller was answered
    answered_with: Action | None = None


@dataclass(frozen=True, slots=True)
class QueuedOperation:
    """An operation in transit to a writer, or waiting in its queue."""

    operation: Operation
    #: number of the request that awaits the result; -1 if none does
    request: int = -1
    number: int = 0


@dataclass(frozen=True, slots=True)
class Writer:
    """The writer of the shard at one instance."""

    alive: bool = True
    queue: tuple[QueuedOperation, ...] = ()
    batch: tuple[QueuedOperation, ...] = ()
    commit: Commit | None = None
    view: ShardView | None = None
    segments: tuple[Any, ...] = ()
    batches: int = 0


@dataclass(frozen=True, slots=True)
class DelayedWrite:
    """A write whose sender no longer waits for the answer."""

    key: int
    value: bytes
    expected: int
    batch_id: bytes


@dataclass(frozen=True, slots=True)
class ClaimsState:
    """State of all requests, writers, messages and the store."""

    budget: FaultBudget
    request_states: tuple[RequestState, ...]
    writers: tuple[Writer, ...]
    #: entries of the store as number, value and revision; the head has number 0
    entries: tuple[tuple[int, bytes, int], ...] = ()
    revision: int = 1
    #: operations in transit, each with its receiver
    in_transit: frozenset[tuple[int, QueuedOperation]] = frozenset()
    #: writes that may still take effect, or never do
    delayed_writes: tuple[DelayedWrite, ...] = ()
    #: requests that ran
    runs: tuple[int, ...] = ()
    #: ids of the batches that took effect, once for each time
    applied: tuple[bytes, ...] = ()
    #: attempts whose give-back was acknowledged
    acknowledged_give_backs: frozenset[Token] = frozenset()
    violation: str = ""
    _hash: int = field(default=0, compare=False, repr=False)

    def __hash__(self) -> int:
        # each state is looked up many times, and hashing its nested parts is slow
        if not self._hash:
            parts = tuple(
                getattr(self, name) for name in ClaimsState.__slots__ if name != "_hash"
            )
            object.__setattr__(self, "_hash", hash(parts) or 1)
        return self._hash

    def change(self, **changes: Any) -> ClaimsState:
        """Return a copy with changes."""
        return dataclasses.replace(self, _hash=0, **changes)

    def find(self, key: int) -> Entry | None:
        """Return the store's entry with the number ``key``, if any."""
        for number, value, revision in self.entries:
            if number == key:
                return Entry(str(key), value, revision)
        return None


class ClaimsModel(Model[ClaimsState]):
    """Requests with a few keys, the writers of their shard, and a budget of faults.

    :param filler: whether the head is already full with another claim, so that the
        first claim moves it to a segment
    :param final_give_backs: whether a claim that was given back must never hold its
        key again; this does not hold if operations may be delivered twice, as a
        duplicate that arrives late acquires the key again for an attempt that has
        ended
    """

    def __init__(
        self,
        requests: tuple[KeyedRequest, ...],
        *,
        writers: int,
        budget: FaultBudget,
        filler: bool = False,
        final_give_backs: bool = False,
    ) -> None:
        self._requests = requests
        self._writers = writers
        self._budget = budget
        self._filler = filler
        self._final_give_backs = final_give_backs
        self._limits = ShardLimits(
            retention=600,
            clock_margin=60,
            head_claims=1 if filler else 8,
            segment_claims=8,
            segments=4,
        )

    def start(self) -> Iterable[ClaimsState]:
        entries = ()
        if self._filler:
            head = Head(sequence=1, written_at=NOW, claims=(FILLER_CLAIM,))
            entries = ((HEAD_KEY, encode_head(head), 1),)
        yield ClaimsState(
            budget=self._budget,
            request_states=tuple(RequestState() for _ in self._requests),
            writers=tuple(Writer() for _ in range(self._writers)),
            entries=entries,
        )

    def list_steps(self, state: ClaimsState) -> Iterator[tuple[str, ClaimsState]]:
        for number in range(len(self._requests)):
            yield from self._list_request_steps(state, number)
        for number in range(self._writers):
            yield from self._list_writer_steps(state, number)
        for receiver, queued in sorted(state.in_transit, key=_get_sort_key):
            moved = state.change(in_transit=state.in_transit - {(receiver, queued)})
            text = f"{_describe(queued)} reaches writer {receiver}"
            yield text, self._enqueue(moved, receiver, queued)
        for late in state.delayed_writes:
            remaining = tuple(one for one in state.delayed_writes if one is not late)
            arrived, result = self._swap(state.change(delayed_writes=remaining), late)
            yield f"delayed write of {late.key}: {result.outcome.value}", arrived
        if state.budget.crashes:
            for number, writer in enumerate(state.writers):
                if writer.alive:
                    yield f"instance {number} crashes", self._crash(state, number)

    def find_violation(self, state: ClaimsState) -> str:
        if state.violation:
            return state.violation
        keys = {self._requests[number].key for number in state.runs}
        if len(state.runs) > len(keys):
            return "a request ran twice"
        for number, request_state in enumerate(state.request_states):
            if request_state.answered_with in NOT_RUN_ACTIONS and number in state.runs:
                return f"request {number} was answered 'not run' but ran"
        if len(set(state.applied)) < len(state.applied):
            return "a batch took effect twice"
        if self._final_give_backs and state.acknowledged_give_backs:
            for holder in self._list_holders(state):
                if holder.token in state.acknowledged_give_backs:
                    return "a claim that was given back holds its key again"
        if not state.runs:
            return ""
        held = {holder.token for holder in self._list_holders(state)}
        for number in state.runs:
            if self._create_token(number) not in held:
                return f"the claim of request {number}, which ran, is lost"
        return ""

    def find_final_violation(self, state: ClaimsState) -> str:
        for number, request_state in enumerate(state.request_states):
            if (
                request_state.answered_with is None
                and state.writers[self._requests[number].instance].alive
            ):
                return f"request {number} is never answered"
        if state.budget.crashes < self._budget.crashes:
            return ""
        for holder in self._list_holders(state):
            if holder.token.serial == FILLER_CLAIM.token.serial:
                continue
            if state.request_states[holder.token.serial - 1].state is None:
                return "a key is held by an attempt that never existed"
        return ""

    # requests

    def _list_request_steps(
        self, state: ClaimsState, number: int
    ) -> Iterator[tuple[str, ClaimsState]]:
        request_state = state.request_states[number]
        request = self._requests[number]
        if (
            not state.writers[request.instance].alive
            or request_state.answered_with is not None
        ):
            return
        budget = state.budget
        if request_state.state is None:
            token = self._create_token(number)
            operation = Acquire(request.key, request.digest, token)
            request_state = RequestState(
                AttemptState.PENDING, Attempt(operation=operation)
            )
            yield (
                f"request {number} arrives",
                self._advance(state, number, request_state),
            )
            return
        if request_state.state is AttemptState.RUNNING:
            ended = dataclasses.replace(
                request_state, state=AttemptState.FINISHED, answered_with=Action.RUN
            )
            yield f"request {number} ends", _replace_request_state(state, number, ended)
            return
        if (
            request_state.awaited_try
            and int(request_state.attempt.candidate) != request.instance
        ):
            yield from self._time_out(state, number)
        if request_state.awaited_try and budget.abandoned:
            spent = state.change(budget=_spend(budget, "abandoned"))
            abandoned = self._abandon(spent, number, Action.STORE_UNREACHABLE)
            yield f"request {number} is abandoned", abandoned
        if request_state.attempt.action is Action.ASK_HOLDER:
            yield from self._ask_holder(state, number)
        if request_state.attempt.action is Action.RUN:
            yield f"request {number} runs", self._run(state, number)
            if budget.not_run:
                spent = state.change(budget=_spend(budget, "not_run"))
                refused = self._abandon(spent, number, Action.STORE_UNREACHABLE)
                yield f"request {number} is refused with nothing sent", refused

    def _time_out(
        self, state: ClaimsState, number: int
    ) -> Iterator[tuple[str, ClaimsState]]:
        candidate = int(state.request_states[number].attempt.candidate)
        budget = state.budget
        # a crashed instance never answers; this does not count as a further fault
        if state.writers[candidate].alive:
            if not budget.timeouts:
                return
            budget = _spend(budget, "timeouts")
        spent = state.change(budget=budget)
        text = f"request {number} gets no answer from {candidate}"
        yield text, self._handle_result(spent, number, None)

    def _advance(
        self, state: ClaimsState, number: int, request_state: RequestState
    ) -> ClaimsState:
        """Take the local steps that follow from a change of an attempt."""
        current = request_state.attempt
        request = self._requests[number]
        if current.action is Action.CHOOSE_CANDIDATES:
            current = current.handle_candidates(
                tuple(str(candidate) for candidate in request.candidates)
            )
        request_state = dataclasses.replace(
            request_state, attempt=current, awaited_try=0
        )
        match current.action:
            case Action.ACQUIRE:
                tries = request_state.tries + 1
                request_state = dataclasses.replace(
                    request_state, tries=tries, awaited_try=tries
                )
                state = _replace_request_state(state, number, request_state)
                queued = QueuedOperation(current.operation, number, tries)
                return self._send(
                    state, request.instance, int(current.candidate), queued
                )
            case Action.RUN | Action.ASK_HOLDER:
                return _replace_request_state(state, number, request_state)
        state = _replace_request_state(state, number, request_state)
        violation = state.violation or self._check_answer(state, number, current)
        return self._abandon(state, number, current.action).change(violation=violation)

    def _check_answer(self, state: ClaimsState, number: int, ended: Attempt) -> str:
        """Return a violation if the caller is answered wrongly, or an empty text."""
        digest = self._requests[number].digest
        if ended.action is Action.REPLAY:
            holder = self._requests[ended.holder.serial - 1]
            if holder.digest != digest:
                return (
                    f"request {number} was answered with the result of another request"
                )
        if ended.action is Action.REFUSE_KEY_REUSED:
            for other in state.runs:
                if self._requests[other].digest == digest:
                    return f"request {number} was answered 'not run' after it had run"
        return ""

    def _handle_result(
        self, state: ClaimsState, number: int, result: OperationResult | None
    ) -> ClaimsState:
        request_state = state.request_states[number]
        updated = request_state.attempt.handle_result(result)
        return self._advance(
            state, number, dataclasses.replace(request_state, attempt=updated)
        )

    def _ask_holder(
        self, state: ClaimsState, number: int
    ) -> Iterator[tuple[str, ClaimsState]]:
        request_state = state.request_states[number]
        holder = request_state.attempt.holder
        for label, record in self._list_answers(state, holder):
            updated = request_state.attempt.handle_holder(record)
            updated_state = dataclasses.replace(request_state, attempt=updated)
            text = f"request {number} asks the holder: {label}"
            yield text, self._advance(state, number, updated_state)

    def _list_answers(
        self, state: ClaimsState, holder: Token
    ) -> Iterator[tuple[str, AttemptRecord | None]]:
        yield "no answer", None
        if not state.writers[int(holder.instance)].alive:
            return
        request_state = state.request_states[holder.serial - 1]
        record = AttemptRecord(request_state.state, OUTCOME)
        yield request_state.state.value, attempt.mask_pending(record)

    def _run(self, state: ClaimsState, number: int) -> ClaimsState:
        request_state = state.request_states[number]
        if not registry.may_run(request_state.state):
            return state
        request_state = dataclasses.replace(request_state, state=AttemptState.RUNNING)
        return _replace_request_state(state, number, request_state).change(
            runs=(*state.runs, number)
        )

    def _abandon(self, state: ClaimsState, number: int, action: Action) -> ClaimsState:
        request_state = state.request_states[number]
        maybe_committed = (
            request_state.awaited_try or request_state.attempt.maybe_committed
        )
        request_state = dataclasses.replace(
            request_state,
            state=AttemptState.GIVEN_BACK,
            answered_with=action,
            awaited_try=0,
        )
        state = _replace_request_state(state, number, request_state)
        if not maybe_committed:
            return state
        request = self._requests[number]
        queued = QueuedOperation(GiveBack(request.key, self._create_token(number)))
        if state.budget.resends:
            state = state.change(budget=_spend(state.budget, "resends"))
            state = self._send(state, request.instance, request.candidates[-1], queued)
        return self._send(state, request.instance, request.candidates[0], queued)

    def _create_token(self, number: int) -> Token:
        return Token(str(self._requests[number].instance), 1, number + 1)

    # writers

    def _send(
        self, state: ClaimsState, sender: int, receiver: int, queued: QueuedOperation
    ) -> ClaimsState:
        if sender == receiver:
            return self._enqueue(state, receiver, queued)
        return state.change(in_transit=state.in_transit | {(receiver, queued)})

    def _enqueue(
        self, state: ClaimsState, number: int, queued: QueuedOperation
    ) -> ClaimsState:
        writer = state.writers[number]
        if not writer.alive:
            return state
        writer = dataclasses.replace(writer, queue=(*writer.queue, queued))
        return self._start_batch(_replace_writer(state, number, writer), number)

    def _start_batch(self, state: ClaimsState, number: int) -> ClaimsState:
        """Start a batch if the writer is idle and operations are queued."""
        writer = state.writers[number]
        if writer.commit is not None or not writer.queue:
            return state
        commit = create_commit(
            tuple(queued.operation for queued in writer.queue),
            batch_id=bytes([number, writer.batches]),
            now=NOW,
            limits=self._limits,
            view=writer.view,
            segments=writer.segments,
        )
        writer = dataclasses.replace(
            writer,
            queue=(),
            batch=writer.queue,
            commit=commit,
            view=None,
            batches=writer.batches + 1,
        )
        return self._update_commit(
            _replace_writer(state, number, writer), number, commit
        )

    def _list_writer_steps(
        self, state: ClaimsState, number: int
    ) -> Iterator[tuple[str, ClaimsState]]:
        writer = state.writers[number]
        commit = writer.commit
        if not writer.alive:
            return
        if commit is None:
            yield from self._delete_retired(state, number)
            return
        label = f"writer {number}: {commit.step.value}"
        match commit.step:
            case Step.READ_HEAD:
                answer = Ok(state.find(HEAD_KEY))
                yield (
                    label,
                    self._update_commit(state, number, commit.handle_head(answer)),
                )
                return
            case Step.READ_SEGMENT:
                answer = Ok(state.find(commit.missing_segment.number))
                yield (
                    label,
                    self._update_commit(state, number, commit.handle_segment(answer)),
                )
                return
            case Step.READ_CONFLICTING_SEGMENT:
                answer = Ok(state.find(commit.plan.head.next_segment - 1))
                yield (
                    label,
                    self._update_commit(
                        state, number, commit.handle_conflicting_segment(answer)
                    ),
                )
                return
            case Step.WRITE_SEGMENT:
                key = commit.plan.head.next_segment - 1
                value = encode_segment(commit.plan.segment)
                write = DelayedWrite(key, value, commit.segment_expected, b"")
                handle_result = commit.handle_segment_write
            case Step.SWAP_HEAD:
                value = encode_head(commit.plan.head)
                expected = commit.view.revision
                write = DelayedWrite(HEAD_KEY, value, expected, commit.batch_id)
                handle_result = commit.handle_head_swap
        done, result = self._swap(state, write)
        text = f"{label}: {result.outcome.value}"
        yield text, self._update_commit(done, number, handle_result(result))
        budget = state.budget
        if budget.lost_swaps:
            lost = state.change(
                budget=_spend(budget, "lost_swaps"),
                delayed_writes=(*state.delayed_writes, write),
            )
            yield (
                f"{label}: no answer",
                self._update_commit(lost, number, handle_result(UNKNOWN)),
            )
        if budget.refused_swaps:
            refused = state.change(budget=_spend(budget, "refused_swaps"))
            result = WriteResult(WriteOutcome.NOT_APPLIED)
            yield (
                f"{label}: refused",
                self._update_commit(refused, number, handle_result(result)),
            )

    def _delete_retired(
        self, state: ClaimsState, number: int
    ) -> Iterator[tuple[str, ClaimsState]]:
        """Delete the segments that the writer's head no longer needs, one a step."""
        view = state.writers[number].view
        if view is None:
            return
        for ref in view.head.retired:
            found = state.find(ref.number)
            if found is None or not is_expected(found.revision, ref.revision):
                continue
            entries = tuple(entry for entry in state.entries if entry[0] != ref.number)
            text = f"writer {number} deletes segment {ref.number}"
            yield text, state.change(entries=entries, revision=state.revision + 1)

    def _update_commit(
        self, state: ClaimsState, number: int, commit: Commit
    ) -> ClaimsState:
        writer = state.writers[number]
        if commit.step is not Step.DONE:
            return _replace_writer(
                state, number, dataclasses.replace(writer, commit=commit)
            )
        batch = writer.batch
        writer = dataclasses.replace(
            writer,
            commit=None,
            batch=(),
            view=commit.view,
            segments=commit.segments,
        )
        state = _replace_writer(state, number, writer)
        for queued, result in zip(batch, commit.results, strict=True):
            state = self._deliver(state, queued, result)
        return self._start_batch(state, number)

    def _deliver(
        self, state: ClaimsState, queued: QueuedOperation, result: OperationResult
    ) -> ClaimsState:
        if queued.request < 0:
            if result.kind is ResultKind.GIVEN_BACK:
                acknowledged_give_backs = state.acknowledged_give_backs | {
                    queued.operation.token
                }
                return state.change(acknowledged_give_backs=acknowledged_give_backs)
            return state
        request_state = state.request_states[queued.request]
        request = self._requests[queued.request]
        if not state.writers[request.instance].alive:
            return state
        if request_state.awaited_try == queued.number:
            return self._handle_result(state, queued.request, result)
        if result.kind is ResultKind.GRANTED:
            # the try has timed out; the attempt may have been abandoned meanwhile
            return self._run_late_grant(state, queued.request)
        return state

    def _run_late_grant(self, state: ClaimsState, number: int) -> ClaimsState:
        request_state = state.request_states[number]
        if request_state.state is AttemptState.PENDING or not registry.may_run(
            request_state.state
        ):
            return state
        return self._run(state, number)

    def _swap(
        self, state: ClaimsState, write: DelayedWrite
    ) -> tuple[ClaimsState, WriteResult]:
        entry = state.find(write.key)
        found = entry.revision if entry else ABSENT
        if not is_expected(found, write.expected):
            return state, WriteResult(WriteOutcome.CONFLICT, found)
        revision = state.revision + 1
        entries = {key: (value, one) for key, value, one in state.entries}
        entries[write.key] = (write.value, revision)
        applied = state.applied
        if write.batch_id:
            applied = (*applied, write.batch_id)
        changed = state.change(
            entries=tuple((key, *entry) for key, entry in sorted(entries.items())),
            revision=revision,
            applied=applied,
        )
        return changed, WriteResult(WriteOutcome.APPLIED, revision)

    def _crash(self, state: ClaimsState, number: int) -> ClaimsState:
        state = state.change(
            budget=_spend(state.budget, "crashes"),
            in_transit=frozenset(
                (receiver, queued)
                for receiver, queued in state.in_transit
                if receiver != number
            ),
        )
        return _replace_writer(state, number, Writer(alive=False))

    def _list_holders(self, state: ClaimsState) -> list[Claim]:
        """Return the claims that hold their keys according to the store."""
        entry = state.find(HEAD_KEY)
        if entry is None:
            return []
        head = decode_head(entry.value).unwrap()
        segments = []
        for ref in head.segments:
            found = state.find(ref.number)
            if found is None or found.revision != ref.revision:
                continue
            segments.append(decode_segment(found.value).unwrap())
        view = ShardView(head, entry.revision, tuple(segments))
        claims = {claim.key: claim for claim in head.claims}
        keys = {request.key for request in self._requests} | {FILLER_CLAIM.key}
        found = (find_claim(claims, view, key) for key in sorted(keys))
        return [claim for claim in found if claim is not None and not claim.state]


def is_expected(found: int, expected: int) -> bool:
    """Whether a compare-and-swap of the store may take effect."""
    return found == expected


def _spend(budget: FaultBudget, name: str) -> FaultBudget:
    return dataclasses.replace(budget, **{name: getattr(budget, name) - 1})


def _replace_request_state(
    state: ClaimsState, number: int, request_state: RequestState
) -> ClaimsState:
    request_states = (
        *state.request_states[:number],
        request_state,
        *state.request_states[number + 1 :],
    )
    return state.change(request_states=request_states)


def _replace_writer(state: ClaimsState, number: int, writer: Writer) -> ClaimsState:
    writers = (*state.writers[:number], writer, *state.writers[number + 1 :])
    return state.change(writers=writers)


def _get_sort_key(item: tuple[int, QueuedOperation]) -> tuple[int, ...]:
    receiver, queued = item
    return receiver, queued.request, queued.number, queued.operation.token.serial


def _describe(queued: QueuedOperation) -> str:
    if queued.request < 0:
        return f"give-back of attempt {queued.operation.token.serial}"
    return f"claim {queued.number} of request {queued.request}"
