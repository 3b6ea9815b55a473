"""Runs configuration changes against the store."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, Any

from result import Err, Result

from greengagelatch.config.changes import (
    DeleteShards,
    Pause,
    ReadHead,
    ReadShards,
    Step,
    SwapHead,
    WriteShards,
    run_change,
)
from greengagelatch.config.head import HEAD_KEY, Head, ShardRef
from greengagelatch.config.replica import LoadedShard, load_shard
from greengagelatch.config.requests import NotApplied, Settled
from greengagelatch.store import (
    ABSENT,
    Entry,
    Store,
    StoreError,
    StoreErrorKind,
    WriteOutcome,
    WriteResult,
)

if TYPE_CHECKING:
    import random

    from greengagelatch.clock import Clock
    from greengagelatch.config.requests import ChangeOutcome, ChangeRequest

    from ..metrics import Metrics
    from .shards import ShardReader

__all__ = ("ChangeDriver",)

#: concurrent writes and deletions of shards
MAX_CONCURRENT_WRITES = 16

_TIMEOUT_MESSAGE = "the change has exceeded its time limit"

#: receives the head and the shards of a change that this instance has committed
CommitCallback = Callable[[Head, Mapping[ShardRef, LoadedShard]], object]


class ChangeDriver:
    """Commits one change at a time, each within a time limit.

    Changes of one instance are serialized, as concurrent ones would only make each
    other's swaps fail. After the time limit of a change, no further store call is
    made for it, and its outcome follows from the answers received so far.

    :param timeout: seconds for one change, including the wait for earlier ones.
    :param get_generation: returns the generation that is active at this instance.
    :param on_settled: called with the new head as soon as a change is committed.
    """

    def __init__(
        self,
        *,
        store: Store,
        reader: ShardReader,
        clock: Clock,
        random_source: random.Random,
        metrics: Metrics,
        timeout: float,
        get_generation: Callable[[], int],
        on_settled: CommitCallback,
    ) -> None:
        self._store = store
        self._reader = reader
        self._clock = clock
        self._random = random_source
        self._metrics = metrics
        self._timeout = timeout
        self._get_generation = get_generation
        self._on_settled = on_settled
        self._change_lock = asyncio.Lock()
        self._slots = asyncio.Semaphore(MAX_CONCURRENT_WRITES)

    async def change(self, request: ChangeRequest) -> ChangeOutcome:
        """Commit a change and return its outcome."""
        deadline = self._clock.now() + self._timeout
        try:
            async with asyncio.timeout(self._timeout):
                await self._change_lock.acquire()
        except TimeoutError:
            return NotApplied(
                message=f"earlier changes were not finished within {self._timeout:g} s",
                base=request.base,
            )
        try:
            outcome = await self._run(request, deadline)
        finally:
            self._change_lock.release()
        kind = type(outcome).__name__.lower()
        self._metrics.count(f"configuration.changes.{kind}")
        return outcome

    async def _run(self, request: ChangeRequest, deadline: float) -> ChangeOutcome:
        new_shards: dict[ShardRef, LoadedShard] = {}
        process = run_change(
            request,
            wall=self._clock.wall,
            random_source=self._random,
            min_generation=self._get_generation(),
        )
        reply: Any = None
        while True:
            try:
                step = process.send(reply)
            except StopIteration as stop:
                outcome = stop.value
                break
            reply = await self._perform(step, deadline, new_shards)
        if isinstance(outcome, Settled):
            self._on_settled(outcome.head, new_shards)
        return outcome

    async def _perform(
        self, step: Step, deadline: float, new_shards: dict[ShardRef, LoadedShard]
    ) -> Any:
        expired = self._clock.now() >= deadline
        match step:
            case Pause(seconds=seconds):
                return await asyncio.sleep(0 if expired else seconds)
            case ReadHead():
                return (
                    Err(_create_timeout_error()) if expired else await self._read_head()
                )
            case ReadShards(refs=refs):
                return (
                    Err(_create_timeout_error())
                    if expired
                    else await self._read(refs, new_shards)
                )
            case WriteShards(shards=shards):
                if expired:
                    return [_create_timeout_result()] * len(shards)
                results = await asyncio.gather(
                    *(self._write(ref, data) for ref, data in shards)
                )
                _cache_written(shards, results, new_shards)
                return results
            case DeleteShards(refs=refs):
                if expired:
                    return [_create_timeout_result()] * len(refs)
                return await asyncio.gather(*(self._delete(ref) for ref in refs))
            case SwapHead(value=value, expected=expected):
                if expired:
                    return _create_timeout_result()
                return await self._store.swap(HEAD_KEY, value, expected)

    async def _read_head(self) -> Result[Entry | None, StoreError]:
        return await self._store.get(HEAD_KEY)

    async def _read(
        self, refs: tuple[ShardRef, ...], new_shards: dict[ShardRef, LoadedShard]
    ) -> Result[Any, StoreError]:
        answer = await self._reader.read(refs)
        if answer.is_err():
            return answer
        new_shards.update(answer.ok_value)
        return answer.map(
            lambda found: {ref: loaded.shard for ref, loaded in found.items()}
        )

    async def _write(self, ref: ShardRef, data: bytes) -> WriteResult:
        async with self._slots:
            return await self._store.swap(ref.key, data, ABSENT)

    async def _delete(self, ref: ShardRef) -> WriteResult:
        async with self._slots:
            return await self._store.delete(ref.key, ref.revision)


def _cache_written(
    shards: tuple[tuple[ShardRef, bytes], ...],
    results: list[WriteResult],
    new_shards: dict[ShardRef, LoadedShard],
) -> None:
    """Keep written shards, so that they need not be read back from the store."""
    for (ref, data), result in zip(shards, results, strict=True):
        if result.outcome not in (WriteOutcome.APPLIED, WriteOutcome.CONFLICT):
            continue
        written_ref = ShardRef(ref.digest, ref.salt, result.revision)
        loaded = load_shard(written_ref, data)
        if loaded is not None:
            new_shards[written_ref] = loaded


def _create_timeout_error() -> StoreError:
    return StoreError(StoreErrorKind.TIMEOUT, _TIMEOUT_MESSAGE)


def _create_timeout_result() -> WriteResult:
    return WriteResult(WriteOutcome.NOT_APPLIED, message=_TIMEOUT_MESSAGE)
