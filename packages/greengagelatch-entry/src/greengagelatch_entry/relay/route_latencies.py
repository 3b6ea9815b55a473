"""How long targets take for the requests of each route."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .exchange import RelayExchange

__all__ = ("RouteLatencies",)

#: weight of one answer in the mean of its route
WEIGHT = 0.15
#: seconds assumed for a route that nobody has used yet
FIRST_SECONDS = 0.15
WHOLE_SECONDS = 0.4


@dataclass(slots=True)
class _Times:
    first: float = FIRST_SECONDS
    whole: float = WHOLE_SECONDS


class RouteLatencies:
    """Means of the time to the first part of an answer, and to its end, by route."""

    def __init__(self) -> None:
        self._times: dict[str, _Times] = {}

    def estimate(self, exchange: RelayExchange) -> tuple[float, float]:
        """Return the seconds to the first part of the answer and to its end."""
        times = self._find(exchange)
        return times.first, times.whole

    def record_first_part(self, exchange: RelayExchange, seconds: float) -> None:
        """Take in the time from a send to the first part of its answer."""
        times = self._find(exchange)
        times.first += (seconds - times.first) * WEIGHT

    def record_total(self, exchange: RelayExchange, seconds: float) -> None:
        """Take in the time from a send to the end of its answer."""
        times = self._find(exchange)
        times.whole += (seconds - times.whole) * WEIGHT

    def _find(self, exchange: RelayExchange) -> _Times:
        return self._times.setdefault(exchange.route.name, _Times())
