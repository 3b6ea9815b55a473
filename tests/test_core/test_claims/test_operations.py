"""Tests of the expiry, give-back and takeover of claims."""

from __future__ import annotations

import pytest

from greengagelatch.claims import Token
from greengagelatch.claims.head import Head, ShardLimits, ShardView
from greengagelatch.claims.operations import (
    Acquire,
    GiveBack,
    ResultKind,
    create_plan,
)

LIMITS = ShardLimits(
    retention=100, clock_margin=50, head_claims=8, segment_claims=8, segments=2
)
KEY = b"k" * 16
FIRST = Token("a", 1, 1)
SECOND = Token("b", 1, 1)


def claim(token: Token, **changes: object) -> Acquire:
    return Acquire(KEY, b"d" * 8, token, **changes)


def apply(head: Head, *operations: object, now: int = 1000):
    return create_plan(
        ShardView(head, 1), operations, batch_id=b"1", now=now, limits=LIMITS
    )


def test_clock_that_is_fast_within_the_margin_expires_nothing():
    """An instance's clock is ahead of the clock of the instance that claimed.

    Guards against a second run of a repeat within the retention. Instance a claims a
    key; b, whose clock is 50 s ahead, prunes the head 100 s later. The expiry is a
    time of a's clock, so b has to allow for the margin.
    """
    head = apply(Head(), claim(FIRST)).head
    held = apply(head, claim(SECOND), now=1000 + 100 + 50)
    assert held.results[0].kind is ResultKind.HELD
    free = apply(head, claim(SECOND), now=1000 + 100 + 51)
    assert free.results[0].kind is ResultKind.GRANTED
    assert [one.token for one in free.head.claims] == [SECOND]


def test_claim_of_a_slow_clock_expires_by_the_fastest_one_recorded():
    head = apply(Head(), claim(FIRST), now=1000).head
    other = Acquire(b"o" * 16, b"d" * 8, SECOND)
    head = apply(head, other, now=900).head
    assert head.claims[-1].expires_at == 1000 + LIMITS.retention


def test_late_give_back_keeps_the_newer_claim():
    """A give-back is delayed until another attempt holds the key.

    Guards against a third attempt that runs concurrently with the second. The first
    attempt is given back through two writers; the second attempt claims the key, and
    then the other give-back arrives. It must match the token, not only the key.
    """
    head = apply(Head(), claim(FIRST), GiveBack(KEY, FIRST), claim(SECOND)).head
    late = apply(head, GiveBack(KEY, FIRST))
    assert late.results[0].kind is ResultKind.HELD
    assert not late.changed


def test_key_is_taken_over_only_from_the_confirmed_attempt():
    head = apply(Head(), claim(FIRST)).head
    refused = apply(head, claim(SECOND, replaces=Token("a", 1, 9)))
    assert refused.results[0].kind is ResultKind.HELD
    granted = apply(head, claim(SECOND, replaces=FIRST))
    assert granted.results[0].kind is ResultKind.GRANTED


def test_full_shard_refuses_claims_and_keeps_the_others():
    operations = [
        Acquire(bytes([number]) * 16, b"d" * 8, Token("a", 1, number))
        for number in range(2 * LIMITS.head_claims + 1)
    ]
    plan = create_plan(
        ShardView(Head(), 1),
        tuple(operations),
        batch_id=b"1",
        now=1000,
        limits=LIMITS,
        seal=False,
    )
    kinds = [result.kind for result in plan.results]
    assert kinds[:-1] == [ResultKind.GRANTED] * 2 * LIMITS.head_claims
    assert kinds[-1] is ResultKind.FULL


@pytest.mark.parametrize("known", [True, False])
def test_give_back_of_an_unknown_claim_changes_nothing(known):
    head = apply(Head(), claim(SECOND)).head if known else Head()
    assert not apply(head, GiveBack(KEY, FIRST)).changed
