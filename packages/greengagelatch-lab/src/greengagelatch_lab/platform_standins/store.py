"""Simulated metadata store of the platform."""

from __future__ import annotations

import asyncio
import base64
import json
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, Any

from aiohttp import web

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ("StoreFault", "SimulatedStore", "serve_application")

#: items per page; the platform's own limit is about ten times as high
PAGE_SIZE = 50
STATUS_CONFLICT = 412
STATUS_GONE = 410
WRITE_PATH = "/v1/kv-txn"

#: keys that instances may not write
READ_ONLY_PREFIXES = ("op/", "servers/")


class StoreFault(Enum):
    """Fault that the store injects into calls."""

    NONE = "none"
    #: every call is rejected with 503 and has no effect
    UNAVAILABLE = "busy"
    #: no call is answered or has an effect
    UNRESPONSIVE = "silent"
    #: writes take effect but are not answered
    LOST_RESPONSE = "lost"
    #: writes take effect and are answered with 500
    FAILED_RESPONSE = "failed"
    #: writes are rejected with 503 and have no effect; all other calls are served
    READ_ONLY = "read-only"


@dataclass(slots=True)
class _Item:
    value: bytes
    revision: int
    created: int
    lease: int


class SimulatedStore:
    """Serves items, change history and leases from memory over HTTP."""

    def __init__(self) -> None:
        self.fault = StoreFault.NONE
        #: number of calls by path
        self.calls: dict[str, int] = {}
        self._items: dict[str, _Item] = {}
        self._revision = 1
        self._compacted = 0
        self._history: list[tuple[str, int]] = []
        self._leases: dict[int, tuple[float, asyncio.TimerHandle]] = {}
        self._changed = asyncio.Event()
        self._runner: web.AppRunner | None = None
        self.address = ""

    async def start(self) -> None:
        """Start serving on a free loopback port."""
        self._runner, self.address = await serve_application(self.create_application())

    def create_application(self) -> web.Application:
        """Create an application that serves this store's items."""
        app = web.Application(middlewares=[self._apply_fault])
        app.add_routes(
            [
                web.get("/v1/kv-key", self._get),
                web.get("/v1/kv-range", self._list),
                web.get("/v1/kv-watch", self._watch),
                web.post(WRITE_PATH, self._write),
                web.post("/v1/kv-lease", self._grant),
                web.post("/v1/kv-keep/{lease}", self._renew),
                web.delete("/v1/kv-lease-end/{lease}", self._revoke),
            ]
        )
        return app

    async def stop(self) -> None:
        """Cancel the leases' timers and close every connection."""
        for _, timer in self._leases.values():
            timer.cancel()
        if self._runner is not None:
            await self._runner.cleanup()

    # writes by the operator and the targets

    def put(self, key: str, fields: dict[str, Any], lease: int = 0) -> int:
        """Write an item and return its revision."""
        return self.put_bytes(key, json.dumps(fields).encode(), lease)

    def put_bytes(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write an item with an arbitrary byte value and return its revision."""
        return self._put(key, value, lease)

    def remove(self, key: str) -> None:
        """Remove an item, if present."""
        if self._items.pop(key, None) is not None:
            self._record_change(key)

    @property
    def revision(self) -> int:
        """Revision of the last change."""
        return self._revision

    def find_revision(self, prefix: str) -> int:
        """Return the revision of the last change of a key that starts with it."""
        changes = [
            revision for key, revision in self._history if key.startswith(prefix)
        ]
        return max(changes, default=0)

    def compact(self) -> None:
        """Discard the change history, so that watches from older revisions fail."""
        self._compacted = self._revision
        self._history.clear()

    def find(self, prefix: str) -> dict[str, bytes]:
        """Return the values of the keys that start with ``prefix``."""
        return {
            key: item.value
            for key, item in self._items.items()
            if key.startswith(prefix)
        }

    # HTTP handlers

    @web.middleware
    async def _apply_fault(
        self, request: web.Request, handler: Callable[..., Any]
    ) -> web.StreamResponse:
        self.calls[request.path] = self.calls.get(request.path, 0) + 1
        is_write = request.path == WRITE_PATH
        if self.fault is StoreFault.UNAVAILABLE or (
            self.fault is StoreFault.READ_ONLY and is_write
        ):
            return web.Response(status=503)
        if self.fault is StoreFault.UNRESPONSIVE:
            await asyncio.sleep(3600)
        response = await handler(request)
        if self.fault is StoreFault.LOST_RESPONSE and request.method == "POST":
            await asyncio.sleep(3600)
        if self.fault is StoreFault.FAILED_RESPONSE and request.method == "POST":
            return web.json_response({}, status=500)
        return response

    async def _get(self, request: web.Request) -> web.Response:
        key = request.query["key"]
        if key not in self._items:
            return web.json_response({}, status=404)
        return web.json_response(self._encode_item(key))

    async def _list(self, request: web.Request) -> web.Response:
        prefix = request.query["prefix"]
        after = request.query.get("after", "")
        keys = sorted(
            key for key in self._items if key.startswith(prefix) and key > after
        )
        return web.json_response(
            {
                "items": [self._encode_item(key) for key in keys[:PAGE_SIZE]],
                "has-more": len(keys) > PAGE_SIZE,
                "store-revision": self._revision,
            }
        )

    async def _watch(self, request: web.Request) -> web.Response:
        prefix = request.query["prefix"]
        after = int(request.query["after"])
        loop = asyncio.get_running_loop()
        end = loop.time() + int(request.query["wait-ms"]) / 1000
        while True:
            if after < self._compacted:
                return web.json_response({}, status=STATUS_GONE)
            events = self._list_events(prefix, after)
            remaining = end - loop.time()
            if events or remaining <= 0:
                return web.json_response(
                    {"events": events, "store-revision": self._revision}
                )
            await self._wait_change(remaining)

    async def _write(self, request: web.Request) -> web.Response:
        body = await request.json()
        expected = body.get("expected", [])
        for row in expected:
            item = self._items.get(row["key"])
            if (item.revision if item else 0) != row["revision"]:
                return web.json_response({"items": []}, status=STATUS_CONFLICT)
        for put in body.get("puts", []):
            if put["key"].startswith(READ_ONLY_PREFIXES):
                return web.json_response({}, status=403)
            if put.get("lease") and put["lease"] not in self._leases:
                return web.json_response({}, status=404)
        for put in body.get("puts", []):
            value = base64.b64decode(put["value"], validate=True)
            self._put(put["key"], value, put.get("lease", 0))
        for key in body.get("remove", []):
            self.remove(key)
        return web.json_response({"revision": self._revision})

    async def _grant(self, request: web.Request) -> web.Response:
        body = await request.json()
        lease = self._revision * 1000 + len(self._leases)
        self._schedule_expiry(lease, body["ttl-ms"] / 1000)
        return web.json_response({"lease": lease, "ttl-ms": body["ttl-ms"]})

    async def _renew(self, request: web.Request) -> web.Response:
        lease = int(request.match_info["lease"])
        if lease not in self._leases:
            return web.json_response({}, status=404)
        ttl, timer = self._leases[lease]
        timer.cancel()
        self._schedule_expiry(lease, ttl)
        return web.json_response({"ttl-ms": round(ttl * 1000)})

    async def _revoke(self, request: web.Request) -> web.Response:
        self._expire(int(request.match_info["lease"]))
        return web.json_response({})

    # state

    def _put(self, key: str, value: bytes, lease: int) -> int:
        revision = self._record_change(key)
        known = self._items.get(key)
        created = known.created if known else revision
        self._items[key] = _Item(value, revision, created, lease)
        return revision

    def _record_change(self, key: str) -> int:
        self._revision += 1
        self._history.append((key, self._revision))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()
        return self._revision

    async def _wait_change(self, seconds: float) -> None:
        try:
            async with asyncio.timeout(seconds):
                await self._changed.wait()
        except TimeoutError:
            return

    def _list_events(self, prefix: str, after: int) -> list[dict[str, Any]]:
        events = []
        for key, revision in self._history:
            if revision <= after or not key.startswith(prefix):
                continue
            item = self._items.get(key)
            if item is None:
                events.append({"key": key, "revision": revision, "tombstone": True})
            elif item.revision == revision:
                events.append(self._encode_item(key))
        return events

    def _encode_item(self, key: str) -> dict[str, Any]:
        item = self._items[key]
        return {
            "key": key,
            "value": base64.b64encode(item.value).decode(),
            "revision": item.revision,
            "created": item.created,
            "lease": item.lease,
            "store-revision": self._revision,
        }

    def _schedule_expiry(self, lease: int, ttl: float) -> None:
        loop = asyncio.get_running_loop()
        self._leases[lease] = (ttl, loop.call_later(ttl, self._expire, lease))

    def _expire(self, lease: int) -> None:
        held = self._leases.pop(lease, None)
        if held is None:
            return
        held[1].cancel()
        for key in [key for key, item in self._items.items() if item.lease == lease]:
            self.remove(key)


async def serve_application(app: web.Application) -> tuple[web.AppRunner, str]:
    """Serve on a free loopback port; return the runner and the address."""
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    return runner, f"127.0.0.1:{runner.addresses[0][1]}"
