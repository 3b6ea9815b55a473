"""Latency of targets' answers, by route."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .exchange import RelayExchange

__all__ = ("RouteLatencies",)

#: weight of one answer in the moving average of its route
EWMA_WEIGHT = 0.15
#: seconds to the first part and to the end, assumed for a route without answers
INITIAL_FIRST_PART_SECONDS = 0.15
INITIAL_TOTAL_SECONDS = 0.4


@dataclass(slots=True)
class _Latencies:
    first_part: float = INITIAL_FIRST_PART_SECONDS
    total: float = INITIAL_TOTAL_SECONDS


class RouteLatencies:
    """Moving averages of the times to an answer's first part and end, by route."""

    def __init__(self) -> None:
        self._latencies: dict[str, _Latencies] = {}

    def estimate(self, exchange: RelayExchange) -> tuple[float, float]:
        """Return the expected seconds to the answer's first part and to its end."""
        latencies = self._get_latencies(exchange)
        return latencies.first_part, latencies.total

    def record_first_part(self, exchange: RelayExchange, seconds: float) -> None:
        """Record the seconds from an attempt to the first part of its answer."""
        latencies = self._get_latencies(exchange)
        latencies.first_part += (seconds - latencies.first_part) * EWMA_WEIGHT

    def record_total(self, exchange: RelayExchange, seconds: float) -> None:
        """Record the seconds from an attempt to the end of its answer."""
        latencies = self._get_latencies(exchange)
        latencies.total += (seconds - latencies.total) * EWMA_WEIGHT

    def _get_latencies(self, exchange: RelayExchange) -> _Latencies:
        return self._latencies.setdefault(exchange.route.name, _Latencies())
