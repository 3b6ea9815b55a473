"""What one instance knows of a target: requests in flight, load and health."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from .cached_parts import CachedParts
from .load_reports import ReportedLoad

if TYPE_CHECKING:
    from ..load.breakers import Breaker

__all__ = ("TargetState",)


@dataclass(slots=True)
class TargetState:
    """State of one target; times are monotonic seconds."""

    breaker: Breaker
    #: requests of this instance
    in_flight: int = 0
    #: prompt tokens of requests sent whose prefill has not finished
    pending_tokens: float = 0.0
    load: ReportedLoad = field(default_factory=ReportedLoad)
    #: time of the last request sent
    sent_at: float = float("-inf")
    cached_parts: CachedParts = field(default_factory=CachedParts)

    def count_reported(self, now: float) -> float:
        """Return the requests of all instances by the last load report."""
        return self.in_flight + self.load.count_others(self.in_flight, now)

    def count_expected(self, now: float) -> float:
        """Return the requests of all instances on average of the last reports."""
        return self.in_flight + self.load.estimate_others(now)

    def find_occupancy(self, now: float) -> float | None:
        """Return the share of an engine's slots in use; ``None`` if unknown."""
        return self.load.find_occupancy(self.in_flight, now)

    def describe(self, now: float) -> dict[str, float | str]:
        """Return the state for the state dump."""
        return {
            "breaker": self.breaker.read_state(now).value,
            "in_flight": self.in_flight,
            "pending_tokens": self.pending_tokens,
            "report_age": self.load.find_age(now),
        }
