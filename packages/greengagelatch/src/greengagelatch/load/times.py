"""Durations of one service's calls by kind of call."""

from __future__ import annotations

from collections.abc import Hashable

from . import Outcome, OutcomeKind, Ticket
from .concurrency import ConcurrencyTuner
from .durations import DurationTracker, create_first_token_kind
from .safety_factor import SafetyFactor

__all__ = ("CallTimes", "CallKind", "find_kind")

#: pipeline and stage; calls of one kind take about the same time
CallKind = tuple[str, str]

#: ratio of the longest to the shortest median of a service's kinds from which calls
#: are divided into long and short ones
LONG_RATIO = 4.0
#: seconds before the deadline from which a call that ends counts as too late: it was
#: abandoned at the deadline, but the clock may read slightly less
LATE_MARGIN = 0.01
#: percentile of the durations that is taken as safe, before the safety factor
SAFE_PERCENTILE = 95.0
#: approximate ratio of the 95th percentile to the median of calls under equal load
P95_RATIO = 2.0
#: part of a stage's allotted time that an unmeasured call is expected to take
PRIOR_SHARE = 0.3
#: initial mean duration in seconds, weight of a call in the moving average, and the
#: lowest mean in seconds
INITIAL_MEAN = 1.0
MEAN_WEIGHT = 0.05
MIN_MEAN = 0.001


def find_kind(ticket: Ticket) -> CallKind:
    """Return the kind of a ticket's call."""
    return (ticket.pipeline, ticket.stage)


class CallTimes:
    """Usual and safe durations of one service's calls, and the slowness of each.

    :param late_share: share of the calls started on busy targets that may miss
        their deadline.
    """

    def __init__(self, durations: DurationTracker, *, late_share: float) -> None:
        self._durations = durations
        self._safety_factor = SafetyFactor(late_share)
        self._kinds: set[CallKind] = set()
        self._mean = INITIAL_MEAN
        self._answers = 0
        self.concurrency = ConcurrencyTuner()

    @property
    def mean(self) -> float:
        """Moving average of the calls' durations in seconds."""
        return self._mean

    def estimate(
        self, kind: CallKind, allotted: float, percentile: float, now: float
    ) -> float:
        """Return seconds that a call takes once it has started.

        :param allotted: seconds of the deadline that are allotted to the stage; a
            part of them is the estimate until enough calls are measured.
        """
        prior = allotted * PRIOR_SHARE
        return self._durations.estimate(kind, percentile, now, prior)

    def estimate_safe(
        self, kind: CallKind, allotted: float, held: float, now: float
    ) -> float:
        """Return seconds within which all but the allowed share of calls end.

        :param held: mean number of calls in flight at a target.
        """
        slowdown = self.concurrency.estimate_slowdown(held + 1)
        # the high percentile already includes durations under high load, so only
        # the median is scaled up
        usual = self.estimate(kind, allotted, 50, now) * slowdown * P95_RATIO
        late = self.estimate(kind, allotted, SAFE_PERCENTILE, now) * min(1.0, slowdown)
        return max(usual, late) * self._safety_factor.find_factor(kind, now)

    def is_long(self, kind: CallKind, now: float) -> bool:
        """Whether calls of this kind are long ones of this service.

        The boundary is the geometric mean of the shortest and the longest measured
        median among the service's kinds. A service whose kinds take about the same
        time has no long calls.
        """
        self._kinds.add(kind)
        medians = [self._find_median(each, now, 0.0) for each in self._kinds]
        measured = [median for median in medians if median > 0]
        if not measured or max(measured) < LONG_RATIO * min(measured):
            return False
        boundary = (max(measured) * min(measured)) ** 0.5
        return self._find_median(kind, now, 0.0) > boundary

    def find_longest(self, now: float) -> float:
        """Return seconds that the longest kind takes without load, 0 if unknown."""
        find = self._durations.find_baseline
        return max((find(kind, now, 0.0) for kind in self._kinds), default=0.0)

    def find_baseline(self, kind: CallKind, seconds: float, now: float) -> float:
        """Return seconds that a kind takes without load, ``seconds`` if unknown."""
        return self._durations.find_baseline(kind, now, seconds)

    def record_end(self, ticket: Ticket, outcome: Outcome, now: float) -> None:
        """Record the outcome of a call.

        To be called after :meth:`compare_duration`, as it changes the usual durations.
        """
        kind = find_kind(ticket)
        late = now >= ticket.deadline - LATE_MARGIN
        match outcome.kind:
            case OutcomeKind.SUCCESS:
                self._safety_factor.record(kind, late=late, now=now)
                self._durations.record(kind, outcome.seconds, now)
                self._record_mean(outcome.seconds)
            case OutcomeKind.ABANDONED:
                if late:
                    self._safety_factor.record(kind, late=True, now=now)

    def compare_duration(self, ticket: Ticket, outcome: Outcome, now: float) -> float:
        """Return the ratio of a call's duration, or time per token, to the usual."""
        if not outcome.tokens:
            usual = self._find_median(find_kind(ticket), now, outcome.seconds)
            return _divide(outcome.seconds, usual)
        seconds = outcome.seconds / outcome.tokens
        kind = (ticket.pipeline, ticket.stage, "token")
        usual = self._find_median(kind, now, seconds)
        self._durations.record(kind, seconds, now)
        return _divide(seconds, usual)

    def compare_first_token(self, ticket: Ticket, seconds: float, now: float) -> float:
        """Return the ratio of a time to first token to the usual one."""
        kind = create_first_token_kind(ticket.pipeline, ticket.stage)
        usual = self._find_median(kind, now, seconds)
        self._durations.record(kind, seconds, now)
        return _divide(seconds, usual)

    def compare_elapsed(
        self, ticket: Ticket, elapsed: float, now: float, *, begun: bool
    ) -> float:
        """Return the ratio of a running call's age to the usual, 0 if unknown.

        :param begun: whether its first token was received.
        """
        usual = self._find_median(find_kind(ticket), now, 0.0)
        if not begun:
            kind = create_first_token_kind(ticket.pipeline, ticket.stage)
            usual = self._find_median(kind, now, usual)
        return elapsed / usual if usual > 0 else 0.0

    def _find_median(self, kind: Hashable, now: float, prior: float) -> float:
        return self._durations.estimate(kind, 50, now, prior)

    def _record_mean(self, seconds: float) -> None:
        self._answers += 1
        weight = max(MEAN_WEIGHT, 1 / self._answers)
        mean = self._mean + (seconds - self._mean) * weight
        self._mean = max(mean, MIN_MEAN)


def _divide(seconds: float, usual: float) -> float:
    return seconds / usual if usual > 0 else 1.0
