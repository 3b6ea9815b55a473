"""Gathers pieces for a group of makers and has these make them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from greengagelatch.relay.batches import find_infeasible
from greengagelatch.relay.pieces import PieceFailure, PieceResult
from greengagelatch.relay.result_memory import ResultMemory

from .freeing import ResultFreeing
from .maker_calls import ANSWERED, CallEnd, MakerCaller
from .makers import Maker
from .stage_queue import BundleQueue
from .wait_estimates import WaitEstimate

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from greengagelatch.clock import Clock
    from greengagelatch.relay.batches import BatchPolicy, PlannedCall
    from greengagelatch.relay.deployment import MakerProfile
    from greengagelatch.relay.groups import MakerGroup
    from greengagelatch.relay.incarnations import Incarnation
    from greengagelatch.relay.pieces import Bundle
    from greengagelatch.relay.queue_waits import QueueWait
    from greengagelatch.relay.targets import ListedTarget, TargetTable

    from ..metrics import Metrics
    from .budgets import RepeatBudgets
    from .codecs import TargetCodec
    from .decisions import DecisionLog
    from .links import TargetLinks
    from .piece_suspects import PieceSuspects
    from .stage_queue import Work

__all__ = ("StagePool",)

#: seconds after which pieces that wait are looked at again, and between two searches
#: for those that can't be made in time
LOOK_AGAIN = 0.05
#: seconds after which a call that began at once has fetched its inputs, which takes
#: a few milliseconds on these links
READ_SECONDS = 0.1
#: slowness up to which a maker is taken to begin at once
STEADY = 1.5


class StagePool:
    """Queue and calls of one group of makers.

    Pieces wait here and not at their makers: who is late, dropped, or less urgent
    than a newcomer can then still be told apart when a maker becomes idle.

    :param list_makers: returns the makers listed, the same object as long as nothing
        changes
    :param is_sole: tells whether no other instance's calls are at the makers
    """

    def __init__(
        self,
        group: MakerGroup,
        *,
        list_makers: Callable[[], Sequence[ListedTarget]],
        find_profile: Callable[[], MakerProfile | None],
        is_sole: Callable[[], bool],
        suspects: PieceSuspects,
        policy: BatchPolicy,
        book: TargetTable,
        links: TargetLinks,
        codec: TargetCodec,
        budgets: RepeatBudgets,
        clock: Clock,
        metrics: Metrics,
        decisions: DecisionLog,
    ) -> None:
        self._group = group
        self._list_targets = list_makers
        self._find_profile = find_profile
        self._is_sole = is_sole
        self._suspects = suspects
        self._policy = policy
        self._book = book
        self._clock = clock
        self._decisions = decisions
        self._queue = BundleQueue(
            group.service, free=self.free, book=book, budgets=budgets, metrics=metrics
        )
        self._makers: dict[Incarnation, Maker] = {}
        #: the makers listed, as of the entries and the profile they were made from
        self._listed: list[Maker] = []
        self._listed_from: tuple[object, MakerProfile] | None = None
        self._estimate = WaitEstimate(clock.now())
        self._hopeless_sought = 0.0
        self._tasks: set[asyncio.Task[None]] = set()
        self._timer: asyncio.TimerHandle | None = None
        self._caller = MakerCaller(links=links, codec=codec, book=book, clock=clock)
        self._freeing = ResultFreeing(
            group.service,
            find_maker=self._makers.get,
            book=book,
            note_freed=self._look,
            links=links,
            codec=codec,
            metrics=metrics,
            decisions=decisions,
        )

    async def make(
        self, bundle: Bundle, note_read: Callable[[], None]
    ) -> tuple[PieceResult, ...]:
        """Return the results of a bundle's pieces, in order.

        :param note_read: called once makers have read the inputs of all pieces
        """
        if self._book.has_superseded(bundle.input_makers):
            gone = PieceResult(failure=PieceFailure.GONE)
            return (gone,) * len(bundle.pieces)
        work = self._queue.add(bundle, note_read)
        self._look()
        self._estimate.note_added(len(work.left))
        try:
            return await work.done
        except asyncio.CancelledError:
            self._queue.withdraw(work)
            raise

    def estimate_wait(self) -> QueueWait:
        """Return how long a piece that came now would wait."""
        profile = self._find_profile()
        makers = self._list_makers(profile) if profile is not None else []
        return self._estimate.read(self._queue, makers, profile, self._clock.now())

    def free(self, results: tuple[PieceResult, ...]) -> None:
        """Have makers drop results."""
        self._freeing.free(results)

    def note_gone(self, incarnation: Incarnation) -> None:
        """Take in that a maker is gone; if it has started again, its results are lost.

        Their pieces are made again: an engine that was sent their handles would turn
        the request away, after all stages.
        """
        if not self._book.is_superseded(incarnation):
            return
        self._queue.drop_lost(incarnation)
        self._look()

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
                    "free_bytes": round(maker.room.find_free(now)),
                }
                for incarnation, maker in self._makers.items()
            },
        }

    async def close(self) -> None:
        """End what is under way."""
        # before the timer: room that becomes free is looked at once more
        await self._freeing.close()
        if self._timer is not None:
            self._timer.cancel()
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    # decisions

    def _look(self) -> None:
        """Begin the calls that are due.

        It is called for whatever changes, hundreds of times a second in a large
        deployment, so it takes long only where a maker can begin a call.
        """
        if not self._queue:
            return
        profile = self._find_profile()
        makers = self._list_makers(profile) if profile is not None else []
        now = self._clock.now()
        if not makers:
            self._queue.fail_all(PieceFailure.NO_MAKER)
            return
        if now >= self._hopeless_sought + LOOK_AGAIN:
            self._hopeless_sought = now
            self._drop_hopeless(makers, profile, now)
        if any(maker.is_idle(now) for maker in makers):
            self._begin_calls(makers, profile, now)
        if self._timer is None and self._queue.has_waiting():
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(LOOK_AGAIN, self._look_again)

    def _look_again(self) -> None:
        self._timer = None
        self._look()

    def _begin_calls(
        self, makers: list[Maker], profile: MakerProfile, now: float
    ) -> None:
        for call in self._plan_calls(makers, profile, now):
            self._queue.take_out(call)
            # counted before its task runs: more bundles may come until then, and
            # the maker would seem idle to each of them
            maker = self._makers[call.incarnation]
            allowed = maker.begin(len(call.pieces), now)
            maker.room.reserve(_sum_sizes(call))
            task = asyncio.create_task(self._run_call(call, maker, allowed, now))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def _plan_calls(
        self, makers: list[Maker], profile: MakerProfile, now: float
    ) -> Sequence[PlannedCall]:
        """Return the calls to begin; a suspected bundle shares its own with none.

        Left in shared calls, it would end them all, and nothing would tell it from
        those beside it.
        """
        views = [maker.view(now) for maker in makers]
        if not self._suspects.has_any():
            return self._policy.plan(self._queue.list_ready(), views, profile, now)
        self._drop_held()
        ready = self._queue.list_ready()
        suspected = [row for row in ready if self._suspects.is_suspect(row[0])]
        for row in suspected:
            calls = self._policy.plan([row], views, profile, now)
            if calls:
                return calls
        shared = [row for row in ready if not self._suspects.is_suspect(row[0])]
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
                room = ResultMemory(
                    profile.result_memory_bytes, profile.retention_seconds
                )
                self._makers[target.incarnation] = Maker(target, profile, room)
        self._listed = [self._makers[target.incarnation] for target in listed]
        self._listed_from = (listed, profile)
        return self._listed

    def _drop_hopeless(
        self, makers: list[Maker], profile: MakerProfile, now: float
    ) -> None:
        """Fail the bundles whose request can't be answered in time any more."""
        views = [maker.view(now) for maker in makers]
        waiting = self._queue.list_waiting()
        for bundle in find_infeasible(waiting, views, profile, now):
            self._queue.fail(self._queue.find(bundle), PieceFailure.LATE)

    def _drop_held(self) -> None:
        """Fail the bundles under which makers have ended."""
        for work in tuple(self._queue):
            if work.left and self._suspects.is_held(work.bundle):
                self._queue.fail(work, PieceFailure.HELD)

    # calls

    async def _run_call(
        self, call: PlannedCall, maker: Maker, allowed: float, now: float
    ) -> None:
        works = [self._queue.find(bundle) for bundle, _ in call.pieces]
        end = CallEnd()
        loop = asyncio.get_running_loop()
        reading = loop.call_later(READ_SECONDS, self._note_read, maker, works)
        try:
            end = await self._caller.call(maker, call, allowed, now)
        finally:
            reading.cancel()
            self._settle_room(maker, call, end, now)
        self._decisions.note(
            "stage-call",
            service=self._group.service,
            makers=self._group.data_centre,
            target=str(call.incarnation),
            pieces=len(call.pieces),
            requests=len({bundle.request_id for bundle, _ in call.pieces}),
            outcome=end.outcome,
            unmade=_count_failures(end.results),
            ms=round((self._clock.now() - now) * 1000),
            waiting=self._queue.count_waiting(),
            slowness=round(maker.find_slowness(self._clock.now()), 2),
        )
        self._note_end(maker, call, end)
        self._queue.take_results(call, works, end)
        self._look()

    def _note_end(self, maker: Maker, call: PlannedCall, end: CallEnd) -> None:
        bundles = [bundle for bundle, _ in call.pieces]
        if end.broken:
            self._suspects.note_broken(maker.target, bundles)
        elif end.results is not None:
            self._suspects.note_made(maker.target, bundles)

    def _settle_room(
        self, maker: Maker, call: PlannedCall, end: CallEnd, started: float
    ) -> None:
        """Turn the room that was reserved for a call into what it left there."""
        now = self._clock.now()
        size = _sum_sizes(call)
        made = {}
        for (bundle, _), result in zip(call.pieces, end.results or (), strict=False):
            if result.failure is None:
                made[result.handle] = bundle.result_bytes
            elif result.failure is PieceFailure.ROOM:
                maker.room.record_refusal(now)
        maker.room.commit(size, made, now)
        if made:
            self._estimate.note_made(len(made), now - started, now)
        if end.outcome not in ANSWERED:
            # it may go on with the call, and keep the results for a while
            maker.room.hold_unidentified(f"lost at {started}", size, now)

    def _note_read(self, maker: Maker, works: list[Work | None]) -> None:
        """Take in that a call has begun and has fetched what its pieces read.

        Inputs fill the room of the makers before; kept until the call ends, they
        would fill it for a third of a second longer. Nothing tells that a call has
        begun but that there is none before it, of this instance or of another one:
        inputs that are freed while it waits are gone at its turn, and the request's
        stages are made again or fail.
        """
        if not self._is_sole():
            return
        now = self._clock.now()
        if maker.calls > 1 or maker.find_slowness(now) > STEADY:
            # its turn may not have come yet
            return
        if maker.lost_lately(now):
            # what it reads may have to be read again
            return
        for work in dict.fromkeys(works):
            if work is not None and not work.left and not work.losses:
                work.note_read()


def _sum_sizes(call: PlannedCall) -> int:
    """Return the bytes of the results that a call makes."""
    return sum(bundle.result_bytes for bundle, _ in call.pieces)


def _count_failures(results: tuple[PieceResult, ...] | None) -> dict[str, int]:
    """Return how many pieces of an answered call were not made, by the reason."""
    failures = [one.failure for one in results or () if one.failure is not None]
    return {one.value: failures.count(one) for one in dict.fromkeys(failures)}
