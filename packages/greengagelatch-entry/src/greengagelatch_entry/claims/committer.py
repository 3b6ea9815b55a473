"""Routes operations on claims to a writer of their shard, local or on a peer."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from result import Err, Ok

from greengagelatch.claims.attempt import choose_candidates
from greengagelatch.claims.head import ShardLimits
from greengagelatch.claims.messages import ClaimAnswer, ClaimQuery
from greengagelatch.claims.operations import GiveBack, OperationResult, ResultKind
from greengagelatch.claims.outage import StoreContact
from greengagelatch.claims.sharding import choose_shard, name_head, rank_instances
from greengagelatch.peers import MemberState, PeerErrorKind

from .layout import ShardLayout
from .writer import ShardWriter

if TYPE_CHECKING:
    import random

    from greengagelatch.claims.operations import Operation
    from greengagelatch.clock import Clock
    from greengagelatch.peers import PeerNetwork
    from greengagelatch.settings import Settings
    from greengagelatch.store import Store

    from ..metrics import Metrics

__all__ = ("Committer",)

#: share of the remaining time that may be spent on asking another instance
FORWARD_SHARE = 0.5
#: seconds for which this instance does not write as a fallback after a failure
FALLBACK_PAUSE = 1.0
#: concurrent give-backs; a key whose give-back is dropped can still be taken over
#: while this instance runs, since it reports that the attempt never ran
MAX_GIVE_BACKS = 1024
#: seconds for which an unresponsive instance is avoided: a paused one counts as alive
#: for a while, and would cost each request the whole timeout
SILENT_AVOIDANCE = 5.0
#: seconds for which a give-back is retried, and between two retries
GIVE_BACK_TIMEOUT = 30.0
GIVE_BACK_DELAY = 1.0
#: instances that are tried in each round of a give-back
GIVE_BACK_CANDIDATES = 2
#: seconds that a planned stop waits for give-backs, and then for writes
STOP_TIMEOUT = 3.0
#: seconds without operations after which the cached state of a shard is dropped
IDLE_TIMEOUT = 60.0

UNREACHABLE = OperationResult(ResultKind.UNREACHABLE)


class Committer:
    """Commits operations through the preferred writer of their shard, or itself."""

    def __init__(
        self,
        *,
        store: Store,
        peers: PeerNetwork | None,
        clock: Clock,
        random_source: random.Random,
        settings: Settings,
        metrics: Metrics,
        instance_id: str,
    ) -> None:
        self._store = store
        self._peers = peers
        self._clock = clock
        self._random = random_source
        self._metrics = metrics
        self._instance_id = instance_id
        self._interval: float = settings["claims.interval"]
        self._forward_timeout: float = settings["claims.forward_timeout"]
        self._limits = ShardLimits(
            retention=settings["claims.retention"],
            clock_margin=settings["claims.clock_margin"],
            head_claims=settings["claims.head_claims"],
            segment_claims=settings["claims.segment_claims"],
            segments=settings["claims.segments"],
        )
        self._contact = StoreContact()
        self._layout = ShardLayout(
            store=store,
            contact=self._contact,
            clock=clock,
            peers=peers,
            shards=settings["claims.shards"],
            own=instance_id,
        )
        self._writers: dict[int, ShardWriter] = {}
        self._give_backs: set[asyncio.Task[None]] = set()
        self._write_failed_at = float("-inf")
        #: monotonic seconds at which an instance last failed to answer
        self._silent: dict[str, float] = {}
        if peers is not None:
            peers.handle(ClaimQuery, self._answer_claim)

    @property
    def shards(self) -> int | None:
        """Number of shards, ``None`` until it is known."""
        return self._layout.shards

    @property
    def written_shards(self) -> tuple[int, ...]:
        """Shards that this instance has written recently."""
        return tuple(sorted(self._writers))

    @property
    def pending_give_backs(self) -> int:
        """Number of give-backs in progress."""
        return len(self._give_backs)

    @property
    def store_silent_for(self) -> float:
        """Seconds for which the store has answered none of this instance's calls."""
        return self._contact.measure_silence(self._clock.now())

    async def find_candidates(self, key: bytes, deadline: float) -> tuple[str, ...]:
        """Return the instances that may commit for a key, in order of preference.

        The result is empty if the number of shards is unknown.
        """
        shards = await self._layout.resolve(deadline - self._clock.now())
        if shards is None:
            return ()
        return self._rank_candidates(choose_shard(key, shards))

    async def commit(
        self, candidate: str, operation: Operation, deadline: float
    ) -> OperationResult | None:
        """Have an instance commit an operation; ``None`` means no answer."""
        if candidate == self._instance_id:
            return await self._commit_here(operation, deadline)
        remaining = deadline - self._clock.now()
        timeout = min(self._forward_timeout, remaining * FORWARD_SHARE)
        query = ClaimQuery.wrap(operation, int(timeout * 1000))
        answer = await self._peers.ask(candidate, query, timeout)
        match answer:
            case Ok(ClaimAnswer() as message):
                self._silent.pop(candidate, None)
                self._metrics.count("claims.forwarded")
                return message.unwrap()
            case Err(error) if error.kind is PeerErrorKind.NO_ANSWER:
                self._silent[candidate] = self._clock.now()
                self._metrics.count("claims.forward_silent")
                return None
        self._metrics.count("claims.forward_failed")
        return UNREACHABLE

    def give_back(self, operation: GiveBack) -> None:
        """Release a key in the background."""
        if len(self._give_backs) >= MAX_GIVE_BACKS:
            self._metrics.count("claims.give_back_dropped")
            return
        task = asyncio.create_task(self._give_back(operation))
        self._give_backs.add(task)
        task.add_done_callback(self._give_backs.discard)

    def sweep(self) -> None:
        """Drop the state of shards and peers that is no longer needed."""
        now = self._clock.now()
        for instance_id, since in list(self._silent.items()):
            if now - since > SILENT_AVOIDANCE:
                del self._silent[instance_id]
        for shard, writer in list(self._writers.items()):
            if writer.idle and now - writer.used_at > IDLE_TIMEOUT:
                del self._writers[shard]

    async def close(self) -> None:
        """Finish give-backs and writes, each within a few seconds."""
        tasks = set(self._give_backs)
        if tasks:
            await asyncio.wait(tasks, timeout=STOP_TIMEOUT)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._layout.close()
        closing = [writer.close(STOP_TIMEOUT) for writer in self._writers.values()]
        await asyncio.gather(*closing)

    async def _commit_here(
        self, operation: Operation, deadline: float
    ) -> OperationResult:
        shards = await self._layout.resolve(deadline - self._clock.now())
        if shards is None:
            return UNREACHABLE
        shard = choose_shard(operation.key, shards)
        preferred = self._rank_candidates(shard)[0] == self._instance_id
        paused_for = self._clock.now() - self._write_failed_at
        if not preferred and paused_for < FALLBACK_PAUSE:
            # a slow store delays the preferred writers, so that every instance falls
            # back to writing; the pause keeps that from adding load to the store
            return UNREACHABLE
        writer = self._get_writer(shard)
        result = await writer.submit(operation, deadline, fresh=not preferred)
        if result.kind in (ResultKind.UNREACHABLE, ResultKind.UNSETTLED):
            self._write_failed_at = self._clock.now()
        return result

    async def _answer_claim(self, sender: str, query: ClaimQuery) -> ClaimAnswer:
        try:
            operation = query.unwrap()
        except (TypeError, ValueError):
            return ClaimAnswer.wrap(UNREACHABLE)
        deadline = self._clock.now() + query.budget_ms / 1000
        return ClaimAnswer.wrap(await self._commit_here(operation, deadline))

    async def _give_back(self, operation: GiveBack) -> None:
        expires = self._clock.now() + GIVE_BACK_TIMEOUT
        while self._clock.now() < expires:
            candidates = await self.find_candidates(operation.key, expires)
            for candidate in candidates[:GIVE_BACK_CANDIDATES]:
                result = await self.commit(candidate, operation, expires)
                if result is not None and is_resolved(result):
                    self._metrics.count("claims.given_back")
                    return
            await asyncio.sleep(GIVE_BACK_DELAY)
        self._metrics.count("claims.give_back_failed")

    def _get_writer(self, shard: int) -> ShardWriter:
        writer = self._writers.get(shard)
        if writer is None:
            writer = ShardWriter(
                shard=shard,
                store=self._store,
                contact=self._contact,
                clock=self._clock,
                random_source=self._random,
                limits=self._limits,
                interval=self._interval,
                metrics=self._metrics,
            )
            self._writers[shard] = writer
        return writer

    def _rank_candidates(self, shard: int) -> tuple[str, ...]:
        members = {self._instance_id}
        if self._peers is not None:
            members.update(
                member.instance_id
                for member in self._peers.members()
                if member.state is MemberState.ALIVE
                and not self._is_silent(member.instance_id)
            )
        ranked = rank_instances(name_head(shard), members)
        return choose_candidates(self._instance_id, ranked)

    def _is_silent(self, instance_id: str) -> bool:
        since = self._silent.get(instance_id)
        return since is not None and self._clock.now() - since <= SILENT_AVOIDANCE


def is_resolved(result: OperationResult) -> bool:
    """Whether a give-back is complete, or its attempt no longer holds the key."""
    return result.kind in (ResultKind.GIVEN_BACK, ResultKind.HELD)
