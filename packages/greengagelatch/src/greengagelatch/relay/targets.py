"""Targets as the platform lists them, and which of them may get work."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from .incarnations import Incarnation, IncarnationOrder

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ("ListedTarget", "TargetTable")

#: seconds after the platform's store is back within which entries that lapsed while
#: it was away are written again by targets that live
REREGISTRATION_SECONDS = 2.0
#: targets that left, and ids whose newest incarnation is known, that are remembered
MAX_REMEMBERED = 4096


@dataclass(frozen=True, slots=True, kw_only=True)
class ListedTarget:
    """One incarnation of a target, as its entry tells of it."""

    incarnation: Incarnation
    service: str
    #: ``host:port``; may be given to another target once this one has ended
    address: str
    data_centre: str
    slots: int = 1
    leaving: bool = False
    #: revision of the store at which its entry was written
    revision: int = 0

    @property
    def target_id(self) -> str:
        """The id, which a later incarnation may have as well."""
        return self.incarnation.target_id


class TargetTable:
    """All targets that are listed, by service.

    A target that has begun to leave stays out for good, also if an older entry of
    it is read again from a store that lags: work sent to it would be cut. One that
    starts again under its id is another target: of each id only the newest
    incarnation is listed.
    """

    def __init__(self) -> None:
        #: by id: there is one entry for each
        self._targets: dict[str, ListedTarget] = {}
        #: what was last read of each id, also of those that are not listed any more
        self._newest: dict[str, ListedTarget] = {}
        self._departed: dict[Incarnation, None] = {}
        self._services: dict[str, tuple[ListedTarget, ...]] = {}

    def __len__(self) -> int:
        return len(self._targets)

    def is_available(self, incarnation: Incarnation) -> bool:
        """Whether a target may still be sent work."""
        target = self._targets.get(incarnation.target_id)
        if target is None or target.incarnation != incarnation:
            return False
        return not target.leaving

    def is_superseded(self, incarnation: Incarnation) -> bool:
        """Whether the target has started again since: all that it held is lost."""
        newest = self._newest.get(incarnation.target_id)
        return newest is not None and newest.incarnation > incarnation

    def has_superseded(self, incarnations: Iterable[Incarnation]) -> bool:
        """Whether any of several targets has started again since."""
        return any(map(self.is_superseded, incarnations))

    def find_newest(self, target_id: str) -> Incarnation | None:
        """Return the newest incarnation known of an id, listed or not."""
        newest = self._newest.get(target_id)
        return None if newest is None else newest.incarnation

    def find_listed(self, target_id: str) -> ListedTarget | None:
        """Return the target that is listed under an id."""
        return self._targets.get(target_id)

    def list_service(self, service: str) -> tuple[ListedTarget, ...]:
        """Return the targets of a service that may be sent work, by id."""
        found = self._services.get(service)
        if found is None:
            found = tuple(
                sorted(
                    (
                        target
                        for target in self._targets.values()
                        if target.service == service and not target.leaving
                    ),
                    key=lambda target: target.incarnation,
                )
            )
            self._services[service] = found
        return found

    def list_all(self) -> tuple[ListedTarget, ...]:
        """Return every target listed, also those that leave."""
        return tuple(self._targets.values())

    def compare(self, target: ListedTarget) -> IncarnationOrder:
        """Say how an entry stands to the newest incarnation known of its id.

        An entry that tells no start can't prove a new one. It is of the incarnation
        that is known where its address is the same; elsewhere nobody can say whose
        it is.
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

    def put(self, target: ListedTarget) -> bool:
        """Take in an entry; whether it changed what may be sent work."""
        match self.compare(target):
            case IncarnationOrder.OUTDATED | IncarnationOrder.UNKNOWN:
                return False
            case IncarnationOrder.NEWER:
                self._targets.pop(target.target_id, None)
            case IncarnationOrder.SAME:
                newest = self._newest[target.target_id].incarnation
                target = replace(target, incarnation=newest)
        known = self._targets.get(target.target_id)
        if known is not None and known.revision > target.revision:
            return False
        if target.incarnation in self._departed and not target.leaving:
            return False
        if target.leaving:
            self._remember_departed(target.incarnation)
        self._targets[target.target_id] = target
        self._remember_newest(target)
        self._services.clear()
        return known is None or known.leaving != target.leaving

    def remove(
        self, incarnation: Incarnation, revision: int, *, lapsed: bool = False
    ) -> bool:
        """Take in that an entry is gone; whether it was there.

        :param lapsed: whether the entry may have ended only because its target
            could not renew it; such a target may be listed again
        """
        known = self._targets.get(incarnation.target_id)
        if known is None or known.incarnation != incarnation:
            return False
        if known.revision > revision > 0:
            return False
        del self._targets[incarnation.target_id]
        if not lapsed:
            self._remember_departed(incarnation)
        self._services.clear()
        return True

    def _remember_departed(self, incarnation: Incarnation) -> None:
        self._departed[incarnation] = None
        if len(self._departed) > MAX_REMEMBERED:
            del self._departed[next(iter(self._departed))]

    def _remember_newest(self, target: ListedTarget) -> None:
        # to the end, so that those unheard of for the longest time are dropped first
        self._newest.pop(target.target_id, None)
        self._newest[target.target_id] = target
        if len(self._newest) <= MAX_REMEMBERED:
            return
        for target_id in self._newest:
            if target_id not in self._targets:
                del self._newest[target_id]
                return
