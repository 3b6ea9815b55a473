"""Sampling of the processor and network utilization of this instance."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from mode import Service

from greengagelatch.relay.capacity import Usage, is_busy

from ..controllers import Controller

if TYPE_CHECKING:
    from collections.abc import Callable

    from greengagelatch.clock import Clock
    from greengagelatch.relay.capacity import Capacity

    from ..metric_totals import MetricTotals
    from .decisions import DecisionLog

__all__ = ("UsageController",)

#: seconds between two samples
SAMPLE_INTERVAL = 1.0
#: counters of bytes sent by this instance
SENT_BYTE_COUNTERS = (
    "links.bytes_out",
    "peers.wire_out",
    "tunnels.bytes_out",
    "front.bytes_out",
)


class UsageController(Controller):
    """Samples resource utilization and logs when a resource is saturated.

    Saturation delays everything that an instance does, so that its calls to others
    appear slow. Without these samples, a slow target, a saturated processor and a
    saturated link look the same in the log.

    :param read_busy_seconds: returns the cumulative busy time of the event loop
    """

    name = "usage"

    def __init__(
        self,
        *,
        capacity: Capacity,
        read_busy_seconds: Callable[[], float],
        clock: Clock,
        metrics: MetricTotals,
        decisions: DecisionLog,
    ) -> None:
        super().__init__()
        self._capacity = capacity
        self._read_busy_seconds = read_busy_seconds
        self._clock = clock
        self._metrics = metrics
        self._decisions = decisions
        self._usage = Usage(work=0.0, link=0.0, lag=0.0)
        self._busy = False

    def dump(self) -> dict[str, Any]:
        return {"busy": self._busy, **self._describe()}

    @Service.task
    async def _sample_forever(self) -> None:
        while not self.should_stop:
            self._publish(await self._sample())

    async def _sample(self) -> Usage:
        began = self._clock.now()
        work, sent = self._read_busy_seconds(), self._count_sent()
        await asyncio.sleep(SAMPLE_INTERVAL)
        seconds = self._clock.now() - began
        return Usage(
            work=_compute_share(self._read_busy_seconds() - work, seconds),
            link=_compute_share(
                self._count_sent() - sent, seconds * self._capacity.link_bytes
            ),
            lag=max(0.0, seconds - SAMPLE_INTERVAL),
        )

    def _publish(self, usage: Usage) -> None:
        self._usage = usage
        self._metrics.gauge("usage.work", usage.work)
        self._metrics.gauge("usage.link", usage.link)
        self._metrics.gauge("usage.loop_lag", usage.lag)
        busy = is_busy(usage, self._busy)
        if busy != self._busy:
            self._busy = busy
            self._decisions.log_state_change(
                "busy" if busy else "relieved", **self._describe()
            )

    def _count_sent(self) -> int:
        return sum(self._metrics.value(name) for name in SENT_BYTE_COUNTERS)

    def _describe(self) -> dict[str, float]:
        return {
            "work": round(self._usage.work, 2),
            "link": round(self._usage.link, 2),
            "lag_ms": round(self._usage.lag * 1000),
        }


def _compute_share(used: float, allowed: float) -> float:
    return used / allowed if allowed > 0 else 0.0
