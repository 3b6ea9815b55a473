"""Stage work that one instance gathers for all."""

from __future__ import annotations

import asyncio
from functools import partial
from typing import TYPE_CHECKING, Any

from mode import Service
from result import Err

from greengagelatch.peers import MemberState
from greengagelatch.relay.messages import (
    PiecesDropped,
    PiecesMade,
    PiecesRead,
    PiecesWanted,
    ResultsFreed,
    StageWaits,
    decode_bundle,
    decode_results,
    encode_bundle,
    encode_results,
)
from greengagelatch.relay.owners import rank_owners

from ..controllers import Controller
from .stage_desk import QueueWait, StageDesk

if TYPE_CHECKING:
    from collections.abc import Callable

    from result import Result

    from greengagelatch.clock import Clock
    from greengagelatch.peers import Member, PeerError, PeerNetwork
    from greengagelatch.peers.codec import Message
    from greengagelatch.relay.pieces import Bundle, PieceResult

    from ..metrics import Metrics
    from .decisions import DecisionLog
    from .desk import LocalDesk

__all__ = ("OwnedDesk",)

#: seconds for which an owner that did not answer is passed over; the membership
#: has noticed by then whether it is gone
SHUNNED_SECONDS = 1.5
#: seconds beyond a bundle's last moment for which its owner is waited for
ANSWER_MARGIN = 0.3
#: seconds for which an owner's word about its queue counts
WAIT_LIFE = 0.6
#: seconds between two words about queues, and the least wait worth a word
TELL_INTERVAL = 0.15
LEAST_TOLD = 0.05
#: seconds for which a peer that asked is told of queues
ASKER_LIFE = 10.0
#: seconds for which a suspected instance may still own stage work: one that lives has
#: refuted it by then, and one that is gone fails its links at the first question
SUSPICION_SECONDS = 0.5
#: owners tried for one bundle before this instance makes it by itself
MAX_OWNERS = 2
#: seconds for which the list of members is used again
MEMBERS_LIFE = 0.1
#: seconds for which an instance has been the owner until calls of the owner before
#: are at no maker any more: an instance that leaves goes on until it is killed, usually
#: 8 s after its stop request, and a call that it began last for less than 2 more
SETTLING_SECONDS = 10.0
#: seconds after any other change in which an instance that does not know the owner
#: may make pieces itself: until it has heard of the others, and its call has ended
MEETING_SECONDS = 2.0


