"""Circuit breakers: targets that fail get probes instead of traffic."""

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

#: what a target is known by; ordered
Key = TypeVar("Key")


@dataclass(frozen=True, slots=True, kw_only=True)
class BreakerRule:
    """When a target is taken out of service, and for how long."""

    #: failures in a row that open the breaker
    consecutive_failures: int = 3
    #: failed share of recent calls that opens it
    failure_ratio: float = 0.5
    #: calls over which that share is taken, by an exponentially weighted mean
    calls: int = 10
    #: slowness, as a multiple of the usual one of the service's targets, that opens it
    slowness: float = 4.0
    #: weight of one time in the slowness, and times that are needed
    slowness_weight: float = 0.2
    min_latencies: int = 3
    #: seconds it stays open the first time; doubled each time in a row
    min_ejection: float = 2.0
    max_ejection: float = 30.0
    #: largest share of a service's targets that may be out at once, rounded up
    ejected_share: float = 0.5


class BreakerState(Enum):
    """What a target is given."""

    CLOSED = "closed"
    OPEN = "open"
    #: one call at a time, to see whether the target works again
    HALF_OPEN = "probing"


class Breaker:
    """Watches the calls to one target."""

    def __init__(self, rule: BreakerRule, random_source: random.Random) -> None:
        self._rule = rule
        self._random = random_source
        self._open = False
        self._probing = False
        self._until = 0.0
        self._pause = rule.min_ejection
        self._in_a_row = 0
        self._failed = 0.0
        self._slowness = 1.0
        self._last_ratio = 1.0
        self._calls = 0
        self._timed = 0

    @property
    def slowness(self) -> float:
        """How long its calls take, as a multiple of the service's median."""
        return self._slowness

    @property
    def ejection_score(self) -> float:
        """How bad the target is, to compare it with others of its service."""
        return self._failed * self._rule.slowness + self._slowness

    def read_state(self, now: float) -> BreakerState:
        """Return what the target may be given at ``now``."""
        if not self._open:
            return BreakerState.CLOSED
        return BreakerState.OPEN if now < self._until else BreakerState.HALF_OPEN

    @property
    def is_slow(self) -> bool:
        """Whether enough is known to call the target slow, if others are not."""
        return not self._open and self._timed >= self._rule.min_latencies

    def record_success(self) -> bool:
        """Take in an answer; whether it brings the target back into service."""
        self._in_a_row = 0
        self._record(0.0)
        return self._probing and self._settle_probe()

    def record_failure(self, now: float) -> None:
        """Take in a call without an answer that is the target's doing."""
        self._in_a_row += 1
        self._record(1.0)
        if self._open:
            # it is out already, and the pause before the next probe is set
            return
        enough = self._calls >= self._rule.calls
        if self._in_a_row >= self._rule.consecutive_failures or (
            enough and self._failed > self._rule.failure_ratio
        ):
            self.trip(now)

    def record_latency(self, ratio: float) -> None:
        """Take in a time that was ``ratio`` times the service's median.

        It may be that of a whole call, of a first token, of each token, or how long
        a call has been out so far. A target that has become ten times slower
        answers nothing for a long time; waiting for its answers would send it work
        all the while.
        """
        self._timed += 1
        self._last_ratio = ratio
        self._slowness += (ratio - self._slowness) * self._rule.slowness_weight

    def begin_probe(self, now: float) -> None:
        """Take in that a call was sent to see whether the target works again.

        The next one follows after another pause only, whatever becomes of this one:
        it may well be given up without a word on the target.
        """
        self.trip(now)
        self._probing = True

    def trip(self, now: float) -> None:
        """Take the target out of service for a while."""
        self._open = True
        # jitter: or all instances would probe a weak target at the same moment
        self._until = now + self._pause * self._random.uniform(0.75, 1.25)
        self._pause = min(self._pause * 2, self._rule.max_ejection)

    def _settle_probe(self) -> bool:
        self._probing = False
        if self._last_ratio > self._rule.slowness:
            return False
        self._open = False
        self._pause = self._rule.min_ejection
        self._failed = 0.0
        self._timed = 0
        self._slowness = self._last_ratio
        return True

    def _record(self, failed: float) -> None:
        self._calls += 1
        self._failed += (failed - self._failed) / min(self._calls, self._rule.calls)


def trip_slow_targets(
    breakers: Iterable[Breaker], rule: BreakerRule, now: float
) -> None:
    """Trip the breakers of targets that are far slower than their service's others.

    Compared with the median of all, a service that is slow as a whole has no slow
    target: its load is a matter of limits, and taking targets out would only make
    it worse.
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
    """Return which targets of one service are out, by what each is known by.

    One instance's view may be wrong about all targets at once, when its own network
    is at fault or the whole service is slow. It would then stop serving a service
    that others reach. So only the worst are out, up to the rule's share, and the
    last one never is.
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
