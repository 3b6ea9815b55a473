"""The moment by which a target has fetched the inputs of what it was sent."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ("FETCH_SECONDS", "InputFetchTimer")

#: seconds after a request was written by which its target, if it takes it in at once,
#: has read it and fetched its inputs; both take a few milliseconds on these links
FETCH_SECONDS = 0.1


class InputFetchTimer:
    """Tells once when the inputs of one send should have been fetched.

    :param note_fetched: called then, unless the send has ended before
    """

    def __init__(self, on_fetched: Callable[[], None]) -> None:
        self._on_fetched = on_fetched
        self._timer: asyncio.TimerHandle | None = None

    def start(self, allowed: bool) -> bool:
        """Take in that the request is written now, if it is allowed; return that."""
        if allowed and self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(FETCH_SECONDS, self._on_fetched)
        return allowed

    def cancel(self) -> None:
        """Take in that the send has ended."""
        if self._timer is not None:
            self._timer.cancel()
