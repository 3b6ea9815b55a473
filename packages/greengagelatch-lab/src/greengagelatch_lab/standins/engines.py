"""In-process order client and engines with fault injection."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from greengagelatch.orders import (
    EngineReport,
    EngineState,
    Order,
    OrderAnswer,
    OrderClient,
    OrderGuard,
    OrderOutcome,
)

from .order_executor import EngineState as AppliedState
from .order_executor import OrderExecutor

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from greengagelatch.targets import Target

__all__ = ("MemoryEngines",)


class MemoryEngines(OrderClient):
    """Sends orders to simulated engines in the same process.

    :param checks: whether the engines reject orders with stale fencing tokens
    :param duration: seconds that an engine takes to apply an order
    """

    def __init__(self, *, checks: bool = False, duration: float = 1.0) -> None:
        self.checks = checks
        self.duration = duration
        #: number of upcoming orders that are applied and whose answers are lost
        self.lose_answers = 0
        #: ids of targets that refuse connections
        self.unreachable: set[str] = set()
        #: awaited with the order once connected, immediately before the guard is called
        self.before_send: Callable[[Order], Awaitable[None]] | None = None
        self.reads = 0
        self._executors: dict[str, OrderExecutor] = {}
        self._running: set[asyncio.Task[bool]] = set()

    def find_executor(self, target_id: str) -> OrderExecutor:
        """Return the order log and state of one engine."""
        if target_id not in self._executors:
            self._executors[target_id] = OrderExecutor(
                checks=self.checks, duration=self.duration
            )
        return self._executors[target_id]

    async def send(
        self, target: Target, order: Order, guard: OrderGuard
    ) -> OrderAnswer:
        if target.target_id in self.unreachable:
            return OrderAnswer(outcome=OrderOutcome.NOT_SENT)
        if self.before_send is not None:
            await self.before_send(order)
        if not guard():
            return OrderAnswer(outcome=OrderOutcome.NOT_SENT)
        wanted = AppliedState(
            models=order.desired.models,
            adapters=order.desired.adapters,
            role=order.desired.role,
        )
        executor = self.find_executor(target.target_id)
        run = asyncio.create_task(executor.apply(order.fence, wanted))
        self._running.add(run)
        run.add_done_callback(self._running.discard)
        if self.lose_answers > 0:
            self.lose_answers -= 1
            return OrderAnswer(outcome=OrderOutcome.UNKNOWN)
        accepted = await asyncio.shield(run)
        outcome = OrderOutcome.DONE if accepted else OrderOutcome.OLD_FENCE
        return OrderAnswer(outcome=outcome)

    async def read(self, target: Target) -> Result[EngineReport, str]:
        self.reads += 1
        if target.target_id in self.unreachable:
            return Err("target unreachable")
        executor = self.find_executor(target.target_id)
        state = EngineState(
            models=executor.state.models,
            adapters=executor.state.adapters,
            role=executor.state.role,
        )
        return Ok(EngineReport(state, executor.fence))
