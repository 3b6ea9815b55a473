"""Choice of the instances that follow the platform's store for all others."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..targets.subset import compute_weight

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = ("ALL_FOLLOW_LIMIT", "choose_followers")

#: largest number of instances at which all of them follow the store
ALL_FOLLOW_LIMIT = 12
#: followers in each data centre of a larger fleet: two, so that one of them may fail
#: or hang
FOLLOWERS_PER_DATA_CENTRE = 2
#: hash key of this role; other roles are assigned to other instances
ROLE = "store"


def choose_followers(instances: Mapping[str, str]) -> frozenset[str]:
    """Return the instances that follow the store.

    The platform bills each call and wakes every watch at each change, so that with
    all instances watching, calls grow with instances times changes. In a large fleet
    two instances of each data centre follow the store and the others ask them; a data
    centre that is partitioned off keeps its own followers.

    :param instances: data centre by instance id
    """
    if len(instances) <= ALL_FOLLOW_LIMIT:
        return frozenset(instances)
    by_data_centre: dict[str, list[str]] = {}
    for instance_id, data_centre in instances.items():
        by_data_centre.setdefault(data_centre, []).append(instance_id)
    chosen: set[str] = set()
    for ids in by_data_centre.values():
        ids.sort(key=lambda one: (compute_weight(one, ROLE), one))
        chosen.update(ids[:FOLLOWERS_PER_DATA_CENTRE])
    return frozenset(chosen)
