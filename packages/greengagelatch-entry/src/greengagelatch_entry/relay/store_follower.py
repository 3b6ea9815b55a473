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
    from collections.abc import Callable

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
#: this bounds how old beliefs get, against one call for each wait. Peers are asked
#: meanwhile, whose watches began at other moments
WATCH_SECONDS = 2.5
#: the same for an instance that others follow the store by: what it tells reaches them
#: half a second later still
SHARED_WATCH_SECONDS = 1.5
#: seconds between two watches at the least: changes that come one after the other,
#: as when all instances start, are then told by one answer
MIN_CALL_SPACING = 0.2
#: seconds after a failed call: first, and at the most
MIN_BACKOFF = 0.05
MAX_BACKOFF = 0.4
#: the same at the most for an instance that others follow the store for
MAX_PASSIVE_BACKOFF = 2.0
#: age of what peers tell from which an instance follows the store by itself: a watch
#: of theirs, and two questions
STALE_SECONDS = 2.5
#: seconds without an answer of any peer after which it does the same: when many
#: instances are lost at once, most of those that follow the store are among them, and
#: to find one that is left takes a second for each that is not
PEER_REPORT_TIMEOUT = 1.0
#: seconds after which one that leaves the store to others looks again whether it may
PASSIVE_CHECK_INTERVAL = 0.25


class StoreSubscriber(ABC):
    """A part that keeps what lies below one prefix."""

    #: prefix of the keys that it is told of
    prefix: str

    @abstractmethod
    def apply_scan(self, scan: Scan) -> None:
        """Take in all that lies below the prefix."""

    @abstractmethod
    def apply_changes(self, changes: Changes) -> None:
        """Take in what has changed below the prefix."""

    def handle_store_recovered(self) -> None:  # noqa: B027
        """Take in that the store answers again."""


