"""Which instance gathers the stage work of a service."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..targets.subset import compute_weight

if TYPE_CHECKING:
    from collections.abc import Collection

    from ..peers import Member

__all__ = ("rank_owners",)

#: share of the greatest capacity of all from which an instance is as good as any
STRONG_SHARE = 0.5


def rank_owners(service: str, members: Collection[Member]) -> tuple[str, ...]:
    """Return instances in the order in which they should own ``service``.

    Strong ones go first: an owner sends each call and each result of a service over
    its own link, and one whose link is full makes all makers seem slow. Among equals,
    hashes spread services over them.

    All instances that know the same others agree without a word, and one that
    comes or goes moves only the services that it owns.
    """
    strong = max((one.capacity for one in members), default=0) * STRONG_SHARE

    def rate(one: Member) -> tuple[bool, int, str]:
        weak = one.capacity < strong
        return weak, compute_weight(one.instance_id, service), one.instance_id

    return tuple(one.instance_id for one in sorted(members, key=rate))
