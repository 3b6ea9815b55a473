"""Choice of the instance that owns a group of makers and batches their work."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..targets.subset import compute_weight

if TYPE_CHECKING:
    from collections.abc import Collection

    from ..peers import Member
    from .groups import MakerGroup

__all__ = ("rank_owners",)

#: share of the largest capacity from which instances are treated as equal
LARGE_CAPACITY_SHARE = 0.5


def rank_owners(group: MakerGroup, members: Collection[Member]) -> tuple[str, ...]:
    """Return instance ids in order of preference as owner of a group of makers.

    Only instances in the group's data centre are candidates if there are any, so that
    a network partition leaves owner and makers on the same side.

    Instances with a large capacity come first: an owner sends all calls and results of
    its makers over its own link, and a saturated link makes all makers seem slow.
    Rendezvous hashing spreads groups over instances of similar capacity.

    Instances with the same membership view agree without coordination, and an
    instance that joins or leaves moves only the groups that it owns.
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
