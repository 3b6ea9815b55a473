"""Deterministic subsetting of large services by rendezvous hashing."""

from __future__ import annotations

import xxhash

__all__ = ("compute_weight",)


def compute_weight(instance_id: str, target_id: str) -> int:
    """Return the rank of a target in an instance's order; the lowest comes first.

    Every instance has its own stable order of all targets and uses the first ones. A
    target that is added or removed changes at most one target of each subset, so
    connections to the other targets and their prefix caches stay in use.
    """
    pair = f"{instance_id}\x00{target_id}"
    return xxhash.xxh3_64_intdigest(pair.encode())
