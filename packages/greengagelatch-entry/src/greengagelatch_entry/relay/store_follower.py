"""Replication of the store's keys by one scan and a single watch."""

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

    from result import Result

    from greengagelatch.clock import Clock
    from greengagelatch.store import StoreError
    from greengagelatch.store.ranges import RangeStore

    from ..metrics import Metrics
    from .decisions import DecisionLog

__all__ = ("StoreFollower", "StoreSubscriber")

#: prefix that matches all keys
ALL_KEYS = ""
#: long-poll duration of one watch in seconds. A store that has lost the history of a
#: watch may leave it pending without an error, and the changes show only in the next
#: one. The value trades staleness for one call to the store per wait. Peers, whose
#: watches began at other times, are queried meanwhile
WATCH_SECONDS = 2.0
#: the same for an instance whose peers depend on its watch; its updates reach them
#: with a further delay of half a second
SHARED_WATCH_SECONDS = 1.5
#: seconds after the end of a watch from which its connection is taken for silent, and
#: the store is read on another one; the second figure leaves time to handle an answer
#: that has arrived while the process was not running
SILENT_SECONDS, LATE_SECONDS = 0.3, 0.05
#: minimum interval between two calls in seconds, so that bursts of changes, as when
#: all instances start, arrive in one response
MIN_CALL_SPACING = 0.2
#: exponential backoff after failed calls in seconds: initial and maximum
MIN_BACKOFF = 0.05
MAX_BACKOFF = 0.4
#: maximum backoff in seconds for an instance that leaves the store to others
MAX_PASSIVE_BACKOFF = 2.0
#: staleness in seconds beyond which a passive instance watches the store itself; it
#: covers one watch of a peer and two queries to peers
STALE_SECONDS = 2.5
#: seconds without a report of any peer after which it does the same. When many
#: instances fail at once, most of those that watch the store may be among them, and
#: each failed one that is queried costs up to a second
PEER_REPORT_TIMEOUT = 1.0
#: seconds between two checks whether an instance may remain passive
PASSIVE_CHECK_INTERVAL = 0.25


class StoreSubscriber(ABC):
    """Interface of a component that replicates the keys below one prefix."""

    #: prefix of the keys that are delivered to it
    prefix: str

    @abstractmethod
    def apply_scan(self, scan: Scan) -> None:
        """Replace the state by a full scan of the prefix."""

    @abstractmethod
    def apply_changes(self, changes: Changes) -> None:
        """Apply changes below the prefix."""

    def handle_store_recovered(self) -> None:  # noqa: B027
        """React to the store being reachable again after an outage."""


