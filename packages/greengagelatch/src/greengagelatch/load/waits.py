"""How long a call of a workspace will wait for a service."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from math import exp

__all__ = ("DrainRate", "estimate_fair_wait")

#: seconds over which the rate is measured
HORIZON = 2.0
#: share of the rate that calls of low priority have in any case, as some turns
#: ignore priorities
SMALLEST_SHARE = 1 / 8
#: seconds of work in one second, so that an estimate stays finite
SMALLEST_RATE = 0.01


def estimate_fair_wait(
    pending: Mapping[str, float],
    workspace: str,
    weigh: Callable[[str], float],
    rate: float,
) -> float:
    """Return the seconds until ``workspace``'s pending work has been started.

    Under weighted fair shares a workspace with little work is not held up by one
    with a lot: until its own work is done, each other gets at most as much, in
    proportion to the weights.

    :param pending: seconds of work that wait, by workspace.
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
    """Seconds of work that a service starts in one second, by priority."""

    def __init__(self) -> None:
        self._work: dict[int, float] = {}
        self._updated = float("-inf")
        self._busy_since: float | None = None

    def record_start(self, priority: int, work: float, now: float) -> None:
        """Count started work, in seconds."""
        self._decay(now)
        self._work[priority] = self._work.get(priority, 0.0) + work

    def record_queue_length(self, length: int, now: float) -> None:
        """Take in the number of calls that wait."""
        if length == 0:
            self._busy_since = None
        elif self._busy_since is None:
            self._busy_since = now

    def estimate(self, priority: int, slots: float, now: float) -> float:
        """Return the rate that is left for calls of a priority.

        What is started with higher priorities is taken off, as such calls go on
        coming. Without a queue little is started because little is asked for; then
        the number of calls that the targets have room for stands in: each does a
        second of work in a second.
        """
        self._decay(now)
        higher = sum(w for other, w in self._work.items() if other > priority)
        total = slots
        if self._busy_since is not None and now - self._busy_since >= HORIZON:
            total = sum(self._work.values()) / HORIZON
        return max(total - higher / HORIZON, SMALLEST_SHARE * total, SMALLEST_RATE)

    def _decay(self, now: float) -> None:
        factor = exp(-max(0.0, now - self._updated) / HORIZON)
        self._updated = now
        for priority in self._work:
            self._work[priority] *= factor
