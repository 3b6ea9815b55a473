"""Precedence of policies, a total order.

For each effect, the first matching policy in this order applies as a whole; nothing is
merged from the others:

1. the higher ``rank`` wins;
2. at equal rank, the policy with more requirements in its three selectors together
   wins, as it is more specific;
3. at equal size, the name that sorts first by code point wins. Names are unique, so
   that no two policies compare equal.
"""

from __future__ import annotations

from collections.abc import Iterable

from .objects import Policy
from .selectors import parse_selector

__all__ = ("count_requirements", "order_policies")


def count_requirements(policy: Policy) -> int:
    """Return the total number of requirements in a policy's selectors."""
    count = 0
    for text in (policy.workspaces, policy.pipelines, policy.services):
        selector = parse_selector(text)
        if selector.is_ok():
            count += len(selector.ok_value.requirements)
    return count


def order_policies(policies: Iterable[Policy]) -> tuple[Policy, ...]:
    """Return policies by descending precedence."""
    return tuple(sorted(policies, key=_get_sort_key))


def _get_sort_key(policy: Policy) -> tuple[int, int, str]:
    return (-policy.rank, -count_requirements(policy), policy.name)
