"""Issue of permits for targets that have named a rate, and requests for permits."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from result import Err

from greengagelatch.relay.incarnations import Incarnation
from greengagelatch.relay.permit_messages import PermitAnswer, PermitRequest
from greengagelatch.relay.permit_queue import PermitQueue, compute_issued_share
from greengagelatch.targets.subset import compute_weight

from ..controllers import Controller

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Sequence

    from greengagelatch.clock import Clock
    from greengagelatch.peers import Member, PeerNetwork
    from greengagelatch.relay.permit_queue import PermitTicket
    from greengagelatch.relay.permits import Permits

    from ..metrics import Metrics
    from .rate_limit_news import RateLimitNewsController

__all__ = ("PermitExchange",)

#: seconds that a question to an issuer and its answer take at the most: a permit that
#: is issued later than this before the end of a request's patience is not used
MESSAGE_SECONDS = 0.1
#: seconds beyond its patience for which a request waits for the issuer's answer
ANSWER_MARGIN = 0.2
#: targets that permits for one request are asked for, one after the other
MAX_ASKED = 4
#: bounds of the seconds for which a target is not asked for again after a refusal
REFUSAL_SECONDS = (0.05, 0.25)
#: seconds for which it is not after its issuer has not answered
SILENCE_SECONDS = 0.2
#: seconds of an equal part of the rate that permits are asked for at once
BATCH_SECONDS = 0.1
#: permits a second issued once a limit has ended, which holds nobody up
UNLIMITED_RATE = 1e6


@dataclass(frozen=True, slots=True)
class _Refusal:
    """No permit was issued for a target."""

    #: monotonic time until which it is not asked for again
    until: float
    #: seconds after which a permit was expected; ``None``: unknown
    wait: float | None


class PermitExchange(Controller):
    """Asks the issuers of permits for some, and issues those of other targets.

    One instance issues all permits for a target. Rendezvous hashing over the instances
    that are alive selects it, so that nothing has to be agreed on.

    :param list_candidates: returns the instances that may issue permits
    :param count_instances: returns how many instances may exist
    """

    name = "permits"

    def __init__(
        self,
        *,
        peers: PeerNetwork,
        permits: Permits,
        news: RateLimitNewsController,
        list_candidates: Callable[[], tuple[Member, ...]],
        count_instances: Callable[[], int],
        clock: Clock,
        random_source: random.Random,
        metrics: Metrics,
    ) -> None:
        super().__init__()
        self._peers = peers
        self._permits = permits
        self._news = news
        self._list_candidates = list_candidates
        self._count_instances = count_instances
        self._clock = clock
        self._random = random_source
        self._metrics = metrics
        self._refusals: dict[Incarnation, _Refusal] = {}
        self._asking: set[asyncio.Task[bool]] = set()
        #: targets that are asked for though no request of a caller waits for it
        self._wanting: set[Incarnation] = set()
        #: issuers by target, and what they were chosen from
        self._issuers: dict[Incarnation, str] = {}
        self._candidates: tuple[Member, ...] = ()
        self._candidate_ids: tuple[str, ...] = ()
        self._queues: dict[Incarnation, PermitQueue] = {}
        #: those of the requests that wait in them, by the identity of their tickets
        self._waiting: dict[int, asyncio.Future[None]] = {}
        self._timers: dict[Incarnation, asyncio.TimerHandle] = {}
        peers.handle(PermitRequest, self._handle_request)

    # asking

    async def obtain(
        self,
        list_wanted: Callable[[], Sequence[Incarnation]],
        rank: float,
        patience: float,
    ) -> float | None:
        """Ask for a permit for one of some targets, until there is one.

        :param list_wanted: returns the targets that could be sent to with one
        :param rank: priority rank of the request that needs it
        :param patience: seconds for which it may wait
        :return: seconds after which a permit is expected, if there is none in time;
            ``None`` if there is one, or none is needed
        """
        end = self._clock.now() + patience
        for _ in range(MAX_ASKED):
            now = self._clock.now()
            wanted = list_wanted()
            if not wanted:
                return None
            asked = [one for one in wanted if self._may_ask(one, now)]
            if not asked or now > end:
                break
            incarnation = self._random.choice(asked)
            # shielded: another request may use what is issued for one that has left
            left = max(0.0, end - now - MESSAGE_SECONDS)
            asking = self._start_asking(incarnation, rank, left)
            if await asyncio.shield(asking):
                return None
        return self._find_wait(list_wanted())

    def find_wait(self, wanted: Sequence[Incarnation], patience: float) -> float | None:
        """Return how long a permit takes if all targets have refused one just now.

        :param patience: seconds for which a request may wait
        :return: ``None`` if one may be had in time
        """
        now = self._clock.now()
        if any(self._may_ask(one, now) for one in wanted):
            return None
        wait = self._find_wait(wanted)
        return wait if wait > patience else None

    def handle_wanted(self, wanted: Sequence[Incarnation], patience: float) -> None:
        """Ask for a permit for one of some targets, unless that is being done."""
        now = self._clock.now()
        if any(one in self._wanting for one in wanted):
            return
        asked = [one for one in wanted if self._may_ask(one, now)]
        if not asked:
            return
        incarnation = self._random.choice(asked)
        task = self._start_asking(incarnation, 0.0, patience)
        self._wanting.add(incarnation)
        task.add_done_callback(lambda _: self._wanting.discard(incarnation))

    def forget(self, incarnation: Incarnation) -> None:
        """Discard what issuers have told of a target that is gone, and its queue."""
        self._refusals.pop(incarnation, None)
        self._issuers.pop(incarnation, None)
        queue = self._queues.pop(incarnation, None)
        if queue is not None:
            self._finish(queue.close())

    def dump(self) -> dict[str, Any]:
        waiting = {str(one): len(queue) for one, queue in self._queues.items()}
        held = self._permits.describe(self._clock.now())
        return {"held": held, "waiting_here": waiting}

    async def on_stop(self) -> None:
        for timer in self._timers.values():
            timer.cancel()
        tasks = tuple(self._asking)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _may_ask(self, incarnation: Incarnation, now: float) -> bool:
        refusal = self._refusals.get(incarnation)
        return refusal is None or refusal.until <= now

    def _find_wait(self, wanted: Sequence[Incarnation]) -> float:
        """Return the shortest wait for a permit that issuers have told."""
        waits = [
            refusal.wait
            for one in wanted
            if (refusal := self._refusals.get(one)) is not None
            and refusal.wait is not None
        ]
        return min(waits, default=0.0)

    def _start_asking(
        self, incarnation: Incarnation, rank: float, patience: float
    ) -> asyncio.Task[bool]:
        task = asyncio.create_task(self._ask(incarnation, rank, patience))
        self._asking.add(task)
        task.add_done_callback(self._asking.discard)
        return task

    async def _ask(
        self, incarnation: Incarnation, rank: float, patience: float
    ) -> bool:
        """Ask for permits for a target; return whether there are any."""
        count = self._find_batch(incarnation)
        issuer = self._find_issuer(incarnation)
        if issuer == self._peers.instance_id:
            answer = await self._issue(incarnation, count, rank, patience)
        else:
            answer = await self._ask_issuer(issuer, incarnation, count, rank, patience)
        now = self._clock.now()
        if answer is None:
            self._refusals[incarnation] = _Refusal(now + SILENCE_SECONDS, None)
            return False
        if answer.count <= 0:
            shortest, longest = REFUSAL_SECONDS
            pause = min(longest, max(shortest, answer.wait))
            self._refusals[incarnation] = _Refusal(now + pause, answer.wait)
            self._metrics.count("rate_limits.permits_refused")
            return False
        self._refusals.pop(incarnation, None)
        self._permits.add(incarnation, answer.count, now)
        self._metrics.count("rate_limits.permits_obtained", answer.count)
        return True

    def _find_batch(self, incarnation: Incarnation) -> int:
        """Return how many permits to ask for at once."""
        rate = self._permits.limits.find_rate(incarnation, self._clock.now())
        return max(1, int((rate or 0.0) * BATCH_SECONDS / self._count_instances()))

    async def _ask_issuer(
        self,
        issuer: str,
        incarnation: Incarnation,
        count: int,
        rank: float,
        patience: float,
    ) -> PermitAnswer | None:
        """Return the answer of another instance; ``None`` if there is none."""
        request = PermitRequest(
            target_id=incarnation.target_id,
            started_ms=incarnation.started_ms,
            count=count,
            rank=rank,
            patience=patience,
            rows=self._news.list_rows(incarnation),
        )
        reply = await self._peers.ask(issuer, request, patience + ANSWER_MARGIN)
        if isinstance(reply, Err) or not isinstance(reply.ok_value, PermitAnswer):
            self._metrics.count("rate_limits.issuer_silent")
            return None
        return reply.ok_value

    def _find_issuer(self, incarnation: Incarnation) -> str:
        """Return the instance that issues the permits for a target."""
        candidates = self._list_candidates()
        if candidates is not self._candidates:
            ids = tuple(one.instance_id for one in candidates)
            if ids != self._candidate_ids:
                self._issuers.clear()
            self._candidates, self._candidate_ids = candidates, ids
        issuer = self._issuers.get(incarnation)
        if issuer is None:
            issuer = self._issuers[incarnation] = min(
                self._candidate_ids,
                key=lambda one: (compute_weight(one, incarnation.target_id), one),
                default=self._peers.instance_id,
            )
        return issuer

    # issuing

    async def _handle_request(
        self, sender: str, message: PermitRequest
    ) -> PermitAnswer:
        self._news.apply(message.rows)
        incarnation = Incarnation(message.target_id, message.started_ms)
        return await self._issue(
            incarnation, message.count, message.rank, message.patience
        )

    async def _issue(
        self, incarnation: Incarnation, count: int, rank: float, patience: float
    ) -> PermitAnswer:
        """Return permits, once there are any, or none after some seconds."""
        if self._find_issuer(incarnation) != self._peers.instance_id:
            # two issuers would issue twice the rate
            return PermitAnswer(0, SILENCE_SECONDS)
        now = self._clock.now()
        rate = self._find_issued_rate(incarnation, now)
        if rate is None:
            return PermitAnswer(max(1, count))
        queue = self._queues.get(incarnation)
        if queue is None:
            queue = self._queues[incarnation] = PermitQueue(now)
        ticket = queue.request(
            rank=rank, count=count, patience=patience, rate=rate, now=now
        )
        if ticket.issued is None:
            await self._wait_for(ticket, incarnation, queue)
        issued = ticket.issued or 0
        self._metrics.count("rate_limits.permits_issued", issued)
        return PermitAnswer(issued, ticket.wait)

    async def _wait_for(
        self, ticket: PermitTicket, incarnation: Incarnation, queue: PermitQueue
    ) -> None:
        future = asyncio.get_running_loop().create_future()
        self._waiting[id(ticket)] = future
        self._schedule(incarnation)
        try:
            await future
        finally:
            del self._waiting[id(ticket)]
            queue.withdraw(ticket)

    def _find_issued_rate(self, incarnation: Incarnation, now: float) -> float | None:
        """Return the permits a second that this instance may issue for a target."""
        rate = self._permits.limits.find_rate(incarnation, now)
        if rate is None:
            return None
        # an instance that stops is no candidate, and issues if there is no other
        reachable = max(1, len(self._list_candidates()))
        return rate * compute_issued_share(reachable, self._count_instances())

    def _schedule(self, incarnation: Incarnation) -> None:
        """Let the queue of a target be served when its next permit is due."""
        timer = self._timers.pop(incarnation, None)
        if timer is not None:
            timer.cancel()
        queue = self._queues.get(incarnation)
        if not queue:
            return
        rate = self._find_issued_rate(incarnation, self._clock.now())
        pause = 0.0 if rate is None else queue.find_pause(rate)
        loop = asyncio.get_running_loop()
        self._timers[incarnation] = loop.call_later(pause, self._serve, incarnation)

    def _serve(self, incarnation: Incarnation) -> None:
        self._timers.pop(incarnation, None)
        queue = self._queues.get(incarnation)
        if not queue:
            return
        now = self._clock.now()
        rate = self._find_issued_rate(incarnation, now) or UNLIMITED_RATE
        self._finish(queue.serve(rate, now))
        self._schedule(incarnation)

    def _finish(self, tickets: Sequence[PermitTicket]) -> None:
        for ticket in tickets:
            future = self._waiting.get(id(ticket))
            if future is not None and not future.done():
                future.set_result(None)
