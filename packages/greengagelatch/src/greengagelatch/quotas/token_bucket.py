"""Token bucket whose rate is a share that changes."""

from __future__ import annotations

__all__ = ("TokenBucket",)

#: what a bucket holds at least: a smaller one would never let a request through
LEAST_CAPACITY = 1.0


class TokenBucket:
    """Holds what may be used at once and is refilled at a rate.

    It can be overdrawn by what is known only after the fact, such as tokens.

    :param rate: units per second.
    :param burst: seconds' worth of the rate that it holds.
    """

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self._rate = rate
        self._burst = burst
        self._level = self._capacity
        self._filled = now

    @property
    def _capacity(self) -> float:
        return max(LEAST_CAPACITY, self._rate * self._burst)

    def set_rate(self, rate: float, burst: float, now: float) -> None:
        """Change the rate; what is held is kept as far as there is room for it."""
        self._fill(now)
        self._rate = rate
        self._burst = burst
        self._level = min(self._level, self._capacity)

    def measure_wait(self, amount: float, now: float) -> float:
        """Return the seconds until ``amount`` is there; 0: it is."""
        self._fill(now)
        missing = amount - self._level
        if missing <= 0:
            return 0.0
        return missing / self._rate if self._rate > 0 else float("inf")

    def spend(self, amount: float) -> None:
        """Use ``amount``, or give it back where it is negative."""
        self._level = min(self._level - amount, self._capacity)

    def _fill(self, now: float) -> None:
        # a clock reading may be older than that of an earlier call
        passed = max(0.0, now - self._filled)
        self._level = min(self._level + passed * self._rate, self._capacity)
        self._filled = max(now, self._filled)
