"""Per-instance client of a shared store, with its own fault injection."""

from __future__ import annotations

from collections import Counter
from collections.abc import Awaitable, Callable

from result import Err, Result

from greengagelatch.store import (
    Entry,
    Lease,
    Store,
    StoreError,
    StoreErrorKind,
    WriteOutcome,
    WriteResult,
)

from .memory import StoreFaults

__all__ = ("FaultInjectingStore",)

OUTAGE = StoreError(StoreErrorKind.UNREACHABLE, "store unreachable")
LOST = WriteResult(WriteOutcome.UNKNOWN, message="no answer")
REFUSED = WriteResult(WriteOutcome.NOT_APPLIED, message="refused")


class FaultInjectingStore(Store):
    """Forwards calls to ``store`` unless a fault of this view prevents it."""

    def __init__(self, store: Store) -> None:
        self.faults = StoreFaults()
        #: number of calls by kind
        self.calls: Counter[str] = Counter()
        self._store = store

    async def get(self, key: str) -> Result[Entry | None, StoreError]:
        if not await self._reaches_store("get", key):
            return Err(OUTAGE)
        return await self._store.get(key)

    async def list(self, prefix: str) -> Result[tuple[Entry, ...], StoreError]:
        if not await self._reaches_store("list", prefix):
            return Err(OUTAGE)
        return await self._store.list(prefix)

    async def swap(
        self, key: str, value: bytes, expected: int, *, lease_id: str = ""
    ) -> WriteResult:
        return await self._write(
            "swap",
            key,
            lambda: self._store.swap(key, value, expected, lease_id=lease_id),
        )

    async def delete(self, key: str, expected: int) -> WriteResult:
        return await self._write(
            "delete", key, lambda: self._store.delete(key, expected)
        )

    async def watch(
        self, key: str, after: int, wait: float
    ) -> Result[Entry | None, StoreError]:
        if not await self._reaches_store("watch", key):
            return Err(OUTAGE)
        return await self._store.watch(key, after, wait)

    async def grant_lease(self, ttl: float) -> Result[Lease, StoreError]:
        if not await self._reaches_store("grant", ""):
            return Err(OUTAGE)
        return await self._store.grant_lease(ttl)

    async def renew_lease(self, lease_id: str) -> Result[Lease, StoreError]:
        if not await self._reaches_store("keep", lease_id):
            return Err(OUTAGE)
        return await self._store.renew_lease(lease_id)

    async def revoke_lease(self, lease_id: str) -> WriteResult:
        return await self._write(
            "revoke", lease_id, lambda: self._store.revoke_lease(lease_id)
        )

    async def _reaches_store(self, kind: str, key: str) -> bool:
        """Count a call; return whether it reaches the store."""
        self.calls[kind] += 1
        if self.faults.before_call:
            await self.faults.before_call(kind, key)
        return not (self.faults.outage or self.faults.consume("refuse_calls"))

    async def _write(
        self, kind: str, key: str, write: Callable[[], Awaitable[WriteResult]]
    ) -> WriteResult:
        if not await self._reaches_store(kind, key):
            return REFUSED
        if self.faults.consume("drop_writes"):
            return LOST
        result = await write()
        if self.faults.consume("lose_answers") or self.faults.outage:
            return LOST
        return result
