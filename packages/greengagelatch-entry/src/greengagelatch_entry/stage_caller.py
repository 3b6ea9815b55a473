"""Calls of one stage with retries and hedging."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING, Any

from result import Err, Ok, Result

from greengagelatch.config.objects import StageKind
from greengagelatch.errors import Refusal, RefusalCode
from greengagelatch.load import Outcome, OutcomeKind, Ticket
from greengagelatch.stages.hedging import HedgeRule, choose_hedge_delay
from greengagelatch.stages.retries import NoRetryReason, RetryRules, decide_retry
from greengagelatch.targets import FailureKind

from .attempt_sender import AttemptSender, StreamMismatchError
from .hedged_call import CallResult, call_with_hedge
from .relay.decisions import DecisionLog
from .stage_quarantine import DisabledStageQuarantine
from .stage_silences import StageSilences

if TYPE_CHECKING:
    import random

    from greengagelatch.clock import Clock
    from greengagelatch.load import Dispatcher, Grant
    from greengagelatch.load.durations import DurationTracker
    from greengagelatch.targets import CallFailure, StageAnswer, TargetClient
    from greengagelatch.targets.directory import TargetDirectory

    from .attempt_sender import StageExecution
    from .metrics import Metrics
    from .stage_quarantine import StageQuarantine

__all__ = ("StageCaller",)

#: milliseconds after which to retry a request whose stage failed
FAILURE_RETRY_MS = 1000
#: characters of a prompt that are compared to find requests with a shared prefix
PREFIX_LENGTH = 256
PREFIX_FIELD = "prefix"
#: percentile of a stage's durations that bounds the hedge delay
LATE_PERCENTILE = 95


class StageCaller:
    """Calls stages: retries failed attempts and hedges slow ones.

    :param durations: durations by ``(pipeline, stage)``, recorded by the dispatcher;
        without them the hedge delay depends on the stage's deadline alone
    :param decisions: tells why calls go on waiting for silent targets
    :param quarantine: keeps requests that crash targets from them; ``None``: no request
        is suspected
    """

    def __init__(
        self,
        *,
        dispatcher: Dispatcher,
        directory: TargetDirectory,
        client: TargetClient,
        clock: Clock,
        random_source: random.Random,
        metrics: Metrics,
        durations: DurationTracker | None = None,
        retry_rules: RetryRules | None = None,
        hedge_rule: HedgeRule | None = None,
        quarantine: StageQuarantine | None = None,
        decisions: DecisionLog | None = None,
    ) -> None:
        self._dispatcher = dispatcher
        self._directory = directory
        self._quarantine = quarantine or DisabledStageQuarantine()
        self._retry_rules = retry_rules or RetryRules()
        self._sender = AttemptSender(
            dispatcher=dispatcher,
            directory=directory,
            client=client,
            clock=clock,
            random_source=random_source,
            metrics=metrics,
            quarantine=self._quarantine,
            silences=StageSilences(
                dispatcher=dispatcher,
                retry_rules=self._retry_rules,
                create_ticket=_create_retry_ticket,
                clock=clock,
                decisions=decisions or DecisionLog(clock=clock, metrics=metrics),
            ),
        )
        self._clock = clock
        self._metrics = metrics
        self._durations = durations
        self._hedge_rule = hedge_rule or HedgeRule()

    async def call(self, execution: StageExecution) -> Result[StageAnswer, Refusal]:
        """Call a stage; return its answer, or the refusal of the whole request."""
        while True:
            refusal = await self._quarantine.check(execution)
            if refusal is not None:
                return Err(refusal)
            acquired = await self._acquire(execution)
            if isinstance(acquired, Err):
                return acquired
            try:
                result = await self._make_attempt(execution, acquired.ok_value)
            except StreamMismatchError as error:
                return Err(_refuse(execution, RefusalCode.STAGE_FAILED, str(error)))
            if isinstance(result, Ok):
                return result
            refusal = self._handle_failure(execution, result.err_value)
            if refusal is not None:
                return Err(refusal)

    async def close(self) -> None:
        """Wait for the pending cancellations at targets."""
        await self._sender.close()

    async def _make_attempt(
        self, execution: StageExecution, grant: Grant
    ) -> CallResult:
        execution.excluded |= {grant.target.target_id}
        if not execution.repeatable or self._quarantine.is_suspect(execution):
            return await self._sender.send(execution, grant)
        hedge_delay = self._choose_hedge_delay(execution)
        if execution.streamed or hedge_delay is None:
            # streams are not hedged: the outputs of two attempts may differ
            return await self._sender.send(execution, grant, hedge_delay)
        return await call_with_hedge(
            lambda: self._sender.send(execution, grant),
            lambda: self._send_backup(execution, grant),
            hedge_delay,
        )

    async def _send_backup(
        self, execution: StageExecution, late_grant: Grant
    ) -> CallResult | None:
        self._metrics.count("attempts.late")
        execution.hedged_targets |= {late_grant.target.target_id}
        execution.uses_retry_budget = True
        acquired = await self._acquire(execution)
        if isinstance(acquired, Err):
            return None
        grant = acquired.ok_value
        execution.excluded |= {grant.target.target_id}
        return await self._sender.send(execution, grant)

    def _choose_hedge_delay(self, execution: StageExecution) -> float | None:
        now = self._clock.now()
        median = late = 0.0
        if self._durations is not None:
            kind = (execution.request.pipeline, execution.stage.name)
            median = self._durations.estimate(kind, 50, now, 0.0)
            late = self._durations.estimate(kind, LATE_PERCENTILE, now, 0.0)
        return choose_hedge_delay(
            self._hedge_rule,
            median=median,
            late=late,
            remaining=execution.stage_deadline - now,
        )

    async def _acquire(self, execution: StageExecution) -> Result[Grant, Refusal]:
        unavailable: frozenset[str] = frozenset()
        while True:
            self._readmit_targets(execution, unavailable)
            ticket = _create_ticket(execution, unavailable)
            execution.retry_charged = False
            result = await self._dispatcher.acquire(ticket)
            if isinstance(result, Err):
                return result
            grant = result.ok_value
            if self._directory.accepts(grant.target.target_id):
                return result
            # the target began to leave after it was selected; nothing was sent
            self._metrics.count("attempts.moved")
            unavailable |= {grant.target.target_id}
            self._dispatcher.release(grant, Outcome(OutcomeKind.ABANDONED, 0.0))

    def _readmit_targets(
        self, execution: StageExecution, unavailable: frozenset[str]
    ) -> None:
        """Allow all targets again once each of them has been tried.

        A service with one replica would otherwise fail on one broken connection.
        """
        if not execution.excluded:
            return
        for candidate in self._directory.candidates(execution.stage.service):
            target_id = candidate.target.target_id
            if target_id not in execution.excluded and target_id not in unavailable:
                return
        execution.excluded = frozenset()

    def _handle_failure(
        self, execution: StageExecution, failure: CallFailure
    ) -> Refusal | None:
        reason = decide_retry(
            self._retry_rules,
            failure,
            repeatable=execution.repeatable,
            attempts=execution.attempts,
            remaining=execution.request.deadline - self._clock.now(),
        )
        if reason is None:
            self._metrics.count("attempts.repeated")
            # a call that did not connect adds no load; if it counted against the retry
            # budget, calls to one dead replica would exhaust it for all others
            execution.uses_retry_budget = failure.kind is not FailureKind.CONNECT
            if failure.kind is FailureKind.CANNOT_RESUME:
                execution.resume = False
                execution.excluded = frozenset()
            return None
        self._metrics.count(f"attempts.given_up.{reason.value}")
        code = RefusalCode.STAGE_FAILED
        if reason in (NoRetryReason.OVER, NoRetryReason.NO_TIME):
            code = RefusalCode.DEADLINE
        elif failure.kind is FailureKind.TARGET_REFUSED:
            code = RefusalCode.OVERLOADED
        return _refuse(execution, code, failure.message, failure.retry_after_ms)


def _create_ticket(execution: StageExecution, unavailable: frozenset[str]) -> Ticket:
    request, stage = execution.request, execution.stage
    return Ticket(
        request_id=request.request_id,
        workspace=request.workspace,
        pipeline=request.pipeline,
        stage=stage.name,
        service=stage.service,
        kind=stage.kind,
        deadline=request.deadline,
        stage_deadline=execution.stage_deadline,
        priority=execution.priority,
        repeatable=execution.repeatable,
        prefix=_find_prefix(stage.kind, execution.input),
        excluded=execution.excluded | unavailable,
        retry=execution.uses_retry_budget,
        charged=execution.retry_charged,
    )


def _create_retry_ticket(execution: StageExecution) -> Ticket:
    """Return the ticket of an attempt that would follow the present one."""
    return replace(_create_ticket(execution, frozenset()), retry=True)


def _find_prefix(kind: StageKind, value: Any) -> str:
    """Return the prefix that an input specifies, or the start of a text input."""
    if kind is not StageKind.GENERATE:
        return ""
    if isinstance(value, str):
        return value[:PREFIX_LENGTH]
    if not isinstance(value, dict):
        return ""
    for fields in (value, *value.values()):
        if isinstance(fields, dict) and isinstance(fields.get(PREFIX_FIELD), str):
            return fields[PREFIX_FIELD][:PREFIX_LENGTH]
    return ""


def _refuse(
    execution: StageExecution,
    code: RefusalCode,
    message: str,
    retry_after_ms: int | None = None,
) -> Refusal:
    return Refusal(
        code=code,
        message=f"stage {execution.stage.name}: {message}",
        verdict=execution.ledger.verdict,
        field="stage",
        value=execution.stage.name,
        retry_after_ms=retry_after_ms or FAILURE_RETRY_MS,
    )
