"""Cleanup of child processes when a tool is terminated."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING, TypeVar

if TYPE_CHECKING:
    from collections.abc import Coroutine

__all__ = ("run_with_cleanup",)

Value = TypeVar("Value")

#: exit status that shells report for a process terminated by SIGTERM
SIGTERM_STATUS = 128 + signal.SIGTERM


def run_with_cleanup(coroutine: Coroutine[None, None, Value]) -> Value:
    """Run ``coroutine`` in a new event loop and return its result.

    SIGTERM cancels ``coroutine`` instead of terminating the process at once, so that
    its child processes are cleaned up. Orphaned children would keep loading the
    machine.
    """
    try:
        return asyncio.run(_run(coroutine))
    except asyncio.CancelledError:
        raise SystemExit(SIGTERM_STATUS) from None


async def _run(coroutine: Coroutine[None, None, Value]) -> Value:
    task = asyncio.ensure_future(coroutine)
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, task.cancel)
    return await task
