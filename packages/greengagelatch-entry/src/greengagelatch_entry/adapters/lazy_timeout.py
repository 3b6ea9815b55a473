"""Timeout that is cheap to reschedule."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from types import TracebackType

__all__ = ("LazyTimeout",)


class LazyTimeout:
    """Cancels the code in its context once the deadline has passed.

    :func:`asyncio.timeout` sets a new timer whenever it is rescheduled. Here a later
    deadline costs an assignment: the timer compares it with the clock when it fires,
    and is set again if time is left.

    :param deadline: in seconds of the running loop's clock
    """

    def __init__(self, deadline: float) -> None:
        self._loop = asyncio.get_running_loop()
        self._deadline = deadline
        self._timeout = asyncio.timeout(None)
        self._timer: asyncio.TimerHandle | None = None

    def reschedule(self, deadline: float) -> None:
        """Change the deadline; without effect once the timeout has expired."""
        self._deadline = deadline
        if self._timer is not None and deadline < self._timer.when():
            self._timer.cancel()
            self._set_timer()

    async def __aenter__(self) -> LazyTimeout:
        await self._timeout.__aenter__()
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
        return await self._timeout.__aexit__(kind, error, traceback)

    def _set_timer(self) -> None:
        self._timer = self._loop.call_at(self._deadline, self._check)

    def _check(self) -> None:
        now = self._loop.time()
        if now < self._deadline:
            self._set_timer()
            return
        self._timer = None
        self._timeout.reschedule(now)
