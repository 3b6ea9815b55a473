"""Gathers the pieces of one service and has its makers make them."""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from greengagelatch.relay.batches import find_hopeless, is_late
from greengagelatch.relay.pieces import PieceFailure, PieceResult
from greengagelatch.relay.room import MakerRoom

from .freeing import ResultFreeing
from .maker_calls import ANSWERED, REJECTED, UNSENT, CallEnd, MakerCaller
from .makers import Maker
from .stages import QueueWait

if TYPE_CHECKING:
    from collections.abc import Callable

    from greengagelatch.clock import Clock
    from greengagelatch.relay.batches import BatchPolicy, MakerView, PlannedCall
    from greengagelatch.relay.deployment import MakerProfile
    from greengagelatch.relay.incarnations import Incarnation
    from greengagelatch.relay.pieces import Bundle, Piece
    from greengagelatch.relay.targets import TargetBook

    from ..metrics import Metrics
    from .budgets import RepeatBudgets
    from .codecs import TargetCodec
    from .decisions import DecisionLog
    from .links import TargetLinks

__all__ = ("StagePool",)

#: pieces of one bundle that may be lost by makers until it is given up
MAX_LOSSES = 60
#: seconds over which the pieces made are counted
RATE_SECONDS = 2.0
#: share of makers' speed that is believed at the least
LEAST_SPEED = 0.3
#: seconds after which pieces that wait are looked at again
LOOK_AGAIN = 0.05
#: seconds after which a call that began at once has fetched its inputs, which takes
#: a few milliseconds on these links
READ_SECONDS = 0.1
#: slowness up to which a maker is taken to begin at once
STEADY = 1.5


@dataclass(slots=True, eq=False)
class _Work:
    """A bundle and how far it has come."""

    bundle: Bundle
    left: list[Piece]
    done: asyncio.Future[tuple[PieceResult, ...]]
    note_read: Callable[[], None]
    results: dict[int, PieceResult] = field(default_factory=dict)
    #: calls by which each piece went to a maker, by segment
    sends: dict[int, int] = field(default_factory=dict)
    #: pieces that makers lost, or failed at
    losses: int = 0
    withdrawn: bool = False


