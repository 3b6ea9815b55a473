"""Tests of load reports and of the schedule of polls."""

from __future__ import annotations

import random

import pytest

from greengagelatch.targets.polling import PollSchedule
from greengagelatch.targets.reports import parse_report

REPORT = {"in_flight": 2, "queued": 1, "capacity": 4, "state": "live", "age_ms": 500}


def test_age_is_subtracted_from_the_time_of_the_request():
    report = parse_report(REPORT, asked=100.0)
    assert report.load.taken == 99.5
    assert not report.leaving


@pytest.mark.parametrize(
    "change",
    [
        {"in_flight": -1},
        {"queued": "3"},
        {"capacity": True},
        {"capacity": None},
        {"in_flight": 1e400},
    ],
)
def test_invalid_report_still_marks_leaving(change):
    report = parse_report({**REPORT, **change, "state": "leaving"}, asked=100.0)
    assert report.load is None
    assert report.leaving


@pytest.mark.parametrize(
    ("age", "taken"),
    [(-5, 100.0), ("x", 100.0), (float("nan"), -3500.0), (1e99, -3500.0)],
)
def test_invalid_ages(age, taken):
    assert parse_report({**REPORT, "age_ms": age}, asked=100.0).load.taken == taken


def count_polls(schedule: PollSchedule, seconds: float) -> dict[str, int]:
    polls: dict[str, int] = {}
    for tick in range(int(seconds * 10)):
        now = tick / 10
        for target_id in schedule.take_due(now, 100):
            polls[target_id] = polls.get(target_id, 0) + 1
            schedule.reschedule(now, target_id, 1.0)
    return polls


def test_common_rate_bounds_polls_without_starvation():
    """
    Guards against an instance being overloaded by load reports, or never polling some
    targets, when there are far more targets than the rate allows. This happens if only
    the rate per target is limited, or if the limit favours the same targets each time.
    """
    schedule = PollSchedule(rate=10, random_source=random.Random(1))
    schedule.watch(0.0, {f"t-{number}": 1.0 for number in range(50)})
    polls = count_polls(schedule, 100)
    assert sum(polls.values()) <= 10 * 100 + 10
    assert len(polls) == 50
    assert min(polls.values()) >= 15


def test_no_burst_after_a_pause():
    schedule = PollSchedule(rate=10, random_source=random.Random(1))
    schedule.watch(0.0, {f"t-{number}": 1.0 for number in range(50)})
    schedule.take_due(0.0, 100)
    assert len(schedule.take_due(600.0, 100)) == 10


def test_target_is_not_polled_again_before_it_answers():
    schedule = PollSchedule(rate=10, random_source=random.Random(1))
    schedule.watch(0.0, {"t-1": 1.0})
    assert schedule.take_due(2.0, 100) == ("t-1",)
    schedule.watch(3.0, {"t-1": 0.1})
    assert schedule.take_due(50.0, 100) == ()
    schedule.reschedule(50.0, "t-1", 1.0)
    assert schedule.take_due(52.0, 100) == ("t-1",)
