"""Execution of stages through the instance that owns the makers."""

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
from greengagelatch.relay.regions import is_allowed

from ..controllers import Controller
from .queue_wait_reports import QueueWaitReports
from .stage_executor import StageExecutor

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
    from .local_stage_executor import LocalStageExecutor
    from .ownership import Ownership
    from .stage_groups import MakerGroups

__all__ = ("ForwardingStageExecutor",)

#: seconds after a bundle's deadline for which the owner's answer is awaited
ANSWER_MARGIN = 0.3


class ForwardingStageExecutor(Controller, StageExecutor):
    """Forwards bundles to the owner of a group of makers, which batches all of them.

    The fixed cost of a call to a maker is that of several pieces. Instances that batch
    on their own send many calls that are almost empty, and see neither each other's
    queues nor the memory they have reserved. So one instance, on which all agree,
    batches the pieces for a group of makers. If it does not answer, a network partition
    is likely, and the bundle goes to the owner of the local data centre's makers. If
    that one does not answer either, this instance calls the makers itself. Pieces are
    idempotent, so that they may be made more than once.
    """

    name = "owned-stages"

    def __init__(
        self,
        *,
        local: LocalStageExecutor,
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
        self._reports = QueueWaitReports(peers=peers, clock=clock)
        #: owner that made a result, by handle, until the result is freed
        self._result_owners: dict[str, str] = {}
        #: callbacks for when a bundle's inputs are read, by owner and bundle id
        self._read_callbacks: dict[tuple[str, str], Callable[[], None]] = {}
        #: bundles of peers in progress, by peer and bundle id
        self._in_progress: dict[tuple[str, str], asyncio.Task[Any]] = {}
        peers.handle(BundleRequest, self._handle_request)
        peers.handle(BundleCancelled, self._handle_cancelled)
        peers.handle(BundleInputsRead, self._handle_inputs_read)
        peers.handle(ResultsReleased, self._handle_released)
        peers.handle(StageWaits, self._handle_waits)

    async def execute(
        self, bundle: Bundle, on_read: Callable[[], None]
    ) -> tuple[PieceResult, ...]:
        results = await self._execute_in(self._choose_group(bundle), bundle, on_read)
        if results is None or _lack_makers(results):
            local_group = self._groups.find_local_group(
                bundle.service, self._find_local_data_centre(bundle)
            )
            results = await self._execute_in(local_group, bundle, on_read)
            if results is None:
                results = await self._local.execute_in(local_group, bundle, on_read)
        return results

    def _find_local_data_centre(self, bundle: Bundle) -> str:
        """Return the data centre whose makers to fall back to; empty: any."""
        if is_allowed(self._data_centre, bundle.data_centres):
            return self._data_centre
        return ""

    def free(self, service: str, results: tuple[PieceResult, ...]) -> None:
        by_owner: dict[str, list[PieceResult]] = {}
        for result in results:
            owner = self._result_owners.pop(result.handle, "")
            by_owner.setdefault(owner, []).append(result)
        for owner, freed in by_owner.items():
            message = ResultsReleased(service, encode_results(tuple(freed)))
            if not owner or not self._peers.send(owner, message):
                self._local.free(service, tuple(freed))

    def estimate_wait(self, service: str) -> QueueWait:
        views = self._list_views(service)
        local_views = [
            one for one in views if one.group.data_centre == self._data_centre
        ]
        # a bundle most likely goes to the local group, unless another queue is shorter
        return min(local_views + views, key=lambda one: one.wait.urgent).wait

    def is_idle(self) -> bool:
        """Return whether no bundle of a peer is in progress."""
        return not self._in_progress

    async def wait_idle(self, timeout: float) -> bool:
        """Wait up to ``timeout`` seconds until no bundle of a peer is in progress.

        Peers send new bundles elsewhere as soon as they know that this instance is
        draining; bundles that were cut off here would have to be made again.
        """
        if not self._in_progress:
            return True
        _, left = await asyncio.wait(tuple(self._in_progress.values()), timeout=timeout)
        return not left

    async def on_stop(self) -> None:
        for task in tuple(self._in_progress.values()):
            task.cancel()
        await asyncio.gather(*self._in_progress.values(), return_exceptions=True)

    def dump(self) -> dict[str, Any]:
        return {
            **self._ownership.dump(),
            "bundles_of_peers": len(self._in_progress),
            "results_held": len(self._result_owners),
        }

    # groups

    def _choose_group(self, bundle: Bundle) -> MakerGroup:
        views = [
            GroupView(one.group, one.wait.find_at_rank(bundle.rank))
            for one in self._list_views(bundle.service)
        ]
        views = [
            one
            for one in views
            if is_allowed(one.group.data_centre, bundle.data_centres)
        ] or views
        if len(views) == 1:
            return views[0].group
        profile = self._find_profile(bundle.service)
        return choose_group(bundle, views, profile, self._clock.now(), self._random)

    def _list_views(self, service: str) -> list[GroupView]:
        """Return the groups that bundles can be sent to, with the waits of each.

        A data centre without a live instance is most likely partitioned from this one,
        and so are its makers.
        """
        groups = self._groups.list_groups(service)
        if len(groups) > 1:
            live_data_centres = {
                one.data_centre for one in self._ownership.list_candidates()
            }
            groups = [
                one for one in groups if one.data_centre in live_data_centres
            ] or groups
        return [self._view(group) for group in groups]

    def _view(self, group: MakerGroup) -> GroupView:
        if self._ownership.owns(group):
            wait = self._local.estimate_wait_in(group)
        else:
            wait = self._reports.find_wait(group)
        return GroupView(group, wait)

    # forwarding to an owner

    async def _execute_in(
        self, group: MakerGroup, bundle: Bundle, on_read: Callable[[], None]
    ) -> tuple[PieceResult, ...] | None:
        """Return the results of a group's makers; ``None`` if its owner fails."""
        owner = next(iter(self._ownership.rank(group)), self._peers.instance_id)
        if owner == self._peers.instance_id:
            return await self._local.execute_in(group, bundle, on_read)
        return await self._forward(owner, group, bundle, on_read)

    async def _forward(
        self, owner: str, group: MakerGroup, bundle: Bundle, on_read: Callable[[], None]
    ) -> tuple[PieceResult, ...] | None:
        bundle_key = (owner, bundle.bundle_id)
        self._read_callbacks[bundle_key] = on_read
        try:
            reply = await self._send(owner, group, bundle)
            if isinstance(reply, Err) and reply.err_value.disconnected:
                # An owner excluded for a broken link would not be the owner here while
                # it is for the other instances, and two owners would overload the
                # makers. It recognises the bundle, and a new connection fails at once
                # if its process has ended.
                reply = await self._send(owner, group, bundle)
        except asyncio.CancelledError:
            self._peers.send(owner, BundleCancelled(bundle.bundle_id))
            raise
        finally:
            del self._read_callbacks[bundle_key]
        if isinstance(reply, Err):
            self._record_owner_failure(owner, group, bundle, reply.err_value.message)
            return None
        answer = reply.ok_value
        results = None
        if isinstance(answer, BundleResults):
            results = decode_results(answer.results, len(bundle.pieces))
        if results is None:
            self._record_owner_failure(owner, group, bundle, "answer cannot be decoded")
            return None
        for result in results:
            if result.failure is None:
                self._result_owners[result.handle] = owner
        return results

    async def _send(
        self, owner: str, group: MakerGroup, bundle: Bundle
    ) -> Result[Message, PeerError]:
        now = self._clock.now()
        timeout = max(0.0, bundle.hard_deadline - now) + ANSWER_MARGIN
        return await self._peers.ask(owner, encode_bundle(bundle, group, now), timeout)

    def _record_owner_failure(
        self, owner: str, group: MakerGroup, bundle: Bundle, reason: str
    ) -> None:
        self._metrics.count("stages.owner_lost")
        self._ownership.exclude(owner)
        self._decisions.log_state_change(
            "owner-lost",
            owner=owner,
            service=bundle.service,
            makers=group.data_centre,
            request=bundle.request_id,
            reason=reason,
        )

    # executing for peers as an owner

    async def _handle_request(
        self, sender: str, message: BundleRequest
    ) -> BundleResults:
        bundle = decode_bundle(message, self._clock.now())
        self._reports.add_subscriber(sender)
        bundle_key = (sender, bundle.bundle_id)
        task = self._in_progress.get(bundle_key)
        if task is None:
            on_read = partial(
                self._peers.send, sender, BundleInputsRead(bundle.bundle_id)
            )
            group = self._find_requested_group(bundle.service, message.group)
            making = self._local.execute_in(group, bundle, on_read)
            task = asyncio.ensure_future(making)
            self._in_progress[bundle_key] = task
            task.add_done_callback(partial(self._remove_finished, bundle_key))
        # shielded: the peer may request the same bundle again over another link
        results = await asyncio.shield(task)
        return BundleResults(encode_results(results))

    def _find_requested_group(self, service: str, data_centre: str) -> MakerGroup:
        """Return the group that a peer's request refers to.

        A peer that has just started knows too few instances to divide the makers. Its
        requests would have this instance call makers that other instances own.
        """
        if not data_centre:
            own = self._groups.find_group(service, self._data_centre)
            if self._ownership.owns(own):
                return own
        return MakerGroup(service, data_centre)

    def _remove_finished(
        self, bundle_key: tuple[str, str], task: asyncio.Task[Any]
    ) -> None:
        """Remove a bundle that has ended, unless it was requested again."""
        if self._in_progress.get(bundle_key) is task:
            del self._in_progress[bundle_key]

    @Service.task
    async def _publish_forever(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(self._reports.find_interval())
            # ownership follows changes of the membership also without requests
            self._ownership.list_candidates()
            self._reports.publish(self._local.list_waits())

    def _handle_waits(self, sender: str, message: StageWaits) -> None:
        for group, wait in self._reports.decode(message):
            if self._ownership.rank(group)[:1] == (sender,):
                self._reports.store(group, wait)

    def _handle_cancelled(self, sender: str, message: BundleCancelled) -> None:
        # removed at once: a new request for the stage may follow immediately, and must
        # not wait for the task that is being cancelled
        task = self._in_progress.pop((sender, message.bundle_id), None)
        if task is not None:
            task.cancel()

    def _handle_inputs_read(self, sender: str, message: BundleInputsRead) -> None:
        on_read = self._read_callbacks.get((sender, message.bundle_id))
        if on_read is not None:
            on_read()

    def _handle_released(self, sender: str, message: ResultsReleased) -> None:
        results = decode_results(message.results, len(message.results))
        if results is not None:
            self._local.free(message.service, results)


def _lack_makers(results: tuple[PieceResult, ...]) -> bool:
    return all(one.failure is PieceFailure.NO_MAKER for one in results)
