"""Tests of greengagelatch_platform.store against a simulated store."""

from __future__ import annotations

import asyncio

import pytest
from result import Err

from greengagelatch.store import ABSENT, StoreError, StoreErrorKind, WriteOutcome
from greengagelatch_entry.relay.prometheus import PrometheusMetrics
from greengagelatch_lab.platform_standins.store import SimulatedStore, StoreFault
from greengagelatch_lab.standins.tcp_proxy import TcpProxy
from greengagelatch_platform import store as store_module
from greengagelatch_platform.store import PlatformStore


@pytest.fixture
async def standin():
    created = SimulatedStore()
    await created.start()
    yield created
    await created.stop()


@pytest.fixture
async def store(standin):
    created = PlatformStore(address=standin.address, metrics=PrometheusMetrics())
    yield created
    await created.close()


async def test_writes_depend_on_the_expected_revision(store):
    first = await store.swap("a", b"1", ABSENT)
    assert first.outcome is WriteOutcome.APPLIED
    again = await store.swap("a", b"2", ABSENT)
    assert again.outcome is WriteOutcome.CONFLICT
    entry = (await store.get("a")).unwrap()
    assert (entry.value, entry.revision) == (b"1", first.revision)
    assert (await store.delete("a", first.revision)).outcome is WriteOutcome.APPLIED
    assert (await store.get("a")).unwrap() is None


async def test_scan_reads_all_pages(store, standin):
    for number in range(120):
        standin.put(f"servers/{number:03}", {"n": number})
    standin.put("other", {})
    scan = (await store.scan("servers/")).unwrap()
    assert len(scan.entries) == 120
    assert scan.revision == scan.entries[-1].revision + 1


async def test_item_with_an_invalid_value_does_not_affect_others(
    store, standin, monkeypatch
):
    """Guards against losing all entries of the store because one item is invalid.

    The value of an item is not valid base64; rejecting the whole response would
    hide all other items while this one exists.
    """
    original = SimulatedStore._encode_item

    def describe_with_invalid_value(self, key):
        item = original(self, key)
        return {**item, "value": "!"} if key == "servers/bad" else item

    monkeypatch.setattr(SimulatedStore, "_encode_item", describe_with_invalid_value)
    revision = standin.put("servers/a", {"n": 1})
    standin.put("servers/bad", {"n": 1})
    entries = (await store.scan("servers/")).unwrap().entries
    assert [(entry.key, entry.value) for entry in entries] == [
        ("servers/a", b'{"n": 1}'),
        ("servers/bad", b""),
    ]
    changes = (await store.follow("servers/", revision, 1.0)).unwrap()
    assert [entry.value for entry in changes.written] == [b""]


async def test_follow_returns_the_last_change_of_each_key(store, standin):
    revision = standin.put("servers/a", {"n": 1})
    standin.put("servers/b", {"n": 1})
    standin.put("servers/b", {"n": 2})
    standin.remove("servers/a")
    changes = (await store.follow("servers/", revision, 1.0)).unwrap()
    assert [(entry.key, entry.value) for entry in changes.written] == [
        ("servers/b", b'{"n": 2}')
    ]
    assert [key for key, _ in changes.removed] == ["servers/a"]


async def test_watch_without_a_change_returns_after_its_wait(store, standin):
    revision = standin.put("a", {})
    changes = (await store.follow("", revision, 0.05)).unwrap()
    assert (changes.written, changes.removed) == ((), ())


async def test_compacted_history_is_reported(store, standin):
    revision = standin.put("a", {})
    standin.put("a", {})
    standin.compact()
    result = await store.follow("", revision, 0.05)
    assert result.unwrap_err().kind is StoreErrorKind.COMPACTED


async def test_revoking_a_lease_deletes_its_entries(store, standin):
    lease = (await store.grant_lease(60.0)).unwrap()
    await store.swap("a", b"1", ABSENT, lease_id=lease.lease_id)
    assert (await store.renew_lease(lease.lease_id)).is_ok()
    await store.revoke_lease(lease.lease_id)
    assert (await store.get("a")).unwrap() is None
    gone = await store.renew_lease(lease.lease_id)
    assert gone.unwrap_err().kind is StoreErrorKind.LEASE_GONE


