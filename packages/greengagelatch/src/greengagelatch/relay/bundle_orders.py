"""Order in which waiting bundles are made."""

from __future__ import annotations

import heapq
from abc import ABC, abstractmethod
from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from .deployment import MakerProfile, Route
    from .pieces import Bundle, Piece

__all__ = (
    "BundleOrder",
    "ConfiguredOrder",
    "DeadlineOrder",
    "RankOrder",
    "WaitingBundle",
    "can_yield",
    "find_promotion_time",
    "is_late",
)

#: seconds added to a bundle's soft deadline for each priority rank: enough to order
#: bundles that arrive together, too little to starve any
RANK_PENALTY_SECONDS = 0.8
#: seconds before its hard deadline at which a late bundle is put first: about the time
#: of a call. With more, late bundles displace others that could still be on time
DEADLINE_MARGIN_SECONDS = 0.3
#: the same before its inputs expire, which would have to be made again: a little more
#: than the time of a call, in seconds
EXPIRY_MARGIN_SECONDS = 0.4
#: objective of a less urgent route, as a multiple of that of a more urgent one, from
#: which the less urgent one can yield and still be on time
LOOSER_OBJECTIVE_FACTOR = 1.75


@dataclass(slots=True)
class WaitingBundle:
    """A waiting bundle with its sort keys."""

    bundle: Bundle
    #: pieces that are not in a call yet
    left: list[Piece]
    #: bundles of a lower tier go first; 0: those that should be on time
    tier: float = 0.0
    urgency: float = 0.0
    #: whether it is put first although it is late
    promoted: bool = False


class BundleOrder(ABC):
    """Decides which of the waiting bundles goes first."""

    @abstractmethod
    def sort(
        self,
        bundles: Iterable[tuple[Bundle, list[Piece]]],
        profile: MakerProfile,
        now: float,
        *,
        rate: float,
        call: float = 0.0,
    ) -> list[WaitingBundle]:
        """Return the bundles that have pieces left, sorted by tier and urgency.

        :param rate: pieces that the makers complete per second
        :param call: seconds that the next shared call takes
        """

    @property
    def by_rank(self) -> bool:
        """Whether less urgent bundles yield to more urgent ones."""
        return False


class DeadlineOrder(BundleOrder):
    """Puts bundles that can still meet the soft deadline first, by urgency.

    A late bundle has lost most of its value, so it yields to those that are on time.
    Shortly before its hard deadline, or before its inputs expire, it is put first:
    the work already done for its request should not be wasted, and admission control
    lets few late requests in.
    """

    def sort(
        self,
        bundles: Iterable[tuple[Bundle, list[Piece]]],
        profile: MakerProfile,
        now: float,
        *,
        rate: float,
        call: float = 0.0,
    ) -> list[WaitingBundle]:
        waiting = _list_waiting(bundles, profile, now, call)
        waiting.sort(key=lambda one: (one.tier, one.urgency))
        return waiting


