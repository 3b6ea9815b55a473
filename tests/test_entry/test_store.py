"""Calls to the platform's key-value service over real connections."""

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
    """A service whose answers a test sets; it counts what reaches it."""

    def __init__(self) -> None:
        self.calls: Counter[str] = Counter()
        self.mode = "answer"
        #: connections on which calls are swallowed
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
async def test_a_write_is_sent_once_and_its_verdict_is_settled(
    service, store, mode, outcome
):
    """A swap that took effect is reported as a conflict.

    A kept connection is used once, the service closes it on the next call, and the
    client sends that call again by itself: the second one meets the first. Seen as
    two calls in the service's count.
    """
    await store.get("a/b")
    service.calls.clear()
    service.mode = mode
    written = await store.swap("a/b", b"v", 3)
    assert written.outcome is outcome
    assert service.calls.total() == 1


async def test_a_write_without_a_connection_is_not_applied(service):
    """A write that was never sent is reported as unknown, and read back for nothing.

    Nothing listens on the port, so that no connection is made.
    """
    with socket.socket() as bound:
        bound.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{bound.getsockname()[1]}"
        metrics = Metrics("127.0.0.1:9")
        store = HttpStore(address=address, timeout=0.5, metrics=metrics)
        written = await store.swap("a", b"v", 0)
        await store.close()
    assert written.outcome is WriteOutcome.NOT_APPLIED


async def test_a_read_outlives_connections_gone_silent(service, store):
    """A read fails for as long as the pool holds connections that went silent.

    Two calls at a time leave two kept connections. Both go silent, so that a call
    is swallowed on the one and its repeat would be on the other.
    """
    await asyncio.gather(store.get("a/b"), store.get("a/b"))
    service.silent = set(service.connections)
    assert len(service.silent) == 2
    assert (await store.get("a/b")).unwrap().revision == 7


async def test_reads_are_given_up_after_two_attempts(service, store):
    """A store that is down gets many calls for each one that was asked for."""
    service.mode = "silent"
    error = (await store.get("a/b")).unwrap_err()
    assert error.kind is StoreErrorKind.TIMEOUT
    assert service.calls == {"GET": 2}
    service.mode = "429"
    error = (await store.get("a/b")).unwrap_err()
    assert error.kind is StoreErrorKind.RATE_LIMITED
    assert service.calls == {"GET": 3}


async def test_a_watch_may_end_without_news_or_with_a_lease_gone(service, store):
    service.mode = "204"
    assert (await store.watch("a/b", 7, 0.1)).unwrap() is None
    service.mode = "404"
    error = (await store.renew_lease("lease-1")).unwrap_err()
    assert error.kind is StoreErrorKind.LEASE_GONE
