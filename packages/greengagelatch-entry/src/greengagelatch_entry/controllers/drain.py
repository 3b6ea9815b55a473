"""Graceful shutdown: leave the load balancer, drain requests, then stop."""

from __future__ import annotations

import asyncio
import logging
import math
from enum import Enum
from typing import TYPE_CHECKING, Any

from . import Controller

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from greengagelatch.clock import Clock
    from greengagelatch.events import EventBus

    from ..metrics import Metrics

__all__ = ("DRAIN_STARTED", "DrainController", "DrainState")

logger = logging.getLogger(__name__)

#: emitted without arguments when a graceful shutdown is requested
DRAIN_STARTED = "drain-started"


class DrainState(Enum):
    """Phase of a graceful shutdown; phases only advance in this order."""

    SERVING = "serving"
    #: reported as not ready, but still accepting connections and requests
    LEAVING = "leaving"
    #: no new connections; requests in flight run to completion
    FINISHING = "finishing"
    #: requests in flight are aborted and get their final responses
    ABORTING = "ending"
    STOPPED = "stopped"


#: seconds to write the final responses of aborted requests; a few times the longest
#: pause of a process that is throttled by its CPU quota (0.1 s)
ABORT_RESPONSE_SECONDS = 0.3


class DrainController(Controller):
    """Runs the phases of a graceful shutdown.

    The load balancer notices with a delay that an instance is not ready, and reuses
    its open connections until then. Closing the listener at once would reset the
    requests sent meanwhile, and callers would see connection resets during every
    rollout. The instance therefore first reports itself not ready, keeps serving for
    ``balancer_lag`` seconds, and then lets the requests in flight finish for at most
    ``max_drain_seconds``. Requests that are still running then are aborted and
    answered: if they were left to the exit of the process, callers would see closed
    connections without a status.

    :param close_listener: stops accepting connections.
    :param wait_idle: waits until no request is in flight, at most the given
        seconds; returns whether none is left.
    :param abort_requests: aborts the requests in flight, so that each is answered, and
        refuses those whose headers are complete only after that.
    """

    name = "drain"

    def __init__(
        self,
        *,
        clock: Clock,
        events: EventBus,
        metrics: Metrics,
        balancer_lag: float,
        max_drain_seconds: float,
        close_listener: Callable[[], Awaitable[None]],
        wait_idle: Callable[[float], Awaitable[bool]],
        abort_requests: Callable[[], None],
    ) -> None:
        super().__init__()
        self._clock = clock
        self._events = events
        self._metrics = metrics
        self._balancer_lag = balancer_lag
        self._max_drain_seconds = max_drain_seconds
        self._close_listener = close_listener
        self._wait_idle = wait_idle
        self._abort_requests = abort_requests
        self._state = DrainState.SERVING
        self._started_at: float | None = None
        self._shutdown_requested = asyncio.Event()
        self._exit_requested = asyncio.Event()
        events.declare(DRAIN_STARTED)

    @property
    def state(self) -> DrainState:
        """Current phase of the shutdown."""
        return self._state

    @property
    def draining(self) -> bool:
        """Whether a shutdown was requested."""
        return self._state is not DrainState.SERVING

    @property
    def started_at(self) -> float | None:
        """Monotonic time in seconds of the shutdown request; ``None`` before it."""
        return self._started_at

    @property
    def drain_deadline(self) -> float:
        """Monotonic time in seconds at which requests are aborted; else infinite."""
        if self._started_at is None:
            return math.inf
        return self._started_at + self._balancer_lag + self._max_drain_seconds

    def request_stop(self) -> None:
        """Start a graceful shutdown; a second call aborts the requests in flight."""
        if self._shutdown_requested.is_set():
            logger.warning("second shutdown request: aborting requests in flight")
            self._exit_requested.set()
            return
        self._started_at = self._clock.now()
        self._state = DrainState.LEAVING
        self._shutdown_requested.set()
        logger.info("shutdown requested: serving for another %s s", self._balancer_lag)
        self._events.emit(DRAIN_STARTED)

    def start_drain(self) -> None:
        """Start a graceful shutdown unless one was requested; idempotent."""
        if not self._shutdown_requested.is_set():
            self.request_stop()

    async def wait(self) -> bool:
        """Wait for a shutdown request and execute it.

        :return: whether every request in flight was completed.
        """
        await self._shutdown_requested.wait()
        drain_task = asyncio.create_task(self._drain())
        exit_task = asyncio.create_task(self._exit_requested.wait())
        await asyncio.wait({drain_task, exit_task}, return_when=asyncio.FIRST_COMPLETED)
        exit_task.cancel()
        if not drain_task.done():
            drain_task.cancel()
        results = await asyncio.gather(drain_task, return_exceptions=True)
        finished = results[0] is True
        if not finished:
            await self._abort()
        self._state = DrainState.STOPPED
        self._metrics.count("drain.finished" if finished else "drain.cut")
        outcome = "all requests completed" if finished else "requests aborted"
        logger.info("%s %.2f s after shutdown request", outcome, self._find_elapsed())
        return finished

    async def _drain(self) -> bool:
        """Return whether every request in flight was completed."""
        try:
            await asyncio.sleep(self._balancer_lag)
            self._state = DrainState.FINISHING
            await self._close_listener()
            # counted from the request, so that a suspended process does not overrun it
            seconds = max(0.0, self.drain_deadline - self._clock.now())
            finished = await self._wait_idle(seconds)
            if finished:
                # the process exits before a request that begins now could be answered
                self._abort_requests()
            return finished
        except Exception:
            logger.exception("graceful shutdown failed; aborting requests in flight")
            return False

    async def _abort(self) -> None:
        """Abort the requests in flight and wait until they are answered."""
        self._state = DrainState.ABORTING
        self._abort_requests()
        try:
            await self._wait_idle(ABORT_RESPONSE_SECONDS)
        except Exception:
            logger.exception("can't tell whether aborted requests were answered")

    def dump(self) -> dict[str, Any]:
        elapsed = None if self._started_at is None else self._find_elapsed()
        return {"state": self._state.value, "seconds_since_request": elapsed}

    def _find_elapsed(self) -> float:
        return self._clock.now() - (self._started_at or 0.0)
