"""Model of the platform's store, and of the connections of an instance to it."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeVar

from result import Err, Ok, Result

from greengagelatch.store import (
    ABSENT,
    Entry,
    Lease,
    StoreError,
    StoreErrorKind,
    WriteOutcome,
    WriteResult,
)
from greengagelatch.store.ranges import Changes, RangeStore, Scan
from greengagelatch_platform.store import CALL_TIMEOUT, WATCH_MARGIN

if TYPE_CHECKING:
    import random
    from collections.abc import Awaitable, Callable

__all__ = ("ModelStore", "StoreChannel")

T = TypeVar("T")

#: bounds of the seconds of a message to the store or back
LATENCY_SECONDS = (0.001, 0.004)
#: seconds without a path after which the kernel drops a connection
LOSS_SECONDS = 3.0
#: seconds between two checks for entries whose time is over
EXPIRY_SECONDS = 0.05
#: time at which items expire that need no renewal
NEVER = float("inf")


class _RejectedError(Exception):
    """The store has rejected a call."""


class _LostError(Exception):
    """The kernel has dropped a connection without a path."""


@dataclass(slots=True)
class _Item:
    value: bytes
    revision: int
    expires_at: float = NEVER


class ModelStore:
    """Items with a history, some of which expire unless they are renewed."""

    def __init__(self) -> None:
        self.revision = 1
        #: whether calls wait until the store is back
        self.is_down = False
        #: whether calls are rejected
        self.is_rejecting = False
        self._items: dict[str, _Item] = {}
        self._history: list[tuple[int, str]] = []
        self._changed = asyncio.Event()
        #: loop times since which keys are present, and at which they were removed
        self.present_since: dict[str, float] = {}
        self.removed_at: dict[str, float] = {}

    @property
    def is_available(self) -> bool:
        """Whether calls are answered."""
        return not self.is_down and not self.is_rejecting

    async def expire_forever(self) -> None:
        """Remove items whose time is over, also while the store is away."""
        while True:
            now = asyncio.get_running_loop().time()
            for key, item in tuple(self._items.items()):
                if item.expires_at <= now:
                    self.remove(key)
            await asyncio.sleep(EXPIRY_SECONDS)

    def set_down(self, is_down: bool) -> None:
        """Begin or end an outage."""
        self.is_down = is_down
        self._tell()

    def put(self, key: str, value: bytes, expires_at: float = NEVER) -> int:
        """Write an item, or renew it if its value is the same."""
        known = self._items.get(key)
        if known is not None and known.value == value:
            known.expires_at = expires_at
            return known.revision
        now = asyncio.get_running_loop().time()
        if known is None:
            self.present_since[key] = now
        self.removed_at.pop(key, None)
        self._items[key] = _Item(value, self._record(key), expires_at)
        return self.revision

    def remove(self, key: str) -> None:
        """Remove an item, if present."""
        if self._items.pop(key, None) is None:
            return
        self.present_since.pop(key, None)
        self.removed_at[key] = asyncio.get_running_loop().time()
        self._record(key)

    def find(self, key: str) -> Entry | None:
        """Return the entry of a key."""
        item = self._items.get(key)
        return None if item is None else Entry(key, item.value, item.revision)

    def scan(self, prefix: str) -> Scan:
        """Return all entries under a prefix."""
        keys = sorted(key for key in self._items if key.startswith(prefix))
        return Scan(tuple(self.find(key) for key in keys), self.revision)

    def list_changes(self, prefix: str, after: int) -> Changes:
        """Return the last change of each key under a prefix."""
        last = {
            key: revision
            for revision, key in self._history
            if revision > after and key.startswith(prefix)
        }
        written = tuple(self.find(key) for key in last if key in self._items)
        removed = tuple(
            (key, revision) for key, revision in last.items() if key not in self._items
        )
        return Changes(written, removed, self.revision)

    def swap(self, key: str, value: bytes, expected: int) -> WriteResult:
        """Write an item if its revision is the expected one."""
        known = self._items.get(key)
        if (known.revision if known else ABSENT) != expected:
            return WriteResult(WriteOutcome.CONFLICT)
        return WriteResult(WriteOutcome.APPLIED, self.put(key, value))

    async def wait_available(self) -> None:
        """Wait while the store is down.

        :raises _RejectedError: if it rejects calls
        """
        while self.is_down:
            await self._changed.wait()
        if self.is_rejecting:
            raise _RejectedError

    async def wait_changes(self, prefix: str, after: int, wait: float) -> Changes:
        """Wait for changes after a revision, and return them."""
        end = asyncio.get_running_loop().time() + wait
        while True:
            await self.wait_available()
            changes = self.list_changes(prefix, after)
            left = end - asyncio.get_running_loop().time()
            if changes.written or changes.removed or left <= 0:
                return changes
            await self._wait_changed(left)

    async def _wait_changed(self, seconds: float) -> None:
        try:
            async with asyncio.timeout(seconds):
                await self._changed.wait()
        except TimeoutError:
            return

    def _record(self, key: str) -> int:
        self.revision += 1
        self._history.append((self.revision, key))
        self._tell()
        return self.revision

    def _tell(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()


@dataclass(slots=True, eq=False)
class _Connection:
    #: whether nothing passes any more, though neither side has closed it
    is_silent: bool = False


class StoreChannel(RangeStore):
    """The connections of one instance to the store."""

    def __init__(self, store: ModelStore, random_source: random.Random) -> None:
        self._store = store
        self._random = random_source
        self._idle: list[_Connection] = []
        self._busy: set[_Connection] = set()
        #: those of them that are not used again
        self._former: set[_Connection] = set()
        self._path = asyncio.Event()
        self._path.set()
        #: calls by kind
        self.calls = 0

    def set_cut(self, is_cut: bool) -> None:
        """Cut the path to the store, or restore it."""
        if is_cut:
            self._path.clear()
        else:
            self._path.set()

    @property
    def is_cut(self) -> bool:
        """Whether there is no path to the store."""
        return not self._path.is_set()

    def fall_silent(self) -> None:
        """Let nothing pass on the open connections any more."""
        for connection in (*self._idle, *self._busy):
            connection.is_silent = True

    def renew_connections(self) -> None:
        self._idle.clear()
        self._former |= self._busy

    async def get(self, key: str) -> Result[Entry | None, StoreError]:
        return await self._call(CALL_TIMEOUT, lambda: self._read(self._store.find, key))

    async def list(self, prefix: str) -> Result[tuple[Entry, ...], StoreError]:
        return (await self.scan(prefix)).map(lambda scan: scan.entries)

    async def scan(self, prefix: str) -> Result[Scan, StoreError]:
        return await self._call(
            CALL_TIMEOUT, lambda: self._read(self._store.scan, prefix)
        )

    async def follow(
        self, prefix: str, after: int, wait: float
    ) -> Result[Changes, StoreError]:
        return await self._call(
            wait + WATCH_MARGIN, lambda: self._store.wait_changes(prefix, after, wait)
        )

    async def watch(
        self, key: str, after: int, wait: float
    ) -> Result[Entry | None, StoreError]:
        found = await self.follow(key, after, wait)
        return found.map(lambda changes: next(iter(changes.written), None))

    async def swap(
        self, key: str, value: bytes, expected: int, *, lease_id: str = ""
    ) -> WriteResult:
        written = await self._call(
            CALL_TIMEOUT, lambda: self._read(self._store.swap, key, value, expected)
        )
        if isinstance(written, Ok):
            return written.ok_value
        if written.err_value.kind is StoreErrorKind.RATE_LIMITED:
            return WriteResult(WriteOutcome.NOT_APPLIED)
        return WriteResult(WriteOutcome.UNKNOWN)

    async def delete(self, key: str, expected: int) -> WriteResult:
        raise NotImplementedError

    async def grant_lease(self, ttl: float) -> Result[Lease, StoreError]:
        raise NotImplementedError

    async def renew_lease(self, lease_id: str) -> Result[Lease, StoreError]:
        raise NotImplementedError

    async def revoke_lease(self, lease_id: str) -> WriteResult:
        raise NotImplementedError

    async def _read(self, work: Callable[..., T], *arguments: object) -> T:
        await self._store.wait_available()
        return work(*arguments)

    async def _call(
        self, timeout: float, serve: Callable[[], Awaitable[T]]
    ) -> Result[T, StoreError]:
        self.calls += 1
        connection = self._idle.pop() if self._idle else _Connection()
        self._busy.add(connection)
        try:
            async with asyncio.timeout(timeout):
                await self._transmit(connection)
                answer = await serve()
                await self._transmit(connection)
        except TimeoutError:
            if connection not in self._former:
                self.renew_connections()
            return Err(StoreError(StoreErrorKind.TIMEOUT, "no answer"))
        except _LostError:
            return Err(StoreError(StoreErrorKind.UNREACHABLE, "no path"))
        except _RejectedError:
            return Err(StoreError(StoreErrorKind.RATE_LIMITED, "rejected"))
        finally:
            self._busy.discard(connection)
            is_former = connection in self._former
            self._former.discard(connection)
        if not is_former:
            self._idle.append(connection)
        return Ok(answer)

    async def _transmit(self, connection: _Connection) -> None:
        await asyncio.sleep(self._random.uniform(*LATENCY_SECONDS))
        if connection.is_silent:
            await asyncio.Event().wait()
        if self._path.is_set():
            return
        try:
            async with asyncio.timeout(LOSS_SECONDS):
                await self._path.wait()
        except TimeoutError:
            raise _LostError from None
