"""Admission of streaming requests, before their stages and before their target."""

from __future__ import annotations

from typing import TYPE_CHECKING

from greengagelatch.errors import RefusalCode
from greengagelatch.relay.admission import RequestEstimate

from .refusals import create_error
from .runners import MIN_ATTEMPT_SECONDS

if TYPE_CHECKING:
    import random

    from greengagelatch.clock import Clock
    from greengagelatch.relay.admission import RouteAdmission
    from greengagelatch.relay.stage_plan import ChainEstimate

    from .decisions import DecisionLog
    from .exchange import RelayExchange

__all__ = ("StreamAdmission",)


class StreamAdmission:
    """Refuses streaming requests that can't be served, with nothing run at a target.

    :param policy: decides on requests whose stages have not begun
    """

    def __init__(
        self,
        *,
        policy: RouteAdmission,
        clock: Clock,
        random_source: random.Random,
        decisions: DecisionLog,
    ) -> None:
        self._policy = policy
        self._clock = clock
        self._random = random_source
        self._decisions = decisions

    def check_start(
        self, exchange: RelayExchange, chain: ChainEstimate, first_seconds: float
    ) -> None:
        """Refuse a request that admission control rejects, before any work is done.

        :param chain: estimate for the request's stages
        :param first_seconds: expected seconds until the target starts to answer
        :raises RefusedError: with a time to retry after, if a retry may be served
        """
        work = chain.work + first_seconds
        route, now = exchange.route, self._clock.now()
        elapsed = now - exchange.request.received
        estimate = RequestEstimate(
            total_wait=chain.total_wait,
            urgent_wait=chain.urgent_wait,
            service_time=work,
            remaining=exchange.event_deadline - now,
            deadline_remaining=exchange.caller_deadline - now,
            objective_remaining=route.objective - exchange.prior_wait - elapsed,
            elapsed_share=exchange.prior_wait / route.timeout if route.timeout else 0.0,
        )
        decision = self._policy.decide(estimate)
        if decision.admitted:
            return
        retry = decision.retry_window
        self._decisions.log_decision(
            "admission",
            request=exchange.request.request_id,
            route=route.name,
            reason=decision.reason,
            waited_ms=round(exchange.prior_wait * 1000),
            final=retry is None,
        )
        raise create_error(
            exchange,
            RefusalCode.OVERLOADED,
            f"{decision.reason}: {estimate.urgent_wait:.1f} of"
            f" {estimate.total_wait:.1f} s of queue, {work:.1f} s of work,"
            f" {estimate.remaining:.1f} s left",
            retry_after=None if retry is None else retry.draw(self._random.random()),
        )

    def check_target(self, exchange: RelayExchange) -> None:
        """Refuse a request whose stages have ended too late to send it to a target.

        :raises RefusedError: if the caller's deadline is over, or the caller abandons
            the stream before a target can begin to answer
        """
        left = exchange.event_deadline - self._clock.now()
        if left > MIN_ATTEMPT_SECONDS:
            return
        self._decisions.log_decision(
            "too-late",
            request=exchange.request.request_id,
            route=exchange.route.name,
            left_ms=round(left * 1000),
        )
        raise create_error(
            exchange, RefusalCode.OVERLOADED, "its stages ended after the deadline"
        )
