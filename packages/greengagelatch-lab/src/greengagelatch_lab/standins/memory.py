"""In-process key-value store and instance list with fault injection."""

from __future__ import annotations

import asyncio
from collections import Counter, defaultdict
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import TypeVar

from result import Err, Ok, Result

from greengagelatch.clock import Clock
from greengagelatch.instances import Instance, InstanceList, Listing
from greengagelatch.store import (
    ABSENT,
    Entry,
    Lease,
    Store,
    StoreError,
    StoreErrorKind,
    WriteOutcome,
    WriteResult,
)

__all__ = (
    "MAX_VALUE",
    "CallHook",
    "MemoryInstanceList",
    "MemoryStore",
    "RefusedWrite",
    "StoreFaults",
)

#: maximum size of a value in bytes
MAX_VALUE = 1024 * 1024

EXPIRED = StoreError(StoreErrorKind.LEASE_GONE, "lease has expired")

T = TypeVar("T")

#: awaited with the kind of a call (``"get"``, ``"swap"``, ...) and its key
CallHook = Callable[[str, str], Awaitable[None]]


@dataclass(slots=True, kw_only=True)
class StoreFaults:
    """Faults of a store; tests may change the fields while the store is in use."""

    #: every call fails; a write in progress at that time loses its answer
    outage: bool = False
    #: number of upcoming swaps and deletes that take effect but get no answer
    lose_answers: int = 0
    #: number of upcoming swaps and deletes that get no answer and have no effect
    drop_writes: int = 0
    #: number of upcoming lease calls that take effect but get no answer
    lose_lease_answers: int = 0
    #: number of upcoming calls that are rejected without any effect
    refuse_calls: int = 0
    #: calls allowed per second of the clock; 0: no limit
    rate_limit: int = 0
    #: awaited before a call takes effect
    before_call: CallHook | None = None
    #: awaited after a call has taken effect and before it is answered
    after_call: CallHook | None = None

    def consume(self, name: str) -> bool:
        """Consume one of the counted faults ``name``; return whether any was left."""
        left = getattr(self, name)
        if left <= 0:
            return False
        setattr(self, name, left - 1)
        return True


@dataclass(frozen=True, slots=True)
class RefusedWrite(WriteResult):
    """A write that was rejected without any effect; ``kind`` gives the reason."""

    kind: StoreErrorKind = StoreErrorKind.UNREACHABLE


@dataclass(slots=True)
class _HeldLease:
    ttl: float
    number: int
    expires: float


