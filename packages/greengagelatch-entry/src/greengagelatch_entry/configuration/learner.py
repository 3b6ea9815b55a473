"""Adopts newer generations from the store and from peers."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from greengagelatch.config.head import ShardRef, apply_delta, decode_head
from greengagelatch.config.messages import ConfigChunk, ConfigFetch
from greengagelatch.config.replica import LoadedShard, load_shard

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Mapping

    from greengagelatch.config.head import Head
    from greengagelatch.config.replica import Replica
    from greengagelatch.peers import PeerNetwork
    from greengagelatch.store import Entry

    from ..metrics import Metrics
    from .shards import ShardReader

__all__ = ("Learner",)

logger = logging.getLogger(__name__)

#: concurrent shard fetches from one peer
MAX_CONCURRENT_FETCHES = 8

#: largest value in bytes that is accepted from a peer, the same as in the store
MAX_VALUE_BYTES = 1024 * 1024


class Learner:
    """Fetches all shards of a newer generation, then activates it atomically.

    No part of a generation is visible until all of it is present: a peer or the store
    may become unreachable during the fetch, and a partial change must not be served.

    :param on_adopted: called after a newer generation was activated.
    """

    def __init__(
        self,
        *,
        replica: Replica,
        reader: ShardReader,
        peers: PeerNetwork,
        metrics: Metrics,
        fetch_timeout: float,
        on_adopted: Callable[[], None],
    ) -> None:
        self._replica = replica
        self._reader = reader
        self._peers = peers
        self._metrics = metrics
        self._fetch_timeout = fetch_timeout
        self._on_adopted = on_adopted

    def adopt(self, head: Head, new_shards: Mapping[ShardRef, LoadedShard]) -> bool:
        """Activate a generation whose shards are all present."""
        if not self._replica.adopt(head, new_shards):
            return False
        self._on_adopted()
        return True

    async def adopt_entry(self, entry: Entry) -> bool:
        """Adopt a head from the store.

        :return: whether that generation or a newer one is now active.
        """
        decoded = decode_head(entry.value)
        if decoded.is_err():
            self._metrics.count("configuration.bad_heads")
            logger.error(
                "configuration head at store revision %s is invalid: %s",
                entry.revision,
                decoded.err_value,
            )
            return False
        head = decoded.ok_value
        if head.generation <= self._replica.generation:
            return True
        shards = await self._reader.read(head.shards.values())
        if shards.is_err():
            return False
        self.adopt(head, shards.ok_value)
        return self._replica.generation >= head.generation

    async def adopt_from_peer(self, instance_id: str) -> bool:
        """Adopt a peer's generation; return ``False`` if it could not be fetched."""
        match await self._fetch_head(instance_id):
            case Err(reason):
                self._record_failure(instance_id, reason)
                return False
            case Ok(head):
                pass
        if head.generation <= self._replica.generation:
            return True
        new_shards = await self._fetch_shards(instance_id, head)
        if new_shards is None:
            return False
        self.adopt(head, new_shards)
        return self._replica.generation >= head.generation

    async def _fetch_head(self, instance_id: str) -> Result[Head, str]:
        base = self._replica.head
        chunk, data = await self._fetch(instance_id, "", base.generation)
        if chunk is None:
            return Err("no head")
        if not chunk.delta:
            return decode_head(data)
        applied = apply_delta(base, data)
        if applied.is_ok():
            return applied
        self._metrics.count("configuration.bad_deltas")
        logger.warning(
            "configuration delta from %s does not apply: %s; fetching its full head",
            instance_id,
            applied.err_value,
        )
        chunk, data = await self._fetch(instance_id, "", 0)
        return Err("no head") if chunk is None else decode_head(data)

    async def _fetch_shards(
        self, instance_id: str, head: Head
    ) -> Mapping[ShardRef, LoadedShard] | None:
        missing = self._replica.find_missing(head.shards.values())
        slots = asyncio.Semaphore(MAX_CONCURRENT_FETCHES)

        async def fetch(ref: ShardRef) -> LoadedShard | None:
            async with slots:
                _, data = await self._fetch(instance_id, ref.key, 0)
            return load_shard(ref, data)

        shards = await _gather(fetch, missing)
        if any(shard is None for shard in shards):
            self._record_failure(instance_id, "missing or invalid shards")
            return None
        return dict(zip(missing, shards, strict=True))

    async def _fetch(
        self, instance_id: str, key: str, generation: int
    ) -> tuple[ConfigChunk | None, bytes]:
        """Return the first chunk and all bytes; ``None`` if any chunk is missing."""
        first: ConfigChunk | None = None
        data = b""
        while first is None or len(data) < first.total:
            request = ConfigFetch(key, generation, len(data))
            answer = await self._peers.ask(instance_id, request, self._fetch_timeout)
            chunk = answer.ok()
            if not isinstance(chunk, ConfigChunk) or not chunk.data:
                return None, b""
            if first is None:
                first = chunk
            if not _continues(first, chunk, len(data)):
                return None, b""
            data += chunk.data
        return first, data

    def _record_failure(self, instance_id: str, reason: str) -> None:
        self._metrics.count("configuration.failed_fetches")
        logger.info("configuration fetch from %s failed: %s", instance_id, reason)


def _continues(first: ConfigChunk, chunk: ConfigChunk, offset: int) -> bool:
    """Return whether a chunk continues the value that the first one began.

    The peer may have adopted another generation between chunks, which changes the
    bytes of its head.
    """
    if chunk.total > MAX_VALUE_BYTES or chunk.offset != offset:
        return False
    if (chunk.generation, chunk.total) != (first.generation, first.total):
        return False
    return chunk.delta == first.delta and offset + len(chunk.data) <= chunk.total


async def _gather(
    fetch: Callable[[ShardRef], Awaitable[LoadedShard | None]],
    refs: tuple[ShardRef, ...],
) -> list[LoadedShard | None]:
    return list(await asyncio.gather(*(fetch(ref) for ref in refs)))
