"""State-space model of orders to one engine by two lease contenders.

The decisions are those of the production code in :mod:`greengagelatch.leases` and
:mod:`greengagelatch.orders`; the model adds clocks, the network, the store, the engine
and faults. Time advances in whole ticks between steps. A paused process is one that
takes no step while time advances, so pauses need no step of their own.
"""

from __future__ import annotations

from .model import OrdersModel
from .states import FaultBudget, OrdersState

__all__ = ("FaultBudget", "OrdersModel", "OrdersState")
