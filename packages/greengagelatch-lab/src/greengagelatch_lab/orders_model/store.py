"""The store of the orders model: one key, and the leases it may be bound to."""

from __future__ import annotations

import dataclasses
from typing import Any

from result import Err, Ok

from greengagelatch.leases.state import LeaseStep
from greengagelatch.store import (
    ABSENT,
    Entry,
    Lease,
    StoreError,
    StoreErrorKind,
    WriteOutcome,
    WriteResult,
)

from .states import Call, StoreState

__all__ = ("TTL", "apply_call", "delete_unbound")

KEY = "leases/group"
#: time to live of a lease, in ticks
TTL = 4

GONE = Err(StoreError(StoreErrorKind.LEASE_GONE, ""))
NOT_APPLIED = WriteResult(WriteOutcome.NOT_APPLIED)


def delete_unbound(store: StoreState) -> StoreState:
    """Delete the key if its lease has ended; this counts as a write."""
    if not store.lease_id or store.lease_id in dict(store.leases):
        return store
    return dataclasses.replace(
        store, value=b"", revision=ABSENT, lease_id="", writes=store.writes + 1
    )


def apply_call(store: StoreState, call: Call, time: int) -> tuple[StoreState, Any]:
    """Apply a call to the store; return the new store and the answer."""
    match call.step:
        case LeaseStep.CHECK | LeaseStep.VERIFY:
            entry = None
            if store.revision != ABSENT:
                entry = Entry(KEY, store.value, store.revision)
            return store, Ok(entry)
        case LeaseStep.GRANT:
            number = store.granted + 1
            lease = Lease(f"lease-{number}", TTL, number)
            leases = (*store.leases, (lease.lease_id, time + TTL))
            return dataclasses.replace(store, granted=number, leases=leases), Ok(lease)
        case LeaseStep.ACQUIRE:
            return _apply_write(store, call)
        case LeaseStep.RENEW:
            return _apply_renewal(store, call, time)
    leases = tuple(item for item in store.leases if item[0] != call.lease_id)
    return delete_unbound(dataclasses.replace(store, leases=leases)), Ok(None)


def _apply_write(store: StoreState, call: Call) -> tuple[StoreState, WriteResult]:
    if call.lease_id not in dict(store.leases):
        return store, NOT_APPLIED
    if store.revision != ABSENT:
        return store, WriteResult(WriteOutcome.CONFLICT, store.revision)
    revision = store.writes + 1
    store = dataclasses.replace(
        store,
        value=call.value,
        revision=revision,
        lease_id=call.lease_id,
        writes=revision,
    )
    return store, WriteResult(WriteOutcome.APPLIED, revision)


def _apply_renewal(store: StoreState, call: Call, time: int) -> tuple[StoreState, Any]:
    if call.lease_id not in dict(store.leases):
        return store, GONE
    leases = dict(store.leases) | {call.lease_id: time + TTL}
    number = int(call.lease_id.rpartition("-")[2])
    store = dataclasses.replace(store, leases=tuple(leases.items()))
    return store, Ok(Lease(call.lease_id, TTL, number))
