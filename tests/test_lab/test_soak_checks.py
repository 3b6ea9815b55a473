"""Tests that the checks of the soak find what they are for."""

from __future__ import annotations

import random
from collections import Counter

import pytest

from greengagelatch_lab.platform_standins.announced_leaving import AnnouncedLeaving
from greengagelatch_lab.platform_standins.announced_rates import AnnouncedRate
from greengagelatch_lab.platform_standins.announced_rest import AnnouncedRest
from greengagelatch_lab.platform_standins.targets import EVENTS
from greengagelatch_lab.soak.callers import ROUTES, Outcome
from greengagelatch_lab.soak.checks import Evidence, check
from greengagelatch_lab.soak.disturbances import Cause, Partition, Period, Periods
from greengagelatch_lab.soak.schedule import draw_schedule

LOOK, _, BOOK, SCAN, DRAFT = ROUTES
INSTANCES = ["one", "two", "three"]
#: host from which the first one connects to targets
HOST = "127.0.1.1"


def create_outcome(route=LOOK, **fields) -> Outcome:
    values = {
        "request_id": "r-1",
        "instance": "one",
        "sent": 100.0,
        "ended": 101.0,
        "status": 200,
        "complete": True,
        "events": EVENTS if route.stream else 0,
        **fields,
    }
    return Outcome(route=route, **values)


def find_violations(
    *outcomes, periods=(), runs=(), reached=(), rates=(), leavings=(), rests=()
) -> list[str]:
    evidence = Evidence(
        instances=INSTANCES,
        outcomes=outcomes,
        periods=Periods(list(periods)),
        runs=Counter(runs),
        reached=frozenset(reached),
        rates=rates,
        leavings=leavings,
        rests=rests,
        names={HOST: INSTANCES[0]},
        brittle_targets=2,
        process_faults=(),
    )
    return check(evidence)


def create_period(cause, *instances, service="", **fields) -> Period:
    values = {"start": 99.0, "end": 110.0, **fields}
    return Period(cause=cause, instances=instances, service=service, **values)


def test_served_requests_are_no_violation():
    outcomes = [create_outcome(route) for route in ROUTES]
    assert not find_violations(*outcomes, runs=["r-1"])


@pytest.mark.parametrize(
    ("fields", "words"),
    [
        ({"status": 0, "complete": False}, "closed without an answer"),
        ({"status": 0, "complete": False, "abandoned": True}, "no end"),
        ({"route": SCAN, "complete": False, "events": 2}, "broken without a cause"),
        ({"route": SCAN, "events": 2}, "a stream ends without"),
        ({"status": 503}, "no cause but silence"),
    ],
)
def test_requests_that_fail_in_a_silence_are_found(fields, words):
    silence = create_period(Cause.SILENCE, service="desk")
    violations = find_violations(create_outcome(**fields), periods=[silence])
    assert violations
    assert words in violations[0]


def test_request_that_crosses_the_close_is_allowed_unless_a_target_got_it():
    crossed = create_outcome(status=0, complete=False, ended=100.1)
    assert not find_violations(crossed)
    assert find_violations(crossed, reached=["r-1"])


def test_stream_may_break_in_a_partition_of_its_instance_only():
    broken = create_outcome(SCAN, complete=False, events=2)
    own = create_period(Cause.PARTITION, "one")
    other = create_period(Cause.PARTITION, "two")
    assert not find_violations(broken, periods=[own])
    assert find_violations(broken, periods=[other])


def test_unsafe_request_that_runs_twice_is_found():
    assert find_violations(create_outcome(BOOK), runs=["r-1", "r-1"])
    assert not find_violations(create_outcome(LOOK), runs=["r-1", "r-1"])


def test_refusal_of_a_request_that_was_run_is_found():
    partition = create_period(Cause.PARTITION, "one")
    refused = create_outcome(status=503)
    assert not find_violations(refused, periods=[partition])
    assert find_violations(refused, periods=[partition], runs=["r-1"])


