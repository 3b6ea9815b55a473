"""Circuit breakers: targets that fail get probes instead of traffic."""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from math import ceil

__all__ = ("Breaker", "BreakerRule", "BreakerState", "find_ejected")


@dataclass(frozen=True, slots=True, kw_only=True)
class BreakerRule:
    """When a target is taken out of service, and for how long."""

    #: failures in a row that open the breaker
    failures: int = 3
    #: failed share of recent calls that opens it
    failed_share: float = 0.5
    #: calls over which that share is taken, by an exponentially weighted mean
    calls: int = 10
    #: slowness, as a multiple of the service's median, that opens it
    slowness: float = 4.0
    #: seconds it stays open the first time; doubled each time in a row
    first_pause: float = 1.0
    longest_pause: float = 30.0
    #: largest share of a service's targets that may be out at once, rounded up
    ejected_share: float = 0.5


class BreakerState(Enum):
    """What a target is given."""

    CLOSED = "closed"
    OPEN = "open"
    #: one call at a time, to see whether the target works again
    PROBING = "probing"


class Breaker:
    """Watches the calls to one target."""

    def __init__(self, rule: BreakerRule, random_source: random.Random) -> None:
        self._rule = rule
        self._random = random_source
        self._open = False
        self._until = 0.0
        self._pause = rule.first_pause
        self._in_a_row = 0
        self._failed = 0.0
        self._slowness = 1.0
        self._calls = 0

    @property
    def slowness(self) -> float:
        """How long its calls take, as a multiple of the service's median."""
        return self._slowness

    @property
    def badness(self) -> float:
        """How bad the target is, to compare it with others of its service."""
        return self._failed * self._rule.slowness + self._slowness

    def read_state(self, now: float) -> BreakerState:
        """Return what the target may be given at ``now``."""
        if not self._open:
            return BreakerState.CLOSED
        return BreakerState.OPEN if now < self._until else BreakerState.PROBING

    def note_success(self, ratio: float, now: float) -> None:
        """Take in an answer that took ``ratio`` times the service's median."""
        self._in_a_row = 0
        self._note(0.0)
        self._note_slowness(ratio)
        if self._open:
            self._settle_probe(ratio, now)
        elif self._slowness > self._rule.slowness and self._calls >= 3:
            self._trip(now)

    def note_failure(self, now: float) -> None:
        """Take in a call without an answer that is the target's doing."""
        self._in_a_row += 1
        self._note(1.0)
        if self._open:
            # calls sent before it opened fail late: only a probe's counts
            if now >= self._until:
                self._trip(now)
            return
        enough = self._calls >= self._rule.calls
        if self._in_a_row >= self._rule.failures or (
            enough and self._failed > self._rule.failed_share
        ):
            self._trip(now)

    def note_overdue(self, ratio: float, now: float) -> None:
        """Take in a call without an answer yet after ``ratio`` times the median.

        A target that has become ten times slower answers nothing for a long time;
        waiting for its answers would send it work all the while.
        """
        self._note_slowness(ratio)
        if not self._open and self._slowness > self._rule.slowness:
            self._trip(now)

    def _settle_probe(self, ratio: float, now: float) -> None:
        if now < self._until:
            return
        if ratio > self._rule.slowness:
            self._trip(now)
            return
        self._open = False
        self._pause = self._rule.first_pause
        self._failed = 0.0
        self._slowness = ratio

    def _trip(self, now: float) -> None:
        self._open = True
        # jitter: or all instances would probe a weak target at the same moment
        self._until = now + self._pause * self._random.uniform(0.75, 1.25)
        self._pause = min(self._pause * 2, self._rule.longest_pause)

    def _note(self, failed: float) -> None:
        self._calls += 1
        self._failed += (failed - self._failed) / min(self._calls, self._rule.calls)

    def _note_slowness(self, ratio: float) -> None:
        self._slowness += (ratio - self._slowness) / min(
            max(self._calls, 1), self._rule.calls
        )


def find_ejected(
    breakers: Iterable[tuple[str, Breaker]], rule: BreakerRule, now: float
) -> frozenset[str]:
    """Return which targets of one service are out, by target id.

    One instance's view may be wrong about all targets at once, when its own network
    is at fault or the whole service is slow. It would then stop serving a service
    that others reach. So only the worst are out, up to the rule's share, and the
    last one never is.
    """
    known = tuple(breakers)
    bad = [
        (breaker.badness, target_id)
        for target_id, breaker in known
        if breaker.read_state(now) is not BreakerState.CLOSED
    ]
    allowed = min(ceil(len(known) * rule.ejected_share), len(known) - 1)
    worst = sorted(bad, reverse=True)[: max(0, allowed)]
    return frozenset(target_id for _, target_id in worst)
