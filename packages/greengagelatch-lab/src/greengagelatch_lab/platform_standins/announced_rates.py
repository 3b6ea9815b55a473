"""Rate that a simulated target names, and the requests that it gets all the same."""

from __future__ import annotations

from dataclasses import dataclass, field

__all__ = ("CONTACT_SECONDS", "WINDOW_SECONDS", "AnnouncedRate", "count_allowed")

#: seconds after a rate was first named from which it binds
CONTACT_SECONDS = 3.0
#: any span of so many seconds counts
WINDOW_SECONDS = 4.0
#: requests that a target tolerates in a window: a multiple of what the rate allows, and
#: some more
OVERSHOOT = 1.5
SLACK = 5


def count_allowed(rate: float) -> float:
    """Return how many requests a target that names a rate tolerates in a window."""
    return OVERSHOOT * rate * WINDOW_SECONDS + SLACK


@dataclass(slots=True)
class AnnouncedRate:
    """The requests a second that a target takes, as it says in its answers."""

    #: value of the header; ``None``: it names none
    value: str | None = None
    #: monotonic times in seconds of the requests that it got
    arrivals: list[float] = field(default_factory=list)
    #: the same with their ids, for those that callers have sent
    requests: list[tuple[float, str]] = field(default_factory=list)
    #: time and id of each request that was answered with the rate
    answers: list[tuple[float, str]] = field(default_factory=list)

    def record_arrival(self, now: float, request_id: str = "") -> None:
        """Record a request or a stage call, whether or not it is run."""
        self.arrivals.append(now)
        if request_id:
            self.requests.append((now, request_id))

    def describe(self, now: float = 0.0, request_id: str = "") -> dict[str, str]:
        """Return the header lines of an answer."""
        if self.value is None:
            return {}
        if request_id:
            self.answers.append((now, request_id))
        return {"Server-Limit": self.value}

    def find_peak(self, since: float) -> int:
        """Return the most requests that it got in a window, from a time on."""
        times = sorted(one for one in self.arrivals if one >= since)
        peak = start = 0
        for end, time in enumerate(times):
            while times[start] <= time - WINDOW_SECONDS:
                start += 1
            peak = max(peak, end - start + 1)
        return peak
