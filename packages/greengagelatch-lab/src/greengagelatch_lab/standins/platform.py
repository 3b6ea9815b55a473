"""Simulated key-value service and instance list of the platform, as a process.

In addition to the calls of ``docs/protocols.md`` it serves, for tests and experiments::

    POST /control/faults     fields of PlatformFaults, and of StoreFaults except hooks
    POST /control/instances  {"put": [instance], "remove": [id]}
    GET  /control/calls      {"calls": {kind: number}}
"""

from __future__ import annotations

import argparse
import asyncio
import base64
import binascii
from dataclasses import dataclass
from typing import Any

from aiohttp import web

from greengagelatch.clock import Clock, SystemClock
from greengagelatch.instances import Instance, InstanceKind, InstanceState
from greengagelatch.store import (
    ABSENT,
    Entry,
    Lease,
    StoreError,
    StoreErrorKind,
    WriteOutcome,
    WriteResult,
)

from .memory import MAX_VALUE, MemoryInstanceList, MemoryStore, RefusedWrite
from .serving import MAX_BODY, ControlError, read_json, serve, update_fields

__all__ = ("Platform", "PlatformFaults", "main")

#: ``Retry-After`` header of ``429`` and ``503`` responses, in seconds
RETRY_AFTER = "1"
#: maximum wait of one watch, in seconds
MAX_WAIT = 120.0


@dataclass(slots=True, kw_only=True)
class PlatformFaults:
    """Faults of the process, in addition to those of its store."""

    #: delay of each call before it takes effect, in milliseconds
    slow_ms: float = 0.0
    #: seconds by which the list of instances is stale
    list_lag_s: float = 0.0
    #: the list of instances is unavailable, the store is not
    list_outage: bool = False


PLATFORM_FAULTS = frozenset({"slow_ms", "list_lag_s", "list_outage"})
STORE_FAULTS = frozenset(
    {
        "outage",
        "lose_answers",
        "drop_writes",
        "lose_lease_answers",
        "refuse_calls",
        "rate_limit",
    }
)


class Platform:
    """HTTP front end of the in-process store and list of instances."""

    def __init__(self, *, clock: Clock) -> None:
        self.store = MemoryStore(clock=clock)
        self.instances = MemoryInstanceList(clock=clock)
        self.faults = PlatformFaults()
        self.store.faults.before_call = self._delay

    def build_app(self) -> web.Application:
        """Create the application that serves this platform."""
        app = web.Application(client_max_size=MAX_BODY)
        app.add_routes(
            [
                web.get("/kv", self._list),
                web.get("/kv/{key:.+}", self._get),
                web.post("/kv/{key:.+}/delete", self._delete),
                web.post("/kv/{key:.+}", self._swap),
                web.get("/watch/{key:.+}", self._watch),
                web.post("/leases", self._grant),
                web.post("/leases/{lease}/keep", self._keep),
                web.post("/leases/{lease}/revoke", self._revoke),
                web.get("/instances", self._fetch),
                web.post("/control/faults", self._set_faults),
                web.post("/control/instances", self._set_instances),
                web.get("/control/calls", self._count_calls),
            ]
        )
        return app

    async def _get(self, request: web.Request) -> web.Response:
        result = await self.store.get(request.match_info["key"])
        if result.is_err():
            return _refuse(request, result.err_value)
        if result.ok_value is None:
            return web.json_response({}, status=404)
        return web.json_response(_encode_entry(result.ok_value))

    async def _list(self, request: web.Request) -> web.Response:
        result = await self.store.list(request.query.get("prefix", ""))
        if result.is_err():
            return _refuse(request, result.err_value)
        entries = [_encode_entry(entry) for entry in result.ok_value]
        return web.json_response({"entries": entries})

    async def _swap(self, request: web.Request) -> web.Response:
        body = await read_json(request)
        try:
            value = base64.b64decode(body["value"], validate=True)
            expected = int(body["expected"])
        except (KeyError, TypeError, ValueError, binascii.Error) as error:
            raise web.HTTPBadRequest(text=repr(error)) from error
        if len(value) > MAX_VALUE:
            return web.json_response({}, status=413)
        key = request.match_info["key"]
        lease_id = body.get("lease") or ""
        result = await self.store.swap(key, value, expected, lease_id=lease_id)
        return _answer_write(request, result)

    async def _delete(self, request: web.Request) -> web.Response:
        body = await read_json(request)
        try:
            expected = int(body["expected"])
        except (KeyError, TypeError, ValueError) as error:
            raise web.HTTPBadRequest(text=repr(error)) from error
        result = await self.store.delete(request.match_info["key"], expected)
        return _answer_write(request, result)

    async def _watch(self, request: web.Request) -> web.Response:
        try:
            after = int(request.query.get("after", ABSENT))
            wait = min(float(request.query.get("wait", 0)), MAX_WAIT)
        except ValueError as error:
            raise web.HTTPBadRequest(text=str(error)) from error
        result = await self.store.watch(request.match_info["key"], after, wait)
        if result.is_err():
            return _refuse(request, result.err_value)
        if result.ok_value is None:
            return web.Response(status=204)
        return web.json_response(_encode_entry(result.ok_value))

    async def _grant(self, request: web.Request) -> web.Response:
        body = await read_json(request)
        try:
            ttl = float(body["ttl"])
        except (KeyError, TypeError, ValueError) as error:
            raise web.HTTPBadRequest(text=repr(error)) from error
        result = await self.store.grant_lease(ttl)
        if result.is_err():
            return _refuse(request, result.err_value)
        return web.json_response(_encode_lease(result.ok_value))

    async def _keep(self, request: web.Request) -> web.Response:
        result = await self.store.renew_lease(request.match_info["lease"])
        if result.is_err():
            return _refuse(request, result.err_value)
        return web.json_response(_encode_lease(result.ok_value))

    async def _revoke(self, request: web.Request) -> web.Response:
        result = await self.store.revoke_lease(request.match_info["lease"])
        return _answer_write(request, result)

    async def _fetch(self, request: web.Request) -> web.Response:
        result = await self.instances.fetch()
        if result.is_err():
            return _refuse(request, result.err_value)
        listing = result.ok_value
        instances = [_encode_instance(instance) for instance in listing.instances]
        return web.json_response({"as_of": listing.as_of, "instances": instances})

    async def _set_faults(self, request: web.Request) -> web.Response:
        body = await read_json(request)
        own = {name: body[name] for name in PLATFORM_FAULTS & body.keys()}
        rest = {name: body[name] for name in body if name not in own}
        try:
            update_fields(self.faults, PLATFORM_FAULTS, own)
            update_fields(self.store.faults, STORE_FAULTS, rest)
        except ControlError as error:
            raise web.HTTPBadRequest(text=str(error)) from error
        outage = self.store.faults.outage
        self.instances.lag = self.faults.list_lag_s
        self.instances.outage = self.faults.list_outage or outage
        if outage:
            self.store.interrupt_watches()
        return web.json_response({})

    async def _set_instances(self, request: web.Request) -> web.Response:
        body = await read_json(request)
        try:
            put = [_decode_instance(item) for item in body.get("put", ())]
        except (KeyError, TypeError, ValueError) as error:
            raise web.HTTPBadRequest(text=repr(error)) from error
        for instance in put:
            self.instances.put(instance)
        for instance_id in body.get("remove", ()):
            self.instances.remove(instance_id)
        return web.json_response({})

    async def _count_calls(self, request: web.Request) -> web.Response:
        calls = self.store.calls + self.instances.calls
        return web.json_response({"calls": calls})

    async def _delay(self, kind: str, key: str) -> None:
        if self.faults.slow_ms > 0:
            await asyncio.sleep(self.faults.slow_ms / 1000)


