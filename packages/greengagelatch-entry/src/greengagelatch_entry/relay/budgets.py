"""Budgets of repeats, one for each service."""

from __future__ import annotations

from typing import TYPE_CHECKING

from greengagelatch.relay.retry_budget import RetryBudget

if TYPE_CHECKING:
    from collections.abc import Callable

    from greengagelatch.clock import Clock
    from greengagelatch.relay.retry_budget import RetryBudgetRule

__all__ = ("RepeatBudgets",)


class RepeatBudgets:
    """This instance's repeats to all services.

    :param count_instances: returns how many instances share the budgets
    """

    def __init__(
        self, *, rule: RetryBudgetRule, clock: Clock, count_instances: Callable[[], int]
    ) -> None:
        self._rule = rule
        self._clock = clock
        self._count_instances = count_instances
        self._budgets: dict[str, RetryBudget] = {}

    def note_request(self, service: str) -> None:
        """Count a request for ``service``."""
        self._find(service).record_request(self._clock.now())

    def take(self, service: str) -> bool:
        """Spend one repeat; ``False`` if none is left."""
        return self._find(service).take(self._clock.now(), self._count_instances())

    def count_left(self, service: str) -> int:
        """Return how many repeats may be spent now."""
        budget = self._find(service)
        return budget.count_left(self._clock.now(), self._count_instances())

    def _find(self, service: str) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = RetryBudget(self._rule)
        return budget
