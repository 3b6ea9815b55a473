"""Timer for the time at which a target has fetched the inputs of a request."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ("FETCH_SECONDS", "InputFetchTimer")

#: seconds after a request was written within which its target, if it accepts it at
#: once, has read it and fetched its inputs; both take a few milliseconds
FETCH_SECONDS = 0.1


class InputFetchTimer:
    """Calls back once when the inputs of one attempt should have been fetched.

    :param on_fetched: called at that time, unless the attempt has ended before
    """

    def __init__(self, on_fetched: Callable[[], None]) -> None:
        self._on_fetched = on_fetched
        self._timer: asyncio.TimerHandle | None = None

    def start(self, allowed: bool) -> bool:
        """Start the timer as the request is written, if allowed; return ``allowed``."""
        if allowed and self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(FETCH_SECONDS, self._on_fetched)
        return allowed

    def cancel(self) -> None:
        """Cancel the timer as the attempt has ended."""
        if self._timer is not None:
            self._timer.cancel()
