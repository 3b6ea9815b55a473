"""This instance's share of the repeats that a service allows to all instances."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

__all__ = ("RetryBudget", "RetryBudgetRule")


@dataclass(frozen=True, slots=True, kw_only=True)
class RetryBudgetRule:
    """Repeats that all instances together may send to one service.

    :param ratio: repeats for each request
    :param slack: repeats in a window whatever the traffic
    :param window: seconds
    """

    ratio: float = 0.2
    slack: float = 58.0
    window: float = 10.0


#: share of the ratio and of the slack that is used, as windows slide and
#: instances know each other's number with a lag
USED_RATIO = 0.75
USED_SLACK = 0.6


class RetryBudget:
    """Counts requests and repeats of one service over a sliding window.

    Each instance keeps to its own share without asking the others, so that the
    bound holds also while some of them stand still or can't be reached: a repeat
    storm is most likely just then.
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
        """Spend one repeat; ``False`` if this instance's share is used up."""
        if self.count_left(now, instances) < 1:
            return False
        self._repeats.append(now)
        return True

    def count_left(self, now: float, instances: int) -> int:
        """Return how many repeats may be spent now."""
        self._drop_old(now)
        share = self._rule.slack * USED_SLACK / max(1, instances)
        # at least one, or no request of a quiet instance could ever be repeated
        allowed = max(1.0, share) + self._rule.ratio * USED_RATIO * len(self._requests)
        return max(0, int(allowed - len(self._repeats)))

    def _drop_old(self, now: float) -> None:
        horizon = now - self._rule.window
        for times in (self._requests, self._repeats):
            while times and times[0] < horizon:
                times.popleft()
