"""State of one engine as seen by the holder of its group's lease."""

from __future__ import annotations

import dataclasses
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from . import EngineReport, EngineState, Order
    from .rules import OrderRules

__all__ = ("EngineAction", "EngineRecord")


class EngineAction(Enum):
    """Next call to an engine, if any."""

    IDLE = "rest"
    READ = "read"
    ORDER = "order"


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineRecord:
    """Immutable state of an engine under one lease; a new holder starts empty.

    All times are monotonic seconds.
    """

    report: EngineReport | None = None
    #: whether ``report`` was read after the last order ended
    current: bool = False
    #: an order that may still take effect: it has no answer yet, or its answer is lost
    unsettled: Order | None = None
    #: when that order was sent
    sent: float = 0.0
    #: when the engine is due to be read again
    due: float = 0.0
    #: consecutive failed calls
    failures: int = 0

    def plan(
        self, now: float, desired: EngineState, *, may_order: bool
    ) -> EngineAction:
        """Choose the next call.

        An order requires a state that was read under this lease, and no earlier
        order that may still take effect: a slow engine could carry out the older of
        the two last. An order takes precedence over a read that is due, otherwise a
        short interval would starve orders.

        :param may_order: whether an order may be sent to this engine now
        """
        if may_order and self._needs_order(desired):
            return EngineAction.ORDER
        return EngineAction.READ if now >= self.due else EngineAction.IDLE

    def _needs_order(self, desired: EngineState) -> bool:
        if self.report is None or self.unsettled is not None or self.failures:
            return False
        return self.current and not self.report.state.equals(desired)

    def record_sending(self, now: float, order: Order) -> EngineRecord:
        """Record that the first byte of an order is about to be sent."""
        return dataclasses.replace(self, unsettled=order, sent=now, current=False)

    def record_answer(self, now: float) -> EngineRecord:
        """Record that the engine answered an order; a read is due immediately."""
        return dataclasses.replace(self, unsettled=None, due=now, failures=0)

    def record_lost_answer(self, now: float) -> EngineRecord:
        """Record that the answer to an order is lost; a read is due immediately."""
        return dataclasses.replace(self, due=now)

    def record_failure(self, now: float, delay: float) -> EngineRecord:
        """Record a failed call; the next one is due in ``delay`` seconds."""
        return dataclasses.replace(self, due=now + delay, failures=self.failures + 1)

    def record_report(
        self, now: float, report: EngineReport, rules: OrderRules
    ) -> EngineRecord:
        """Record the engine's state, and resolve an order without an answer.

        Such an order has ended once the engine reports both its fencing token and
        its state, or after the longest time that an order can take.
        """
        unsettled = self.unsettled
        if unsettled is not None:
            arrived = report.fence == unsettled.fence
            done = arrived and report.state.equals(unsettled.desired)
            if done or now - self.sent >= rules.order_lifetime:
                unsettled = None
        delay = rules.interval if unsettled is None else rules.settle_interval
        return dataclasses.replace(
            self,
            report=report,
            current=True,
            unsettled=unsettled,
            due=now + delay,
            failures=0,
        )
