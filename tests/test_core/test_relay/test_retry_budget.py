"""Tests of greengagelatch.relay.retry_budget."""

from __future__ import annotations

from greengagelatch.relay.retry_budget import RetryBudget, RetryBudgetRule

RULE = RetryBudgetRule(ratio=0.2, slack=58.0, window=10.0)


def spend(budget: RetryBudget, now: float, instances: int) -> int:
    count = 0
    while budget.take(now, instances):
        count += 1
    return count


def test_all_instances_together_keep_to_the_bound():
    """Guards against a retry storm that doubles the load of failing targets.

    Every call to a service failed at all instances at the same time, and each of them
    used the whole budget.
    """
    for instances in (1, 9, 60, 77):
        total = 0
        for _ in range(instances):
            budget = RetryBudget(RULE)
            for _ in range(20):
                budget.record_request(0.0)
            total += spend(budget, 0.0, instances)
        assert total <= RULE.ratio * 20 * instances + RULE.slack + instances


def test_instance_without_traffic_may_retry_once():
    assert spend(RetryBudget(RULE), 0.0, 77) == 1


def test_budget_is_restored_after_the_window():
    budget = RetryBudget(RULE)
    assert spend(budget, 0.0, 9) > 0
    assert not budget.take(9.9, 9)
    assert budget.take(10.1, 9)


def test_requests_of_an_earlier_window_do_not_count():
    budget = RetryBudget(RULE)
    for _ in range(100):
        budget.record_request(0.0)
    assert budget.count_left(0.0, 77) > budget.count_left(10.1, 77)
