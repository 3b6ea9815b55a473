"""Tests of greengagelatch_entry.relay.version_history, in virtual time."""

from __future__ import annotations

import asyncio
import random

import pytest

from greengagelatch.relay.incarnations import Incarnation
from greengagelatch.relay.stream_versions import MEMORY_SECONDS
from greengagelatch.relay.targets import ListedTarget, TargetTable
from greengagelatch.relay.version_records import (
    RETIRED_SECONDS,
    VersionRecord,
    encode_record,
)
from greengagelatch.store import ABSENT, Entry, WriteOutcome, WriteResult
from greengagelatch.store.ranges import Changes, Scan
from greengagelatch_entry.relay.version_history import (
    CHECK_SECONDS,
    KEY,
    MAX_RANDOM_DELAY,
    YOUNG_SECONDS,
    VersionHistory,
)
from greengagelatch_lab.stage_load.instances import NullTelemetry
from greengagelatch_lab.stage_load.trial import LoopClock
from greengagelatch_lab.standins.peers import MemoryNetwork

pytestmark = pytest.mark.looptime

FORMER = encode_record(VersionRecord({"llm": frozenset({"v1"})}))


class World:
    """One instance that lists targets, and a store that takes its writes."""

    def __init__(self, *versions: str, is_first_start: bool = True) -> None:
        self.writes: list[tuple[bytes, int]] = []
        self.outcome = WriteOutcome.APPLIED
        self.is_cut_off = False
        self.confirmed_at = 0.0
        self.table = TargetTable()
        for number, version in enumerate(versions):
            self.table.put(
                ListedTarget(
                    incarnation=Incarnation(f"t-{number}", 1),
                    service="llm",
                    address=f"10.0.0.{number}:80",
                    data_centre="north",
                    software_version=version,
                )
            )
        self.network = MemoryNetwork()
        self.history = VersionHistory(
            store=self,
            peers=self.network.join("entry-1"),
            target_table=self.table,
            list_services=lambda: ("llm",),
            list_instances=tuple,
            find_confirmed_at=self._find_confirmed_at,
            is_first_start=is_first_start,
            clock=LoopClock(),
            random_source=random.Random(1),
            metrics=NullTelemetry(),
            decisions=NullTelemetry(),
        )

    def _find_confirmed_at(self) -> float:
        if not self.is_cut_off:
            self.confirmed_at = LoopClock().now()
        return self.confirmed_at

    async def swap(self, key, value, expected, *, lease_id="") -> WriteResult:
        self.writes.append((value, expected))
        return WriteResult(self.outcome, 100 + len(self.writes))

    async def run(self, seconds: float) -> None:
        """Let the history look at the targets, and write, for some seconds."""
        for _ in range(round(seconds / CHECK_SECONDS)):
            await asyncio.sleep(CHECK_SECONDS)
            await self.history._update()

    def read(self, value: bytes | None, revision: int = 7) -> None:
        """Let the instance read the record from the store; ``None``: there is none."""
        entries = () if value is None else (Entry(KEY, value, revision),)
        self.history.apply_scan(Scan(entries, 9))

    def list_possible(self):
        self.history._observe_all(("llm",), LoopClock().now())
        return self.history.list_possible("llm")


async def test_nothing_is_known_before_the_record_is_read():
    """Guards against a listing that is taken for all there has been."""
    world = World("v2")
    assert world.list_possible() is None
    await world.run(2.0)
    assert world.writes == []
    world.read(FORMER)
    assert world.list_possible() == {"v1", "v2"}


async def test_lone_version_is_known_once_it_is_recorded():
    world = World("v1")
    world.read(None)
    assert world.list_possible() is None
    await world.run(MAX_RANDOM_DELAY + 2 * CHECK_SECONDS)
    assert world.writes == [(FORMER, ABSENT)]
    assert world.list_possible() == {"v1"}


async def test_lone_version_is_not_known_where_a_release_without_a_record_served():
    """Guards against streams joined after all instances of it were replaced at once."""
    world = World("v2", is_first_start=False)
    world.read(None)
    await world.run(MAX_RANDOM_DELAY + 2 * CHECK_SECONDS)
    lone = {"llm": frozenset({"v2"})}
    assert [value for value, _ in world.writes] == [
        encode_record(VersionRecord(lone, complete=False))
    ]
    assert world.list_possible() is None
    assert world.history.list_unrecorded("llm") == frozenset()
    await world.run(MEMORY_SECONDS)
    assert world.list_possible() == {"v2"}
    assert world.writes[-1][0] == encode_record(VersionRecord(lone))


