"""Reads of one key of the store, shared by those that wait for it."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from result import Err

if TYPE_CHECKING:
    from collections.abc import Callable

    from greengagelatch.clock import Clock
    from greengagelatch.store import Entry, Store

__all__ = ("SharedRead",)

#: minimum interval in seconds between two reads
MIN_READ_SPACING = 0.2


class SharedRead:
    """Reads a key of the store for all that have asked before the read begins.

    A read that is under way may have been answered before the last one asked.

    :param apply: takes over what was read; returns whether it can be relied on
    """

    def __init__(
        self,
        *,
        store: Store,
        key: str,
        apply: Callable[[Entry | None], bool],
        clock: Clock,
    ) -> None:
        self._store = store
        self._key = key
        self._apply = apply
        self._clock = clock
        self._lock = asyncio.Lock()
        #: the read that has not begun yet, if one is wanted
        self._next: asyncio.Task[bool] | None = None
        self._begun_at = float("-inf")

    async def read(self, seconds: float) -> bool:
        """Read the key, and return whether it was read since this was called.

        :param seconds: time to wait at the most
        """
        if self._next is None:
            self._next = asyncio.create_task(self._read_next())
        try:
            async with asyncio.timeout(seconds):
                # others wait for it too
                return await asyncio.shield(self._next)
        except TimeoutError:
            return False

    async def _read_next(self) -> bool:
        async with self._lock:
            left = MIN_READ_SPACING - (self._clock.now() - self._begun_at)
            if left > 0:
                await asyncio.sleep(left)
            self._begun_at = self._clock.now()
            self._next = None
            found = await self._store.get(self._key)
            if isinstance(found, Err):
                return False
            return self._apply(found.ok_value)