class StagePool:
    """Queue, makers and calls of one service.

    Pieces wait here and not at their makers: who is late, dropped, or less urgent
    than a newcomer can then still be told apart when a maker becomes idle.
    """

    def __init__(
        self,
        service: str,
        *,
        find_profile: Callable[[], MakerProfile | None],
        policy: BatchPolicy,
        book: TargetBook,
        links: TargetLinks,
        codec: TargetCodec,
        budgets: RepeatBudgets,
        clock: Clock,
        metrics: Metrics,
        decisions: DecisionLog,
    ) -> None:
        self._service = service
        self._find_profile = find_profile
        self._policy = policy
        self._book = book
        self._budgets = budgets
        self._clock = clock
        self._metrics = metrics
        self._decisions = decisions
        self._works: list[_Work] = []
        self._makers: dict[Incarnation, Maker] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        #: monotonic seconds since when more than one call's pieces have waited
        self._queued_since = clock.now()
        #: times of calls that were answered, and the pieces made by each
        self._made: deque[tuple[float, int]] = deque()
        self._timer: asyncio.TimerHandle | None = None
        self._caller = MakerCaller(links=links, codec=codec, book=book, clock=clock)
        self._freeing = ResultFreeing(
            service,
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
        self._budgets.note_request(self._service)
        if self._book.has_former(bundle.input_makers):
            gone = PieceResult(failure=PieceFailure.GONE)
            return (gone,) * len(bundle.pieces)
        done = asyncio.get_running_loop().create_future()
        work = _Work(bundle, list(bundle.pieces), done, note_read)
        self._works.append(work)
        self._look()
        try:
            return await done
        except asyncio.CancelledError:
            self._withdraw(work)
            raise

    def estimate_wait(self) -> QueueWait:
        """Return how long a piece that came now would wait."""
        profile = self._find_profile()
        makers = self._list_makers(profile) if profile is not None else []
        now = self._clock.now()
        if not makers or not self._works:
            self._queued_since = now
            return QueueWait()
        waiting = urgent = 0
        for work in self._works:
            count = len(work.left)
            waiting += count
            if count and not is_late(work.bundle, count, profile, now):
                urgent += count
        speed = sum(1 / maker.find_slowness(now) for maker in makers)
        rate = profile.batch / profile.estimate_seconds(profile.batch)
        rate *= max(0.1, speed)
        if waiting <= profile.batch:
            self._queued_since = now
        elif now - self._queued_since >= RATE_SECONDS:
            # makers' room may bind long before their time does
            rate = min(rate, max(rate * LEAST_SPEED, self._find_rate(now)))
        return QueueWait(urgent / rate, waiting / rate)

    def _find_rate(self, now: float) -> float:
        """Return the pieces made a second, of late."""
        while self._made and self._made[0][0] < now - RATE_SECONDS:
            self._made.popleft()
        return sum(count for _, count in self._made) / RATE_SECONDS

    def free(self, results: tuple[PieceResult, ...]) -> None:
        """Have makers drop results."""
        self._freeing.free(results)

    def note_gone(self, incarnation: Incarnation) -> None:
        """Take in that a maker is gone; if it has started again, its results are lost.

        Their pieces are made again: an engine that was sent their handles would turn
        the request away, after all stages.
        """
        if not self._book.is_former(incarnation):
            return
        for work in tuple(self._works):
            self._drop_lost(work, incarnation)
        self._look()

    def _drop_lost(self, work: _Work, incarnation: Incarnation) -> None:
        if work.left and incarnation in work.bundle.input_makers:
            self._fail(work, PieceFailure.GONE)
            return
        for piece in work.bundle.pieces:
            result = work.results.get(piece.segment)
            if result is None or result.maker != incarnation:
                continue
            del work.results[piece.segment]
            work.losses += 1
            work.left.append(piece)

    def describe(self) -> dict[str, object]:
        """Return the state for the dump."""
        now = self._clock.now()
        return {
            "bundles": len(self._works),
            "pieces": sum(len(work.left) for work in self._works),
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
        if self._timer is not None:
            self._timer.cancel()
        await self._freeing.close()
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    # decisions

    def _look(self) -> None:
        """Begin the calls that are due."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if not self._works:
            return
        profile = self._find_profile()
        makers = self._list_makers(profile) if profile is not None else []
        now = self._clock.now()
        if not makers:
            self._fail_all(PieceFailure.NO_MAKER)
            return
        views = [maker.view(now) for maker in makers]
        self._drop_hopeless(views, profile, now)
        for call in self._policy.plan(self._list_ready(), views, profile, now):
            self._take_out(call)
            # counted before its task runs: more bundles may come until then, and
            # the maker would seem idle to each of them
            maker = self._makers[call.incarnation]
            allowed = maker.begin(len(call.pieces), now)
            maker.room.reserve(_sum_sizes(call))
            task = asyncio.create_task(self._run_call(call, maker, allowed, now))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        if any(work.left for work in self._works):
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(LOOK_AGAIN, self._look)

    def _list_ready(self) -> list[tuple[Bundle, list[Piece]]]:
        """Return the pieces that may be sent; repeats wait for their budget.

        To fail them instead would lose whole requests over a maker that was full
        for a moment.
        """
        repeats = self._budgets.count_left(self._service)
        ready = []
        for work in self._works:
            pieces = []
            for piece in work.left:
                if work.sends.get(piece.segment):
                    if repeats < 1:
                        continue
                    repeats -= 1
                pieces.append(piece)
            if pieces:
                ready.append((work.bundle, pieces))
        return ready

    def _take_out(self, call: PlannedCall) -> None:
        """Take the pieces of a call off those that wait."""
        for bundle, piece in call.pieces:
            work = self._find_work(bundle)
            work.left.remove(piece)
            sends = work.sends.get(piece.segment, 0)
            work.sends[piece.segment] = sends + 1
            if sends:
                self._budgets.take(self._service)

    def _list_makers(self, profile: MakerProfile) -> list[Maker]:
        listed = self._book.list_service(self._service)
        known = {target.incarnation for target in listed}
        for incarnation, maker in tuple(self._makers.items()):
            if incarnation not in known and maker.calls == 0:
                del self._makers[incarnation]
        for target in listed:
            maker = self._makers.get(target.incarnation)
            if maker is None or maker.profile != profile:
                room = MakerRoom(profile.room_bytes, profile.keep_seconds)
                self._makers[target.incarnation] = Maker(target, profile, room)
        return [self._makers[target.incarnation] for target in listed]

    def _drop_hopeless(
        self, views: list[MakerView], profile: MakerProfile, now: float
    ) -> None:
        """Fail the bundles whose request can't be answered in time any more."""
        waiting = [(work.bundle, work.left) for work in self._works]
        for bundle in find_hopeless(waiting, views, profile, now):
            self._fail(self._find_work(bundle), PieceFailure.LATE)

    def _fail_all(self, failure: PieceFailure) -> None:
        for work in tuple(self._works):
            if work.left:
                self._fail(work, failure)

    # calls

    async def _run_call(
        self, call: PlannedCall, maker: Maker, allowed: float, now: float
    ) -> None:
        works = [self._find_work(bundle) for bundle, _ in call.pieces]
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
            service=self._service,
            target=str(call.incarnation),
            pieces=len(call.pieces),
            requests=len({bundle.request_id for bundle, _ in call.pieces}),
            outcome=end.outcome,
            unmade=_count_failures(end.results),
            ms=round((self._clock.now() - now) * 1000),
            waiting=sum(len(work.left) for work in self._works),
            slowness=round(maker.find_slowness(self._clock.now()), 2),
        )
        self._take_results(call, works, end)
        self._look()

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
                maker.room.note_refusal(now)
        maker.room.settle(size, made, now)
        if made:
            self._made.append((now, len(made)))
        if end.outcome not in ANSWERED:
            # it may go on with the call, and keep the results for a while
            maker.room.hold_unknown(f"lost at {started}", size, now)

    def _note_read(self, maker: Maker, works: list[_Work | None]) -> None:
        """Take in that a call has begun and has fetched what its pieces read.

        Inputs fill the room of the makers before; kept until the call ends, they
        would fill it for a third of a second longer.
        """
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

    # results

    def _take_results(
        self,
        call: PlannedCall,
        works: list[_Work | None],
        end: CallEnd,
    ) -> None:
        unwanted = []
        for index, (_, piece) in enumerate(call.pieces):
            work = works[index]
            result = None if end.results is None else end.results[index]
            if work is None or work.withdrawn or work.done.done():
                if result is not None and result.failure is None:
                    unwanted.append(result)
                continue
            if result is not None and self._is_lost(result):
                result = PieceResult(failure=PieceFailure.LOST)
            self._take_result(work, piece, end.outcome, result)
        if unwanted:
            self.free(tuple(unwanted))

    def _take_result(
        self, work: _Work, piece: Piece, outcome: str, result: PieceResult | None
    ) -> None:
        if result is not None and result.failure is None:
            work.results[piece.segment] = result
            if len(work.results) == len(work.bundle.pieces):
                self._finish(work)
            return
        if result is not None and result.failure is PieceFailure.GONE:
            self._fail(work, PieceFailure.GONE)
            return
        if result is not None and result.failure is PieceFailure.LATE:
            self._fail(work, PieceFailure.LATE)
            return
        if outcome == UNSENT:
            # no maker has had it
            work.sends[piece.segment] -= 1
        elif outcome != REJECTED and (
            result is None or result.failure is not PieceFailure.ROOM
        ):
            work.losses += 1
            if work.losses >= MAX_LOSSES:
                self._fail(work, PieceFailure.LOST)
                return
        if self._book.has_former(work.bundle.input_makers):
            # one of them started again while the piece was at a maker
            self._fail(work, PieceFailure.GONE)
            return
        work.left.append(piece)

    def _is_lost(self, result: PieceResult) -> bool:
        """Whether a result was made by a maker that has started again since."""
        return result.failure is None and self._book.is_former(result.maker)

    def _finish(self, work: _Work) -> None:
        self._works.remove(work)
        ordered = tuple(work.results[piece.segment] for piece in work.bundle.pieces)
        if not work.done.done():
            work.done.set_result(ordered)

    def _fail(self, work: _Work, failure: PieceFailure) -> None:
        self._metrics.count(f"stages.failed.{failure.value}")
        if work in self._works:
            self._works.remove(work)
        results = tuple(
            work.results.get(piece.segment, PieceResult(failure=failure))
            for piece in work.bundle.pieces
        )
        if not work.done.done():
            work.done.set_result(results)

    def _withdraw(self, work: _Work) -> None:
        work.withdrawn = True
        if work in self._works:
            self._works.remove(work)
        made = tuple(work.results.values())
        if made:
            self.free(made)

    def _find_work(self, bundle: Bundle) -> _Work | None:
        for work in self._works:
            if work.bundle is bundle:
                return work
        return None


def _sum_sizes(call: PlannedCall) -> int:
    """Return the bytes of the results that a call makes."""
    return sum(bundle.result_bytes for bundle, _ in call.pieces)


def _count_failures(results: tuple[PieceResult, ...] | None) -> dict[str, int]:
    """Return how many pieces of an answered call were not made, by the reason."""
    failures = [one.failure for one in results or () if one.failure is not None]
    return {one.value: failures.count(one) for one in dict.fromkeys(failures)}
