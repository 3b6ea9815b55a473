"""Entry point for tools that start processes and must terminate them."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING, TypeVar

if TYPE_CHECKING:
    from collections.abc import Coroutine

__all__ = ("run_with_cleanup",)

Value = TypeVar("Value")

#: exit status that shells report for a process terminated by SIGTERM
TERMINATED = 128 + signal.SIGTERM


def run_with_cleanup(work: Coroutine[None, None, Value]) -> Value:
    """Run ``work`` in a new event loop and return its result.

    SIGTERM cancels ``work`` instead of terminating the process at once, so that its
    child processes are cleaned up. Orphaned children would keep loading the machine.
    """
    try:
        return asyncio.run(_run(work))
    except asyncio.CancelledError:
        raise SystemExit(TERMINATED) from None


async def _run(work: Coroutine[None, None, Value]) -> Value:
    task = asyncio.ensure_future(work)
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, task.cancel)
    return await task