class MemoryStore(Store):
    """In-process implementation of the platform's key-value service.

    Leases expire by ``clock``, checked on each call. A watch waits in event loop
    time, so tests with a manual clock pass a short wait.
    """

    def __init__(self, *, clock: Clock, faults: StoreFaults | None = None) -> None:
        self.faults = faults or StoreFaults()
        #: number of calls by kind
        self.calls: Counter[str] = Counter()
        self._clock = clock
        self._entries: dict[str, Entry] = {}
        self._bindings: dict[str, str] = {}
        self._leases: dict[str, _HeldLease] = {}
        #: pending watches by key, in call order; a set would wake them in an order
        #: that differs between runs
        self._watchers: dict[str, dict[asyncio.Event, None]] = defaultdict(dict)
        self._revision = ABSENT
        self._lease_number = 0
        self._window = 0
        self._window_calls = 0

    async def get(self, key: str) -> Result[Entry | None, StoreError]:
        error = await self._begin_call("get", key)
        if error:
            return Err(error)
        entry = self._entries.get(key)
        return await self._answer("get", key, entry)

    async def list(self, prefix: str) -> Result[tuple[Entry, ...], StoreError]:
        error = await self._begin_call("list", prefix)
        if error:
            return Err(error)
        keys = sorted(key for key in self._entries if key.startswith(prefix))
        entries = tuple(self._entries[key] for key in keys)
        return await self._answer("list", prefix, entries)

    async def swap(
        self, key: str, value: bytes, expected: int, *, lease_id: str = ""
    ) -> WriteResult:
        error = await self._begin_call("swap", key)
        if error:
            return _refuse(error)
        if self.faults.consume("drop_writes"):
            return WriteResult(WriteOutcome.UNKNOWN, message="no answer")
        result = self._swap(key, value, expected, lease_id)
        return await self._answer_write("swap", key, result)

    async def delete(self, key: str, expected: int) -> WriteResult:
        error = await self._begin_call("delete", key)
        if error:
            return _refuse(error)
        if self.faults.consume("drop_writes"):
            return WriteResult(WriteOutcome.UNKNOWN, message="no answer")
        found = self._get_revision(key)
        result = WriteResult(WriteOutcome.CONFLICT, found)
        if found == expected and found != ABSENT:
            result = WriteResult(WriteOutcome.APPLIED, self._remove(key))
        return await self._answer_write("delete", key, result)

    async def watch(
        self, key: str, after: int, wait: float
    ) -> Result[Entry | None, StoreError]:
        error = await self._begin_call("watch", key)
        if error:
            return Err(error)
        entry = self._get_newer(key, after)
        if entry is None and wait > 0:
            entry = await self._wait_newer(key, after, wait)
        return await self._answer("watch", key, entry)

    async def grant_lease(self, ttl: float) -> Result[Lease, StoreError]:
        error = await self._begin_call("grant", "")
        if error:
            return Err(error)
        self._lease_number += 1
        lease = Lease(f"lease-{self._lease_number}", ttl, self._lease_number)
        expires = self._clock.now() + ttl
        self._leases[lease.lease_id] = _HeldLease(ttl, lease.number, expires)
        return await self._answer_lease("grant", lease)

    async def renew_lease(self, lease_id: str) -> Result[Lease, StoreError]:
        error = await self._begin_call("keep", lease_id)
        if error:
            return Err(error)
        held = self._leases.get(lease_id)
        if held is None:
            return Err(EXPIRED)
        held.expires = self._clock.now() + held.ttl
        return await self._answer_lease("keep", Lease(lease_id, held.ttl, held.number))

    async def revoke_lease(self, lease_id: str) -> WriteResult:
        error = await self._begin_call("revoke", lease_id)
        if error:
            return _refuse(error)
        self._end_lease(lease_id)
        result = WriteResult(WriteOutcome.APPLIED, self._revision)
        if self.faults.consume("lose_lease_answers"):
            result = WriteResult(WriteOutcome.UNKNOWN, message="no answer")
        return result

    def interrupt_watches(self) -> None:
        """Wake every pending watch, as at the start of an outage."""
        for events in list(self._watchers.values()):
            for event in events:
                event.set()

    async def _begin_call(self, kind: str, key: str) -> StoreError | None:
        self.calls[kind] += 1
        if self.faults.before_call:
            await self.faults.before_call(kind, key)
        if self.faults.outage:
            return StoreError(StoreErrorKind.UNREACHABLE, "outage")
        if self.faults.consume("refuse_calls") or self._is_over_limit():
            return StoreError(StoreErrorKind.RATE_LIMITED, "too many calls")
        self._expire_leases()
        return None

    def _is_over_limit(self) -> bool:
        if not self.faults.rate_limit:
            return False
        window = int(self._clock.now())
        if window != self._window:
            self._window = window
            self._window_calls = 0
        self._window_calls += 1
        return self._window_calls > self.faults.rate_limit

    async def _answer(self, kind: str, key: str, value: T) -> Result[T, StoreError]:
        if self.faults.after_call:
            await self.faults.after_call(kind, key)
        if self.faults.outage:
            return Err(StoreError(StoreErrorKind.TIMEOUT, "no answer"))
        return Ok(value)

    async def _answer_lease(self, kind: str, lease: Lease) -> Result[Lease, StoreError]:
        if self.faults.consume("lose_lease_answers"):
            return Err(StoreError(StoreErrorKind.TIMEOUT, "no answer"))
        return await self._answer(kind, lease.lease_id, lease)

    async def _answer_write(
        self, kind: str, key: str, result: WriteResult
    ) -> WriteResult:
        if self.faults.after_call:
            await self.faults.after_call(kind, key)
        if self.faults.consume("lose_answers") or self.faults.outage:
            return WriteResult(WriteOutcome.UNKNOWN, message="no answer")
        return result

    def _swap(
        self, key: str, value: bytes, expected: int, lease_id: str
    ) -> WriteResult:
        if len(value) > MAX_VALUE:
            return _refuse(StoreError(StoreErrorKind.BAD_ANSWER, "value too large"))
        if lease_id and lease_id not in self._leases:
            return _refuse(EXPIRED)
        found = self._get_revision(key)
        if found != expected:
            return WriteResult(WriteOutcome.CONFLICT, found)
        self._revision += 1
        self._entries[key] = Entry(key, value, self._revision)
        self._bindings.pop(key, None)
        if lease_id:
            self._bindings[key] = lease_id
        for event in self._watchers.get(key, ()):
            event.set()
        return WriteResult(WriteOutcome.APPLIED, self._revision)

    def _remove(self, key: str) -> int:
        self._revision += 1
        del self._entries[key]
        self._bindings.pop(key, None)
        return self._revision

    def _get_revision(self, key: str) -> int:
        entry = self._entries.get(key)
        return entry.revision if entry else ABSENT

    def _get_newer(self, key: str, after: int) -> Entry | None:
        entry = self._entries.get(key)
        if entry is None or entry.revision <= after:
            return None
        return entry

    async def _wait_newer(self, key: str, after: int, wait: float) -> Entry | None:
        event = asyncio.Event()
        self._watchers[key][event] = None
        try:
            async with asyncio.timeout(wait):
                await event.wait()
        except TimeoutError:
            pass
        finally:
            del self._watchers[key][event]
            if not self._watchers[key]:
                del self._watchers[key]
        return self._get_newer(key, after)

    def _expire_leases(self) -> None:
        now = self._clock.now()
        expired = [name for name, held in self._leases.items() if held.expires <= now]
        for lease_id in expired:
            self._end_lease(lease_id)

    def _end_lease(self, lease_id: str) -> None:
        self._leases.pop(lease_id, None)
        bound = [key for key, owner in self._bindings.items() if owner == lease_id]
        for key in bound:
            self._remove(key)


