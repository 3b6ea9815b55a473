"""Which instances follow the platform's store for all others."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..targets.subset import compute_weight

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = ("SMALL_FLEET", "choose_followers")

#: instances up to which all of them follow the store
SMALL_FLEET = 12
#: instances of one data centre that follow it in a larger fleet: one may be lost or
#: stand still, and the other goes on
PER_DATA_CENTRE = 2
#: what the choice is about; each duty falls to other instances
DUTY = "store"


def choose_followers(instances: Mapping[str, str]) -> frozenset[str]:
    """Return the instances that follow the store.

    The platform counts each call and wakes every watch at each change, so that with
    all instances watching, calls grow with instances times changes. In a large fleet
    two of each data centre follow the store, so that one which is cut off keeps its
    own, and the others ask them.

    :param instances: data centre by instance id
    """
    if len(instances) <= SMALL_FLEET:
        return frozenset(instances)
    by_place: dict[str, list[str]] = {}
    for instance_id, place in instances.items():
        by_place.setdefault(place, []).append(instance_id)
    chosen: set[str] = set()
    for ids in by_place.values():
        ids.sort(key=lambda one: (compute_weight(one, DUTY), one))
        chosen.update(ids[:PER_DATA_CENTRE])
    return frozenset(chosen)