def find_in_partition(served: int, failed: int, *periods) -> list[str]:
    """Return the violations for first tries at an instance that is cut off."""
    periods = [create_period(Cause.PARTITION, "one"), *periods]
    outcomes = [create_outcome(sent=105.0, ended=106.0) for _ in range(served)]
    outcomes += [
        create_outcome(sent=105.0, ended=106.0, status=504) for _ in range(failed)
    ]
    outcomes += [
        create_outcome(sent=105.0, ended=106.0, instance="two") for _ in range(30)
    ]
    return find_violations(*outcomes, periods=periods)


def test_first_tries_that_fail_in_a_partition_are_found():
    assert not find_in_partition(40, 10)
    # more than ten and one in fifty
    assert find_in_partition(100, 13)
    # less than two thirds of the share at the others
    assert find_in_partition(12, 8)


def test_first_tries_may_fail_while_no_other_instance_can_help():
    stopped = [create_period(Cause.RESTART, name) for name in ("two", "three")]
    assert find_in_partition(0, 30, stopped[0])
    assert not find_in_partition(0, 30, *stopped)


def test_falls_of_brittle_targets_are_found():
    assert not find_violations(periods=[create_period(Cause.BRITTLE, falls=2)])
    assert find_violations(periods=[create_period(Cause.BRITTLE, falls=3)])


def test_schedules_come_back_by_their_seed_and_spare_an_instance():
    targets, services = ["a-0", "a-1"], ["a"]
    for seed in range(50):
        drawn, again = (
            draw_schedule(random.Random(seed), 20.0, INSTANCES, targets, services)
            for _ in range(2)
        )
        assert drawn == again
        partitions = [one for one in drawn if isinstance(one, Partition)]
        assert partitions
        for one in partitions:
            assert 0 < len(one.instances) < len(INSTANCES)


def test_late_requests_with_a_crashing_part_are_found():
    crashes = [99.0, 99.5, 100.0, 100.5, 101.0]
    late = [(104.1 + number, "two") for number in range(4)]
    period = create_period(Cause.CRASHING_PART, crashes=crashes, arrivals=late)
    (violation,) = find_violations(periods=[period])
    assert "4 requests with a crashing part" in violation
    # not once the instance has been started again shortly before
    restart = create_period(Cause.RESTART, "two", start=103.0, end=105.0)
    assert not find_violations(periods=[period, restart])
    few = create_period(Cause.CRASHING_PART, crashes=crashes[:4], arrivals=late)
    assert not find_violations(periods=[few])


def test_events_of_two_versions_are_found():
    left = create_outcome(
        DRAFT, events=1, complete=False, left=True, versions=frozenset({b"v1"})
    )
    again = create_outcome(
        DRAFT,
        request_id="two-r-1-again",
        instance="two",
        events=EVENTS - 1,
        events_before=1,
        resumes="r-1",
        versions=frozenset({b"v1"}),
    )
    assert find_violations(left, again) == []
    again.versions = frozenset({b"v2"})
    assert len(find_violations(left, again)) == 1


def test_requests_beyond_a_named_rate_are_found():
    period = create_period(Cause.LIMIT, service="desk", start=100.0, end=112.0)
    period.rate = 1.0
    requests = [(103.0 + number / 4, f"one-{number}") for number in range(12)]
    rate = AnnouncedRate(requests=requests, answers=[(100.1, "one-0")])
    assert find_violations(periods=[period], rates=[rate]) == [
        "12 requests at a rate of 1.0, 11.0 allowed"
    ]
    # those of an instance that was not told
    rate.answers = [(100.1, "two-0")]
    assert find_violations(periods=[period], rates=[rate]) == []


