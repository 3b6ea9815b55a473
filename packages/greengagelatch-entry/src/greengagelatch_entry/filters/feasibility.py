"""Admission control: refuses requests that can't complete within their deadline."""

from __future__ import annotations

from typing import TYPE_CHECKING

from greengagelatch.config.policy_resolution import resolve_policy
from greengagelatch.load.admission import Arrival
from greengagelatch.request import Answer

from . import Filter
from .lookup import SNAPSHOT_KEY
from .traffic_split import PIPELINE_KEY

if TYPE_CHECKING:
    from greengagelatch.clock import Clock
    from greengagelatch.load.admission import Admission

    from ..metrics import Metrics
    from . import Exchange, Handler

__all__ = ("FeasibilityFilter",)


class FeasibilityFilter(Filter):
    """Applies admission control before any stage of a request is called.

    It is the last filter before the pipeline runs, as it needs to know the pipeline
    that the policies selected. A request with an idempotency key has already claimed
    it; if the request is refused here, the claim is released, as nothing ran.
    """

    def __init__(self, *, admission: Admission, clock: Clock, metrics: Metrics) -> None:
        self._admission = admission
        self._clock = clock
        self._metrics = metrics

    async def apply(self, exchange: Exchange, proceed: Handler) -> Answer:
        request = exchange.request
        snapshot = exchange.context[SNAPSHOT_KEY]
        policy = resolve_policy(snapshot, request.workspace, request.pipeline)
        arrival = Arrival(
            workspace=request.workspace,
            pipeline=exchange.context[PIPELINE_KEY],
            priority=policy.priority,
            deadline=request.deadline,
            weights=policy.weights,
        )
        refusal = self._admission.check(arrival, self._clock.now())
        if refusal is None:
            return await proceed(exchange)
        self._metrics.count(f"admission.refused.{refusal.code.value}")
        return Answer(
            request_id=request.request_id, verdict=exchange.verdict, refusal=refusal
        )
