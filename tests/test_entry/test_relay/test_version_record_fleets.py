"""Tests of the record of versions over whole fleets, in virtual time."""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import replace
from types import SimpleNamespace

import pytest

from greengagelatch.relay.record_holders import MAX_PERIODS, PERIOD_SECONDS
from greengagelatch.relay.requests import RefusedError
from greengagelatch.relay.stream_versions import MEMORY_SECONDS
from greengagelatch.relay.targets import TargetTable
from greengagelatch.relay.version_records import RETIRED_SECONDS
from greengagelatch.store import Entry, WriteOutcome, WriteResult
from greengagelatch.store.ranges import Changes
from greengagelatch.verdict import Verdict
from greengagelatch_entry.relay.version_history import CHECK_SECONDS, KEY, YOUNG_SECONDS
from greengagelatch_lab.stage_load.virtual_time import LoopClock, run_in_virtual_time

from .test_stream_version_fleets import SERVICE, Fleet, SharedStore

#: seconds between two streams
STREAM_SECONDS = 0.01
#: seconds after which a slow store takes a write
SLOW_SECONDS = 3.0
#: seconds for which a version is listed that begins streams unless the store is slow
LISTED_LONG = 2.0


class SlowStore(SharedStore):
    """A store that takes writes late."""

    async def swap(self, key, value, expected, *, lease_id="") -> WriteResult:
        await asyncio.sleep(SLOW_SECONDS)
        return await super().swap(key, value, expected)


class LossyStore(SharedStore):
    """A store of which each second response is lost, with or without the write."""

    async def swap(self, key, value, expected, *, lease_id="") -> WriteResult:
        number = self.outcomes.total()
        if number % 4 == 1:
            self.outcomes[WriteOutcome.UNKNOWN] += 1
            return WriteResult(WriteOutcome.UNKNOWN, 0)
        written = await super().swap(key, value, expected)
        if number % 4 == 3:
            return WriteResult(WriteOutcome.UNKNOWN, 0)
        return written


async def begin_streams(fleet: Fleet, seconds: float, only: set[str] | None) -> None:
    """Begin streams at the targets at which the instances let them begin.

    :param only: instances that ask the record; ``None``: all
    """
    for _ in range(round(seconds / STREAM_SECONDS)):
        number = len(fleet.streams)
        name = fleet.random.choice(sorted(fleet.exchanges))
        excluded = frozenset()
        if only is None or name in only:
            excluded = fleet.store.histories[name].list_unrecorded(SERVICE)
        listed = fleet.table.list_service(SERVICE)
        allowed = [one for one in listed if one.incarnation not in excluded]
        if allowed:
            target = fleet.random.choice(allowed)
            await fleet.exchanges[name].record_send(f"a-{number}", target)
            fleet.streams[f"a-{number}"] = (target.software_version, name)
        await asyncio.sleep(STREAM_SECONDS)


async def create_fleet(count: int, store: SharedStore) -> Fleet:
    """Create a fleet that has recorded the one version that serves."""
    fleet = Fleet(count)
    fleet.end_version("2")
    await fleet.settle(YOUNG_SECONDS + 1.0)
    store.value, store.revision = fleet.store.value, fleet.store.revision
    store.histories = fleet.store.histories
    fleet.store = store
    for history in store.histories.values():
        history._store = history._read._store = store
    return fleet


async def release_and_restart(fleet: Fleet, seconds: float, only=None):
    """List a version for some seconds, kill all instances, and take streams up."""
    settling = asyncio.create_task(fleet.settle(seconds + 2 * CHECK_SECONDS))
    begun = asyncio.create_task(begin_streams(fleet, seconds, only))
    fleet.targets.append(fleet.add_target(9, "2"))
    await begun
    fleet.end_version("2")
    await asyncio.sleep(0.1)
    settling.cancel()
    fleet.restart_all()
    return await fleet.take_up(sorted(fleet.exchanges))


@pytest.mark.parametrize("count", [3, 9, 89, 300])
@pytest.mark.parametrize("seconds", [0.3, LISTED_LONG])
@pytest.mark.parametrize("create_store", [SharedStore, SlowStore, LossyStore])
def test_no_stream_of_a_short_lived_version_is_joined(count, seconds, create_store):
    """Guards against streams of a version that left before it was recorded."""

    async def run():
        fleet = await create_fleet(count, create_store())
        found = await release_and_restart(fleet, seconds)
        return found, Counter(version for version, _ in fleet.streams.values())

    (_, _, wrong), begun = run_in_virtual_time(run())
    assert wrong == 0
    assert begun["1"] > 0
    if create_store is SlowStore:
        assert begun["2"] == 0
    elif seconds == LISTED_LONG:
        assert begun["2"] > 0


