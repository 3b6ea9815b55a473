"""Adaptive safety factors on the estimated durations of calls."""

from __future__ import annotations

from collections.abc import Hashable
from math import exp

__all__ = ("SafetyFactor",)

#: largest increase of the factor for one call that ended after its deadline
STEP = 0.15
#: bounds of the factor
MIN_FACTOR = 1.0
MAX_FACTOR = 4.0
#: seconds without a call after which the factor begins to decay, and time constant
#: of that decay: the seconds in which it falls to a third
DECAY_DELAY = 10.0
DECAY_TIME = 30.0


class SafetyFactor:
    """A factor for each kind of call, such that only a set share exceeds its deadline.

    Percentiles of measured durations are biased low under overload, as the longest
    calls are abandoned and never measured; calls started by such an estimate keep
    missing their deadlines. So each call that ends too late raises the factor, and
    each that ends in time lowers it in proportion to the allowed share, which makes
    the share of late calls converge to the allowed one for any distribution of
    durations. The factor decays only if no call ends at all: otherwise a kind whose
    calls are all refused could never recover.

    :param late_share: share of the started calls that may end too late.
    """

    def __init__(self, late_share: float) -> None:
        self._late_share = late_share
        self._factors: dict[Hashable, tuple[float, float]] = {}

    def find_factor(self, kind: Hashable, now: float) -> float:
        """Return the factor for a kind of call, 1 if none of it has ended yet."""
        factor, updated = self._factors.get(kind, (1.0, now))
        silent = max(0.0, now - updated - DECAY_DELAY)
        return 1.0 + (factor - 1.0) * exp(-silent / DECAY_TIME)

    def record(self, kind: Hashable, *, late: bool, now: float) -> None:
        """Record whether a call ended after its deadline."""
        factor = self.find_factor(kind, now)
        share = 1 - self._late_share if late else -self._late_share
        factor = min(max(factor + STEP * share, MIN_FACTOR), MAX_FACTOR)
        self._factors[kind] = (factor, now)
