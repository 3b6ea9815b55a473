"""Size of the pool of idle connections that one instance keeps to one target."""

from __future__ import annotations

from ..targets.subset import compute_weight

__all__ = ("count_idle_connections",)

#: share of a target's connection limit that idle connections may occupy: the target
#: accepts fewer while its queue is long, and active connections need the rest
IDLE_SHARE = 0.4
#: most idle connections that are of use to one instance
MAX_IDLE = 4
#: number of different values of a weight
WEIGHT_RANGE = 2**64


def count_idle_connections(
    max_connections: int, instances: int, instance_id: str, target_id: str
) -> int:
    """Return the idle connections that one instance may keep to one target.

    A target resets connections beyond its limit, which all instances share, so idle
    connections of hundreds of instances keep requests from opening new ones. Where the
    share of one instance is below one connection, the instances with the lowest hashes
    for this target keep one each.

    :param max_connections: the target's limit; 0: unknown
    :param instances: number of instances that may connect to it
    """
    if max_connections <= 0:
        return MAX_IDLE
    share = max_connections * IDLE_SHARE / max(1, instances)
    if share >= 1.0:
        return min(MAX_IDLE, int(share))
    return int(compute_weight(instance_id, target_id) < share * WEIGHT_RANGE)
