"""What this instance knows of the load of one target."""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass
from math import exp, sqrt
from typing import TYPE_CHECKING

from .breakers import Breaker, BreakerRule
from .limits import AdaptiveLimit, LimitRule

if TYPE_CHECKING:
    from ..targets import Target
    from ..targets.directory import Candidate, LoadReport

__all__ = ("Estimate", "TargetLoad", "TargetView")

#: changes of the number in flight that are kept to be compared with a late report
HISTORY = 1024


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetView:
    """One target at one moment, as the choice between targets sees it."""

    target: Target
    #: calls of this instance that the target holds
    own_in_flight: int
    #: those of them that belong to the service's long calls
    own_long_in_flight: int
    #: calls that the target holds by expectation, those of all instances together
    expected_in_flight: float
    #: calls it should hold at most
    limit: float
    #: standard deviation of ``held``, as reports are old
    deviation: float = 0.0
    #: calls that this instance may have there whatever it believes of the others
    guaranteed: int = 0
    #: further calls that it may send there while calls wait everywhere
    burst_room: int = 0
    #: how long its calls take, as a multiple of the service's median
    slowness: float = 1.0
    #: whether it is in this instance's data centre
    local: bool = True
    #: whether it is out of service but for a probe
    ejected: bool = False
    #: whether it may be given a probe now
    half_open: bool = False
    cached_prefixes: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class Estimate:
    """An expected number and its standard deviation."""

    mean: float
    deviation: float


class TargetLoad:
    """Calls in flight, limit and breaker of one target."""

    def __init__(
        self,
        *,
        limit_rule: LimitRule,
        breaker_rule: BreakerRule,
        random_source: random.Random,
    ) -> None:
        self._random = random_source
        self.limit = AdaptiveLimit(limit_rule)
        self.breaker = Breaker(breaker_rule, random_source)
        self.own_in_flight = 0
        self.own_long_in_flight = 0
        #: rounds this instance's share of the limit: were it rounded up everywhere,
        #: many instances would together exceed a small limit many times over
        self.rounding_offset = random_source.random()
        self._history: deque[tuple[float, int]] = deque(
            [(float("-inf"), 0)], maxlen=HISTORY
        )
        self._report: LoadReport | None = None
        #: rounds this instance's share of the room that the report shows
        self._report_lot = 0.0
        #: calls held, summed over all reports, and the number of reports
        self.reported = 0.0
        self.reports = 0

    def adjust_in_flight(self, step: int, *, long: bool, now: float) -> None:
        """Count one call more or less in flight."""
        self.own_in_flight += step
        if long:
            self.own_long_in_flight += step
        self._history.append((now, self.own_in_flight))

    def is_new(self, report: LoadReport) -> bool:
        """Whether a report has not been taken in yet."""
        return report is not self._report

    def apply_report(self, report: LoadReport, longest: float, knee: float) -> None:
        """Take in a new report.

        :param longest: seconds that the longest calls take without load.
        :param knee: calls beyond which the service's targets only become slower.
        """
        self._report = report
        self._report_lot = self._random.random()
        self.reported += report.in_flight + report.queued
        self.reports += 1
        self.limit.update_capacity(knee, longest)

    def count_reported_others(self) -> float | None:
        """Return the calls of other instances by the newest report, if there is one.

        The report counts this instance's calls too, so what it had in flight when
        the report was taken is subtracted.
        """
        report = self._report
        if report is None:
            return None
        return max(0.0, report.in_flight + report.queued - self._count_then(report))

    def estimate_others(self, now: float, usual: float, memory: float) -> Estimate:
        """Return the calls of other instances that the target holds by expectation.

        The older the report, the more counts ``usual``, the mean over the service's
        targets: a target that looked idle a while ago would otherwise get the calls
        of every instance at once.

        :param memory: seconds that a call lasts. What a report says holds about as
            long as the calls that it counted are still there.
        """
        others = self.count_reported_others()
        if others is None or self._report is None:
            return Estimate(usual, sqrt(usual))
        weight = exp(-max(0.0, now - self._report.taken) / memory)
        mean = weight * others + (1 - weight) * usual
        return Estimate(mean, sqrt((1 - weight * weight) * usual))

    def count_burst_room(self, choosers: float) -> int:
        """Return how many more calls this instance may send in a rush.

        While calls wait everywhere, every instance sees the same free room in the
        same report and would fill it: one notices targets that hold far more than
        their limit. So each takes its share of that room until the next report.
        """
        report = self._report
        if report is None:
            return 0
        free = max(0.0, self.limit.value - report.in_flight - report.queued)
        taken = max(0, self.own_in_flight - self._count_then(report))
        return int(free / choosers + self._report_lot) - taken

    def _count_then(self, report: LoadReport) -> int:
        """Return this instance's calls in flight when the report was taken."""
        history = self._history
        while len(history) > 1 and history[1][0] <= report.taken:
            history.popleft()
        return history[0][1]

    def view(
        self,
        candidate: Candidate,
        *,
        others: Estimate,
        choosers: float,
        near: bool,
        ejected: bool,
        probing: bool,
    ) -> TargetView:
        """Return a frozen view for one choice."""
        report = candidate.report
        return TargetView(
            target=candidate.target,
            own_in_flight=self.own_in_flight,
            own_long_in_flight=self.own_long_in_flight,
            expected_in_flight=self.own_in_flight + others.mean,
            deviation=others.deviation,
            limit=self.limit.value,
            guaranteed=int(self.limit.value / choosers + self.rounding_offset),
            burst_room=self.count_burst_room(choosers),
            slowness=self.breaker.slowness,
            local=near,
            ejected=ejected,
            half_open=probing,
            cached_prefixes=frozenset() if report is None else report.cached_prefixes,
        )
