"""Reads shards from the local replica or from the store."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable, Mapping
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from greengagelatch.config.replica import LoadedShard, load_shard

if TYPE_CHECKING:
    from greengagelatch.config.head import ShardRef
    from greengagelatch.config.replica import Replica
    from greengagelatch.store import Store, StoreError

    from ..metrics import Metrics

__all__ = ("ShardReader",)

#: concurrent shard reads from the store
MAX_CONCURRENT_READS = 16


class ShardReader:
    """Reads shards that the replica lacks from the store and verifies their digests."""

    def __init__(self, *, store: Store, replica: Replica, metrics: Metrics) -> None:
        self._store = store
        self._replica = replica
        self._metrics = metrics
        self._slots = asyncio.Semaphore(MAX_CONCURRENT_READS)

    async def read(
        self, refs: Iterable[ShardRef]
    ) -> Result[Mapping[ShardRef, LoadedShard], StoreError]:
        """Return shards; missing or invalid ones are left out."""
        found: dict[ShardRef, LoadedShard] = {}
        missing = []
        for ref in refs:
            loaded = self._replica.get(ref.key)
            if loaded is None:
                missing.append(ref)
                continue
            found[ref] = loaded
        answers = await asyncio.gather(*(self._read_one(ref) for ref in missing))
        for ref, answer in zip(missing, answers, strict=True):
            match answer:
                case Err(error):
                    return Err(error)
                case Ok(LoadedShard() as loaded):
                    found[ref] = loaded
        return Ok(found)

    async def _read_one(self, ref: ShardRef) -> Result[LoadedShard | None, StoreError]:
        async with self._slots:
            answer = await self._store.get(ref.key)
        if answer.is_err():
            return Err(answer.err_value)
        entry = answer.ok_value
        if entry is None:
            return Ok(None)
        loaded = load_shard(ref, entry.value)
        if loaded is None:
            self._metrics.count("configuration.bad_shards")
        return Ok(loaded)
