"""Groups of makers by service, according to the local membership view."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from greengagelatch.peers import MemberState
from greengagelatch.relay.groups import (
    MakerGroup,
    ServiceView,
    estimate_load,
    find_owning_data_centre,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from greengagelatch.peers import Member
    from greengagelatch.relay.deployment import MakerProfile
    from greengagelatch.relay.groups import OwnershipPolicy
    from greengagelatch.relay.targets import ListedTarget, TargetTable

__all__ = ("MakerGroups",)


@dataclass(frozen=True, slots=True)
class _Fleet:
    """Data centres of the members, and the capacity of the strongest one."""

    homes: frozenset[str] = frozenset()
    capacity: int = 0


@dataclass(frozen=True, slots=True)
class _Selection:
    """Cached makers of a group, and the inputs that they were selected from."""

    listed: tuple[ListedTarget, ...]
    fleet: _Fleet
    chosen: tuple[ListedTarget, ...]


@dataclass(frozen=True, slots=True)
class _Division:
    """Cached groups of a service, and the inputs that they follow from."""

    listed: tuple[ListedTarget, ...]
    fleet: _Fleet
    profile: MakerProfile | None
    groups: tuple[MakerGroup, ...]


class MakerGroups:
    """Groups of makers by service; instances with the same view agree on them.

    :param list_members: returns all known instances, including dead ones, so that the
        makers of a partitioned data centre do not change their owner
    :param find_profile: returns the configured profile of a service's makers
    """

    def __init__(
        self,
        *,
        rule: OwnershipPolicy,
        target_table: TargetTable,
        list_members: Callable[[], tuple[Member, ...]],
        find_profile: Callable[[str], MakerProfile | None],
    ) -> None:
        self._rule = rule
        self._target_table = target_table
        self._list_members = list_members
        self._find_profile = find_profile
        self._members: tuple[Member, ...] = ()
        self._fleet = _Fleet()
        self._divisions: dict[str, _Division] = {}
        self._selections: dict[MakerGroup, _Selection] = {}

    def list_groups(self, service: str) -> tuple[MakerGroup, ...]:
        """Return the groups of a service."""
        listed = self._target_table.list_service(service)
        fleet, profile = self._find_fleet(), self._find_profile(service)
        cached = self._divisions.get(service)
        # the table creates a new list whenever an entry changes
        if (
            cached is None
            or cached.listed is not listed
            or cached.fleet != fleet
            or cached.profile != profile
        ):
            groups = self._divide(service, cached)
            cached = _Division(listed, fleet, profile, groups)
            self._divisions[service] = cached
        return cached.groups

    def list_makers(self, group: MakerGroup) -> tuple[ListedTarget, ...]:
        """Return the makers of a group; the same object until something changes."""
        listed = self._target_table.list_service(group.service)
        if not group.data_centre:
            return listed
        fleet = self._find_fleet()
        cached = self._selections.get(group)
        if cached is None or cached.listed is not listed or cached.fleet != fleet:
            chosen = tuple(
                target
                for target in listed
                if find_owning_data_centre(target.data_centre, fleet.homes)
                == group.data_centre
            )
            cached = self._selections[group] = _Selection(listed, fleet, chosen)
        return cached.chosen

    def find_local_group(self, service: str, data_centre: str) -> MakerGroup:
        """Return the group of makers in a data centre, even if they are not divided.

        If the data centre has no makers, the group of the whole service is returned.
        """
        near = MakerGroup(service, data_centre)
        return near if self.list_makers(near) else MakerGroup(service)

    def find_group(self, service: str, data_centre: str) -> MakerGroup:
        """Return the group that contains the makers of a data centre."""
        home = find_owning_data_centre(data_centre, self._find_fleet().homes)
        group = MakerGroup(service, home)
        return group if group in self.list_groups(service) else MakerGroup(service)

    def count_max_groups(self) -> int:
        """Return the largest number of groups that any service has."""
        return max((len(one.groups) for one in self._divisions.values()), default=1)

    def _divide(self, service: str, cached: _Division | None) -> tuple[MakerGroup, ...]:
        whole = (MakerGroup(service),)
        profile = self._find_profile(service)
        if profile is None:
            return whole
        fleet = self._find_fleet()
        listed = self._target_table.list_service(service)
        makers = Counter(
            find_owning_data_centre(one.data_centre, fleet.homes) for one in listed
        )
        view = ServiceView(
            makers=makers,
            load=estimate_load(profile, len(listed)),
            capacity=fleet.capacity,
        )
        before = cached is not None and bool(cached.groups[0].data_centre)
        if not self._rule.is_partitioned(view, before):
            return whole
        return tuple(MakerGroup(service, place) for place in sorted(makers))

    def _find_fleet(self) -> _Fleet:
        members = self._list_members()
        if members is not self._members:
            self._members = members
            living = [one for one in members if one.state is MemberState.ALIVE]
            self._fleet = _Fleet(
                frozenset(member.data_centre for member in members),
                max((member.capacity for member in living), default=0),
            )
        return self._fleet
