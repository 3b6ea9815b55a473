"""Exchanges the outcomes of attempts with other instances."""

from __future__ import annotations

import asyncio
import logging
from collections import defaultdict
from typing import TYPE_CHECKING

from result import Err, Ok

from greengagelatch.claims.attempt import mask_pending
from greengagelatch.claims.messages import (
    HandoverAnswer,
    HandoverRequest,
    OutcomeAnswer,
    OutcomeQuery,
)
from greengagelatch.claims.registry import AttemptState
from greengagelatch.claims.sharding import rank_instances
from greengagelatch.peers import MemberState, PeerError, PeerErrorKind

if TYPE_CHECKING:
    from greengagelatch.claims import Token
    from greengagelatch.claims.registry import AttemptRecord, AttemptRegistry
    from greengagelatch.clock import Clock
    from greengagelatch.peers import PeerNetwork

    from ..metrics import Metrics

__all__ = ("OutcomeLookup",)

logger = logging.getLogger(__name__)

#: seconds that one query waits for a running attempt before it is sent again; short,
#: so that the loss of the other instance is detected
MAX_QUERY_WAIT = 2.0
#: maximum share of the remaining time that one query waits, so that its answer comes
#: before the deadline
QUERY_WAIT_SHARE = 0.8
#: remaining seconds below which no further query is sent
MIN_REMAINING = 0.02
#: seconds allowed for the answer in addition to the wait
ANSWER_TIMEOUT = 1.0
#: consecutive unanswered queries after which an instance counts as lost
MAX_SILENT = 2
#: consecutive refused queries after which an instance counts as lost
MAX_REFUSED = 20
#: minimum seconds between two queries to the same instance
MIN_QUERY_INTERVAL = 0.2
#: queries of other instances that may wait here at a time; the number of open
#: queries per link is limited, and some must remain for the commits of claims
MAX_WAITING_QUERIES = 64
#: instances that may have received the outcomes of a stopped one
SUCCESSORS = 2
#: outcomes that are handed over concurrently
HANDOVER_CONCURRENCY = 8
#: seconds allowed for the whole handover
HANDOVER_TIMEOUT = 5.0

OPEN_STATES = (AttemptState.PENDING, AttemptState.RUNNING)


