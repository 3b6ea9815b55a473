"""Log lines and totals of targets that were taken to have ended."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from greengagelatch.relay.target_ends import TargetEnd
    from greengagelatch.relay.targets import ListedTarget, TargetTable

    from ..metrics import Metrics
    from .decisions import DecisionLog

__all__ = ("ListingLog",)


class ListingLog:
    """Counts and logs entries of targets that were taken to have ended."""

    def __init__(
        self, *, target_table: TargetTable, metrics: Metrics, decisions: DecisionLog
    ) -> None:
        self._target_table = target_table
        self._metrics = metrics
        self._decisions = decisions

    def record_returned(self, target: ListedTarget, end: TargetEnd) -> None:
        """Record an entry by which a target is used again."""
        self._metrics.count("targets.returned")
        self._decisions.log_state_change(
            "target-returned",
            target=str(target.incarnation),
            service=target.service,
            evidence=end.evidence.value,
            end_revision=end.revision,
            revision=target.revision,
        )

    def record_unused(self, target: ListedTarget, end: TargetEnd) -> None:
        """Record an entry that does not bring its target back."""
        self._metrics.count("targets.ended_listed")
        self._decisions.log_decision(
            "target-ended-listed",
            target=str(target.incarnation),
            service=target.service,
            evidence=end.evidence.value,
            end_revision=end.revision,
            revision=target.revision,
        )

    def record_replaced(self, target: ListedTarget) -> None:
        """Record the targets whose address a target that was listed now has taken."""
        for other in self._target_table.list_replaced(target):
            self._metrics.count("targets.address_reused")
            self._decisions.log_state_change(
                "target-address-reused",
                target=str(other.incarnation),
                service=other.service,
                address=other.address,
                by=str(target.incarnation),
            )
