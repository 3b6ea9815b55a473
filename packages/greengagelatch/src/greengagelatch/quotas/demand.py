"""Measurement of this instance's demand on one quota."""

from __future__ import annotations

import math

__all__ = ("DemandMeter",)

#: minimum seconds over which demand is averaged
AVERAGED = 5.0
#: the same as a fraction of the propagation time: the others can't follow faster
#: changes, and would receive their noise too late
AVERAGED_PART = 0.5
#: seconds without requests that are assumed before the first one: otherwise it would
#: count as a hundred in a second if the average was taken just after it
PRESUMED = 2.0
#: factor up to which a rise of demand counts as unchanged
STEADY = 1.3
#: standard deviations of the average that count as noise
CHANCE = 2.0


class DemandMeter:
    """Averages demand and tracks how much of it has propagated to the others.

    The shares of all instances add up to one only if all of them use the same
    demand. An instance whose demand has just risen would take a greater share
    before the others reduce theirs, and the quota would be exceeded by as much. So
    a rise takes effect here only after the propagation time (the minimum over that
    time counts, with a margin for noise), but a fall takes effect at once.
    """

    def __init__(self, now: float) -> None:
        self.rate = 0.0
        self._averaged = AVERAGED
        self._asked = 0
        self._began = now
        self._rolled = now
        self._turned = now
        self._least = math.inf
        self._least_before = math.inf

    def record_request(self) -> None:
        """Count one request."""
        self._asked += 1

    def update(self, settling: float, young: bool, now: float) -> None:
        """Update the average with the requests since the last call.

        :param settling: propagation time of a change in seconds.
        :param young: whether the average covers too short a time, so that its
            minimum would be too low.
        """
        passed = now - self._rolled
        if passed <= 0:
            return
        self._averaged = max(AVERAGED, AVERAGED_PART * settling)
        # an unweighted average at first: one that rises slowly from zero would report
        # too low a demand, and the others would take the remaining share
        mean = passed / (now - self._began + PRESUMED)
        weight = max(mean, 1 - math.exp(-passed / self._averaged))
        self.rate += (self._asked / passed - self.rate) * weight
        self._asked = 0
        self._rolled = now
        if young:
            self._turned = now
            return
        if now - self._turned >= settling:
            self._turned = now
            self._least_before = self._least
            self._least = math.inf
        self._least = min(self._least, self.rate)

    @property
    def propagated_rate(self) -> float:
        """Demand that has propagated to the others, in requests per second."""
        least = min(self._least, self._least_before)
        if math.isinf(least):
            return self.rate
        # from the present rate: the minimum is zero after a time without requests
        chance = CHANCE * math.sqrt(self.rate / (2 * self._averaged))
        return min(self.rate, least * STEADY + chance)