def test_late_requests_to_a_target_that_leaves_are_found():
    leaving = AnnouncedLeaving(
        told_at={HOST: 97.0},
        answers={HOST: [97.0, 97.8]},
        arrivals=[(100.5, HOST, "r-1"), (100.6, HOST, "r-2")],
    )
    leavings = [("desk", leaving)]
    late = create_outcome()
    sent_before = create_outcome(request_id="r-2", sent=98.9)
    (violation,) = find_violations(late, sent_before, leavings=leavings)
    assert "r-1 reaches a target from one" in violation
    # not once the instance has been started again
    restart = create_period(Cause.RESTART, "one", start=98.0, end=99.0)
    assert not find_violations(late, leavings=leavings, periods=[restart])


def test_request_given_up_in_a_planned_stop_is_found():
    """Guards against a soak that excuses all failures of an instance that stops."""
    stop = create_period(Cause.RESTART, "one")
    given_up = create_outcome(BOOK, status=504)
    (violation,) = find_violations(given_up, periods=[stop])
    assert "given up in a planned stop" in violation
    refused = create_outcome(BOOK, status=503)
    assert not find_violations(refused, periods=[stop])
    # not if its target was silent meanwhile
    held = create_period(Cause.SILENCE, service="desk")
    assert not find_violations(given_up, periods=[stop, held])


def test_answers_that_were_held_back_tell_nobody_that_a_target_leaves():
    """Guards against violations by instances that had given the request up."""
    leaving = AnnouncedLeaving(
        told_at={HOST: 97.0},
        answers={HOST: [97.0, 99.0]},
        arrivals=[(100.5, HOST, "r-1"), (101.5, HOST, "r-2")],
    )
    leavings = [("desk", leaving)]
    outcomes = create_outcome(), create_outcome(request_id="r-2", sent=101.2)
    held = create_period(Cause.SILENCE, service="desk", start=96.0, end=96.9)
    # the next answer binds
    (violation,) = find_violations(*outcomes, leavings=leavings, periods=[held])
    assert "r-2 reaches a target from one" in violation
    other = create_period(Cause.SILENCE, service="llm", start=96.0, end=96.9)
    assert len(find_violations(*outcomes, leavings=leavings, periods=[other])) == 2


def test_requests_in_a_rest_are_found():
    times = [100.2, 101.0, 102.0, 102.9, 103.1]
    rest = AnnouncedRest(
        arrivals=[(time, HOST) for time in times] + [(102.0, "127.0.1.2")],
        rejections=[(100.0, HOST, 3.0)],
    )
    rests = [("desk", rest)]
    assert find_violations(rests=rests) == [
        "3 requests of one in a rest from 100.000, after 1.000, 2.000, 2.900 s"
    ]
    # not if the instance was cut off
    cut = create_period(Cause.PARTITION, "one", start=100.0, end=101.0)
    assert not find_violations(rests=rests, periods=[cut])
    # nor if the target was silent: the request may have been given up
    held = create_period(Cause.SILENCE, service="desk", start=98.0, end=99.9)
    assert not find_violations(rests=rests, periods=[held])
    before = create_period(Cause.SILENCE, service="desk", start=97.0, end=99.0)
    assert find_violations(rests=rests, periods=[before])


def test_rest_excuses_requests_that_may_be_sent_to_one_target_only():
    rest = create_period(Cause.REST, service="desk")
    lost = create_outcome(BOOK, status=503)
    assert not find_violations(lost, periods=[rest])
    refused = create_outcome(LOOK, status=503)
    assert find_violations(refused, periods=[rest])
    # where the other target takes no requests either
    for cause in (Cause.SILENCE, Cause.LEAVING, Cause.REST):
        other = create_period(cause, service="desk")
        assert not find_violations(refused, periods=[rest, other])


def test_streams_may_be_refused_that_nobody_remembers():
    again = create_outcome(DRAFT, status=503, events=0, resumes="r-0")
    outage = create_period(Cause.OUTAGE, *INSTANCES, start=60.0, end=70.0)
    assert not find_violations(again, periods=[outage])
    assert find_violations(again)
    assert find_violations(create_outcome(DRAFT, status=503), periods=[outage])
