"""Retry budgets, one for each service."""

from __future__ import annotations

from typing import TYPE_CHECKING

from greengagelatch.relay.retry_budget import RetryBudget

if TYPE_CHECKING:
    from collections.abc import Callable

    from greengagelatch.clock import Clock
    from greengagelatch.relay.retry_budget import RetryBudgetRule

__all__ = ("RetryBudgets",)


class RetryBudgets:
    """Limits the retries that this instance sends to each service.

    :param count_instances: returns the number of instances that share the budgets
    """

    def __init__(
        self, *, rule: RetryBudgetRule, clock: Clock, count_instances: Callable[[], int]
    ) -> None:
        self._rule = rule
        self._clock = clock
        self._count_instances = count_instances
        self._budgets: dict[str, RetryBudget] = {}

    def record_request(self, service: str) -> None:
        """Credit the budget of ``service`` with one request."""
        self._get_budget(service).record_request(self._clock.now())

    def try_spend(self, service: str) -> bool:
        """Spend one retry; return ``False`` if the budget is exhausted."""
        return self._get_budget(service).take(
            self._clock.now(), self._count_instances()
        )

    def count_left(self, service: str) -> int:
        """Return the number of retries that the budget allows now."""
        budget = self._get_budget(service)
        return budget.count_left(self._clock.now(), self._count_instances())

    def _get_budget(self, service: str) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = RetryBudget(self._rule)
        return budget
