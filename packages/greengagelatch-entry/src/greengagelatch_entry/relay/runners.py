"""Base class of request runners, with the retry rules that they share."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

from greengagelatch.errors import RefusalCode
from greengagelatch.relay.outcomes import (
    NextStep,
    RetryContext,
    SendOutcome,
    SilenceDecision,
    decide_next,
    decide_on_silence,
)
from greengagelatch.verdict import Verdict

from ..filters.stop import STOPPING_RETRY_MS
from .refusals import create_error

if TYPE_CHECKING:
    from collections.abc import Callable

    from greengagelatch.clock import Clock
    from greengagelatch.relay.incarnations import Incarnation
    from greengagelatch.relay.load_balancer import LoadBalancer
    from greengagelatch.relay.requests import RefusedError
    from greengagelatch.relay.targets import ListedTarget

    from .brittle_admission import BrittleAdmission
    from .decisions import DecisionLog
    from .exchange import RelayExchange
    from .retry_budgets import RetryBudgets
    from .route_latencies import RouteLatencies
    from .suspect_admission import SuspectAdmission
    from .target_sender import FailedSend, TargetSender

__all__ = ("MIN_ATTEMPT_SECONDS", "Runner")

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
    """Runs one kind of request to its answer.

    :param find_stop_deadline: returns the monotonic time at which a planned stop
        interrupts requests
    :param is_closing: returns whether callers' new connections lead to other instances
    """

    def __init__(
        self,
        *,
        sender: TargetSender,
        load_balancer: LoadBalancer,
        budgets: RetryBudgets,
        suspects: SuspectAdmission,
        brittle: BrittleAdmission,
        times: RouteLatencies,
        find_stop_deadline: Callable[[], float],
        is_closing: Callable[[], bool],
        clock: Clock,
        decisions: DecisionLog,
    ) -> None:
        self.sender = sender
        self.load_balancer = load_balancer
        self.budgets = budgets
        self.suspects = suspects
        self.brittle = brittle
        self.times = times
        self.find_stop_deadline = find_stop_deadline
        self.is_closing = is_closing
        self.clock = clock
        self.decisions = decisions

    @abstractmethod
    async def run(self, exchange: RelayExchange) -> None:
        """Run the request of ``exchange`` and write its answer.

        :raises RefusedError: if the request is refused
        """

    def find_remaining(self, exchange: RelayExchange) -> float:
        """Return the seconds until the deadline."""
        return exchange.deadline - self.clock.now()

    def check_stop(self, exchange: RelayExchange) -> None:
        """Check that a request can be sent for the first time during a planned stop.

        :raises RefusedError: if the stop would most likely interrupt it
        """
        stop_deadline = self.find_stop_deadline()
        is_shortened = exchange.caller_deadline > stop_deadline
        if exchange.targets or not is_shortened or not self.is_closing():
            return
        _, seconds = self.times.estimate(exchange)
        if self.clock.now() + seconds > stop_deadline:
            raise create_error(
                exchange,
                RefusalCode.NOT_READY,
                "this instance stops before the request could end",
                retry_after=STOPPING_RETRY_MS / 1000,
            )

    def may_retry(self, exchange: RelayExchange, outcome: SendOutcome) -> bool:
        """Return whether to send again after ``outcome``; a retry is charged."""
        facts = self._describe(exchange, outcome, frozenset(exchange.targets))
        step = decide_next(facts)
        if step is NextStep.SEND:
            return True
        if step is NextStep.RETRY:
            charged, exchange.retry_charged = exchange.retry_charged, False
            if charged or self.budgets.try_spend(exchange.service):
                return True
        reason = "budget" if step is NextStep.RETRY else "rule"
        self.record_no_retry(exchange, outcome, reason)
        return False

    def record_no_retry(
        self, exchange: RelayExchange, outcome: SendOutcome, reason: str
    ) -> None:
        """Record that a request is not sent again, and why."""
        end = min(exchange.deadline, self.find_stop_deadline())
        self.decisions.log_decision(
            "no-retry",
            request=exchange.request.request_id,
            outcome=outcome.value,
            reason=reason,
            sends=len(exchange.targets),
            left_ms=round((end - self.clock.now()) * 1000),
        )

    def may_send_again(self, exchange: RelayExchange) -> bool:
        """Return whether a request could be sent again if its next send is rejected."""
        sends = len(exchange.targets) + 1
        return (
            sends < exchange.route.max_attempts
            and self.budgets.count_left(exchange.service) >= 1
        )

    def may_leave(
        self,
        exchange: RelayExchange,
        target: ListedTarget,
        excluded: frozenset[Incarnation],
        retry_seconds: float,
        asked: bool,
        path_lost: bool,
    ) -> bool:
        """Return whether to leave a silent target; the retry is charged then.

        :param excluded: targets that a retry would not use either
        :param retry_seconds: how long a retry is expected to take
        :param asked: whether the answer was no before
        :param path_lost: whether the target is reached through peers only, and the
            request waits on a direct connection
        """
        if self.suspects.is_undecided(exchange):
            # the silent target may be about to crash
            if not asked:
                self.record_silence(
                    exchange, target, SilenceDecision.SUSPECTED, path_lost
                )
            return False
        if path_lost:
            # no answer is expected there, so that a late one elsewhere is better
            retry_seconds = 0.0
        incarnation = target.incarnation
        received = frozenset(exchange.targets) | {incarnation}
        decision = decide_on_silence(
            self._describe(exchange, SendOutcome.LOST, received, retry_seconds),
            count_targets=lambda: self._count_targets(
                exchange, incarnation, excluded, path_lost
            ),
            retries=exchange.retry_charged or self.budgets.count_left(exchange.service),
        )
        if decision is SilenceDecision.LEAVE:
            if not exchange.retry_charged:
                exchange.retry_charged = self.budgets.try_spend(exchange.service)
            return True
        if not asked:
            self.record_silence(exchange, target, decision, path_lost)
        return False

    def _count_targets(
        self,
        exchange: RelayExchange,
        incarnation: Incarnation,
        excluded: frozenset[Incarnation],
        path_lost: bool,
    ) -> int:
        """Return how many targets a request that leaves a silent one may be sent to."""
        service, data_centres = exchange.service, exchange.data_centres
        now = self.clock.now()
        if not path_lost:
            excluded |= {incarnation}
        if self.brittle.has_to_wait(exchange, excluded):
            # it could be refused
            return 0
        if path_lost:
            # silences on lost paths open the breakers of sound targets, and the silent
            # one may be reached through a peer as well
            return self.load_balancer.count_candidates(
                service, excluded, now, data_centres
            )
        return self.load_balancer.count_healthy(service, excluded, now, data_centres)

    def record_silence(
        self,
        exchange: RelayExchange,
        target: ListedTarget,
        decision: SilenceDecision,
        path_lost: bool,
    ) -> None:
        """Record that a request goes on waiting for a silent target, and why."""
        if not path_lost:
            # new requests prefer other targets
            self.load_balancer.record_failure(target.incarnation, self.clock.now())
        self.decisions.log_decision(
            "silence",
            request=exchange.request.request_id,
            digest=exchange.digest,
            target=str(target.incarnation),
            address=target.address,
            reason=decision.value,
            left_ms=round(self.find_remaining(exchange) * 1000),
        )

    def _describe(
        self,
        exchange: RelayExchange,
        outcome: SendOutcome,
        received: frozenset[Incarnation],
        min_seconds: float = 0.0,
    ) -> RetryContext:
        route = exchange.route
        # a stop interrupts what is still running then
        end = min(exchange.deadline, self.find_stop_deadline())
        return RetryContext(
            outcome=outcome,
            repeatable=route.repeatable,
            deliveries=len(received),
            max_attempts=route.max_attempts,
            unsent=exchange.unsent,
            remaining=end - self.clock.now(),
            min_seconds=max(MIN_ATTEMPT_SECONDS, min_seconds),
        )

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
        rest = self.brittle.find_rest(exchange)
        if rest and exchange.verdict is Verdict.NOT_RUN:
            return self.brittle.create_rest_refusal(exchange, rest)
        code, retry_after = RefusalCode.STAGE_FAILED, UNSENT_RETRY_AFTER
        if last.outcome is SendOutcome.REJECTED:
            code, retry_after = RefusalCode.OVERLOADED, REJECTED_RETRY_AFTER
        elif self.find_remaining(exchange) <= MIN_ATTEMPT_SECONDS:
            code = RefusalCode.DEADLINE
        return create_error(exchange, code, last.reason, retry_after=retry_after)
