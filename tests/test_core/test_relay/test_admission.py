"""Tests of greengagelatch.relay.admission."""

from __future__ import annotations

from dataclasses import replace

from greengagelatch.relay.admission import AdmitAll, DeadlineAdmission, RequestEstimate

ESTIMATE = RequestEstimate(
    total_wait=0.0,
    urgent_wait=0.0,
    service_time=0.9,
    remaining=6.0,
    objective_remaining=1.9,
    elapsed_share=0.0,
)
POLICY = DeadlineAdmission()


def test_request_that_can_be_on_time_is_begun():
    assert POLICY.decide(ESTIMATE).admitted
    assert POLICY.decide(replace(ESTIMATE, total_wait=3.0, urgent_wait=0.85)).admitted


def test_newcomer_that_would_be_on_time_by_a_hair_comes_back():
    """Guards against queues in which half of all are late by a tenth of a second."""
    assert not POLICY.decide(
        replace(ESTIMATE, total_wait=0.95, urgent_wait=0.95)
    ).admitted


def test_newcomer_that_would_be_late_comes_back():
    decision = POLICY.decide(replace(ESTIMATE, total_wait=1.5, urgent_wait=1.5))
    assert not decision.admitted
    assert 0 < decision.retry_after <= ESTIMATE.remaining / 3


def test_caller_that_came_back_is_begun_though_late():
    """Symptom: under a burst some callers are sent away twice and get nothing.

    Sequence: a caller is told to come back, does so, and is judged as a newcomer
    that can't be on time.
    Cause: nobody asked whether it had been sent away before.
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


def test_those_that_will_be_late_fill_a_part_of_the_queue_only():
    """Symptom: in a burst hardly any answer is on time, though half of them could be.

    Sequence: callers that came back fill the queue; newcomers wait behind them and
    become late themselves.
    Cause: what is worth little by now took the place of what is worth all.
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


def test_what_can_not_be_answered_in_time_is_refused_at_once():
    decision = POLICY.decide(replace(ESTIMATE, total_wait=5.5, urgent_wait=5.5))
    assert not decision.admitted


def test_late_request_is_begun_where_hardly_anything_waits():
    assert POLICY.decide(
        replace(ESTIMATE, objective_remaining=0.1, total_wait=0.2)
    ).admitted


def test_baseline_begins_everything():
    assert AdmitAll().decide(replace(ESTIMATE, total_wait=60.0)).admitted
