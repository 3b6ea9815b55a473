"""How much is asked of one quota here."""

from __future__ import annotations

import math

__all__ = ("DemandMeter",)

#: seconds over which demand is averaged
AVERAGED = 5.0
#: factor by which demand counts as unchanged
STEADY = 1.3
#: standard deviations of the average that count as chance
CHANCE = 2.0


class DemandMeter:
    """Averages demand and finds how much of it the others already know.

    Shares of all instances add up to one only if each counts the same demand. An
    instance whose demand has just risen would take a greater share before the
    others have heard of it and given some up, and the quota would be overrun by
    as much. So a rise counts here after the time in which the others have heard
    of it (the least of that time counts, with some room for chance) and a fall
    at once.
    """

    def __init__(self, now: float) -> None:
        self.rate = 0.0
        self._asked = 0
        self._rolled = now
        self._turned = now
        self._least = math.inf
        self._least_before = math.inf

    def count(self) -> None:
        """Record that a request has asked."""
        self._asked += 1

    def roll(self, settling: float, young: bool, now: float) -> None:
        """Take what was asked since the last call into the average.

        :param settling: seconds in which the others hear of a change.
        :param young: whether the average still rises from nothing, so that its
            least would be too low.
        """
        passed = now - self._rolled
        if passed <= 0:
            return
        weight = 1 - math.exp(-passed / AVERAGED)
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
    def known(self) -> float:
        """Demand that the others know, in requests per second."""
        least = min(self._least, self._least_before)
        if math.isinf(least):
            return self.rate
        chance = CHANCE * math.sqrt(least / (2 * AVERAGED))
        return min(self.rate, least * STEADY + chance)
