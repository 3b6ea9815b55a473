"""Admission control: admits a request or refuses it with a time to retry after."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass

from .retry_times import RetryWindow, find_retry_window

__all__ = (
    "AdmitAll",
    "AdmissionDecision",
    "RequestEstimate",
    "DeadlineAdmission",
    "RouteAdmission",
)

#: share of a route's timeout beyond which a caller's attempt counts as a retry; the
#: margin absorbs rounding of clocks and headers
RETRY_ELAPSED_SHARE = 0.04
#: seconds of safety margin on the estimate: without it, half of the requests that
#: queue for long miss their objective by a little
ESTIMATE_MARGIN_SECONDS = 0.1
#: seconds of queue up to which a request is admitted although it will be late: the
#: queue drains before another request would have to be refused for it
SHORT_QUEUE_SECONDS = 0.35
#: seconds of queue that late requests may fill. A retrying caller has about four
#: seconds left, so this limits late requests to a third of the makers' time while
#: first attempts could use all of it
LATE_QUEUE_SECONDS = 1.2


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestEstimate:
    """Estimates for one request; times in seconds from now."""

    #: queueing time behind everything that waits
    total_wait: float
    #: queueing time behind those requests only that can still meet their objective
    urgent_wait: float
    #: service time of its stages, and of its target until the answer begins
    service_time: float
    #: until the caller's deadline, or until it abandons this attempt as silent
    remaining: float
    #: until the caller's deadline; the silence starts anew with each attempt
    deadline_remaining: float
    #: until the latency objective is missed
    objective_remaining: float
    #: share of the route's timeout that had passed before this attempt was sent
    elapsed_share: float


@dataclass(frozen=True, slots=True)
class AdmissionDecision:
    """Whether a request is admitted, and if not, when to retry."""

    admitted: bool
    #: ``None`` for an admitted request, and for one that can't be served later either
    retry_window: RetryWindow | None = None
    reason: str = ""


class RouteAdmission(ABC):
    """Admits or refuses a request before any work is done for it."""

    @abstractmethod
    def decide(self, estimate: RequestEstimate) -> AdmissionDecision:
        """Return whether to admit a request."""


class DeadlineAdmission(RouteAdmission):
    """Admits requests that can meet their objective, and a bounded share of retries.

    It is made for bursts of one kind of request that last for some seconds and ask
    for twice the capacity of the makers. If all requests were admitted, the whole
    queue would finish late and occupy result memory meanwhile, which slows down the
    requests ahead of it. First attempts that can't meet their objective are therefore
    refused at once, while the caller still has time to retry after the burst. Retries
    are admitted even if late, as long as few of them wait: a late answer is worth
    little, but a caller that is refused twice gets none.

    A caller that can't be served before its deadline, whenever it returns, is not told
    to return.
    """

    def decide(self, estimate: RequestEstimate) -> AdmissionDecision:
        expected = estimate.urgent_wait + estimate.service_time
        if expected + ESTIMATE_MARGIN_SECONDS <= estimate.objective_remaining:
            return AdmissionDecision(True)
        if estimate.total_wait + estimate.service_time > estimate.remaining:
            return _refuse(estimate, "can't be answered before the deadline")
        if estimate.total_wait <= SHORT_QUEUE_SECONDS:
            return AdmissionDecision(True)
        if estimate.elapsed_share <= RETRY_ELAPSED_SHARE:
            return _refuse(estimate, "queue too long to meet the latency objective")
        if estimate.total_wait - estimate.urgent_wait > LATE_QUEUE_SECONDS:
            return _refuse(estimate, "too many late requests are queued already")
        return AdmissionDecision(True)


class AdmitAll(RouteAdmission):
    """Admits everything; a baseline for comparisons."""

    def decide(self, estimate: RequestEstimate) -> AdmissionDecision:
        return AdmissionDecision(True)


def _refuse(estimate: RequestEstimate, reason: str) -> AdmissionDecision:
    window = find_retry_window(
        drain_seconds=estimate.total_wait,
        service_time=estimate.service_time,
        remaining=estimate.deadline_remaining,
    )
    return AdmissionDecision(False, window, reason)
