"""Reports of the order in which bundles are made, for operators."""

from __future__ import annotations

from typing import TYPE_CHECKING

from greengagelatch.relay.rank_order import count_overtaken

if TYPE_CHECKING:
    from greengagelatch.relay.batches import PlannedCall
    from greengagelatch.relay.bundle_orders import BundleOrder
    from greengagelatch.relay.groups import MakerGroup

    from ..metrics import Metrics
    from .bundle_queue import BundleQueue
    from .decisions import DecisionLog

__all__ = ("OrderReports",)


class OrderReports:
    """Logs changes of the order at a group of makers, and counts overtaken bundles."""

    def __init__(
        self,
        group: MakerGroup,
        order: BundleOrder,
        *,
        metrics: Metrics,
        decisions: DecisionLog,
    ) -> None:
        self._group = group
        self._order = order
        self._metrics = metrics
        self._decisions = decisions
        self._by_rank = False

    def record_start(self, call: PlannedCall, queue: BundleQueue) -> None:
        """Record that a call starts, whose pieces have left the queue."""
        by_rank = self._order.by_rank
        if by_rank is not self._by_rank:
            self._by_rank = by_rank
            self._decisions.log_state_change(
                "stage-order",
                service=self._group.service,
                makers=self._group.data_centre,
                by_rank=by_rank,
            )
        if not by_rank:
            return
        started = [bundle for bundle, _ in call.pieces]
        waiting = [bundle for bundle, _ in queue.list_waiting()]
        overtaken = count_overtaken(started, waiting)
        if overtaken:
            self._metrics.count("stages.overtaken", overtaken)
