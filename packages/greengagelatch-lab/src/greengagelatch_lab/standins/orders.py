"""Orders to an engine, and what it does about old fencing numbers."""

from __future__ import annotations

import asyncio
from dataclasses import asdict, dataclass, field
from typing import Any

from .record import read_ms

__all__ = ("EngineState", "OrderBook", "OrderRecord")

#: orders kept for checkers
MAX_ORDERS = 10_000


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineState:
    """What an engine has loaded, and its role."""

    models: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()
    role: str = "mixed"


@dataclass(frozen=True, slots=True, kw_only=True)
class OrderRecord:
    """One order that reached the engine; the time is in wall-clock milliseconds."""

    fence: int
    wanted: EngineState
    accepted: bool
    at_ms: float


@dataclass(slots=True, kw_only=True)
class OrderBook:
    """Carries out orders.

    An engine that checks refuses any number below the highest it has seen; one
    that doesn't carries out whatever comes last.
    """

    checks: bool
    #: seconds that an order takes
    duration: float
    state: EngineState = EngineState()
    #: fencing number of the order that led to ``state``
    fence: int = 0
    orders: list[OrderRecord] = field(default_factory=list)
    _highest: int = 0

    async def carry_out(self, fence: int, wanted: EngineState) -> bool:
        """Bring about ``wanted``; whether the order was accepted."""
        if self._is_old(fence):
            self._note(fence, wanted, False)
            return False
        self._highest = max(self._highest, fence)
        await asyncio.sleep(self.duration)
        # a newer order may have come meanwhile
        accepted = not self._is_old(fence)
        self._note(fence, wanted, accepted)
        if accepted:
            self.state = wanted
            self.fence = fence
        return accepted

    @property
    def highest(self) -> int:
        """Highest fencing number seen."""
        return self._highest

    def encode(self) -> dict[str, Any]:
        """Return the present state as answers carry it."""
        return {"state": asdict(self.state), "fence": self.fence}

    def _is_old(self, fence: int) -> bool:
        return self.checks and fence < self._highest

    def _note(self, fence: int, wanted: EngineState, accepted: bool) -> None:
        if len(self.orders) >= MAX_ORDERS:
            return
        order = OrderRecord(
            fence=fence, wanted=wanted, accepted=accepted, at_ms=read_ms()
        )
        self.orders.append(order)