async def test_rate_limited_write_is_not_applied(store, standin):
    standin.fault = StoreFault.UNAVAILABLE
    result = await store.swap("a", b"1", ABSENT)
    assert result.outcome is WriteOutcome.NOT_APPLIED
    assert (await store.get("a")).unwrap_err().kind is StoreErrorKind.RATE_LIMITED


@pytest.mark.parametrize(
    "fault",
    [
        StoreFault.LOST_RESPONSE,
        StoreFault.UNRESPONSIVE,
        StoreFault.FAILED_RESPONSE,
    ],
)
async def test_write_without_a_response_has_an_unknown_outcome(
    store, standin, monkeypatch, fault
):
    """Guards against two instances that both believe to hold the same entry.

    A write is applied and its response is lost, or an error; the writer must not treat
    that as a rejection of the write.
    """
    monkeypatch.setattr(store_module, "CALL_TIMEOUT", 0.1)
    monkeypatch.setattr(PlatformStore._call, "__defaults__", (None, 0.1))
    standin.fault = fault
    result = await store.swap("a", b"1", ABSENT)
    assert result.outcome is WriteOutcome.UNKNOWN


async def test_write_that_the_store_rejects_is_not_applied(store):
    result = await store.swap("servers/a", b"1", ABSENT)
    assert result.outcome is WriteOutcome.NOT_APPLIED
    result = await store.swap("a", b"1", ABSENT, lease_id="999")
    assert result.outcome is WriteOutcome.NOT_APPLIED


async def test_stopped_store_is_reported_as_unreachable(standin):
    address = standin.address
    await standin.stop()
    store = PlatformStore(address=address, metrics=PrometheusMetrics())
    result = await store.scan("")
    assert result.unwrap_err().kind is StoreErrorKind.UNREACHABLE
    await store.close()


async def test_calls_leave_connections_that_may_be_silent_like_another(
    standin, monkeypatch
):
    """Guards against calls that time out one after the other on silent connections.

    The idle connections of an instance go silent at once, without an error.
    """
    monkeypatch.setattr(PlatformStore._call, "__defaults__", (None, 0.3))
    monkeypatch.setattr(PlatformStore._read, "__defaults__", (0.3,))
    proxy = TcpProxy(standin.address)
    await proxy.start()
    metrics = PrometheusMetrics()
    store = PlatformStore(address=proxy.address, metrics=metrics)
    await asyncio.gather(*(store.get("a") for _ in range(4)))
    opened = proxy.accepted
    assert opened > 1
    proxy.blackhole(only_open=True)
    result = await store.get("a")
    assert result.unwrap_err().kind is StoreErrorKind.TIMEOUT
    assert metrics.value("store.connections_renewed") == 1
    assert (await store.swap("a", b"1", ABSENT)).outcome is WriteOutcome.APPLIED
    assert (await store.grant_lease(60.0)).is_ok()
    assert proxy.accepted == opened + 1
    await store.close()
    await proxy.stop()


async def test_watch_in_flight_survives_new_connections(store, standin):
    """Guards against watches that are cut as other connections are given up."""
    revision = standin.put("a", {})
    watch = asyncio.create_task(store.follow("", revision, 5.0))
    while not standin.calls.get("/v1/kv-watch"):  # noqa: ASYNC110
        await asyncio.sleep(0.01)
    store.renew_connections()
    await store.get("a")
    standin.put("a", {"n": 1})
    assert [one.key for one in (await watch).unwrap().written] == ["a"]


async def test_former_connections_are_used_on_if_new_ones_fail(
    store, standin, monkeypatch
):
    """Guards against giving up connections that are late for some that fail."""
    revision = standin.put("a", {})
    watch = asyncio.create_task(store.follow("", revision, 5.0))
    while not standin.calls.get("/v1/kv-watch"):  # noqa: ASYNC110
        await asyncio.sleep(0.01)
    former = store._pool

    async def fail(prefix):
        store._open_pool()
        return Err(StoreError(StoreErrorKind.UNREACHABLE, "refused"))

    with monkeypatch.context() as patch:
        patch.setattr(store, "scan", fail)
        assert (await store.scan_anew("")).is_err()
    assert store._pool is former
    assert (await store.scan_anew("")).is_ok()
    assert store._pool is not former
    standin.put("a", {"n": 1})
    assert (await watch).is_ok()
