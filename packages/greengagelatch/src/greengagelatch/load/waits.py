"""Estimated queueing time of a workspace's calls."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from math import exp

__all__ = ("DrainRate", "estimate_fair_wait")

#: time constant, in seconds, over which the rate is averaged
RATE_WINDOW = 2.0
#: minimum share of the rate for calls of low priority, as a part of the service
#: ignores priorities
MIN_SHARE = 1 / 8
#: minimum rate, in seconds of work per second, that keeps an estimate finite
MIN_RATE = 0.01


def estimate_fair_wait(
    pending: Mapping[str, float],
    workspace: str,
    weigh: Callable[[str], float],
    rate: float,
) -> float:
    """Return the seconds until ``workspace``'s pending work has been started.

    Under weighted fair queueing, a workspace with much work does not delay one with
    little: until the latter's work is done, each other workspace gets at most as
    much service, in proportion to the weights.

    :param pending: queued seconds of work by workspace.
    :param rate: seconds of work that the service does in one second.
    """
    weight = weigh(workspace)
    own = pending.get(workspace, 0.0)
    ahead = own
    for other, work in pending.items():
        if other == workspace:
            continue
        ahead += min(work, own * weigh(other) / weight)
    return ahead / rate


class DrainRate:
    """Rate at which a service starts queued work, by priority."""

    def __init__(self) -> None:
        self._work: dict[int, float] = {}
        self._updated = float("-inf")
        self._busy_since: float | None = None

    def record_start(self, priority: int, work: float, now: float) -> None:
        """Count started work, in seconds."""
        self._decay(now)
        self._work[priority] = self._work.get(priority, 0.0) + work

    def record_queue_length(self, length: int, now: float) -> None:
        """Record the present queue length."""
        if length == 0:
            self._busy_since = None
        elif self._busy_since is None:
            self._busy_since = now

    def estimate(self, priority: int, slots: float, now: float) -> float:
        """Return the rate available to calls of a priority.

        Work of higher priorities is subtracted, as such calls keep arriving. Without
        a queue, the rate of started work reflects only the demand; ``slots`` is then
        used instead, as each slot does a second of work in a second.

        :param slots: calls that this instance can have in flight.
        """
        self._decay(now)
        higher = sum(w for other, w in self._work.items() if other > priority)
        total = slots
        if self._busy_since is not None and now - self._busy_since >= RATE_WINDOW:
            total = sum(self._work.values()) / RATE_WINDOW
        return max(total - higher / RATE_WINDOW, MIN_SHARE * total, MIN_RATE)

    def _decay(self, now: float) -> None:
        factor = exp(-max(0.0, now - self._updated) / RATE_WINDOW)
        self._updated = now
        for priority in self._work:
            self._work[priority] *= factor
