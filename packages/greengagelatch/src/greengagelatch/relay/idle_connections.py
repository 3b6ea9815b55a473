"""How many idle connections an instance keeps to a target that serves all of them."""

from __future__ import annotations

from ..targets.subset import compute_weight

__all__ = ("count_idle_connections",)

#: share of the connections that a target accepts which idle ones may take: it accepts
#: fewer while its queue is long, and those in use need the rest
IDLE_SHARE = 0.4
#: idle connections that are of use to one instance at the most
MAX_IDLE = 4
#: number of different weights
WEIGHT_RANGE = 2**64


def count_idle_connections(
    max_connections: int, instances: int, instance_id: str, target_id: str
) -> int:
    """Return the idle connections that one instance may keep to one target.

    A target resets whatever comes beyond what it accepts from all instances together,
    so each kept connection of hundreds of instances is one that a request in need
    can't open. Where the share of one instance is below a whole connection, those with
    the lowest hashes keep one, others for each target.

    :param max_connections: what the target accepts; 0: not told
    :param instances: instances that may have connections to it
    """
    if max_connections <= 0:
        return MAX_IDLE
    share = max_connections * IDLE_SHARE / max(1, instances)
    if share >= 1.0:
        return min(MAX_IDLE, int(share))
    return int(compute_weight(instance_id, target_id) < share * WEIGHT_RANGE)
