"""Stable subsets of large services, by rendezvous hashing."""

from __future__ import annotations

import xxhash

__all__ = ("compute_weight",)


def compute_weight(instance_id: str, target_id: str) -> int:
    """Return the place of a target in an instance's own order; lowest is first.

    Every instance has its own stable order of all targets and uses the first few.
    A target that comes or goes changes at most one place of each instance's
    subset, so connections and prefix caches of the others are kept.
    """
    pair = f"{instance_id}\x00{target_id}"
    return xxhash.xxh3_64_intdigest(pair.encode())
