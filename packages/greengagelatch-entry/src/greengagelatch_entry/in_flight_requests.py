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
    """The request was cancelled by the end of a stop."""


class InFlightRequests:
    """Tracks the requests in flight, and cancels them when the time of a stop is over.

    If the process just exited, callers would see closed connections, which tell them
    neither whether a request has run nor when to retry. A request that is cancelled
    here still gets a final answer with its verdict.
    """

    def __init__(self) -> None:
        self._bounds: set[asyncio.Timeout] = set()
        self._over = False

    def __len__(self) -> int:
        return len(self._bounds)

    async def run(self, work: Coroutine[Any, Any, Result]) -> Result:
        """Return the result of ``work``.

        :raises RequestAbortedError: if it is cancelled, or starts after the cancellation
        """
        if self._over:
            work.close()
            raise RequestAbortedError
        bound = asyncio.timeout(None)
        try:
            async with bound:
                self._bounds.add(bound)
                try:
                    return await work
                finally:
                    self._bounds.discard(bound)
        except TimeoutError:
            if not bound.expired():
                raise
            raise RequestAbortedError from None

    def abort_all(self) -> None:
        """Cancel all requests in flight and reject new ones."""
        self._over = True
        now = asyncio.get_running_loop().time()
        for bound in self._bounds:
            bound.reschedule(now)
