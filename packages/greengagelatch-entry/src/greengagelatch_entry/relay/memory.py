"""Bytes that this instance holds: reservations, waits for room, and metrics."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from mode import Service

from greengagelatch.relay.byte_account import ByteAccount, HoldingKind

from ..controllers import Controller

if TYPE_CHECKING:
    from greengagelatch.relay.byte_account import ByteAccountRule, ByteHolding

    from ..metric_totals import MetricTotals
    from .decisions import DecisionLog

__all__ = ("MemoryController",)

#: seconds for which a holding waits for room at most
ROOM_WAIT_SECONDS = 1.0
#: maximum number of holdings that wait; each has a connection with unread bytes
MAX_WAITING = 32
#: seconds between two samples
SAMPLE_INTERVAL = 1.0
#: share of the limit under which the memory counts as relieved
RELIEVED_SHARE = 0.5


class MemoryController(Controller):
    """Opens holdings of the account and lets them wait for room.

    A change between enough room and too little is logged with the bytes held, at most
    once for each sample.
    """

    name = "memory"

    def __init__(
        self,
        *,
        rule: ByteAccountRule,
        metrics: MetricTotals,
        decisions: DecisionLog,
    ) -> None:
        super().__init__()
        self._account = ByteAccount(rule)
        self._metrics = metrics
        self._decisions = decisions
        #: whether there was too little room, and the memory was not relieved since
        self._is_full = False

    def dump(self) -> dict[str, Any]:
        return {"full": self._is_full, **self._describe()}

    @property
    def largest(self) -> int:
        """Size in bytes of the largest holding that could have room."""
        return self._account.rule.large_limit

    @property
    def max_head_bytes(self) -> int:
        """Size in bytes of all heads that may be read before their turn."""
        return self._account.rule.max_head_bytes

    @property
    def max_unread(self) -> int:
        """Number of responses that may wait for their clients to read on."""
        return self._account.rule.max_unread

    def open(self, kind: HoldingKind) -> ByteHolding:
        """Return a new holding; it must be released."""
        return self._account.open(kind)

    async def reserve(self, holding: ByteHolding, size: int) -> bool:
        """Let a holding grow, and wait for room for a bounded time.

        :return: whether it has grown
        """
        if holding.try_grow(size):
            return True
        self._record_shortage()
        can_wait = self._account.count_pending() < MAX_WAITING
        if can_wait and holding.could_grow(size):
            self._metrics.count("memory.waits")
            if await self._wait(holding, size):
                return True
        self._record_refusal(holding, holding.size + size)
        return False

    def try_reserve(self, holding: ByteHolding, size: int) -> bool:
        """Let a holding grow if there is room now; return whether it has grown."""
        if holding.try_grow(size):
            return True
        self._record_shortage()
        return False

    def try_resize(self, holding: ByteHolding, size: int) -> bool:
        """Set the size of a holding if there is room; return whether there was."""
        if size <= holding.size:
            holding.shrink(holding.size - size)
            return True
        if self.try_reserve(holding, size - holding.size):
            return True
        self._record_refusal(holding, size)
        return False

    def record_passing_on(self) -> None:
        """Record a response that is passed on as it arrives, for lack of room."""
        self._metrics.count("memory.passed_on")

    async def _wait(self, holding: ByteHolding, size: int) -> bool:
        granted = asyncio.Event()
        growth = holding.wait_to_grow(size, granted.set)
        try:
            async with asyncio.timeout(ROOM_WAIT_SECONDS):
                await granted.wait()
        except TimeoutError:
            pass
        finally:
            growth.cancel()
        return granted.is_set()

    @Service.task
    async def _sample_forever(self) -> None:
        while not self.should_stop:
            self._publish()
            await asyncio.sleep(SAMPLE_INTERVAL)

    def _publish(self) -> None:
        for kind, size in self._account.held.items():
            self._metrics.gauge(f"memory.held.{kind.value}", size)
        self._metrics.gauge("memory.limit", self._account.rule.limit)
        relieved_bytes = self._account.rule.limit * RELIEVED_SHARE
        if self._is_full and self._account.total < relieved_bytes:
            self._is_full = False
            self._decisions.log_state_change("memory-relieved", **self._describe())

    def _record_shortage(self) -> None:
        if self._is_full:
            return
        self._is_full = True
        self._decisions.log_state_change("memory-full", **self._describe())

    def _record_refusal(self, holding: ByteHolding, size: int) -> None:
        self._metrics.count(f"memory.refused.{holding.kind.value}")
        self._decisions.log_decision(
            "memory-refused", held_for=holding.kind.value, bytes=size
        )

    def _describe(self) -> dict[str, int]:
        return {
            "limit": self._account.rule.limit,
            "waiting": self._account.count_pending(),
            **{kind.value: size for kind, size in self._account.held.items()},
        }
