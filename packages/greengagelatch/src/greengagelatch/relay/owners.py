"""Which instance gathers the stage work of a group of makers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..targets.subset import compute_weight

if TYPE_CHECKING:
    from collections.abc import Collection

    from ..peers import Member
    from .groups import MakerGroup

__all__ = ("rank_owners",)

#: share of the greatest capacity of all from which an instance is as good as any
LARGE_CAPACITY_SHARE = 0.5


def rank_owners(group: MakerGroup, members: Collection[Member]) -> tuple[str, ...]:
    """Return instances in the order in which they should own a group of makers.

    Those in the group's data centre own it, so that a partition leaves owner and
    makers on the same side; others only where there is none.

    Strong ones go first: an owner sends each call and each result of its makers over
    its own link, and one whose link is full makes all makers seem slow. Among equals,
    hashes spread groups over them.

    All instances that know the same others agree without a word, and one that
    comes or goes moves only the groups that it owns.
    """
    local = [one for one in members if one.data_centre == group.data_centre]
    candidates = local or members
    min_capacity = (
        max((one.capacity for one in candidates), default=0) * LARGE_CAPACITY_SHARE
    )

    def compute_sort_key(one: Member) -> tuple[bool, int, str]:
        is_small = one.capacity < min_capacity
        return is_small, compute_weight(one.instance_id, group.service), one.instance_id

    return tuple(one.instance_id for one in sorted(candidates, key=compute_sort_key))
