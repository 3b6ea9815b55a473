"""Base of what runs requests, and the sends that all kinds of request share."""

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

from .refusals import create_error, create_hold_error

if TYPE_CHECKING:
    from greengagelatch.clock import Clock
    from greengagelatch.relay.load_balancer import LoadBalancer
    from greengagelatch.relay.quarantine import Quarantine
    from greengagelatch.relay.requests import RefusedError

    from .budgets import RepeatBudgets
    from .exchange import RelayExchange
    from .sending import TargetSender, Unanswered

__all__ = ("Runner",)

#: seconds without which a send could not be answered any more
LEAST_SECONDS = 0.01
#: seconds after which a service without a sound target may have one again
NO_TARGET_RETRY = 0.5
#: seconds after which targets that were full may have room again
REJECTED_RETRY = 0.3
#: seconds after which a target that could not be reached may have been replaced
UNSENT_RETRY = 0.5


class Runner(ABC):
    """Runs one kind of request to its answer."""

    def __init__(
        self,
        *,
        sender: TargetSender,
        fleet: LoadBalancer,
        budgets: RepeatBudgets,
        quarantine: Quarantine,
        clock: Clock,
    ) -> None:
        self._quarantine = quarantine
        self.sender = sender
        self.fleet = fleet
        self.budgets = budgets
        self.clock = clock

    @abstractmethod
    async def run(self, exchange: RelayExchange) -> None:
        """Answer ``exchange``.

        :raises RefusedError: if it is to be refused
        """

    def find_left(self, exchange: RelayExchange) -> float:
        """Return the seconds until the deadline."""
        return exchange.deadline - self.clock.now()

    def check_hold(self, exchange: RelayExchange) -> None:
        """Look again whether ``exchange`` may be sent.

        Targets may have ended under the same request while this one waited for its
        stages, or under this one itself.

        :raises RefusedError: if not
        """
        hold = self._quarantine.find_quarantine_seconds(
            exchange.digest, self.clock.now()
        )
        if hold is not None:
            raise create_hold_error(exchange, hold)

    def may_repeat(self, exchange: RelayExchange, outcome: SendOutcome) -> bool:
        """Whether to send again after ``outcome``; a repeat is charged."""
        route = exchange.route
        facts = RetryContext(
            outcome=outcome,
            retryable=route.retryable,
            deliveries=len(set(exchange.targets)),
            max_attempts=route.max_attempts,
            unsent=exchange.unsent,
            remaining=self.find_left(exchange),
            min_seconds=LEAST_SECONDS,
        )
        match decide_next(facts):
            case NextStep.SEND:
                return True
            case NextStep.RETRY:
                return self.budgets.take(exchange.service)
        return False

    def create_refusal(
        self, exchange: RelayExchange, last: Unanswered | None
    ) -> RefusedError:
        """Return the error that ends ``exchange`` after its last send."""
        if last is None:
            return create_error(
                exchange,
                RefusalCode.NO_TARGET,
                f"no target of {exchange.service} is listed",
                retry_after=NO_TARGET_RETRY,
                field="service",
                value=exchange.service,
            )
        code, retry = RefusalCode.STAGE_FAILED, UNSENT_RETRY
        if last.outcome is SendOutcome.REJECTED:
            code, retry = RefusalCode.OVERLOADED, REJECTED_RETRY
        elif self.find_left(exchange) <= LEAST_SECONDS:
            code = RefusalCode.DEADLINE
        return create_error(exchange, code, last.reason, retry_after=retry)
