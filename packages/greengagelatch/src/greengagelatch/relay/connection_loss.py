"""Bounds by which the kernel drops a connection whose peer is silent."""

from __future__ import annotations

import math
from dataclasses import dataclass

__all__ = ("ConnectionLossRule",)


@dataclass(frozen=True, slots=True, kw_only=True)
class ConnectionLossRule:
    """Socket options of a connection, and what Linux makes of them.

    Probes are sent while no data awaits an acknowledgement. Each answer, as any other
    segment of the peer, starts the time anew. The connection is dropped when a probe
    is due, the one before was not answered and ``user_timeout`` is over: a user
    timeout replaces the number of probes.

    :param user_timeout: seconds after which unacknowledged data, or data that the peer
        does not read, ends the connection; 0: none
    :param probe_idle: seconds without a segment of the peer until the first probe
    :param probe_interval: seconds between two probes
    :param probe_count: unanswered probes that end a connection without a user timeout
    """

    user_timeout: float
    probe_idle: int
    probe_interval: int
    probe_count: int

    def find_drop_time(self) -> float:
        """Return after how many seconds a connection without data is dropped."""
        return self.probe_idle + self._count_probes() * self.probe_interval

    def find_survived_silence(self) -> float:
        """Return the seconds of silence that a connection survives in any case.

        In the worst case the silence begins as the first probe is sent. The peer is
        taken to answer late; if a probe is lost, the next one has to be answered.
        """
        idle = self.find_drop_time() - self.probe_idle
        return min(idle, self.user_timeout or math.inf)

    def count_losable_probes(self) -> int:
        """Return how many probes in a row may be lost without ending a connection."""
        return self._count_probes() - 1

    def _count_probes(self) -> int:
        if not self.user_timeout:
            return self.probe_count
        left = self.user_timeout - self.probe_idle
        return max(1, math.ceil(left / self.probe_interval))
