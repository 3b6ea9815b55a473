"""Outcomes of load trials."""

from __future__ import annotations

from dataclasses import dataclass, field

__all__ = ("ClassOutcome", "Outcome")


@dataclass(slots=True)
class ClassOutcome:
    """Counts and latencies of the requests of one class."""

    request_count: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    refused_again: int = 0
    #: seconds to the first event, of each answered request
    latencies: list[float] = field(default_factory=list)

    @property
    def unserved(self) -> int:
        """Number of requests without an answer by their deadline."""
        return self.request_count - self.in_time - self.late

    @property
    def in_time_share(self) -> float:
        """Share of the requests that met their latency objective."""
        return self.in_time / max(1, self.request_count)


@dataclass(slots=True)
class Outcome:
    """Aggregated outcome of one trial."""

    classes: dict[str, ClassOutcome] = field(default_factory=dict)
    earned_utility: float = 0.0
    offered_utility: float = 0.0
    #: busy seconds of all makers, and the share of their results that were never read
    maker_seconds: float = 0.0
    unread_share: float = 0.0
    moved_bytes: float = 0.0
    prefilled_tokens: float = 0.0
    #: highest link utilisation of any instance over one second
    busiest_link: float = 0.0

    @property
    def credit(self) -> float:
        """Earned share of the utility that all requests offered."""
        return (
            self.earned_utility / self.offered_utility if self.offered_utility else 1.0
        )

    @property
    def unserved_share(self) -> float:
        """Share of the requests without an answer by their deadline."""
        request_count = sum(one.request_count for one in self.classes.values())
        return sum(one.unserved for one in self.classes.values()) / max(
            1, request_count
        )
