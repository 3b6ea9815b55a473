"""Messages by which entry instances learn the configuration from each other."""

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

#: bytes of one answer to a fetch, so that no frame holds up heartbeats for long
CHUNK_BYTES = 128 * 1024

#: an instance, its data centre, its generation and the age of that in seconds
SeenRow = tuple[str, str, int, float]

_SEEN_TYPES = (str, str, int, (int, float))


@register("config-advert")
@dataclass(frozen=True, slots=True)
class ConfigAdvert(Message):
    """What the sender has in force, and what it has heard of others."""

    generation: int = 0
    data_centre: str = ""
    #: seconds since this was the store's newest generation; negative: never known
    store_age: float = -1.0
    seen: tuple[SeenRow, ...] = ()

    def __post_init__(self) -> None:
        check_type(self.generation, int)
        check_type(self.data_centre, str)
        check_type(self.store_age, (int, float))
        check_type(self.seen, tuple)
        for row in self.seen:
            check_type(row, tuple)
            for value, kind in zip(row, _SEEN_TYPES, strict=True):
                check_type(value, kind)


@register("config-query")
@dataclass(frozen=True, slots=True)
class ConfigQuery(Message):
    """Ask for an advert."""


@register("config-fetch")
@dataclass(frozen=True, slots=True)
class ConfigFetch(Message):
    """Ask for bytes of a shard, or of the head where ``key`` is empty.

    For the head, ``generation`` is the one that the asker has: the answer is only
    what was changed since, if the peer still knows it.
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
    """Bytes from ``offset`` on; ``total`` is 0 if the peer does not hold it."""

    key: str = ""
    generation: int = 0
    offset: int = 0
    total: int = 0
    data: bytes = b""
    #: whether the bytes are what was changed and not a whole head
    delta: bool = False

    def __post_init__(self) -> None:
        check_type(self.key, str)
        for number in (self.generation, self.offset, self.total):
            check_type(number, int)
        check_type(self.data, bytes)
        check_type(self.delta, bool)
