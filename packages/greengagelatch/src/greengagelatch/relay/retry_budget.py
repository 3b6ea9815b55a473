"""Retry budget: the share of one instance in a service's allowance for retries."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

__all__ = ("RetryBudget", "RetryBudgetRule")


@dataclass(frozen=True, slots=True, kw_only=True)
class RetryBudgetRule:
    """Retries that all instances together may send to one service.

    :param ratio: retries per request
    :param slack: retries per window regardless of traffic
    :param window: length of the sliding window in seconds
    """

    ratio: float = 0.2
    slack: float = 58.0
    window: float = 10.0


#: shares of the ratio and of the slack that are used: a margin, as windows slide and
#: the number of instances is known with a delay
USED_RATIO = 0.75
USED_SLACK = 0.6


class RetryBudget:
    """Counts requests and retries of one service over a sliding window.

    Each instance limits itself to its share without coordination, so that the bound
    also holds while some instances hang or are unreachable, when a retry storm is most
    likely.
    """

    def __init__(self, rule: RetryBudgetRule) -> None:
        self._rule = rule
        self._requests: deque[float] = deque()
        self._repeats: deque[float] = deque()

    def record_request(self, now: float) -> None:
        """Count a caller's request for the service."""
        self._requests.append(now)
        self._drop_old(now)

    def take(self, now: float, instances: int) -> bool:
        """Spend one retry; return ``False`` if this instance's share is used up."""
        if self.count_left(now, instances) < 1:
            return False
        self._repeats.append(now)
        return True

    def count_left(self, now: float, instances: int) -> int:
        """Return the number of retries that may be spent now."""
        self._drop_old(now)
        share = self._rule.slack * USED_SLACK / max(1, instances)
        # at least one, or an instance with little traffic could never retry
        allowed = max(1.0, share) + self._rule.ratio * USED_RATIO * len(self._requests)
        return max(0, int(allowed - len(self._repeats)))

    def _drop_old(self, now: float) -> None:
        horizon = now - self._rule.window
        for times in (self._requests, self._repeats):
            while times and times[0] < horizon:
                times.popleft()
