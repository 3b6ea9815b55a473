"""Store operations that a change requests from its driver."""

from __future__ import annotations

from dataclasses import dataclass

from .head import ShardRef

__all__ = (
    "DeleteShards",
    "Pause",
    "ReadHead",
    "ReadShards",
    "Step",
    "SwapHead",
    "WriteShards",
)


@dataclass(frozen=True, slots=True)
class ReadHead:
    """Read the head; the result is a ``Result[Entry | None, StoreError]``."""


@dataclass(frozen=True, slots=True)
class ReadShards:
    """Read shards; the result is a ``Result[Mapping[ShardRef, Shard], StoreError]``.

    Shards that are not in the store are absent from the mapping.
    """

    refs: tuple[ShardRef, ...]


@dataclass(frozen=True, slots=True)
class WriteShards:
    """Write shards under new keys; the result is a ``WriteResult`` for each."""

    shards: tuple[tuple[ShardRef, bytes], ...]


@dataclass(frozen=True, slots=True)
class DeleteShards:
    """Delete unreferenced shards; the result is a ``WriteResult`` for each."""

    refs: tuple[ShardRef, ...]


@dataclass(frozen=True, slots=True)
class SwapHead:
    """Compare-and-swap the head; the result is a ``WriteResult``."""

    value: bytes
    expected: int


@dataclass(frozen=True, slots=True)
class Pause:
    """Wait for a number of seconds; there is no result."""

    seconds: float


Step = ReadHead | ReadShards | WriteShards | DeleteShards | SwapHead | Pause
