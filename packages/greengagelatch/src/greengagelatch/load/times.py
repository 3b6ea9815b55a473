"""How long the calls of one service take, by kind of call."""

from __future__ import annotations

from collections.abc import Hashable

from . import Outcome, OutcomeKind, Ticket
from .safety_factor import SafetyFactor
from .durations import DurationTracker, create_first_token_kind
from .concurrency import ConcurrencyTuner

__all__ = ("CallTimes", "Kind", "find_kind")

#: pipeline and stage: calls of one kind take about the same time
Kind = tuple[str, str]

#: longest over shortest median of a service's kinds from which it has long calls
LONG_RATIO = 4.0
#: seconds before the deadline at which a call that ends counts as too late: it was
#: given up at the deadline, which the clock may show slightly early
LATE_MARGIN = 0.01
#: percentile of the durations that is taken as safe, before any caution
SAFE_PERCENTILE = 95.0
#: 95th percentile over median of calls under one and the same load, about
SPREAD = 2.0
#: part of a stage's time that a call takes by expectation before any was measured
PRIOR_SHARE = 0.3
#: seconds that a call is taken to last before any was made, weight of later ones in
#: the mean, and its lowest value
FIRST_MEAN = 1.0
MEAN_WEIGHT = 0.05
SHORTEST_MEAN = 0.001


def find_kind(ticket: Ticket) -> Kind:
    """Return the kind of a ticket's call."""
    return (ticket.pipeline, ticket.stage)


class CallTimes:
    """Durations of one service's calls: what is usual, safe, long and slow.

    :param late_share: share of the calls started on busy targets that may yet end
        too late.
    """

    def __init__(self, durations: DurationTracker, *, late_share: float) -> None:
        self._durations = durations
        self._caution = SafetyFactor(late_share)
        self._kinds: set[Kind] = set()
        self._mean = FIRST_MEAN
        self._answers = 0
        self.concurrency = ConcurrencyTuner()

    @property
    def mean(self) -> float:
        """Seconds that a call lasts, mean over the latest calls."""
        return self._mean

    def estimate(
        self, kind: Kind, allotted: float, percentile: float, now: float
    ) -> float:
        """Return seconds that a call takes once it has started.

        :param allotted: seconds of the deadline that are meant for the stage; until
            some calls were measured, one is taken to need a part of them.
        """
        prior = allotted * PRIOR_SHARE
        return self._durations.estimate(kind, percentile, now, prior)

    def estimate_safe(
        self, kind: Kind, allotted: float, held: float, now: float
    ) -> float:
        """Return seconds within which all but a few of such calls end.

        :param held: calls that a target holds, on average.
        """
        slowdown = self.concurrency.estimate_slowdown(held + 1)
        # percentiles contain the times of high load too, so only the median is
        # scaled beyond them
        usual = self.estimate(kind, allotted, 50, now) * slowdown * SPREAD
        late = self.estimate(kind, allotted, SAFE_PERCENTILE, now) * min(1.0, slowdown)
        return max(usual, late) * self._caution.find_factor(kind, now)

    def is_long(self, kind: Kind, now: float) -> bool:
        """Whether the call belongs to the long ones of this service.

        The boundary lies between the shortest and the longest kind that the service
        is called with, by measured medians; a service whose kinds take about the
        same time has no long calls.
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

    def find_baseline(self, kind: Kind, seconds: float, now: float) -> float:
        """Return seconds that a kind takes without load, ``seconds`` if unknown."""
        return self._durations.find_baseline(kind, now, seconds)

    def record_end(self, ticket: Ticket, outcome: Outcome, now: float) -> None:
        """Take in how a call ended; after its time was rated, as it changes that."""
        kind = find_kind(ticket)
        late = now >= ticket.deadline - LATE_MARGIN
        match outcome.kind:
            case OutcomeKind.SUCCESS:
                self._caution.record(kind, late=late, now=now)
                self._durations.record(kind, outcome.seconds, now)
                self._note_mean(outcome.seconds)
            case OutcomeKind.ABANDONED:
                if late:
                    self._caution.record(kind, late=True, now=now)

    def compare_end(self, ticket: Ticket, outcome: Outcome, now: float) -> float:
        """Return a call's time over the usual one; of a stream, that of one token."""
        if not outcome.tokens:
            usual = self._find_median(find_kind(ticket), now, outcome.seconds)
            return _divide(outcome.seconds, usual)
        seconds = outcome.seconds / outcome.tokens
        kind = (ticket.pipeline, ticket.stage, "token")
        usual = self._find_median(kind, now, seconds)
        self._durations.record(kind, seconds, now)
        return _divide(seconds, usual)

    def compare_first_token(self, ticket: Ticket, seconds: float, now: float) -> float:
        """Return the time to a first token over the usual one."""
        kind = create_first_token_kind(ticket.pipeline, ticket.stage)
        usual = self._find_median(kind, now, seconds)
        self._durations.record(kind, seconds, now)
        return _divide(seconds, usual)

    def compare_elapsed(
        self, ticket: Ticket, elapsed: float, now: float, *, begun: bool
    ) -> float:
        """Return how long a call is out over what is usual, 0 if that is unknown.

        :param begun: whether its first token has come.
        """
        usual = self._find_median(find_kind(ticket), now, 0.0)
        if not begun:
            kind = create_first_token_kind(ticket.pipeline, ticket.stage)
            usual = self._find_median(kind, now, usual)
        return elapsed / usual if usual > 0 else 0.0

    def _find_median(self, kind: Hashable, now: float, prior: float) -> float:
        return self._durations.estimate(kind, 50, now, prior)

    def _note_mean(self, seconds: float) -> None:
        self._answers += 1
        weight = max(MEAN_WEIGHT, 1 / self._answers)
        mean = self._mean + (seconds - self._mean) * weight
        self._mean = max(mean, SHORTEST_MEAN)


def _divide(seconds: float, usual: float) -> float:
    return seconds / usual if usual > 0 else 1.0
