"""Tests of the HTTP client of the platform's instance list."""

from __future__ import annotations

import json

import pytest
from aiohttp import web
from result import Err, Ok

from greengagelatch.instances import InstanceKind, InstanceState
from greengagelatch.store import StoreErrorKind
from greengagelatch_entry.adapters.instances import HttpInstanceList
from greengagelatch_entry.metrics import Metrics

ROW = {
    "id": "t-1",
    "kind": "target",
    "data_centre": "caloocan-hall",
    "address": "127.0.0.1:9000",
    "state": "leaving",
    "service": "lathe-desk",
}


@pytest.fixture
async def serve():
    runners = []

    async def start(status: int, body: bytes) -> HttpInstanceList:
        async def answer(request: web.Request) -> web.Response:
            return web.Response(status=status, body=body)

        application = web.Application()
        application.router.add_get("/instances", answer)
        runner = web.AppRunner(application)
        await runner.setup()
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        runners.append(runner)
        host, port = runner.addresses[0]
        instances = HttpInstanceList(
            address=f"{host}:{port}",
            timeout=5,
            metrics=Metrics("127.0.0.1:9"),
            max_bytes=2000,
        )
        runners.append(instances)
        return instances

    yield start
    for runner in runners:
        if isinstance(runner, HttpInstanceList):
            await runner.close()
        else:
            await runner.cleanup()


async def test_invalid_rows_are_skipped(serve):
    """Guards against one invalid row that hides all changes of the list.

    The list contains a row without an address, one of an unknown kind, one that is no
    object, and a valid one.
    """
    rows = [{**ROW, "address": None}, {**ROW, "kind": "printer"}, 7, ROW]
    instances = await serve(200, json.dumps({"as_of": 4, "instances": rows}).encode())
    listing = (await instances.fetch()).unwrap()
    assert listing.as_of == 4
    assert [row.instance_id for row in listing.instances] == ["t-1"]
    assert listing.instances[0].kind is InstanceKind.TARGET
    assert listing.instances[0].state is InstanceState.LEAVING
    assert instances._metrics.value("instances.bad_rows") == 3


async def test_unchanged_listing_is_not_parsed_again(serve):
    body = json.dumps({"as_of": 4, "instances": [ROW]}).encode()
    instances = await serve(200, body)
    first = (await instances.fetch()).unwrap()
    assert (await instances.fetch()).unwrap() is first
    assert instances._metrics.value("instances.calls") == 2


@pytest.mark.parametrize(
    ("status", "body", "kind"),
    [
        (200, b"[" * 5000, StoreErrorKind.BAD_ANSWER),
        (200, b"{}", StoreErrorKind.BAD_ANSWER),
        (200, b"\xff", StoreErrorKind.BAD_ANSWER),
        (429, b"", StoreErrorKind.RATE_LIMITED),
        (503, b"", StoreErrorKind.UNREACHABLE),
    ],
)
async def test_bad_answers_are_errors(serve, status, body, kind):
    instances = await serve(status, body)
    match await instances.fetch():
        case Err(error):
            assert error.kind is kind
        case Ok(_):
            pytest.fail("a bad answer was taken for a listing")


async def test_unreachable_platform_is_an_error():
    instances = HttpInstanceList(
        address="127.0.0.1:1", timeout=5, metrics=Metrics("127.0.0.1:9")
    )
    error = (await instances.fetch()).unwrap_err()
    assert error.kind is StoreErrorKind.UNREACHABLE
    await instances.close()


async def test_changed_row_is_parsed_again():
    """Guards against a leaving target that is shown as live.

    One row of the list changes, the others stay, so rows must not be compared by id
    alone.
    """
    instances = HttpInstanceList(
        address="127.0.0.1:1", timeout=5, metrics=Metrics("127.0.0.1:9")
    )
    other = {**ROW, "id": "t-2"}
    for state in ("live", "leaving"):
        rows = [{**ROW, "state": state}, other]
        body = json.dumps({"as_of": 1, "instances": rows}).encode()
        listing = (await instances._parse(body)).unwrap()
        assert listing.instances[0].state is InstanceState(state)
        assert listing.instances[1].instance_id == "t-2"
