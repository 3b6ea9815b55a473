"""Registry of targets, which decides which of them may receive new work.

The sources of information disagree and may be out of date. The states of a target, by
precedence from highest to lowest:

1. *leaving*: reported by any source, that is the platform's list, a peer, the target's
   load report or a header of one of its answers. This is permanent for the target id;
   a replacement has a new id.
2. *gone*: missing from several consecutive listings, or from one and unreachable. A
   later listing may restore it, since the list may be out of date in both directions.
3. *ejected*: unreachable several times in a row. A successful probe or call ends the
   ejection.
4. *live*: the list contains it.

If a listing contains no target of a data centre, the platform has lost contact with
the data centre, and none of its targets counts as missing.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from itertools import islice
from typing import Any

from ..instances import Instance, InstanceKind, InstanceState, Listing
from . import Target
from .directory import Candidate, LoadReport
from .records import ServiceGroup, TargetRecord
from .subset import compute_weight

__all__ = ("TargetRegistry", "TargetRegistryChange", "TargetRegistryRules")

#: maximum number of ids of leaving targets that are kept
MAX_LEAVING = 20_000


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetRegistryRules:
    """Limits and thresholds of the registry."""

    #: minimum number of targets of one service that this instance uses
    min_subset: int = 20
    #: mean number of entry instances that use each target
    instances_per_target: int = 8
    #: consecutive listings without a target after which it is gone
    missing_listings: int = 3
    #: consecutive failures after which a target is ejected
    ejection_threshold: int = 2
    #: number of targets of a service that stay candidates even if all are ejected
    min_candidates: int = 1
    #: seconds after which a load report expires
    report_ttl: float = 10.0


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetRegistryChange:
    """Changes caused by one update of the registry."""

    #: targets that were not known to be leaving before
    leaving: tuple[str, ...] = ()
    #: services whose candidates may have changed
    services: frozenset[str] = frozenset()
    #: whether the update was older than the current state and was ignored
    stale: bool = False


_NOTHING = TargetRegistryChange()


class TargetRegistry:
    """The targets as seen by this instance.

    :param instance_id: id of this entry instance, which determines its subsets.
    """

    def __init__(self, *, instance_id: str, rules: TargetRegistryRules) -> None:
        self._instance_id = instance_id
        self._rules = rules
        self._records: dict[str, TargetRecord] = {}
        self._groups: dict[str, ServiceGroup] = {}
        #: ids of leaving targets, those reported least recently first
        self._leaving: dict[str, None] = {}
        #: leaving targets that the newest listings contain, shown to operators
        self._leaving_targets: dict[str, Target] = {}
        self._missing: set[str] = set()
        self._as_of = -1
        self._applied: Listing | None = None
        #: number of entry instances; ``None`` until it is known, and subsets have their
        #: minimum size until then
        self._instances: int | None = None

    # updates

    def apply_listing(self, listing: Listing) -> TargetRegistryChange:
        """Apply a listing; one older than the last applied listing is ignored."""
        if listing.as_of < self._as_of:
            return TargetRegistryChange(stale=True)
        self._as_of = listing.as_of
        leaving: list[str] = []
        changed: set[str] = set()
        if listing is not self._applied:
            leaving = self._apply_rows(listing, changed)
            self._applied = listing
        change = self.mark_leaving(leaving)
        changed.update(change.services)
        changed.update(self._count_missing())
        return TargetRegistryChange(leaving=change.leaving, services=frozenset(changed))

    def mark_leaving(self, target_ids: Iterable[str]) -> TargetRegistryChange:
        """Mark targets as leaving permanently, including ids not listed yet."""
        added = []
        changed = set()
        for target_id in target_ids:
            if target_id in self._leaving:
                continue
            self._leaving[target_id] = None
            added.append(target_id)
            record = self._records.get(target_id)
            if record is not None:
                self._leaving_targets[target_id] = record.target
                changed.add(self._remove(record))
        self._evict_oldest()
        return TargetRegistryChange(leaving=tuple(added), services=frozenset(changed))

    def apply_report(
        self, target_id: str, report: LoadReport | None
    ) -> TargetRegistryChange:
        """Apply a target's answer to a poll; ``None`` if it contained no valid load."""
        record = self._records.get(target_id)
        if record is None:
            return _NOTHING
        change = self.record_success(target_id)
        previous = record.report
        if report is None or (previous is not None and report.taken < previous.taken):
            return change
        record.report = report
        self._groups[record.target.service].candidates = None
        return change

    def record_success(self, target_id: str) -> TargetRegistryChange:
        """Record that a target answered, which ends its ejection."""
        record = self._records.get(target_id)
        if record is None:
            return _NOTHING
        record.failures = 0
        if not record.ejected:
            return _NOTHING
        record.ejected = False
        return self._invalidate_choice(record)

    def record_failure(self, target_id: str) -> TargetRegistryChange:
        """Record that a target was unreachable, which may eject or remove it."""
        record = self._records.get(target_id)
        if record is None:
            return _NOTHING
        record.failures += 1
        if record.missing:
            # missing from the list and unreachable: gone
            return TargetRegistryChange(services=frozenset({self._remove(record)}))
        if record.ejected:
            # the choice of ejected targets that stay candidates may change
            return self._invalidate_choice(record)
        if record.failures < self._rules.ejection_threshold:
            return _NOTHING
        record.ejected = True
        return self._invalidate_choice(record)

    def expire_reports(self, now: float) -> None:
        """Drop load reports that are too old for load balancing."""
        oldest = now - self._rules.report_ttl
        for group in self._groups.values():
            for record in group.watched:
                if record.report is None or record.report.taken >= oldest:
                    continue
                record.report = None
                group.candidates = None

    def set_instance_count(self, instances: int) -> TargetRegistryChange:
        """Set the number of entry instances, this one included.

        With subsets of a fixed size, few instances cannot use all targets of a large
        service: nine instances with 20 targets each leave most of 400 targets idle
        while calls queue at the others. So the subset of each instance grows as the
        number of instances falls.
        """
        if max(1, instances) == self._instances:
            return _NOTHING
        self._instances = max(1, instances)
        changed = set()
        for service, group in self._groups.items():
            if len(group.records) <= self._rules.min_subset:
                continue
            group.chosen = None
            changed.add(service)
        return TargetRegistryChange(services=frozenset(changed))

    # queries

    def list_candidates(self, now: float, service: str) -> tuple[Candidate, ...]:
        """Return the targets of ``service`` that accept new work, sorted by id."""
        group = self._groups.get(service)
        if group is None:
            return ()
        group.used = now
        return group.list_candidates(
            self._compute_subset_size(group), self._rules.min_candidates
        )

    def accepts(self, target_id: str) -> bool:
        """Whether a target accepts new work."""
        record = self._records.get(target_id)
        if record is None:
            return False
        if not record.ejected:
            return True
        return record in self._choose(self._groups[record.target.service])

    def find_target(self, target_id: str) -> Target | None:
        """Return a target, or ``None`` if it is leaving, gone or unknown."""
        record = self._records.get(target_id)
        return None if record is None else record.target

    def estimate_users(self, service: str) -> float:
        """Estimate how many entry instances use each target of ``service``.

        The result is at least 1. Each instance uses its own subset, so only some of
        many instances share a target. The estimate assumes that all instances have
        subsets of the same size as this one.
        """
        group = self._groups.get(service)
        if group is None or self._instances is None:
            return 1.0
        used = min(self._compute_subset_size(group), len(group.records))
        return max(1.0, self._instances * used / len(group.records))

    def list_watched(self, used_since: float) -> Mapping[str, bool]:
        """Return the targets to poll, each with whether its service is in use.

        :param used_since: monotonic seconds; a service whose candidates were queried
            since then is in use.
        """
        watched = {}
        for group in self._groups.values():
            self._choose(group)
            used = group.used >= used_since
            for record in group.watched:
                watched[record.target.target_id] = used
        return watched

    def count_failures(self, target_id: str) -> int:
        """Return the consecutive failures of an ejected target; 0 for all others."""
        record = self._records.get(target_id)
        if record is None or not record.ejected:
            return 0
        return record.failures

    def list_leaving(self, limit: int) -> tuple[str, ...]:
        """Return the ids most recently reported as leaving, at most ``limit``."""
        newest = list(islice(reversed(self._leaving), limit))
        return tuple(reversed(newest))

    def list_targets(self) -> tuple[tuple[Target, bool], ...]:
        """Return all targets not leaving, each with whether it is ejected."""
        records = self._records.values()
        return tuple((record.target, record.ejected) for record in records)

    def list_leaving_targets(self) -> tuple[Target, ...]:
        """Return the leaving targets that the list still contains."""
        return tuple(self._leaving_targets.values())

    def is_leaving(self, target_id: str) -> bool:
        """Whether a target is known to be leaving."""
        return target_id in self._leaving

    def dump(self) -> dict[str, Any]:
        """Return counts, subsets and ejected targets by service, for diagnostics."""
        services = {}
        for name, group in sorted(self._groups.items()):
            ejected = [r.target.target_id for r in group.records if r.ejected]
            services[name] = {
                "targets": len(group.records),
                "used": [r.target.target_id for r in self._choose(group)],
                "set_aside": ejected[:100],
            }
        return {
            "as_of": self._as_of,
            "services": services,
            "missing": sorted(self._missing)[:100],
            "leaving": list(self.list_leaving(100)),
        }

    # internals

    def _apply_rows(self, listing: Listing, changed: set[str]) -> list[str]:
        leaving = []
        shown = set()
        centres = set()
        for row in listing.instances:
            if row.kind is not InstanceKind.TARGET:
                continue
            centres.add(row.data_centre)
            shown.add(row.instance_id)
            known = row.instance_id in self._leaving
            if known or row.state is InstanceState.LEAVING:
                self._leaving_targets[row.instance_id] = _create_target(row)
            if known:
                self._refresh_leaving(row.instance_id)
                continue
            if row.state is InstanceState.LEAVING:
                leaving.append(row.instance_id)
                continue
            self._apply_live_row(row, changed)
        self._mark_missing(shown, centres)
        self._drop_unlisted(shown, centres)
        return leaving

    def _drop_unlisted(self, shown: set[str], centres: set[str]) -> None:
        for target_id, target in list(self._leaving_targets.items()):
            if target_id not in shown and target.data_centre in centres:
                del self._leaving_targets[target_id]

    def _mark_missing(self, shown: set[str], centres: set[str]) -> None:
        self._missing.clear()
        for target_id, record in self._records.items():
            if target_id in shown:
                continue
            if record.target.data_centre in centres:
                self._missing.add(target_id)
                continue
            # the platform has lost contact with the whole data centre
            record.missing = 0

    def _apply_live_row(self, row: Instance, changed: set[str]) -> None:
        record = self._records.get(row.instance_id)
        if record is not None:
            record.missing = 0
            if _matches(row, record.target):
                return
            changed.add(self._remove(record))
        target = _create_target(row)
        self._add(target)
        changed.add(target.service)

    def _count_missing(self) -> set[str]:
        changed = set()
        for target_id in list(self._missing):
            record = self._records.get(target_id)
            if record is None:
                continue
            record.missing += 1
            unreachable = record.ejected or record.failures > 0
            if record.missing < self._rules.missing_listings and not unreachable:
                continue
            changed.add(self._remove(record))
        return changed

    def _add(self, target: Target) -> None:
        weight = compute_weight(self._instance_id, target.target_id)
        record = TargetRecord(target, weight)
        self._records[target.target_id] = record
        group = self._groups.setdefault(target.service, ServiceGroup())
        group.records.add(record)
        group.chosen = None

    def _remove(self, record: TargetRecord) -> str:
        target = record.target
        del self._records[target.target_id]
        self._missing.discard(target.target_id)
        group = self._groups[target.service]
        group.records.remove(record)
        group.chosen = None
        if not group.records:
            del self._groups[target.service]
        return target.service

    def _invalidate_choice(self, record: TargetRecord) -> TargetRegistryChange:
        service = record.target.service
        self._groups[service].chosen = None
        return TargetRegistryChange(services=frozenset({service}))

    def _choose(self, group: ServiceGroup) -> tuple[TargetRecord, ...]:
        return group.choose(
            self._compute_subset_size(group), self._rules.min_candidates
        )

    def _compute_subset_size(self, group: ServiceGroup) -> int:
        if self._instances is None:
            return self._rules.min_subset
        needed = math.ceil(
            self._rules.instances_per_target * len(group.records) / self._instances
        )
        return max(self._rules.min_subset, needed)

    def _refresh_leaving(self, target_id: str) -> None:
        # moved to the end: an id that is still listed must be evicted last, as a later
        # listing could otherwise make the target live again
        del self._leaving[target_id]
        self._leaving[target_id] = None

    def _evict_oldest(self) -> None:
        while len(self._leaving) > MAX_LEAVING:
            oldest = next(iter(self._leaving))
            del self._leaving[oldest]
            self._leaving_targets.pop(oldest, None)


def _create_target(row: Instance) -> Target:
    return Target(row.instance_id, row.service, row.data_centre, row.address)


def _matches(row: Instance, target: Target) -> bool:
    return (row.service, row.data_centre, row.address) == (
        target.service,
        target.data_centre,
        target.address,
    )
