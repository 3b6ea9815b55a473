"""Tests of the in-process key-value store and instance list."""

from __future__ import annotations

import asyncio

from greengagelatch.clock import ManualClock
from greengagelatch.instances import Instance, InstanceKind
from greengagelatch.store import StoreErrorKind, WriteOutcome
from greengagelatch_lab.standins.memory import (
    MAX_VALUE,
    MemoryInstanceList,
    MemoryStore,
)


def create_store() -> tuple[MemoryStore, ManualClock]:
    clock = ManualClock()
    return MemoryStore(clock=clock), clock


async def test_swap_requires_the_current_revision() -> None:
    store, _ = create_store()
    first = await store.swap("a", b"1", 0)
    assert first.outcome is WriteOutcome.APPLIED
    late = await store.swap("a", b"2", 0)
    assert late.outcome is WriteOutcome.CONFLICT
    other = await store.swap("b", b"1", 0)
    assert other.revision > first.revision
    gone = await store.delete("a", first.revision)
    assert gone.revision > other.revision
    assert (await store.get("a")).ok_value is None
    assert [entry.key for entry in (await store.list("")).ok_value] == ["b"]
    huge = await store.swap("c", b"x" * (MAX_VALUE + 1), 0)
    assert huge.outcome is WriteOutcome.NOT_APPLIED


async def test_lost_answer_and_dropped_write_are_indistinguishable() -> None:
    store, _ = create_store()
    store.faults.lose_answers = 1
    lost = await store.swap("a", b"1", 0)
    store.faults.drop_writes = 1
    dropped = await store.swap("b", b"1", 0)
    assert lost == dropped
    assert lost.outcome is WriteOutcome.UNKNOWN
    assert (await store.get("a")).ok_value.value == b"1"
    assert (await store.get("b")).ok_value is None


async def test_rejected_calls_have_no_effect() -> None:
    store, clock = create_store()
    store.faults.rate_limit = 1
    assert (await store.swap("a", b"1", 0)).outcome is WriteOutcome.APPLIED
    assert (await store.swap("b", b"1", 0)).outcome is WriteOutcome.NOT_APPLIED
    assert (await store.get("a")).err_value.kind is StoreErrorKind.RATE_LIMITED
    clock.advance(1)
    assert (await store.get("b")).ok_value is None
    store.faults.outage = True
    assert (await store.get("a")).err_value.kind is StoreErrorKind.UNREACHABLE
    assert store.calls == {"swap": 2, "get": 3}


async def test_hook_allows_a_concurrent_write() -> None:
    store, _ = create_store()

    async def write_first(kind: str, key: str) -> None:
        store.faults.before_call = None
        await store.swap(key, b"other", 0)

    store.faults.before_call = write_first
    result = await store.swap("a", b"mine", 0)
    assert result.outcome is WriteOutcome.CONFLICT
    assert (await store.get("a")).ok_value.value == b"other"


async def test_lease_expires_with_its_entries() -> None:
    store, clock = create_store()
    lease = (await store.grant_lease(5)).ok_value
    await store.swap("a", b"1", 0, lease_id=lease.lease_id)
    clock.advance(4)
    assert (await store.renew_lease(lease.lease_id)).is_ok()
    clock.advance(4)
    assert (await store.get("a")).ok_value is not None
    clock.advance(1)
    assert (await store.get("a")).ok_value is None
    late = await store.renew_lease(lease.lease_id)
    assert late.err_value.kind is StoreErrorKind.LEASE_GONE
    bound = await store.swap("a", b"1", 0, lease_id=lease.lease_id)
    assert bound.outcome is WriteOutcome.NOT_APPLIED
    assert (await store.grant_lease(5)).ok_value.number > lease.number


async def test_watch_wakes_on_a_newer_revision() -> None:
    store, _ = create_store()
    assert (await store.watch("a", 0, 0.01)).ok_value is None
    waiting = asyncio.create_task(store.watch("a", 0, 30))
    await asyncio.sleep(0)
    written = await store.swap("a", b"1", 0)
    assert (await waiting).ok_value.revision == written.revision
    assert (await store.watch("a", written.revision, 0.01)).ok_value is None


async def test_outage_ends_a_pending_watch() -> None:
    store, _ = create_store()
    waiting = asyncio.create_task(store.watch("a", 0, 30))
    await asyncio.sleep(0)
    store.faults.outage = True
    store.interrupt_watches()
    assert (await waiting).err_value.kind is StoreErrorKind.TIMEOUT


async def test_instance_list_lags() -> None:
    clock = ManualClock()
    listing = MemoryInstanceList(clock=clock, lag=2)
    listing.put(
        Instance(
            instance_id="e1",
            kind=InstanceKind.ENTRY,
            data_centre="fukuoka-a",
            address="127.0.0.1:1",
        )
    )
    first = (await listing.fetch()).ok_value
    assert first.instances == ()
    clock.advance(2)
    second = (await listing.fetch()).ok_value
    assert [instance.instance_id for instance in second.instances] == ["e1"]
    assert second.as_of > first.as_of
