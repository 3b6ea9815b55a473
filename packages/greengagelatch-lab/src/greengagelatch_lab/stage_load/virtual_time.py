"""Event loops in virtual time."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, TypeVar

from looptime import LoopTimeEventLoop

from greengagelatch.clock import Clock

if TYPE_CHECKING:
    from collections.abc import Coroutine

__all__ = ("LoopClock", "run_in_virtual_time")

Result = TypeVar("Result")


class _VirtualLoop(LoopTimeEventLoop, asyncio.SelectorEventLoop):
    """An event loop in virtual time, which never sleeps."""


class LoopClock(Clock):
    """Reads the virtual time of the running event loop."""

    def now(self) -> float:
        return asyncio.get_running_loop().time()

    def wall(self) -> float:
        return self.now()


def run_in_virtual_time(work: Coroutine[object, object, Result]) -> Result:
    """Run a coroutine in an event loop that never sleeps and return its result."""
    loop = _VirtualLoop(start=0.0, noop_cycles=0)
    asyncio.set_event_loop(loop)
    try:
        return loop.run_until_complete(work)
    finally:
        loop.close()
        asyncio.set_event_loop(None)
