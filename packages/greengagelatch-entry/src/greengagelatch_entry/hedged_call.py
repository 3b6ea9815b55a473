"""Hedged calls: a backup call is made if the first one is slow."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from greengagelatch.targets import CallFailure, StageAnswer

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

__all__ = ("CallResult", "call_with_hedge")

CallResult = Result[StageAnswer, CallFailure]


async def call_with_hedge(
    first: Callable[[], Awaitable[CallResult]],
    backup: Callable[[], Awaitable[CallResult | None]],
    patience: float,
) -> CallResult:
    """Make a hedged call; return the first answer, or a failure if there is none.

    The first call runs in the current task, as almost all calls need no backup. The
    other call is cancelled, and has ended when this function returns.

    :param backup: makes the backup call after ``patience`` seconds; its result is
        ``None`` if no call could be made
    """
    runner = _Race(backup)
    timer = asyncio.get_running_loop().call_later(patience, runner.call_backup)
    try:
        return await runner.run(first)
    finally:
        timer.cancel()
        await runner.stop()


class _Race:
    """The state of one hedged call."""

    def __init__(self, backup: Callable[[], Awaitable[CallResult | None]]) -> None:
        self._backup = backup
        self._task: asyncio.Task[CallResult | None] | None = None
        # has no deadline: the backup's answer makes it expire
        self._guard = asyncio.timeout(None)
        self._running = False

    async def run(self, first: Callable[[], Awaitable[CallResult]]) -> CallResult:
        """Make the first call; return the backup's answer if that comes first."""
        self._running = True
        try:
            async with self._guard:
                result = await first()
        except TimeoutError:
            answer = self._find_answer()
            if answer is None:
                raise
            return answer
        finally:
            self._running = False
        if isinstance(result, Err) and self._task is not None:
            return await self._task or result
        return result

    def call_backup(self) -> None:
        """Start the backup call."""
        self._task = asyncio.ensure_future(self._backup())
        self._task.add_done_callback(self._overtake)

    async def stop(self) -> None:
        """Cancel the backup call if it is still running, and wait for its end."""
        if self._task is None or self._task.done():
            return
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

    def _overtake(self, _task: asyncio.Task[CallResult | None]) -> None:
        if self._running and self._find_answer() is not None:
            self._guard.reschedule(asyncio.get_running_loop().time())

    def _find_answer(self) -> CallResult | None:
        task = self._task
        if task is None or not task.done() or task.cancelled() or task.exception():
            return None
        result = task.result()
        return result if isinstance(result, Ok) else None
