"""Event loop that measures its busy time."""

from __future__ import annotations

import asyncio
import selectors
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ("BusyTimeSelector", "create_measured_loop")


class BusyTimeSelector(selectors.DefaultSelector):
    """Selector that accumulates the time between its waits.

    The CPU time that a process sees may be less than it is charged, for instance
    where the share of a virtual machine is metered by the hypervisor. The wall time
    that the loop spends between two waits delays all other work, whatever causes it.

    :param now: returns monotonic seconds
    """

    def __init__(self, now: Callable[[], float] = time.monotonic) -> None:
        super().__init__()
        self._now = now
        self._resumed = now()
        #: busy time since the start, in seconds
        self.busy_seconds = 0.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Wait for events and count the time since the last wait as busy."""
        self.busy_seconds += self._now() - self._resumed
        try:
            return super().select(timeout)
        finally:
            self._resumed = self._now()


def create_measured_loop(meter: BusyTimeSelector) -> asyncio.AbstractEventLoop:
    """Create an event loop whose busy time is measured by ``meter``."""
    return asyncio.SelectorEventLoop(meter)
