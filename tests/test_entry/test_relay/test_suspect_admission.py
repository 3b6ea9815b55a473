"""Tests of greengagelatch_entry.relay.suspect_admission on an instance."""

from __future__ import annotations

import asyncio

import pytest

from greengagelatch.relay.crash_reports import encode_reports
from greengagelatch.relay.incarnations import Incarnation
from greengagelatch.relay.quarantine import CrashReport
from greengagelatch.store import Entry
from greengagelatch.store.ranges import Changes, Scan
from greengagelatch_entry.relay import suspect_locks
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


async def test_undecided_request_stays_at_a_silent_target(world):
    """Guards against a request sent to a second target before it is decided.

    The silent target may be about to crash. Another attempt would take the turn of
    the request that has left, which would be refused after it had run.
    """
    await report_crashes(world, find_digest(PATH), "another")
    await world.extend_timeouts()
    for target in world.targets.values():
        target.silences = [0]
    first = asyncio.create_task(world.ask(PATH))
    await world.wait_for(lambda: list_arrivals(world))
    second = asyncio.create_task(world.ask(PATH))
    await world.wait_for_silence(first)
    assert len(list_arrivals(world)) == 1
    for target in world.targets.values():
        target.silences.clear()
        target.resume()
    assert [(await one).status for one in (first, second)] == [200, 200]


async def test_other_requests_run_beside_an_undecided_one(world, gate):
    """Guards against harmless requests that wait for a suspected one."""
    await report_crashes(world, find_digest(PATH), "another")
    paths = [PATH, *(f"/look/{number}" for number in range(ATTEMPTS))]
    asked = [asyncio.create_task(world.ask(path)) for path in paths]
    await world.wait_for(lambda: all(list_arrivals(world, path) for path in paths))
    gate.set()
    assert {(await one).status for one in asked} == {200}


async def lock_elsewhere(world) -> str:
    """Lock the suspected request for another instance; return the lock's key."""
    key = suspect_locks.PREFIX + find_digest(PATH)
    await world.wait_for_revision(world.store.put_bytes(key, b"entry-2"))
    return key


async def test_request_that_another_instance_sends_is_refused_as_not_run(world):
    """Guards against attempts that reach targets through several instances at once."""
    await report_crashes(world, find_digest(PATH), "another", count=2)
    key = await lock_elsewhere(world)
    reply = await world.ask(PATH, X_Deadline_Ms="900")
    assert reply.status == 503
    assert float(reply.headers["Retry-After"]) == 1
    assert not list_arrivals(world)
    world.store.remove(key)
    assert (await world.ask(PATH)).status == 200


async def test_lock_unknown_to_this_instance_is_respected(world):
    """Guards against locks of others that the watch has not delivered yet."""
    await report_crashes(world, find_digest(PATH), "another", count=2)
    key = await lock_elsewhere(world)
    locks = world.find("suspects")
    locks.apply_changes(Changes((), ((key, 1),), 1))
    assert await locks.acquire(find_digest(PATH)) is None
    await world.wait_for(lambda: locks.dump()["held"] == 0)


async def test_waiting_for_a_lock_costs_few_calls(world):
    """Guards against a store that is overloaded by attempts at one request.

    Instances that do not follow the store ask it each time whether the lock is held.
    """
    await report_crashes(world, find_digest(PATH), "another", count=2)
    key = await lock_elsewhere(world)
    locks = world.find("suspects")
    locks.apply_changes(Changes((), ((key, 1),), 1))
    before = dict(world.store.calls)
    for _ in range(5):
        assert await locks.acquire(find_digest(PATH)) is None
    calls = {
        path: count - before.get(path, 0) for path, count in world.store.calls.items()
    }
    assert calls["/v1/kv-lease"] == 1
    assert calls["/v1/kv-txn"] == 5
    assert locks.dump()["held"] == 0


async def test_lock_is_released_after_the_answer(world):
    """Guards against a harmless request that stays locked after it was answered."""
    await report_crashes(world, find_digest(PATH), "another", count=2)
    assert (await world.ask(PATH)).status == 200
    await world.wait_for(lambda: not world.store.find(suspect_locks.PREFIX))
    released = {"held": 0, "known": 0}
    await world.wait_for(lambda: world.find("suspects").dump() == released)


async def test_lock_is_released_when_the_caller_leaves(world, gate):
    """Guards against a request that is blocked by a caller who has left."""
    await report_crashes(world, find_digest(PATH), "another", count=2)
    asked = asyncio.create_task(world.ask(PATH))
    await world.wait_for(lambda: list_arrivals(world))
    assert world.store.find(suspect_locks.PREFIX)
    asked.cancel()
    await world.wait_for(lambda: not world.store.find(suspect_locks.PREFIX))


async def test_suspected_request_is_served_during_a_store_outage(world):
    """Guards against harmless requests refused because no lock can be written."""
    await report_crashes(world, find_digest(PATH), "another", count=2)
    world.store.fault = StoreFault.UNAVAILABLE
    assert (await world.ask(PATH)).status == 200


async def test_locks_are_bounded(world, monkeypatch):
    """Guards against a burst of writes when a data centre loses power."""
    monkeypatch.setattr(suspect_locks, "MAX_LOCKS", 2)
    locks = world.find("suspects")
    made = [await locks.acquire(f"d{number}") for number in range(3)]
    assert [bool(one.lease_id) for one in made] == [True, True, False]
    for one in made:
        locks.release(one)
    await world.wait_for(lambda: locks.dump()["held"] == 0)


@pytest.mark.looptime
async def test_received_locks_expire():
    """Guards against a request blocked at an instance that no longer follows the store.

    It does not receive the removal of a lock.
    """
    locks = suspect_locks.SuspectLocks(
        instance_id="entry-1",
        store=None,
        is_store_reachable=lambda: False,
        clock=LoopClock(),
        metrics=NullTelemetry(),
    )
    entry = Entry(suspect_locks.PREFIX + "aa", b"entry-2", 1)
    locks.apply_scan(Scan((entry,), 1))
    assert await locks.acquire("aa") is None
    await asyncio.sleep(suspect_locks.LOCK_TTL_SECONDS)
    assert await locks.acquire("aa") == suspect_locks.Lock("aa")
