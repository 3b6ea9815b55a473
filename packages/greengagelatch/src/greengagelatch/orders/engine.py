"""One engine as the holder of its group's lease knows it."""

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
    """What is due with an engine."""

    REST = "rest"
    READ = "read"
    ORDER = "order"


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineRecord:
    """What is known of an engine under one tenure; a new holder begins anew.

    All times are monotonic seconds.
    """

    report: EngineReport | None = None
    #: whether ``report`` was read after the last order had ended
    current: bool = False
    #: an order that may still be under way, since its answer is lost
    unsettled: Order | None = None
    #: when that order was sent
    sent: float = 0.0
    #: when the engine is to be read again
    due: float = 0.0
    #: calls in a row that came to nothing
    failures: int = 0

    def plan(self, now: float, wanted: EngineState, *, may_order: bool) -> EngineAction:
        """Choose what to do next.

        An order follows only on a state that was read under this tenure, and never
        on another one that may still be under way: an engine that takes its time
        could carry out the older of the two last. It goes before a reading that is
        due again, or a short interval would leave no room for any order.

        :param may_order: whether an order may be given to this engine now
        """
        if may_order and self._needs_order(wanted):
            return EngineAction.ORDER
        return EngineAction.READ if now >= self.due else EngineAction.REST

    def _needs_order(self, wanted: EngineState) -> bool:
        if self.report is None or self.unsettled is not None or self.failures:
            return False
        return self.current and not self.report.state.equals(wanted)

    def note_sending(self, now: float, order: Order) -> EngineRecord:
        """Record that the first byte of an order is about to be sent."""
        return dataclasses.replace(self, unsettled=order, sent=now, current=False)

    def note_ended(self, now: float) -> EngineRecord:
        """Record that the engine answered an order; it is read back at once."""
        return dataclasses.replace(self, unsettled=None, due=now, failures=0)

    def note_unanswered(self, now: float) -> EngineRecord:
        """Record that the answer to an order is lost; the engine is read at once."""
        return dataclasses.replace(self, due=now)

    def note_failed(self, now: float, delay: float) -> EngineRecord:
        """Record that the engine could not be reached; ``delay`` is in seconds."""
        return dataclasses.replace(self, due=now + delay, failures=self.failures + 1)

    def note_read(
        self, now: float, report: EngineReport, rules: OrderRules
    ) -> EngineRecord:
        """Take in the engine's state, and settle an order without an answer.

        Such an order is over once the engine shows its number and its state, or when
        it has had the longest time that an order can take.
        """
        unsettled = self.unsettled
        if unsettled is not None:
            arrived = report.fence == unsettled.fence
            done = arrived and report.state.equals(unsettled.wanted)
            if done or now - self.sent >= rules.patience:
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
