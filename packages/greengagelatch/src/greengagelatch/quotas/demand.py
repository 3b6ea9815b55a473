"""How much is asked of one quota here."""

from __future__ import annotations

import math

__all__ = ("DemandMeter",)

#: seconds over which demand is averaged, at least
AVERAGED = 5.0
#: the same as a part of the time in which a change is known everywhere: what
#: changes faster can't be followed, and its noise is heard of too late
AVERAGED_PART = 0.5
#: seconds without requests that are presumed before the first one: it would else
#: count as a hundred in a second if the average was taken just after it
PRESUMED = 2.0
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
        self._averaged = AVERAGED
        self._asked = 0
        self._began = now
        self._rolled = now
        self._turned = now
        self._least = math.inf
        self._least_before = math.inf

    def record_request(self) -> None:
        """Record that a request has asked."""
        self._asked += 1

    def update(self, settling: float, young: bool, now: float) -> None:
        """Take what was asked since the last call into the average.

        :param settling: seconds in which the others hear of a change.
        :param young: whether the average is still of too short a time, so that its
            least would be too low.
        """
        passed = now - self._rolled
        if passed <= 0:
            return
        self._averaged = max(AVERAGED, AVERAGED_PART * settling)
        # a plain mean at first: an average that slowly rose from nothing would be
        # told as a demand that is too low, and the others would take what is left
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
        """Demand that the others know, in requests per second."""
        least = min(self._least, self._least_before)
        if math.isinf(least):
            return self.rate
        # of the present rate: after a while without a request the least is zero
        chance = CHANCE * math.sqrt(self.rate / (2 * self._averaged))
        return min(self.rate, least * STEADY + chance)
