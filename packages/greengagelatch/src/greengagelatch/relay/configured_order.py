"""Choice of the order of bundles from the configured routes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .bundle_orders import BundleOrder, DeadlineOrder
from .rank_order import RankOrder

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from .bundle_orders import WaitingBundle
    from .deployment import MakerProfile, Route
    from .pieces import Bundle, Piece

__all__ = ("ConfiguredOrder", "can_yield")

#: objective of a less urgent route, as a multiple of that of a more urgent one, from
#: which the less urgent one can yield and still be on time
LOOSER_OBJECTIVE_FACTOR = 1.75


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
