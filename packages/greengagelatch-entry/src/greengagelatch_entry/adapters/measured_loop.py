"""An event loop that knows for how long it has been at work."""

from __future__ import annotations

import asyncio
import selectors
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ("WorkMeter", "create_measured_loop")


class WorkMeter(selectors.DefaultSelector):
    """A selector that adds up the time between its waits.

    A process may be told less of its processor time than it is charged, as where a
    machine's share is metered from outside. What its loop does between two waits
    holds up everything else, whoever's fault it is.

    :param now: returns monotonic seconds
    """

    def __init__(self, now: Callable[[], float] = time.monotonic) -> None:
        super().__init__()
        self._now = now
        self._resumed = now()
        #: seconds of work since the loop began
        self.seconds = 0.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Wait for events, and count the time since the last wait as work."""
        self.seconds += self._now() - self._resumed
        try:
            return super().select(timeout)
        finally:
            self._resumed = self._now()


def create_measured_loop(meter: WorkMeter) -> asyncio.AbstractEventLoop:
    """Return a loop whose work is measured by ``meter``."""
    return asyncio.SelectorEventLoop(meter)
