"""Decisions whether calls leave targets that are silent."""

from __future__ import annotations

from typing import TYPE_CHECKING

from greengagelatch.relay.outcomes import (
    RetryContext,
    SendOutcome,
    SilenceDecision,
    decide_on_silence,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from greengagelatch.clock import Clock
    from greengagelatch.load import Dispatcher, Grant, Ticket
    from greengagelatch.stages.retries import RetryRules

    from .attempt_sender import StageExecution
    from .relay.decisions import DecisionLog

__all__ = ("StageSilences",)


class StageSilences:
    """Leaves a silent target only if the call is certain to be sent to another one.

    :param create_ticket: returns the ticket of a stage's next attempt
    """

    def __init__(
        self,
        *,
        dispatcher: Dispatcher,
        retry_rules: RetryRules,
        create_ticket: Callable[[StageExecution], Ticket],
        clock: Clock,
        decisions: DecisionLog,
    ) -> None:
        self._dispatcher = dispatcher
        self._retry_rules = retry_rules
        self._create_ticket = create_ticket
        self._clock = clock
        self._decisions = decisions

    def may_leave(self, execution: StageExecution, grant: Grant, asked: bool) -> bool:
        """Return whether to leave a silent target; the retry is charged then.

        :param asked: whether the answer was no before
        """
        decision = decide_on_silence(
            self._describe(execution),
            count_targets=lambda: self._count_targets(execution),
            retries=execution.retry_charged or self._dispatcher.count_retries(),
        )
        if decision is SilenceDecision.LEAVE:
            if not execution.retry_charged:
                execution.retry_charged = self._dispatcher.charge_retry()
            return True
        if not asked:
            self._record(execution, grant, decision)
        return False

    def _describe(self, execution: StageExecution) -> RetryContext:
        return RetryContext(
            outcome=SendOutcome.LOST,
            repeatable=execution.repeatable,
            deliveries=execution.attempts,
            max_attempts=self._retry_rules.max_attempts,
            unsent=0,
            remaining=self._find_remaining(execution),
            min_seconds=self._retry_rules.min_remaining,
        )

    def _count_targets(self, execution: StageExecution) -> int:
        return self._dispatcher.count_targets(self._create_ticket(execution))

    def _find_remaining(self, execution: StageExecution) -> float:
        return execution.request.deadline - self._clock.now()

    def _record(
        self, execution: StageExecution, grant: Grant, decision: SilenceDecision
    ) -> None:
        """Record that a call goes on waiting for a silent target, and why."""
        self._dispatcher.record_silence(grant)
        self._decisions.log_decision(
            "silence",
            request=execution.request.request_id,
            stage=execution.stage.name,
            target=grant.target.target_id,
            address=grant.target.address,
            reason=decision.value,
            left_ms=round(self._find_remaining(execution) * 1000),
        )
