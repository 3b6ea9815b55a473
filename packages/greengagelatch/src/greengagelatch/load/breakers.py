"""Circuit breakers and outlier ejection of failing or slow targets."""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from math import ceil
from statistics import median_low
from typing import TypeVar

__all__ = (
    "Breaker",
    "BreakerRule",
    "BreakerState",
    "find_ejected",
    "trip_slow_targets",
)

#: identifies a target; must be orderable
Key = TypeVar("Key")


@dataclass(frozen=True, slots=True, kw_only=True)
class BreakerRule:
    """When a target is ejected, and for how long."""

    #: consecutive failures that open the breaker
    consecutive_failures: int = 3
    #: ratio of failed to recent calls that opens it
    failure_ratio: float = 0.5
    #: calls over which that ratio is averaged, with exponential weights
    calls: int = 10
    #: slowness that opens it, as a multiple of the median of the service's targets
    slowness: float = 4.0
    #: weight of one latency in the moving average, and latencies required before
    #: the target can count as slow
    slowness_weight: float = 0.2
    min_latencies: int = 3
    #: seconds that it stays open the first time, doubled on each consecutive
    #: ejection up to the longest
    min_ejection: float = 2.0
    max_ejection: float = 30.0
    #: largest share of a service's targets that may be ejected at once, rounded up
    ejected_share: float = 0.5


class BreakerState(Enum):
    """Which calls a target gets: all, none, or single probes."""

    CLOSED = "closed"
    OPEN = "open"
    #: half-open: one probe at a time checks whether the target has recovered
    HALF_OPEN = "probing"


class Breaker:
    """Circuit breaker of one target."""

    def __init__(self, rule: BreakerRule, random_source: random.Random) -> None:
        self._rule = rule
        self._random = random_source
        self._open = False
        self._probing = False
        self._open_until = 0.0
        self._ejection = rule.min_ejection
        self._consecutive_failures = 0
        self._failure_ratio = 0.0
        self._slowness = 1.0
        self._last_ratio = 1.0
        self._calls = 0
        self._latencies = 0

    @property
    def slowness(self) -> float:
        """Average latency of its calls, as a multiple of the service's median."""
        return self._slowness

    @property
    def ejection_score(self) -> float:
        """Rank for ejection among the targets of a service; higher is worse."""
        return self._failure_ratio * self._rule.slowness + self._slowness

    def read_state(self, now: float) -> BreakerState:
        """Return the state of the breaker at ``now``."""
        if not self._open:
            return BreakerState.CLOSED
        return BreakerState.OPEN if now < self._open_until else BreakerState.HALF_OPEN

    def find_probe_wait(self, now: float) -> float:
        """Return for how many seconds a probe could have been sent."""
        return now - self._open_until

    @property
    def is_slow(self) -> bool:
        """Whether there are enough latencies to compare the target with others."""
        return not self._open and self._latencies >= self._rule.min_latencies

    def record_success(self) -> bool:
        """Record an answer; return whether it closes the breaker."""
        self._consecutive_failures = 0
        self._record(0.0)
        return self._probing and self._conclude_probe()

    def record_failure(self, now: float) -> None:
        """Record a call that failed because of the target."""
        self._consecutive_failures += 1
        self._record(1.0)
        if self._open:
            # already open, and the time of the next probe is set
            return
        enough = self._calls >= self._rule.calls
        if self._consecutive_failures >= self._rule.consecutive_failures or (
            enough and self._failure_ratio > self._rule.failure_ratio
        ):
            self.trip(now)

    def record_latency(self, ratio: float) -> None:
        """Record a latency that was ``ratio`` times the service's median.

        This may be the duration of a call, the time to first token, the time per
        token, or the time since an unanswered call was sent. A target that has
        become ten times slower sends no answers for a long time, and would get
        more calls until then if only answers counted.
        """
        self._latencies += 1
        self._last_ratio = ratio
        self._slowness += (ratio - self._slowness) * self._rule.slowness_weight

    def begin_probe(self, now: float) -> None:
        """Record that a probe was sent.

        The next one is sent only after another ejection time, whatever the result
        of this one: a probe may be abandoned without any result.
        """
        self.trip(now)
        self._probing = True

    def trip(self, now: float) -> None:
        """Open the breaker for the present ejection time."""
        self._open = True
        # jitter, so that the instances don't all probe a weak target at once
        self._open_until = now + self._ejection * self._random.uniform(0.75, 1.25)
        self._ejection = min(self._ejection * 2, self._rule.max_ejection)

    def _conclude_probe(self) -> bool:
        self._probing = False
        if self._last_ratio > self._rule.slowness:
            return False
        self._open = False
        self._ejection = self._rule.min_ejection
        self._failure_ratio = 0.0
        self._latencies = 0
        self._slowness = self._last_ratio
        return True

    def _record(self, failed: float) -> None:
        self._calls += 1
        self._failure_ratio += (failed - self._failure_ratio) / min(
            self._calls, self._rule.calls
        )


def trip_slow_targets(
    breakers: Iterable[Breaker], rule: BreakerRule, now: float
) -> None:
    """Trip the breakers of targets that are much slower than their service's median.

    In a service that is slow as a whole no target exceeds the median by much. Such
    an overload is left to the concurrency limits, as ejecting targets would only
    make it worse.
    """
    known = tuple(breakers)
    if len(known) < 2:
        return
    usual = max(1.0, median_low(breaker.slowness for breaker in known))
    for breaker in known:
        if breaker.is_slow and breaker.slowness > rule.slowness * usual:
            breaker.trip(now)


def find_ejected(
    breakers: Iterable[tuple[Key, Breaker]], rule: BreakerRule, now: float
) -> frozenset[Key]:
    """Return the keys of the targets of one service that are ejected.

    An instance can be wrong about all targets at once, if its own network is at
    fault or the whole service is slow, and would then refuse calls of a service
    that others can reach. So only the worst targets are ejected, up to the rule's
    share, and never the last one.
    """
    known = tuple(breakers)
    bad = [
        (breaker.ejection_score, key)
        for key, breaker in known
        if breaker.read_state(now) is not BreakerState.CLOSED
    ]
    allowed = min(ceil(len(known) * rule.ejected_share), len(known) - 1)
    worst = sorted(bad, reverse=True)[: max(0, allowed)]
    return frozenset(key for _, key in worst)
