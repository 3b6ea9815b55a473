"""Polling with a time-out, for tests and tools."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ("wait_until",)

#: interval between two checks of a condition, in seconds
POLL_INTERVAL = 0.01


async def wait_until(
    condition: Callable[[], bool], *, timeout: float = 20.0, what: str = "condition"
) -> None:
    """Poll until ``condition`` holds.

    :raises TimeoutError: if it does not hold within ``timeout`` seconds.
    """
    loop = asyncio.get_running_loop()
    end = loop.time() + timeout
    # changes of the observed state are not signalled, so it has to be polled
    while not condition():
        if loop.time() > end:
            msg = f"{what} did not hold within {timeout:g} s"
            raise TimeoutError(msg)
        await asyncio.sleep(POLL_INTERVAL)
