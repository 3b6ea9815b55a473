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
    hedge_delay: float,
) -> CallResult:
    """Make a hedged call; return the first answer, or a failure if there is none.

    The first call runs in the current task, as almost all calls need no backup. The
    other call is cancelled, and has ended when this function returns.

    :param backup: makes the backup call after ``hedge_delay`` seconds; its result is
        ``None`` if no call could be made
    """
    hedged_call = _HedgedCall(backup)
    timer = asyncio.get_running_loop().call_later(hedge_delay, hedged_call.call_backup)
    try:
        return await hedged_call.run(first)
    finally:
        timer.cancel()
        await hedged_call.stop()


class _HedgedCall:
    """The state of one hedged call."""

    def __init__(self, backup: Callable[[], Awaitable[CallResult | None]]) -> None:
        self._backup = backup
        self._backup_task: asyncio.Task[CallResult | None] | None = None
        # has no deadline: the backup's answer makes it expire
        self._timeout = asyncio.timeout(None)
        self._first_running = False

    async def run(self, first: Callable[[], Awaitable[CallResult]]) -> CallResult:
        """Make the first call; return the backup's answer if that comes first."""
        self._first_running = True
        try:
            async with self._timeout:
                result = await first()
        except TimeoutError:
            answer = self._find_backup_answer()
            if answer is None:
                raise
            return answer
        finally:
            self._first_running = False
        if isinstance(result, Err) and self._backup_task is not None:
            return await self._backup_task or result
        return result

    def call_backup(self) -> None:
        """Start the backup call."""
        self._backup_task = asyncio.ensure_future(self._backup())
        self._backup_task.add_done_callback(self._interrupt_first_call)

    async def stop(self) -> None:
        """Cancel the backup call if it is still running, and wait for its end."""
        if self._backup_task is None or self._backup_task.done():
            return
        self._backup_task.cancel()
        await asyncio.gather(self._backup_task, return_exceptions=True)

    def _interrupt_first_call(self, _task: asyncio.Task[CallResult | None]) -> None:
        if self._first_running and self._find_backup_answer() is not None:
            self._timeout.reschedule(asyncio.get_running_loop().time())

    def _find_backup_answer(self) -> CallResult | None:
        task = self._backup_task
        if task is None or not task.done() or task.cancelled() or task.exception():
            return None
        result = task.result()
        return result if isinstance(result, Ok) else None
