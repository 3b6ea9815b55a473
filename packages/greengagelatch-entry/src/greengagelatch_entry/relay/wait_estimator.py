"""Estimate of the queue wait for the makers of a service."""

from __future__ import annotations

from collections import deque
from statistics import median
from typing import TYPE_CHECKING

from greengagelatch.relay.bundle_orders import is_late
from greengagelatch.relay.queue_waits import QueueWait
from greengagelatch.relay.rank_waits import RankCounts

if TYPE_CHECKING:
    from greengagelatch.relay.bundle_orders import BundleOrder
    from greengagelatch.relay.deployment import MakerProfile
    from greengagelatch.relay.pieces import Bundle

    from .bundle_queue import BundleQueue
    from .makers import Maker

__all__ = ("WaitEstimator",)

#: window of the measured throughput, in seconds
RATE_WINDOW_SECONDS = 2.0
#: lower bound of the measured throughput, as a share of the makers' expected one
MIN_RATE_SHARE = 0.3
#: seconds for which a count of the queue is cached
COUNT_CACHE_SECONDS = 0.02


class WaitEstimator:
    """Estimates the queue wait from the queued pieces and the speed of their makers.

    Every request reads the estimate, some several times. Counting the whole queue each
    time would cost more CPU time than the calls during a burst in a large deployment.
    So the queue is counted at most 50 times a second, and later arrivals are added.

    :param order: the order in which queued bundles are made
    """

    def __init__(self, now: float, order: BundleOrder) -> None:
        self._order = order
        #: monotonic seconds since when more pieces than fill one call have been queued
        self._queued_since = now
        #: end time, duration and number of pieces made of each answered call
        self._completed: deque[tuple[float, float, int]] = deque()
        self._counted_until = 0.0
        #: urgent and all queued pieces at the last count, and pieces added since
        self._urgent = 0
        self._waiting = 0
        self._added = 0
        #: the same by rank, where less urgent bundles yield
        self._ranks = RankCounts()
        #: estimated throughput, in pieces per second
        self._rate = 1.0
        #: median duration of a call, in seconds
        self._call_seconds = 0.0

    def record_completion(self, count: int, seconds: float, now: float) -> None:
        """Record the pieces that a call has made, and its duration."""
        self._completed.append((now, seconds, count))

    def record_added(self, bundle: Bundle, count: int, now: float) -> None:
        """Count the pieces of a bundle that were added to the queue."""
        self._added += count
        if self._order.by_rank:
            self._ranks.record_added(bundle, count, now)

    def estimate(
        self,
        queue: BundleQueue,
        makers: list[Maker],
        profile: MakerProfile | None,
        now: float,
    ) -> QueueWait:
        """Return the expected queue wait of a piece that is added now."""
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
            self._ranks.estimate(self._rate) if self._order.by_rank else (),
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
        urgent = []
        late = []
        for bundle, pending in queue.list_waiting():
            count = len(pending)
            self._waiting += count
            if is_late(bundle, count, profile, now, self._call_seconds):
                late.append((bundle, count))
                continue
            self._urgent += count
            urgent.append((bundle, count))
        if self._order.by_rank:
            self._ranks.count(urgent, late, now)
        speed = sum(1 / maker.find_slowness(now) for maker in makers)
        rate = profile.batch / profile.estimate_seconds(profile.batch)
        rate *= max(0.1, speed)
        if self._waiting <= profile.batch:
            self._queued_since = now
        elif now - self._queued_since >= RATE_WINDOW_SECONDS:
            # the makers' memory may limit the throughput more than their speed
            rate = min(rate, max(rate * MIN_RATE_SHARE, self._measure_rate()))
        self._rate = rate

    def _measure_rate(self) -> float:
        """Return the throughput in the window, in pieces per second."""
        return sum(count for _, _, count in self._completed) / RATE_WINDOW_SECONDS
