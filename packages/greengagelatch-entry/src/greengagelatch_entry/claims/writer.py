"""Commits operations on one shard of claims in batches."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass
from typing import TYPE_CHECKING

from greengagelatch.claims.commit import Commit, Step, create_commit
from greengagelatch.claims.encoding import encode_head, encode_segment
from greengagelatch.claims.operations import OperationResult, ResultKind
from greengagelatch.claims.sharding import name_head, name_segment
from greengagelatch.store import WriteOutcome

if TYPE_CHECKING:
    import random

    from result import Result

    from greengagelatch.claims.head import Segment, SegmentRef, ShardLimits, ShardView
    from greengagelatch.claims.operations import Operation
    from greengagelatch.claims.outage import StoreContact
    from greengagelatch.clock import Clock
    from greengagelatch.store import Entry, Store, StoreError, WriteResult

    from ..metrics import Metrics

__all__ = ("ShardWriter",)

logger = logging.getLogger(__name__)

#: maximum number of operations in one swap
MAX_BATCH = 256
#: maximum number of queued operations; further ones are refused immediately
MAX_QUEUE = 4096
#: swaps that may follow each other without a delay after an idle period
BURST = 4
#: maximum number of retired segments deleted after one commit
MAX_DELETES = 4

BATCH_ID_BITS = 96
BATCH_ID_BYTES = BATCH_ID_BITS // 8

UNREACHABLE = OperationResult(ResultKind.UNREACHABLE)
UNSETTLED = OperationResult(ResultKind.UNSETTLED)


@dataclass(slots=True)
class _QueuedOperation:
    operation: Operation
    #: monotonic seconds after which the result is no longer needed
    expires: float
    result: asyncio.Future[OperationResult]


class ShardWriter:
    """Commits operations on one shard to the store.

    An operation that finds the writer idle is committed immediately; those that
    arrive during a swap go into the next batch. ``interval`` limits the rate: it is
    the minimum average number of seconds between swaps, except in short bursts.
    """

    def __init__(
        self,
        *,
        shard: int,
        store: Store,
        contact: StoreContact,
        clock: Clock,
        random_source: random.Random,
        limits: ShardLimits,
        interval: float,
        metrics: Metrics,
    ) -> None:
        self._shard = shard
        self._store = store
        self._contact = contact
        self._clock = clock
        self._random = random_source
        self._limits = limits
        self._interval = interval
        self._metrics = metrics
        self._queue: list[_QueuedOperation] = []
        self._task: asyncio.Task[None] | None = None
        self._view: ShardView | None = None
        self._segments: tuple[tuple[SegmentRef, Segment], ...] = ()
        self._deleted: frozenset[int] = frozenset()
        self._paced = clock.now() - BURST * interval
        #: monotonic seconds of the last submitted operation
        self.used_at = clock.now()

    @property
    def idle(self) -> bool:
        """Whether no operation is queued or in progress."""
        return self._task is None

    async def submit(
        self, operation: Operation, expires: float, *, fresh: bool = False
    ) -> OperationResult:
        """Commit an operation and return its result; unsettled if not by ``expires``.

        :param fresh: read the head first, as another instance usually writes it
        """
        now = self._clock.now()
        self.used_at = now
        if len(self._queue) >= MAX_QUEUE:
            self._metrics.count("claims.queue_full")
            return OperationResult(ResultKind.FULL)
        if fresh:
            self._view = None
        queued = _QueuedOperation(operation, expires, asyncio.Future())
        self._queue.append(queued)
        if self._task is None:
            self._task = asyncio.create_task(self._drain())
        await asyncio.wait({queued.result}, timeout=max(0.0, expires - now))
        if not queued.result.done():
            # it may be part of a swap in progress; otherwise it stays in the queue
            # and is dropped when its batch is taken
            return UNSETTLED
        return queued.result.result()

    async def close(self, timeout: float) -> None:
        """Finish queued operations within ``timeout`` seconds, then stop."""
        task = self._task
        if task is None:
            return
        await asyncio.wait({task}, timeout=timeout)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    async def _drain(self) -> None:
        batch: list[_QueuedOperation] = []
        try:
            while self._queue:
                await self._pace()
                batch = self._take_batch()
                if not batch:
                    continue
                commit = await self._commit(tuple(one.operation for one in batch))
                for queued, result in zip(batch, commit.results, strict=True):
                    queued.result.set_result(result)
                batch = []
                await self._delete_retired()
        except Exception:
            logger.exception(
                "shard %s: unexpected error while committing a batch of claims",
                self._shard,
            )
            self._view = None
        finally:
            self._task = None
            for queued in batch:
                queued.result.set_result(UNSETTLED)
            for queued in self._queue:
                queued.result.set_result(UNREACHABLE)
            self._queue.clear()

    async def _pace(self) -> None:
        now = self._clock.now()
        self._paced = max(self._paced, now - BURST * self._interval) + self._interval
        if self._paced > now:
            await asyncio.sleep(self._paced - now)

    def _take_batch(self) -> list[_QueuedOperation]:
        now = self._clock.now()
        # above its sealing limit a head has room for another ``head_claims`` claims
        size = min(MAX_BATCH, self._limits.head_claims)
        taken = self._queue[:size]
        del self._queue[:size]
        batch = []
        for queued in taken:
            if queued.expires <= now:
                queued.result.set_result(UNREACHABLE)
                continue
            batch.append(queued)
        return batch

    async def _commit(self, operations: tuple[Operation, ...]) -> Commit:
        batch_id = self._random.getrandbits(BATCH_ID_BITS).to_bytes(BATCH_ID_BYTES)
        commit = create_commit(
            operations,
            batch_id=batch_id,
            now=int(self._clock.wall()),
            limits=self._limits,
            view=self._view,
            segments=self._segments,
            deleted=self._deleted,
        )
        self._view = None
        while commit.step is not Step.DONE:
            commit = await self._advance(commit)
        self._view = commit.view
        self._segments = commit.segments
        self._metrics.count("claims.batches")
        self._metrics.count("claims.operations", len(operations))
        return commit

    async def _advance(self, commit: Commit) -> Commit:
        match commit.step:
            case Step.READ_HEAD:
                return commit.handle_head(await self._read(name_head(self._shard)))
            case Step.READ_SEGMENT:
                key = name_segment(self._shard, commit.missing_segment.number)
                return commit.handle_segment(await self._read(key))
            case Step.READ_CONFLICTING_SEGMENT:
                key = name_segment(self._shard, commit.plan.head.next_segment - 1)
                return commit.handle_conflicting_segment(await self._read(key))
            case Step.WRITE_SEGMENT:
                key = name_segment(self._shard, commit.plan.head.next_segment - 1)
                data = encode_segment(commit.plan.segment)
                self._metrics.count("claims.segments")
                written = await self._write(key, data, commit.segment_expected)
                return commit.handle_segment_write(written)
        data = encode_head(commit.plan.head)
        self._metrics.count("claims.swaps")
        self._metrics.gauge("claims.head_bytes", len(data))
        written = await self._write(name_head(self._shard), data, commit.view.revision)
        if written.outcome is not WriteOutcome.APPLIED:
            self._metrics.count(f"claims.swap_{written.outcome.value}")
        return commit.handle_head_swap(written)

    async def _read(self, key: str) -> Result[Entry | None, StoreError]:
        self._metrics.count("claims.reads")
        answer = await self._store.get(key)
        self._contact.record(answered=answer.is_ok(), now=self._clock.now())
        return answer

    async def _write(self, key: str, data: bytes, expected: int) -> WriteResult:
        written = await self._store.swap(key, data, expected)
        answered = written.outcome in (WriteOutcome.APPLIED, WriteOutcome.CONFLICT)
        self._contact.record(answered=answered, now=self._clock.now())
        return written

    async def _delete_retired(self) -> None:
        """Delete segments that the head no longer refers to.

        The head lists them, so nothing leaks if a writer crashes before this: the
        next writer finds the same list.
        """
        if self._view is None:
            return
        retired = self._view.head.retired
        gone = self._deleted.intersection(ref.number for ref in retired)
        due = [ref for ref in retired if ref.number not in gone]
        for ref in due[:MAX_DELETES]:
            key = name_segment(self._shard, ref.number)
            written = await self._store.delete(key, ref.revision)
            if written.outcome in (WriteOutcome.APPLIED, WriteOutcome.CONFLICT):
                gone |= {ref.number}
        self._deleted = frozenset(gone)
