"""Peer messages that replicate the configuration between entry instances."""

from __future__ import annotations

from dataclasses import dataclass

from ..peers.codec import Message, check_type, register

__all__ = (
    "CHUNK_BYTES",
    "ConfigAdvert",
    "ConfigChunk",
    "ConfigFetch",
    "ConfigQuery",
)

#: size in bytes of one chunk, so that no frame delays heartbeats for long
CHUNK_BYTES = 128 * 1024

#: instance id, data centre, generation, and age of that observation in seconds
GenerationRow = tuple[str, str, int, float]

_ROW_TYPES = (str, str, int, (int, float))


@register("config-advert")
@dataclass(frozen=True, slots=True)
class ConfigAdvert(Message):
    """The sender's active generation, and generations it knows of other instances."""

    generation: int = 0
    data_centre: str = ""
    #: seconds since this was last confirmed as the newest in the store; negative: never
    store_age: float = -1.0
    seen: tuple[GenerationRow, ...] = ()

    def __post_init__(self) -> None:
        check_type(self.generation, int)
        check_type(self.data_centre, str)
        check_type(self.store_age, (int, float))
        check_type(self.seen, tuple)
        for row in self.seen:
            check_type(row, tuple)
            for value, kind in zip(row, _ROW_TYPES, strict=True):
                check_type(value, kind)


@register("config-query")
@dataclass(frozen=True, slots=True)
class ConfigQuery(Message):
    """Request for a :class:`ConfigAdvert`."""


@register("config-fetch")
@dataclass(frozen=True, slots=True)
class ConfigFetch(Message):
    """Request for bytes of a shard, or of the head if ``key`` is empty.

    For the head, ``generation`` is the requester's: the peer then sends a delta from
    it if its change log still reaches back that far.
    """

    key: str = ""
    generation: int = 0
    offset: int = 0

    def __post_init__(self) -> None:
        check_type(self.key, str)
        check_type(self.generation, int)
        check_type(self.offset, int)


@register("config-chunk")
@dataclass(frozen=True, slots=True)
class ConfigChunk(Message):
    """Bytes from ``offset`` on; ``total`` is 0 if the peer does not have the value."""

    key: str = ""
    generation: int = 0
    offset: int = 0
    total: int = 0
    data: bytes = b""
    #: whether the bytes are a delta instead of a complete head
    delta: bool = False

    def __post_init__(self) -> None:
        check_type(self.key, str)
        for number in (self.generation, self.offset, self.total):
            check_type(number, int)
        check_type(self.data, bytes)
        check_type(self.delta, bool)
