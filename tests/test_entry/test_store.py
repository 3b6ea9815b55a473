"""Tests of the key-value store client over real connections."""

from __future__ import annotations

import asyncio
import base64
import socket
from collections import Counter

import pytest
from aiohttp import web

from greengagelatch.store import StoreErrorKind, WriteOutcome
from greengagelatch_entry.adapters.store import HttpStore
from greengagelatch_entry.metrics import Metrics


class Service:
    """Store with configurable responses that counts the calls it receives."""

    def __init__(self) -> None:
        self.calls: Counter[str] = Counter()
        self.mode = "answer"
        #: connections whose calls get no response
        self.silent: set[object] = set()
        self.address = ""
        self.connections: set[object] = set()

    async def respond(self, request: web.Request) -> web.StreamResponse:
        self.calls[request.method] += 1
        peer = request.transport.get_extra_info("peername")
        mode = "silent" if peer in self.silent else self.mode
        self.connections.add(peer)
        if mode == "drop":
            request.transport.abort()
            return web.Response()
        if mode == "silent":
            await asyncio.sleep(30)
        if mode.isdecimal():
            return web.json_response({"revision": 9}, status=int(mode))
        value = base64.b64encode(b"v").decode()
        return web.json_response({"key": "a/b", "value": value, "revision": 7})


@pytest.fixture
async def service():
    service = Service()
    app = web.Application()
    app.router.add_route("*", "/{path:.*}", service.respond)
    runner = web.AppRunner(app, shutdown_timeout=0.1, handler_cancellation=True)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    host, port = runner.addresses[0][:2]
    service.address = f"{host}:{port}"
    yield service
    await runner.cleanup()


@pytest.fixture
async def store(service):
    store = HttpStore(
        address=service.address, timeout=0.6, metrics=Metrics("127.0.0.1:9")
    )
    yield store
    await store.close()


async def test_reads_and_writes_are_counted_by_kind(service, store):
    entry = (await store.get("a/b")).unwrap()
    assert (entry.key, entry.value, entry.revision) == ("a/b", b"v", 7)
    written = await store.swap("a/b", b"v", 3)
    assert (written.outcome, written.revision) == (WriteOutcome.APPLIED, 7)
    assert store._metrics.value("store.calls.get") == 1
    assert store._metrics.value("store.calls.swap") == 1


@pytest.mark.parametrize(
    ("mode", "outcome"),
    [
        ("412", WriteOutcome.CONFLICT),
        ("429", WriteOutcome.NOT_APPLIED),
        ("503", WriteOutcome.NOT_APPLIED),
        ("413", WriteOutcome.NOT_APPLIED),
        ("500", WriteOutcome.UNKNOWN),
        ("silent", WriteOutcome.UNKNOWN),
        ("drop", WriteOutcome.UNKNOWN),
    ],
)
async def test_a_write_is_sent_once_and_has_an_outcome(service, store, mode, outcome):
    """Guards against a successful swap that is reported as a conflict.

    The service closes a kept-alive connection during a call. If the client resends the
    call by itself, the second swap conflicts with the first, and the service counts
    two calls.
    """
    await store.get("a/b")
    service.calls.clear()
    service.mode = mode
    written = await store.swap("a/b", b"v", 3)
    assert written.outcome is outcome
    assert service.calls.total() == 1


async def test_a_write_without_a_connection_is_not_applied(service):
    """Guards against an unknown outcome for a write that was never sent.

    Nothing listens on the port, so that no connection is made, and reading the key
    back would be needless.
    """
    with socket.socket() as bound:
        bound.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{bound.getsockname()[1]}"
        metrics = Metrics("127.0.0.1:9")
        store = HttpStore(address=address, timeout=0.5, metrics=metrics)
        written = await store.swap("a", b"v", 0)
        await store.close()
    assert written.outcome is WriteOutcome.NOT_APPLIED


async def test_a_read_succeeds_despite_unresponsive_connections(service, store):
    """Guards against reads that fail while the pool has unresponsive connections.

    Two concurrent calls leave two pooled connections, and both become unresponsive:
    the call is lost on one, and its retry must not use the other.
    """
    await asyncio.gather(store.get("a/b"), store.get("a/b"))
    service.silent = set(service.connections)
    assert len(service.silent) == 2
    assert (await store.get("a/b")).unwrap().revision == 7


async def test_reads_fail_after_two_attempts(service, store):
    """Guards against many retries of each call to a store that is down."""
    service.mode = "silent"
    error = (await store.get("a/b")).unwrap_err()
    assert error.kind is StoreErrorKind.TIMEOUT
    assert service.calls == {"GET": 2}
    service.mode = "429"
    error = (await store.get("a/b")).unwrap_err()
    assert error.kind is StoreErrorKind.RATE_LIMITED
    assert service.calls == {"GET": 3}


async def test_a_watch_without_changes_and_a_missing_lease(service, store):
    service.mode = "204"
    assert (await store.watch("a/b", 7, 0.1)).unwrap() is None
    service.mode = "404"
    error = (await store.renew_lease("lease-1")).unwrap_err()
    assert error.kind is StoreErrorKind.LEASE_GONE
