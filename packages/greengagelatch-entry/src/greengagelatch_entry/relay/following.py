"""A prefix of the store that is read once and then followed."""

from __future__ import annotations

import asyncio
from abc import abstractmethod
from typing import TYPE_CHECKING, Any

from mode import Service
from result import Err, Ok

from greengagelatch.store import StoreErrorKind

from ..controllers import Controller

if TYPE_CHECKING:
    import random

    from greengagelatch.clock import Clock
    from greengagelatch.store.ranges import Changes, RangeStore, Scan

    from ..metrics import Metrics
    from .decisions import DecisionLog

__all__ = ("FollowingController",)

#: seconds that one watch waits; a connection that has gone silent is noticed by
#: probes of the kernel much sooner
WATCH_SECONDS = 5.0
#: seconds after a failed call: first, and at the most
FIRST_PAUSE = 0.1
LONGEST_PAUSE = 0.5


class FollowingController(Controller):
    """Keeps what lies below a prefix, as far as the store can be heard."""

    def __init__(
        self,
        *,
        store: RangeStore,
        prefix: str,
        clock: Clock,
        random_source: random.Random,
        metrics: Metrics,
        decisions: DecisionLog,
    ) -> None:
        super().__init__()
        self._store = store
        self._prefix = prefix
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

    @abstractmethod
    def take_scan(self, scan: Scan) -> None:
        """Take in all that lies below the prefix."""

    @abstractmethod
    def take_changes(self, changes: Changes) -> None:
        """Take in what has changed."""

    def dump(self) -> dict[str, Any]:
        return {
            "prefix": self._prefix,
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
        """Scan or watch once; whether it was answered."""
        if self._after is None:
            result = await self._store.scan(self._prefix)
        else:
            result = await self._store.follow(self._prefix, self._after, WATCH_SECONDS)
        match result:
            case Ok(found):
                self._note_reached()
                if self._after is None:
                    self.take_scan(found)
                else:
                    self.take_changes(found)
                self._after = max(self._after or 0, found.revision)
                return True
            case Err(error):
                if error.kind is StoreErrorKind.COMPACTED:
                    self._decisions.note_belief(
                        "history-lost", prefix=self._prefix, after=self._after
                    )
                    self._after = None
                    return True
                self._note_lost(f"{error.kind.value}: {error.message}")
        return False

    def _note_reached(self) -> None:
        now = self._clock.now()
        if not self._reached:
            self._reached = True
            self._decisions.note_belief(
                "store-regained",
                prefix=self._prefix,
                after=self._after,
                silence_ms=round((now - self._heard) * 1000),
            )
            self.note_regained(now - self._heard)
        self._heard = now
        self._pause = FIRST_PAUSE
        self._error = ""

    def note_regained(self, silence: float) -> None:
        """Take in that the store answers again after ``silence`` seconds."""

    def _note_lost(self, error: str) -> None:
        self._metrics.count("store.errors")
        self._error = error
        if not self._reached:
            return
        self._reached = False
        self._decisions.note_belief(
            "store-lost", prefix=self._prefix, after=self._after, reason=error
        )
