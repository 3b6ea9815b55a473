"""Runs a tool that starts processes, so that it always ends them."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING, TypeVar

if TYPE_CHECKING:
    from collections.abc import Coroutine

__all__ = ("run_tool",)

Value = TypeVar("Value")

#: exit status of a process ended by SIGTERM, as shells give it
TERMINATED = 128 + signal.SIGTERM


def run_tool(work: Coroutine[None, None, Value]) -> Value:
    """Run ``work`` in a loop of its own and return what it returns.

    SIGTERM cancels the work instead of ending the process at once. Otherwise the
    processes that it started would be left behind, and show up as load on the
    machine with nobody to end them.
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
