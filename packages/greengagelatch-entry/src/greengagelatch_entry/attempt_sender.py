"""Single attempts at a stage: each sends one call and releases one grant."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from functools import partial
from typing import TYPE_CHECKING, Any

from result import Err, Ok, Result

from greengagelatch.config.objects import StageKind
from greengagelatch.identity import create_id
from greengagelatch.load import Outcome, OutcomeKind
from greengagelatch.stages.retries import may_retry, needs_cancel
from greengagelatch.stages.tokens import StreamedTokens, TokenCheck
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
    from .stage_quarantine import StageQuarantine
    from .stage_silences import StageSilences

__all__ = ("StreamMismatchError", "AttemptSender", "StageExecution")

#: maximum number of concurrent cancellations at targets
MAX_CANCELLATIONS = 256

ANSWERED = "answered"
CANCELLED = "cancelled"

#: outcomes that load balancing records for failures; all others count as target
#: failures
_OUTCOME_KINDS = {
    FailureKind.TARGET_REFUSED: OutcomeKind.REJECTED,
    FailureKind.DEADLINE: OutcomeKind.ABANDONED,
    FailureKind.CANCELLED: OutcomeKind.ABANDONED,
    FailureKind.CANNOT_RESUME: OutcomeKind.ABANDONED,
}


class StreamMismatchError(Exception):
    """A repeated stream differs from the tokens that the caller already received."""


@dataclass(slots=True, kw_only=True)
class StageExecution:
    """The state of one stage of one request across its attempts."""

    request: Request
    stage: Stage
    input: Any
    #: in monotonic seconds
    stage_deadline: float
    priority: int
    ledger: AttemptLedger
    #: sends a token to the caller; ``None`` if the stage is not streamed
    on_token: TokenListener | None = None
    trace: StageTrace | None = None
    attempts: int = 0
    excluded: frozenset[str] = frozenset()
    #: whether the next attempt counts against the retry budget
    uses_retry_budget: bool = False
    #: whether the budget was charged for it when the last attempt left its target
    retry_charged: bool = False
    #: total seconds of failed attempts
    wasted_seconds: float = 0.0
    tokens: StreamedTokens = field(default_factory=StreamedTokens)
    #: whether the next attempt resumes the stream at the current offset
    resume: bool = True
    #: targets whose slow calls were hedged by a backup call
    hedged_targets: frozenset[str] = frozenset()
    answered: bool = False

    @property
    def repeatable(self) -> bool:
        """Whether a call that may have run may be sent again."""
        return may_retry(self.stage, self.request)

    @property
    def streamed(self) -> bool:
        """Whether the answer is streamed token by token."""
        return self.on_token is not None and self.stage.kind is StageKind.GENERATE


class AttemptSender:
    """Makes single attempts, and cancels abandoned ones at their targets."""

    def __init__(
        self,
        *,
        dispatcher: Dispatcher,
        directory: TargetDirectory,
        client: TargetClient,
        clock: Clock,
        random_source: random.Random,
        metrics: Metrics,
        quarantine: StageQuarantine,
        silences: StageSilences,
    ) -> None:
        self._quarantine = quarantine
        self._silences = silences
        self._dispatcher = dispatcher
        self._directory = directory
        self._client = client
        self._clock = clock
        self._random = random_source
        self._metrics = metrics
        self._cancellations: set[asyncio.Task[bool]] = set()

    async def send(
        self,
        execution: StageExecution,
        grant: Grant,
        first_byte_timeout: float | None = None,
    ) -> Result[StageAnswer, CallFailure]:
        """Make one attempt and release ``grant`` in every case.

        :param first_byte_timeout: seconds without the first byte after which the target
            may be left
        :raises StreamMismatchError: if the stream differs from the tokens already sent
        """
        call = self._create_call(execution, first_byte_timeout)
        attempt = _Attempt(execution, grant, call, self._clock.now())
        execution.attempts += 1
        execution.ledger.begin(call.attempt_id, grant.target.target_id)
        try:
            listener = _create_listener(execution) if call.stream else None
            result = await self._client.call(
                grant.target, call, listener, partial(self._may_leave, attempt)
            )
            attempt.record_result(result)
            execution.answered = execution.answered or isinstance(result, Ok)
        except StreamMismatchError:
            attempt.record_mismatch()
            raise
        finally:
            # also on cancellation of the request: a grant that is not released would
            # occupy capacity of the target forever, and an attempt that is not
            # cancelled at the target would continue to consume its resources
            self._finish_attempt(attempt)
        self._update_directory(grant, result)
        self._quarantine.record_result(execution, grant.target, result)
        return result

    def _may_leave(self, attempt: _Attempt, asked: bool) -> bool:
        may_leave = self._silences.may_leave(attempt.execution, attempt.grant, asked)
        attempt.silence_recorded = attempt.silence_recorded or not may_leave
        return may_leave

    async def close(self) -> None:
        """Wait for the pending cancellations."""
        await asyncio.gather(*self._cancellations, return_exceptions=True)

    def _create_call(
        self, execution: StageExecution, first_byte_timeout: float | None
    ) -> StageCall:
        request, stage = execution.request, execution.stage
        received = execution.tokens.tokens if execution.resume else ()
        return StageCall(
            attempt_id=create_id("attempt", self._random),
            request_id=request.request_id,
            workspace=request.workspace,
            pipeline=request.pipeline,
            stage=stage.name,
            kind=stage.kind,
            input=execution.input,
            repeatable=execution.repeatable,
            deadline=request.deadline,
            priority=execution.priority,
            stream=execution.streamed,
            resume_at=len(received),
            received=received,
            first_byte_timeout=first_byte_timeout,
        )

    def _finish_attempt(self, attempt: _Attempt) -> None:
        execution, call = attempt.execution, attempt.call
        seconds = self._clock.now() - attempt.started
        attempt.record_overtaken()
        execution.ledger.settle(call.attempt_id, attempt.verdict)
        self._dispatcher.release(attempt.grant, Outcome(attempt.kind, seconds))
        answered = attempt.outcome == ANSWERED
        if not answered:
            execution.wasted_seconds += seconds
        if attempt.may_be_running:
            self._start_cancel(attempt)
        if execution.trace is None:
            return
        execution.trace.log_attempt(
            attempt_id=call.attempt_id,
            target_id=attempt.grant.target.target_id,
            outcome=attempt.outcome,
            seconds=seconds,
            verdict=attempt.verdict,
            failed=not answered,
            message=attempt.message,
        )

    def _update_directory(
        self, grant: Grant, result: Result[StageAnswer, CallFailure]
    ) -> None:
        target_id = grant.target.target_id
        value = result.ok_value if isinstance(result, Ok) else result.err_value
        if value.leaving:
            self._directory.mark_leaving(target_id)
        if isinstance(result, Ok):
            self._directory.record_call(target_id, answered=True)
        elif result.err_value.kind is FailureKind.CONNECT:
            self._directory.record_call(target_id, answered=False)

    def _start_cancel(self, attempt: _Attempt) -> None:
        if len(self._cancellations) >= MAX_CANCELLATIONS:
            self._metrics.count("attempts.cancels_dropped")
            return
        self._metrics.count("attempts.cancelled")
        task = asyncio.create_task(
            self._client.cancel(attempt.grant.target, attempt.call.attempt_id)
        )
        self._cancellations.add(task)
        task.add_done_callback(self._cancellations.discard)


@dataclass(slots=True)
class _Attempt:
    """The state of one attempt; until it has a result, it counts as cancelled."""

    execution: StageExecution
    grant: Grant
    call: StageCall
    started: float
    kind: OutcomeKind = OutcomeKind.ABANDONED
    verdict: Verdict = Verdict.MAY_HAVE_RUN
    outcome: str = CANCELLED
    message: str = ""
    #: whether the target may still be processing the call
    may_be_running: bool = True
    #: whether load balancing knows already that the target was silent
    silence_recorded: bool = False

    def record_result(self, result: Result[StageAnswer, CallFailure]) -> None:
        """Record the result of the call."""
        if isinstance(result, Err):
            failure = result.err_value
            self.kind = _OUTCOME_KINDS.get(failure.kind, OutcomeKind.FAILURE)
            self.verdict = failure.verdict
            self.outcome = failure.kind.value
            self.message = failure.message
            self.may_be_running = needs_cancel(failure)
            if failure.kind is FailureKind.STALLED and self.silence_recorded:
                self.kind = OutcomeKind.ABANDONED
            return
        self.kind = OutcomeKind.SUCCESS
        self.verdict = Verdict.RAN
        self.outcome = ANSWERED
        self.may_be_running = False

    def record_overtaken(self) -> None:
        """Record a failure of the target if a backup call was answered first."""
        if self.outcome != CANCELLED or not self.execution.answered:
            return
        if self.silence_recorded:
            return
        if self.grant.target.target_id in self.execution.hedged_targets:
            self.kind = OutcomeKind.FAILURE
            self.outcome = "overtaken"

    def record_mismatch(self) -> None:
        """Record a complete stream that contradicts the tokens already sent."""
        self.kind = OutcomeKind.SUCCESS
        self.verdict = Verdict.RAN
        self.outcome = "contradiction"


def _create_listener(execution: StageExecution) -> TokenListener:
    def forward_token(offset: int, text: str) -> None:
        check = execution.tokens.append(offset, text)
        if check is TokenCheck.REPEATED:
            return
        if check is not TokenCheck.NEW:
            message = (
                f"the resumed stream does not match the sent one at token {offset}"
            )
            raise StreamMismatchError(message)
        assert execution.on_token is not None
        execution.on_token(offset, text)

    return forward_token
