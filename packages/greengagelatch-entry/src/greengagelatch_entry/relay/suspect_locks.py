"""Locks on suspected requests, each held by one instance at a time."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from result import Err

from greengagelatch.store import ABSENT, WriteOutcome

from ..controllers import Controller
from .store_follower import StoreSubscriber

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from greengagelatch.clock import Clock
    from greengagelatch.store import Entry
    from greengagelatch.store.ranges import Changes, RangeStore, Scan

    from ..metrics import Metrics

__all__ = ("Lock", "SuspectLocks")

#: prefix of the locks' keys in the store; a digest follows
PREFIX = "greengagelatch/suspects/"
#: lease duration of a lock in seconds: long enough for a target to start running the
#: request, and the longest time for which an instance that fails blocks it
LOCK_TTL_SECONDS = 5.0
#: age in seconds up to which a lease that was granted for one attempt to acquire a
#: lock serves the next; each attempt would cost three calls otherwise
MAX_SPARE_SECONDS = 1.0
#: seconds allowed for each call; a suspected request waits for it
CALL_TIMEOUT = 0.3
#: maximum number of locks of an instance; with more suspects at a time, targets crash
#: for another reason than a request
MAX_LOCKS = 16


@dataclass(frozen=True, slots=True)
class Lock:
    """The right to send a suspected request."""

    digest: str
    #: empty: the store could not be asked, and other instances may hold a lock too
    lease_id: str = ""


class SuspectLocks(Controller, StoreSubscriber):
    """Acquires locks in the store by compare-and-swap.

    Locks keep instances from sending a suspected request at the same time, each to a
    target of its own. While the store can't be asked, they are granted regardless of
    other instances: harmless requests would be refused otherwise until it is back.

    :param is_store_reachable: returns whether the last call to the store succeeded
    """

    name = "suspects"
    prefix = PREFIX

    def __init__(
        self,
        *,
        instance_id: str,
        store: RangeStore,
        is_store_reachable: Callable[[], bool],
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        super().__init__()
        self._instance_id = instance_id
        self._store = store
        self._is_store_reachable = is_store_reachable
        self._clock = clock
        self._metrics = metrics
        #: keys of the locks in the store, with the time at which each was received
        self._received_at: dict[str, float] = {}
        #: leases of the locks that this instance holds or tries to acquire, with the
        #: time of each grant
        self._leases: dict[str, float] = {}
        #: lease of an attempt to acquire a lock that another instance held
        self._spare_lease: tuple[str, float] = ("", 0.0)
        self._tasks: set[asyncio.Task[None]] = set()

    async def acquire(self, digest: str) -> Lock | None:
        """Return a lock; ``None`` while another one is held."""
        if self._is_locked(digest):
            return None
        lease_id = await self._take_lease()
        if not lease_id:
            self._metrics.count("suspects.unlocked")
            return Lock(digest)
        lock = Lock(digest, lease_id)
        try:
            conflict = await self._write(lock)
        except BaseException:
            self.release(lock)
            raise
        if conflict:
            self._spare_lease = (lease_id, self._leases.pop(lease_id))
            return None
        return lock

    def release(self, lock: Lock, delay: float = 0.0) -> None:
        """Release a lock in the background.

        :param delay: seconds after which the next send may begin
        """
        if not lock.lease_id:
            return
        task = asyncio.create_task(self._revoke(lock.lease_id, delay))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _take_lease(self) -> str:
        """Return the id of a lease; empty if none could be granted."""
        if len(self._leases) >= MAX_LOCKS or not self._is_store_reachable():
            return ""
        (lease_id, granted_at), self._spare_lease = self._spare_lease, ("", 0.0)
        now = self._clock.now()
        if not lease_id or now - granted_at > MAX_SPARE_SECONDS:
            lease_id, granted_at = await self._grant_lease(), now
        if lease_id:
            self._leases[lease_id] = granted_at
        return lease_id

    async def _grant_lease(self) -> str:
        try:
            async with asyncio.timeout(CALL_TIMEOUT):
                granted = await self._store.grant_lease(LOCK_TTL_SECONDS)
        except TimeoutError:
            return ""
        return "" if isinstance(granted, Err) else granted.ok_value.lease_id

    async def _write(self, lock: Lock) -> bool:
        """Write a lock to the store; return whether another one is held."""
        key, value = PREFIX + lock.digest, self._instance_id.encode()
        try:
            async with asyncio.timeout(CALL_TIMEOUT):
                written = await self._store.swap(
                    key, value, ABSENT, lease_id=lock.lease_id
                )
        except TimeoutError:
            return False
        return written.outcome is WriteOutcome.CONFLICT

    async def _revoke(self, lease_id: str, delay: float) -> None:
        try:
            await self.sleep(delay)
            await self._store.revoke_lease(lease_id)
        finally:
            self._leases.pop(lease_id, None)

    # locks that the store holds

    def apply_scan(self, scan: Scan) -> None:
        self._received_at = {}
        self._record(scan.entries)

    def apply_changes(self, changes: Changes) -> None:
        for key, _ in changes.removed:
            self._received_at.pop(key, None)
        self._record(changes.written)

    def _record(self, entries: Iterable[Entry]) -> None:
        now = self._clock.now()
        self._received_at |= {entry.key: now for entry in entries}

    def _is_locked(self, digest: str) -> bool:
        """Return whether a lock is known without asking the store.

        Locks expire here by themselves: an instance that no longer follows the store
        does not receive their removal.
        """
        received_at = self._received_at.get(PREFIX + digest, float("-inf"))
        return self._clock.now() - received_at < LOCK_TTL_SECONDS

    async def on_stop(self) -> None:
        """Revoke the leases of released locks without further delay."""
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=CALL_TIMEOUT)

    def dump(self) -> dict[str, Any]:
        return {"held": len(self._leases), "known": len(self._received_at)}
