"""Stage work that one instance gathers for all."""

from __future__ import annotations

import asyncio
from functools import partial
from typing import TYPE_CHECKING, Any

from mode import Service
from result import Err

from greengagelatch.relay.groups import GroupView, MakerGroup, choose_group
from greengagelatch.relay.messages import (
    BundleCancelled,
    BundleInputsRead,
    BundleRequest,
    BundleResults,
    ResultsReleased,
    StageWaits,
    decode_bundle,
    decode_results,
    encode_bundle,
    encode_results,
)
from greengagelatch.relay.pieces import PieceFailure

from ..controllers import Controller
from .queue_words import QueueWords
from .stage_desk import StageDesk

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from result import Result

    from greengagelatch.clock import Clock
    from greengagelatch.peers import PeerError, PeerNetwork
    from greengagelatch.peers.codec import Message
    from greengagelatch.relay.deployment import MakerProfile
    from greengagelatch.relay.pieces import Bundle, PieceResult
    from greengagelatch.relay.queue_waits import QueueWait

    from ..metrics import Metrics
    from .decisions import DecisionLog
    from .desk import LocalDesk
    from .ownership import Ownership
    from .stage_groups import MakerGroups

__all__ = ("OwnedDesk",)

#: seconds beyond a bundle's last moment for which its owner is waited for
ANSWER_MARGIN = 0.3


