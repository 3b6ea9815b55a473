"""Checks the records of a run for violations of the system's guarantees."""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from .fleet import create_tokens
from .records import ChangeState

if TYPE_CHECKING:
    from collections.abc import Iterator

    from .fleet import StageRun
    from .records import AttemptRecord, ChangeRecord, InstanceRecord, RunRecord

__all__ = ("Guarantee", "Violation", "check")

#: seconds after its deadline within which a request must have its final response
ANSWER_SLACK = 0.5
#: upper bound of a request's network latency to its instance, in seconds
MAX_SEND_SECONDS = 0.01
#: seconds after which a draining target must get no new calls
DRAIN_NOTICE_SECONDS = 5.0
#: seconds within which an accepted change must be in force on all instances,
#: counted from the end of the fault if that is later
PROPAGATION_SECONDS = 10.0
#: minimum seconds before the deadline at which an abandoned request is rejected
MIN_SECONDS_LEFT = 0.05
#: rejections that need no retry delay, as a retry would be rejected again
FINAL_CODES = frozenset({"bad-request", "too-large", "key-reused"})

NOT_RUN = "not-run"
DEADLINE = "deadline"
UNREPEATABLE_STAGE = "book"


class Guarantee(Enum):
    """A guarantee that must hold in every run."""

    LOST = "lost"
    DUPLICATED = "doubled"
    MISROUTED = "crossed"
    DISCONNECTED = "cut"
    FALSE_NOT_RUN = "false not run"
    LATE = "late"
    NO_RETRY_DELAY = "no time to come back"
    REJECTED_LATE = "refusal held back"
    DRAINING_TARGET_USED = "leaving target used"
    REVERTED = "reverted"
    NOT_IN_FORCE = "not in force"
    STALE_ORDER_APPLIED = "newer order undone"
    ORDER_MISSING = "order not carried out"
    NOT_RECOVERED = "not recovered"


@dataclass(frozen=True, slots=True)
class Violation:
    """A violated guarantee."""

    guarantee: Guarantee
    detail: str

    def __str__(self) -> str:
        return f"{self.guarantee.value}: {self.detail}"


def check(record: RunRecord) -> list[Violation]:
    """Return all violations found in a run."""
    return list(_Checker(record).check())


