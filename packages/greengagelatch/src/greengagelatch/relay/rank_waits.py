"""Queueing time at each priority rank, where less urgent bundles yield."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from .bundle_orders import RANK_PENALTY_SECONDS
from .queue_waits import RankWait

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .pieces import Bundle

__all__ = ("RankCounts",)

#: weight of the last bundle in the average time that bundles of its rank have
SLACK_WEIGHT = 0.1
#: most ranks that are told apart
MAX_RANKS = 16


class RankCounts:
    """Counts the pieces that go before a new bundle of each rank.

    These are the pieces of its own and of more urgent ranks with an earlier deadline
    than a new bundle usually has, and late ones of more urgent ranks.
    """

    def __init__(self) -> None:
        #: seconds that bundles of each rank have until their soft deadline, on average
        self._slacks: dict[float, float] = {}
        #: pieces before a new bundle of each rank, and all of these ranks
        self._before: defaultdict[float, int] = defaultdict(int)
        self._total: defaultdict[float, int] = defaultdict(int)

    def record_added(self, bundle: Bundle, count: int, now: float) -> None:
        """Count the pieces of a bundle that were added to the queue."""
        slack = bundle.soft_deadline - now
        known = self._slacks.get(bundle.rank)
        if known is not None:
            self._slacks[bundle.rank] = known + SLACK_WEIGHT * (slack - known)
        elif len(self._slacks) < MAX_RANKS:
            self._slacks[bundle.rank] = slack
        for rank in self._slacks:
            if bundle.rank <= rank:
                self._before[rank] += count
                self._total[rank] += count

    def count(
        self,
        urgent: Iterable[tuple[Bundle, int]],
        late: Iterable[tuple[Bundle, int]],
        now: float,
    ) -> None:
        """Count the whole queue.

        :param urgent: bundles that can meet their soft deadline, and their pieces
        :param late: the others, and their pieces
        """
        self._before.clear()
        self._total.clear()
        latest = {
            rank: now + slack + rank * RANK_PENALTY_SECONDS
            for rank, slack in self._slacks.items()
        }
        for bundle, count in urgent:
            urgency = bundle.soft_deadline + bundle.rank * RANK_PENALTY_SECONDS
            for rank in self._slacks:
                if bundle.rank > rank:
                    continue
                self._total[rank] += count
                if urgency <= latest[rank]:
                    self._before[rank] += count
        for bundle, count in late:
            for rank in self._slacks:
                if bundle.rank > rank:
                    continue
                self._total[rank] += count
                if bundle.rank < rank:
                    self._before[rank] += count

    def estimate(self, rate: float) -> tuple[RankWait, ...]:
        """Return the wait at each rank that has been queued, the most urgent first.

        :param rate: pieces that the makers complete per second
        """
        return tuple(
            RankWait(rank, self._before[rank] / rate, self._total[rank] / rate)
            for rank in sorted(self._slacks)
        )
