"""Tests of attempts, of what is remembered of them, and of policies for outages."""

from __future__ import annotations

import pytest

from greengagelatch.claims import Token
from greengagelatch.claims.attempt import MAX_ROUNDS, Action, Attempt, choose_candidates
from greengagelatch.claims.operations import Acquire, OperationResult, ResultKind
from greengagelatch.claims.outage import Outage, RetryAfter, RetryThenRefuse
from greengagelatch.claims.registry import AttemptRecord, AttemptRegistry, AttemptState
from greengagelatch.claims.scope import create_key, rank_instances
from greengagelatch.verdict import Verdict

KEY = b"k" * 16
OWN = Token("a", 1, 1)
OTHER = Token("b", 1, 1)
HELD = OperationResult(ResultKind.HELD, OTHER)


def begin(*ways: str) -> Attempt:
    return Attempt(operation=Acquire(KEY, b"d" * 8, OWN)).handle_candidates(ways)


def create_registry(**changes: object) -> AttemptRegistry:
    bounds = {"retention": 100, "max_records": 3, "max_bytes": 100, **changes}
    return AttemptRegistry(**bounds)


@pytest.mark.parametrize(
    ("ranked", "ways"),
    [
        (("a", "b", "c", "d"), ("a", "b", "c")),
        (("b", "c", "a", "d", "e"), ("b", "a", "c", "d")),
        ((), ("a",)),
    ],
)
def test_ways_begin_with_the_usual_writer(ranked, ways):
    assert choose_candidates("a", ranked) == ways


def test_all_ways_are_tried_before_the_store_counts_as_out_of_reach():
    attempt = begin("b", "a")
    attempt = attempt.handle_result(None)
    assert (attempt.action, attempt.candidate) == (Action.ACQUIRE, "a")
    attempt = attempt.handle_result(OperationResult(ResultKind.UNREACHABLE))
    assert attempt.action is Action.STORE_UNREACHABLE
    # the first instance may still commit it
    assert attempt.maybe_committed


def test_key_that_is_lost_again_and_again_is_given_up():
    attempt = begin("a")
    for _ in range(MAX_ROUNDS):
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
def test_repeat_ends_by_what_is_known_of_the_holder(record, action):
    assert begin("a").handle_result(HELD).handle_holder(record).action is action


def test_attempt_that_was_given_up_never_starts():
    """A claim is granted after its request was refused as not run.

    Symptom: the request runs although its caller was told that it had not.
    Sequence: the request is given up; a repeat takes the key over on that word; the
    grant of the first claim arrives.
    Cause: a grant says nothing of what became of the request meanwhile.
    """
    registry = create_registry()
    registry.open(OWN, KEY, b"d" * 8, 0)
    registry.give_back(OWN, 1)
    assert not registry.start(OWN, 2)
    assert not registry.start(OTHER, 2)
    assert registry.find(OWN).state is AttemptState.GIVEN_BACK


def test_registry_is_bounded_and_forgets_the_oldest():
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


def test_keys_of_different_callers_never_meet():
    texts = [("ab", "c", "k"), ("a", "bc", "k"), ("a", "b", "ck"), ("", "abc", "k")]
    assert len({create_key(*parts) for parts in texts}) == len(texts)


def test_lost_instance_moves_only_its_own_shards():
    names = [f"instance-{number}" for number in range(9)]
    shards = [f"claims/{number}/head" for number in range(200)]
    before = {shard: rank_instances(shard, names)[0] for shard in shards}
    left = [name for name in names if name != "instance-4"]
    after = {shard: rank_instances(shard, left)[0] for shard in shards}
    moved = {shard for shard in shards if before[shard] != after[shard]}
    assert moved == {shard for shard in shards if before[shard] == "instance-4"}
    assert all(list(before.values()).count(name) > 8 for name in names)


@pytest.mark.parametrize(
    ("elapsed", "down_for", "retries"),
    [(0.1, 0.5, True), (2.6, 0.5, False), (0.1, 6.0, False)],
)
def test_outage_is_waited_out_while_it_is_young(elapsed, down_for, retries):
    outage = Outage(
        first_attempt=True,
        elapsed=elapsed,
        remaining=5 - elapsed,
        store_silent_for=down_for,
    )
    decision = RetryThenRefuse().decide(outage)
    assert isinstance(decision, RetryAfter) is retries
    if not retries:
        assert decision.verdict is Verdict.NOT_RUN
