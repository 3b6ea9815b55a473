"""Tests of attempts, the attempt registry, key ranking and the outage policies."""

from __future__ import annotations

import pytest

from greengagelatch.claims import Token
from greengagelatch.claims.attempt import (
    MAX_TAKEOVERS,
    Action,
    Attempt,
    choose_candidates,
)
from greengagelatch.claims.operations import Acquire, OperationResult, ResultKind
from greengagelatch.claims.outage import (
    Outage,
    RetryAfter,
    RetryThenRefuse,
    StoreContact,
)
from greengagelatch.claims.registry import AttemptRecord, AttemptRegistry, AttemptState
from greengagelatch.claims.sharding import create_key, rank_instances
from greengagelatch.verdict import Verdict

KEY = b"k" * 16
OWN = Token("a", 1, 1)
OTHER = Token("b", 1, 1)
HELD = OperationResult(ResultKind.HELD, OTHER)


def create_attempt(*candidates: str) -> Attempt:
    return Attempt(operation=Acquire(KEY, b"d" * 8, OWN)).handle_candidates(candidates)


def create_registry(**changes: object) -> AttemptRegistry:
    limits = {"retention": 100, "max_records": 3, "max_bytes": 100, **changes}
    return AttemptRegistry(**limits)


@pytest.mark.parametrize(
    ("ranked", "candidates"),
    [
        (("a", "b", "c", "d"), ("a", "b", "c")),
        (("b", "c", "a", "d", "e"), ("b", "a", "c", "d")),
        ((), ("a",)),
    ],
)
def test_candidates_begin_with_the_preferred_writer(ranked, candidates):
    assert choose_candidates("a", ranked) == candidates


def test_all_candidates_are_tried_before_the_store_counts_as_unreachable():
    attempt = create_attempt("b", "a")
    attempt = attempt.handle_result(None)
    assert (attempt.action, attempt.candidate) == (Action.ACQUIRE, "a")
    attempt = attempt.handle_result(OperationResult(ResultKind.UNREACHABLE))
    assert attempt.action is Action.STORE_UNREACHABLE
    # the first candidate may still commit the operation
    assert attempt.maybe_committed


def test_attempt_is_refused_after_too_many_lost_takeovers():
    attempt = create_attempt("a")
    for _ in range(MAX_TAKEOVERS):
        attempt = attempt.handle_result(HELD)
        attempt = attempt.handle_holder(AttemptRecord(AttemptState.GIVEN_BACK))
        assert attempt.operation.replaces == OTHER
        attempt = attempt.handle_candidates(("a",))
    attempt = attempt.handle_result(HELD)
    attempt = attempt.handle_holder(AttemptRecord(AttemptState.GIVEN_BACK))
    assert attempt.action is Action.REFUSE_UNSETTLED


@pytest.mark.parametrize(
    ("record", "action"),
    [
        (None, Action.REFUSE_UNSETTLED),
        (AttemptRecord(AttemptState.RUNNING), Action.REFUSE_IN_PROGRESS),
        (AttemptRecord(AttemptState.FINISHED, b"x"), Action.REPLAY),
        (AttemptRecord(AttemptState.FINISHED), Action.REFUSE_UNSETTLED),
    ],
)
def test_action_for_a_repeat_follows_the_holders_record(record, action):
    assert (
        create_attempt("a").handle_result(HELD).handle_holder(record).action is action
    )


def test_attempt_that_was_given_back_never_starts():
    """A claim is granted after its request was refused as not run.

    Guards against a request that runs although its caller was told that it did not.
    After the refusal a repeat takes over the key, and then the grant of the first
    claim arrives; the grant alone must not start the run.
    """
    registry = create_registry()
    registry.open(OWN, KEY, b"d" * 8, 0)
    registry.give_back(OWN, 1)
    assert not registry.start(OWN, 2)
    assert not registry.start(OTHER, 2)
    assert registry.find(OWN).state is AttemptState.GIVEN_BACK


def test_registry_is_bounded_and_evicts_the_oldest():
    registry = create_registry()
    for serial in range(5):
        token = Token("a", 1, serial)
        registry.open(token, bytes([serial]) * 16, b"d" * 8, serial)
        assert registry.start(token, serial)
        registry.finish(token, b"x" * 40, serial)
    assert registry.size == 80
    assert registry.counts == (0, 2)
    assert registry.find_granted(bytes([0]) * 16) is None
    assert registry.find_granted(bytes([4]) * 16) == Token("a", 1, 4)
    registry.expire(4 + 101)
    assert (registry.size, registry.counts) == (0, (0, 0))
    assert registry.find_granted(bytes([4]) * 16) is None


def test_keys_of_different_callers_never_collide():
    texts = [("ab", "c", "k"), ("a", "bc", "k"), ("a", "b", "ck"), ("", "abc", "k")]
    assert len({create_key(*parts) for parts in texts}) == len(texts)


def test_removed_instance_moves_only_its_own_shards():
    names = [f"instance-{number}" for number in range(9)]
    shards = [f"claims/{number}/head" for number in range(200)]
    before = {shard: rank_instances(shard, names)[0] for shard in shards}
    remaining = [name for name in names if name != "instance-4"]
    after = {shard: rank_instances(shard, remaining)[0] for shard in shards}
    moved = {shard for shard in shards if before[shard] != after[shard]}
    assert moved == {shard for shard in shards if before[shard] == "instance-4"}
    assert all(list(before.values()).count(name) > 8 for name in names)


def test_silence_of_the_store_counts_from_the_first_unanswered_call():
    contact = StoreContact()
    assert contact.measure_silence(100.0) == 0.0
    contact.record(answered=False, now=100.0)
    contact.record(answered=False, now=103.0)
    assert contact.measure_silence(104.0) == 4.0
    contact.record(answered=True, now=104.0)
    assert contact.measure_silence(200.0) == 0.0


@pytest.mark.parametrize(
    ("elapsed", "silent_for", "retries"),
    [(0.1, 0.5, True), (2.6, 0.5, False), (0.1, 6.0, False)],
)
def test_requests_are_retried_early_in_an_outage(elapsed, silent_for, retries):
    outage = Outage(
        first_attempt=True,
        elapsed=elapsed,
        remaining=5 - elapsed,
        store_silent_for=silent_for,
    )
    decision = RetryThenRefuse().decide(outage)
    assert isinstance(decision, RetryAfter) is retries
    if not retries:
        assert decision.verdict is Verdict.NOT_RUN
