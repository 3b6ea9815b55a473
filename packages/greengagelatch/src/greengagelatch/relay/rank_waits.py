"""Queueing time at each priority rank, where less urgent bundles yield."""

from __future__ import annotations

from collections import defaultdict
from math import exp
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
#: seconds over which arrivals of pieces are averaged
ARRIVAL_SECONDS = 2.0
#: largest share of the makers' throughput that more urgent arrivals are assumed to take
MAX_ARRIVAL_SHARE = 0.5


class RankCounts:
    """Counts the pieces that go before a new bundle of each rank.

    These are the pieces of its own and of more urgent ranks with an earlier deadline
    than a new bundle usually has, and late ones of more urgent ranks. While it waits,
    more urgent ones go on to arrive and take their share of the makers.
    """

    def __init__(self) -> None:
        #: seconds that bundles of each rank have until their soft deadline, on average
        self._slacks: dict[float, float] = {}
        #: pieces of each rank that arrived recently; they decay with time
        self._arrivals: defaultdict[float, float] = defaultdict(float)
        self._decayed_at = 0.0
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
        self._decay(now)
        self._arrivals[bundle.rank] += len(bundle.pieces)
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
        self._decay(now)
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
        waits = []
        for rank in sorted(self._slacks):
            left = rate * (1 - self._find_arrival_share(rank, rate))
            waits.append(
                RankWait(rank, self._before[rank] / left, self._total[rank] / left)
            )
        return tuple(waits)

    def _find_arrival_share(self, rank: float, rate: float) -> float:
        """Return the share of the makers that more urgent arrivals take."""
        pieces = sum(count for key, count in self._arrivals.items() if key < rank)
        return min(MAX_ARRIVAL_SHARE, pieces / ARRIVAL_SECONDS / rate)

    def _decay(self, now: float) -> None:
        factor = exp((self._decayed_at - now) / ARRIVAL_SECONDS)
        self._decayed_at = now
        for rank in self._arrivals:
            self._arrivals[rank] *= factor
