"""Which targets may be given new work, joined from all that is said of them.

Sources disagree and lag. Their precedence, highest first:

1. *leaving*, whoever says so first: the platform's list, a peer, the target's load
   report or a header on one of its answers. It holds for that target id for good; a
   replacement has a new id.
2. *gone*: several listings in a row lack it, or one does and it can't be reached.
   A later listing may bring it back, since lists lag in both directions.
3. *set aside*: it could not be reached several times in a row. A probe or an
   answered call ends this.
4. *live*: the list shows it.

A data centre of which a listing shows nothing is out of the platform's reach; none
of its targets counts as missing then.
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
from .records import Group, Record
from .subset import compute_weight

__all__ = ("TargetRegistry", "TargetRegistryChange", "TargetRegistryRules")

#: ids of leaving targets that are remembered
MAX_LEAVING = 20_000


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetRegistryRules:
    """Limits of the ledger."""

    #: targets of one service that this instance uses at least
    min_subset: int = 20
    #: entry instances that use each target, on average
    instances_per_target: int = 8
    #: listings in a row without a target until it is gone
    missing_listings: int = 3
    #: failures in a row until a target is set aside
    ejection_threshold: int = 2
    #: targets of a service that stay candidates even if none can be reached
    min_candidates: int = 1
    #: seconds after which a load report is forgotten
    report_ttl: float = 10.0


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetRegistryChange:
    """What one piece of news has changed."""

    #: targets that are now known to be leaving and were not before
    leaving: tuple[str, ...] = ()
    #: services whose candidates may differ from before
    services: frozenset[str] = frozenset()
    #: the news was older than what is known and was ignored
    stale: bool = False


_NOTHING = TargetRegistryChange()


class TargetRegistry:
    """The targets as this instance sees them.

    :param instance_id: id of this entry instance; each has its own subset.
    """

    def __init__(self, *, instance_id: str, rules: TargetRegistryRules) -> None:
        self._instance_id = instance_id
        self._rules = rules
        self._records: dict[str, Record] = {}
        self._groups: dict[str, Group] = {}
        #: ids in the order in which they were last heard of
        self._leaving: dict[str, None] = {}
        #: those of them that the newest listings show, for operators
        self._leaving_targets: dict[str, Target] = {}
        self._missing: set[str] = set()
        self._as_of = -1
        self._applied: Listing | None = None
        #: ``None`` until it is known; subsets have their least size until then
        self._instances: int | None = None

    # news

    def apply_listing(self, listing: Listing) -> TargetRegistryChange:
        """Take in a listing; one older than an earlier one is ignored."""
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
        """Record that targets are leaving, for good, whether or not known yet."""
        news = []
        changed = set()
        for target_id in target_ids:
            if target_id in self._leaving:
                continue
            self._leaving[target_id] = None
            news.append(target_id)
            record = self._records.get(target_id)
            if record is not None:
                self._leaving_targets[target_id] = record.target
                changed.add(self._remove(record))
        self._evict_oldest()
        return TargetRegistryChange(leaving=tuple(news), services=frozenset(changed))

    def apply_report(
        self, target_id: str, report: LoadReport | None
    ) -> TargetRegistryChange:
        """Take in a target's answer to a poll; ``None`` if it held no load."""
        record = self._records.get(target_id)
        if record is None:
            return _NOTHING
        change = self.record_success(target_id)
        held = record.report
        if report is None or (held is not None and report.taken < held.taken):
            return change
        record.report = report
        self._groups[record.target.service].candidates = None
        return change

    def record_success(self, target_id: str) -> TargetRegistryChange:
        """Record that a target answered."""
        record = self._records.get(target_id)
        if record is None:
            return _NOTHING
        record.failures = 0
        if not record.ejected:
            return _NOTHING
        record.ejected = False
        return self._invalidate_choice(record)

    def record_failure(self, target_id: str) -> TargetRegistryChange:
        """Record that a target could not be reached."""
        record = self._records.get(target_id)
        if record is None:
            return _NOTHING
        record.failures += 1
        if record.missing:
            # the list no longer shows it and it does not answer either
            return TargetRegistryChange(services=frozenset({self._remove(record)}))
        if record.ejected:
            # which of the unreachable ones serve as the last resort may change
            return self._invalidate_choice(record)
        if record.failures < self._rules.ejection_threshold:
            return _NOTHING
        record.ejected = True
        return self._invalidate_choice(record)

    def expire_reports(self, now: float) -> None:
        """Forget load reports that are too old to choose by."""
        oldest = now - self._rules.report_ttl
        for group in self._groups.values():
            for record in group.watched:
                if record.report is None or record.report.taken >= oldest:
                    continue
                record.report = None
                group.candidates = None

    def set_instance_count(self, instances: int) -> TargetRegistryChange:
        """Set the number of entry instances, this one included.

        Subsets of a fixed size leave targets without any user where few instances
        share a large service: nine instances with twenty each can't use four hundred
        targets. One would notice it by targets that stay idle while others queue. So
        each instance uses more of a service the fewer share it.
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

    # questions

    def list_candidates(self, now: float, service: str) -> tuple[Candidate, ...]:
        """Return the targets of ``service`` that may be given new work, by id."""
        group = self._groups.get(service)
        if group is None:
            return ()
        group.used = now
        return group.list_candidates(
            self._compute_subset_size(group), self._rules.min_candidates
        )

    def accepts(self, target_id: str) -> bool:
        """Whether a target may be given new work."""
        record = self._records.get(target_id)
        if record is None:
            return False
        if not record.ejected:
            return True
        return record in self._choose(self._groups[record.target.service])

    def find_target(self, target_id: str) -> Target | None:
        """Return a target that is neither leaving nor gone."""
        record = self._records.get(target_id)
        return None if record is None else record.target

    def estimate_users(self, service: str) -> float:
        """Return how many entry instances use one target of ``service``, at least 1.

        Each instance uses a subset of its own, so of many instances only a few
        share a target; all are taken to use as many targets as this one does.
        """
        group = self._groups.get(service)
        if group is None or self._instances is None:
            return 1.0
        used = min(self._compute_subset_size(group), len(group.records))
        return max(1.0, self._instances * used / len(group.records))

    def list_watched(self, used_since: float) -> Mapping[str, bool]:
        """Return the targets to poll; whether their service was used lately."""
        watched = {}
        for group in self._groups.values():
            self._choose(group)
            used = group.used >= used_since
            for record in group.watched:
                watched[record.target.target_id] = used
        return watched

    def count_failures(self, target_id: str) -> int:
        """Return the failures in a row of a target that is set aside, else zero."""
        record = self._records.get(target_id)
        if record is None or not record.ejected:
            return 0
        return record.failures

    def list_leaving(self, limit: int) -> tuple[str, ...]:
        """Return the ids last heard to be leaving, at most ``limit``."""
        newest = list(islice(reversed(self._leaving), limit))
        return tuple(reversed(newest))

    def list_targets(self) -> tuple[tuple[Target, bool], ...]:
        """Return all targets not leaving, each with whether it is set aside."""
        records = self._records.values()
        return tuple((record.target, record.ejected) for record in records)

    def list_leaving_targets(self) -> tuple[Target, ...]:
        """Return the leaving targets that the list still shows."""
        return tuple(self._leaving_targets.values())

    def is_leaving(self, target_id: str) -> bool:
        """Whether a target is known to be leaving."""
        return target_id in self._leaving

    def dump(self) -> dict[str, Any]:
        """Return the numbers of targets by service, and what is set aside."""
        services = {}
        for name, group in sorted(self._groups.items()):
            aside = [r.target.target_id for r in group.records if r.ejected]
            services[name] = {
                "targets": len(group.records),
                "used": [r.target.target_id for r in self._choose(group)],
                "set_aside": aside[:100],
            }
        return {
            "as_of": self._as_of,
            "services": services,
            "missing": sorted(self._missing)[:100],
            "leaving": list(self.list_leaving(100)),
        }

    # inner steps

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
                self._leaving_targets[row.instance_id] = _read_target(row)
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
            # its whole data centre is out of the platform's reach
            record.missing = 0

    def _apply_live_row(self, row: Instance, changed: set[str]) -> None:
        record = self._records.get(row.instance_id)
        if record is not None:
            record.missing = 0
            if _describes(row, record.target):
                return
            changed.add(self._remove(record))
        target = _read_target(row)
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
        record = Record(target, weight)
        self._records[target.target_id] = record
        group = self._groups.setdefault(target.service, Group())
        group.records.add(record)
        group.chosen = None

    def _remove(self, record: Record) -> str:
        target = record.target
        del self._records[target.target_id]
        self._missing.discard(target.target_id)
        group = self._groups[target.service]
        group.records.remove(record)
        group.chosen = None
        if not group.records:
            del self._groups[target.service]
        return target.service

    def _invalidate_choice(self, record: Record) -> TargetRegistryChange:
        service = record.target.service
        self._groups[service].chosen = None
        return TargetRegistryChange(services=frozenset({service}))

    def _choose(self, group: Group) -> tuple[Record, ...]:
        return group.choose(
            self._compute_subset_size(group), self._rules.min_candidates
        )

    def _compute_subset_size(self, group: Group) -> int:
        if self._instances is None:
            return self._rules.min_subset
        needed = math.ceil(
            self._rules.instances_per_target * len(group.records) / self._instances
        )
        return max(self._rules.min_subset, needed)

    def _refresh_leaving(self, target_id: str) -> None:
        # moved to the end: what a listing still shows must be forgotten last, or
        # that listing could bring it back to life
        del self._leaving[target_id]
        self._leaving[target_id] = None

    def _evict_oldest(self) -> None:
        while len(self._leaving) > MAX_LEAVING:
            oldest = next(iter(self._leaving))
            del self._leaving[oldest]
            self._leaving_targets.pop(oldest, None)


def _read_target(row: Instance) -> Target:
    return Target(row.instance_id, row.service, row.data_centre, row.address)


def _describes(row: Instance, target: Target) -> bool:
    return (row.service, row.data_centre, row.address) == (
        target.service,
        target.data_centre,
        target.address,
    )
