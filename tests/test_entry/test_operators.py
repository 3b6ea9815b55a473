"""Tests of the operators' HTTP server."""

from __future__ import annotations

import asyncio
import json
import os
import signal

import aiohttp
import eliot
import pytest

from greengagelatch.settings import parse
from greengagelatch_entry.adapters import operators
from greengagelatch_entry.adapters.operators import OperatorsServer
from greengagelatch_entry.adapters.operators_status import (
    InstanceStatus,
    MemberStatus,
    TargetStatus,
)
from greengagelatch_entry.adapters.state_dump import StateDump
from greengagelatch_entry.controllers import Controller
from greengagelatch_entry.metrics import Metrics

SETTINGS = """
[instance]
id = entry-1
data_centre = fukuoka-a
[platform]
store = 127.0.0.1:1
instances = 127.0.0.1:1
"""

STATUS = InstanceStatus(
    instance_id="entry-1",
    data_centre="fukuoka-a",
    generation=7,
    ready=True,
    draining=False,
    members=(
        MemberStatus(
            instance_id="entry-2", data_centre="kumamoto", state="alive", generation=6
        ),
    ),
    targets=(
        TargetStatus(
            target_id="llm-1",
            service="greengage-llm",
            data_centre="fukuoka-a",
            state="live",
        ),
    ),
)


class Healthy(Controller):
    name = "healthy"

    def dump(self):
        return {"held": [1, 2]}


class Unencodable(Controller):
    name = "unencodable"

    def dump(self):
        return {("a", "b"): 1}


class Broken(Controller):
    name = "broken"

    def dump(self):
        raise RuntimeError("half-built state")


class Harness:
    """An operators' server with recorded calls."""

    def __init__(self) -> None:
        self.ready = True
        self.drains = 0
        self.leaving: list[str] = []
        metrics = Metrics("127.0.0.1:8125")
        parts = (Broken(), Unencodable(), Healthy())
        controllers = {part.name: part for part in parts}
        self.server = OperatorsServer(
            listen="127.0.0.1:0",
            state_dump=StateDump(
                settings=parse(SETTINGS).unwrap(),
                metrics=metrics,
                controllers=lambda: controllers,
            ),
            status=lambda: STATUS,
            ready=lambda: self.ready,
            drain=self.drain,
            mark_leaving=self.leaving.append,
            metrics=metrics,
            routes=(self.install,),
        )

    def drain(self) -> None:
        self.drains += 1

    def install(self, application) -> None:
        application.router.add_post("/added", self.answer_added)

    async def answer_added(self, request):
        return aiohttp.web.json_response({"got": len(await request.read())})

    async def call(self, method, path, **options):
        url = f"http://127.0.0.1:{self.server.port}{path}"
        async with (
            aiohttp.ClientSession() as session,
            session.request(method, url, **options) as response,
        ):
            return response.status, await response.json()


@pytest.fixture
async def harness():
    running = Harness()
    await running.server.start()
    yield running
    await running.server.stop()


async def test_health_does_not_depend_on_readiness(harness):
    assert await harness.call("GET", "/healthz") == (200, {"healthy": True})
    assert await harness.call("GET", "/readyz") == (200, {"ready": True})
    harness.ready = False
    assert await harness.call("GET", "/healthz") == (200, {"healthy": True})
    assert await harness.call("GET", "/readyz") == (503, {"ready": False})


async def test_dump_survives_a_controller_that_fails(harness):
    """Guards against missing dumps of a faulty instance.

    A controller can't dump its state; the error must stay in its own section.
    """
    status, body = await harness.call("GET", "/dump")
    assert status == 200
    assert body["controllers"]["healthy"] == {"held": [1, 2]}
    assert "half-built state" in body["controllers"]["broken"]["dump_failed"]
    assert "TypeError" in body["controllers"]["unencodable"]["dump_failed"]
    assert body["settings"]["instance.id"] == "entry-1"
    assert body["memory_bytes"] > 0
    assert body["version"]
    assert {"metrics", "loop_lag_seconds", "cpu_seconds"} <= set(body)


async def test_dump_of_one_controller(harness):
    status, body = await harness.call("GET", "/dump?controller=healthy")
    assert (status, body) == (200, {"controllers": {"healthy": {"held": [1, 2]}}})
    status, body = await harness.call("GET", "/dump?controller=heathly")
    assert (status, body["field"], body["value"]) == (404, "controller", "heathly")
    assert "healthy" in body["message"]


async def test_status_shows_members_and_targets(harness):
    status, body = await harness.call("GET", "/status")
    assert status == 200
    assert body["generation"] == 7
    assert body["members"]["entry-2"]["generation"] == 6
    assert body["targets"]["greengage-llm"]["llm-1"]["state"] == "live"


async def test_drain_of_the_instance_and_of_a_target(harness):
    assert (await harness.call("POST", "/drain"))[0] == 202
    assert harness.drains == 1
    status, body = await harness.call("POST", "/drain", json={"target": "llm-1"})
    assert (status, body) == (202, {"target": "llm-1", "state": "leaving"})
    assert (harness.drains, harness.leaving) == (1, ["llm-1"])


@pytest.mark.parametrize(
    ("body", "status", "field"),
    [
        ('{"targets": "llm-1"}', 400, "targets"),
        ('{"target": ""}', 400, "target"),
        ('{"target": 3}', 400, "target"),
        ('{"target": "llm-9"}', 404, "target"),
        ('["llm-1"]', 400, ""),
        ("{", 400, ""),
    ],
)
async def test_misspelt_drain_stops_nothing(harness, body, status, field):
    """Guards against an instance that drains instead of a target.

    If an operator misspells the field and unknown fields are ignored, the body looks
    empty, which means the instance itself.
    """
    got, answer = await harness.call("POST", "/drain", data=body)
    assert (got, answer["field"]) == (status, field)
    assert (harness.drains, harness.leaving) == (0, [])


async def test_body_limits_hold_for_added_routes(harness, monkeypatch):
    """Guards against stalled uploads that block a handler indefinitely.

    A client announces a body, sends a part of it and stalls.
    """
    assert await harness.call("POST", "/added", data=b"x" * 9) == (200, {"got": 9})
    large = b"x" * (operators.MAX_BODY_BYTES + 1)
    assert (await harness.call("POST", "/added", data=large))[0] == 413
    monkeypatch.setattr(operators, "BODY_TIMEOUT", 0.05)
    reader, writer = await asyncio.open_connection("127.0.0.1", harness.server.port)
    writer.write(b"POST /added HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nxxx")
    line = await asyncio.wait_for(reader.readline(), 10)
    writer.close()
    assert b" 408 " in line


async def test_signal_writes_the_dump_to_the_log(harness):
    written = []
    complete = asyncio.Event()

    def collect(line):
        written.append(line)
        if line.get("section") == "healthy":
            complete.set()

    eliot.add_destinations(collect)
    try:
        os.kill(os.getpid(), signal.SIGUSR1)
        await asyncio.wait_for(complete.wait(), 10)
    finally:
        eliot.remove_destination(collect)
    parts = [line for line in written if line.get("section") == "process"]
    process = json.loads("".join(part["text"] for part in parts))
    assert process["settings"]["instance.id"] == "entry-1"
