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


def test_idempotent_request_is_repeated():
    assert decide_next(FACTS) is NextStep.RETRY


@pytest.mark.parametrize("outcome", [SendOutcome.LOST, SendOutcome.FAILED])
def test_request_that_may_have_run_is_not_repeated(outcome):
    """Symptom: one coach set is booked on two lathes.

    Sequence: the target books and its answer is lost; the request is sent again.
    Cause: a lost answer was taken for a request that did not run.
    """
    facts = replace(FACTS, repeatable=False, outcome=outcome, max_attempts=5)
    assert decide_next(facts) is NextStep.GIVE_UP


def test_request_that_was_rejected_may_go_elsewhere():
    facts = replace(FACTS, repeatable=False, outcome=SendOutcome.REJECTED)
    assert decide_next(facts) is NextStep.RETRY


def test_attempts_are_bounded():
    assert decide_next(replace(FACTS, deliveries=2)) is NextStep.GIVE_UP


@pytest.mark.parametrize(
    ("outcome", "step"),
    [
        (SendOutcome.UNSENT, NextStep.SEND),
        # it has arrived somewhere
        (SendOutcome.MISDIRECTED, NextStep.RETRY),
    ],
)
def test_request_that_did_not_run_goes_elsewhere_whatever_its_kind(outcome, step):
    facts = replace(
        FACTS, repeatable=False, outcome=outcome, deliveries=0, max_attempts=1
    )
    assert decide_next(facts) is step


def test_request_that_reaches_nobody_is_given_up_in_the_end():
    facts = replace(FACTS, outcome=SendOutcome.UNSENT, deliveries=0, unsent=4)
    assert decide_next(facts) is NextStep.GIVE_UP


def test_nothing_is_sent_when_the_time_is_over():
    assert decide_next(replace(FACTS, remaining=0.005)) is NextStep.GIVE_UP


@pytest.mark.parametrize("outcome", list(SendOutcome))
def test_only_what_reached_nobody_or_was_rejected_is_proved_not_run(outcome):
    proved = {SendOutcome.UNSENT, SendOutcome.MISDIRECTED, SendOutcome.REJECTED}
    assert outcome.proves_not_run == (outcome in proved)