class OwnedDesk(Controller, StageDesk):
    """Sends bundles to an owner of makers of their service, which fills calls from all.

    A call to a maker costs as much as several pieces. Instances that each fill
    their own calls send many that are almost empty, and know nothing of each
    other's queues and room. So one instance, the same in the eyes of all, gathers the
    pieces for a group of makers. If it does not answer, the owner of the makers nearby
    is asked, as a partition most likely lies between; if that one does not answer
    either, this instance makes the pieces: a piece may be made again.
    """

    name = "owned-stages"

    def __init__(
        self,
        *,
        local: LocalDesk,
        groups: MakerGroups,
        ownership: Ownership,
        peers: PeerNetwork,
        data_centre: str,
        find_profile: Callable[[str], MakerProfile | None],
        clock: Clock,
        random_source: random.Random,
        metrics: Metrics,
        decisions: DecisionLog,
    ) -> None:
        super().__init__()
        self._local = local
        self._groups = groups
        self._ownership = ownership
        self._peers = peers
        self._data_centre = data_centre
        self._find_profile = find_profile
        self._clock = clock
        self._random = random_source
        self._metrics = metrics
        self._decisions = decisions
        self._words = QueueWords(peers=peers, clock=clock)
        #: owner by handle, for results that are not freed yet
        self._makers_owner: dict[str, str] = {}
        #: what to call once the inputs of a bundle are read, by owner and bundle id
        self._asked: dict[tuple[str, str], Callable[[], None]] = {}
        #: bundles of peers in work, by peer and bundle id
        self._in_work: dict[tuple[str, str], asyncio.Task[Any]] = {}
        peers.handle(BundleRequest, self._answer_wanted)
        peers.handle(BundleCancelled, self._take_dropped)
        peers.handle(BundleInputsRead, self._take_read)
        peers.handle(ResultsReleased, self._take_freed)
        peers.handle(StageWaits, self._take_waits)

    async def make(
        self, bundle: Bundle, note_read: Callable[[], None]
    ) -> tuple[PieceResult, ...]:
        results = await self._make_in(self._choose_group(bundle), bundle, note_read)
        if results is None or _lack_maker(results):
            near = self._groups.find_near(bundle.service, self._data_centre)
            results = await self._make_in(near, bundle, note_read)
            if results is None:
                results = await self._local.make_in(near, bundle, note_read)
        return results

    def free(self, service: str, results: tuple[PieceResult, ...]) -> None:
        by_owner: dict[str, list[PieceResult]] = {}
        for result in results:
            owner = self._makers_owner.pop(result.handle, "")
            by_owner.setdefault(owner, []).append(result)
        for owner, freed in by_owner.items():
            message = ResultsReleased(service, encode_results(tuple(freed)))
            if not owner or not self._peers.send(owner, message):
                self._local.free(service, tuple(freed))

    def estimate_wait(self, service: str) -> QueueWait:
        views = self._list_views(service)
        near = [one for one in views if one.group.data_centre == self._data_centre]
        # the near one unless another is shorter: where a bundle would most likely go
        return min(near + views, key=lambda one: one.wait.urgent).wait

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
            **self._ownership.dump(),
            "bundles_of_peers": len(self._in_work),
            "results_held": len(self._makers_owner),
        }

    # groups

    def _choose_group(self, bundle: Bundle) -> MakerGroup:
        views = self._list_views(bundle.service)
        if len(views) == 1:
            return views[0].group
        profile = self._find_profile(bundle.service)
        return choose_group(bundle, views, profile, self._clock.now(), self._random)

    def _list_views(self, service: str) -> list[GroupView]:
        """Return the groups that can be asked, with the waits of each.

        A data centre of which no instance answers is most likely cut off, and its
        makers with it.
        """
        groups = self._groups.list_groups(service)
        if len(groups) > 1:
            places = {one.data_centre for one in self._ownership.list_candidates()}
            groups = [one for one in groups if one.data_centre in places] or groups
        return [self._view(group) for group in groups]

    def _view(self, group: MakerGroup) -> GroupView:
        if self._ownership.owns(group):
            wait = self._local.estimate_wait_in(group)
        else:
            wait = self._words.find(group)
        return GroupView(group, wait)

    # as one that asks

    async def _make_in(
        self, group: MakerGroup, bundle: Bundle, note_read: Callable[[], None]
    ) -> tuple[PieceResult, ...] | None:
        """Return the results of a group's makers; ``None`` if no owner answers."""
        owner = next(iter(self._ownership.rank(group)), self._peers.instance_id)
        if owner == self._peers.instance_id:
            return await self._local.make_in(group, bundle, note_read)
        return await self._ask(owner, group, bundle, note_read)

    async def _ask(
        self,
        owner: str,
        group: MakerGroup,
        bundle: Bundle,
        note_read: Callable[[], None],
    ) -> tuple[PieceResult, ...] | None:
        place = (owner, bundle.bundle_id)
        self._asked[place] = note_read
        try:
            reply = await self._send(owner, group, bundle)
            if isinstance(reply, Err) and reply.err_value.cut:
                # Passed over for a link that broke, it would not be the owner here
                # while it is elsewhere, and both would overrun the makers. It knows
                # the bundle, and a dial tells at once if its process is gone.
                reply = await self._send(owner, group, bundle)
        except asyncio.CancelledError:
            self._peers.send(owner, BundleCancelled(bundle.bundle_id))
            raise
        finally:
            del self._asked[place]
        if isinstance(reply, Err):
            self._note_lost(owner, group, bundle, reply.err_value.message)
            return None
        answer = reply.ok_value
        results = None
        if isinstance(answer, BundleResults):
            results = decode_results(answer.results, len(bundle.pieces))
        if results is None:
            self._note_lost(owner, group, bundle, "answer can't be read")
            return None
        for result in results:
            if result.failure is None:
                self._makers_owner[result.handle] = owner
        return results

    async def _send(
        self, owner: str, group: MakerGroup, bundle: Bundle
    ) -> Result[Message, PeerError]:
        now = self._clock.now()
        timeout = max(0.0, bundle.hard_deadline - now) + ANSWER_MARGIN
        return await self._peers.ask(owner, encode_bundle(bundle, group, now), timeout)

    def _note_lost(
        self, owner: str, group: MakerGroup, bundle: Bundle, reason: str
    ) -> None:
        self._metrics.count("stages.owner_lost")
        self._ownership.shun(owner)
        self._decisions.note_belief(
            "owner-lost",
            owner=owner,
            service=bundle.service,
            makers=group.data_centre,
            request=bundle.request_id,
            reason=reason,
        )

    # as an owner

    async def _answer_wanted(
        self, sender: str, message: BundleRequest
    ) -> BundleResults:
        bundle = decode_bundle(message, self._clock.now())
        self._words.note_asker(sender)
        place = (sender, bundle.bundle_id)
        task = self._in_work.get(place)
        if task is None:
            note_read = partial(
                self._peers.send, sender, BundleInputsRead(bundle.bundle_id)
            )
            group = self._find_wanted(bundle.service, message.group)
            making = self._local.make_in(group, bundle, note_read)
            task = asyncio.ensure_future(making)
            self._in_work[place] = task
            task.add_done_callback(partial(self._forget, place))
        # shielded: the same bundle may be asked for again over another link
        results = await asyncio.shield(task)
        return BundleResults(encode_results(results))

    def _find_wanted(self, service: str, data_centre: str) -> MakerGroup:
        """Return the group that a peer means.

        One that has just started knows too few others to see makers divided, and would
        have all of them called from here beside their owners.
        """
        if not data_centre:
            own = self._groups.find_group(service, self._data_centre)
            if self._ownership.owns(own):
                return own
        return MakerGroup(service, data_centre)

    def _forget(self, place: tuple[str, str], task: asyncio.Task[Any]) -> None:
        """Take out a bundle that has ended, unless it was asked for again."""
        if self._in_work.get(place) is task:
            del self._in_work[place]

    @Service.task
    async def _tell_forever(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(self._words.find_interval())
            # who comes and goes is noted in quiet times as well
            self._ownership.list_candidates()
            self._words.tell(self._local.list_waits())

    def _take_waits(self, sender: str, message: StageWaits) -> None:
        for group, wait in self._words.take(message):
            if self._ownership.rank(group)[:1] == (sender,):
                self._words.keep(group, wait)

    def _take_dropped(self, sender: str, message: BundleCancelled) -> None:
        # taken out at once: the stage may be asked for again in the same moment, and
        # would wait for what is being cancelled
        task = self._in_work.pop((sender, message.bundle_id), None)
        if task is not None:
            task.cancel()

    def _take_read(self, sender: str, message: BundleInputsRead) -> None:
        note_read = self._asked.get((sender, message.bundle_id))
        if note_read is not None:
            note_read()

    def _take_freed(self, sender: str, message: ResultsReleased) -> None:
        results = decode_results(message.results, len(message.results))
        if results is not None:
            self._local.free(message.service, results)


def _lack_maker(results: tuple[PieceResult, ...]) -> bool:
    return all(one.failure is PieceFailure.NO_MAKER for one in results)
