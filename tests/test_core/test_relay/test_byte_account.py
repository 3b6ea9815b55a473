"""Tests of greengagelatch.relay.byte_account."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from greengagelatch.relay.byte_account import (
    ByteAccount,
    ByteAccountRule,
    HoldingKind,
    create_account_rule,
)

RULE = ByteAccountRule(limit=1000, small_bytes=10, small_share=0.25)
MEGABYTE = 1_000_000

STEPS = st.lists(
    st.tuples(
        st.sampled_from(["open", "grow", "wait", "cancel", "shrink", "release"]),
        st.integers(0, 20),
        st.integers(0, 800),
    ),
    max_size=60,
)


def check(account: ByteAccount, holdings: list) -> None:
    assert account.total == sum(one.size for one in holdings)
    assert account.total == sum(account.held.values())
    assert account.total <= RULE.limit
    large = [one.size for one in holdings if one.size > RULE.small_bytes]
    assert sum(large) <= RULE.large_limit


@given(STEPS)
def test_sum_of_holdings_is_never_above_the_limits(steps):
    """Guards against a sum that differs from its parts, or exceeds its limit."""
    account = ByteAccount(RULE)
    holdings, pending = [account.open(HoldingKind.REQUESTS)], []
    for step, number, size in steps:
        holding = holdings[number % len(holdings)]
        match step:
            case "open":
                holdings.append(account.open(list(HoldingKind)[number % 2]))
            case "grow":
                holding.try_grow(size)
            case "wait":
                pending.append(holding.wait_to_grow(size, lambda: None))
            case "cancel" if pending:
                pending.pop(number % len(pending)).cancel()
            case "shrink":
                holding.shrink(size)
            case "release":
                holding.release()
        check(account, holdings)
    for growth in pending:
        growth.cancel()
    for holding in holdings:
        holding.release()
    assert account.total == 0
    assert account.count_pending() == 0


@given(st.lists(st.integers(11, 750), min_size=1, max_size=20))
def test_all_that_wait_are_granted_in_order(sizes):
    """Guards against growth that waits for ever beside others."""
    account = ByteAccount(RULE)
    first = account.open(HoldingKind.RESPONSES)
    assert first.try_grow(750)
    granted, holdings = [], []
    for number, size in enumerate(sizes):
        holding = account.open(HoldingKind.REQUESTS)
        holdings.append(holding)
        holding.wait_to_grow(size, lambda number=number: granted.append(number))
    first.release()
    while holdings:
        holdings.pop(0).release()
    assert granted == list(range(len(sizes)))


def test_large_holding_does_not_overtake_one_that_waits():
    account = ByteAccount(RULE)
    first, second, third, small = (account.open(HoldingKind.REQUESTS) for _ in range(4))
    assert first.try_grow(700)
    second.wait_to_grow(100, lambda: None)
    assert not third.try_grow(20)
    assert small.try_grow(10)
    first.release()
    assert second.size == 100
    assert third.try_grow(20)


def test_small_holdings_have_room_beside_large_ones():
    """Guards against small requests that are refused for the sake of large ones."""
    account = ByteAccount(RULE)
    assert account.open(HoldingKind.REQUESTS).try_grow(750)
    assert not account.open(HoldingKind.REQUESTS).try_grow(11)
    for _ in range(25):
        assert account.open(HoldingKind.REQUESTS).try_grow(10)


def test_growth_of_a_released_holding_is_not_kept():
    """Guards against bytes that nobody gives back."""
    account = ByteAccount(RULE)
    first, second = (account.open(HoldingKind.REQUESTS) for _ in range(2))
    assert first.try_grow(750)
    second.wait_to_grow(100, lambda: None)
    second.release()
    first.release()
    assert account.total == 0
    assert not first.try_grow(1)


def test_limit_leaves_room_for_the_idle_process():
    rule = create_account_rule(300 * MEGABYTE)
    assert 50 * MEGABYTE < rule.limit < 0.75 * 300 * MEGABYTE
    assert create_account_rule(10 * MEGABYTE).limit > 0
    assert create_account_rule(0).limit > 0
