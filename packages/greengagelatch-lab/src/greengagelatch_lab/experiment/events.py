"""Virtual clock of a discrete-event simulation."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from itertools import count

from greengagelatch.clock import Clock

__all__ = ("EventClock",)


class EventClock(Clock):
    """Advances virtual time from event to event and runs their callbacks."""

    def __init__(self) -> None:
        self._now = 0.0
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._order = count()

    def now(self) -> float:
        return self._now

    def wall(self) -> float:
        return self._now

    def call_at(self, when: float, callback: Callable[[], None]) -> None:
        """Schedule ``callback`` at ``when``; equal times run in call order."""
        entry = (max(when, self._now), next(self._order), callback)
        heapq.heappush(self._heap, entry)

    def call_later(self, delay: float, callback: Callable[[], None]) -> None:
        """Schedule ``callback`` after ``delay`` seconds."""
        self.call_at(self._now + delay, callback)

    def run(self, until: float) -> None:
        """Run all events due up to ``until`` and advance the clock to it."""
        while self._heap and self._heap[0][0] <= until:
            self._now, _, callback = heapq.heappop(self._heap)
            callback()
        self._now = until
