"""Slots and queue of a simulated target that falls over if it rejects too much."""

from __future__ import annotations

import asyncio
from collections import deque
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

__all__ = ("Brittleness",)

#: seconds in which rejections are counted
WINDOW_SECONDS = 1.0


@dataclass(slots=True, kw_only=True)
class Brittleness:
    """Room of a target, and the rejections that it tolerates.

    :param limit: rejections within a second beyond which it falls over, as it says in
        its responses; ``None``: it is not brittle and says nothing
    :param slots: requests that run at the same time
    :param queue: requests that may wait
    :param later_queue: the same from ``shrinks_after`` seconds after its first request
    :param serve_seconds: duration of a run
    :param down_seconds: time for which it stays down after a fall
    """

    limit: int | None
    slots: int
    queue: int = 0
    later_queue: int = 0
    shrinks_after: float = 0.0
    serve_seconds: float = 0.05
    down_seconds: float = 2.0
    #: requests that it holds, running or waiting
    held: int = 0
    #: most requests that it has held
    most_held: int = 0
    rejected: int = 0
    falls: int = 0
    _first_at: float | None = None
    _down_until: float = 0.0
    _rejections: deque[float] = field(default_factory=deque)
    _running: asyncio.Semaphore | None = None

    def has_room(self, now: float) -> bool:
        """Return whether a request that arrives now is accepted."""
        if self._first_at is None:
            self._first_at = now
        shrunk = now - self._first_at >= self.shrinks_after
        queue = self.later_queue if shrunk else self.queue
        return self.held < self.slots + queue

    def record_rejection(self, now: float) -> bool:
        """Record a rejection for want of room; return whether the target falls over."""
        self.rejected += 1
        if now < self._down_until:
            return False
        while self._rejections and self._rejections[0] <= now - WINDOW_SECONDS:
            self._rejections.popleft()
        self._rejections.append(now)
        if self.limit is None or len(self._rejections) <= self.limit:
            return False
        self._rejections.clear()
        self._down_until = now + self.down_seconds
        self.falls += 1
        return True

    @asynccontextmanager
    async def occupy(self) -> AsyncIterator[None]:
        """Hold a place in the queue, then a slot for the duration of a run."""
        if self._running is None:
            self._running = asyncio.Semaphore(self.slots)
        self.held += 1
        self.most_held = max(self.most_held, self.held)
        try:
            async with self._running:
                await asyncio.sleep(self.serve_seconds)
                yield
        finally:
            self.held -= 1

    def describe_load(self) -> str:
        """Return the load header's value."""
        running = min(self.held, self.slots)
        return f"{running},{self.held - running},{self.slots}"
