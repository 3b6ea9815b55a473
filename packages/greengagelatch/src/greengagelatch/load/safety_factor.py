"""How much longer than usual a call is taken to last before it is started."""

from __future__ import annotations

from collections.abc import Hashable
from math import exp

__all__ = ("SafetyFactor",)

#: factor by which one call that ended too late lengthens what is assumed, at most
STEP = 0.15
#: bounds of the factor
LOWEST = 1.0
HIGHEST = 4.0
#: seconds without a call after which what was learnt begins to fade, and seconds in
#: which it then fades to a third
SILENCE = 10.0
MEMORY = 30.0


class SafetyFactor:
    """A factor for each kind of call, such that only a set share ends too late.

    Percentiles of measured durations are too low under overload, when it matters:
    the longest calls are given up and never measured. One notices calls that were
    started in good time by the measure and yet are cut by their deadline, again
    and again. Here each call that ends too late raises the factor, each that ends
    in time lowers it by as much as the allowed share makes up for; so the share of
    late ones settles at the allowed one, whatever the durations are. It fades only
    where no call ends at all: were calls refused for good, none could lower it.

    :param late_share: share of the started calls that may end too late.
    """

    def __init__(self, late_share: float) -> None:
        self._late_share = late_share
        self._factors: dict[Hashable, tuple[float, float]] = {}

    def find_factor(self, kind: Hashable, now: float) -> float:
        """Return the factor for a kind of call, 1 if nothing was learnt."""
        factor, updated = self._factors.get(kind, (1.0, now))
        silent = max(0.0, now - updated - SILENCE)
        return 1.0 + (factor - 1.0) * exp(-silent / MEMORY)

    def record(self, kind: Hashable, *, late: bool, now: float) -> None:
        """Take in how a call ended."""
        factor = self.find_factor(kind, now)
        share = 1 - self._late_share if late else -self._late_share
        factor = min(max(factor + STEP * share, LOWEST), HIGHEST)
        self._factors[kind] = (factor, now)
