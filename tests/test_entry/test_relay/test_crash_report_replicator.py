"""Tests of the detection of crashes and the replication of crash reports."""

from __future__ import annotations

import pytest

from greengagelatch.relay.crash_reports import decode_reports, encode_reports
from greengagelatch.relay.incarnations import Incarnation
from greengagelatch.relay.messages import CrashReportsUpdate
from greengagelatch.relay.quarantine import CrashReport, SurvivalReport
from greengagelatch.store import Entry
from greengagelatch.store.ranges import Scan
from greengagelatch_entry.relay.crash_report_replicator import (
    MAX_ANSWER_ENTRIES,
    PREFIX,
)
from greengagelatch_lab.platform_standins.store import StoreFault
from greengagelatch_lab.platform_standins.targets import TargetFault

from .conftest import find_digest

LOST = "/look/lost"


async def lose_answers(world) -> None:
    """Send a request whose answer is lost by four targets that keep running.

    It reaches no further target once it is held.
    """
    for number in (3, 4):
        await world.add(f"desk-{number}", "desk")
    await world.wait_until_synced(4)
    for target in world.targets.values():
        target.fault = TargetFault.LOSE_ANSWER
    while any(not target.received for target in world.targets.values()):
        await world.ask(LOST)
        if describe(world)["held_count"]:
            break
    for target in world.targets.values():
        target.fault = TargetFault.NONE


def describe(world) -> dict:
    return world.describe()["crashes"]


def list_suspected(world) -> list[str]:
    return world.describe()["crash-watch"]["suspected"]


async def test_targets_that_lose_answers_and_live_are_not_blamed(world):
    """Guard against holding a sound request because its answers were lost."""
    await lose_answers(world)
    await world.wait_for(lambda: len(list_suspected(world)) == 4)
    assert (await world.ask(LOST)).status == 200
    assert describe(world)["held_count"] == 0


async def test_planned_end_of_a_target_is_not_blamed_on_what_it_cut(world):
    """Guard against holding a sound request because of a rolling update."""
    target = world.targets["desk-1"]
    world.targets["desk-2"].register(world.store, state="draining")
    await world.wait_for(lambda: not world.accepts("desk-2"))
    target.fault = TargetFault.LOSE_ANSWER
    await world.ask(LOST)
    assert list_suspected(world) == ["desk-1@1700000000000"]
    target.register(world.store, state="draining")
    await world.wait_for(lambda: not world.accepts("desk-1"))
    world.store.remove("servers/desk-1")
    await world.wait_for(
        lambda: world.find("news")._target_table.find_listed("desk-1") is None
    )
    assert world.count("targets.ended_under_requests") == 0


async def test_target_that_starts_again_at_once_is_found_by_the_listing(world):
    """Guard against a missed crash when a new process accepts connections at once."""
    target = world.targets["desk-1"]
    target.fault = TargetFault.LOSE_ANSWER
    world.targets["desk-2"].fault = TargetFault.LOSE_ANSWER
    await world.ask(LOST)
    await world.wait_for(lambda: len(list_suspected(world)) == 2)
    await target.restart(world.store)
    await world.wait_for(lambda: world.count("targets.ended_under_requests") == 1)


def put_report(world, key: str, *targets: str) -> int:
    reports = tuple(CrashReport(Incarnation(one), "desk", ("aa",)) for one in targets)
    return world.store.put_bytes(PREFIX + key, encode_reports(reports))


async def test_reports_of_other_instances_count(world):
    put_report(world, "entry-2/1", "t1", "t2")
    await world.wait_for_revision(put_report(world, "entry-3/1", "t3"))
    assert list(describe(world)["held"]) == ["aa"]


def put_survival(world, key: str, digest: str) -> int:
    value = encode_reports((SurvivalReport(digest),))
    return world.store.put_bytes(PREFIX + key, value)


async def test_answer_at_another_instance_ends_a_quarantine(world):
    """Guard against a harmless request that is served by one instance only."""
    await world.wait_for_revision(put_report(world, "entry-2/1", "t1", "t2", "t3"))
    assert list(describe(world)["held"]) == ["aa"]
    await world.wait_for_revision(put_survival(world, "entry-3/1", "aa"))
    assert describe(world)["held_count"] == 0


