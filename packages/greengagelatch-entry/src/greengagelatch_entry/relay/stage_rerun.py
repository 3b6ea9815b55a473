"""Execution of a request's stages once more, for another attempt."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .stages import StageResults, StageRun

__all__ = ("StageRerun",)


class StageRerun:
    """Executes the stages of a request again, if need be ahead of another attempt.

    A silent target that has fetched the results is left only once there are new ones:
    stages may fail or take longer than expected, and the target may go on meanwhile.
    """

    def __init__(self, run: StageRun) -> None:
        self._run = run
        self._task: asyncio.Task[StageResults] | None = None

    @property
    def is_begun(self) -> bool:
        """Whether the stages were begun ahead, also if they have failed since."""
        return self._task is not None

    @property
    def is_ready(self) -> bool:
        """Whether there are results that another target can fetch."""
        task = self._task
        if task is None or not task.done() or task.cancelled() or task.exception():
            return False
        return not self._run.is_lost(task.result())

    def begin(self) -> None:
        """Begin to execute the stages ahead; no effect if they were begun."""
        if self._task is None:
            self._task = asyncio.create_task(self._run.execute())

    async def finish(self) -> StageResults:
        """Return the results of stages that were begun ahead, or execute them now.

        :raises RefusedError: if a stage fails or cannot be finished in time
        """
        task = self._task
        if task is None or (task.done() and not self.is_ready):
            await self.discard()
            self._run.free()
            return await self._run.execute()
        self._task = None
        return await task

    async def discard(self) -> None:
        """Cancel stages that were begun ahead, and free their results."""
        task, self._task = self._task, None
        if task is None:
            return
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        self._run.free()