class MemoryInstanceList(InstanceList):
    """In-process implementation of the platform's list of instances.

    It returns the listing as it was ``lag`` seconds ago.
    """

    def __init__(self, *, clock: Clock, lag: float = 0.0) -> None:
        #: seconds by which the returned listing is stale
        self.lag = lag
        self.outage = False
        #: number of calls by kind
        self.calls: Counter[str] = Counter()
        self._clock = clock
        self._instances: dict[str, Instance] = {}
        #: listings with the time from which each is valid, oldest first
        self._history = [(clock.now(), Listing(1, ()))]

    def put(self, instance: Instance) -> None:
        """Add an instance, or replace the one with the same id."""
        self._instances[instance.instance_id] = instance
        self._record()

    def remove(self, instance_id: str) -> None:
        """Remove an instance, if present."""
        self._instances.pop(instance_id, None)
        self._record()

    async def fetch(self) -> Result[Listing, StoreError]:
        self.calls["fetch"] += 1
        if self.outage:
            return Err(StoreError(StoreErrorKind.UNREACHABLE, "outage"))
        shown_at = self._clock.now() - self.lag
        while len(self._history) > 1 and self._history[1][0] <= shown_at:
            self._history.pop(0)
        return Ok(self._history[0][1])

    def _record(self) -> None:
        instances = tuple(sorted(self._instances.values(), key=_get_id))
        listing = Listing(self._history[-1][1].as_of + 1, instances)
        self._history.append((self._clock.now(), listing))


def _refuse(error: StoreError) -> RefusedWrite:
    outcome = WriteOutcome.NOT_APPLIED
    return RefusedWrite(outcome, message=error.message, kind=error.kind)


def _get_id(instance: Instance) -> str:
    return instance.instance_id
