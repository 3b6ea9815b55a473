"""Tests of greengagelatch.relay.outcomes."""

from __future__ import annotations

from dataclasses import replace

import pytest

from greengagelatch.relay.outcomes import (
    NextStep,
    RetryContext,
    SendOutcome,
    decide_next,
)

FACTS = RetryContext(
    outcome=SendOutcome.LOST,
    repeatable=True,
    deliveries=1,
    max_attempts=2,
    unsent=0,
    remaining=1.0,
    min_seconds=0.01,
)


def test_idempotent_request_is_retried():
    assert decide_next(FACTS) is NextStep.RETRY


@pytest.mark.parametrize("outcome", [SendOutcome.LOST, SendOutcome.FAILED])
def test_request_that_may_have_run_is_not_retried(outcome):
    """Guards against duplicate execution, such as one coach set booked on two lathes.

    The answer of a target that had made the booking was lost, and the request was
    retried as if it had not run.
    """
    facts = replace(FACTS, repeatable=False, outcome=outcome, max_attempts=5)
    assert decide_next(facts) is NextStep.GIVE_UP


def test_rejected_request_is_retried_at_another_target():
    facts = replace(FACTS, repeatable=False, outcome=SendOutcome.REJECTED)
    assert decide_next(facts) is NextStep.RETRY


def test_attempts_are_bounded():
    assert decide_next(replace(FACTS, deliveries=2)) is NextStep.GIVE_UP


@pytest.mark.parametrize(
    ("outcome", "step"),
    [
        (SendOutcome.UNSENT, NextStep.SEND),
        # a target received it, so the retry budget is charged
        (SendOutcome.MISDIRECTED, NextStep.RETRY),
    ],
)
def test_request_that_did_not_run_is_sent_to_another_target(outcome, step):
    facts = replace(
        FACTS, repeatable=False, outcome=outcome, deliveries=0, max_attempts=1
    )
    assert decide_next(facts) is step


def test_sends_that_reach_no_target_are_bounded():
    facts = replace(FACTS, outcome=SendOutcome.UNSENT, deliveries=0, unsent=4)
    assert decide_next(facts) is NextStep.GIVE_UP


def test_nothing_is_sent_after_the_deadline():
    assert decide_next(replace(FACTS, remaining=0.005)) is NextStep.GIVE_UP


@pytest.mark.parametrize("outcome", list(SendOutcome))
def test_only_unsent_or_rejected_requests_certainly_did_not_run(outcome):
    proved = {SendOutcome.UNSENT, SendOutcome.MISDIRECTED, SendOutcome.REJECTED}
    assert outcome.proves_not_run == (outcome in proved)