class StoreFollower(Controller):
    """Follows all keys by one watch, and tells each part of what it keeps.

    The platform counts each call, a waiting watch as one, so that two watches cost
    twice as much and say no more. In a large fleet a few instances follow it for
    all; the others do so only while those tell them nothing new enough.

    :param is_listener: whether this instance is one of those that follow it
    :param is_relied_on: whether others leave the store to this instance
    """

    name = "store"

    def __init__(
        self,
        *,
        store: RangeStore,
        subscribers: tuple[StoreSubscriber, ...],
        is_listener: Callable[[], bool],
        has_dependents: Callable[[], bool],
        clock: Clock,
        random_source: random.Random,
        metrics: Metrics,
        decisions: DecisionLog,
    ) -> None:
        super().__init__()
        self._store = store
        self._subscribers = subscribers
        self._is_listener = is_listener
        self._has_dependents = has_dependents
        self._clock = clock
        self._random = random_source
        self._metrics = metrics
        self._decisions = decisions
        #: revision from which to follow; ``None``: scan first
        self._after: int | None = None
        #: monotonic seconds at which the store was last known to have said nothing
        #: newer, by its own word or a peer's
        self._confirmed_at = clock.now()
        #: when a peer last told anything of it
        self._peer_reported_at = float("-inf")
        self._called_at = float("-inf")
        self._reachable = True
        self._passive = False
        self._backoff = MIN_BACKOFF
        self._error = ""

    @property
    def staleness(self) -> float:
        """Seconds since the store last answered, here or to a peer that told so."""
        return self._clock.now() - self._confirmed_at

    @property
    def reachable(self) -> bool:
        """Whether the last call to the store was answered."""
        return self._reachable

    @property
    def passive(self) -> bool:
        """Whether the store is left to other instances for now."""
        return self._passive

    def record_peer_report(self, seconds: float) -> None:
        """Take in that a peer has told all that the store said so long ago."""
        self._peer_reported_at = self._clock.now()
        self._confirmed_at = max(self._confirmed_at, self._peer_reported_at - seconds)

    def dump(self) -> dict[str, Any]:
        return {
            "revision": self._after,
            "seconds_since_answer": round(self.staleness, 3),
            "reached": self._reachable,
            "resting": self._passive,
            "last_error": self._error,
        }

    @Service.task
    async def _follow_forever(self) -> None:
        while not self.should_stop:
            if self._may_be_passive():
                await asyncio.sleep(PASSIVE_CHECK_INTERVAL)
                continue
            if await self._step():
                await self._wait_min_spacing()
                continue
            await asyncio.sleep(self._backoff * self._random.uniform(0.7, 1.3))
            is_listener = self._is_listener()
            max_backoff = MAX_BACKOFF if is_listener else MAX_PASSIVE_BACKOFF
            self._backoff = min(max_backoff, self._backoff * 2)

    def _may_be_passive(self) -> bool:
        """Whether others follow the store, and tell what they hear."""
        passive_now = (
            self._after is not None
            and not self._is_listener()
            and self.staleness < STALE_SECONDS
            and self._clock.now() - self._peer_reported_at < PEER_REPORT_TIMEOUT
        )
        if passive_now != self._passive:
            self._passive = passive_now
            self._decisions.log_state_change(
                "store-left-to-others" if passive_now else "store-followed",
                silence_ms=round(self.staleness * 1000),
            )
            if not passive_now:
                # much may have changed; a watch from so long ago is refused
                self._after = None
        return passive_now

    async def _wait_min_spacing(self) -> None:
        left = MIN_CALL_SPACING - (self._clock.now() - self._called_at)
        if left > 0:
            await asyncio.sleep(left)

    async def _step(self) -> bool:
        """Scan or watch once; whether to go on at once."""
        self._called_at = self._clock.now()
        if self._after is None:
            result = await self._store.scan(ALL_KEYS)
        else:
            shared = self._has_dependents()
            seconds = SHARED_WATCH_SECONDS if shared else WATCH_SECONDS
            result = await self._store.follow(ALL_KEYS, self._after, seconds)
        match result:
            case Ok(found):
                self._record_reachable()
                self._dispatch(found)
                self._after = max(self._after or 0, found.revision)
                return True
            case Err(error):
                return self._handle_error(error)

    def _handle_error(self, error: StoreError) -> bool:
        if error.kind is StoreErrorKind.COMPACTED:
            self._decisions.log_state_change("history-lost", after=self._after)
            self._after = None
            return True
        if error.kind is StoreErrorKind.TIMEOUT and self._after is not None:
            # a watch without an answer may be one whose history is gone
            self._after = None
        self._record_unreachable(f"{error.kind.value}: {error.message}")
        return False

    def _dispatch(self, found: Scan | Changes) -> None:
        for subscriber in self._subscribers:
            prefix = subscriber.prefix
            if isinstance(found, Scan):
                entries = tuple(
                    entry for entry in found.entries if entry.key.startswith(prefix)
                )
                subscriber.apply_scan(Scan(entries, found.revision))
                continue
            written = tuple(
                entry for entry in found.written if entry.key.startswith(prefix)
            )
            removed = tuple(row for row in found.removed if row[0].startswith(prefix))
            if written or removed:
                subscriber.apply_changes(Changes(written, removed, found.revision))

    def _record_reachable(self) -> None:
        now = self._clock.now()
        if not self._reachable:
            self._reachable = True
            self._decisions.log_state_change(
                "store-regained",
                after=self._after,
                silence_ms=round((now - self._confirmed_at) * 1000),
            )
            for subscriber in self._subscribers:
                subscriber.handle_store_recovered()
        self._confirmed_at = now
        self._backoff = MIN_BACKOFF
        self._error = ""

    def _record_unreachable(self, error: str) -> None:
        self._metrics.count("store.errors")
        self._error = error
        if not self._reachable:
            return
        self._reachable = False
        self._decisions.log_state_change("store-lost", after=self._after, reason=error)
