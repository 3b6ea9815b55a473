"""How the makers of each service are divided between owners, as this instance sees."""

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
    """What is taken from the members: where they are, and how strong the best is."""

    homes: frozenset[str] = frozenset()
    capacity: int = 0


@dataclass(frozen=True, slots=True)
class _Selection:
    """Makers of a group, and what they were chosen from."""

    listed: tuple[ListedTarget, ...]
    fleet: _Fleet
    chosen: tuple[ListedTarget, ...]


@dataclass(frozen=True, slots=True)
class _Division:
    """Groups of a service, and what they follow from."""

    listed: tuple[ListedTarget, ...]
    fleet: _Fleet
    profile: MakerProfile | None
    groups: tuple[MakerGroup, ...]


class MakerGroups:
    """Groups of makers by service; all instances that know the same agree on them.

    :param list_members: returns all instances that are known, the dead ones included:
        the makers of a data centre that is cut off are not to change their owner
    :param find_profile: returns what the configuration says of a service's makers
    """

    def __init__(
        self,
        *,
        rule: OwnershipPolicy,
        book: TargetTable,
        list_members: Callable[[], tuple[Member, ...]],
        find_profile: Callable[[str], MakerProfile | None],
    ) -> None:
        self._rule = rule
        self._book = book
        self._list_members = list_members
        self._find_profile = find_profile
        self._members: tuple[Member, ...] = ()
        self._fleet = _Fleet()
        self._divisions: dict[str, _Division] = {}
        self._selections: dict[MakerGroup, _Selection] = {}

    def list_groups(self, service: str) -> tuple[MakerGroup, ...]:
        """Return the groups of a service."""
        listed = self._book.list_service(service)
        fleet, profile = self._find_fleet(), self._find_profile(service)
        known = self._divisions.get(service)
        # the book makes a new list when one of its entries changes
        if (
            known is None
            or known.listed is not listed
            or known.fleet != fleet
            or known.profile != profile
        ):
            groups = self._divide(service, known)
            known = _Division(listed, fleet, profile, groups)
            self._divisions[service] = known
        return known.groups

    def list_makers(self, group: MakerGroup) -> tuple[ListedTarget, ...]:
        """Return the makers of a group; the same object as long as nothing changes."""
        listed = self._book.list_service(group.service)
        if not group.data_centre:
            return listed
        fleet = self._find_fleet()
        known = self._selections.get(group)
        if known is None or known.listed is not listed or known.fleet != fleet:
            chosen = tuple(
                target
                for target in listed
                if find_owning_data_centre(target.data_centre, fleet.homes)
                == group.data_centre
            )
            known = self._selections[group] = _Selection(listed, fleet, chosen)
        return known.chosen

    def find_near(self, service: str, data_centre: str) -> MakerGroup:
        """Return the makers beside an instance, whether they are divided or not.

        All of the service, where there are none in its data centre.
        """
        near = MakerGroup(service, data_centre)
        return near if self.list_makers(near) else MakerGroup(service)

    def find_group(self, service: str, data_centre: str) -> MakerGroup:
        """Return the group that the makers of a data centre belong to."""
        home = find_owning_data_centre(data_centre, self._find_fleet().homes)
        group = MakerGroup(service, home)
        return group if group in self.list_groups(service) else MakerGroup(service)

    def count_most(self) -> int:
        """Return the largest number of groups of a service."""
        return max((len(one.groups) for one in self._divisions.values()), default=1)

    def _divide(self, service: str, known: _Division | None) -> tuple[MakerGroup, ...]:
        whole = (MakerGroup(service),)
        profile = self._find_profile(service)
        if profile is None:
            return whole
        fleet = self._find_fleet()
        listed = self._book.list_service(service)
        makers = Counter(
            find_owning_data_centre(one.data_centre, fleet.homes) for one in listed
        )
        view = ServiceView(
            makers=makers,
            load=estimate_load(profile, len(listed)),
            capacity=fleet.capacity,
        )
        before = known is not None and bool(known.groups[0].data_centre)
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
