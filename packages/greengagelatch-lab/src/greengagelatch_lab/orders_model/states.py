"""States of the model of orders to one engine."""

from __future__ import annotations

import dataclasses
from dataclasses import dataclass, field
from typing import Any

from greengagelatch.leases.state import LeaseState, LeaseStep
from greengagelatch.orders import EngineState, Order
from greengagelatch.orders.engine import EngineRecord
from greengagelatch.store import ABSENT

__all__ = (
    "Call",
    "Contender",
    "Delivery",
    "Engine",
    "FaultBudget",
    "OrdersState",
    "StoreState",
    "replace_contender",
    "spend_budget",
)

UNREAD_RECORD = EngineRecord()
EMPTY_ENGINE_STATE = EngineState()


@dataclass(frozen=True, slots=True, kw_only=True)
class FaultBudget:
    """How often each fault may occur in one run, and how long a run may last."""

    #: duration of a run
    ticks: int
    #: leases requested from the store
    grants: int = 1
    #: renewals
    renewals: int = 0
    #: calls to the store whose answer is lost; a call that has not reached the
    #: store may do so at any later time, or never
    lost_calls: int = 0
    #: orders that are lost in transit, or whose answer is lost
    lost_orders: int = 0
    #: leases that are released to another instance
    releases: int = 0
    crashes: int = 0


@dataclass(frozen=True, slots=True)
class Call:
    """A call to the store, and its answer once the store has handled it."""

    step: LeaseStep
    lease_id: str
    value: bytes
    answer: Any = None


@dataclass(frozen=True, slots=True)
class Contender:
    """An entry instance that contends for the lease."""

    lease_state: LeaseState
    alive: bool = True
    call: Call | None = None
    record: EngineRecord = UNREAD_RECORD
    #: order that is waiting for its connection
    planned: Order | None = None
    #: order whose answer is awaited
    awaited: Order | None = None


@dataclass(frozen=True, slots=True)
class Delivery:
    """An order in transit or being executed, until the tick ``until`` at the latest."""

    order: Order
    sender: int
    until: int


@dataclass(frozen=True, slots=True)
class Engine:
    """The engine, with the orders in transit to it."""

    state: EngineState = EMPTY_ENGINE_STATE
    fence: int = ABSENT
    #: highest fencing token received; ``fence`` is that of the last order executed
    highest_fence: int = ABSENT
    in_transit: tuple[Delivery, ...] = ()
    running: tuple[Delivery, ...] = ()


@dataclass(frozen=True, slots=True)
class StoreState:
    """The store: one key, and leases with the tick at which each expires."""

    value: bytes = b""
    revision: int = ABSENT
    lease_id: str = ""
    writes: int = 0
    granted: int = 0
    leases: tuple[tuple[str, int], ...] = ()


@dataclass(frozen=True, slots=True)
class OrdersState:
    """State of all contenders, the store, the engine and the time."""

    budget: FaultBudget
    contenders: tuple[Contender, ...]
    store: StoreState = StoreState()
    engine: Engine = Engine()
    time: int = 0
    #: calls whose sender no longer waits for the answer
    delayed_calls: tuple[Call, ...] = ()
    #: highest fencing token that a holder has had
    fence: int = ABSENT
    violation: str = ""
    _hash: int = field(default=0, compare=False, repr=False)

    def __hash__(self) -> int:
        # each state is looked up many times, and hashing its nested parts is slow
        if not self._hash:
            parts = tuple(
                getattr(self, name) for name in OrdersState.__slots__ if name != "_hash"
            )
            object.__setattr__(self, "_hash", hash(parts) or 1)
        return self._hash

    def change(self, **changes: Any) -> OrdersState:
        """Return a copy with changes."""
        return dataclasses.replace(self, _hash=0, **changes)


def replace_contender(
    state: OrdersState, number: int, contender: Contender
) -> OrdersState:
    """Return a copy of the state with one contender replaced."""
    contenders = list(state.contenders)
    contenders[number] = contender
    return state.change(contenders=tuple(contenders))


def spend_budget(state: OrdersState, name: str) -> OrdersState:
    """Return a copy of the state with the budget for a fault reduced by one."""
    left = getattr(state.budget, name) - 1
    return state.change(budget=dataclasses.replace(state.budget, **{name: left}))
