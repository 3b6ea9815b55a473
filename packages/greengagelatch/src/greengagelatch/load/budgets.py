"""Retry budgets: bound retries and hedged calls to a share of first attempts."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ("Budget", "BudgetRule")


@dataclass(frozen=True, slots=True, kw_only=True)
class BudgetRule:
    """Parameters of a retry budget.

    :param share: retries earned by each first attempt.
    :param burst: most retries that can accumulate.
    :param per_second: retries earned each second whatever the traffic, so that an
        instance with hardly any traffic can still retry a call.
    """

    share: float
    burst: float
    per_second: float = 0.0


class Budget:
    """A token bucket that first attempts fill and retries drain.

    When every call fails, unbounded retries double or triple the load on targets
    that are already failing, and keep them overloaded after the fault is gone.
    With the budget, the load rises by no more than the configured share.
    """

    def __init__(self, rule: BudgetRule, now: float) -> None:
        self._rule = rule
        self._tokens = rule.burst
        self._refilled = now
        self.granted = 0
        self.denied = 0

    def record_request(self, now: float) -> None:
        """Count one first attempt, which earns a share of a retry."""
        self._refill(now)
        self._tokens = min(self._rule.burst, self._tokens + self._rule.share)

    def try_spend(self, now: float) -> bool:
        """Spend one retry; return ``False`` if the budget is exhausted."""
        self._refill(now)
        if self._tokens < 1:
            self.denied += 1
            return False
        self._tokens -= 1
        self.granted += 1
        return True

    def count_left(self, now: float) -> int:
        """Return the number of retries that can be spent now."""
        self._refill(now)
        return int(self._tokens)

    def _refill(self, now: float) -> None:
        earned = (now - self._refilled) * self._rule.per_second
        self._refilled = now
        self._tokens = min(self._rule.burst, self._tokens + max(0.0, earned))
