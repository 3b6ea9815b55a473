"""Steps of a change: what is to be done with the store next."""

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
    """Read the head; the answer is ``Result[Entry | None, StoreError]``."""


@dataclass(frozen=True, slots=True)
class ReadShards:
    """Read shards; the answer is ``Result[Mapping[ShardRef, Shard], StoreError]``.

    A shard that the store does not hold is left out of the map.
    """

    refs: tuple[ShardRef, ...]


@dataclass(frozen=True, slots=True)
class WriteShards:
    """Write shards under new keys; the answer is a ``WriteResult`` for each."""

    shards: tuple[tuple[ShardRef, bytes], ...]


@dataclass(frozen=True, slots=True)
class DeleteShards:
    """Delete shards that nothing names; the answer is a ``WriteResult`` for each."""

    refs: tuple[ShardRef, ...]


@dataclass(frozen=True, slots=True)
class SwapHead:
    """Swap the head; the answer is a ``WriteResult``."""

    value: bytes
    expected: int


@dataclass(frozen=True, slots=True)
class Pause:
    """Wait some seconds; there is no answer."""

    seconds: float


Step = ReadHead | ReadShards | WriteShards | DeleteShards | SwapHead | Pause