async def test_instance_that_has_looked_for_long_needs_no_record():
    world = World("v1")
    await world.run(MEMORY_SECONDS + 1.0)
    assert world.list_possible() == {"v1"}


async def test_former_version_is_dropped_after_it_was_not_seen_for_long():
    world = World("v2")
    world.read(FORMER)
    await world.run(MEMORY_SECONDS - 1.0)
    assert [value for value, _ in world.writes] == [
        encode_record(VersionRecord({"llm": frozenset({"v1", "v2"})}))
    ]
    await world.run(2.0)
    retired = {"llm": frozenset({"v1"})}
    both = {"llm": frozenset({"v1", "v2"})}
    assert world.writes[1:] == [(encode_record(VersionRecord(both, retired)), 101)]
    await world.run(RETIRED_SECONDS - 3.0)
    assert world.list_possible() == {"v1", "v2"}
    assert len(world.writes) == 2
    await world.run(4.0)
    assert world.list_possible() == {"v2"}
    lone = VersionRecord({"llm": frozenset({"v2"})})
    assert world.writes[2:] == [(encode_record(lone), 102)]


@pytest.mark.parametrize("value", [b"{", b'{"services": 1}'])
async def test_record_that_can_not_be_read_is_not_replaced_by_a_lone_version(value):
    """Guards against a lone version that is taken for what an unreadable record held.

    It is recorded at once, so that streams may begin, but as one of several.
    """
    world = World("v2")
    world.read(value)
    await world.run(MAX_RANDOM_DELAY + 2 * CHECK_SECONDS)
    lone = {"llm": frozenset({"v2"})}
    incomplete = encode_record(VersionRecord(lone, complete=False))
    assert world.writes == [(incomplete, 7)]
    assert world.history.list_unrecorded("llm") == frozenset()
    await world.run(MEMORY_SECONDS - 3.0)
    assert world.list_possible() is None
    assert len(world.writes) == 1
    await world.run(4.0)
    assert world.writes[1:] == [(encode_record(VersionRecord(lone)), 101)]
    assert world.list_possible() == {"v2"}


async def test_incomplete_record_is_not_taken_for_all_there_has_been():
    """Guards against a restart that completes what another instance has not seen."""
    world = World("v2")
    world.read(encode_record(VersionRecord({"llm": frozenset({"v2"})}, complete=False)))
    await world.run(3.0)
    assert world.list_possible() is None
    assert world.history.list_unrecorded("llm") == frozenset()
    assert world.writes == []


async def test_version_begins_streams_only_once_it_is_recorded():
    """Guards against streams of a version that nobody knows after a restart of all."""
    world = World("v1", "v2")
    world.read(FORMER)
    world.outcome = WriteOutcome.NOT_APPLIED
    await world.run(MAX_RANDOM_DELAY + 2 * CHECK_SECONDS)
    assert world.history.list_unrecorded("llm") == {Incarnation("t-1", 1)}
    world.outcome = WriteOutcome.APPLIED
    await world.run(MAX_RANDOM_DELAY + 2 * CHECK_SECONDS)
    assert world.history.list_unrecorded("llm") == frozenset()


async def test_request_that_waits_for_a_version_has_it_written_soon():
    """Guards against streams that wait as the first in rank does not write."""
    world = World("v2")
    for number in range(2, 9):
        world.network.join(f"entry-{number}")
    world.read(FORMER)
    world.history._find_rank = lambda alive: 5
    await asyncio.sleep(YOUNG_SECONDS)
    waiting = asyncio.create_task(
        world.history.wait_for_any(lambda: world.table.list_service("llm"), 1.0)
    )
    await asyncio.sleep(0)
    await world.run(2 * CHECK_SECONDS)
    assert len(world.writes) == 1
    assert await waiting


async def test_request_waits_in_vain_while_the_store_takes_no_writes():
    """Guards against a wait without an end, and a stream that nobody will know."""
    world = World("v2")
    world.read(FORMER)
    world.outcome = WriteOutcome.UNKNOWN
    ticks = asyncio.create_task(world.run(3.0))
    assert not await world.history.wait_for_any(
        lambda: world.table.list_service("llm"), 1.0
    )
    await ticks


