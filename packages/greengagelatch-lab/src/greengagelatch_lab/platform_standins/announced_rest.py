"""Rest that a simulated target asks for, and the requests it gets all the same."""

from __future__ import annotations

import contextlib
from dataclasses import dataclass, field

__all__ = ("MAX_ARRIVALS", "REACTION_SECONDS", "AnnouncedRest")

#: seconds after an answer that asks for rest, from which requests count
REACTION_SECONDS = 0.5
#: requests that a host may send a target while it rests
MAX_ARRIVALS = 2


@dataclass(slots=True)
class AnnouncedRest:
    """The rest that a target asks for when it rejects; times of the event loop."""

    #: value of the header; ``None``: it rejects nothing
    value: str | None = None
    #: it rejects each request whose number this divides
    every: int = 1
    #: whether its rejections are marked as not run
    is_marked: bool = True
    #: time and host of each request and stage call
    arrivals: list[tuple[float, str]] = field(default_factory=list)
    #: time, host and seconds of each rejection
    rejections: list[tuple[float, str, float]] = field(default_factory=list)

    def record_arrival(self, now: float, host: str) -> None:
        """Record a request or a stage call of a host."""
        self.arrivals.append((now, host))

    def rejects(self) -> bool:
        """Return whether it rejects the request that has arrived last."""
        return self.value is not None and len(self.arrivals) % self.every == 0

    def describe(self, now: float, host: str) -> dict[str, str]:
        """Return the header lines of a rejection."""
        # other values ask for nothing
        with contextlib.suppress(ValueError):
            self.rejections.append((now, host, float(self.value)))
        marks = {"X-Not-Executed": "1"} if self.is_marked else {}
        return {"Retry-After": self.value, **marks}

    def list_arrivals(self) -> list[tuple[str, float, list[float]]]:
        """Return host, beginning, and the times of the requests in each rest."""
        return [
            (
                host,
                asked_at,
                [
                    time
                    for time, sender in self.arrivals
                    if sender == host and REACTION_SECONDS < time - asked_at < seconds
                ],
            )
            for asked_at, host, seconds in self.rejections
        ]

    def find_most(self) -> int:
        """Return the most requests of a host in one rest."""
        return max((len(times) for _, _, times in self.list_arrivals()), default=0)