@pytest.mark.parametrize("count", [3, 9])
def test_record_of_one_instance_serves_those_of_an_earlier_release(count):
    """Guards against joined streams while a release of the instances is under way.

    Only one of them writes the record; the others let streams begin anywhere.
    """

    async def run():
        fleet = await create_fleet(count, SharedStore())
        for name in sorted(fleet.store.histories)[1:]:
            fleet.store.histories[name]._update = wait_for_nothing
        # of the moment before the write only this release is sure
        fleet.targets.append(fleet.add_target(9, "2"))
        await fleet.settle(count * 0.5 + 1.0)
        return await release_and_restart(fleet, 1.0, set())

    _, _, wrong = run_in_virtual_time(run())
    assert wrong == 0


async def wait_for_nothing() -> None:
    """Stand in for the update of a record that an earlier release doesn't know."""


@pytest.mark.parametrize("count", [3, 9, 89, 300])
def test_new_version_begins_streams_at_all_instances(count):
    """Guards against a version that is recorded and yet gets no streams."""

    async def run():
        fleet = await create_fleet(count, SharedStore())
        fleet.add_target(9, "2")
        await fleet.settle(2.0)
        return [one.list_unrecorded(SERVICE) for one in fleet.store.histories.values()]

    assert run_in_virtual_time(run()) == [frozenset()] * count


class LateStore(SharedStore):
    """A store that executes some writes seconds after they were given up."""

    def __init__(self) -> None:
        super().__init__()
        self.is_late = False
        self.landed = asyncio.Event()
        self.sent = asyncio.Event()

    async def swap(self, key, value, expected, *, lease_id="") -> WriteResult:
        if not self.is_late:
            return await super().swap(key, value, expected)
        asyncio.get_running_loop().call_later(SLOW_SECONDS, self._land, value, expected)
        self.sent.set()
        return WriteResult(WriteOutcome.UNKNOWN, 0)

    def _land(self, value: bytes, expected: int) -> None:
        if expected != self.revision:
            return
        self.value, self.revision = value, self.revision + 1
        self.landed.set()


@pytest.mark.parametrize("seconds", [0.0, RETIRED_SECONDS])
def test_late_write_drops_no_version_that_is_listed_again(seconds):
    """Guards against a write that was given up, and drops a version seconds later.

    Meanwhile the version is listed again and begins streams, as the record that all
    have read still holds it.
    """

    async def run():
        fleet = await create_fleet(3, LateStore())
        fleet.add_target(9, "2")
        await fleet.settle(2.0)
        fleet.end_version("1")
        await fleet.settle(MEMORY_SECONDS + seconds - 3.0)
        fleet.store.is_late = True
        settling = asyncio.create_task(fleet.settle(2 * MEMORY_SECONDS))
        await fleet.store.sent.wait()
        back = fleet.add_target(8, "1")
        await begin_streams(fleet, 1.0, None)
        fleet.table.remove(back.incarnation, 0)
        await fleet.store.landed.wait()
        settling.cancel()
        fleet.restart_all()
        return await fleet.take_up(sorted(fleet.exchanges))

    _, _, wrong = run_in_virtual_time(run())
    assert wrong == 0


def cut_off(fleet: Fleet, name: str) -> None:
    """Let an instance hear nothing more of the store: neither targets nor record."""
    history = fleet.store.histories.pop(name)
    unreachable = SharedStore()
    unreachable.is_up = False
    history._read._store = unreachable
    table = TargetTable()
    for target in fleet.table.list_all():
        table.put(target)
    cut_at = LoopClock().now()
    history._target_table = fleet.exchanges[name]._target_table = table
    history._find_confirmed_at = lambda: cut_at


def select_streams(fleet: Fleet, version: str) -> None:
    """Keep the streams that a version began."""
    fleet.streams = {
        request_id: row
        for request_id, row in fleet.streams.items()
        if row[0] == version
    }
    assert fleet.streams


