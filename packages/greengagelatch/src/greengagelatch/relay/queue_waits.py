"""Queueing time of stage work and the duration of its calls."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ("QueueWait",)


@dataclass(frozen=True, slots=True)
class QueueWait:
    """The wait of a piece that is queued now; times in seconds."""

    #: behind requests that can still meet their objective
    urgent: float = 0.0
    #: behind all requests
    total: float = 0.0
    #: recent duration of a call, with the pieces of all requests that share it; 0:
    #: unknown
    call: float = 0.0

    def estimate_stage(self, alone: float) -> float:
        """Return the seconds that a stage takes once its call has started.

        :param alone: duration of a call that no other request shares
        """
        return max(alone, self.call)
