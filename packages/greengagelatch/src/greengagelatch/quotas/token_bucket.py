"""Token bucket with a variable rate."""

from __future__ import annotations

__all__ = ("TokenBucket",)

#: minimum capacity of a bucket: a smaller one would never admit a request
MIN_CAPACITY = 1.0


class TokenBucket:
    """Token bucket that may be overdrawn.

    It is overdrawn by usage that is known only afterwards, such as generated tokens.

    :param rate: units refilled per second.
    :param burst: capacity, as seconds of the rate.
    """

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self._rate = rate
        self._burst = burst
        self._level = self._capacity
        self._refilled = now

    @property
    def _capacity(self) -> float:
        return max(MIN_CAPACITY, self._rate * self._burst)

    def set_rate(self, rate: float, burst: float, now: float) -> None:
        """Change the rate; the level is kept up to the new capacity."""
        self._refill(now)
        self._rate = rate
        self._burst = burst
        self._level = min(self._level, self._capacity)

    def measure_wait(self, amount: float, now: float) -> float:
        """Return the seconds until ``amount`` is available, 0 if it is now."""
        self._refill(now)
        missing = amount - self._level
        if missing <= 0:
            return 0.0
        return missing / self._rate if self._rate > 0 else float("inf")

    def spend(self, amount: float) -> None:
        """Spend ``amount``, or refund it if negative."""
        self._level = min(self._level - amount, self._capacity)

    def _refill(self, now: float) -> None:
        # a clock reading may be older than that of an earlier call
        passed = max(0.0, now - self._refilled)
        self._level = min(self._level + passed * self._rate, self._capacity)
        self._refilled = max(now, self._refilled)
