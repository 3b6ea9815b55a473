"""Graceful stop: leave the balancer's rotation, finish what runs, then end."""

from __future__ import annotations

import asyncio
import logging
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

#: emitted without arguments as soon as this instance is to stop
DRAIN_STARTED = "drain-started"


class DrainState(Enum):
    """How far a stop has come; states only move down this list."""

    SERVING = "serving"
    #: not ready, but still serving what the balancer goes on sending
    LEAVING = "leaving"
    #: no new connections; requests in flight are finished
    FINISHING = "finishing"
    STOPPED = "stopped"


class DrainController(Controller):
    """Runs the steps of a planned stop.

    The balancer learns with a lag that an instance is not ready and keeps its open
    connections until it does. An instance that stopped listening at once would cut
    the requests sent meanwhile, which callers see as resets during every rollout.
    So it first only reports itself not ready, serves on for ``balancer_lag``
    seconds, and then finishes what is in flight for at most ``longest`` seconds.

    :param close_listener: stops taking new connections.
    :param wait_idle: waits until no request is in flight, at most the given
        seconds; returns whether none is left.
    """

    name = "drain"

    def __init__(
        self,
        *,
        clock: Clock,
        events: EventBus,
        metrics: Metrics,
        balancer_lag: float,
        longest: float,
        close_listener: Callable[[], Awaitable[None]],
        wait_idle: Callable[[float], Awaitable[bool]],
    ) -> None:
        super().__init__()
        self._clock = clock
        self._events = events
        self._metrics = metrics
        self._balancer_lag = balancer_lag
        self._longest = longest
        self._close_listener = close_listener
        self._wait_idle = wait_idle
        self._state = DrainState.SERVING
        self._started_at: float | None = None
        self._requested = asyncio.Event()
        self._abandoned = asyncio.Event()
        events.declare(DRAIN_STARTED)

    @property
    def state(self) -> DrainState:
        """How far the stop has come."""
        return self._state

    @property
    def draining(self) -> bool:
        """Whether a stop has begun."""
        return self._state is not DrainState.SERVING

    @property
    def started_at(self) -> float | None:
        """Monotonic seconds at which the stop was requested; ``None`` before."""
        return self._started_at

    def request_stop(self) -> None:
        """Begin a planned stop; a second call ends it without waiting."""
        if self._requested.is_set():
            logger.warning("second stop request: ending without finishing requests")
            self._abandoned.set()
            return
        self._started_at = self._clock.now()
        self._state = DrainState.LEAVING
        self._requested.set()
        logger.info("stop requested: serving on for %s s", self._balancer_lag)
        self._events.emit(DRAIN_STARTED)

    def start_drain(self) -> None:
        """Begin a planned stop unless one has begun; repeating it is harmless."""
        if not self._requested.is_set():
            self.request_stop()

    async def wait(self) -> bool:
        """Wait for a stop and carry it out; whether every request was finished."""
        await self._requested.wait()
        work = asyncio.create_task(self._finish())
        abandoned = asyncio.create_task(self._abandoned.wait())
        await asyncio.wait({work, abandoned}, return_when=asyncio.FIRST_COMPLETED)
        abandoned.cancel()
        if not work.done():
            work.cancel()
        results = await asyncio.gather(work, return_exceptions=True)
        self._state = DrainState.STOPPED
        finished = results[0] is True
        self._metrics.count("drain.finished" if finished else "drain.cut")
        ending = "every request is answered" if finished else "requests are cut"
        logger.info("%s, %.2f s after the stop request", ending, self._find_elapsed())
        return finished

    async def _finish(self) -> bool:
        await asyncio.sleep(self._balancer_lag)
        self._state = DrainState.FINISHING
        await self._close_listener()
        return await self._wait_idle(self._longest)

    def dump(self) -> dict[str, Any]:
        elapsed = None if self._started_at is None else self._find_elapsed()
        return {"state": self._state.value, "seconds_since_request": elapsed}

    def _find_elapsed(self) -> float:
        return self._clock.now() - (self._started_at or 0.0)