class StoreFollower(Controller):
    """Watches all keys and dispatches changes to subscribers by prefix.

    The platform meters every call, and a pending watch counts as one, so a single
    watch covers all subscribers. In a large fleet only a few instances, the followers,
    watch the store. The others are passive: they receive updates from followers and
    watch the store themselves only while these updates are missing or stale.

    :param is_follower: returns whether this instance is one of the followers
    :param has_dependents: returns whether passive instances depend on this one
    """

    name = "store"

    def __init__(
        self,
        *,
        store: RangeStore,
        subscribers: tuple[StoreSubscriber, ...],
        is_follower: Callable[[], bool],
        has_dependents: Callable[[], bool],
        clock: Clock,
        random_source: random.Random,
        metrics: Metrics,
        decisions: DecisionLog,
    ) -> None:
        super().__init__()
        self._store = store
        self._subscribers = subscribers
        self._is_follower = is_follower
        self._has_dependents = has_dependents
        self._clock = clock
        self._random = random_source
        self._metrics = metrics
        self._decisions = decisions
        #: revision to watch from; ``None``: a scan is needed first
        self._after: int | None = None
        #: monotonic time in seconds from which the silence of the store is counted
        self._silent_since = clock.now()
        #: monotonic time in seconds at which the replicated state was last known to be
        #: current, by a response of the store or a report of a peer
        self._confirmed_at = float("-inf")
        #: monotonic time in seconds of the last report of a peer
        self._peer_reported_at = float("-inf")
        self._called_at = float("-inf")
        self._reachable = True
        self._passive = False
        self._backoff = MIN_BACKOFF
        self._error = ""

    @property
    def staleness(self) -> float:
        """Seconds since the state was last confirmed by the store or by a peer.

        Before the first time: since this instance has started.
        """
        return self._clock.now() - max(self._silent_since, self._confirmed_at)

    @property
    def reported_staleness(self) -> float | None:
        """Seconds since the state was confirmed; ``None`` if it never was."""
        if self._confirmed_at == float("-inf"):
            return None
        return self._clock.now() - self._confirmed_at

    @property
    def confirmed_at(self) -> float:
        """Monotonic time in seconds at which the state was last known to be current."""
        return self._confirmed_at

    @property
    def reachable(self) -> bool:
        """Whether the last call to the store succeeded."""
        return self._reachable

    @property
    def passive(self) -> bool:
        """Whether this instance currently relies on followers for updates."""
        return self._passive

    @property
    def is_following(self) -> bool:
        """Whether this instance watches the store itself, and has read all of it."""
        return self._after is not None and not self._passive

    @property
    def is_replaceable(self) -> bool:
        """Whether other instances follow the store for this one."""
        return not self._is_follower()

    def record_peer_report(self, seconds: float) -> None:
        """Record that a peer has shared its state of the store.

        :param seconds: staleness of that state
        """
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
            is_follower = self._is_follower()
            max_backoff = MAX_BACKOFF if is_follower else MAX_PASSIVE_BACKOFF
            self._backoff = min(max_backoff, self._backoff * 2)

    def _may_be_passive(self) -> bool:
        """Return whether followers provide updates that are recent enough."""
        passive_now = (
            self._after is not None
            and not self._is_follower()
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
                # the store rejects a watch from a revision that old; scan instead
                self._after = None
        return passive_now

    async def _wait_min_spacing(self) -> None:
        left = MIN_CALL_SPACING - (self._clock.now() - self._called_at)
        if left > 0:
            await asyncio.sleep(left)

    async def _step(self) -> bool:
        """Scan or watch once; return whether to continue without backoff."""
        self._called_at = self._clock.now()
        if self._after is None:
            result = await self._store.scan(ALL_KEYS)
        else:
            result = await self._watch(self._after)
        match result:
            case Ok(found):
                self._record_reachable()
                self._dispatch(found)
                self._after = max(self._after or 0, found.revision)
                return True
            case Err(error):
                return self._handle_error(error)

    async def _watch(self, after: int) -> Result[Scan | Changes, StoreError]:
        """Watch once; scan on another connection if the watch is not answered in time.

        A connection may go silent without an error, and the state would be used until
        the call times out, longer than an old one may be.
        """
        shared = self._has_dependents()
        seconds = SHARED_WATCH_SECONDS if shared else WATCH_SECONDS
        watch = asyncio.ensure_future(self._store.follow(ALL_KEYS, after, seconds))
        scan: asyncio.Future[Result[Scan, StoreError]] | None = None
        try:
            for left in (seconds + SILENT_SECONDS, LATE_SECONDS):
                await asyncio.wait((watch,), timeout=left)
            if watch.done():
                return watch.result()
            self._record_silent(after)
            # its history may be lost too, so that another watch may stay silent as well
            self._after = None
            scan = asyncio.ensure_future(self._store.scan_anew(ALL_KEYS))
            await asyncio.wait((watch, scan), return_when=asyncio.FIRST_COMPLETED)
            # the failure of one does not end the other, which may only be late
            first, second = (watch, scan) if watch.done() else (scan, watch)
            found = await first
            return found if isinstance(found, Ok) else await second
        finally:
            watch.cancel()
            if scan is not None:
                scan.cancel()

    def _record_silent(self, after: int) -> None:
        """Record a watch without an answer."""
        self._metrics.count("store.silent_channels")
        self._decisions.log_state_change(
            "store-silent", after=after, silence_ms=round(self.staleness * 1000)
        )

    def _handle_error(self, error: StoreError) -> bool:
        if error.kind is StoreErrorKind.COMPACTED:
            self._decisions.log_state_change("history-lost", after=self._after)
            self._after = None
            return True
        if error.kind is StoreErrorKind.TIMEOUT and self._after is not None:
            # the history of a watch that timed out may be lost
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
                silence_ms=round(self.staleness * 1000),
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
