"""Target listing, replicated from the store or from peers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from result import Err, Ok

from greengagelatch.relay.incarnations import IncarnationOrder
from greengagelatch.relay.target_ends import EndEvidence
from greengagelatch.relay.targets import REREGISTRATION_SECONDS

from .invalid_entries import InvalidEntries
from .listing_log import ListingLog
from .store_follower import StoreSubscriber

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from greengagelatch.clock import Clock
    from greengagelatch.relay.cold_targets import ColdTargets
    from greengagelatch.relay.incarnations import Incarnation
    from greengagelatch.relay.targets import ListedTarget, TargetTable
    from greengagelatch.store import Entry
    from greengagelatch.store.ranges import Changes, Scan

    from ..metrics import Metrics
    from .codecs import ListingCodec
    from .decisions import DecisionLog

__all__ = ("ListingFollower",)

#: outdated entries remembered as reported; an evicted one may be logged again
MAX_OUTDATED_REPORTED = 1024


class ListingFollower(StoreSubscriber):
    """Follows the entries of targets and maintains the target book.

    :param cold_targets: told for how long targets are cold, by their entries
    :param on_removed: called with each incarnation that has left, restarted or been
        removed
    :param find_services: returns the configured services; ``None`` until a
        configuration has been loaded
    :param find_cold_seconds: returns for how long a target of a service is cold after
        its start
    """

    def __init__(
        self,
        *,
        codec: ListingCodec,
        target_table: TargetTable,
        cold_targets: ColdTargets,
        on_removed: Callable[[Incarnation], None],
        find_services: Callable[[], Collection[str] | None],
        find_cold_seconds: Callable[[str], float],
        clock: Clock,
        metrics: Metrics,
        decisions: DecisionLog,
    ) -> None:
        self.prefix = codec.prefix
        self._clock = clock
        self._decisions = decisions
        self._codec = codec
        self._target_table = target_table
        self._cold_targets = cold_targets
        self._on_removed = on_removed
        self._find_services = find_services
        self._find_cold_seconds = find_cold_seconds
        self._metrics = metrics
        self._log = ListingLog(
            target_table=target_table, metrics=metrics, decisions=decisions
        )
        self._invalid = InvalidEntries(metrics=metrics, decisions=decisions)
        #: incarnations whose outdated entries have been logged, by target id
        self._outdated: dict[str, Incarnation] = {}
        #: services missing from the configuration, by target id
        self._unknown_services: dict[str, str] = {}
        self._synced = False
        self._revision = 0
        #: monotonic time in seconds until which lapsed entries may be rewritten after a
        #: store outage
        self._grace_until = float("-inf")

    @property
    def revision(self) -> int:
        """Store revision up to which the entries of targets are known."""
        return self._revision

    @property
    def synced(self) -> bool:
        """Whether a listing has been loaded since the start."""
        return self._synced

    def apply_scan(self, scan: Scan) -> None:
        targets = self._read(scan.entries)
        self._invalid.retain_only({entry.key for entry in scan.entries})
        listed = {target.target_id for target in targets}
        for target in self._target_table.list_all():
            if target.target_id in listed or target.revision > scan.revision:
                continue
            self._handle_missing(target, scan.revision)
        for target in targets:
            self._put(target, scan.revision)
        self._revision = max(self._revision, scan.revision)
        self._synced = True

    def apply_changes(self, changes: Changes) -> None:
        for target in self._read(changes.written):
            self._put(target, changes.revision)
        for key, revision in changes.removed:
            self._invalid.discard(key)
            target = self._target_table.find_listed(
                key.removeprefix(self._codec.prefix)
            )
            if target is not None:
                self._handle_missing(target, revision)
        self._revision = max(self._revision, changes.revision)

    def apply_peer_listing(
        self, targets: tuple[ListedTarget, ...], revision: int
    ) -> None:
        """Apply the listing of a peer if it is newer than the local one."""
        if revision <= self._revision and self._synced:
            return
        listed = {target.target_id for target in targets}
        for target in self._target_table.list_all():
            if target.target_id not in listed and target.revision <= revision:
                self._remove(target, revision)
        for target in targets:
            self._put(target)
        self._revision = max(self._revision, revision)
        self._synced = True

    def handle_store_recovered(self) -> None:
        # leases of entries expire during an outage; targets that are alive write
        # their entries again within this time
        self._grace_until = self._clock.now() + REREGISTRATION_SECONDS

    def _put(self, target: ListedTarget, read_revision: int = 0) -> None:
        """Apply an entry; see :meth:`TargetTable.put`."""
        former = None
        match self._target_table.compare(target):
            case IncarnationOrder.OUTDATED:
                self._record_outdated(target)
                return
            case IncarnationOrder.UNKNOWN:
                # from a peer that does not know the newest incarnation; entries of this
                # kind from the store itself are excluded earlier
                self._metrics.count("targets.untold")
                return
            case IncarnationOrder.NEWER:
                former = self._target_table.find_newest(target.target_id)
        listed = self._target_table.find_listed(target.target_id)
        end = self._target_table.find_end(target.incarnation)
        changed = self._target_table.put(target, read_revision)
        if former is not None:
            self._handle_restart(target, former)
        self.record_cold(target.incarnation, target.cold_seconds, "entry")
        self._check_service(target.target_id)
        if end is not None and not target.leaving:
            record = self._log.record_returned if changed else self._log.record_unused
            record(target, end)
        if not changed:
            return
        if listed is None:
            self._log.record_replaced(target)
        self._decisions.log_state_change(
            "target",
            target=str(target.incarnation),
            service=target.service,
            address=target.address,
            data_centre=target.data_centre,
            version=target.software_version,
            state="leaving" if target.leaving else "ready",
            revision=target.revision,
            origin="entry",
        )
        if target.leaving:
            self._on_removed(target.incarnation)

    def record_leaving(self, incarnation: Incarnation, origin: str) -> bool:
        """Record that a target has said in an answer that it leaves.

        :param origin: ``answer`` to this instance, or ``peer``
        :return: whether that was not known, from its entry or an answer
        """
        if not self._target_table.mark_leaving(incarnation):
            return False
        self._metrics.count(f"targets.leaving.{origin}")
        target = self._target_table.find_listed(incarnation.target_id)
        self._decisions.log_state_change(
            "target",
            target=str(incarnation),
            service="" if target is None else target.service,
            state="leaving",
            origin=origin,
        )
        self._on_removed(incarnation)
        return True

    def _handle_restart(self, target: ListedTarget, former: Incarnation) -> None:
        """Discard the state of the previous incarnation.

        Applied to the new one, that state would route prompts to it for cache contents
        that it has lost, avoid it for failures of its predecessor, or exclude it
        permanently if its predecessor was leaving.
        """
        self._metrics.count("targets.restarted")
        self._outdated.pop(target.target_id, None)
        self._decisions.log_state_change(
            "target-restarted",
            target=str(target.incarnation),
            former=str(former),
            address=target.address,
            revision=target.revision,
        )
        self._on_removed(former)

    def handle_evacuation_ended(self, data_centre: str) -> None:
        """Count the targets of a data centre as cold, as they have been idle.

        Their entries tell so only later.
        """
        for target in self._target_table.list_all():
            if target.data_centre != data_centre:
                continue
            seconds = self._find_cold_seconds(target.service)
            self.record_cold(target.incarnation, seconds, "evacuation")

    def record_cold(
        self, incarnation: Incarnation, seconds: float, reason: str
    ) -> None:
        """Record that a target may be cold for some seconds from now."""
        if not self._cold_targets.record(incarnation, seconds, self._clock.now()):
            return
        self._metrics.count("targets.cold")
        self._decisions.log_state_change(
            "target-cold",
            target=str(incarnation),
            cold_ms=round(seconds * 1000),
            reason=reason,
        )

    def _record_outdated(self, target: ListedTarget) -> None:
        """Count and log an entry of an incarnation that has already ended."""
        self._metrics.count("targets.outdated")
        if self._outdated.get(target.target_id) == target.incarnation:
            return
        self._outdated[target.target_id] = target.incarnation
        if len(self._outdated) > MAX_OUTDATED_REPORTED:
            del self._outdated[next(iter(self._outdated))]
        self._decisions.log_state_change(
            "target-outdated",
            target=str(target.incarnation),
            known=str(self._target_table.find_newest(target.target_id)),
            revision=target.revision,
        )

    def check_services(self) -> None:
        """Check all targets again after the configured services have changed."""
        for target in self._target_table.list_all():
            self._check_service(target.target_id)

    def _check_service(self, target_id: str) -> None:
        """Log once if the service of a target is not configured.

        Such a target gets no requests, as no route leads to it. It stays in the book,
        because a later configuration may define the service and the entry will not be
        delivered again.
        """
        target = self._target_table.find_listed(target_id)
        services = self._find_services()
        if target is None or services is None or target.service in services:
            self._unknown_services.pop(target_id, None)
            return
        if self._unknown_services.get(target_id) == target.service:
            return
        self._unknown_services[target_id] = target.service
        self._metrics.count("targets.unknown_service")
        self._decisions.log_state_change(
            "target-unknown-service",
            target=str(target.incarnation),
            service=target.service,
            revision=target.revision,
        )

    def _handle_missing(self, target: ListedTarget, revision: int) -> None:
        """Handle a missing entry.

        Right after a store outage, the entries of whole services may be missing
        although their targets are alive. The last target of a service is therefore
        removed only after the grace period in which its entry would be rewritten.
        """
        in_grace = self._clock.now() < self._grace_until
        is_last = len(self._target_table.list_service(target.service)) <= 1
        if in_grace and is_last and not target.leaving:
            left = self._grace_until - self._clock.now()
            loop = asyncio.get_running_loop()
            loop.call_later(left, self._remove_if_still_missing, target, revision)
            return
        self._remove(target, revision)

    def _remove_if_still_missing(self, target: ListedTarget, revision: int) -> None:
        # has no effect if the entry was rewritten or the target has restarted
        self._remove(target, revision)

    def _remove(
        self,
        target: ListedTarget,
        revision: int,
        evidence: EndEvidence = EndEvidence.REMOVAL,
    ) -> None:
        if not self._target_table.remove(target.incarnation, revision, evidence):
            return
        self._outdated.pop(target.target_id, None)
        self._unknown_services.pop(target.target_id, None)
        self._decisions.log_state_change(
            "target",
            target=str(target.incarnation),
            service=target.service,
            address=target.address,
            state="gone",
            evidence=evidence.value,
            revision=revision,
        )
        self._on_removed(target.incarnation)

    def _read(self, entries: tuple[Entry, ...]) -> list[ListedTarget]:
        """Return the targets of the valid entries."""
        targets = []
        for entry in entries:
            match self._codec.decode(entry.key, entry.value, entry.revision):
                case Err(problem):
                    self._exclude(entry, str(problem))
                case Ok(target):
                    reason = self._find_fault(target)
                    if reason:
                        self._exclude(entry, reason)
                        continue
                    self._invalid.discard(entry.key)
                    targets.append(target)
        return targets

    def _find_fault(self, target: ListedTarget) -> str:
        """Return why the target of a decoded entry is not usable; empty if it is."""
        if self._target_table.compare(target) is IncarnationOrder.UNKNOWN:
            known = self._target_table.find_newest(target.target_id)
            return f"no start time, and {known} was at another address"
        return ""

    def _exclude(self, entry: Entry, reason: str) -> None:
        """Exclude a target from routing while its entry is invalid.

        Requests already sent to it continue. It is used again once its entry is
        valid, because an invalid entry is no evidence that the target has ended.
        """
        self._invalid.record(entry, reason)
        target = self._target_table.find_listed(
            entry.key.removeprefix(self._codec.prefix)
        )
        if target is not None and target.revision < entry.revision:
            self._remove(target, entry.revision, EndEvidence.INVALID_ENTRY)

    def dump(self) -> dict[str, Any]:
        """Return the state as JSON-compatible values."""
        return {
            "informed": self._synced,
            "targets": len(self._target_table),
            "bad_entries": self._invalid.dump(),
            "unknown_services": dict(self._unknown_services),
        }