async def test_reports_of_a_scan_are_applied_in_the_order_of_their_revisions(world):
    """Guard against a request held by an instance that starts after its answer."""
    crashes = world.find("crashes")
    crash = encode_reports(
        tuple(CrashReport(Incarnation(f"t{n}"), "desk", ("aa",)) for n in range(3))
    )
    entries = (
        Entry(PREFIX + "entry-2/1", encode_reports((SurvivalReport("aa"),)), 9),
        Entry(PREFIX + "entry-3/1", crash, 8),
    )
    crashes.apply_scan(Scan(entries, 9))
    assert crashes._quarantine.count_crashed("aa") == 0


@pytest.mark.parametrize(("count", "written"), [(2, 1), (1, 0)])
async def test_answer_to_a_suspected_request_is_reported(world, count, written):
    """Guard against a harmless request that other instances hold after its answer."""
    digest = find_digest("/look/suspected")
    reports = tuple(
        CrashReport(Incarnation(f"t{number}"), "desk", (digest,))
        for number in range(count)
    )
    value = encode_reports(reports)
    await world.wait_for_revision(world.store.put_bytes(PREFIX + "entry-2/1", value))
    assert (await world.ask("/look/suspected")).status == 200
    assert world.count("requests.cleared") == written
    own = PREFIX + "entry-1/"
    await world.wait_for(lambda: len(world.store.find(own)) == written)


async def test_entry_that_cannot_be_read_hides_no_other(world):
    world.store.put_bytes(PREFIX + "entry-2/1", b"\xff")
    world.store.put_bytes(PREFIX + "entry-2/2", b"[{}]")
    await world.wait_for_revision(put_report(world, "entry-2/3", "t1", "t2", "t3"))
    assert describe(world)["held_count"] == 1
    assert world.count("crashes.unreadable") == 2


async def test_peers_are_told_the_oldest_first(world):
    """Guard against reports that a peer misses as it queries only later revisions."""
    revisions = [put_report(world, f"entry-2/{n}", f"t{n}") for n in range(100)]
    await world.wait_for_revision(revisions[-1])
    crashes = world.find("crashes")
    answered = crashes.list_newer(revisions[9])
    assert [row[1] for row in answered] == revisions[10 : 10 + MAX_ANSWER_ENTRIES]
    assert crashes.list_newer(crashes.revision) == ()
    crashes.apply_updates([("other", "row"), None, ("k", -1, b"[]")])
    assert crashes.revision >= revisions[-1]


class RecordingPeers:
    """Records the messages to an instance's overlay neighbours."""

    def __init__(self) -> None:
        self.sent: list[CrashReportsUpdate] = []

    def neighbours(self) -> tuple[str, ...]:
        return ("e-2",)

    def send(self, instance_id: str, message: CrashReportsUpdate) -> bool:
        self.sent.append(message)
        return True

    def list_keys(self) -> list[str]:
        return [key for message in self.sent for key, _ in message.rows]


async def test_each_report_is_told_once_while_the_store_takes_none(world):
    """Guard against peers that get only the first report, or one repeatedly."""
    crashes = world.find("crashes")
    peers = crashes._peers = RecordingPeers()
    world.store.fault = StoreFault.UNAVAILABLE
    for number in (1, 2, 3):
        crashes.publish(CrashReport(Incarnation(f"t{number}"), "desk", ("aa",)))
        await world.wait_for(lambda count=number: len(peers.list_keys()) == count)
    await world.wait_for(lambda: world.count("crashes.unwritten") >= 5)
    assert len(set(peers.list_keys())) == len(peers.list_keys()) == 3
    world.store.fault = StoreFault.NONE
    await world.wait_for(lambda: len(world.store.find(PREFIX)) == 3)


async def test_many_ends_at_once_are_written_in_values_that_can_be_read(world):
    """Guard against oversized, unreadable entries when a data centre is lost."""
    crashes = world.find("crashes")
    for number in range(600):
        crashes.publish(CrashReport(Incarnation(f"t{number}"), "desk", ("aa",)))
    await world.wait_for(lambda: len(world.store.find(PREFIX)) == 3)
    values = world.store.find(PREFIX).values()
    assert sum(len(decode_reports(value)) for value in values) == 600
