"""The head: the root value in the store that defines the current generation.

A change writes its new shards first and then replaces the head with a single
compare-and-swap. Changes are therefore atomic and totally ordered.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

import cbor2
from result import Err, Ok, Result

__all__ = (
    "EMPTY_HEAD",
    "HEAD_KEY",
    "HEAD_VERSION",
    "ChangeEntry",
    "Head",
    "ShardRef",
    "append_change",
    "apply_delta",
    "decode_head",
    "encode_delta",
    "encode_head",
    "find_change",
    "find_shards_at",
    "get_oldest_generation",
    "list_refs",
)

HEAD_KEY = "config/head"
SHARD_PREFIX = "config/shards/"

#: version of the format; raised when an earlier release would misread a new one
HEAD_VERSION = 1

#: latest changes that stay in the head regardless of age
MIN_CHANGES = 1024

#: limit of changes in the head, which bounds its size to about 300 kB
MAX_CHANGES = 4096

#: seconds for which every change stays in the head, so that a client whose answer was
#: lost can look up the outcome
RETENTION_SECONDS = 3600.0

#: generations whose shards are kept for rollbacks
ROLLBACK_GENERATIONS = 256

#: limit of the shards awaiting deletion that the head lists
MAX_GARBAGE = 2048

DIGEST_BYTES = 16


@dataclass(frozen=True, slots=True)
class ShardRef:
    """Reference to a shard in the store.

    Each change has a random salt, so that no two changes write the same key. A key
    that the head no longer references is therefore never referenced again, and its
    deletion can't remove a shard that a concurrent change is about to reference.
    """

    digest: bytes
    salt: int
    #: store revision at which the shard was written
    revision: int = 0

    @property
    def key(self) -> str:
        """Key of the shard in the store."""
        return f"{SHARD_PREFIX}{self.digest.hex()}-{self.salt:016x}"


@dataclass(frozen=True, slots=True)
class ChangeEntry:
    """Log entry of a committed change."""

    change_id: str
    generation: int
    #: seconds since the Unix epoch by the clock of the committing instance
    time: float
    #: digest of the request, to detect an id that is used for two changes
    digest: bytes
    #: shards that the change replaced, by bucket; empty once these are not kept
    previous: Mapping[int, ShardRef | None] = field(default_factory=dict)


@dataclass(frozen=True, slots=True, kw_only=True)
class Head:
    """One generation: its shards by bucket, and the log of recent changes."""

    generation: int = 0
    shards: Mapping[int, ShardRef] = field(default_factory=dict)
    #: oldest first
    changes: tuple[ChangeEntry, ...] = ()
    #: shards that no kept generation references, oldest first
    garbage: tuple[ShardRef, ...] = ()


EMPTY_HEAD = Head()


def find_change(head: Head, change_id: str) -> ChangeEntry | None:
    """Return the log entry of a change, ``None`` if not committed or too old."""
    for entry in reversed(head.changes):
        if entry.change_id == change_id:
            return entry
    return None


def get_oldest_generation(head: Head) -> int:
    """Return the oldest generation whose shards are kept."""
    oldest = head.generation
    for entry in reversed(head.changes[-ROLLBACK_GENERATIONS:]):
        oldest = entry.generation - 1
    return oldest


def find_shards_at(head: Head, generation: int) -> Mapping[int, ShardRef] | None:
    """Return the shards of an earlier generation; ``None`` if they are not kept."""
    if not get_oldest_generation(head) <= generation <= head.generation:
        return None
    shards: dict[int, ShardRef] = dict(head.shards)
    for entry in reversed(head.changes):
        if entry.generation <= generation:
            break
        for bucket, ref in entry.previous.items():
            if ref is None:
                shards.pop(bucket, None)
            else:
                shards[bucket] = ref
    return shards


def list_refs(head: Head) -> frozenset[ShardRef]:
    """Return all shards that a head references: current, replaced and garbage."""
    refs = {*head.shards.values(), *head.garbage}
    for entry in head.changes:
        refs.update(ref for ref in entry.previous.values() if ref is not None)
    return frozenset(refs)


def append_change(
    head: Head,
    *,
    change_id: str,
    digest: bytes,
    shards: Mapping[int, ShardRef],
    now: float,
    deleted: frozenset[ShardRef] = frozenset(),
) -> Result[Head, str]:
    """Return the head with one more change, or an error if its log is full.

    :param shards: new shards of the buckets that the change modifies.
    :param now: seconds since the Unix epoch.
    :param deleted: garbage that has been deleted from the store.
    """
    changes = _drop_expired(head.changes, now)
    if len(changes) >= MAX_CHANGES:
        return Err(f"more than {MAX_CHANGES} changes within {RETENTION_SECONDS:.0f} s")
    previous = {bucket: head.shards.get(bucket) for bucket in shards}
    generation = head.generation + 1
    changes.append(ChangeEntry(change_id, generation, now, digest, previous))
    garbage = [ref for ref in head.garbage if ref not in deleted]
    if len(changes) > ROLLBACK_GENERATIONS:
        garbage.extend(_clear_previous(changes))
    return Ok(
        Head(
            generation=generation,
            shards={**head.shards, **shards},
            changes=tuple(changes),
            garbage=tuple(garbage[-MAX_GARBAGE:]),
        )
    )


def _drop_expired(changes: tuple[ChangeEntry, ...], now: float) -> list[ChangeEntry]:
    remaining = list(changes)
    while len(remaining) >= MIN_CHANGES and now - remaining[0].time > RETENTION_SECONDS:
        del remaining[0]
    return remaining


def _clear_previous(changes: list[ChangeEntry]) -> list[ShardRef]:
    """Remove the references from before the oldest kept generation; return them."""
    position = len(changes) - ROLLBACK_GENERATIONS - 1
    entry = changes[position]
    changes[position] = ChangeEntry(
        entry.change_id, entry.generation, entry.time, entry.digest
    )
    return [ref for ref in entry.previous.values() if ref is not None]


def encode_head(head: Head) -> bytes:
    """Encode a head for the store; equal heads have equal encodings."""
    frame = {
        "v": HEAD_VERSION,
        "generation": head.generation,
        "shards": {bucket: _encode_ref(ref) for bucket, ref in head.shards.items()},
        "changes": [_encode_change(entry) for entry in head.changes],
        "garbage": [_encode_ref(ref) for ref in head.garbage],
    }
    return cbor2.dumps(frame, canonical=True)


def decode_head(data: bytes) -> Result[Head, str]:
    """Decode a head; the error is a readable reason."""
    return _decode(data, _parse_head)


def encode_delta(head: Head, since: int) -> bytes | None:
    """Encode the difference between generation ``since`` and ``head``.

    A head holds more than a thousand log entries, whereas one change is a few hundred
    bytes. The result is ``None`` unless all changes in between are in the log with
    the shards that they replaced.
    """
    count = head.generation - since
    if not 0 < count <= min(len(head.changes), ROLLBACK_GENERATIONS):
        return None
    changes = head.changes[-count:]
    buckets = {bucket for entry in changes for bucket in entry.previous}
    frame = {
        "v": HEAD_VERSION,
        "since": since,
        "shards": {bucket: _encode_ref(head.shards[bucket]) for bucket in buckets},
        "changes": [_encode_change(entry) for entry in changes],
        "digest": _compute_shards_digest(head.shards),
    }
    return cbor2.dumps(frame, canonical=True)


def apply_delta(head: Head, data: bytes) -> Result[Head, str]:
    """Apply a delta to a head; the error is a readable reason.

    The digest of all shard references is verified. If sender and receiver diverged,
    the receiver would otherwise serve another configuration under the same
    generation, and no other check would detect it.
    """
    return _decode(data, lambda frame: _apply_frame(head, frame))


def _apply_frame(head: Head, frame: Any) -> Head:
    if frame["since"] != head.generation:
        raise ValueError(
            f"delta begins at generation {frame['since']}, the head is at"
            f" {head.generation}"
        )
    changes = tuple(_parse_change(row) for row in frame["changes"])
    new_shards = {key: ShardRef(*row) for key, row in frame["shards"].items()}
    shards = {**head.shards, **new_shards}
    if _compute_shards_digest(shards) != frame["digest"]:
        raise ValueError("the digest of the resulting shards differs from the sender's")
    return Head(
        generation=changes[-1].generation,
        shards=shards,
        changes=(*head.changes, *changes)[-MAX_CHANGES:],
    )


def _parse_head(frame: Any) -> Head:
    return Head(
        generation=int(frame["generation"]),
        shards={key: ShardRef(*row) for key, row in frame["shards"].items()},
        changes=tuple(_parse_change(row) for row in frame["changes"]),
        garbage=tuple(ShardRef(*row) for row in frame["garbage"]),
    )


def _decode(data: bytes, parse: Callable[[Any], Head]) -> Result[Head, str]:
    try:
        frame = cbor2.loads(data)
        if frame["v"] != HEAD_VERSION:
            return Err(
                f"unsupported head version {frame['v']}, expected {HEAD_VERSION}"
            )
        return Ok(parse(frame))
    except (cbor2.CBORDecodeError, AttributeError) as error:
        return Err(f"not a head: {error}")
    except (ValueError, TypeError, LookupError) as error:
        return Err(f"not a head: {error}")


def _compute_shards_digest(shards: Mapping[int, ShardRef]) -> bytes:
    rows = [[bucket, shards[bucket].digest] for bucket in sorted(shards)]
    return hashlib.blake2b(cbor2.dumps(rows), digest_size=DIGEST_BYTES).digest()


def _encode_change(entry: ChangeEntry) -> list[Any]:
    previous = {bucket: _encode_ref(ref) for bucket, ref in entry.previous.items()}
    return [entry.change_id, entry.generation, entry.time, entry.digest, previous]


def _parse_change(row: list[Any]) -> ChangeEntry:
    change_id, generation, time, digest, previous = row
    refs = {
        bucket: None if ref is None else ShardRef(*ref)
        for bucket, ref in previous.items()
    }
    return ChangeEntry(change_id, generation, time, digest, refs)


def _encode_ref(ref: ShardRef | None) -> list | None:
    if ref is None:
        return None
    return [ref.digest, ref.salt, ref.revision]
