"""Load of one target as this instance estimates it."""

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

#: changes of the number in flight that are kept, to match reports that arrive late
HISTORY = 1024


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetView:
    """Snapshot of one target for load balancing."""

    target: Target
    #: calls of this instance in flight at the target
    own_in_flight: int
    #: those among them that are long calls of the service
    own_long_in_flight: int
    #: estimated calls in flight at the target, of all instances
    expected_in_flight: float
    #: concurrency limit over all instances
    limit: float
    #: standard deviation of ``expected_in_flight``, which grows with a report's age
    deviation: float = 0.0
    #: calls that this instance may have there whatever the load of the others
    guaranteed: int = 0
    #: further calls that it may send there while calls are queued on all instances
    burst_allowance: int = 0
    #: average latency of its calls, as a multiple of the service's median
    slowness: float = 1.0
    #: whether it is in this instance's data centre
    local: bool = True
    #: whether it is ejected and gets at most a probe
    ejected: bool = False
    #: whether its circuit breaker is half-open, so that it may get a probe now
    half_open: bool = False
    cached_prefixes: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class Estimate:
    """A mean and its standard deviation."""

    mean: float
    deviation: float


class TargetLoad:
    """Calls in flight, concurrency limit and circuit breaker of one target."""

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
        #: random offset that rounds this instance's share of the limit: if every
        #: instance rounded up, many of them would exceed a small limit many times
        self.rounding_offset = random_source.random()
        self._history: deque[tuple[float, int]] = deque(
            [(float("-inf"), 0)], maxlen=HISTORY
        )
        self._report: LoadReport | None = None
        #: random offset that rounds this instance's share of the reported free
        #: capacity
        self._report_rounding_offset = 0.0
        #: calls at the target, summed over all reports, and the number of reports
        self.reported = 0.0
        self.reports = 0

    def adjust_in_flight(self, step: int, *, long: bool, now: float) -> None:
        """Add ``step``, one or minus one, to the calls in flight."""
        self.own_in_flight += step
        if long:
            self.own_long_in_flight += step
        self._history.append((now, self.own_in_flight))

    def is_new(self, report: LoadReport) -> bool:
        """Whether a report has not been applied yet."""
        return report is not self._report

    def apply_report(self, report: LoadReport, longest: float, capacity: float) -> None:
        """Apply a new load report.

        :param longest: seconds that the longest calls take without load.
        :param capacity: calls that the target should run concurrently.
        """
        self._report = report
        self._report_rounding_offset = self._random.random()
        self.reported += report.in_flight + report.queued
        self.reports += 1
        self.limit.update_capacity(capacity, longest)

    def count_reported_others(self) -> float | None:
        """Return the calls of other instances by the latest report, if there is one.

        The report counts this instance's calls too, so those in flight when the
        report was taken are subtracted.
        """
        report = self._report
        if report is None:
            return None
        return max(
            0.0, report.in_flight + report.queued - self._count_own_at_report(report)
        )

    def estimate_others(
        self, now: float, usual: float, call_duration: float
    ) -> Estimate:
        """Return the estimated calls of other instances in flight at the target.

        The older the report, the greater the weight of ``usual``, the mean over the
        service's targets: otherwise a target that was idle at its last report would
        get the calls of every instance at once.

        :param call_duration: mean duration of a call in seconds. A report stays valid
            for about as long as the calls that it counted are running.
        """
        others = self.count_reported_others()
        if others is None or self._report is None:
            return Estimate(usual, sqrt(usual))
        weight = exp(-max(0.0, now - self._report.taken) / call_duration)
        mean = weight * others + (1 - weight) * usual
        return Estimate(mean, sqrt((1 - weight * weight) * usual))

    def count_burst_allowance(self, senders: float) -> int:
        """Return how many more calls this instance may send under contention.

        While calls are queued on all instances, each of them sees the same free
        capacity in the same report; if all filled it, the target would get far more
        calls than its limit. So each uses only its share until the next report.
        """
        report = self._report
        if report is None:
            return 0
        free = max(0.0, self.limit.value - report.in_flight - report.queued)
        taken = max(0, self.own_in_flight - self._count_own_at_report(report))
        return int(free / senders + self._report_rounding_offset) - taken

    def _count_own_at_report(self, report: LoadReport) -> int:
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
        senders: float,
        local: bool,
        ejected: bool,
        half_open: bool,
    ) -> TargetView:
        """Return an immutable snapshot for load balancing."""
        report = candidate.report
        return TargetView(
            target=candidate.target,
            own_in_flight=self.own_in_flight,
            own_long_in_flight=self.own_long_in_flight,
            expected_in_flight=self.own_in_flight + others.mean,
            deviation=others.deviation,
            limit=self.limit.value,
            guaranteed=int(self.limit.value / senders + self.rounding_offset),
            burst_allowance=self.count_burst_allowance(senders),
            slowness=self.breaker.slowness,
            local=local,
            ejected=ejected,
            half_open=half_open,
            cached_prefixes=frozenset() if report is None else report.cached_prefixes,
        )
