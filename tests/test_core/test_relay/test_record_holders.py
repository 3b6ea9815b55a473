"""Tests of greengagelatch.relay.record_holders."""

from __future__ import annotations

from greengagelatch.relay.record_holders import (
    MAX_PERIODS,
    PERIOD_SECONDS,
    RecordHolders,
)
from greengagelatch.relay.stream_versions import MEMORY_SECONDS

FIRST, SECOND = "10.0.0.1:80", "10.0.0.2:80"


def test_instance_whose_registration_has_ended_is_missing():
    """Guards against a lapse that is taken for the end of an instance."""
    holders = RecordHolders()
    now = look(holders, MEMORY_SECONDS)
    assert not holders.is_any_missing(now)
    known = {FIRST: 0, SECOND: 0}
    assert holders.update(known, [FIRST], now + 1.0) == known
    assert holders.is_any_missing(now + 1.0)


def look(holders: RecordHolders, seconds: float) -> float:
    """Let two instances be registered for some seconds, and return the end."""
    now = 0.0
    while now < seconds:
        known = holders.update({}, [FIRST, SECOND], now)
        assert known == {FIRST: 0, SECOND: 0}
        now += 1.0
    return now


def test_instance_that_begins_to_look_may_have_missed_one_that_was_missing():
    """Guards against a version dropped as another instance begins to drop them."""
    holders = RecordHolders()
    holders.update({}, [FIRST, SECOND], 0.0)
    assert holders.is_any_missing(0.0)
    now = look(holders, MEMORY_SECONDS)
    # it has not followed the store for a while
    holders.update({}, [FIRST, SECOND], now + 60.0)
    assert holders.is_any_missing(now + 60.0)


def test_instance_that_has_returned_is_missing_for_as_long_as_its_streams_last():
    """Guards against a version dropped as the one that begins streams there returns."""
    holders = RecordHolders()
    holders.update({FIRST: 3}, [], 0.0)
    assert holders.update({FIRST: 3}, [FIRST], 1.0) == {FIRST: 0}
    assert holders.is_any_missing(MEMORY_SECONDS - 1.0)
    assert not holders.is_any_missing(MEMORY_SECONDS)


def test_instance_that_is_missing_for_long_is_taken_to_have_ended():
    """Guards against versions that are held for good, as instances are removed."""
    holders = RecordHolders()
    known, now = {FIRST: 0}, 0.0
    while known and now < 2 * MAX_PERIODS * PERIOD_SECONDS:
        known = holders.update(known, [], now)
        now += 10.0
    assert known == {}
    assert now >= MAX_PERIODS * PERIOD_SECONDS


def test_periods_that_another_instance_has_counted_go_on():
    """Guards against an age that is lost with the instance that has counted it."""
    first, second = RecordHolders(), RecordHolders()
    first.update({FIRST: 0}, [], 0.0)
    second.update({FIRST: 0}, [], 0.0)
    known = first.update({FIRST: 0}, [], PERIOD_SECONDS)
    assert known == {FIRST: 1}
    assert second.update(known, [], PERIOD_SECONDS) == known
    assert second.update(known, [], 2 * PERIOD_SECONDS) == {FIRST: 2}
