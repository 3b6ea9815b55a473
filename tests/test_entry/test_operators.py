"""The operators' HTTP server."""

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


class Bench:
    """An operators' server with recorded calls."""

    def __init__(self) -> None:
        self.ready = True
        self.drains = 0
        self.left: list[str] = []
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
            mark_leaving=self.left.append,
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
async def bench():
    running = Bench()
    await running.server.start()
    yield running
    await running.server.stop()


async def test_health_stays_while_readiness_goes(bench):
    assert await bench.call("GET", "/healthz") == (200, {"healthy": True})
    assert await bench.call("GET", "/readyz") == (200, {"ready": True})
    bench.ready = False
    assert await bench.call("GET", "/healthz") == (200, {"healthy": True})
    assert await bench.call("GET", "/readyz") == (503, {"ready": False})


async def test_dump_survives_a_controller_that_fails(bench):
    """Symptom: no dump can be had just when an instance misbehaves.

    A controller is in a state that its own dump can't show; its error fails the
    whole answer. Cause: one failure was not kept to its own section.
    """
    status, body = await bench.call("GET", "/dump")
    assert status == 200
    assert body["controllers"]["healthy"] == {"held": [1, 2]}
    assert "half-built state" in body["controllers"]["broken"]["dump_failed"]
    assert "TypeError" in body["controllers"]["unencodable"]["dump_failed"]
    assert body["settings"]["instance.id"] == "entry-1"
    assert body["memory_bytes"] > 0
    assert body["version"]
    assert {"metrics", "loop_lag_seconds", "cpu_seconds"} <= set(body)


async def test_dump_of_one_controller(bench):
    status, body = await bench.call("GET", "/dump?controller=healthy")
    assert (status, body) == (200, {"controllers": {"healthy": {"held": [1, 2]}}})
    status, body = await bench.call("GET", "/dump?controller=heathly")
    assert (status, body["field"], body["value"]) == (404, "controller", "heathly")
    assert "healthy" in body["message"]


async def test_status_shows_members_and_targets(bench):
    status, body = await bench.call("GET", "/status")
    assert status == 200
    assert body["generation"] == 7
    assert body["members"]["entry-2"]["generation"] == 6
    assert body["targets"]["greengage-llm"]["llm-1"]["state"] == "live"


async def test_drain_of_the_instance_and_of_a_target(bench):
    assert (await bench.call("POST", "/drain"))[0] == 202
    assert bench.drains == 1
    status, body = await bench.call("POST", "/drain", json={"target": "llm-1"})
    assert (status, body) == (202, {"target": "llm-1", "state": "leaving"})
    assert (bench.drains, bench.left) == (1, ["llm-1"])


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
async def test_misspelt_drain_stops_nothing(bench, body, status, field):
    """Symptom: an entry instance stops although a target was to be drained.

    An operator misspells the field; the server ignores it and sees an empty order,
    which means the instance itself. Cause: unknown fields were not refused.
    """
    got, answer = await bench.call("POST", "/drain", data=body)
    assert (got, answer["field"]) == (status, field)
    assert (bench.drains, bench.left) == (0, [])


async def test_body_limits_hold_for_added_routes(bench, monkeypatch):
    """Symptom: a stalled upload holds a handler of the operators' server for good.

    A sender announces a body, sends a part and stays silent. Cause: reading a body
    had neither a size limit nor a time-out.
    """
    assert await bench.call("POST", "/added", data=b"x" * 9) == (200, {"got": 9})
    large = b"x" * (operators.MAX_BODY_BYTES + 1)
    assert (await bench.call("POST", "/added", data=large))[0] == 413
    monkeypatch.setattr(operators, "BODY_TIMEOUT", 0.05)
    reader, writer = await asyncio.open_connection("127.0.0.1", bench.server.port)
    writer.write(b"POST /added HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nxxx")
    line = await asyncio.wait_for(reader.readline(), 10)
    writer.close()
    assert b" 408 " in line


async def test_signal_writes_the_dump_to_the_log(bench):
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
