"""Whether an order may be sent at this very moment."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .rules import Fencing

if TYPE_CHECKING:
    from ..leases.instants import Instant
    from ..leases.state import LeaseState
    from . import Order
    from .rules import OrderRules

__all__ = ("has_turn", "may_send")


def has_turn(
    tenure: LeaseState, now: Instant, *, rules: OrderRules, fencing: Fencing
) -> bool:
    """Whether the holder of ``tenure`` may give orders.

    What is left of the lease must cover the call, so that an order has reached its
    engine, or never will, by the time the next holder can begin. An engine that
    ignores numbers may still be carrying out the former holder's order then, and it
    would undo the new holder's one: hence the wait.
    """
    if not tenure.covers(now, rules.timeout):
        return False
    return fencing is Fencing.CHECKED or tenure.has_outlasted_predecessor(
        now, rules.longest
    )


def may_send(
    tenure: LeaseState | None,
    order: Order,
    now: Instant,
    *,
    rules: OrderRules,
    fencing: Fencing,
) -> bool:
    """Whether ``order`` may be sent now, under the lease it was planned for.

    It is asked right before the first byte: a process may have been paused since
    the order was planned, and another instance may have become the holder.
    """
    if tenure is None or not tenure.held or tenure.fence != order.fence:
        return False
    return has_turn(tenure, now, rules=rules, fencing=fencing)
