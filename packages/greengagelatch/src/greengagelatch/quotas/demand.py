"""Measurement of this instance's demand on one quota."""

from __future__ import annotations

import math

__all__ = ("DemandMeter",)

#: minimum seconds over which demand is averaged
MIN_AVERAGING_TIME = 5.0
#: the same as a fraction of the propagation time: the others can't follow faster
#: changes, and would receive their noise too late
AVERAGING_FRACTION = 0.5
#: seconds without requests that are assumed before the first one: otherwise it would
#: count as a hundred in a second if the average was taken just after it
ASSUMED_IDLE = 2.0
#: factor up to which a rise of demand counts as unchanged
STEADY_FACTOR = 1.3
#: standard deviations of the average that count as noise
NOISE_DEVIATIONS = 2.0


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
        self._averaging_time = MIN_AVERAGING_TIME
        self._requests = 0
        self._created = now
        self._updated = now
        self._window_start = now
        self._window_min = math.inf
        self._previous_min = math.inf

    def record_request(self) -> None:
        """Count one request."""
        self._requests += 1

    def update(self, propagation_time: float, settling: bool, now: float) -> None:
        """Update the average with the requests since the last call.

        :param propagation_time: propagation time of a change in seconds.
        :param settling: whether the average covers too short a time, so that its
            minimum would be too low.
        """
        elapsed = now - self._updated
        if elapsed <= 0:
            return
        self._averaging_time = max(
            MIN_AVERAGING_TIME, AVERAGING_FRACTION * propagation_time
        )
        # an unweighted average at first: one that rises slowly from zero would report
        # too low a demand, and the others would take the remaining share
        first_weight = elapsed / (now - self._created + ASSUMED_IDLE)
        weight = max(first_weight, 1 - math.exp(-elapsed / self._averaging_time))
        self.rate += (self._requests / elapsed - self.rate) * weight
        self._requests = 0
        self._updated = now
        if settling:
            self._window_start = now
            return
        if now - self._window_start >= propagation_time:
            self._window_start = now
            self._previous_min = self._window_min
            self._window_min = math.inf
        self._window_min = min(self._window_min, self.rate)

    @property
    def propagated_rate(self) -> float:
        """Demand that has propagated to the others, in requests per second."""
        lowest = min(self._window_min, self._previous_min)
        if math.isinf(lowest):
            return self.rate
        # from the present rate: the minimum is zero after a time without requests
        noise = NOISE_DEVIATIONS * math.sqrt(self.rate / (2 * self._averaging_time))
        return min(self.rate, lowest * STEADY_FACTOR + noise)
