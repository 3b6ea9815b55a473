"""When which target is asked for its load."""

from __future__ import annotations

import heapq
import random
from collections.abc import Mapping

__all__ = ("PollSchedule",)

#: delays are spread by this part either way, so that polls don't fall together
JITTER = 0.25

#: in place of a time: the target has been asked and has not yet answered
_IN_FLIGHT = float("inf")


class PollSchedule:
    """Asks each watched target at its own interval, within one common rate.

    Where the watched targets need more polls than the rate allows, those overdue
    longest come first and all intervals stretch alike.

    :param rate: polls a second in all.
    """

    def __init__(self, *, rate: float, random_source: random.Random) -> None:
        self._rate = rate
        self._random = random_source
        self._heap: list[tuple[float, str]] = []
        self._due: dict[str, float] = {}
        self._tokens = 1.0
        self._refilled: float | None = None

    def watch(self, now: float, intervals: Mapping[str, float]) -> None:
        """Watch exactly these targets; values are seconds between polls."""
        for target_id in list(self._due):
            if target_id not in intervals:
                del self._due[target_id]
        for target_id, interval in intervals.items():
            # an interval that has become shorter brings the next poll forward
            latest = now + interval * (1 + JITTER)
            due = self._due.get(target_id)
            if due is not None and (due == _IN_FLIGHT or due <= latest):
                continue
            self._set(target_id, now + interval * self._random.random())

    def reschedule(self, now: float, target_id: str, delay: float) -> None:
        """Set the next poll of a watched target."""
        if target_id not in self._due:
            return
        spread = 1 - JITTER + 2 * JITTER * self._random.random()
        self._set(target_id, now + delay * spread)

    def take_due(self, now: float, limit: int) -> tuple[str, ...]:
        """Return at most ``limit`` targets to ask now.

        A taken target is not due again until :meth:`postpone` is called for it.
        """
        self._refill(now)
        taken = []
        while self._heap and len(taken) < limit and self._tokens >= 1:
            due, target_id = self._heap[0]
            if due > now:
                break
            heapq.heappop(self._heap)
            # entries of targets no longer watched or set anew are left behind
            if self._due.get(target_id) != due:
                continue
            self._due[target_id] = _IN_FLIGHT
            self._tokens -= 1
            taken.append(target_id)
        return tuple(taken)

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
        # at most one second's worth is saved up: after a pause of this process
        # all targets are due at once and would be asked in one burst
        ceiling = max(1.0, self._rate)
        self._tokens = min(ceiling, self._tokens + since * self._rate)
