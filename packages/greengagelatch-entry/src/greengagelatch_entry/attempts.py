"""Attempts at one stage: choose a target, send once, decide what follows."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from result import Err, Ok, Result

from greengagelatch.config.objects import StageKind
from greengagelatch.errors import Refusal, RefusalCode
from greengagelatch.identity import create_id
from greengagelatch.load import Outcome, OutcomeKind, Ticket
from greengagelatch.stages.retries import (
    GiveUp,
    RetryRules,
    decide_retry,
    may_repeat,
    needs_cancel,
)
from greengagelatch.stages.tokens import TokenCheck, TokenRecord
from greengagelatch.targets import CallFailure, FailureKind, StageCall
from greengagelatch.verdict import Verdict

if TYPE_CHECKING:
    import random

    from greengagelatch.clock import Clock
    from greengagelatch.config.objects import Stage
    from greengagelatch.load import Dispatcher, Grant
    from greengagelatch.request import Request
    from greengagelatch.stages.ledger import AttemptLedger
    from greengagelatch.targets import StageAnswer, TargetClient, TokenListener
    from greengagelatch.targets.directory import TargetDirectory

    from .logs import StageTrace
    from .metrics import Metrics

__all__ = ("AttemptMaker", "StageWork")

#: milliseconds after which a failed stage may do better
FAILURE_RETRY_MS = 1000
#: characters of a prompt that are compared to find requests with a shared prefix
PREFIX_LENGTH = 256
#: attempts that are being cancelled at targets at the same time
MAX_CANCELS = 256

_OUTCOMES = {
    FailureKind.TARGET_REFUSED: OutcomeKind.REJECTED,
    FailureKind.DEADLINE: OutcomeKind.ABANDONED,
    FailureKind.CANCELLED: OutcomeKind.ABANDONED,
    FailureKind.CANNOT_RESUME: OutcomeKind.ABANDONED,
}


class ContradictionError(Exception):
    """A repeated stream differs from what the caller already holds."""


@dataclass(slots=True, kw_only=True)
class StageWork:
    """One stage of one request, and what its attempts have come to."""

    request: Request
    stage: Stage
    input: Any
    #: monotonic seconds
    stage_deadline: float
    priority: int
    ledger: AttemptLedger
    #: gives the caller a token; ``None`` where the stage is not streamed
    on_token: TokenListener | None = None
    trace: StageTrace | None = None
    attempts: int = 0
    excluded: frozenset[str] = frozenset()
    #: seconds that failed attempts took
    wasted: float = 0.0
    tokens: TokenRecord = field(default_factory=TokenRecord)
    #: whether the next attempt asks the target to go on at the present offset
    resume: bool = True

    @property
    def repeatable(self) -> bool:
        """Whether a call that may have run may be sent again."""
        return may_repeat(self.stage, self.request)


class AttemptMaker:
    """Makes attempts at stages until one is answered or none may follow."""

    def __init__(
        self,
        *,
        dispatcher: Dispatcher,
        directory: TargetDirectory,
        client: TargetClient,
        clock: Clock,
        random_source: random.Random,
        metrics: Metrics,
        rules: RetryRules | None = None,
    ) -> None:
        self._dispatcher = dispatcher
        self._directory = directory
        self._client = client
        self._clock = clock
        self._random = random_source
        self._metrics = metrics
        self._rules = rules or RetryRules()
        self._cancels: set[asyncio.Task[bool]] = set()

    async def make(self, work: StageWork) -> Result[StageAnswer, Refusal]:
        """Return the stage's answer, or the refusal of the whole request."""
        while True:
            acquired = await self._acquire(work)
            if isinstance(acquired, Err):
                return acquired
            grant = acquired.ok_value
            target_id = grant.target.target_id
            if not self._directory.accepts(target_id):
                # it began to leave while the call was queued; nothing was sent
                self._release(grant, OutcomeKind.ABANDONED)
                work.excluded |= {target_id}
                continue
            try:
                result = await self._attempt(work, grant)
            except ContradictionError as error:
                return Err(self._refuse(work, RefusalCode.STAGE_FAILED, str(error)))
            if isinstance(result, Ok):
                return result
            refusal = self._consider(work, target_id, result.err_value)
            if refusal is not None:
                return Err(refusal)

    async def close(self) -> None:
        """Wait for the cancellations under way."""
        await asyncio.gather(*self._cancels, return_exceptions=True)

    async def _acquire(self, work: StageWork) -> Result[Grant, Refusal]:
        result = await self._dispatcher.acquire(self._create_ticket(work))
        if isinstance(result, Ok):
            return result
        if result.err_value.code is RefusalCode.NO_TARGET and work.excluded:
            # every target has failed this call once: rather one of them on a new
            # connection than none at all
            work.excluded = frozenset()
            result = await self._dispatcher.acquire(self._create_ticket(work))
        return result

    def _create_ticket(self, work: StageWork) -> Ticket:
        request, stage = work.request, work.stage
        return Ticket(
            request_id=request.request_id,
            workspace=request.workspace,
            pipeline=request.pipeline,
            stage=stage.name,
            service=stage.service,
            kind=stage.kind,
            deadline=request.deadline,
            stage_deadline=work.stage_deadline,
            priority=work.priority,
            repeatable=work.repeatable,
            prefix=_find_prefix(stage.kind, work.input),
            excluded=work.excluded,
            retry=work.attempts > 0,
        )

    async def _attempt(
        self, work: StageWork, grant: Grant
    ) -> Result[StageAnswer, CallFailure]:
        call = self._create_call(work)
        started = self._clock.now()
        kind = OutcomeKind.ABANDONED
        verdict = Verdict.MAY_HAVE_RUN
        outcome = "cancelled"
        work.attempts += 1
        work.ledger.begin(call.attempt_id, grant.target.target_id)
        answered = False
        try:
            listener = self._create_listener(work) if call.stream else None
            result = await self._client.call(grant.target, call, listener)
            answered = True
            kind, verdict, outcome = _judge(result)
            self._note(grant, result)
        except ContradictionError:
            kind, verdict, outcome = (
                OutcomeKind.SUCCESS,
                Verdict.RAN,
                "contradiction",
            )
            raise
        finally:
            seconds = self._clock.now() - started
            work.ledger.settle(call.attempt_id, verdict)
            self._dispatcher.release(grant, Outcome(kind, seconds))
            if outcome != "answered":
                work.wasted += seconds
            if not answered:
                self._start_cancel(grant, call.attempt_id)
            if work.trace is not None:
                work.trace.log_attempt(
                    attempt_id=call.attempt_id,
                    target_id=grant.target.target_id,
                    outcome=outcome,
                    seconds=seconds,
                    verdict=verdict,
                    failed=outcome != "answered",
                )
        if isinstance(result, Err) and needs_cancel(result.err_value):
            self._start_cancel(grant, call.attempt_id)
        return result

    def _create_call(self, work: StageWork) -> StageCall:
        request, stage = work.request, work.stage
        received = work.tokens.tokens if work.resume else ()
        return StageCall(
            attempt_id=create_id("attempt", self._random),
            request_id=request.request_id,
            workspace=request.workspace,
            pipeline=request.pipeline,
            stage=stage.name,
            kind=stage.kind,
            input=work.input,
            repeatable=work.repeatable,
            deadline=request.deadline,
            priority=work.priority,
            stream=work.on_token is not None and stage.kind is StageKind.GENERATE,
            resume_at=len(received),
            received=received,
        )

    def _create_listener(self, work: StageWork) -> TokenListener:
        def listen(offset: int, text: str) -> None:
            check = work.tokens.take(offset, text)
            if check is TokenCheck.NEW:
                assert work.on_token is not None
                work.on_token(offset, text)
                return
            if check is not TokenCheck.REPEATED:
                raise ContradictionError(
                    f"the stream was cut and its repetition differs at token {offset}"
                )

        return listen

    def _note(self, grant: Grant, result: Result[StageAnswer, CallFailure]) -> None:
        target_id = grant.target.target_id
        value = result.ok_value if isinstance(result, Ok) else result.err_value
        if value.leaving:
            self._directory.note_leaving(target_id)
        if isinstance(result, Ok):
            self._directory.note_call(target_id, answered=True)
        elif result.err_value.kind in (FailureKind.CONNECT, FailureKind.STALLED):
            self._directory.note_call(target_id, answered=False)

    def _consider(
        self, work: StageWork, target_id: str, failure: CallFailure
    ) -> Refusal | None:
        remaining = work.request.deadline - self._clock.now()
        reason = decide_retry(
            self._rules,
            failure,
            repeatable=work.repeatable,
            attempts=work.attempts,
            remaining=remaining,
        )
        if reason is None:
            self._metrics.count("attempts.repeated")
            if failure.kind is FailureKind.CANNOT_RESUME:
                work.resume = False
            else:
                work.excluded |= {target_id}
            return None
        self._metrics.count(f"attempts.given_up.{reason.value}")
        if reason in (GiveUp.OVER, GiveUp.NO_TIME):
            return self._refuse(work, RefusalCode.DEADLINE, failure.message)
        code = RefusalCode.STAGE_FAILED
        if failure.kind is FailureKind.TARGET_REFUSED:
            code = RefusalCode.OVERLOADED
        return self._refuse(work, code, failure.message, failure.retry_after_ms)

    def _refuse(
        self,
        work: StageWork,
        code: RefusalCode,
        message: str,
        retry_after_ms: int | None = None,
    ) -> Refusal:
        return Refusal(
            code=code,
            message=f"stage {work.stage.name}: {message}",
            verdict=work.ledger.verdict,
            field="stage",
            value=work.stage.name,
            retry_after_ms=retry_after_ms or FAILURE_RETRY_MS,
        )

    def _release(self, grant: Grant, kind: OutcomeKind) -> None:
        self._dispatcher.release(grant, Outcome(kind, 0.0))

    def _start_cancel(self, grant: Grant, attempt_id: str) -> None:
        if len(self._cancels) >= MAX_CANCELS:
            self._metrics.count("attempts.cancels_dropped")
            return
        self._metrics.count("attempts.cancelled")
        task = asyncio.create_task(self._client.cancel(grant.target, attempt_id))
        self._cancels.add(task)
        task.add_done_callback(self._cancels.discard)


def _judge(
    result: Result[StageAnswer, CallFailure],
) -> tuple[OutcomeKind, Verdict, str]:
    if isinstance(result, Ok):
        return OutcomeKind.SUCCESS, Verdict.RAN, "answered"
    failure = result.err_value
    kind = _OUTCOMES.get(failure.kind, OutcomeKind.FAILURE)
    return kind, failure.verdict, failure.kind.value


def _find_prefix(kind: StageKind, value: Any) -> str:
    if kind is not StageKind.GENERATE:
        return ""
    if isinstance(value, dict):
        value = value.get("prompt", "")
    return value[:PREFIX_LENGTH] if isinstance(value, str) else ""
