"""Selection of the neighbours to which an instance keeps a link."""

from __future__ import annotations

import heapq
from collections.abc import Sequence

import xxhash

from .records import MemberRecord

__all__ = ("choose_neighbours",)


def choose_neighbours(
    instance_id: str, data_centre: str, records: Sequence[MemberRecord], links: int
) -> frozenset[str]:
    """Return the instances to which ``instance_id`` keeps a link.

    In a small fleet these are all others. In a large one they are chosen by rendezvous
    hashing, half from the same data centre and half from the others. Links within a
    data centre keep it connected when it is partitioned from the rest; the others
    carry updates between data centres. Each instance opens the same number of links,
    so each is monitored over at least that many, and the number of links per instance
    does not grow with the fleet.

    :param links: number of links to open.
    """
    if len(records) <= 2 * links:
        return frozenset(record.instance_id for record in records)

    def weigh(record: MemberRecord) -> int:
        pair = f"{instance_id}\x00{record.instance_id}"
        return xxhash.xxh3_64_intdigest(pair.encode())

    near = [record for record in records if record.data_centre == data_centre]
    far = [record for record in records if record.data_centre != data_centre]
    wanted_far = min(len(far), links // 2)
    wanted_near = min(len(near), links - wanted_far)
    chosen = heapq.nsmallest(wanted_near, near, key=weigh)
    chosen += heapq.nsmallest(links - wanted_near, far, key=weigh)
    return frozenset(record.instance_id for record in chosen)
