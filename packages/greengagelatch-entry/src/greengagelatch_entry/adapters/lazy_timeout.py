"""A time limit that is moved often."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from types import TracebackType

__all__ = ("LazyTimeout",)


class LazyTimeout:
    """Cancels what runs in its context once its end has come.

    :func:`asyncio.timeout` sets a new timer whenever it is rescheduled; a stream's
    limit moves with each token, and the timers then took a tenth of its processor
    time. Here a later end costs an assignment: the timer looks at it when it fires,
    and is set again if there is time left.

    :param end: seconds of the running loop's clock
    """

    def __init__(self, end: float) -> None:
        self._loop = asyncio.get_running_loop()
        self._end = end
        self._guard = asyncio.timeout(None)
        self._timer: asyncio.TimerHandle | None = None

    def move(self, end: float) -> None:
        """Set another end; without effect once the limit has been exceeded."""
        self._end = end
        if self._timer is not None and end < self._timer.when():
            self._timer.cancel()
            self._set_timer()

    async def __aenter__(self) -> LazyTimeout:
        await self._guard.__aenter__()
        self._set_timer()
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> bool | None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        return await self._guard.__aexit__(kind, error, traceback)

    def _set_timer(self) -> None:
        self._timer = self._loop.call_at(self._end, self._check)

    def _check(self) -> None:
        now = self._loop.time()
        if now < self._end:
            self._set_timer()
            return
        self._timer = None
        self._guard.reschedule(now)
