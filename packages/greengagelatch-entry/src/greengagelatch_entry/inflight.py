"""Requests in flight, which the end of a planned stop breaks off."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, TypeVar

if TYPE_CHECKING:
    from collections.abc import Coroutine
    from typing import Any

__all__ = ("BrokenOffError", "InFlight")

Result = TypeVar("Result")


class BrokenOffError(Exception):
    """The work was broken off by the end of a stop."""


class InFlight:
    """Knows the work under way, and breaks it off when a stop has no time left.

    A process that only ends leaves its callers with closed connections, which say
    nothing: neither that a request has not run, nor when to come back. Broken off
    here, each request still gets its final answer from what is known of it.
    """

    def __init__(self) -> None:
        self._bounds: set[asyncio.Timeout] = set()
        self._over = False

    def __len__(self) -> int:
        return len(self._bounds)

    async def run(self, work: Coroutine[Any, Any, Result]) -> Result:
        """Return the result of ``work``.

        :raises BrokenOffError: if it is broken off, or comes when all has been
        """
        if self._over:
            work.close()
            raise BrokenOffError
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
            raise BrokenOffError from None

    def break_off(self) -> None:
        """Break off all work, and let none begin any more."""
        self._over = True
        now = asyncio.get_running_loop().time()
        for bound in self._bounds:
            bound.reschedule(now)