def _refuse(request: web.Request, error: StoreError) -> web.Response:
    if error.kind is StoreErrorKind.TIMEOUT:
        return _drop(request)
    if error.kind is StoreErrorKind.LEASE_GONE:
        return web.json_response({}, status=404)
    status = 429 if error.kind is StoreErrorKind.RATE_LIMITED else 503
    headers = {"Retry-After": RETRY_AFTER}
    return web.json_response({}, status=status, headers=headers)


def _answer_write(request: web.Request, result: WriteResult) -> web.Response:
    if isinstance(result, RefusedWrite):
        return _refuse(request, StoreError(result.kind, result.message))
    if result.outcome is WriteOutcome.APPLIED:
        return web.json_response({"revision": result.revision})
    if result.outcome is WriteOutcome.CONFLICT:
        return web.json_response({"revision": result.revision}, status=412)
    return _drop(request)


def _drop(request: web.Request) -> web.Response:
    """Abort the connection without an answer."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response()


def _encode_entry(entry: Entry) -> dict[str, Any]:
    value = base64.b64encode(entry.value).decode()
    return {"key": entry.key, "value": value, "revision": entry.revision}


def _encode_lease(lease: Lease) -> dict[str, Any]:
    return {"lease": lease.lease_id, "ttl": lease.ttl, "number": lease.number}


def _encode_instance(instance: Instance) -> dict[str, str]:
    return {
        "id": instance.instance_id,
        "kind": instance.kind.value,
        "data_centre": instance.data_centre,
        "address": instance.address,
        "state": instance.state.value,
        "service": instance.service,
    }


def _decode_instance(item: dict[str, str]) -> Instance:
    return Instance(
        instance_id=item["id"],
        kind=InstanceKind(item["kind"]),
        data_centre=item["data_centre"],
        address=item["address"],
        state=InstanceState(item.get("state", "live")),
        service=item.get("service", ""),
    )


def main() -> None:
    """Run the simulated platform services."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("--listen", default="127.0.0.1:0")
    options = parser.parse_args()
    serve(Platform(clock=SystemClock()).build_app(), options.listen)


if __name__ == "__main__":
    main()