@pytest.mark.parametrize("count", [3, 9, 89])
def test_lone_version_is_not_believed_by_an_instance_whose_news_are_late(count):
    """Guards against streams of a new version that are taken up where it is unknown.

    The instance has not heard of the version for less than two seconds. Those that
    are to remember the streams know them; in a small fleet it is one of them.
    """

    async def run():
        fleet = await create_fleet(count, SharedStore())
        cut_off(fleet, "entry-1")
        fleet.add_target(9, "2")
        await fleet.settle(1.5)
        excluded = fleet.exchanges.pop("entry-1")
        await begin_streams(fleet, 0.3, None)
        fleet.exchanges["entry-1"] = excluded
        select_streams(fleet, "2")
        return await fleet.take_up(["entry-1"])

    _, _, wrong = run_in_virtual_time(run())
    assert wrong == 0


def test_stream_that_is_taken_up_waits_for_the_record_of_its_version():
    """Guards against a refusal where the record is read late and others serve."""

    async def run():
        fleet = await create_fleet(3, SharedStore())
        late = fleet.store.histories.pop("entry-1")
        target = fleet.add_target(9, "2")
        await fleet.settle(1.5)
        await fleet.exchanges["entry-0"].record_send("a-1", target)
        now = LoopClock().now()
        late._observe_all((SERVICE,), now)
        entry = Entry(KEY, fleet.store.value, fleet.store.revision)
        asyncio.get_running_loop().call_later(
            0.3, late.apply_changes, Changes((entry,), (), entry.revision)
        )
        exchange = create_exchange("a-1", SERVICE, deadline=now + 5.0)
        versions = fleet.exchanges["entry-1"]
        exchange.software_version = await versions.find_version(exchange)
        await versions.wait_for_record(exchange)
        return exchange.software_version, target.incarnation in versions.list_excluded(
            exchange, exchange.software_version
        )

    assert run_in_virtual_time(run()) == ("2", False)


def create_exchange(resumes: str, service: str, deadline: float = 0.0, split=()):
    """Create a request that takes up a stream."""
    return SimpleNamespace(
        service=service,
        verdict=Verdict.NOT_RUN,
        route=SimpleNamespace(resumable=True, split=split),
        data_centres=None,
        deadline=deadline,
        software_version=None,
        request=SimpleNamespace(
            request_id=f"b-{resumes}", resumes=resumes, resume_after=3
        ),
    )


def test_stream_of_another_service_is_not_taken_for_one_of_its_lone_version():
    """Guards against a split or moved route that leads a stream to another service.

    Each of the services has had one version only.
    """

    async def run():
        fleet = Fleet(3)
        fleet.end_version("2")
        fleet.table.put(replace(fleet.add_target(9, "7"), service="chat", revision=1))
        for history in fleet.store.histories.values():
            history._list_services = lambda: (SERVICE, "chat")
        await fleet.settle(YOUNG_SECONDS + 1.0)
        await fleet.exchanges["entry-0"].record_send("a-1", fleet.targets[0])
        found = []
        for name in sorted(fleet.exchanges):
            exchange = create_exchange("a-1", "chat")
            try:
                found.append(await fleet.exchanges[name].find_version(exchange))
            except RefusedError:
                continue
        return found

    assert run_in_virtual_time(run()) == []


def test_stream_goes_on_at_the_service_that_began_it():
    """Guards against a split route that leads a stream to another service."""

    async def run():
        fleet = Fleet(3)
        fleet.table.put(replace(fleet.add_target(9, "1"), service="chat", revision=1))
        for history in fleet.store.histories.values():
            history._list_services = lambda: (SERVICE, "chat")
        await fleet.settle(YOUNG_SECONDS + 1.0)
        await fleet.exchanges["entry-0"].record_send("a-1", fleet.targets[0])
        split = ((SERVICE, 1.0), ("chat", 1.0))
        exchange = create_exchange("a-1", "chat", split=split)
        found = await fleet.exchanges["entry-1"].find_version(exchange)
        unknown = create_exchange("a-2", "chat", split=split)
        with pytest.raises(RefusedError):
            await fleet.exchanges["entry-1"].find_version(unknown)
        return exchange.service, found

    assert run_in_virtual_time(run()) == (SERVICE, "1")


