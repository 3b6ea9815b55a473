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
    bench: Bench, *, fault_ended: float, pauses: Pauses, wanted: str = ""
) -> RunRecord:
    """Return the records of a run.

    :param healed: when the last fault ended
    :param pauses: intervals in which instances were paused, by instance name
    :param wanted: model that all engines must have loaded by now
    """
    return RunRecord(
        asks=[_describe_ask(ask, bench.last) for ask in bench.asks],
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
        wanted=wanted,
        fault_ended=fault_ended,
        ended=asyncio.get_running_loop().time(),
    )


def _describe_ask(ask: ClientAttempt, last: set[str]) -> AttemptRecord:
    answer = ask.answers[0] if ask.answers else None
    refusal = None if answer is None else answer.refusal
    verdict = ""
    if answer is not None:
        verdict = answer.verdict.name.lower().replace("_", "-")
    return AttemptRecord(
        marker=ask.marker,
        request=ask.request_id,
        instance=ask.instance,
        sent=ask.sent,
        deadline=ask.deadline,
        repeatable="X-Repeatable" not in ask.headers,
        keyed="Idempotency-Key" in ask.headers,
        stream=ask.stream,
        tokens=tuple(ask.tokens),
        answers=len(ask.answers),
        answered=ask.answered,
        verdict=verdict,
        result=None if refusal is not None or answer is None else answer.result,
        code="" if refusal is None else refusal.code.value,
        retry_after_ms=None if refusal is None else refusal.retry_after_ms,
        refused=ask.refused,
        reset=ask.reset,
        must_succeed=ask.marker in last,
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
