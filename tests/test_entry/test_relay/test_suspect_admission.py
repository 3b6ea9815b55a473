"""Tests of greengagelatch_entry.relay.suspect_admission on an instance."""

from __future__ import annotations

import asyncio

import pytest

from greengagelatch.relay.crash_reports import encode_reports
from greengagelatch.relay.digests import compute_digest
from greengagelatch.relay.incarnations import Incarnation
from greengagelatch.relay.quarantine import CrashReport
from greengagelatch.relay.requests import OpaqueRequest
from greengagelatch_entry.relay.crash_report_replicator import PREFIX
from greengagelatch_lab.platform_standins.deployment import HOST

PATH = "/look/suspected"
#: number of attempts sent at once
ATTEMPTS = 4


def find_digest(path: str) -> str:
    request = OpaqueRequest(
        request_id="",
        method="GET",
        host=HOST,
        target=path,
        headers=(),
        body=b"",
        received=0.0,
        timeout=1.0,
    )
    return compute_digest(request, "north")


async def report_crashes(world, *digests: str, count: int = 3) -> None:
    """Report the crashes of targets that ran some requests."""
    reports = tuple(
        CrashReport(Incarnation(f"t{number}"), "desk", digests)
        for number in range(count)
    )
    revision = world.store.put_bytes(PREFIX + "entry-2/1", encode_reports(reports))
    await world.wait_for_revision(revision)


def list_arrivals(world, path: str = PATH) -> list[str]:
    return [
        target.target_id
        for target in world.targets.values()
        for one in target.received
        if one.target == path
    ]


@pytest.fixture
async def gate(world):
    """Holds back the answers of all targets until it is set."""
    created = asyncio.Event()
    for target in world.targets.values():
        target.gate = created
    yield created
    created.set()


async def test_attempts_at_an_undecided_request_run_one_at_a_time(world, gate):
    """Guards against several targets crashed at once before the next crash is known."""
    await report_crashes(world, find_digest(PATH), "another")
    asked = [asyncio.create_task(world.ask(PATH)) for _ in range(ATTEMPTS)]
    await world.wait_for(lambda: list_arrivals(world))
    await asyncio.sleep(0.2)
    assert len(list_arrivals(world)) == 1
    gate.set()
    # the answer shows that it is harmless
    assert {(await one).status for one in asked} == {200}


async def test_refused_attempt_at_an_undecided_request_has_not_run(world, gate):
    """Guards against attempts that wait for another one until their deadline."""
    await report_crashes(world, find_digest(PATH), "another")
    first = asyncio.create_task(world.ask(PATH))
    await world.wait_for(lambda: list_arrivals(world))
    reply = await world.ask(PATH, X_Deadline_Ms="400")
    assert reply.status == 503
    assert 0 < float(reply.headers["Retry-After"]) <= 1
    assert len(list_arrivals(world)) == 1
    gate.set()
    assert (await first).status == 200


async def test_other_requests_run_beside_an_undecided_one(world, gate):
    """Guards against harmless requests that wait for a suspected one."""
    await report_crashes(world, find_digest(PATH), "another")
    paths = [PATH, *(f"/look/{number}" for number in range(ATTEMPTS))]
    asked = [asyncio.create_task(world.ask(path)) for path in paths]
    await world.wait_for(lambda: all(list_arrivals(world, path) for path in paths))
    gate.set()
    assert {(await one).status for one in asked} == {200}
