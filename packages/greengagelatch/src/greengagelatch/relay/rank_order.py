"""Order of bundles in which the less urgent ones yield."""

from __future__ import annotations

import heapq
from collections import defaultdict
from typing import TYPE_CHECKING

from .bundle_orders import BundleOrder, WaitingBundle, estimate_call, list_waiting

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .deployment import MakerProfile
    from .pieces import Bundle, Piece

__all__ = ("RankOrder", "count_overtaken")

#: most times that bundles yield in one sort, which bounds its time to a few
#: milliseconds; those that come after keep their place by deadline
MAX_POSTPONEMENTS = 2000


class RankOrder(BundleOrder):
    """Orders bundles by deadline, where the less urgent ones yield in overload.

    It is made for makers shared by routes of which the less urgent one has the looser
    objective. Ordered by deadline alone, the less urgent requests that have waited
    longest go before more urgent ones that have just arrived, until all are late. And
    a more urgent request that misses its objective by little would wait behind less
    urgent ones with seconds to spare.

    Less urgent bundles go before more urgent ones only as long as these stay on time,
    also shortly before their hard deadline. Late bundles go before on-time bundles of
    a less urgent rank while all these stay on time.
    """

    @property
    def by_rank(self) -> bool:
        return True

    def sort(
        self,
        bundles: Iterable[tuple[Bundle, list[Piece]]],
        profile: MakerProfile,
        now: float,
        *,
        rate: float,
        call: float = 0.0,
    ) -> list[WaitingBundle]:
        waiting = list_waiting(bundles, profile, now, call)
        waiting.sort(key=lambda one: (one.tier, one.urgency))
        first = [one for one in waiting if not one.tier]
        yielding = [one for one in waiting if one.tier]
        yielding.sort(key=lambda one: (one.bundle.rank, one.urgency))
        schedule = _Schedule(profile, now, rate, call)
        return schedule.merge(schedule.postpone(first), yielding)


def count_overtaken(started: Iterable[Bundle], waiting: Iterable[Bundle]) -> int:
    """Return how many less urgent bundles wait on although their deadline is earlier.

    :param started: bundles of a call that starts
    """
    latest: dict[float, float] = {}
    for one in started:
        latest[one.rank] = max(one.soft_deadline, latest.get(one.rank, 0.0))
    return sum(
        any(
            rank < one.rank and soft_deadline > one.soft_deadline
            for rank, soft_deadline in latest.items()
        )
        for one in waiting
    )


class _Postponer:
    """Puts less urgent bundles behind those that they would make late."""

    def __init__(self) -> None:
        self._before = 0
        self._placed: list[WaitingBundle | None] = []
        #: bundles that have yielded, until they return
        self._postponed: list[WaitingBundle] = []
        self._postponements = 0
        #: pieces placed, by rank
        self._counts: defaultdict[float, int] = defaultdict(int)
        #: places, those of the least urgent rank and of these the last one first
        self._heap: list[tuple[float, int]] = []

    def add(self, one: WaitingBundle, allowed: float) -> None:
        """Place the next bundle; those that yielded return before one of their rank.

        Of those in its way, the least urgent and last yield first, and none in vain.

        :param allowed: pieces that may go before it
        """
        rank = one.bundle.rank
        self._return_yielding(one)
        if self._postponements >= MAX_POSTPONEMENTS:
            self._place(one)
            return
        excess = self._before - allowed
        removable = sum(count for key, count in self._counts.items() if key > rank)
        if 0 < excess <= removable:
            self._postpone_last(allowed)
        self._place(one)

    def list_placed(self) -> list[WaitingBundle]:
        """Return all bundles in order."""
        placed = [one for one in self._placed if one is not None]
        for one in self._postponed:
            one.urgency = placed[-1].urgency
        return placed + self._postponed

    def _return_yielding(self, one: WaitingBundle) -> None:
        """Place the postponed bundles that are not less urgent than the next one."""
        left = []
        for other in self._postponed:
            if other.bundle.rank > one.bundle.rank:
                left.append(other)
                continue
            other.urgency = one.urgency
            self._place(other)
        self._postponed = left

    def _place(self, one: WaitingBundle) -> None:
        self._before += len(one.left)
        self._counts[one.bundle.rank] += len(one.left)
        heapq.heappush(self._heap, (-one.bundle.rank, -len(self._placed)))
        self._placed.append(one)

    def _postpone_last(self, allowed: float) -> None:
        """Postpone bundles until no more than the allowed pieces are placed."""
        yielding = []
        while self._before > allowed:
            position = -heapq.heappop(self._heap)[1]
            one = self._placed[position]
            self._placed[position] = None
            self._before -= len(one.left)
            self._counts[one.bundle.rank] -= len(one.left)
            yielding.append(one)
        self._postponements += len(yielding)
        self._postponed += reversed(yielding)
        self._postponed.sort(key=lambda one: one.bundle.soft_deadline)


class _Schedule:
    """Estimates when bundles end, from the pieces that go before them."""

    def __init__(
        self, profile: MakerProfile, now: float, rate: float, call: float
    ) -> None:
        self._profile = profile
        self._now = now
        self._rate = rate
        self._call = call

    def _count_allowed(self, one: WaitingBundle) -> float:
        """Return the pieces that may go before a bundle that is to end on time."""
        if one.promoted:
            return float("inf")
        call = estimate_call(len(one.left), self._profile, self._call)
        return (one.bundle.soft_deadline - call - self._now) * self._rate

    def postpone(self, first: list[WaitingBundle]) -> list[WaitingBundle]:
        """Put less urgent bundles behind the more urgent ones that they make late.

        :param first: bundles that could meet their deadline alone, by urgency
        """
        postponer = _Postponer()
        for one in first:
            postponer.add(one, self._count_allowed(one))
        return postponer.list_placed()

    def merge(
        self, kept: list[WaitingBundle], yielding: list[WaitingBundle]
    ) -> list[WaitingBundle]:
        """Merge bundles into those that are on time, without making any of these late.

        :param yielding: most urgent rank first
        """
        spare, ranks = self._find_spare(kept)
        merged = []
        inserted = 0
        left = iter(yielding)
        following = next(left, None)
        for index, one in enumerate(kept):
            while (
                following is not None
                and following.bundle.rank < ranks[index]
                and inserted + len(following.left) <= spare[index]
            ):
                following.tier, following.urgency = 0.0, one.urgency
                inserted += len(following.left)
                merged.append(following)
                following = next(left, None)
            merged.append(one)
        while following is not None:
            following.tier = 1.0 + following.bundle.rank
            merged.append(following)
            following = next(left, None)
        return merged

    def _find_spare(self, kept: list[WaitingBundle]) -> tuple[list[float], list[float]]:
        """Return what may go before each bundle and all that follow it.

        That is the number of pieces with which those on time stay so, with a full call
        as margin, and the most urgent rank among all. Nothing goes before those that
        are near their hard deadline.
        """
        margin = self._profile.estimate_seconds(self._profile.batch) * self._rate
        before = sum(len(one.left) for one in kept)
        spare = [0.0] * len(kept)
        ranks = [0.0] * len(kept)
        least, lowest = float("inf"), float("inf")
        for index in range(len(kept) - 1, -1, -1):
            one = kept[index]
            before -= len(one.left)
            allowed = self._count_allowed(one) - before
            if one.promoted:
                least = 0.0
            elif allowed >= 0:
                least = min(least, allowed - margin)
            lowest = min(lowest, one.bundle.rank)
            spare[index] = least
            ranks[index] = lowest
        return spare, ranks
