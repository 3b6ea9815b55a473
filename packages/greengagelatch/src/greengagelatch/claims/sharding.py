"""Digests of keys and requests, and the mapping of keys to shards and writers."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

import xxhash

__all__ = (
    "LAYOUT_KEY",
    "choose_shard",
    "create_digest",
    "create_key",
    "name_head",
    "name_segment",
    "rank_instances",
)

KEY_BYTES = 16
DIGEST_BYTES = 8
PREFIX = "claims"
#: key of the number of shards in the store
LAYOUT_KEY = f"{PREFIX}/shards"


def create_key(workspace: str, pipeline: str, key: str) -> bytes:
    """Return the digest of a caller's key within its workspace and pipeline.

    Callers choose their keys, so the hash has to be collision-resistant: a collision
    would give one caller's result to another.
    """
    hasher = hashlib.blake2b(digest_size=KEY_BYTES)
    for part in (workspace, pipeline, key):
        data = part.encode()
        # length prefixes distinguish "ab" + "c" from "a" + "bc"
        hasher.update(len(data).to_bytes(4))
        hasher.update(data)
    return hasher.digest()


def create_digest(text: str) -> bytes:
    """Return a digest of fixed length of a request's own digest."""
    return hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES).digest()


def choose_shard(key: bytes, shards: int) -> int:
    """Return the shard of a key."""
    return xxhash.xxh64_intdigest(key) % shards


def name_head(shard: int) -> str:
    """Return the key of a shard's head in the store."""
    return f"{PREFIX}/{shard}/head"


def name_segment(shard: int, number: int) -> str:
    """Return the key of a sealed segment in the store."""
    return f"{PREFIX}/{shard}/segment/{number}"


def rank_instances(name: str, instance_ids: Iterable[str]) -> tuple[str, ...]:
    """Rank instances by rendezvous hashing for ``name``, the first choice first.

    Instances with the same membership view choose the same one without
    coordination, and a change of one member moves only what that member had.
    """
    return tuple(
        sorted(
            instance_ids,
            key=lambda one: (xxhash.xxh64_intdigest(f"{name}\0{one}".encode()), one),
            reverse=True,
        )
    )