class OutcomeLookup:
    """Looks up the outcomes of attempts, in this process or on other instances."""

    def __init__(
        self,
        *,
        registry: AttemptRegistry,
        peers: PeerNetwork | None,
        clock: Clock,
        metrics: Metrics,
        instance_id: str,
        incarnation: int,
        handover_bytes: int,
    ) -> None:
        self._registry = registry
        self._peers = peers
        self._clock = clock
        self._metrics = metrics
        self._instance_id = instance_id
        self._incarnation = incarnation
        self._handover_bytes = handover_bytes
        #: number of queries of other instances that are waiting
        self._waiting_queries = 0
        self._waiters: defaultdict[Token, set[asyncio.Event]] = defaultdict(set)
        if peers is not None:
            peers.handle(OutcomeQuery, self._answer_outcome)
            peers.handle(HandoverRequest, self._answer_handover)

    def notify(self, token: Token) -> None:
        """Wake the waiters for the end of an attempt of this process."""
        for event in self._waiters.pop(token, ()):
            event.set()

    async def find(self, token: Token, deadline: float) -> AttemptRecord | None:
        """Return the record of an attempt; wait for its end until ``deadline``.

        ``None`` means that no instance knows it: its process has ended without
        handing over the outcome, is unreachable, or has dropped the record.
        """
        own = token.instance == self._instance_id
        if own and token.incarnation == self._incarnation:
            return await self._wait(token, deadline)
        known = self._registry.find(token)
        if known is not None:
            return known
        if self._peers is None:
            return None
        record = None
        if not own and self._is_alive(token.instance):
            record = await self._ask(token.instance, token, deadline)
        if record is not None:
            return record
        for successor in self._rank_successors(token)[:SUCCESSORS]:
            record = await self._ask(successor, token, deadline)
            if record is not None:
                return record
        return None

    async def hand_over(self) -> int:
        """Send outcomes to other instances before a stop; return how many were stored.

        The newest come first, with a limit on bytes and time. Repeats of a request
        whose outcome is not handed over get no result, but do not run again.
        """
        if self._peers is None:
            return 0
        chosen = []
        size = 0
        for token, outcome in self._registry.list_finished():
            size += len(outcome)
            if size > self._handover_bytes:
                break
            chosen.append((token, outcome))
        slots = asyncio.Semaphore(HANDOVER_CONCURRENCY)
        silent: set[str] = set()
        tasks = [
            asyncio.create_task(self._hand_over(token, outcome, slots, silent))
            for token, outcome in chosen
        ]
        if not tasks:
            return 0
        done, late = await asyncio.wait(tasks, timeout=HANDOVER_TIMEOUT)
        for task in late:
            task.cancel()
        await asyncio.gather(*late, return_exceptions=True)
        taken = sum(task.result() for task in done)
        self._metrics.count("claims.handed_over", taken)
        return taken

    async def _wait(self, token: Token, deadline: float) -> AttemptRecord | None:
        record = self._registry.find(token)
        remaining = deadline - self._clock.now()
        if record is None or record.state not in OPEN_STATES or remaining <= 0:
            return mask_pending(record)
        event = asyncio.Event()
        self._waiters[token].add(event)
        try:
            async with asyncio.timeout(remaining):
                await event.wait()
        except TimeoutError:
            pass
        finally:
            events = self._waiters.get(token, set())
            events.discard(event)
            if not events:
                self._waiters.pop(token, None)
        return mask_pending(self._registry.find(token))

    async def _ask(
        self, instance_id: str, token: Token, deadline: float
    ) -> AttemptRecord | None:
        """Ask one instance, repeatedly while the attempt is running."""
        silent = 0
        refused = 0
        record = None
        while silent < MAX_SILENT and refused < MAX_REFUSED:
            started = self._clock.now()
            remaining = deadline - started
            if remaining <= MIN_REMAINING:
                return record
            wait = min(MAX_QUERY_WAIT, remaining * QUERY_WAIT_SHARE)
            query = OutcomeQuery.wrap(token, int(wait * 1000))
            answer = await self._peers.ask(
                instance_id, query, min(wait + ANSWER_TIMEOUT, remaining)
            )
            match answer:
                case Ok(OutcomeAnswer() as found):
                    silent = refused = 0
                    record = found.unwrap()
                    if record is None or record.state not in OPEN_STATES:
                        return record
                case Err(PeerError(kind=PeerErrorKind.REFUSED)):
                    refused += 1
                case _:
                    # the link may be about to be re-established
                    silent += 1
                    self._metrics.count("claims.holder_silent")
            waited = self._clock.now() - started
            if waited < MIN_QUERY_INTERVAL:
                await asyncio.sleep(min(MIN_QUERY_INTERVAL - waited, remaining))
        return None

    async def _answer_outcome(self, sender: str, query: OutcomeQuery) -> OutcomeAnswer:
        token = query.unwrap()
        if token is None:
            return OutcomeAnswer()
        wait = min(query.wait_ms / 1000, MAX_QUERY_WAIT)
        if self._waiting_queries >= MAX_WAITING_QUERIES:
            wait = 0.0
        self._waiting_queries += 1
        try:
            record = await self._wait(token, self._clock.now() + wait)
        finally:
            self._waiting_queries -= 1
        return OutcomeAnswer.wrap(record)

    async def _hand_over(
        self, token: Token, outcome: bytes, slots: asyncio.Semaphore, silent: set[str]
    ) -> bool:
        request = HandoverRequest.wrap(token, outcome)
        async with slots:
            # the first choice may have crashed without having been detected yet;
            # only the first outcomes wait for its timeout
            for successor in self._rank_successors(token)[:SUCCESSORS]:
                if successor in silent:
                    continue
                answer = await self._peers.ask(successor, request, ANSWER_TIMEOUT)
                match answer:
                    case Ok(HandoverAnswer(taken=True)):
                        return True
                    case Err(PeerError(kind=PeerErrorKind.NO_ANSWER)):
                        silent.add(successor)
        return False

    def _answer_handover(self, sender: str, request: HandoverRequest) -> HandoverAnswer:
        token = request.unwrap()
        if token is None or not request.outcome:
            return HandoverAnswer()
        if self._registry.find(token) is None:
            self._registry.finish(token, request.outcome, self._clock.now())
        return HandoverAnswer(taken=True)

    def _rank_successors(self, token: Token) -> tuple[str, ...]:
        name = f"{token.instance}\0{token.incarnation}\0{token.serial}"
        others = [
            member.instance_id
            for member in self._peers.members()
            if member.state is MemberState.ALIVE
            and member.instance_id not in (self._instance_id, token.instance)
        ]
        return rank_instances(name, others)

    def _is_alive(self, instance_id: str) -> bool:
        for member in self._peers.members():
            if member.instance_id == instance_id:
                return member.state is not MemberState.DEAD
        return False
