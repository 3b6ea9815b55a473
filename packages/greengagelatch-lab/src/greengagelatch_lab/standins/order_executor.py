"""Orders applied by a simulated engine, with or without fencing checks."""

from __future__ import annotations

import asyncio
from dataclasses import asdict, dataclass, field
from typing import Any

from .run_log import read_ms

__all__ = ("EngineState", "OrderExecutor", "OrderRecord")

#: maximum number of orders recorded for checkers
MAX_ORDERS = 10_000


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineState:
    """Loaded models and adapters of an engine, and its role."""

    models: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()
    role: str = "mixed"


@dataclass(frozen=True, slots=True, kw_only=True)
class OrderRecord:
    """One order received by the engine; ``at_ms`` is the wall clock in milliseconds."""

    fence: int
    wanted: EngineState
    accepted: bool
    at_ms: float


@dataclass(slots=True, kw_only=True)
class OrderExecutor:
    """Applies orders to the state of one engine and records them.

    An engine that checks fencing tokens rejects those below the highest it has
    received; one that doesn't applies every order, in order of completion.
    """

    checks: bool
    #: seconds that applying an order takes
    duration: float
    state: EngineState = EngineState()
    #: fencing token of the order that led to ``state``
    fence: int = 0
    orders: list[OrderRecord] = field(default_factory=list)
    _highest_fence: int = 0

    async def apply(self, fence: int, wanted: EngineState) -> bool:
        """Apply ``wanted``; return whether the order was accepted."""
        if self._is_stale(fence):
            self._record(fence, wanted, False)
            return False
        self._highest_fence = max(self._highest_fence, fence)
        await asyncio.sleep(self.duration)
        # a newer order may have arrived in the meantime
        accepted = not self._is_stale(fence)
        self._record(fence, wanted, accepted)
        if accepted:
            self.state = wanted
            self.fence = fence
        return accepted

    @property
    def highest_fence(self) -> int:
        """Highest fencing token received."""
        return self._highest_fence

    def encode(self) -> dict[str, Any]:
        """Return the current state as sent in answers."""
        return {"state": asdict(self.state), "fence": self.fence}

    def _is_stale(self, fence: int) -> bool:
        return self.checks and fence < self._highest_fence

    def _record(self, fence: int, wanted: EngineState, accepted: bool) -> None:
        if len(self.orders) >= MAX_ORDERS:
            return
        order = OrderRecord(
            fence=fence, wanted=wanted, accepted=accepted, at_ms=read_ms()
        )
        self.orders.append(order)