@pytest.mark.parametrize("count", [3, 9])
def test_version_is_not_dropped_while_an_instance_that_is_cut_off_begins_streams(count):
    """Guards against a lone version after a minute in which nobody heard of another.

    An instance and the targets of a version are cut off from the store and the others.
    """

    async def run():
        fleet = await create_fleet(count, SharedStore())
        name = "entry-0"
        cut_off(fleet, name)
        others = sorted(set(fleet.exchanges) - {name})
        fleet.network.blocked |= {(name, other) for other in others}
        fleet.network.blocked |= {(other, name) for other in others}
        fleet.add_target(9, "2")
        fleet.end_version("1")
        await fleet.settle(2 * MEMORY_SECONDS)
        exchange, history = fleet.exchanges[name], fleet.store.histories
        target = exchange._target_table.list_service(SERVICE)[0]
        unrecorded = exchange._history.list_unrecorded(SERVICE)
        assert len(history) == count - 1
        if target.incarnation in unrecorded:
            return 0
        for number in range(20):
            await exchange.record_send(f"a-{number}", target)
            fleet.streams[f"a-{number}"] = (target.software_version, name)
        return (await fleet.take_up(others))[2]

    assert run_in_virtual_time(run()) == 0


async def release_beside_a_cut(fleet: Fleet) -> None:
    """Replace a version while an instance is cut off, for two minutes."""
    cut_off(fleet, "entry-0")
    fleet.add_target(9, "2")
    fleet.end_version("1")
    await fleet.settle(2 * MEMORY_SECONDS)


def test_version_is_dropped_once_the_instance_that_was_cut_off_has_returned():
    """Guards against a former version that is held for longer than it is needed."""

    async def run():
        fleet = await create_fleet(3, SharedStore())
        late = fleet.store.histories["entry-0"]
        confirm, table = late._find_confirmed_at, late._target_table
        await release_beside_a_cut(fleet)
        held = fleet.store.histories["entry-1"].list_possible(SERVICE)
        late._find_confirmed_at, late._target_table = confirm, table
        late._store = fleet.store
        fleet.store.join("entry-0", late)
        await fleet.settle(MEMORY_SECONDS / 2)
        streams_last = fleet.store.histories["entry-1"].list_possible(SERVICE)
        await fleet.settle(2 * MEMORY_SECONDS)
        return (
            held,
            streams_last,
            fleet.store.histories["entry-1"].list_possible(SERVICE),
        )

    assert run_in_virtual_time(run()) == ({"1", "2"}, {"1", "2"}, {"2"})


@pytest.mark.parametrize("count", [3, 9])
def test_version_is_dropped_after_an_instance_was_killed_and_started(count):
    """Guards against refusals for an hour after a usual failure in a release."""

    async def run():
        fleet = await create_fleet(count, SharedStore())
        fleet.add_target(9, "2")
        fleet.end_version("1")
        fleet.kill("entry-0")
        await fleet.settle(5.0)
        fleet.start("entry-0-again", "north")
        await fleet.settle(2 * MEMORY_SECONDS + RETIRED_SECONDS)
        return fleet.store.histories["entry-1"].list_possible(SERVICE)

    assert run_in_virtual_time(run()) == {"2"}


def test_version_is_dropped_after_an_instance_was_removed_for_good():
    """Guards against a former version that is held for good."""

    async def run():
        fleet = await create_fleet(3, SharedStore())
        fleet.add_target(9, "2")
        fleet.end_version("1")
        fleet.kill("entry-0")
        await fleet.settle(MAX_PERIODS * PERIOD_SECONDS - 60.0)
        held = fleet.store.histories["entry-1"].list_possible(SERVICE)
        written = fleet.store.outcomes.total()
        await fleet.settle(2 * MEMORY_SECONDS + 60.0)
        return held, fleet.store.histories["entry-1"].list_possible(SERVICE), written

    held, dropped, written = run_in_virtual_time(run())
    assert (held, dropped) == ({"1", "2"}, {"2"})
    assert written <= 4 * MAX_PERIODS


def test_instance_that_can_not_know_who_is_registered_drops_nothing():
    """Guards against a list of instances that is out of date, or empty."""

    async def run():
        fleet = await create_fleet(3, SharedStore())
        for history in fleet.store.histories.values():
            history._list_instances = lambda: None
        fleet.add_target(9, "2")
        fleet.end_version("1")
        await fleet.settle(3 * MEMORY_SECONDS)
        return fleet.store.histories["entry-1"].list_possible(SERVICE)

    assert run_in_virtual_time(run()) == {"1", "2"}