async def test_older_reading_does_not_replace_a_newer_record():
    """Guards against a scan or a change that was sent before this instance wrote."""
    world = World("v1", "v2")
    world.read(FORMER)
    await world.run(MAX_RANDOM_DELAY + 2 * CHECK_SECONDS)
    assert world.history.written_at == 101
    world.read(FORMER)
    entry = Entry(KEY, FORMER, 90)
    world.history.apply_changes(Changes((entry,), (), 90))
    world.history.apply_peer_record(FORMER, 7, 100)
    assert world.history.written_at == 101
    assert world.history.list_unrecorded("llm") == frozenset()


async def test_instance_that_was_cut_off_drops_nothing_that_it_can_not_have_seen():
    """Guards against a minute of looking at targets that were out of date.

    Meanwhile a version was listed, began streams and left.
    """
    world = World("v2")
    world.read(encode_record(VersionRecord({"llm": frozenset({"v1", "v2"})})))
    await world.run(MEMORY_SECONDS / 2)
    world.is_cut_off = True
    await world.run(2 * MEMORY_SECONDS)
    assert world.list_possible() == {"v1", "v2"}
    world.is_cut_off = False
    await world.run(MEMORY_SECONDS - 1.0)
    assert world.list_possible() == {"v1", "v2"}
    assert world.writes == []
    await world.run(RETIRED_SECONDS + 3.0)
    value, _ = world.writes[-1]
    assert value == encode_record(VersionRecord({"llm": frozenset({"v2"})}))


async def test_version_that_others_have_seen_is_kept_for_as_long_as_streams_last():
    """Guards against an instance that drops what was listed for too short a time."""
    world = World("v2")
    world.read(encode_record(VersionRecord({"llm": frozenset({"v2"})})))
    await world.run(2 * MEMORY_SECONDS)
    both = encode_record(VersionRecord({"llm": frozenset({"v1", "v2"})}))
    world.history.apply_changes(Changes((Entry(KEY, both, 12),), (), 12))
    await world.run(MEMORY_SECONDS - 1.0)
    assert world.writes == []
    assert world.list_possible() == {"v1", "v2"}
    await world.run(2.0)
    assert len(world.writes) == 1


async def test_write_that_fails_is_made_again():
    """Guards against a record that misses a version for good."""
    world = World("v2")
    world.read(FORMER)
    world.outcome = WriteOutcome.UNKNOWN
    await world.run(3.0)
    assert len(world.writes) > 1
    world.outcome = WriteOutcome.APPLIED
    await world.run(3.0)
    count = len(world.writes)
    await world.run(3.0)
    assert len(world.writes) == count


async def test_newer_record_of_a_peer_is_taken():
    world = World("v2")
    world.history.apply_peer_record(FORMER, 7, 9)
    assert world.list_possible() == {"v1", "v2"}
    world.history.apply_peer_record(b"", ABSENT, 8)
    assert world.list_possible() == {"v1", "v2"}
    # an earlier release knows nothing of it
    world.history.apply_peer_record(b"", ABSENT, 0)
    assert world.list_possible() == {"v1", "v2"}


async def test_record_that_is_removed_is_written_again():
    world = World("v1")
    world.read(FORMER)
    world.history.apply_changes(Changes((), ((KEY, 12),), 12))
    assert world.list_possible() is None
    await world.run(MAX_RANDOM_DELAY + 2 * CHECK_SECONDS)
    assert world.writes == [(FORMER, ABSENT)]


async def test_late_response_does_not_take_a_newer_record_back():
    """Guards against a record that is lost as the response to an own write is late.

    Another instance has written meanwhile, and the watch has told of it.
    """
    world = World("v1", "v2")
    world.read(FORMER)
    three = encode_record(VersionRecord({"llm": frozenset({"v1", "v2", "v3"})}))
    swap = world.swap

    async def swap_slowly(key, value, expected, *, lease_id="") -> WriteResult:
        written = await swap(key, value, expected)
        world.history.apply_changes(Changes((Entry(KEY, three, 150),), (), 150))
        return written

    world.swap = swap_slowly
    await world.run(MAX_RANDOM_DELAY + 2 * CHECK_SECONDS)
    assert len(world.writes) == 1
    assert (world.history.written_at, world.history.value) == (150, three)


async def test_peer_does_not_take_back_a_record_that_is_newer_than_its_scan():
    """Guards against a scan of several pages, the first of which is the oldest."""
    world = World("v1", "v2")
    both = encode_record(VersionRecord({"llm": frozenset({"v1", "v2"})}))
    world.history.apply_scan(Scan((Entry(KEY, both, 12),), 9))
    world.history.apply_peer_record(FORMER, 7, 10)
    assert world.history.written_at == 12
    assert world.history.list_unrecorded("llm") == frozenset()