class _Checker:
    def __init__(self, record: RunRecord) -> None:
        self._record = record
        self._instances = {one.name: one for one in record.instances}
        self._runs: dict[str, list[StageRun]] = defaultdict(list)
        for run in record.targets.runs:
            self._runs[run.request].append(run)

    def check(self) -> Iterator[Violation]:
        for attempt in self._record.attempts:
            yield from self._check_answer(attempt)
            yield from self._check_tokens(attempt)
            yield from self._check_not_run(attempt)
            yield from self._check_refusal(attempt)
            yield from self._check_recovery(attempt)
        yield from self._check_retried_requests()
        yield from self._check_targets()
        yield from self._check_orders()
        for instance in self._record.instances:
            yield from self._check_instance(instance)
        yield from self._check_changes()

    # requests

    def _check_answer(self, attempt: AttemptRecord) -> Iterator[Violation]:
        instance = self._instances[attempt.instance]
        if attempt.answers > 1:
            yield Violation(
                Guarantee.DUPLICATED,
                f"{attempt.marker}: {attempt.answers} final answers",
            )
        if attempt.refused or instance.killed:
            return
        if attempt.reset or not attempt.answers:
            what = "was reset" if attempt.reset else "has no final answer"
            kind = Guarantee.DISCONNECTED if instance.stopping else Guarantee.LOST
            yield Violation(kind, f"{attempt.marker} at {attempt.instance} {what}")
            return
        due = _find_due(attempt, instance)
        if attempt.answered > due:
            late = attempt.answered - due
            detail = (
                f"{attempt.marker} at {attempt.instance}: {late:.3f} s after it was due"
            )
            yield Violation(Guarantee.LATE, detail)

    def _check_tokens(self, attempt: AttemptRecord) -> Iterator[Violation]:
        expected = create_tokens(attempt.marker)
        whole = "".join(expected)
        offsets = [offset for offset, _ in attempt.tokens]
        text = "".join(text for _, text in attempt.tokens)
        if not whole.startswith(text):
            yield Violation(Guarantee.MISROUTED, f"{attempt.marker} was given {text!r}")
        if offsets != list(range(len(offsets))):
            yield Violation(
                Guarantee.DUPLICATED, f"{attempt.marker}: tokens at {offsets}"
            )
        if attempt.result is None:
            return
        if attempt.result != whole:
            yield Violation(
                Guarantee.MISROUTED, f"{attempt.marker}: result {attempt.result!r}"
            )
        if attempt.stream and text != whole:
            yield Violation(
                Guarantee.LOST, f"{attempt.marker}: only {text!r} and the end"
            )
        if attempt.verdict != "ran":
            yield Violation(
                Guarantee.FALSE_NOT_RUN, f"{attempt.marker}: result, {attempt.verdict}"
            )

    def _check_not_run(self, attempt: AttemptRecord) -> Iterator[Violation]:
        runs = self._runs.get(attempt.request, ())
        if attempt.verdict == NOT_RUN and runs:
            stages = ", ".join(run.stage for run in runs)
            detail = (
                f"{attempt.marker} at {attempt.instance} ({attempt.code});"
                f" ran: {stages}"
            )
            yield Violation(Guarantee.FALSE_NOT_RUN, detail)

    def _check_refusal(self, attempt: AttemptRecord) -> Iterator[Violation]:
        if (
            attempt.verdict != NOT_RUN
            or not attempt.code
            or attempt.code in FINAL_CODES
        ):
            return
        if attempt.retry_after_ms is None:
            detail = f"{attempt.marker} at {attempt.instance}: {attempt.code}"
            yield Violation(Guarantee.NO_RETRY_DELAY, detail)
        instance = self._instances[attempt.instance]
        # a request that ran into its deadline was not abandoned early, and a keyed
        # one may have spent its time on claiming its key
        abandoned = attempt.code != DEADLINE and not attempt.keyed
        due = _find_due(attempt, instance) - ANSWER_SLACK
        if abandoned and attempt.answered > due - MIN_SECONDS_LEFT:
            detail = (
                f"{attempt.marker} at {attempt.instance}: {attempt.code}"
                " at its deadline"
            )
            yield Violation(Guarantee.REJECTED_LATE, detail)

    def _check_recovery(self, attempt: AttemptRecord) -> Iterator[Violation]:
        if attempt.must_succeed and attempt.result is None:
            what = attempt.code or ("reset" if attempt.reset else "refused or silent")
            detail = (
                f"{attempt.marker} at {attempt.instance}: {what} after the fault ended"
            )
            yield Violation(Guarantee.NOT_RECOVERED, detail)

    def _check_retried_requests(self) -> Iterator[Violation]:
        """Check the attempts of each request together."""
        groups: dict[str, list[AttemptRecord]] = defaultdict(list)
        for attempt in self._record.attempts:
            groups[attempt.marker].append(attempt)
        effects: Counter[str] = Counter()
        for run in self._record.targets.runs:
            if run.stage == UNREPEATABLE_STAGE:
                effects[run.marker] += 1
        for marker, attempts in groups.items():
            runs = effects[marker]
            if runs > 1 and not attempts[0].repeatable:
                yield Violation(
                    Guarantee.DUPLICATED, f"{marker}: {runs} runs of stage book"
                )
            reported_not_run = all(
                attempt.refused or attempt.verdict == NOT_RUN for attempt in attempts
            )
            if runs and reported_not_run:
                detail = f"{marker}: no response says that it ran"
                yield Violation(Guarantee.FALSE_NOT_RUN, detail)
            if (
                not runs
                and any(attempt.result for attempt in attempts)
                and not attempts[0].repeatable
            ):
                yield Violation(
                    Guarantee.LOST, f"{marker}: result without a run of stage book"
                )

    # targets

    def _check_targets(self) -> Iterator[Violation]:
        targets = self._record.targets
        for text in targets.mixed_inputs:
            yield Violation(Guarantee.MISROUTED, f"inputs of one stage: {text}")
        for time, target in targets.arrivals:
            since = targets.leaving.get(target)
            if since is not None and time > since + DRAIN_NOTICE_SECONDS:
                detail = (
                    f"{target} got a call {time - since:.1f} s after it began to drain"
                )
                yield Violation(Guarantee.DRAINING_TARGET_USED, detail)

    def _check_orders(self) -> Iterator[Violation]:
        newest: dict[str, int] = {}
        for order in self._record.targets.orders:
            highest = newest.get(order.target, 0)
            if order.fence < highest:
                detail = f"{order.target}: fencing token {order.fence} after {highest}"
                yield Violation(Guarantee.STALE_ORDER_APPLIED, detail)
            newest[order.target] = max(highest, order.fence)
        expected_model = self._record.expected_model
        for target, models in self._record.engines.items():
            if expected_model and models != (expected_model,):
                detail = f"{target} holds {models}, expected {expected_model}"
                yield Violation(Guarantee.ORDER_MISSING, detail)

    # instances and changes

    def _check_instance(self, instance: InstanceRecord) -> Iterator[Violation]:
        if instance.finished is False and not instance.killed:
            yield Violation(
                Guarantee.DISCONNECTED,
                f"{instance.name} stopped with requests in flight",
            )
        numbers = [generation for _, generation in instance.generations]
        if numbers != sorted(numbers):
            yield Violation(
                Guarantee.REVERTED, f"{instance.name}: generations {numbers}"
            )

    def _check_changes(self) -> Iterator[Violation]:
        living = [
            one
            for one in self._record.instances
            if not one.killed and one.finished is None
        ]
        generations = {one.generations[-1][1] for one in living if one.generations}
        if len(generations) > 1:
            detail = f"generations at the end: {sorted(generations)}"
            yield Violation(Guarantee.NOT_IN_FORCE, detail)
        for change in self._record.changes:
            for instance in living:
                present = change.change_id in instance.changes
                if change.state == ChangeState.SETTLED and not present:
                    detail = f"{change.change_id} at {instance.name}"
                    yield Violation(Guarantee.NOT_IN_FORCE, detail)
                if change.state == ChangeState.REJECTED and present:
                    detail = f"{change.change_id} was rejected but is in force"
                    yield Violation(Guarantee.REVERTED, detail)
            if change.state == ChangeState.SETTLED:
                yield from self._check_propagation(change, living)

    def _check_propagation(
        self, change: ChangeRecord, living: list[InstanceRecord]
    ) -> Iterator[Violation]:
        start = max(change.settled, self._record.fault_ended)
        for instance in living:
            times = [
                time
                for time, generation in instance.generations
                if generation >= change.generation
            ]
            if times and times[0] > start + PROPAGATION_SECONDS:
                detail = f"{change.change_id} at {instance.name} only at {times[0]:.1f}"
                yield Violation(Guarantee.NOT_IN_FORCE, detail)


def _find_due(attempt: AttemptRecord, instance: InstanceRecord) -> float:
    """Return when the final response is due, extended by pauses of the instance.

    A request sent to a paused instance is read when that resumes, and its budget
    counts from then.
    """
    due = attempt.deadline
    for begin, end in instance.pauses:
        if begin - MAX_SEND_SECONDS <= attempt.sent <= end:
            due = max(due, end + attempt.deadline - attempt.sent)
        elif begin <= due + ANSWER_SLACK:
            due = max(due, end)
    return due + ANSWER_SLACK
