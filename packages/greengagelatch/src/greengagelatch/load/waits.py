"""How long a call of a workspace will wait for a service."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from math import exp

__all__ = ("DrainRate", "estimate_fair_wait")

#: seconds over which the rate is measured
HORIZON = 2.0


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
    return ahead / max(rate, 1e-6)


class DrainRate:
    """Seconds of work a service starts in one second while calls wait for it."""

    def __init__(self) -> None:
        self._work = 0.0
        self._updated = float("-inf")
        self._busy_since: float | None = None

    def note_started(self, work: float, now: float) -> None:
        """Count started work, in seconds."""
        self._decay(now)
        self._work += work

    def note_queue(self, length: int, now: float) -> None:
        """Take in the number of calls that wait."""
        if length == 0:
            self._busy_since = None
        elif self._busy_since is None:
            self._busy_since = now

    def estimate(self, slots: float, now: float) -> float:
        """Return the rate.

        Without a queue little is started because little is asked for; then the
        number of calls that the targets have room for stands in: each does a
        second of work in a second.
        """
        if self._busy_since is None or now - self._busy_since < HORIZON:
            return slots
        self._decay(now)
        return max(self._work / HORIZON, 0.1)

    def _decay(self, now: float) -> None:
        self._work *= exp(-max(0.0, now - self._updated) / HORIZON)
        self._updated = now
