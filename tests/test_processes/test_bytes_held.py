"""Tests of the memory of a process whose callers and targets send many bytes."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass, field
from pathlib import Path

import aiohttp
import pytest

from greengagelatch_lab.platform_standins.deployment import (
    API_KEY,
    HOST,
    create_configuration,
)
from greengagelatch_lab.platform_standins.fleet import PlatformFleet
from greengagelatch_lab.platform_standins.targets import EndlessPart, SimulatedTarget

pytestmark = [pytest.mark.processes, pytest.mark.timeout(180)]

#: timeout of every wait in seconds
WAIT_SECONDS = 60
MEGABYTE = 1_048_576
#: memory of an instance, and the share of it that must suffice
MEMORY_MB = 300
MAX_SHARE = 0.75
LARGE_BYTES = 4_000_000
MAX_BODY_BYTES = 4 * MEGABYTE
#: share of other callers' requests that must be served
SERVED_SHARE = 0.97
#: statuses of requests that other callers send beside endless responses
OK = 200


@dataclass(slots=True)
class BulkTarget(SimulatedTarget):
    """A target with large answers that may stop reading requests."""

    answer_bytes: int = 0
    #: set while it reads
    reading: asyncio.Event = field(default_factory=asyncio.Event)

    async def _serve(self, reader, writer) -> None:
        writer.transport.pause_reading()
        await self.reading.wait()
        writer.transport.resume_reading()
        await SimulatedTarget._serve(self, reader, writer)

    async def _answer_plain(self, request, headers, writer) -> bool:
        if not self.answer_bytes:
            return await SimulatedTarget._answer_plain(self, request, headers, writer)
        lines = [f"{name}: {value}" for name, value in headers.items()]
        lines = ["HTTP/1.1 200 Said", *lines, f"Content-Length: {self.answer_bytes}"]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        writer.write(b"a" * self.answer_bytes)
        await writer.drain()
        return True


@dataclass(slots=True)
class BulkFleet(PlatformFleet):
    """One instance with a stated memory, and targets of a service of their own."""

    bulk: list[BulkTarget] = field(default_factory=list)

    async def add_more_targets(self) -> None:
        configuration = create_configuration(timeout_ms=WAIT_SECONDS * 1000)
        for route in configuration["routes"]:
            if route["name"] == "book":
                route["service"] = "bulk"
        configuration["services"].append({"name": "bulk", "max-conns": 1000})
        configuration["limits"]["max-body-bytes"] = MAX_BODY_BYTES
        configuration["limits"]["header-timeout-ms"] = WAIT_SECONDS * 1000
        self.store.put("op/config", configuration)
        for number in range(2):
            target = BulkTarget(f"bulk-{number}", "bulk")
            target.reading.set()
            await target.start()
            target.register(self.store)
            self.targets.append(target)
            self.bulk.append(target)

    def create_instance(self, name, seeds):
        instance = PlatformFleet.create_instance(self, name, seeds)
        settings = json.loads(instance.settings.read_text())
        settings["limits"] = {"memory-mb": MEMORY_MB}
        instance.settings.write_text(json.dumps(settings))
        return instance

    def read_peak_bytes(self) -> int:
        """Return the highest resident memory that the instance has had."""
        status = Path(f"/proc/{self.instances[0].process.pid}/status").read_text()
        (line,) = (one for one in status.splitlines() if one.startswith("VmHWM:"))
        return int(line.split()[1]) * 1024


@pytest.fixture
async def fleet(tmp_path):
    created = BulkFleet(tmp_path, count=1)
    try:
        await created.start()
        yield created
    finally:
        for target in created.bulk:
            target.reading.set()
        await created.stop()


@pytest.fixture
async def session():
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as created:
        yield created


async def ask(fleet, session, request_id: str, path: str, body: bytes = b"", **lines):
    """Return status, size and headers of an answer; status 0 if it was cut."""
    headers = {
        "Host": HOST,
        "X-Attempt-Id": request_id,
        "X-Deadline-Ms": str(WAIT_SECONDS * 1000),
        "Authorization": f"Bearer {API_KEY}",
        **lines,
    }
    url = f"http://{fleet.instances[0].front}{path}"
    method = "GET" if path.startswith("/look") else "POST"
    size = 0
    try:
        async with session.request(method, url, headers=headers, data=body) as answer:
            async for chunk in answer.content.iter_any():
                size += len(chunk)
            return answer.status, size, dict(answer.headers)
    except aiohttp.ClientError:
        return 0, size, {}


async def serve_others(fleet, session, busy: asyncio.Future) -> list[int]:
    """Return the statuses of small requests and streams that are sent meanwhile."""
    statuses = []
    stream = {"X-Model": "m", "X-Token-Counts": "100,20", "X-Prefix-Hash": "aa:60"}
    while not busy.done() or len(statuses) < 20:
        number = len(statuses)
        status, *_ = await ask(fleet, session, f"l-{number}", f"/look/{number}")
        statuses.append(status)
        status, *_ = await ask(
            fleet, session, f"s-{number}", "/scan/1", b"prompt", **stream
        )
        statuses.append(status)
    return statuses


async def run_beside_others(fleet, session, requests: list) -> list:
    """Return what the requests result in; check memory and other callers."""
    busy = asyncio.gather(*requests)
    async with asyncio.timeout(WAIT_SECONDS):
        others = await serve_others(fleet, session, busy)
        results = await busy
    served = others.count(OK) / len(others)
    peak = fleet.read_peak_bytes()
    print(
        f"peak {peak / MEGABYTE:.0f} MiB, {served:.3f} of {len(others)} others served"
    )
    assert peak <= MEMORY_MB * MEGABYTE * MAX_SHARE
    assert served >= SERVED_SHARE
    return results


async def test_large_bodies_to_targets_that_do_not_read_fit_into_memory(fleet, session):
    """Guards against request bodies whose sum takes up the memory."""
    for target in fleet.bulk:
        target.reading.clear()
    body = b"x" * LARGE_BYTES
    requests = [
        ask(fleet, session, f"b-{one}", f"/book/{one}", body) for one in range(80)
    ]
    asyncio.get_running_loop().call_later(
        5.0, lambda: [target.reading.set() for target in fleet.bulk]
    )
    results = await run_beside_others(fleet, session, requests)
    runs = fleet.bulk[0].runs + fleet.bulk[1].runs
    for number, (status, _, headers) in enumerate(results):
        if status == OK:
            continue
        assert status == 503
        assert float(headers["Retry-After"]) > 0
        assert not runs[f"b-{number}"]
    assert max(runs.values()) == 1


async def test_many_endless_bodies_fit_into_memory(fleet, session):
    """Guards against bodies each of which is bounded while their sum is not."""
    parts = (EndlessPart.BODY, EndlessPart.CHUNKS)
    for target, part in zip(fleet.bulk, parts, strict=True):
        target.endless = part
    requests = [ask(fleet, session, f"b-{one}", f"/book/{one}") for one in range(40)]
    results = await run_beside_others(fleet, session, requests)
    # one that has begun is cut, so that it can't be taken for complete
    assert {status for status, *_ in results} <= {0, 502}


async def test_many_large_answers_fit_into_memory_and_are_whole(fleet, session):
    """Guards against sound answers whose sum takes up the memory."""
    for target in fleet.bulk:
        target.answer_bytes = LARGE_BYTES
    requests = [ask(fleet, session, f"b-{one}", f"/book/{one}") for one in range(80)]
    results = await run_beside_others(fleet, session, requests)
    assert {(status, size) for status, size, _ in results} == {(OK, LARGE_BYTES)}
