"""Budgets that bound extra calls to a share of the ordinary ones."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ("Budget", "BudgetRule")


@dataclass(frozen=True, slots=True, kw_only=True)
class BudgetRule:
    """How many extra calls are allowed.

    :param share: extra calls for each ordinary one.
    :param burst: most extra calls that can be saved up.
    :param per_second: extra calls each second whatever the traffic, so that an
        instance with hardly any traffic can still repeat a call.
    """

    share: float
    burst: float
    per_second: float = 0.0


class Budget:
    """A token bucket filled by ordinary calls.

    In a general failure every call fails, and repeating each of them doubles or
    triples the load on what is already failing; one notices targets that stay
    overloaded after the fault is gone. As extra calls are bounded by a share of
    the ordinary ones, the load can't rise by more than that share.
    """

    def __init__(self, rule: BudgetRule, now: float) -> None:
        self._rule = rule
        self._tokens = rule.burst
        self._refilled = now
        self.granted = 0
        self.denied = 0

    def record_request(self, now: float) -> None:
        """Count one ordinary call, which earns a share of an extra one."""
        self._refill(now)
        self._tokens = min(self._rule.burst, self._tokens + self._rule.share)

    def try_spend(self, now: float) -> bool:
        """Spend one extra call; ``False`` if there is none left."""
        self._refill(now)
        if self._tokens < 1:
            self.denied += 1
            return False
        self._tokens -= 1
        self.granted += 1
        return True

    def _refill(self, now: float) -> None:
        earned = (now - self._refilled) * self._rule.per_second
        self._refilled = now
        self._tokens = min(self._rule.burst, self._tokens + max(0.0, earned))
