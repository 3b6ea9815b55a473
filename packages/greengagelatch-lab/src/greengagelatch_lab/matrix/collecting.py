"""Converts the state of a finished bench to records for the checker."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from greengagelatch.config.requests import Settled, Unsettled

from .records import AttemptRecord, ChangeRecord, ChangeState, InstanceRecord, RunRecord

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from .bench import Bench, Change
    from .callers_server import ClientAttempt
    from .serving import ServingInstance

    Pauses = Mapping[str, Sequence[tuple[float, float]]]

__all__ = ("create_run_record",)

#: service whose targets are inference engines
ENGINES = "llm"


def create_run_record(
    bench: Bench, *, fault_ended: float, pauses: Pauses, expected_model: str = ""
) -> RunRecord:
    """Return the records of a run.

    :param fault_ended: when the last fault ended
    :param pauses: intervals in which instances were paused, by instance name
    :param expected_model: model that all engines must have loaded by now
    """
    return RunRecord(
        attempts=[
            _create_attempt_record(attempt, bench.must_succeed)
            for attempt in bench.attempts
        ],
        changes=[_describe_change(change) for change in bench.changes],
        instances=[
            _describe_instance(one, pauses.get(one.name, ())) for one in bench.instances
        ],
        targets=bench.record,
        engines={
            target.target_id: target.engine.models
            for target in bench.targets.values()
            if target.service == ENGINES
        },
        expected_model=expected_model,
        fault_ended=fault_ended,
        ended=asyncio.get_running_loop().time(),
    )


def _create_attempt_record(
    attempt: ClientAttempt, must_succeed: set[str]
) -> AttemptRecord:
    answer = attempt.answers[0] if attempt.answers else None
    refusal = None if answer is None else answer.refusal
    verdict = ""
    if answer is not None:
        verdict = answer.verdict.name.lower().replace("_", "-")
    return AttemptRecord(
        marker=attempt.marker,
        request=attempt.request_id,
        instance=attempt.instance,
        sent=attempt.sent,
        deadline=attempt.deadline,
        repeatable="X-Repeatable" not in attempt.headers,
        keyed="Idempotency-Key" in attempt.headers,
        stream=attempt.stream,
        tokens=tuple(attempt.tokens),
        answers=len(attempt.answers),
        answered=attempt.answered,
        verdict=verdict,
        result=None if refusal is not None or answer is None else answer.result,
        code="" if refusal is None else refusal.code.value,
        retry_after_ms=None if refusal is None else refusal.retry_after_ms,
        refused=attempt.refused,
        reset=attempt.reset,
        must_succeed=attempt.marker in must_succeed,
    )


def _describe_instance(
    instance: ServingInstance, pauses: Sequence[tuple[float, float]]
) -> InstanceRecord:
    finished = None
    if instance.stopping:
        finished = instance.exit_code == 0
    return InstanceRecord(
        name=instance.name,
        killed=instance.process.killed,
        stopping=instance.stopping,
        finished=finished,
        pauses=tuple(pauses),
        generations=tuple(instance.generations),
        changes=instance.list_changes(),
    )


def _describe_change(change: Change) -> ChangeRecord:
    state = ChangeState.UNKNOWN
    generation = 0
    match change.outcome:
        case Settled(generation=generation):
            state = ChangeState.SETTLED
        case None | Unsettled():
            pass
        case _:
            state = ChangeState.REJECTED
    return ChangeRecord(
        change_id=change.change_id,
        state=state,
        generation=generation,
        settled=change.settled,
    )
