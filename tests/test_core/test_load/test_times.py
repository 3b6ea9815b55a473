"""Tests of greengagelatch.load.times."""

from __future__ import annotations

import pytest

from greengagelatch.config.objects import StageKind
from greengagelatch.load import Outcome, OutcomeKind, Ticket
from greengagelatch.load.durations import DurationTracker
from greengagelatch.load.times import CallTimes


def create_ticket(stage, *, deadline=100.0):
    return Ticket(
        request_id="r",
        workspace="w",
        pipeline="p",
        stage=stage,
        service="llm",
        kind=StageKind.GENERATE,
        deadline=deadline,
        stage_deadline=deadline,
    )


def create_times(**seconds):
    times = CallTimes(DurationTracker(), late_share=0.03)
    for stage, duration in seconds.items():
        for _ in range(20):
            outcome = Outcome(OutcomeKind.SUCCESS, duration)
            times.record_end(create_ticket(stage), outcome, 1.0)
    return times


def test_long_kinds_are_found_by_comparison():
    times = create_times(draft=3.0, chat=0.4)
    kinds = [("p", "draft"), ("p", "chat"), ("p", "unknown")]
    for kind in kinds:
        times.is_long(kind, 1.0)
    assert [times.is_long(kind, 1.0) for kind in kinds] == [True, False, False]
    alike = create_times(draft=3.0, scan=1.2)
    assert not any(alike.is_long(("p", name), 1.0) for name in ("draft", "scan"))


def test_streams_are_compared_by_time_per_token():
    """Guards against ejecting a target as slow because it ran the longest call.

    Drafts of 20 tokens take half a second; one of 200 takes ten times as long. A
    comparison of whole calls would count it as slow.
    """
    times = create_times()
    for _ in range(20):
        usual = Outcome(OutcomeKind.SUCCESS, 0.5, tokens=20)
        times.compare_duration(create_ticket("draft"), usual, 1.0)
    longest = Outcome(OutcomeKind.SUCCESS, 5.0, tokens=200)
    slow = Outcome(OutcomeKind.ABANDONED, 5.0, tokens=20)
    ticket = create_ticket("draft")
    assert times.compare_duration(ticket, longest, 1.0) == pytest.approx(1.0, rel=0.1)
    assert times.compare_duration(ticket, slow, 1.0) == pytest.approx(10.0, rel=0.1)


def test_call_without_a_first_token_is_compared_with_first_tokens():
    times = create_times(draft=4.0)
    ticket = create_ticket("draft")
    for _ in range(20):
        times.compare_first_token(ticket, 0.2, 1.0)
    assert times.compare_elapsed(ticket, 2.0, 1.0, begun=False) == pytest.approx(
        10, rel=0.1
    )
    assert times.compare_elapsed(ticket, 2.0, 1.0, begun=True) == pytest.approx(
        0.5, rel=0.1
    )
    assert times.compare_elapsed(create_ticket("unknown"), 2.0, 1.0, begun=False) == 0


def test_calls_that_miss_their_deadline_raise_the_safe_duration():
    times = create_times(draft=2.0)
    before = times.estimate_safe(("p", "draft"), 5.0, 1.0, 1.0)
    for _ in range(5):
        cut = Outcome(OutcomeKind.ABANDONED, 4.0)
        times.record_end(create_ticket("draft", deadline=2.0), cut, 2.0)
    assert times.estimate_safe(("p", "draft"), 5.0, 1.0, 2.0) > 1.5 * before
