"""Model of orders to one engine: every interleaving of two contenders and faults.

The decisions are those of the real code in :mod:`greengagelatch.leases` and
:mod:`greengagelatch.orders`; the model adds clocks, the network, the store, the engine
and what may go wrong. Time passes in whole ticks between any two steps. A process that
is paused is one that takes no step while ticks pass, so pauses need no step of their
own.
"""

from __future__ import annotations

from .model import OrdersModel
from .world import Budget, OrdersWorld

__all__ = ("Budget", "OrdersModel", "OrdersWorld")
