"""Queueing time of stage work and the duration of its calls."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ("QueueWait", "RankWait")


@dataclass(frozen=True, slots=True)
class RankWait:
    """The wait of a piece of one priority rank; times in seconds."""

    #: 0 is the most urgent
    rank: float
    #: behind what goes before a piece that can still meet its objective: more urgent or
    #: as urgent, with an earlier deadline
    urgent: float
    #: behind all pieces of this and of more urgent ranks
    total: float


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
    #: the wait at each rank that has been queued, the most urgent first, where less
    #: urgent requests yield; empty: all wait behind each other
    by_rank: tuple[RankWait, ...] = ()

    def estimate_stage(self, alone: float) -> float:
        """Return the seconds that a stage takes once its call has started.

        :param alone: duration of a call that no other request shares
        """
        return max(alone, self.call)

    def find_at_rank(self, rank: float) -> QueueWait:
        """Return the wait of a piece behind those that do not yield to it."""
        if not self.by_rank:
            return self
        found = RankWait(rank, 0.0, 0.0)
        for one in self.by_rank:
            if one.rank > rank:
                break
            found = one
        return QueueWait(found.urgent, found.total, self.call)
