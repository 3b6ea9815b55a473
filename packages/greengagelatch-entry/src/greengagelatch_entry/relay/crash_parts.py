"""Composition of the handling of requests that crash their targets."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from greengagelatch.relay.part_quarantine import PartQuarantine
from greengagelatch.relay.quarantine import Quarantine

from .crash_detector import CrashDetector
from .crash_evidence import RefusalEvidence
from .crash_report_replicator import CrashReportReplicator
from .suspect_admission import SuspectAdmission
from .suspect_locks import SuspectLocks

if TYPE_CHECKING:
    from collections.abc import Callable

    from greengagelatch.relay.reachability import Reachability

    from .part_survivals import PartSurvivals
    from .parts import SharedParts
    from .routed_dialer import RoutedDialer

__all__ = ("CrashParts", "compose_crash_parts")


@dataclass(frozen=True, slots=True, kw_only=True)
class CrashParts:
    """Components that find requests which crash targets, and hold these back."""

    quarantine: Quarantine
    reports: CrashReportReplicator
    part_survivals: PartSurvivals
    detector: CrashDetector
    locks: SuspectLocks
    suspects: SuspectAdmission


def compose_crash_parts(
    shared: SharedParts,
    *,
    dialer: RoutedDialer,
    reachability: Reachability,
    is_store_reachable: Callable[[], bool],
) -> CrashParts:
    """Build and wire the components without starting them.

    :param is_store_reachable: returns whether the store answers this instance
    """
    part_quarantine = PartQuarantine()
    quarantine = Quarantine(part_quarantine.is_explained)
    reports = CrashReportReplicator(
        instance_id=shared.settings.instance_id,
        quarantine=quarantine,
        part_quarantine=part_quarantine,
        random_source=shared.random_source,
        store=shared.store,
        peers=shared.peers,
        clock=shared.clock,
        metrics=shared.metrics,
        decisions=shared.decisions,
    )
    detector = CrashDetector(
        replicator=reports,
        quarantine=quarantine,
        target_table=shared.target_table,
        evidence=RefusalEvidence(
            prober=dialer,
            reachability=reachability,
            target_table=shared.target_table,
            random_source=shared.random_source,
        ),
        clock=shared.clock,
        metrics=shared.metrics,
        decisions=shared.decisions,
    )
    locks = SuspectLocks(
        instance_id=shared.settings.instance_id,
        store=shared.store,
        is_store_reachable=is_store_reachable,
        clock=shared.clock,
        metrics=shared.metrics,
    )
    suspects = SuspectAdmission(
        quarantine=quarantine,
        part_quarantine=part_quarantine,
        locks=locks,
        crash_detector=detector,
        clock=shared.clock,
        decisions=shared.decisions,
    )
    return CrashParts(
        quarantine=quarantine,
        reports=reports,
        part_survivals=reports.part_survivals,
        detector=detector,
        locks=locks,
        suspects=suspects,
    )
