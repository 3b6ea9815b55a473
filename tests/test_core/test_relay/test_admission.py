"""Tests of greengagelatch.relay.admission."""

from __future__ import annotations

from dataclasses import replace

from greengagelatch.relay.admission import AdmitAll, DeadlineAdmission, RequestEstimate

ESTIMATE = RequestEstimate(
    total_wait=0.0,
    urgent_wait=0.0,
    service_time=0.9,
    remaining=6.0,
    deadline_remaining=6.0,
    objective_remaining=1.9,
    elapsed_share=0.0,
)
POLICY = DeadlineAdmission()


def test_request_that_meets_its_objective_is_admitted():
    assert POLICY.decide(ESTIMATE).admitted
    assert POLICY.decide(replace(ESTIMATE, total_wait=3.0, urgent_wait=0.85)).admitted


def test_first_attempt_within_the_safety_margin_is_refused():
    """Guards against queues in which half of the requests are late by 0.1 s."""
    assert not POLICY.decide(
        replace(ESTIMATE, total_wait=0.95, urgent_wait=0.95)
    ).admitted


def test_late_first_attempt_is_told_when_to_retry():
    decision = POLICY.decide(replace(ESTIMATE, total_wait=1.5, urgent_wait=1.5))
    assert not decision.admitted
    assert decision.retry_window.earliest > 0
    assert decision.retry_window.latest <= ESTIMATE.remaining / 3


def test_late_retry_is_admitted():
    """Guards against callers that are refused twice in a burst and get no answer.

    A caller retried as told and was judged as a first attempt that would be late.
    """
    returned = replace(
        ESTIMATE,
        total_wait=1.5,
        urgent_wait=1.2,
        remaining=4.0,
        objective_remaining=0.1,
        elapsed_share=0.3,
    )
    assert POLICY.decide(returned).admitted


def test_late_requests_fill_only_a_part_of_the_queue():
    """Guards against a burst in which few answers meet the objective.

    Retries, whose answers are late anyway, filled the queue, and first attempts that
    could have met the objective became late behind them.
    """
    returned = replace(
        ESTIMATE,
        total_wait=2.5,
        urgent_wait=1.2,
        remaining=4.0,
        objective_remaining=0.1,
        elapsed_share=0.3,
    )
    assert not POLICY.decide(returned).admitted
    assert POLICY.decide(replace(ESTIMATE, total_wait=2.5, urgent_wait=0.85)).admitted


def test_request_that_would_miss_its_deadline_is_refused():
    decision = POLICY.decide(replace(ESTIMATE, total_wait=5.5, urgent_wait=5.5))
    assert not decision.admitted
    assert decision.retry_window is None


def test_late_request_is_admitted_to_a_short_queue():
    assert POLICY.decide(
        replace(ESTIMATE, objective_remaining=0.1, total_wait=0.2)
    ).admitted


def test_baseline_admits_everything():
    assert AdmitAll().decide(replace(ESTIMATE, total_wait=60.0)).admitted
