"""Tests of greengagelatch.relay.outcomes."""

from __future__ import annotations

import random
from dataclasses import replace
from functools import partial

import pytest

from greengagelatch.relay.outcomes import (
    NextStep,
    RetryContext,
    SendOutcome,
    SilenceDecision,
    decide_next,
    decide_on_silence,
)
from greengagelatch.relay.retry_budget import RetryBudget, RetryBudgetRule

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


@pytest.mark.parametrize(
    ("changes", "targets", "retries", "decision"),
    [
        ({}, 1, 1, SilenceDecision.LEAVE),
        ({}, 0, 1, SilenceDecision.NO_TARGET),
        ({}, 1, 0, SilenceDecision.NO_BUDGET),
        ({"deliveries": 2}, 1, 1, SilenceDecision.NO_ATTEMPT),
        ({"repeatable": False}, 1, 1, SilenceDecision.NO_ATTEMPT),
        ({"remaining": 0.0}, 1, 1, SilenceDecision.NO_TIME),
        ({"min_seconds": 1.0}, 1, 1, SilenceDecision.NO_TIME),
    ],
)
def test_silent_target_is_left_only_for_a_retry(changes, targets, retries, decision):
    """Guards against giving up an answer that would come for none at all."""
    facts = replace(FACTS, **changes)
    taken = decide_on_silence(facts, count_targets=lambda: targets, retries=retries)
    assert taken is decision


@pytest.mark.parametrize(("deliveries", "retries"), [(2, 1), (1, 0)])
def test_targets_are_counted_only_if_a_retry_is_allowed(deliveries, retries):
    """Guards against an instance that is busy counting targets in an overload.

    Each request that waits for a silent target asks several times a second.
    """

    def count_targets() -> int:
        pytest.fail("targets were counted")

    facts = replace(FACTS, deliveries=deliveries)
    decide_on_silence(facts, count_targets=count_targets, retries=retries)


@pytest.mark.parametrize("seed", range(50))
def test_request_that_leaves_a_silent_target_is_always_sent_again(seed):
    """Guards against requests given up between two rules that disagree.

    Requests wait at silent targets and ask again and again, while others come, retries
    are spent, and healthy targets come and go.
    """
    source = random.Random(seed)
    budget = RetryBudget(RetryBudgetRule(ratio=0.1, slack=2.0, window=5.0))
    for tick in range(200):
        now = tick * 0.25
        targets = source.choice((0, 0, 1, 3))
        if source.random() < 0.5:
            budget.record_request(now)
        for _ in range(source.randrange(4)):
            facts = replace(
                FACTS,
                repeatable=source.random() < 0.8,
                deliveries=source.randint(1, 3),
                max_attempts=source.randint(1, 3),
                remaining=source.choice((0.0, 0.2, 5.0)),
            )
            retries = budget.count_left(now, 1)
            decision = decide_on_silence(
                facts, count_targets=partial(int, targets), retries=retries
            )
            if decision is not SilenceDecision.LEAVE:
                continue
            assert decide_next(facts) is NextStep.RETRY
            assert targets
            assert budget.take(now, 1)
