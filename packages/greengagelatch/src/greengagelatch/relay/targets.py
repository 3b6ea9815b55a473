"""Targets as listed by the platform, and which of them may receive requests."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from .incarnations import Incarnation, IncarnationOrder
from .target_ends import EndEvidence, TargetEnd, TargetEnds

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ("ListedTarget", "TargetTable")

#: seconds after the end of a store outage within which live targets register again
#: entries that expired during it
REREGISTRATION_SECONDS = 2.0
#: most ids of known targets that are remembered
MAX_REMEMBERED = 4096


@dataclass(frozen=True, slots=True, kw_only=True)
class ListedTarget:
    """The listing entry of one incarnation of a target."""

    incarnation: Incarnation
    service: str
    #: ``host:port``; may be reused by another target once this one has ended
    address: str
    data_centre: str
    slots: int = 1
    #: whether it is draining
    leaving: bool = False
    #: seconds for which it was still cold when the entry was written; a cold target
    #: tolerates few requests
    cold_seconds: float = 0.0
    #: version of its software; empty: not known
    software_version: str = ""
    #: store revision at which its entry was written
    revision: int = 0

    @property
    def target_id(self) -> str:
        """The id, shared by all incarnations of the target."""
        return self.incarnation.target_id


class TargetTable:
    """All listed targets, by service.

    A target that has started to drain stays excluded, whatever entry of it is read:
    requests sent to it would be interrupted. One whose entry has lapsed or was removed
    is used again once its entry was written later. A restarted target is a new one:
    only the newest incarnation of each id is listed.
    """

    def __init__(self) -> None:
        #: listed targets by id
        self._targets: dict[str, ListedTarget] = {}
        #: latest entry of each id, including ids that are not listed any more
        self._newest: dict[str, ListedTarget] = {}
        #: revision of the first entry of the newest incarnation of each of these ids
        self._first_revisions: dict[str, int] = {}
        self._ends = TargetEnds()
        #: ids of the listed targets by address
        self._ids_by_address: dict[str, set[str]] = {}
        self._services: dict[str, tuple[ListedTarget, ...]] = {}
        self._evacuated: frozenset[str] = frozenset()

    def __len__(self) -> int:
        return len(self._targets)

    def is_available(self, incarnation: Incarnation) -> bool:
        """Return whether a target may be sent requests."""
        target = self._targets.get(incarnation.target_id)
        if target is None or target.incarnation != incarnation:
            return False
        return self._accepts_requests(target)

    def find_end(self, incarnation: Incarnation) -> TargetEnd | None:
        """Return by what a target is taken to have ended; ``None``: it isn't."""
        if self.is_superseded(incarnation):
            return TargetEnd(EndEvidence.RESTART)
        end = self._ends.find(incarnation)
        if end is not None:
            return end
        target = self._targets.get(incarnation.target_id)
        successor = None if target is None else self._find_successor(target)
        if successor is None:
            return None
        revision = self._first_revisions[successor.target_id]
        return TargetEnd(EndEvidence.ADDRESS, revision)

    def list_replaced(self, target: ListedTarget) -> tuple[ListedTarget, ...]:
        """Return the listed targets whose address a target has taken over."""
        return tuple(
            other
            for other in self._list_at(target)
            if self._has_taken_over(target, other)
        )

    def is_evacuated(self, data_centre: str) -> bool:
        """Return whether the targets of a data centre are to receive nothing."""
        return data_centre in self._evacuated

    def set_evacuated(self, data_centres: frozenset[str]) -> None:
        """Set the data centres whose targets are to receive nothing."""
        self._evacuated = data_centres
        self._services.clear()

    def is_superseded(self, incarnation: Incarnation) -> bool:
        """Return whether the target has restarted since and lost its state."""
        newest = self._newest.get(incarnation.target_id)
        return newest is not None and newest.incarnation > incarnation

    def has_superseded(self, incarnations: Iterable[Incarnation]) -> bool:
        """Return whether any of several targets has restarted since."""
        return any(map(self.is_superseded, incarnations))

    def find_newest(self, target_id: str) -> Incarnation | None:
        """Return the newest known incarnation of an id, listed or not."""
        newest = self._newest.get(target_id)
        return None if newest is None else newest.incarnation

    def find_listed(self, target_id: str) -> ListedTarget | None:
        """Return the target that is listed under an id."""
        return self._targets.get(target_id)

    def list_service(self, service: str) -> tuple[ListedTarget, ...]:
        """Return the targets of a service that may be sent requests, sorted by id."""
        found = self._services.get(service)
        if found is None:
            found = tuple(
                sorted(
                    (
                        target
                        for target in self._targets.values()
                        if target.service == service and self._accepts_requests(target)
                    ),
                    key=lambda target: target.incarnation,
                )
            )
            self._services[service] = found
        return found

    def list_other_versions(
        self, service: str, software_version: str
    ) -> frozenset[Incarnation]:
        """Return the targets of a service that have other software."""
        return frozenset(
            target.incarnation
            for target in self.list_service(service)
            if target.software_version != software_version
        )

    def list_all(self) -> tuple[ListedTarget, ...]:
        """Return all listed targets, including those that are draining."""
        return tuple(self._targets.values())

    def compare(self, target: ListedTarget) -> IncarnationOrder:
        """Compare an entry with the newest known incarnation of its id.

        An entry without a start time can't indicate a restart. With the same address it
        belongs to the known incarnation; with another one its incarnation is unknown.
        """
        newest = self._newest.get(target.target_id)
        if newest is None:
            return IncarnationOrder.FIRST
        born, known = target.incarnation.started_ms, newest.incarnation.started_ms
        if born == known:
            return IncarnationOrder.SAME
        if not born:
            same = target.address == newest.address
            return IncarnationOrder.SAME if same else IncarnationOrder.UNKNOWN
        return IncarnationOrder.NEWER if born > known else IncarnationOrder.OUTDATED

    def put(self, target: ListedTarget, read_revision: int = 0) -> bool:
        """Apply an entry; return whether the set of usable targets changed.

        :param read_revision: store revision at which the store has shown the entry;
            0: not known, as it is from a peer
        """
        first_revision = target.revision
        match self.compare(target):
            case IncarnationOrder.OUTDATED | IncarnationOrder.UNKNOWN:
                return False
            case IncarnationOrder.NEWER:
                self._unlist(target.target_id)
            case IncarnationOrder.SAME:
                newest = self._newest[target.target_id]
                first_revision = self._first_revisions[target.target_id]
                # an earlier release that passes on an entry tells no version
                version = target.software_version or newest.software_version
                target = replace(
                    target,
                    incarnation=newest.incarnation,
                    software_version=version,
                )
        known = self._targets.get(target.target_id)
        if known is not None and known.revision > target.revision:
            return False
        if target.leaving:
            end = TargetEnd(EndEvidence.ENTRY, target.revision)
            self._ends.record(target.incarnation, end)
        elif not self._may_list(target, read_revision):
            return False
        self._ends.discard(target.incarnation)
        self._list(target)
        self._remember_newest(target, first_revision)
        return known is None or known.leaving != target.leaving

    def mark_leaving(self, incarnation: Incarnation) -> bool:
        """Exclude a target that has said itself that it leaves.

        No entry of this incarnation takes that back: the store may hold an older one
        for as long as it is away.

        :return: whether it was not known
        """
        if not self._ends.record(incarnation, TargetEnd(EndEvidence.ANSWER)):
            return False
        known = self._targets.get(incarnation.target_id)
        if known is not None and known.incarnation == incarnation:
            self._targets[incarnation.target_id] = replace(known, leaving=True)
            self._services.clear()
        return True

    def remove(
        self,
        incarnation: Incarnation,
        revision: int,
        evidence: EndEvidence = EndEvidence.REMOVAL,
    ) -> bool:
        """Apply the removal of an entry; return whether it was listed."""
        known = self._targets.get(incarnation.target_id)
        if known is None or known.incarnation != incarnation:
            return False
        if known.revision > revision > 0:
            return False
        self._unlist(incarnation.target_id)
        end = TargetEnd(evidence, max(revision, known.revision))
        self._ends.record(incarnation, end)
        return True

    def _may_list(self, target: ListedTarget, read_revision: int) -> bool:
        end = self._ends.find(target.incarnation)
        if end is None:
            return True
        return end.is_ended_by(max(target.revision, read_revision))

    def _accepts_requests(self, target: ListedTarget) -> bool:
        return (
            not target.leaving
            and target.data_centre not in self._evacuated
            and self._find_successor(target) is None
        )

    def _find_successor(self, target: ListedTarget) -> ListedTarget | None:
        """Return the target of another service that has taken over an address."""
        for other in self._list_at(target):
            if self._has_taken_over(other, target):
                return other
        return None

    def _has_taken_over(self, successor: ListedTarget, target: ListedTarget) -> bool:
        """Return whether the address of a target is used by another service's now."""
        first = self._first_revisions
        return (
            successor.service != target.service
            and first[successor.target_id] > first[target.target_id]
        )

    def _list_at(self, target: ListedTarget) -> tuple[ListedTarget, ...]:
        """Return the other listed targets at the address of a target."""
        ids = self._ids_by_address.get(target.address, ())
        if len(ids) <= 1 and target.target_id in ids:
            return ()
        return tuple(self._targets[one] for one in ids if one != target.target_id)

    def _list(self, target: ListedTarget) -> None:
        self._unlist(target.target_id)
        self._targets[target.target_id] = target
        self._ids_by_address.setdefault(target.address, set()).add(target.target_id)
        self._services.clear()

    def _unlist(self, target_id: str) -> None:
        known = self._targets.pop(target_id, None)
        if known is None:
            return
        ids = self._ids_by_address[known.address]
        ids.discard(target_id)
        if not ids:
            del self._ids_by_address[known.address]
        self._services.clear()

    def _remember_newest(self, target: ListedTarget, first_revision: int) -> None:
        # moved to the end, so that the least recently updated ids are dropped first
        self._newest.pop(target.target_id, None)
        self._newest[target.target_id] = target
        self._first_revisions[target.target_id] = first_revision
        if len(self._newest) <= MAX_REMEMBERED:
            return
        for target_id in self._newest:
            if target_id not in self._targets:
                del self._newest[target_id]
                del self._first_revisions[target_id]
                return
