"""Checks whether a lease permits an order to be sent now."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .rules import Fencing

if TYPE_CHECKING:
    from ..leases.instants import Instant
    from ..leases.state import LeaseState
    from . import Order
    from .rules import OrderRules

__all__ = ("may_order", "may_send")


def may_order(
    lease_state: LeaseState, now: Instant, *, rules: OrderRules, fencing: Fencing
) -> bool:
    """Whether the holder of ``lease_state`` may send orders.

    The remaining time of the lease must cover the call, so that an order reaches its
    engine before the next holder can start, or never. An engine that ignores fencing
    numbers may still be carrying out the former holder's order at that time, which
    would overwrite the new holder's; a new holder therefore waits for it to end.
    """
    if not lease_state.covers(now, rules.timeout):
        return False
    return fencing is Fencing.CHECKED or lease_state.has_outlasted_predecessor(
        now, rules.max_execution
    )


def may_send(
    lease_state: LeaseState | None,
    order: Order,
    now: Instant,
    *,
    rules: OrderRules,
    fencing: Fencing,
) -> bool:
    """Whether ``order`` may be sent now, under the lease it was planned for.

    The check is made immediately before the first byte is sent: the process may have
    been paused since the order was planned, and another instance may hold the lease.
    """
    if lease_state is None or not lease_state.held or lease_state.fence != order.fence:
        return False
    return may_order(lease_state, now, rules=rules, fencing=fencing)
