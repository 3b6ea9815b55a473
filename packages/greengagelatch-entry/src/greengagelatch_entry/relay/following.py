"""The store's keys, read once and then followed by a single watch."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, Any

from mode import Service
from result import Err, Ok

from greengagelatch.store import StoreErrorKind
from greengagelatch.store.ranges import Changes, Scan

from ..controllers import Controller

if TYPE_CHECKING:
    import random

    from greengagelatch.clock import Clock
    from greengagelatch.store import StoreError
    from greengagelatch.store.ranges import RangeStore

    from ..metrics import Metrics
    from .decisions import DecisionLog

__all__ = ("StoreFollower", "StoreSubscriber")

#: prefix that covers all keys
ALL_KEYS = ""
#: seconds that one watch waits. A store that has lost the history of a watch may
#: leave it waiting without a word, so what has changed is seen with the next one:
#: this bounds how old beliefs get, against one call for each wait
WATCH_SECONDS = 1.2
#: seconds after a failed call: first, and at the most
FIRST_PAUSE = 0.05
LONGEST_PAUSE = 0.4


class StoreSubscriber(ABC):
    """A part that keeps what lies below one prefix."""

    #: prefix of the keys that it is told of
    prefix: str

    @abstractmethod
    def take_scan(self, scan: Scan) -> None:
        """Take in all that lies below the prefix."""

    @abstractmethod
    def take_changes(self, changes: Changes) -> None:
        """Take in what has changed below the prefix."""

    def note_regained(self) -> None:  # noqa: B027
        """Take in that the store answers again."""


class StoreFollower(Controller):
    """Follows all keys by one watch, and tells each part of what it keeps.

    The platform counts each call, a waiting watch as one, so that two watches cost
    twice as much and say no more.
    """

    name = "store"

    def __init__(
        self,
        *,
        store: RangeStore,
        subscribers: tuple[StoreSubscriber, ...],
        clock: Clock,
        random_source: random.Random,
        metrics: Metrics,
        decisions: DecisionLog,
    ) -> None:
        super().__init__()
        self._store = store
        self._subscribers = subscribers
        self._clock = clock
        self._random = random_source
        self._metrics = metrics
        self._decisions = decisions
        #: revision from which to follow; ``None``: scan first
        self._after: int | None = None
        self._heard = clock.now()
        self._reached = True
        self._pause = FIRST_PAUSE
        self._error = ""

    @property
    def silence(self) -> float:
        """Seconds since the store last answered."""
        return self._clock.now() - self._heard

    @property
    def reached(self) -> bool:
        """Whether the last call to the store was answered."""
        return self._reached

    def dump(self) -> dict[str, Any]:
        return {
            "revision": self._after,
            "seconds_since_answer": round(self.silence, 3),
            "reached": self._reached,
            "last_error": self._error,
        }

    @Service.task
    async def _follow_forever(self) -> None:
        while not self.should_stop:
            if not await self._step():
                await asyncio.sleep(self._pause * self._random.uniform(0.7, 1.3))
                self._pause = min(LONGEST_PAUSE, self._pause * 2)

    async def _step(self) -> bool:
        """Scan or watch once; whether to go on at once."""
        if self._after is None:
            result = await self._store.scan(ALL_KEYS)
        else:
            result = await self._store.follow(ALL_KEYS, self._after, WATCH_SECONDS)
        match result:
            case Ok(found):
                self._note_reached()
                self._tell(found)
                self._after = max(self._after or 0, found.revision)
                return True
            case Err(error):
                return self._take_error(error)

    def _take_error(self, error: StoreError) -> bool:
        if error.kind is StoreErrorKind.COMPACTED:
            self._decisions.note_belief("history-lost", after=self._after)
            self._after = None
            return True
        if error.kind is StoreErrorKind.TIMEOUT and self._after is not None:
            # a watch without an answer may be one whose history is gone
            self._after = None
        self._note_lost(f"{error.kind.value}: {error.message}")
        return False

    def _tell(self, found: Scan | Changes) -> None:
        for subscriber in self._subscribers:
            prefix = subscriber.prefix
            if isinstance(found, Scan):
                entries = tuple(
                    entry for entry in found.entries if entry.key.startswith(prefix)
                )
                subscriber.take_scan(Scan(entries, found.revision))
                continue
            written = tuple(
                entry for entry in found.written if entry.key.startswith(prefix)
            )
            removed = tuple(row for row in found.removed if row[0].startswith(prefix))
            if written or removed:
                subscriber.take_changes(Changes(written, removed, found.revision))

    def _note_reached(self) -> None:
        now = self._clock.now()
        if not self._reached:
            self._reached = True
            self._decisions.note_belief(
                "store-regained",
                after=self._after,
                silence_ms=round((now - self._heard) * 1000),
            )
            for subscriber in self._subscribers:
                subscriber.note_regained()
        self._heard = now
        self._pause = FIRST_PAUSE
        self._error = ""

    def _note_lost(self, error: str) -> None:
        self._metrics.count("store.errors")
        self._error = error
        if not self._reached:
            return
        self._reached = False
        self._decisions.note_belief("store-lost", after=self._after, reason=error)
