"""Tests of prompt parts that crash targets, on an instance."""

from __future__ import annotations

import asyncio
import json

from greengagelatch.relay.crash_reports import encode_reports
from greengagelatch.relay.incarnations import Incarnation
from greengagelatch.relay.quarantine import CrashReport
from greengagelatch_entry.relay.crash_report_replicator import MAX_VALUE_BYTES, PREFIX
from greengagelatch_entry.relay.decisions import DecisionLog


def record_decisions(monkeypatch) -> list[tuple[str, dict]]:
    """Return the list to which decisions are appended as they are logged."""
    recorded = []

    def record(self, kind, **fields):
        recorded.append((kind, fields))

    monkeypatch.setattr(DecisionLog, "log_decision", record)
    return recorded


async def test_log_names_the_shared_parts_of_a_prompt(pipeline, monkeypatch):
    """Guards against crashes whose common prompt part is in no log line."""
    recorded = record_decisions(monkeypatch)
    for target in pipeline.targets.values():
        target.break_after = 0 if target.service == "llm" else None
    await pipeline.stream("scan", X_Prefix_Hash="aa:20,bb:40,aa:20,own:20")
    parts = {kind: fields.get("parts") for kind, fields in recorded}
    assert parts["request"] == ["aa", "bb"]
    assert parts["send"] == ["aa", "bb"]


async def test_log_names_no_parts_of_requests_without_a_prompt(world, monkeypatch):
    recorded = record_decisions(monkeypatch)
    await world.ask("/look/1")
    assert "parts" not in dict(recorded)["request"]


async def report_crashes(world, *requests: tuple[str, ...], count: int = 3) -> None:
    """Report crashes of engines under requests given by their shared parts."""
    reports = tuple(
        CrashReport(
            Incarnation(f"t{number}"),
            "llm",
            tuple(f"d{number}-{index}" for index in range(len(requests))),
            requests,
        )
        for number in range(count)
    )
    revision = world.store.put_bytes(PREFIX + "entry-2/1", encode_reports(reports))
    await world.wait_for_revision(revision)


def list_arrivals(world) -> list[str]:
    return [
        request.headers["x-attempt-id"]
        for target in world.targets.values()
        for request in target.received
    ]


def list_published(world) -> list[dict]:
    """Return the rows of the reports that this instance has written to the store."""
    own = world.store.find(f"{PREFIX}entry-1/")
    return [row for value in own.values() for row in json.loads(value)]


async def test_request_with_a_crashing_part_is_refused_before_its_stages(pipeline):
    """Guards against stages made for a request that no engine is sent."""
    await report_crashes(pipeline, ("aa",))
    reply = await pipeline.stream("draft", X_Prefix_Hash="aa:60,bb:40")
    assert reply.status == 503
    assert 20 < float(reply.headers["Retry-After"]) <= 30
    assert not list_arrivals(pipeline)
    assert not any(target.pieces for target in pipeline.targets.values())
    assert pipeline.describe()["crashes"]["held_parts"] == [
        {"service": "llm", "part": "aa"}
    ]


async def test_requests_beside_a_crashing_part_are_served(pipeline):
    """Guards against requests refused for the last part, or another one, of others."""
    await report_crashes(pipeline, ("aa",))
    for prompt in ("bb:60,aa:40", "cc:100"):
        assert (await pipeline.stream("scan", X_Prefix_Hash=prompt)).status == 200


async def test_instance_tells_which_reported_parts_it_has_answered(pipeline):
    """Guards against a harmless part held as another instance has its answers."""
    assert (await pipeline.stream("scan", X_Prefix_Hash="aa:60,bb:40")).status == 200
    await report_crashes(pipeline, ("aa", "cc"))
    await pipeline.wait_for(lambda: list_published(pipeline))
    (row,) = list_published(pipeline)
    assert (row["service"], row["parts-answered"]) == ("llm", ["aa"])
    assert row["ages"][0] < 20


async def test_one_request_at_a_time_shows_whether_a_part_is_harmless(pipeline):
    """Guards against engines crashed by all requests that come at a trial."""
    await pipeline.extend_timeouts()
    await report_crashes(pipeline, ("aa",), ("rival",), count=5)
    gate = asyncio.Event()
    for target in pipeline.targets.values():
        target.gate = gate
    asked = [asyncio.create_task(pipeline.stream("scan")) for _ in range(4)]
    await pipeline.wait_for(lambda: sum(one.done() for one in asked) == 3)
    # the stages of the fourth may still be under way
    await pipeline.wait_for(lambda: list_arrivals(pipeline))
    assert len(list_arrivals(pipeline)) == 1
    assert [one.result().status for one in asked if one.done()] == [503] * 3
    gate.set()
    assert sorted([(await one).status for one in asked]) == [200, 503, 503, 503]
    assert (await pipeline.stream("scan")).status == 200


async def test_refused_trial_leaves_no_lock_behind(pipeline):
    """Guards against a lock of a request that is refused for its content."""
    await report_crashes(pipeline, ("aa",), ("rival",), count=5)
    suspects = pipeline.find("suspects")
    quarantine = pipeline.find("crashes")._quarantine
    quarantine.find_hold_seconds = lambda digest, now: 60.0
    quarantine.count_crashed = lambda digest: 3
    reply = await pipeline.stream("scan")
    assert reply.status == 503
    await pipeline.wait_for(lambda: not suspects.dump()["held"])


async def test_reports_of_many_crashes_are_written_in_several_entries(pipeline):
    """Guards against an entry that the store rejects as too large, again and again."""
    crashes = pipeline.find("crashes")
    parts = tuple(f"{number}" * 60 for number in range(10, 32))
    for number in range(40):
        digests = tuple(f"d{number}-{index}" for index in range(20))
        target = Incarnation(f"t{number}")
        crashes.publish(CrashReport(target, "llm", digests, (parts,) * 20))
    await pipeline.wait_for(lambda: len(list_published(pipeline)) == 40)
    own = pipeline.store.find(f"{PREFIX}entry-1/").values()
    assert max(map(len, own)) <= MAX_VALUE_BYTES
