"""Tests of the versions that began streams."""

from __future__ import annotations

import pytest

from greengagelatch.peers import Member, MemberState
from greengagelatch.relay import stream_versions
from greengagelatch.relay.stream_versions import (
    COPIES,
    GROUPS,
    MEMORY_SECONDS,
    StreamOrigin,
    StreamVersions,
    find_group,
    rank_keepers,
)

FIRST, SECOND = StreamOrigin("llm", "v1"), StreamOrigin("llm", "v2")


def create_members(count: int, data_centres: int) -> list[Member]:
    return [
        Member(
            instance_id=f"entry-{number}",
            data_centre=f"dc-{number % data_centres}",
            address="",
            state=MemberState.ALIVE,
        )
        for number in range(count)
    ]


def test_last_target_of_an_attempt_counts():
    """Guards against a stream bound to a target that brought no event."""
    streams = StreamVersions()
    streams.record("a", FIRST, 0.0)
    streams.record("a", SECOND, 1.0)
    assert streams.find("a", 2.0) == SECOND
    assert streams.find("b", 2.0) is None


def test_streams_are_forgotten_after_some_time():
    streams = StreamVersions()
    streams.record("a", FIRST, 0.0)
    assert streams.list_remembered(1.0) == [("a", FIRST)]
    assert streams.find("a", MEMORY_SECONDS) is None
    streams.record("b", FIRST, MEMORY_SECONDS)
    assert len(streams) == 1


def test_memory_of_streams_is_bounded(monkeypatch):
    """Guards against memory that grows with the rate of requests."""
    monkeypatch.setattr(stream_versions, "MAX_STREAMS", 10)
    streams = StreamVersions()
    for number in range(25):
        streams.record(f"a-{number}", FIRST, 0.0)
    assert len(streams) == 10
    assert streams.find("a-24", 0.0) == FIRST


@pytest.mark.parametrize("data_centres", [1, 2, 3, 5])
def test_keepers_are_in_different_data_centres(data_centres):
    members = create_members(40, data_centres)
    by_id = {one.instance_id: one.data_centre for one in members}
    for group in range(GROUPS):
        ranked = rank_keepers(group, members)
        assert sorted(ranked) == sorted(by_id)
        first = {by_id[one] for one in ranked[:COPIES]}
        assert len(first) == min(COPIES, data_centres)


def test_streams_are_spread_over_the_groups():
    groups = [find_group(f"attempt-{number}") for number in range(400)]
    assert min(groups.count(group) for group in range(GROUPS)) > 400 / GROUPS / 2
