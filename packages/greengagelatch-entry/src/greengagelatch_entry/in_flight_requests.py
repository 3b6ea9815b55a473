"""Requests in flight, and their cancellation at the end of a planned stop."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, TypeVar

if TYPE_CHECKING:
    from collections.abc import Coroutine
    from typing import Any

__all__ = ("RequestAbortedError", "InFlightRequests")

Result = TypeVar("Result")


class RequestAbortedError(Exception):
    """The request was aborted by the end of a stop."""


class InFlightRequests:
    """Tracks the requests in flight, and cancels them when the time of a stop is over.

    If the process just exited, callers would see closed connections, which tell them
    neither whether a request has run nor when to retry. A request that is cancelled
    here still gets a final answer with its verdict.
    """

    def __init__(self) -> None:
        self._timeouts: set[asyncio.Timeout] = set()
        self._closed = False

    def __len__(self) -> int:
        return len(self._timeouts)

    async def run(self, handling: Coroutine[Any, Any, Result]) -> Result:
        """Run ``handling`` and return its result.

        :raises RequestAbortedError: if it is aborted, or starts after :meth:`abort_all`
        """
        if self._closed:
            handling.close()
            raise RequestAbortedError
        timeout = asyncio.timeout(None)
        try:
            async with timeout:
                self._timeouts.add(timeout)
                try:
                    return await handling
                finally:
                    self._timeouts.discard(timeout)
        except TimeoutError:
            if not timeout.expired():
                raise
            raise RequestAbortedError from None

    def abort_all(self) -> None:
        """Abort all requests in flight and reject new ones."""
        self._closed = True
        now = asyncio.get_running_loop().time()
        for timeout in self._timeouts:
            timeout.reschedule(now)
