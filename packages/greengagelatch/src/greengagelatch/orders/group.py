"""Schedules the orders to the engines of one group while its lease is held."""

from __future__ import annotations

import dataclasses
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from ..placement.desired import build_desired_state, count_loads
from . import EngineReport, EngineState, Order
from .budget import LoadBudget
from .engine import EngineAction, EngineRecord

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..config.effects import Placement
    from .rules import OrderRules

__all__ = ("EngineGroup", "EngineCall")

#: concurrent calls to the engines of one group from which on no further read starts
MAX_READS = 8

#: assumed state of an engine that has not been read yet
UNREAD = EngineState()


@dataclass(frozen=True, slots=True)
class EngineCall:
    """A call to an engine that is due; ``order`` is ``None`` for a read."""

    target_id: str
    order: Order | None = None
    #: loads from the weight store that the order causes
    loads: int = 0


class EngineGroup:
    """Plans the reads and orders of the engines of one group.

    One order at a time is in progress: engines are slow while they load, and a wrong
    placement can be noticed before all engines have applied it. An order without an
    answer counts as in progress until it is resolved.

    :param fence: fencing token of the lease
    :param now: monotonic seconds
    """

    def __init__(self, *, fence: int, rules: OrderRules, now: float) -> None:
        self.fence = fence
        self._rules = rules
        self._records: dict[str, EngineRecord] = {}
        self._in_flight: dict[str, EngineCall] = {}
        self._budget = LoadBudget(at=now)

    @property
    def has_open_order(self) -> bool:
        """Whether an order is in progress or may still take effect."""
        if any(call.order is not None for call in self._in_flight.values()):
            return True
        return any(record.unsettled is not None for record in self._records.values())

    def plan(
        self,
        now: float,
        target_ids: Iterable[str],
        placement: Placement,
        *,
        loads_per_minute: float,
        may_order: bool,
    ) -> tuple[EngineCall, ...]:
        """Return the calls that are due and mark them as started.

        :param target_ids: the engines that are registered and not leaving
        :param loads_per_minute: this group's share of the weight store's rate
        """
        self._budget = self._budget.refill(now, loads_per_minute)
        self._update_targets(target_ids)
        calls = []
        for target_id, record in self._records.items():
            if target_id in self._in_flight:
                continue
            call = self._plan_engine(now, target_id, record, placement, may_order)
            if call is None:
                continue
            self._in_flight[target_id] = call
            calls.append(call)
        return tuple(calls)

    def record_sending(self, now: float, call: EngineCall) -> None:
        """Record that the first byte of an order is about to be sent."""
        if call.order is None:
            return
        self._budget = self._budget.spend(call.loads)
        self._update(call.target_id, lambda r: r.record_sending(now, call.order))

    def handle_read(
        self, now: float, call: EngineCall, report: EngineReport | None, delay: float
    ) -> None:
        """Record the result of a read.

        :param report: ``None`` if the engine could not be read
        :param delay: seconds until the retry in that case
        """
        self._in_flight.pop(call.target_id, None)
        if report is None:
            self._update(call.target_id, lambda r: r.record_failure(now, delay))
            return
        rules = self._rules
        self._update(call.target_id, lambda r: r.record_report(now, report, rules))

    def handle_order_end(self, now: float, call: EngineCall, *, settled: bool) -> None:
        """Record the end of an order's call; a read of the engine is due next.

        :param settled: whether the order can no longer take effect
        """
        self._in_flight.pop(call.target_id, None)
        if settled:
            self._update(call.target_id, lambda r: r.record_answer(now))
            return
        self._update(call.target_id, lambda r: r.record_lost_answer(now))

    def handle_failure(self, now: float, call: EngineCall, delay: float) -> None:
        """Record that a call had no effect; the next is due in ``delay`` seconds."""
        self._in_flight.pop(call.target_id, None)
        self._update(
            call.target_id,
            lambda r: dataclasses.replace(r, unsettled=None).record_failure(now, delay),
        )

    def count_failures(self, target_id: str) -> int:
        """Return the number of consecutive failed calls to an engine."""
        record = self._records.get(target_id)
        return 0 if record is None else record.failures

    def dump(self, now: float, placement: Placement) -> dict[str, Any]:
        """Return the states of the engines by target id."""
        engines = {}
        for target_id, record in self._records.items():
            present = UNREAD if record.report is None else record.report.state
            engines[target_id] = {
                "read": record.report is not None,
                "models": present.models,
                "adapters": present.adapters,
                "role": present.role,
                "fence": None if record.report is None else record.report.fence,
                "as_wanted": record.report is not None
                and present.equals(build_desired_state(placement, present)),
                "unsettled_seconds": None
                if record.unsettled is None
                else now - record.sent,
                "failures": record.failures,
            }
        return engines

    def _plan_engine(
        self,
        now: float,
        target_id: str,
        record: EngineRecord,
        placement: Placement,
        may_order: bool,
    ) -> EngineCall | None:
        present = UNREAD if record.report is None else record.report.state
        desired = build_desired_state(placement, present)
        loads = count_loads(desired, present)
        may_order = may_order and not self.has_open_order and self._budget.allows(loads)
        match record.plan(now, desired, may_order=may_order):
            case EngineAction.ORDER:
                return EngineCall(target_id, Order(self.fence, desired), loads)
            case EngineAction.READ if len(self._in_flight) < MAX_READS:
                return EngineCall(target_id)
        return None

    def _update_targets(self, target_ids: Iterable[str]) -> None:
        records = {}
        for target_id in sorted(target_ids):
            records[target_id] = self._records.get(target_id) or EngineRecord()
        self._records = records

    def _update(self, target_id: str, change: Any) -> None:
        record = self._records.get(target_id)
        if record is not None:
            # the engine may have been removed during the call
            self._records[target_id] = change(record)
