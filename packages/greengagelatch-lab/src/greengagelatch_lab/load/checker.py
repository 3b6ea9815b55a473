"""Checks all responses of a run against each other and the targets' records."""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import TYPE_CHECKING

from .observations import RequestOutcome
from .response_checks import ExpectedResults, check_response, create_violation
from .violations import Violation, ViolationKind

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from .expectation import Expectation
    from .observations import Observation
    from .records import StageRun, TargetRecord

__all__ = ("Checker",)

NOT_RUN = "not-run"
INTERNAL = "internal"


class Checker:
    """Finds every guarantee that was violated in one run.

    :param observations: all requests of the run, including those not sent
    :param records: the records of all targets, read after the last response
    """

    def __init__(
        self,
        *,
        observations: Sequence[Observation],
        records: Sequence[TargetRecord],
        expectation: Expectation,
    ) -> None:
        self._observations = observations
        self._records = records
        self._expectation = expectation
        self._runs_by_request: dict[str, list[StageRun]] = defaultdict(list)
        self._effects: Counter[tuple[str, str]] = Counter()
        for record in records:
            self._effects.update(record.effects)
            for run in record.runs:
                self._runs_by_request[run.request_id].append(run)
        # requests with the same marker are the same request, sent more than once
        self._groups: dict[str, list[Observation]] = defaultdict(list)
        for observation in observations:
            self._groups[observation.arrival.marker].append(observation)

    def check(self) -> list[Violation]:
        """Return all violations; empty if every guarantee held."""
        violations = list(self._check_records())
        expected_results = ExpectedResults(self._observations, self._expectation)
        for observation in self._observations:
            violations.extend(check_response(observation, expected_results))
            violations.extend(self._check_not_run_verdict(observation))
            violations.extend(self._check_has_record(observation))
            violations.extend(self._check_internal_error(observation))
        violations.extend(self._check_ids())
        for group in self._groups.values():
            violations.extend(self._check_duplicate_runs(group))
            violations.extend(self._check_not_run_effects(group))
        return violations

    def _check_records(self) -> Iterator[Violation]:
        for record in self._records:
            if record.dropped:
                detail = (
                    f"{record.target} dropped {record.dropped} runs from its record"
                )
                yield Violation(kind=ViolationKind.INCOMPLETE_RECORD, detail=detail)

    def _check_not_run_verdict(self, observation: Observation) -> Iterator[Violation]:
        if observation.verdict != NOT_RUN or not observation.request_id:
            return
        runs = self._runs_by_request.get(observation.request_id)
        if runs:
            detail = f"refused with {observation.code}, but ran {_list_runs(runs)}"
            yield create_violation(observation, ViolationKind.FALSE_NOT_RUN, detail)

    def _check_has_record(self, observation: Observation) -> Iterator[Violation]:
        # a replayed result was executed for the first request with the key
        if observation.outcome is not RequestOutcome.RESULT or observation.replayed:
            return
        runs = self._runs_by_request.get(observation.request_id, ())
        finished = {run.stage for run in runs if run.finished}
        stages = self._expectation.list_stages(observation.arrival.pipeline)
        missing = [stage for stage in stages if stage not in finished]
        if missing:
            detail = f"no completed run recorded for {', '.join(missing)}"
            yield create_violation(observation, ViolationKind.NOT_RECORDED, detail)

    def _check_internal_error(self, observation: Observation) -> Iterator[Violation]:
        if observation.code == INTERNAL:
            detail = "refused because of an internal error of the instance"
            yield create_violation(observation, ViolationKind.INTERNAL_ERROR, detail)

    def _check_ids(self) -> Iterator[Violation]:
        owners: dict[str, Observation] = {}
        for observation in self._observations:
            if not observation.request_id:
                continue
            first = owners.setdefault(observation.request_id, observation)
            if first.arrival.marker != observation.arrival.marker:
                detail = f"request id already used by arrival {first.arrival.index}"
                yield create_violation(observation, ViolationKind.MISROUTED, detail)

    def _check_duplicate_runs(
        self, group: Sequence[Observation]
    ) -> Iterator[Violation]:
        arrival = group[0].arrival
        stages = frozenset(self._expectation.list_stages(arrival.pipeline))
        if arrival.repeatable:
            stages = self._expectation.find_unrepeatable(arrival.pipeline)
        runs = self._list_group_runs(group)
        counts = Counter(run.stage for run in runs)
        for stage in sorted(stages):
            effects = self._effects[(arrival.marker, stage)]
            if counts[stage] <= 1 and effects <= 1:
                continue
            detail = (
                f"{stage} must run at most once:"
                f" {counts[stage]} runs, {effects} side effects"
            )
            yield create_violation(group[0], ViolationKind.DUPLICATE_RUN, detail)

    def _check_not_run_effects(
        self, group: Sequence[Observation]
    ) -> Iterator[Violation]:
        """Find side effects of a request whose responses all state that nothing ran."""
        for observation in group:
            unsent = observation.outcome is RequestOutcome.UNSENT
            if not unsent and observation.verdict != NOT_RUN:
                return
        arrival = group[0].arrival
        for stage in self._expectation.list_stages(arrival.pipeline):
            if self._effects[(arrival.marker, stage)]:
                detail = (
                    f"no response states that it ran, but {stage} had a side effect"
                )
                yield create_violation(group[0], ViolationKind.FALSE_NOT_RUN, detail)

    def _list_group_runs(self, group: Sequence[Observation]) -> list[StageRun]:
        ids = {item.request_id for item in group if item.request_id}
        return [
            run
            for request_id in sorted(ids)
            for run in self._runs_by_request.get(request_id, ())
        ]


def _list_runs(runs: Sequence[StageRun]) -> str:
    return ", ".join(f"{run.stage} (attempt {run.attempt})" for run in runs)
