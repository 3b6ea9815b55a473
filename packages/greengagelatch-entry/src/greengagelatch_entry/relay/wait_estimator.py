"""How long a piece that came now would wait for the makers of its service."""

from __future__ import annotations

from collections import deque
from statistics import median
from typing import TYPE_CHECKING

from greengagelatch.relay.batches import is_late
from greengagelatch.relay.queue_waits import QueueWait

if TYPE_CHECKING:
    from greengagelatch.relay.deployment import MakerProfile

    from .bundle_queue import BundleQueue
    from .makers import Maker

__all__ = ("WaitEstimator",)

#: seconds over which the pieces made are counted
RATE_WINDOW_SECONDS = 2.0
#: share of makers' speed that is believed at the least
MIN_RATE_SHARE = 0.3
#: seconds for which a count of the queue is used again
COUNT_CACHE_SECONDS = 0.02


class WaitEstimator:
    """Estimates the wait from the pieces that wait and the speed of their makers.

    Every request asks, some several times. With the whole queue counted for each, a
    burst in a large deployment would cost more of the processor than the calls; so it
    is counted fifty times a second, and what has come since is added.
    """

    def __init__(self, now: float) -> None:
        #: monotonic seconds since when more than one call's pieces have waited
        self._queued_since = now
        #: ends of calls that were answered, their seconds, and the pieces made by each
        self._completed: deque[tuple[float, float, int]] = deque()
        self._counted_until = 0.0
        #: pieces that waited when they were counted, and those that came since
        self._urgent = 0
        self._waiting = 0
        self._added = 0
        #: pieces made a second
        self._rate = 1.0
        #: seconds that a call takes
        self._call_seconds = 0.0

    def record_completion(self, count: int, seconds: float, now: float) -> None:
        """Take in the pieces that a call has made, and how long it took."""
        self._completed.append((now, seconds, count))

    def record_added(self, count: int) -> None:
        """Take in pieces that came and wait."""
        self._added += count

    def estimate(
        self,
        queue: BundleQueue,
        makers: list[Maker],
        profile: MakerProfile | None,
        now: float,
    ) -> QueueWait:
        """Return how long a piece that came now would wait."""
        if not makers or not queue:
            self._queued_since = now
            self._counted_until = 0.0
            return QueueWait()
        if now >= self._counted_until:
            self._count(queue, makers, profile, now)
            self._counted_until = now + COUNT_CACHE_SECONDS
        return QueueWait(
            (self._urgent + self._added) / self._rate,
            (self._waiting + self._added) / self._rate,
            self._call_seconds,
        )

    def _count(
        self,
        queue: BundleQueue,
        makers: list[Maker],
        profile: MakerProfile,
        now: float,
    ) -> None:
        while self._completed and self._completed[0][0] < now - RATE_WINDOW_SECONDS:
            self._completed.popleft()
        self._call_seconds = median([one[1] for one in self._completed] or [0.0])
        self._urgent = self._waiting = self._added = 0
        for bundle, pending in queue.list_waiting():
            self._waiting += len(pending)
            if not is_late(bundle, len(pending), profile, now, self._call_seconds):
                self._urgent += len(pending)
        speed = sum(1 / maker.find_slowness(now) for maker in makers)
        rate = profile.batch / profile.estimate_seconds(profile.batch)
        rate *= max(0.1, speed)
        if self._waiting <= profile.batch:
            self._queued_since = now
        elif now - self._queued_since >= RATE_WINDOW_SECONDS:
            # makers' room may bind long before their time does
            rate = min(rate, max(rate * MIN_RATE_SHARE, self._measure_rate()))
        self._rate = rate

    def _measure_rate(self) -> float:
        """Return the pieces made a second, of late."""
        return sum(count for _, _, count in self._completed) / RATE_WINDOW_SECONDS