class OwnedDesk(Controller, StageDesk):
    """Sends bundles to the owner of their service, which fills calls from all.

    A call to a maker costs as much as several pieces. Instances that each fill
    their own calls send many that are almost empty, and know nothing of each
    other's queues and room. So one instance, the same in the eyes of all, gathers a
    service's pieces. If it does not answer, the next one does, or this one itself:
    a piece may be made again.
    """

    name = "owned-stages"

    def __init__(
        self,
        *,
        local: LocalDesk,
        peers: PeerNetwork,
        clock: Clock,
        metrics: Metrics,
        decisions: DecisionLog,
    ) -> None:
        super().__init__()
        self._local = local
        self._peers = peers
        self._clock = clock
        self._metrics = metrics
        self._decisions = decisions
        self._shunned: dict[str, float] = {}
        #: members that are suspected, and since when
        self._suspected: dict[str, float] = {}
        #: what an owner told of its queue, and when
        self._waits: dict[str, tuple[QueueWait, float]] = {}
        #: owner by handle, for results that are not freed yet
        self._makers_owner: dict[str, str] = {}
        #: what to call once the inputs of a bundle are read, by owner and bundle id
        self._asked: dict[tuple[str, str], Callable[[], None]] = {}
        #: bundles of peers in work, by peer and bundle id
        self._in_work: dict[tuple[str, str], asyncio.Task[Any]] = {}
        #: peers that asked lately, and until when they are told of queues
        self._askers: dict[str, float] = {}
        self._told: set[str] = set()
        self._candidates: tuple[Member, ...] = ()
        self._candidates_until = 0.0
        #: owners in order by service, as of the candidates
        self._ranked: dict[str, tuple[str, ...]] = {}
        #: since when this instance has been the owner, by service
        self._owner_since: dict[str, float] = {}
        #: since when the candidates have been the same
        self._unchanged_since = clock.now()
        peers.handle(PiecesWanted, self._answer_wanted)
        peers.handle(PiecesDropped, self._take_dropped)
        peers.handle(PiecesRead, self._take_read)
        peers.handle(ResultsFreed, self._take_freed)
        peers.handle(StageWaits, self._take_waits)

    async def make(
        self, bundle: Bundle, note_read: Callable[[], None]
    ) -> tuple[PieceResult, ...]:
        own = self._peers.instance_id
        for owner in self._rank(bundle.service)[:MAX_OWNERS]:
            if owner == own:
                break
            results = await self._ask(owner, bundle, note_read)
            if results is not None:
                return results
        return await self._local.make(bundle, note_read)

    def free(self, service: str, results: tuple[PieceResult, ...]) -> None:
        by_owner: dict[str, list[PieceResult]] = {}
        for result in results:
            owner = self._makers_owner.pop(result.handle, "")
            by_owner.setdefault(owner, []).append(result)
        for owner, freed in by_owner.items():
            message = ResultsFreed(service, encode_results(tuple(freed)))
            if not owner or not self._peers.send(owner, message):
                self._local.free(service, tuple(freed))

    def estimate_wait(self, service: str) -> QueueWait:
        ranked = self._rank(service)
        if not ranked or ranked[0] == self._peers.instance_id:
            return self._local.estimate_wait(service)
        wait, told = self._waits.get(service, (QueueWait(), 0.0))
        if self._clock.now() - told > WAIT_LIFE:
            return QueueWait()
        return wait

    def is_sole(self, service: str) -> bool:
        """Return whether no other instance's calls are at the makers of a service.

        So it is where this instance has owned the service for as long as an owner
        before could go on, and nobody has come or gone just now. An instance that
        leaves owns nothing, although it finishes what it has in work for its peers.

        Others that come and go own nothing: were their changes waited for like a
        change of the owner, inputs would fill the makers' room and leave calls half
        empty through a whole rolling restart.
        """
        if self._rank(service)[:1] != (self._peers.instance_id,):
            return False
        if self._find_unchanged() < MEETING_SECONDS:
            return False
        return self._clock.now() - self._owner_since[service] >= SETTLING_SECONDS

    async def wait_idle(self, timeout: float) -> bool:
        """Wait at most ``timeout`` seconds until no bundle of a peer is in work.

        Peers ask others for new ones as soon as they know that this instance leaves;
        those that it has would have to be made again.
        """
        if not self._in_work:
            return True
        _, left = await asyncio.wait(tuple(self._in_work.values()), timeout=timeout)
        return not left

    async def on_stop(self) -> None:
        for task in tuple(self._in_work.values()):
            task.cancel()
        await asyncio.gather(*self._in_work.values(), return_exceptions=True)

    def dump(self) -> dict[str, Any]:
        return {
            "instances": [one.instance_id for one in self._find_candidates()],
            "unchanged_seconds": round(self._find_unchanged(), 1),
            "shunned": list(self._shunned),
            "bundles_of_peers": len(self._in_work),
            "results_held": len(self._makers_owner),
        }

    # as one that asks

    async def _ask(
        self, owner: str, bundle: Bundle, note_read: Callable[[], None]
    ) -> tuple[PieceResult, ...] | None:
        place = (owner, bundle.bundle_id)
        self._asked[place] = note_read
        try:
            reply = await self._send(owner, bundle)
            if isinstance(reply, Err) and reply.err_value.cut:
                # Passed over for a link that broke, it would not be the owner here
                # while it is elsewhere, and both would overrun the makers. It knows
                # the bundle, and a dial tells at once if its process is gone.
                reply = await self._send(owner, bundle)
        except asyncio.CancelledError:
            self._peers.send(owner, PiecesDropped(bundle.bundle_id))
            raise
        finally:
            del self._asked[place]
        if isinstance(reply, Err):
            self._shun(owner, bundle, reply.err_value.message)
            return None
        answer = reply.ok_value
        results = None
        if isinstance(answer, PiecesMade):
            results = decode_results(answer.results, len(bundle.pieces))
        if results is None:
            self._shun(owner, bundle, "answer can't be read")
            return None
        for result in results:
            if result.failure is None:
                self._makers_owner[result.handle] = owner
        return results

    async def _send(self, owner: str, bundle: Bundle) -> Result[Message, PeerError]:
        now = self._clock.now()
        timeout = max(0.0, bundle.latest - now) + ANSWER_MARGIN
        return await self._peers.ask(owner, encode_bundle(bundle, now), timeout)

    def _shun(self, owner: str, bundle: Bundle, reason: str) -> None:
        self._metrics.count("stages.owner_lost")
        self._shunned[owner] = self._clock.now() + SHUNNED_SECONDS
        self._candidates_until = 0.0
        self._decisions.note_belief(
            "owner-lost",
            owner=owner,
            service=bundle.service,
            request=bundle.request_id,
            reason=reason,
        )

    def _rank(self, service: str) -> tuple[str, ...]:
        """Return who may own a service, its owner first."""
        candidates = self._find_candidates()
        if service not in self._ranked:
            self._rank_anew(service, candidates)
        return self._ranked[service]

    def _rank_anew(self, service: str, candidates: tuple[Member, ...]) -> None:
        ranked = self._ranked[service] = rank_owners(service, candidates)
        if ranked[:1] == (self._peers.instance_id,):
            self._owner_since.setdefault(service, self._clock.now())
        else:
            self._owner_since.pop(service, None)

    def _find_candidates(self) -> tuple[Member, ...]:
        now = self._clock.now()
        if now < self._candidates_until:
            return self._candidates
        self._candidates_until = now + MEMBERS_LIFE
        for owner, until in tuple(self._shunned.items()):
            if until <= now:
                del self._shunned[owner]
        before = {one.instance_id: one.capacity for one in self._candidates}
        # this instance by the same rule: peers of one that leaves ask the next owner
        # already, and two that fill calls to the same makers are in each other's way
        self._candidates = tuple(
            member
            for member in self._peers.members()
            if member.instance_id not in self._shunned and self._may_own(member, now)
        )
        after = {one.instance_id: one.capacity for one in self._candidates}
        if after != before:
            self._unchanged_since = now
            # at once: who owns a service only in between has calls at its makers too
            for service in tuple(self._ranked):
                self._rank_anew(service, self._candidates)
            self._decisions.note_belief(
                "instances",
                gone=sorted(set(before) - set(after)),
                come=sorted(set(after) - set(before)),
                shunned=sorted(self._shunned),
            )
        return self._candidates

    def _may_own(self, member: Member, now: float) -> bool:
        """Whether a member is there, or is suspected since a moment only.

        Most suspicions are refuted within a tenth of a second: if owners changed with
        each, two would fill the makers' room, and the one that owns them again would
        count as new and keep its inputs for seconds.
        """
        if member.state is not MemberState.SUSPECT:
            self._suspected.pop(member.instance_id, None)
            return member.state is MemberState.ALIVE
        since = self._suspected.setdefault(member.instance_id, now)
        return now - since < SUSPICION_SECONDS

    def _find_unchanged(self) -> float:
        """Return the seconds for which the candidates have been the same."""
        self._find_candidates()
        return self._clock.now() - self._unchanged_since

    # as an owner

    async def _answer_wanted(self, sender: str, message: PiecesWanted) -> PiecesMade:
        bundle = decode_bundle(message, self._clock.now())
        self._askers[sender] = self._clock.now() + ASKER_LIFE
        place = (sender, bundle.bundle_id)
        task = self._in_work.get(place)
        if task is None:
            note_read = partial(self._peers.send, sender, PiecesRead(bundle.bundle_id))
            task = asyncio.ensure_future(self._local.make(bundle, note_read))
            self._in_work[place] = task
            task.add_done_callback(partial(self._forget, place))
        # shielded: the same bundle may be asked for again over another link
        results = await asyncio.shield(task)
        return PiecesMade(encode_results(results))

    def _forget(self, place: tuple[str, str], task: asyncio.Task[Any]) -> None:
        """Take out a bundle that has ended, unless it was asked for again."""
        if self._in_work.get(place) is task:
            del self._in_work[place]

    @Service.task
    async def _tell_forever(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(TELL_INTERVAL)
            # who comes and goes is noted in quiet times as well
            self._find_candidates()
            self._tell_waits()

    def _tell_waits(self) -> None:
        """Tell those that ask this instance how long its queues are.

        Without it they would begin requests behind a queue that they don't see.
        """
        now = self._clock.now()
        askers = [one for one, until in self._askers.items() if until > now]
        if not askers:
            self._askers.clear()
            return
        waits = tuple(
            (service, round(wait.urgent, 3), round(wait.whole, 3))
            for service, wait in self._local.list_waits()
            if wait.whole >= LEAST_TOLD or service in self._told
        )
        self._told = {service for service, _, whole in waits if whole >= LEAST_TOLD}
        if not waits:
            return
        message = StageWaits(waits)
        for asker in askers:
            self._peers.send(asker, message)

    def _take_waits(self, sender: str, message: StageWaits) -> None:
        now = self._clock.now()
        for service, urgent, whole in message.waits:
            if self._rank(service)[:1] == (sender,):
                self._waits[service] = (QueueWait(urgent, whole), now)

    def _take_dropped(self, sender: str, message: PiecesDropped) -> None:
        # taken out at once: the stage may be asked for again in the same moment, and
        # would wait for what is being cancelled
        task = self._in_work.pop((sender, message.bundle_id), None)
        if task is not None:
            task.cancel()

    def _take_read(self, sender: str, message: PiecesRead) -> None:
        note_read = self._asked.get((sender, message.bundle_id))
        if note_read is not None:
            note_read()

    def _take_freed(self, sender: str, message: ResultsFreed) -> None:
        results = decode_results(message.results, len(message.results))
        if results is not None:
            self._local.free(message.service, results)
