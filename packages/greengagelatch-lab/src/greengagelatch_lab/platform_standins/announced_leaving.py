"""Leaving that a simulated target announces, and the requests it gets all the same."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = ("DRAIN_SECONDS", "AnnouncedLeaving")

#: seconds after its first answer that says so to an instance, within which requests
#: may still arrive that callers send to that instance
DRAIN_SECONDS = 2.0


@dataclass(slots=True)
class AnnouncedLeaving:
    """Whether a target says in its answers that it leaves; times of the event loop."""

    #: value of the header; ``None``: it says nothing
    value: str | None = None
    #: first time of an answer that says so, by the host that it went to
    told_at: dict[str, float] = field(default_factory=dict)
    #: times of all these answers, by host
    answers: dict[str, list[float]] = field(default_factory=dict)
    #: time, host and id of each request, or of the request of a piece, since then
    arrivals: list[tuple[float, str, str]] = field(default_factory=list)

    def record_arrival(self, now: float, host: str, request_id: str) -> None:
        """Record a request or a piece that a host has sent."""
        if host in self.told_at:
            self.arrivals.append((now, host, request_id))

    def describe(self, now: float, host: str) -> dict[str, str]:
        """Return the header lines of an answer to a host."""
        if self.value is None:
            return {}
        if self.value == "1":
            self.told_at.setdefault(host, now)
            self.answers.setdefault(host, []).append(now)
        return {"Server-Leaving": self.value}

    def list_late(self, sent_at: Mapping[str, float]) -> list[str]:
        """Return the ids of the requests that it should not have got.

        :param sent_at: times at which callers sent the requests, by id
        """
        return [
            request_id
            for _, host, request_id in self.arrivals
            if sent_at.get(request_id, 0.0) > self.told_at[host] + DRAIN_SECONDS
        ]
