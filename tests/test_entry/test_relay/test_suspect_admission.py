"""Tests of greengagelatch_entry.relay.suspect_admission on an instance."""

from __future__ import annotations

import asyncio

import pytest

from greengagelatch.relay.crash_reports import encode_reports
from greengagelatch.relay.incarnations import Incarnation
from greengagelatch.relay.quarantine import CrashReport
from greengagelatch.store import Entry
from greengagelatch.store.ranges import Changes, Scan
from greengagelatch_entry.relay import suspect_claims
from greengagelatch_entry.relay.crash_report_replicator import PREFIX
from greengagelatch_lab.platform_standins.store import StoreFault
from greengagelatch_lab.stage_load.instances import NullTelemetry
from greengagelatch_lab.stage_load.virtual_time import LoopClock

from .conftest import find_digest

PATH = "/look/suspected"
#: number of attempts sent at once
ATTEMPTS = 4


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


async def claim_elsewhere(world) -> str:
    """Claim the suspected request for another instance; return the claim's key."""
    key = suspect_claims.PREFIX + find_digest(PATH)
    await world.wait_for_revision(world.store.put_bytes(key, b"entry-2"))
    return key


async def test_request_that_another_instance_sends_is_refused_as_not_run(world):
    """Guards against attempts that reach targets through several instances at once."""
    await report_crashes(world, find_digest(PATH), "another", count=2)
    key = await claim_elsewhere(world)
    reply = await world.ask(PATH, X_Deadline_Ms="900")
    assert reply.status == 503
    assert float(reply.headers["Retry-After"]) == 1
    assert not list_arrivals(world)
    world.store.remove(key)
    assert (await world.ask(PATH)).status == 200


async def test_claim_unknown_to_this_instance_is_respected(world):
    """Guards against claims of others that the watch has not delivered yet."""
    await report_crashes(world, find_digest(PATH), "another", count=2)
    key = await claim_elsewhere(world)
    claims = world.find("suspects")
    claims.apply_changes(Changes((), ((key, 1),), 1))
    assert await claims.acquire(find_digest(PATH)) is None
    await world.wait_for(lambda: claims.dump()["claims"] == 0)


async def test_claim_is_released_after_the_answer(world):
    """Guards against a harmless request that stays claimed after it was answered."""
    await report_crashes(world, find_digest(PATH), "another", count=2)
    assert (await world.ask(PATH)).status == 200
    await world.wait_for(lambda: not world.store.find(suspect_claims.PREFIX))
    assert world.find("suspects").dump() == {"claims": 0, "claimed": 0}


async def test_claim_is_released_when_the_caller_leaves(world, gate):
    """Guards against a request that is blocked by a caller who has left."""
    await report_crashes(world, find_digest(PATH), "another", count=2)
    asked = asyncio.create_task(world.ask(PATH))
    await world.wait_for(lambda: list_arrivals(world))
    assert world.store.find(suspect_claims.PREFIX)
    asked.cancel()
    await world.wait_for(lambda: not world.store.find(suspect_claims.PREFIX))


async def test_suspected_request_is_served_during_a_store_outage(world):
    """Guards against harmless requests refused because no claim can be written."""
    await report_crashes(world, find_digest(PATH), "another", count=2)
    world.store.fault = StoreFault.UNAVAILABLE
    assert (await world.ask(PATH)).status == 200


async def test_claims_are_bounded(world, monkeypatch):
    """Guards against a burst of writes when a data centre loses power."""
    monkeypatch.setattr(suspect_claims, "MAX_CLAIMS", 2)
    claims = world.find("suspects")
    made = [await claims.acquire(f"d{number}") for number in range(3)]
    assert [bool(one.lease_id) for one in made] == [True, True, False]
    for one in made:
        claims.release(one)
    await world.wait_for(lambda: claims.dump()["claims"] == 0)


@pytest.mark.looptime
async def test_received_claims_expire():
    """Guards against a request blocked at an instance that no longer follows the store.

    It does not receive the removal of a claim.
    """
    claims = suspect_claims.SuspectClaims(
        instance_id="entry-1",
        store=None,
        is_store_reachable=lambda: False,
        clock=LoopClock(),
        metrics=NullTelemetry(),
    )
    entry = Entry(suspect_claims.PREFIX + "aa", b"entry-2", 1)
    claims.apply_scan(Scan((entry,), 1))
    assert await claims.acquire("aa") is None
    await asyncio.sleep(suspect_claims.CLAIM_TTL_SECONDS)
    assert await claims.acquire("aa") == suspect_claims.Claim("aa")
