"""Bounded waits on conditions, for tests and tools."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ("wait_until",)

#: seconds between two looks at a condition
POLL_INTERVAL = 0.01


async def wait_until(
    condition: Callable[[], bool], *, timeout: float = 20.0, what: str = "condition"
) -> None:
    """Wait until ``condition`` holds.

    :raises TimeoutError: if it does not within ``timeout`` seconds.
    """
    loop = asyncio.get_running_loop()
    end = loop.time() + timeout
    # the condition is outside state that nothing announces: polling is meant
    while not condition():
        if loop.time() > end:
            msg = f"{what} did not hold within {timeout:g} s"
            raise TimeoutError(msg)
        await asyncio.sleep(POLL_INTERVAL)
