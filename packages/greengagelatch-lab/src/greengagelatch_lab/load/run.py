"""An open-loop run: sends requests on schedule, regardless of responses."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from .observations import Observation, RequestOutcome

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Sequence

    from .arrivals import Arrival
    from .balancer import Balancer
    from .client import CallerClient

__all__ = ("LoadRun",)

#: seconds between progress lines
PROGRESS_INTERVAL = 5.0


class LoadRun:
    """Sends arrivals through a balancer and collects the observations.

    :param stop_when_unavailable: stop sending as soon as no entry instance is ready,
        as the callers of a fleet that is shut down would
    :param on_progress: called with each progress line
    """

    def __init__(
        self,
        *,
        arrivals: Sequence[Arrival],
        balancer: Balancer,
        client: CallerClient,
        stop_when_unavailable: bool = False,
        on_progress: Callable[[str], None] | None = None,
    ) -> None:
        self._arrivals = arrivals
        self._balancer = balancer
        self._client = client
        self._stop_when_unavailable = stop_when_unavailable
        self._on_progress = on_progress
        #: id of the instance that each arrival was sent to, by index
        self._instances: dict[int, str] = {}
        self._in_flight: set[asyncio.Task[None]] = set()
        self._sent = 0
        self._stopped = False
        self._started = 0.0
        self.observations: list[Observation] = []
        #: maximum delay of this client behind the schedule in seconds
        self.client_lag = 0.0

    @property
    def in_flight(self) -> int:
        """Number of requests awaiting a response."""
        return len(self._in_flight)

    @property
    def elapsed(self) -> float:
        """Seconds since the start of the run; zero before."""
        if not self._started:
            return 0.0
        return asyncio.get_running_loop().time() - self._started

    def stop(self) -> None:
        """Send no further arrivals; requests in flight are still awaited."""
        self._stopped = True

    async def run(self) -> list[Observation]:
        """Send all arrivals and wait for all responses."""
        loop = asyncio.get_running_loop()
        self._started = loop.time()
        progress = asyncio.create_task(self._report_periodically())
        try:
            await self._send_all(loop)
            await asyncio.gather(*self._in_flight)
        finally:
            progress.cancel()
        self._report_progress()
        return self.observations

    async def _send_all(self, loop: asyncio.AbstractEventLoop) -> None:
        for arrival in self._arrivals:
            due = self._started + arrival.offset
            await asyncio.sleep(max(due - loop.time(), 0))
            if self._stopped:
                return
            avoid = ""
            if arrival.retry_of is not None:
                avoid = self._instances.get(arrival.retry_of, "")
            instance = self._balancer.pick(avoid)
            if instance is None:
                if self._stop_when_unavailable:
                    return
                self.observations.append(
                    Observation(arrival=arrival, outcome=RequestOutcome.UNSENT)
                )
                continue
            self._instances[arrival.index] = instance.instance_id
            self._sent += 1
            self.client_lag = max(self.client_lag, loop.time() - due)
            exchange = self._client.send(arrival, instance, due)
            task = asyncio.create_task(self._record(exchange))
            self._in_flight.add(task)
            task.add_done_callback(self._in_flight.discard)

    async def _record(self, exchange: Awaitable[Observation]) -> None:
        self.observations.append(await exchange)

    async def _report_periodically(self) -> None:
        while True:
            await asyncio.sleep(PROGRESS_INTERVAL)
            self._report_progress()

    def _report_progress(self) -> None:
        if self._on_progress is None:
            return
        in_time = sum(item.in_time for item in self.observations)
        refused = sum(
            item.outcome is RequestOutcome.REFUSAL for item in self.observations
        )
        failed = sum(
            item.outcome in (RequestOutcome.DISCONNECTED, RequestOutcome.TIMED_OUT)
            for item in self.observations
        )
        self._on_progress(
            f"{self.elapsed:6.1f} s: {self._sent} sent,"
            f" {len(self._in_flight)} in flight, {in_time} answered in time,"
            f" {refused} refused, {failed} failed,"
            f" {len(self._balancer.ready)} instances ready"
        )
