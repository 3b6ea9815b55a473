"""Schedule of the polls for targets' load reports."""

from __future__ import annotations

import heapq
import random
from collections.abc import Mapping

__all__ = ("PollSchedule",)

#: share by which delays are randomly shortened or lengthened, so that polls do not
#: coincide
JITTER = 0.25

#: due time of a target whose poll is in flight
_IN_FLIGHT = float("inf")


class PollSchedule:
    """Polls each target at its own interval, within a common rate limit.

    If the targets need more polls than the rate allows, those overdue for longest come
    first, and the intervals of all targets become longer.

    :param rate: maximum number of polls per second for all targets together.
    """

    def __init__(self, *, rate: float, random_source: random.Random) -> None:
        self._rate = rate
        self._random = random_source
        self._heap: list[tuple[float, str]] = []
        self._due: dict[str, float] = {}
        self._tokens = 1.0
        self._refilled: float | None = None

    def watch(self, now: float, intervals: Mapping[str, float]) -> None:
        """Set the targets to poll; the values are seconds between polls."""
        for target_id in list(self._due):
            if target_id not in intervals:
                del self._due[target_id]
        for target_id, interval in intervals.items():
            # a shorter interval than before advances the next poll
            latest = now + interval * (1 + JITTER)
            due = self._due.get(target_id)
            if due is not None and (due == _IN_FLIGHT or due <= latest):
                continue
            self._set(target_id, now + interval * self._random.random())

    def reschedule(self, now: float, target_id: str, delay: float) -> None:
        """Schedule the next poll of a target after ``delay`` seconds with jitter."""
        if target_id not in self._due:
            return
        spread = 1 - JITTER + 2 * JITTER * self._random.random()
        self._set(target_id, now + delay * spread)

    def take_due(self, now: float, limit: int) -> tuple[str, ...]:
        """Return up to ``limit`` targets to poll now.

        A returned target is not due again until :meth:`reschedule` is called for it.
        """
        self._refill(now)
        selected = []
        while self._heap and len(selected) < limit and self._tokens >= 1:
            due, target_id = self._heap[0]
            if due > now:
                break
            heapq.heappop(self._heap)
            # skip outdated entries of targets that were removed or rescheduled
            if self._due.get(target_id) != due:
                continue
            self._due[target_id] = _IN_FLIGHT
            self._tokens -= 1
            selected.append(target_id)
        return tuple(selected)

    def _set(self, target_id: str, due: float) -> None:
        self._due[target_id] = due
        heapq.heappush(self._heap, (due, target_id))
        if len(self._heap) > 2 * len(self._due) + 64:
            self._rebuild()

    def _rebuild(self) -> None:
        self._heap = [
            (due, target_id)
            for target_id, due in self._due.items()
            if due != _IN_FLIGHT
        ]
        heapq.heapify(self._heap)

    def _refill(self, now: float) -> None:
        since = 0.0 if self._refilled is None else max(0.0, now - self._refilled)
        self._refilled = now
        # the bucket holds the tokens of at most one second: after a pause of this
        # process all targets are due at once and would be polled in one burst
        ceiling = max(1.0, self._rate)
        self._tokens = min(ceiling, self._tokens + since * self._rate)
