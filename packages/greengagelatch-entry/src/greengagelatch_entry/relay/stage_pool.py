"""Queue and scheduler of the calls to one group of makers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from greengagelatch.relay.batches import find_infeasible
from greengagelatch.relay.bundle_orders import DeadlineOrder
from greengagelatch.relay.pieces import PieceFailure, PieceResult
from greengagelatch.relay.result_memory import ResultMemory
from greengagelatch.relay.send_limits import SendLimits

from .bundle_queue import INPUT_READ_SECONDS, BundleQueue
from .maker_calls import SETTLED_OUTCOMES, CallResult, MakerCaller
from .makers import Maker
from .order_reports import OrderReports
from .result_releaser import ResultReleaser
from .wait_estimator import WaitEstimator

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from greengagelatch.clock import Clock
    from greengagelatch.relay.batches import BatchPolicy, PlannedCall
    from greengagelatch.relay.bundle_orders import BundleOrder
    from greengagelatch.relay.deployment import MakerProfile
    from greengagelatch.relay.groups import MakerGroup
    from greengagelatch.relay.incarnations import Incarnation
    from greengagelatch.relay.pieces import Bundle
    from greengagelatch.relay.queue_waits import QueueWait
    from greengagelatch.relay.targets import ListedTarget, TargetTable

    from ..metrics import Metrics
    from .bundle_quarantine import BundleQuarantine
    from .bundle_queue import QueuedBundle
    from .codecs import TargetCodec
    from .decisions import DecisionLog
    from .retry_budgets import RetryBudgets
    from .target_connections import TargetConnectionPool

__all__ = ("StagePool",)

#: seconds after which queued pieces are scheduled again, and between two searches for
#: pieces that cannot be made in time
RESCHEDULE_SECONDS = 0.05
#: slowness up to which a maker is assumed to start calls at once
MAX_PROMPT_SLOWNESS = 1.5


class StagePool:
    """Queue and calls of one group of makers.

    Pieces wait in this queue and not at their makers. When a maker becomes idle, late
    and cancelled pieces can still be dropped, and more urgent ones be sent first.

    :param list_makers: returns the listed makers, the same object until something
        changes
    :param is_exclusive: returns whether no other instance has calls at the makers
    """

    def __init__(
        self,
        group: MakerGroup,
        *,
        list_makers: Callable[[], Sequence[ListedTarget]],
        find_profile: Callable[[], MakerProfile | None],
        is_exclusive: Callable[[], bool],
        quarantine: BundleQuarantine,
        policy: BatchPolicy,
        target_table: TargetTable,
        connections: TargetConnectionPool,
        codec: TargetCodec,
        budgets: RetryBudgets,
        clock: Clock,
        metrics: Metrics,
        decisions: DecisionLog,
        limits: SendLimits | None = None,
        order: BundleOrder | None = None,
    ) -> None:
        self._group = group
        self._list_targets = list_makers
        self._find_profile = find_profile
        self._is_exclusive = is_exclusive
        self._quarantine = quarantine
        self._limits = limits or SendLimits()
        self._policy = policy
        self._order = order or DeadlineOrder()
        self._target_table = target_table
        self._clock = clock
        self._decisions = decisions
        self._queue = BundleQueue(
            group.service,
            free=self.free,
            target_table=target_table,
            budgets=budgets,
            metrics=metrics,
        )
        self._order_reports = OrderReports(
            group, self._order, metrics=metrics, decisions=decisions
        )
        self._makers: dict[Incarnation, Maker] = {}
        #: cached makers, and the entries and the profile that they were created from
        self._listed: list[Maker] = []
        self._listed_from: tuple[object, MakerProfile] | None = None
        self._estimator = WaitEstimator(clock.now(), self._order)
        self._expiry_checked_at = 0.0
        self._tasks: set[asyncio.Task[None]] = set()
        self._timer: asyncio.TimerHandle | None = None
        self._caller = MakerCaller(
            connections=connections,
            codec=codec,
            target_table=target_table,
            clock=clock,
            metrics=metrics,
        )
        self._releaser = ResultReleaser(
            group.service,
            find_maker=self._makers.get,
            rests=self._limits.rests,
            target_table=target_table,
            clock=clock,
            on_freed=self._schedule,
            connections=connections,
            codec=codec,
            metrics=metrics,
            decisions=decisions,
        )

    async def execute(
        self, bundle: Bundle, on_read: Callable[[], None]
    ) -> tuple[PieceResult, ...]:
        """Return the results of a bundle's pieces, in order.

        :param on_read: called once makers have read the inputs of all pieces
        """
        if self._target_table.has_superseded(bundle.input_makers):
            gone = PieceResult(failure=PieceFailure.GONE)
            return (gone,) * len(bundle.pieces)
        entry = self._queue.add(bundle, on_read)
        self._schedule()
        self._estimator.record_added(bundle, len(entry.pending), self._clock.now())
        try:
            return await entry.done
        except asyncio.CancelledError:
            self._queue.withdraw(entry)
            raise

    def estimate_wait(self) -> QueueWait:
        """Return the expected queue wait of a piece that is added now."""
        profile = self._find_profile()
        makers = self._list_makers(profile) if profile is not None else []
        return self._estimator.estimate(self._queue, makers, profile, self._clock.now())

    def free(self, results: tuple[PieceResult, ...]) -> None:
        """Free results at their makers."""
        self._releaser.free(results)

    def record_removal(self, incarnation: Incarnation) -> None:
        """Record that a maker was removed; if it has restarted, its results are lost.

        Their pieces are made again: an engine that received the stale handles would
        reject the request, after all its stages were executed.
        """
        if not self._target_table.is_superseded(incarnation):
            return
        self._queue.discard_results(incarnation)
        self._schedule()

    def describe(self) -> dict[str, object]:
        """Return the state for the dump."""
        now = self._clock.now()
        return {
            "bundles": len(self._queue),
            "pieces": self._queue.count_waiting(),
            "makers": {
                str(incarnation): {
                    "calls": maker.calls,
                    "slowness": round(maker.find_slowness(now), 2),
                    "free_bytes": round(maker.result_memory.find_free(now)),
                }
                for incarnation, maker in self._makers.items()
            },
        }

    async def close(self) -> None:
        """Flush the results to be freed and cancel the calls in progress."""
        # before the timer is cancelled, as freed memory triggers the scheduler again
        await self._releaser.close()
        if self._timer is not None:
            self._timer.cancel()
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    # scheduling

    def _schedule(self) -> None:
        """Start the calls that are due.

        This runs on every change, hundreds of times a second in a large deployment, so
        the expensive planning is done only if a maker can start a call.
        """
        if not self._queue:
            return
        profile = self._find_profile()
        makers = self._list_makers(profile) if profile is not None else []
        now = self._clock.now()
        if not makers:
            self._queue.fail_all(PieceFailure.NO_MAKER)
            return
        if now >= self._expiry_checked_at + RESCHEDULE_SECONDS:
            self._expiry_checked_at = now
            self._fail_expired(makers, profile, now)
        if any(maker.is_idle(now) for maker in makers):
            self._begin_calls(makers, profile, now)
        if self._timer is None and self._queue.has_waiting():
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(RESCHEDULE_SECONDS, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self._schedule()

    def _begin_calls(
        self, makers: list[Maker], profile: MakerProfile, now: float
    ) -> None:
        for call in self._plan_calls(makers, profile, now):
            self._queue.dequeue(call)
            self._order_reports.record_start(call, self._queue)
            self._quarantine.record_start(bundle for bundle, _ in call.pieces)
            # counted before its task runs: the maker would seem idle to bundles that
            # are added in the meantime
            maker = self._makers[call.incarnation]
            call_timeout = maker.start_call(len(call.pieces), now)
            maker.result_memory.reserve(_sum_sizes(call))
            task = asyncio.create_task(self._run_call(call, maker, call_timeout, now))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def _plan_calls(
        self, makers: list[Maker], profile: MakerProfile, now: float
    ) -> Sequence[PlannedCall]:
        """Return the calls to start; a suspected bundle gets one call of its own.

        In shared calls it would crash them all, and could not be distinguished from the
        other bundles in them; in several calls it would crash a maker in each.
        """
        views = [maker.view(now) for maker in makers]
        if not self._quarantine.has_suspects():
            return self._policy.plan(self._queue.list_ready(), views, profile, now)
        self._fail_quarantined()
        ready = self._queue.list_ready()
        suspected = [row for row in ready if self._quarantine.is_suspect(row[0])]
        for row in suspected:
            if not self._quarantine.may_send(row[0]):
                continue
            calls = self._policy.plan([row], views, profile, now)
            if calls:
                return calls[:1]
        shared = [row for row in ready if not self._quarantine.is_suspect(row[0])]
        return self._policy.plan(shared, views, profile, now)

    def _list_makers(self, profile: MakerProfile) -> list[Maker]:
        listed = self._list_targets()
        if self._listed_from is not None:
            before, known_profile = self._listed_from
            if before is listed and known_profile == profile:
                return self._listed
        known = {target.incarnation for target in listed}
        for incarnation, maker in tuple(self._makers.items()):
            if incarnation not in known and maker.calls == 0:
                del self._makers[incarnation]
        for target in listed:
            maker = self._makers.get(target.incarnation)
            if maker is None or maker.profile != profile:
                result_memory = ResultMemory(
                    profile.result_memory_bytes, profile.retention_seconds
                )
                self._makers[target.incarnation] = Maker(
                    target,
                    profile,
                    result_memory,
                    limits=self._limits,
                )
        self._listed = [self._makers[target.incarnation] for target in listed]
        self._listed_from = (listed, profile)
        return self._listed

    def _fail_expired(
        self, makers: list[Maker], profile: MakerProfile, now: float
    ) -> None:
        """Fail the bundles whose request can no longer meet its deadline."""
        views = [maker.view(now) for maker in makers]
        self._queue.fail_unplaceable({maker.target.data_centre for maker in makers})
        if self._order.by_rank:
            self._queue.fail_without_inputs(now)
        waiting = self._queue.list_waiting()
        for bundle in find_infeasible(waiting, views, profile, now, self._order):
            self._queue.fail(self._queue.find(bundle), PieceFailure.LATE)

    def _fail_quarantined(self) -> None:
        """Fail the bundles that are held in quarantine."""
        for entry in tuple(self._queue):
            if entry.pending and self._quarantine.is_quarantined(entry.bundle):
                self._queue.fail(entry, PieceFailure.HELD)

    # calls

    async def _run_call(
        self, call: PlannedCall, maker: Maker, call_timeout: float, now: float
    ) -> None:
        entries = [self._queue.find(bundle) for bundle, _ in call.pieces]
        call_result = CallResult()
        loop = asyncio.get_running_loop()
        read_timer = loop.call_later(
            INPUT_READ_SECONDS, self._report_inputs_read, maker, entries
        )
        try:
            call_result = await self._caller.call(maker, call, call_timeout, now)
        finally:
            read_timer.cancel()
            self._settle_memory(maker, call, call_result, now)
        self._decisions.log_decision(
            "stage-call",
            service=self._group.service,
            makers=self._group.data_centre,
            target=str(call.incarnation),
            pieces=len(call.pieces),
            requests=len({bundle.request_id for bundle, _ in call.pieces}),
            outcome=call_result.outcome,
            unmade=_count_failures(call_result.results),
            ms=round((self._clock.now() - now) * 1000),
            waiting=self._queue.count_waiting(),
            slowness=round(maker.find_slowness(self._clock.now()), 2),
        )
        self._report_to_quarantine(maker, call, call_result)
        self._queue.apply_result(call, entries, call_result)
        self._schedule()

    def _report_to_quarantine(
        self, maker: Maker, call: PlannedCall, call_result: CallResult
    ) -> None:
        bundles = [bundle for bundle, _ in call.pieces]
        if call_result.broken:
            self._quarantine.record_disconnect(maker.target, bundles)
        elif call_result.results is not None:
            self._quarantine.record_success(maker.target, bundles)
        self._quarantine.record_end(bundles)

    def _settle_memory(
        self, maker: Maker, call: PlannedCall, call_result: CallResult, started: float
    ) -> None:
        """Replace a call's reserved memory by the size of the results it left."""
        now = self._clock.now()
        size = _sum_sizes(call)
        made = {}
        for (bundle, _), result in zip(
            call.pieces, call_result.results or (), strict=False
        ):
            if result.failure is None:
                made[result.handle] = bundle.result_bytes
            elif result.failure is PieceFailure.ROOM:
                maker.result_memory.record_refusal(now)
        maker.result_memory.commit(size, made, now)
        if made:
            self._estimator.record_completion(len(made), now - started, now)
        if call_result.outcome not in SETTLED_OUTCOMES:
            # the maker may continue the call and keep its results for a while
            maker.result_memory.hold_unidentified(size, now)

    def _report_inputs_read(
        self, maker: Maker, entries: list[QueuedBundle | None]
    ) -> None:
        """Report the inputs of a call as read, if the maker must have started it.

        Inputs occupy memory at the makers of the earlier stage; kept until the call
        ends, they would do so for a third of a second longer. A maker does not signal
        that it has started a call. It must have if no other call, of this or any other
        instance, is queued ahead. Inputs freed while the call is still queued would be
        gone when it starts, and the stages of the request would be executed again or
        fail.
        """
        if not self._is_exclusive():
            return
        now = self._clock.now()
        if maker.calls > 1 or maker.find_slowness(now) > MAX_PROMPT_SLOWNESS:
            # the maker may not have started the call yet
            return
        if maker.failed_recently(now):
            # the call may have to be retried, which reads its inputs again
            return
        for entry in dict.fromkeys(entries):
            if entry is not None and not entry.pending and not entry.failure_count:
                entry.on_read()


def _sum_sizes(call: PlannedCall) -> int:
    """Return the total result size of a call, in bytes."""
    return sum(bundle.result_bytes for bundle, _ in call.pieces)


def _count_failures(results: tuple[PieceResult, ...] | None) -> dict[str, int]:
    """Return the number of pieces that failed in an answered call, by reason."""
    failures = [one.failure for one in results or () if one.failure is not None]
    return {one.value: failures.count(one) for one in dict.fromkeys(failures)}
