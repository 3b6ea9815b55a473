"""Waits for a target that may be silent."""

from __future__ import annotations

import asyncio
import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ("ASK_INTERVAL", "SoftTimeout", "SoftTimeoutScope")

#: seconds after which it is asked again whether a silent target may be left
ASK_INTERVAL = 0.25
#: turns of the event loop for reading what has arrived. Through a tunnel it passes
#: several tasks
READING_TURNS = 8


@dataclass(slots=True, kw_only=True)
class SoftTimeout:
    """How long to wait for a silent target while another one could be used.

    One object may serve several waits of one attempt.

    :param seconds: how long, from the beginning of the first wait; infinite until
        :meth:`SoftTimeoutScope.reschedule` sets its end
    :param may_leave: called after that time, and again at intervals; returns whether
        to leave the target. The arguments tell whether it was called before, and
        whether the path of the connection is lost
    :param asked: whether it was called
    :param endured: whether the wait went on then, as the target may not be left
    """

    seconds: float
    may_leave: Callable[[bool, bool], bool]
    asked: bool = False
    endured: bool = False
    #: event loop time in seconds at which it ends; ``None`` before the first wait
    until: float | None = None

    def begin(self, now: float) -> float:
        """Begin a wait; return the event loop time in seconds at which it ends.

        Time before the first wait, as for opening the connection, does not count: the
        target had nothing to answer.
        """
        if self.until is None:
            self.until = now + self.seconds
        return self.until


class SoftTimeoutScope:
    """Async context manager around a wait for a target.

    :param end: event loop time in seconds at which the wait ends in any case
    :param soft_timeout: ``None`` if no other target could be used
    :param is_path_lost: returns whether the connection is direct although its target
        is reached through peers only
    :raises TimeoutError: at ``end``, or once the target may be left
    """

    __slots__ = ("_due", "_is_path_lost", "_scope", "_soft_timeout", "_timer")

    def __init__(
        self,
        end: float,
        soft_timeout: SoftTimeout | None,
        is_path_lost: Callable[[], bool] = lambda: False,
    ) -> None:
        self._scope = asyncio.timeout_at(end)
        self._soft_timeout = soft_timeout
        self._is_path_lost = is_path_lost
        self._timer: asyncio.Handle | None = None
        #: event loop time in seconds at which the timer is due
        self._due = math.inf

    def reschedule(self, until: float) -> None:
        """Change the time of the soft timeout, as the target has gone on.

        A later time costs an assignment: the timer looks at it when it is due. A new
        timer for each token would take a tenth of the processor time of a stream.
        """
        assert self._soft_timeout is not None
        self._soft_timeout.until = until
        if until < self._due:
            self._set_timer(until)

    async def __aenter__(self) -> SoftTimeoutScope:
        await self._scope.__aenter__()
        if self._soft_timeout is not None:
            now = asyncio.get_running_loop().time()
            self._set_timer(self._soft_timeout.begin(now))
        return self

    async def __aexit__(self, kind, error, traceback) -> bool | None:
        if self._timer is not None:
            self._timer.cancel()
        return await self._scope.__aexit__(kind, error, traceback)

    def _set_timer(self, due: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._due = due
        if due < math.inf:
            self._timer = asyncio.get_running_loop().call_at(due, self._read_first)

    def _read_first(self, turns: int = READING_TURNS) -> None:
        # a loop that stood still finds the timer due along with data of the target
        loop = asyncio.get_running_loop()
        if turns:
            self._timer = loop.call_soon(self._read_first, turns - 1)
            return
        self._ask()

    def _ask(self) -> None:
        if self._scope.expired():
            return
        loop = asyncio.get_running_loop()
        if loop.time() < self._soft_timeout.until:
            self._set_timer(self._soft_timeout.until)
            return
        asked, self._soft_timeout.asked = self._soft_timeout.asked, True
        if self._soft_timeout.may_leave(asked, self._is_path_lost()):
            self._scope.reschedule(loop.time())
            return
        self._soft_timeout.endured = True
        self._set_timer(loop.time() + ASK_INTERVAL)
