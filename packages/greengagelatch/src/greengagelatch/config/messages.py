"""Messages by which entry instances learn the configuration from each other."""

from __future__ import annotations

from dataclasses import dataclass

from ..peers.codec import Message, register

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


@register("config-advert")
@dataclass(frozen=True, slots=True)
class ConfigAdvert(Message):
    """What the sender has in force, and what it has heard of others."""

    generation: int = 0
    data_centre: str = ""
    #: seconds since this was the store's newest generation; negative: never known
    store_age: float = -1.0
    seen: tuple[SeenRow, ...] = ()


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