class RankOrder(BundleOrder):
    """Orders bundles by deadline, where the less urgent ones yield in overload.

    It is made for makers shared by routes of which the less urgent one has the looser
    objective. Ordered by deadline alone, the less urgent requests that have waited
    longest go before more urgent ones that have just arrived, until all are late. And
    a more urgent request that misses its objective by little would wait behind less
    urgent ones with seconds to spare.

    Less urgent bundles go before more urgent ones only as long as these stay on time.
    Late bundles, and those that have yielded, go before on-time bundles of a less
    urgent rank while all these stay on time.
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
        waiting = _list_waiting(bundles, profile, now, call)
        waiting.sort(key=lambda one: (one.tier, one.urgency))
        promoted = [one for one in waiting if one.promoted]
        on_time = [one for one in waiting if not one.tier and not one.promoted]
        yielding = [one for one in waiting if one.tier]
        count = sum(len(one.left) for one in promoted)
        schedule = _Schedule(profile, now, rate, call, count)
        yielding.sort(key=lambda one: (one.bundle.rank, one.urgency))
        return promoted + schedule.merge(schedule.postpone(on_time), yielding)


class ConfiguredOrder(BundleOrder):
    """Orders by rank where the routes of a service call for it, else by deadline.

    :param list_routes: returns the routes in force, the same object until they change
    """

    def __init__(
        self, service: str, list_routes: Callable[[], Sequence[Route]]
    ) -> None:
        self._service = service
        self._list_routes = list_routes
        self._routes: Sequence[Route] | None = None
        self._order: BundleOrder = DeadlineOrder()

    @property
    def by_rank(self) -> bool:
        return self._find_order().by_rank

    def sort(
        self,
        bundles: Iterable[tuple[Bundle, list[Piece]]],
        profile: MakerProfile,
        now: float,
        *,
        rate: float,
        call: float = 0.0,
    ) -> list[WaitingBundle]:
        return self._find_order().sort(bundles, profile, now, rate=rate, call=call)

    def _find_order(self) -> BundleOrder:
        routes = self._list_routes()
        if routes is not self._routes:
            self._routes = routes
            yields = can_yield(routes, self._service)
            self._order = RankOrder() if yields else DeadlineOrder()
        return self._order


def can_yield(routes: Iterable[Route], service: str) -> bool:
    """Return whether a less urgent route that uses a service can yield to another.

    It can if its objective is much looser than that of a more urgent route.
    """
    sharing = [
        route
        for route in routes
        if any(stage.service == service for stage in route.stages)
    ]
    strictest: dict[int, float] = {}
    for route in sharing:
        before = strictest.get(route.priority, route.objective)
        strictest[route.priority] = min(before, route.objective)
    return any(
        priority < route.priority
        and route.objective >= objective * LOOSER_OBJECTIVE_FACTOR
        for route in sharing
        for priority, objective in strictest.items()
    )


def is_late(
    bundle: Bundle, count: int, profile: MakerProfile, now: float, call: float = 0.0
) -> bool:
    """Return whether a bundle can't meet its soft deadline any more.

    :param call: seconds that a call shared with other requests takes
    """
    return now + _estimate_call(count, profile, call) > bundle.soft_deadline


def find_promotion_time(bundle: Bundle) -> float:
    """Return the time from which a late bundle is put first."""
    return min(
        bundle.hard_deadline - DEADLINE_MARGIN_SECONDS,
        bundle.inputs_expire_at - EXPIRY_MARGIN_SECONDS,
    )


def _estimate_call(count: int, profile: MakerProfile, call: float) -> float:
    return max(profile.estimate_seconds(min(count, profile.batch)), call)


def _list_waiting(
    bundles: Iterable[tuple[Bundle, list[Piece]]],
    profile: MakerProfile,
    now: float,
    call: float,
) -> list[WaitingBundle]:
    waiting = []
    for bundle, left in bundles:
        if not left:
            continue
        one = WaitingBundle(bundle, left)
        one.urgency = bundle.soft_deadline + bundle.rank * RANK_PENALTY_SECONDS
        if is_late(bundle, len(left), profile, now, call):
            one.tier = 1.0
            if now > find_promotion_time(bundle):
                one.tier, one.urgency, one.promoted = 0.0, now, True
        waiting.append(one)
    return waiting


class _Postponer:
    """Puts less urgent bundles behind those that they would make late.

    :param first: pieces that go before all others
    """

    def __init__(self, first: int) -> None:
        self._before = first
        self._placed: list[WaitingBundle | None] = []
        #: bundles that have yielded, until they return
        self._postponed: list[WaitingBundle] = []
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
        returning = [other for other in self._postponed if other.bundle.rank <= rank]
        self._postponed = [
            other for other in self._postponed if other.bundle.rank > rank
        ]
        for other in returning:
            other.urgency = one.urgency
            self._place(other)
        excess = self._before - allowed
        removable = sum(count for key, count in self._counts.items() if key > rank)
        if 0 < excess <= removable:
            target = self._before - excess
            while self._before > target:
                self._postpone_last()
            self._postponed.sort(key=lambda other: other.urgency)
        self._place(one)

    def list_placed(self) -> list[WaitingBundle]:
        """Return all bundles in order."""
        return [one for one in self._placed if one is not None] + self._postponed

    def _place(self, one: WaitingBundle) -> None:
        self._before += len(one.left)
        self._counts[one.bundle.rank] += len(one.left)
        heapq.heappush(self._heap, (-one.bundle.rank, -len(self._placed)))
        self._placed.append(one)

    def _postpone_last(self) -> None:
        position = -heapq.heappop(self._heap)[1]
        one = self._placed[position]
        self._placed[position] = None
        self._before -= len(one.left)
        self._counts[one.bundle.rank] -= len(one.left)
        self._postponed.append(one)


class _Schedule:
    """Estimates when bundles end, from the pieces that go before them.

    :param first: pieces that go before all others
    """

    def __init__(
        self, profile: MakerProfile, now: float, rate: float, call: float, first: int
    ) -> None:
        self._profile = profile
        self._now = now
        self._rate = rate
        self._call = call
        self._first = first

    def _count_allowed(self, one: WaitingBundle) -> float:
        """Return the pieces that may go before a bundle that is to end on time."""
        call = _estimate_call(len(one.left), self._profile, self._call)
        return (one.bundle.soft_deadline - call - self._now) * self._rate

    def postpone(self, on_time: list[WaitingBundle]) -> list[WaitingBundle]:
        """Put less urgent bundles behind the more urgent ones that they make late.

        :param on_time: bundles that could meet their deadline alone, by urgency
        """
        postponer = _Postponer(self._first)
        for one in on_time:
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
        as margin, and the most urgent rank among all.
        """
        margin = self._profile.estimate_seconds(self._profile.batch) * self._rate
        before = self._first + sum(len(one.left) for one in kept)
        spare = [0.0] * len(kept)
        ranks = [0.0] * len(kept)
        least, lowest = float("inf"), float("inf")
        for index in range(len(kept) - 1, -1, -1):
            one = kept[index]
            before -= len(one.left)
            allowed = self._count_allowed(one) - before
            if allowed >= 0:
                least = min(least, allowed - margin)
            lowest = min(lowest, one.bundle.rank)
            spare[index] = least
            ranks[index] = lowest
        return spare, ranks
