"""Simulated inference engines that apply orders and record them."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

__all__ = ("Engine", "EngineOrder")

#: seconds that an order takes; less than the setting ``orders.longest``
ORDER_SECONDS = 0.6
STATUS_OK = 200
STATUS_OLD_FENCE = 409


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineOrder:
    """An order applied by an engine; times are loop time in seconds."""

    target: str
    fence: int
    models: tuple[str, ...]
    arrived: float
    done: float


class Engine:
    """Applies orders.

    :param checks_fence: whether orders with a stale fencing token are rejected
    :param on_order: called with each order once it was applied
    """

    def __init__(
        self,
        *,
        target_id: str,
        checks_fence: bool,
        on_order: Callable[[EngineOrder], None],
    ) -> None:
        self.models: tuple[str, ...] = ()
        self._target_id = target_id
        self._checks_fence = checks_fence
        self._on_order = on_order
        self._fence = 0
        self._highest = 0

    def describe(self) -> bytes:
        """Return the response body of ``GET /orders``."""
        state = {"models": self.models, "adapters": [], "role": ""}
        return json.dumps({"state": state, "fence": self._fence}).encode()

    async def apply(
        self, order: Mapping[str, Any], answer: Callable[[int, bytes, bool], None]
    ) -> None:
        """Apply one order and respond to it."""
        loop = asyncio.get_running_loop()
        arrived = loop.time()
        fence = order["fence"]
        if self._is_old(fence):
            answer(
                STATUS_OLD_FENCE, json.dumps({"fence": self._highest}).encode(), True
            )
            return
        self._highest = max(self._highest, fence)
        await asyncio.sleep(ORDER_SECONDS)
        if self._is_old(fence):
            answer(
                STATUS_OLD_FENCE, json.dumps({"fence": self._highest}).encode(), True
            )
            return
        self.models = tuple(order["wanted"]["models"])
        self._fence = fence
        self._on_order(
            EngineOrder(
                target=self._target_id,
                fence=fence,
                models=self.models,
                arrived=arrived,
                done=loop.time(),
            )
        )
        answer(STATUS_OK, self.describe(), True)

    def _refuse(self, answer: Callable[[int, bytes, bool], None]) -> None:
        answer(STATUS_OLD_FENCE, json.dumps({"fence": self._highest}).encode(), True)

    def _is_old(self, fence: int) -> bool:
        return self._checks_fence and fence < self._highest
