"""Whether a request is begun now, or refused with a time to come back."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass

__all__ = (
    "AdmitAll",
    "AdmissionDecision",
    "RequestEstimate",
    "DeadlineAdmission",
    "RouteAdmission",
)

#: share of a route's timeout that must have passed before a caller's attempt for it to
#: count as one that came back; clocks and headers round a little
RETRY_ELAPSED_SHARE = 0.04
#: seconds by which an answer may well come later than expected: begun without them,
#: half of all that wait for long are late by a little
ESTIMATE_MARGIN_SECONDS = 0.1
#: seconds of queue up to which a request that will be late is begun all the same: the
#: queue is gone before another one could be refused for it
SHORT_QUEUE_SECONDS = 0.35
#: seconds of queue that those may fill that will be late. They end in the four seconds
#: or so that a caller which came back has left, so this gives them a third of the
#: makers' time while newcomers could use it all
LATE_QUEUE_SECONDS = 1.2
#: bounds of the time to come back, in seconds
MIN_RETRY_AFTER = 0.3
MAX_RETRY_AFTER = 3.0
#: share of the time left within which a caller can come back
RETRY_AFTER_SHARE = 0.3


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestEstimate:
    """What is expected of a request; times in seconds from now on."""

    #: until the stages' queues reach one that goes behind all
    total_wait: float
    #: the same for one that goes before those that will be late anyway
    urgent_wait: float
    #: its own stages, and its target until the answer begins
    service_time: float
    #: until the answer stops being of use
    remaining: float
    #: until its objective is over
    objective_remaining: float
    #: share of the route's timeout that had passed before this attempt was sent
    elapsed_share: float


@dataclass(frozen=True, slots=True)
class AdmissionDecision:
    """Whether to begin, and if not, when to come back."""

    admitted: bool
    #: seconds
    retry_after: float = 0.0
    reason: str = ""


class RouteAdmission(ABC):
    """Decides on requests before anything is done for them."""

    @abstractmethod
    def decide(self, estimate: RequestEstimate) -> AdmissionDecision:
        """Return whether to begin a request."""


class DeadlineAdmission(RouteAdmission):
    """Begins what can be on time, and what came back as long as it is of use.

    Load pattern: a burst of one kind of request for some seconds, of twice what the
    makers can do. Were all begun, everything in the queue would end late and hold
    makers' room meanwhile, which slows those ahead of it. So newcomers that can't be
    on time are sent away until the burst has passed, at once, while they have time to
    come back. Those that came back are begun as long as few of them wait: each is
    worth little by then, yet a caller that is sent away twice gets nothing.
    """

    def decide(self, estimate: RequestEstimate) -> AdmissionDecision:
        expected = estimate.urgent_wait + estimate.service_time
        if expected + ESTIMATE_MARGIN_SECONDS <= estimate.objective_remaining:
            return AdmissionDecision(True)
        if estimate.total_wait + estimate.service_time > estimate.remaining:
            return _refuse(estimate, "can't be answered in time")
        if estimate.total_wait <= SHORT_QUEUE_SECONDS:
            return AdmissionDecision(True)
        if estimate.elapsed_share <= RETRY_ELAPSED_SHARE:
            return _refuse(estimate, "would be late behind the queue")
        if estimate.total_wait - estimate.urgent_wait > LATE_QUEUE_SECONDS:
            return _refuse(estimate, "too many that will be late wait")
        return AdmissionDecision(True)


class AdmitAll(RouteAdmission):
    """Begins everything; the baseline to compare with."""

    def decide(self, estimate: RequestEstimate) -> AdmissionDecision:
        return AdmissionDecision(True)


def _refuse(estimate: RequestEstimate, reason: str) -> AdmissionDecision:
    latest = min(MAX_RETRY_AFTER, estimate.remaining * RETRY_AFTER_SHARE)
    seconds = max(MIN_RETRY_AFTER, min(estimate.total_wait, latest))
    return AdmissionDecision(False, seconds, reason)
