"""Graceful stop: leave the balancer's rotation, finish what runs, then end."""

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

#: emitted without arguments as soon as this instance is to stop
DRAIN_STARTED = "drain-started"


class DrainState(Enum):
    """How far a stop has come; states only move down this list."""

    SERVING = "serving"
    #: not ready, but still serving what the balancer goes on sending
    LEAVING = "leaving"
    #: no new connections; requests in flight are finished
    FINISHING = "finishing"
    #: requests in flight are broken off and get their final answers
    ENDING = "ending"
    STOPPED = "stopped"


#: seconds for the final answers to requests that are broken off; some times the
#: longest pause of a processor whose share is used up (0.1 s)
LAST_ANSWERS = 0.3


class DrainController(Controller):
    """Runs the steps of a planned stop.

    The balancer learns with a lag that an instance is not ready and keeps its open
    connections until it does. An instance that stopped listening at once would cut
    the requests sent meanwhile, which callers see as resets during every rollout.
    So it first only reports itself not ready, serves on for ``balancer_lag``
    seconds, and then finishes what is in flight for at most ``longest`` seconds.
    What is not finished by then is broken off and answered: left to the end of the
    process, callers would see closed connections that tell them nothing.

    :param close_listener: stops taking new connections.
    :param wait_idle: waits until no request is in flight, at most the given
        seconds; returns whether none is left.
    :param break_off: breaks off the requests in flight, so that each is answered.
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
        break_off: Callable[[], None],
    ) -> None:
        super().__init__()
        self._clock = clock
        self._events = events
        self._metrics = metrics
        self._balancer_lag = balancer_lag
        self._longest = longest
        self._close_listener = close_listener
        self._wait_idle = wait_idle
        self._break_off = break_off
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

    @property
    def ends_at(self) -> float:
        """Monotonic seconds at which requests are broken off; infinite if never."""
        if self._started_at is None:
            return math.inf
        return self._started_at + self._balancer_lag + self._longest

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
        ending = "every request is finished" if finished else "requests broken off"
        logger.info("%s, %.2f s after the stop request", ending, self._find_elapsed())
        return finished

    async def _finish(self) -> bool:
        try:
            if await self._finish_requests():
                return True
        except Exception:
            logger.exception("a step of the stop failed")
        self._state = DrainState.ENDING
        self._break_off()
        await self._wait_idle(LAST_ANSWERS)
        return False

    async def _finish_requests(self) -> bool:
        await asyncio.sleep(self._balancer_lag)
        self._state = DrainState.FINISHING
        await self._close_listener()
        # from the request on: a process that stood still meanwhile has less time left
        return await self._wait_idle(max(0.0, self.ends_at - self._clock.now()))

    def dump(self) -> dict[str, Any]:
        elapsed = None if self._started_at is None else self._find_elapsed()
        return {"state": self._state.value, "seconds_since_request": elapsed}

    def _find_elapsed(self) -> float:
        return self._clock.now() - (self._started_at or 0.0)
