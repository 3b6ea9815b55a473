"""Groups of engines in this data centre that placement policies manage."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from greengagelatch.placement.desired import find_placements
from greengagelatch.placement.overflow import (
    OverflowRule,
    OverflowState,
    is_preferred,
    measure_load,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from greengagelatch.config.effects import Placement
    from greengagelatch.config.snapshot import Snapshot
    from greengagelatch.orders.group import EngineGroup
    from greengagelatch.targets import Target

    from .controllers.targets import TargetsController

__all__ = ("PlacementGroup", "PlacementGroups")

OVERFLOW_RULE = OverflowRule()


@dataclass(slots=True)
class PlacementGroup:
    """The engines of one service in this data centre."""

    name: str
    service: str
    placement: Placement
    #: whether the engines are to have the state that the placement specifies
    placed: bool = False
    overflow: OverflowState = field(default_factory=OverflowState)
    #: listed targets that are not leaving, by id
    targets: dict[str, Target] = field(default_factory=dict)
    #: ``None`` while the lease is not held
    engines: EngineGroup | None = None
    #: whether the configuration was verified to be the newest during this lease
    configuration_current: bool = False
    #: error of the last failed call, for the state dump
    last_error: str = ""

    @property
    def has_open_order(self) -> bool:
        """Whether an order is in progress, or may still be."""
        return self.engines is not None and self.engines.has_open_order


class PlacementGroups:
    """Keeps the groups in line with configuration, targets and load."""

    def __init__(self, *, data_centre: str, targets: TargetsController) -> None:
        self._data_centre = data_centre
        self._targets = targets
        self._groups: dict[str, PlacementGroup] = {}

    def __len__(self) -> int:
        return len(self._groups)

    def list_groups(self) -> tuple[PlacementGroup, ...]:
        """Return all groups, ordered by name."""
        return tuple(self._groups[name] for name in sorted(self._groups))

    def update(self, now: float, snapshot: Snapshot) -> None:
        """Update all groups; ``now`` is in monotonic seconds."""
        placements = find_placements(snapshot)
        groups = {}
        for service, placement in placements.items():
            name = f"{self._data_centre}/{service}"
            group = self._groups.get(name) or PlacementGroup(name, service, placement)
            group.placement = placement
            groups[name] = group
        for name, group in self._groups.items():
            # a group without a policy stays until its orders end: otherwise its lease
            # would be released and the next holder could start too early
            if name not in groups and group.has_open_order:
                group.placed = False
                groups[name] = group
        self._groups = groups
        if not groups:
            return
        listed = self._targets.list_targets()
        self._assign_targets(target for target, _ in listed)
        ejected = frozenset(
            target.target_id for target, is_ejected in listed if is_ejected
        )
        for service in placements:
            group = groups[f"{self._data_centre}/{service}"]
            group.placed = self._decide_placed(now, group, ejected)

    def _assign_targets(self, targets: Iterable[Target]) -> None:
        by_service: dict[str, dict[str, Target]] = {}
        for target in targets:
            if target.data_centre != self._data_centre:
                continue
            by_service.setdefault(target.service, {})[target.target_id] = target
        for group in self._groups.values():
            group.targets = by_service.get(group.service, {})

    def _decide_placed(
        self, now: float, group: PlacementGroup, ejected: frozenset[str]
    ) -> bool:
        if is_preferred(group.placement, self._data_centre):
            return True
        reachable = [
            candidate
            for candidate in self._targets.candidates(group.service)
            if candidate.target.target_id not in ejected
        ]
        load = measure_load(group.placement, reachable)
        group.overflow = group.overflow.update(now, load, OVERFLOW_RULE)
        return group.overflow.overflowing
