"""Base class of request runners, with the retry rules that they share."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

from greengagelatch.errors import RefusalCode
from greengagelatch.relay.outcomes import (
    NextStep,
    RetryContext,
    SendOutcome,
    decide_next,
)

from .refusals import create_error

if TYPE_CHECKING:
    from greengagelatch.clock import Clock
    from greengagelatch.relay.load_balancer import LoadBalancer
    from greengagelatch.relay.requests import RefusedError

    from .brittle_admission import BrittleAdmission
    from .exchange import RelayExchange
    from .retry_budgets import RetryBudgets
    from .suspect_admission import SuspectAdmission
    from .target_sender import FailedSend, TargetSender

__all__ = ("Runner",)

#: seconds before the deadline that an attempt needs at the least
MIN_ATTEMPT_SECONDS = 0.01
#: seconds after which callers may retry when a service has no healthy target
NO_TARGET_RETRY_AFTER = 0.5
#: seconds after which callers may retry when targets were at capacity
REJECTED_RETRY_AFTER = 0.3
#: seconds after which callers may retry when a target could not be reached: it may
#: have been replaced by then
UNSENT_RETRY_AFTER = 0.5


class Runner(ABC):
    """Runs one kind of request to its answer."""

    def __init__(
        self,
        *,
        sender: TargetSender,
        load_balancer: LoadBalancer,
        budgets: RetryBudgets,
        suspects: SuspectAdmission,
        brittle: BrittleAdmission,
        clock: Clock,
    ) -> None:
        self.sender = sender
        self.load_balancer = load_balancer
        self.budgets = budgets
        self.suspects = suspects
        self.brittle = brittle
        self.clock = clock

    @abstractmethod
    async def run(self, exchange: RelayExchange) -> None:
        """Run the request of ``exchange`` and write its answer.

        :raises RefusedError: if the request is refused
        """

    def find_remaining(self, exchange: RelayExchange) -> float:
        """Return the seconds until the deadline."""
        return exchange.deadline - self.clock.now()

    def may_retry(self, exchange: RelayExchange, outcome: SendOutcome) -> bool:
        """Return whether to send again after ``outcome``; a retry is charged."""
        route = exchange.route
        facts = RetryContext(
            outcome=outcome,
            repeatable=route.repeatable,
            deliveries=len(set(exchange.targets)),
            max_attempts=route.max_attempts,
            unsent=exchange.unsent,
            remaining=self.find_remaining(exchange),
            min_seconds=MIN_ATTEMPT_SECONDS,
        )
        match decide_next(facts):
            case NextStep.SEND:
                return True
            case NextStep.RETRY:
                return self.budgets.try_spend(exchange.service)
        return False

    def create_refusal(
        self, exchange: RelayExchange, last: FailedSend | None
    ) -> RefusedError:
        """Return the error that ends ``exchange`` after its last attempt."""
        if last is None:
            return create_error(
                exchange,
                RefusalCode.NO_TARGET,
                f"no target of {exchange.service} accepts requests",
                retry_after=NO_TARGET_RETRY_AFTER,
                field="service",
                value=exchange.service,
            )
        code, retry_after = RefusalCode.STAGE_FAILED, UNSENT_RETRY_AFTER
        if last.outcome is SendOutcome.REJECTED:
            code, retry_after = RefusalCode.OVERLOADED, REJECTED_RETRY_AFTER
        elif self.find_remaining(exchange) <= MIN_ATTEMPT_SECONDS:
            code = RefusalCode.DEADLINE
        return create_error(exchange, code, last.reason, retry_after=retry_after)
