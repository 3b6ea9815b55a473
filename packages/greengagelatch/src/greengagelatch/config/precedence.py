"""The total order of policies: which one wins where several match.

Of all policies with one effect that match, the first in this order is taken whole;
nothing is merged from the others:

1. the higher ``rank``;
2. at equal rank the one with more requirements in its three selectors together, as
   the more specific one;
3. at equal size the one whose name comes first by code point. Names are unique, so
   that no two policies are ever equal.
"""

from __future__ import annotations

from collections.abc import Iterable

from .objects import Policy
from .selectors import parse_selector

__all__ = ("count_requirements", "order_policies")


def count_requirements(policy: Policy) -> int:
    """Return the number of requirements in a policy's selectors together."""
    count = 0
    for text in (policy.workspaces, policy.pipelines, policy.services):
        selector = parse_selector(text)
        if selector.is_ok():
            count += len(selector.ok_value.requirements)
    return count


def order_policies(policies: Iterable[Policy]) -> tuple[Policy, ...]:
    """Return policies so that an earlier one wins over a later one."""
    return tuple(sorted(policies, key=_get_sort_key))


def _get_sort_key(policy: Policy) -> tuple[int, int, str]:
    return (-policy.rank, -count_requirements(policy), policy.name)
