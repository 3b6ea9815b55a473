"""Tests of greengagelatch.load.budgets."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from greengagelatch.load.budgets import Budget, BudgetRule


@given(
    share=st.floats(0.01, 0.5),
    burst=st.integers(1, 20),
    per_second=st.floats(0, 2),
    steps=st.lists(st.tuples(st.floats(0, 1), st.integers(0, 5)), max_size=100),
)
def test_retries_stay_within_their_share(share, burst, per_second, steps):
    """Guards against retries that keep targets overloaded after a fault.

    Any mixture of first attempts and retries at any times must stay within the
    budget, which would fail if it could be overdrawn.
    """
    rule = BudgetRule(share=share, burst=burst, per_second=per_second)
    budget = Budget(rule, 0.0)
    now = 0.0
    extra = 0
    for ordinary, (wait, repeats) in enumerate(steps, start=1):
        now += wait
        budget.record_request(now)
        extra += sum(budget.try_spend(now) for _ in range(repeats))
        assert extra <= burst + share * ordinary + per_second * now + 1e-6
    assert budget.granted == extra
