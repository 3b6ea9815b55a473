"""The stage work of one request: which pieces, when, and when results are freed."""

from __future__ import annotations

import asyncio
import contextlib
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from greengagelatch.errors import RefusalCode
from greengagelatch.relay.pieces import PieceFailure, PieceResult
from greengagelatch.relay.stage_plan import StagePlan

from .refusals import create_error
from .stage_bundles import BundleFactory, list_makers

if TYPE_CHECKING:
    from greengagelatch.clock import Clock
    from greengagelatch.relay.incarnations import Incarnation
    from greengagelatch.relay.load_balancer import LoadBalancer
    from greengagelatch.relay.requests import RefusedError
    from greengagelatch.relay.stage_plan import ChainEstimate, StageWork
    from greengagelatch.relay.targets import TargetTable

    from .decisions import DecisionLog
    from .exchange import RelayExchange
    from .stage_desk import StageDesk

__all__ = ("StageResults", "StageRun", "StageRunner")

#: times that stages are made, because results of earlier ones are gone
MAX_MAKES = 2
#: seconds after which makers that are behind may have caught up, at the least
LEAST_RETRY = 0.3
#: slack of a stage at which it is begun, in seconds: about as long as a piece waits
#: for a maker to end the call before
LEAST_SLACK = 0.1
#: seconds for which it is not worth waiting
LEAST_PAUSE = 0.005


@dataclass(slots=True)
class StageResults:
    """What a request's target needs of its stages."""

    #: handles for the target; ``None`` where the route has no stages
    inputs: tuple[str, ...] | None = None
    #: bytes of these by the data centre of their makers
    bytes_by_data_centre: dict[str, int] = field(default_factory=dict)
    #: what holds them
    makers: frozenset[Incarnation] = frozenset()


class _StageFailedError(Exception):
    def __init__(self, work: StageWork, failure: PieceFailure) -> None:
        super().__init__(f"stage {work.number} of {work.service}: {failure.value}")
        self.work = work
        self.failure = failure


class StageRunner:
    """Makes the stages of requests, each as soon as those it reads are made."""

    def __init__(
        self,
        *,
        desk: StageDesk,
        clock: Clock,
        decisions: DecisionLog,
        data_centre: str,
        fleet: LoadBalancer,
        book: TargetTable,
    ) -> None:
        self.fleet = fleet
        self.book = book
        self.desk = desk
        self.clock = clock
        self.decisions = decisions
        self.data_centre = data_centre

    def begin(
        self, exchange: RelayExchange, first_seconds: float, whole_seconds: float
    ) -> StageRun:
        """Return the stage work of one request, not yet started.

        :param first_seconds: expected time of the target until its answer begins
        :param whole_seconds: the same until its answer ends
        """
        return StageRun(self, exchange, first_seconds, whole_seconds)


class StageRun:
    """The stages of one request, and the results that it holds."""

    def __init__(
        self,
        runner: StageRunner,
        exchange: RelayExchange,
        first_seconds: float,
        whole_seconds: float,
    ) -> None:
        self._desk = runner.desk
        self._clock = runner.clock
        self._decisions = runner.decisions
        self._book = runner.book
        self._exchange = exchange
        self._plan = StagePlan(exchange.request, exchange.route, exchange.deployment)
        self._bundles = BundleFactory(
            exchange=exchange,
            plan=self._plan,
            desk=runner.desk,
            fleet=runner.fleet,
            clock=runner.clock,
            data_centre=runner.data_centre,
            first_seconds=first_seconds,
            whole_seconds=whole_seconds,
        )
        self._held: dict[int, tuple[PieceResult, ...]] = {}
        self._tasks: dict[int, asyncio.Task[None]] = {}
        self._readers = self._list_readers()
        #: expected moments of the ends of stages that have begun
        self._ends: dict[int, float] = {}
        self._ended = asyncio.Event()

    def estimate(self) -> ChainEstimate:
        """Return what is expected of the stages, one after the other."""
        return self._plan.estimate(self._desk.estimate_wait)

    async def make(self) -> StageResults:
        """Make all stages and return what the target needs.

        :raises RefusedError: if they can't be made in time
        """
        if not self._exchange.route.stages:
            return StageResults()
        started = self._clock.now()
        try:
            await self._make_all(started)
        except _StageFailedError as error:
            if error.failure is not PieceFailure.GONE:
                raise self._refuse(error) from error
            raise create_error(
                self._exchange,
                RefusalCode.STAGE_FAILED,
                "stage results were lost again and again",
                retry_after=LEAST_RETRY,
            ) from error
        self._exchange.stage_seconds += self._clock.now() - started
        return self._collect()

    def _note_again(self, error: _StageFailedError, started: float) -> None:
        self._decisions.note(
            "stages-again",
            request=self._exchange.request.request_id,
            stage=error.work.number,
            service=error.work.service,
            reason=error.failure.value,
            ms=round((self._clock.now() - started) * 1000),
        )

    def _find_lost(self) -> _StageFailedError | None:
        """Return the error of a stage whose results for the target are lost already.

        They may be named by an owner that has not heard of a restart yet; sent on, the
        request would be turned away by one engine after the other.
        """
        for number in self._plan.final:
            if self._book.has_superseded(list_makers(self._held, (number,))):
                return _StageFailedError(self._plan.stages[number], PieceFailure.GONE)
        return None

    def is_lost(self, results: StageResults) -> bool:
        """Whether a maker of results has started again: it holds none of them."""
        return self._book.has_superseded(results.makers)

    def free(self) -> None:
        """Give up every result that is held."""
        for number in tuple(self._held):
            self._free_stage(number)

    def _list_readers(self) -> dict[int, set[int]]:
        works = self._plan.stages.values()
        return {
            number: {work.number for work in works if number in work.after}
            for number in self._plan.stages
        }

    async def _make_all(self, started: float) -> None:
        """Make all stages; those of a part again whose results are gone."""
        self._tasks = {}
        self._ends = {}
        self._start_all(tuple(self._plan.stages))
        lost: Counter[tuple[int, ...]] = Counter()
        try:
            while (error := await self._wait_made()) is not None:
                part = self._find_part(error)
                lost[part] += 1
                if error.failure is PieceFailure.GONE:
                    self._note_again(error, started)
                if error.failure is not PieceFailure.GONE or lost[part] >= MAX_MAKES:
                    raise error
                await self._give_up(part)
                self._start_all(part)
        except BaseException:
            await self._give_up(tuple(self._tasks))
            raise

    async def _wait_made(self) -> _StageFailedError | None:
        """Wait until all stages are made or one has failed, and return its error."""
        if not self._tasks:
            # a request may need none of its route's stages
            return None
        done, _ = await asyncio.wait(
            self._tasks.values(), return_when=asyncio.FIRST_EXCEPTION
        )
        found = None
        for task in done:
            error = task.exception()
            if error is None:
                continue
            if not isinstance(error, _StageFailedError):
                raise error
            # one that can't be made again decides
            if found is None or error.failure is not PieceFailure.GONE:
                found = error
        return found or self._find_lost()

    def _find_part(self, error: _StageFailedError) -> tuple[int, ...]:
        """Return the stages that have to be made again with one that failed.

        A maker doesn't say which input is gone, and what the stages before had read
        is freed by then. So these are all that are linked to it by what they read;
        results of others are kept.
        """
        parts = self._plan.list_components()
        return next(part for part in parts if error.work.number in part)

    def _start_all(self, numbers: tuple[int, ...]) -> None:
        readers = self._list_readers()
        for number in numbers:
            self._tasks.pop(number, None)
            self._ends.pop(number, None)
            self._readers[number] = readers[number]
        for number in numbers:
            self._start(number)

    async def _give_up(self, numbers: tuple[int, ...]) -> None:
        """End the work on stages, and free their results."""
        tasks = [self._tasks[number] for number in numbers]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for number in numbers:
            self._free_stage(number)

    def _start(self, number: int) -> asyncio.Task[None]:
        task = self._tasks.get(number)
        if task is None:
            earlier = [self._start(one) for one in self._plan.stages[number].after]
            task = asyncio.create_task(self._make_stage(number, earlier))
            self._tasks[number] = task
        return task

    async def _make_stage(self, number: int, earlier: list[asyncio.Task[None]]) -> None:
        for task in earlier:
            # shielded: a stage that is cancelled must not cancel those it reads
            await asyncio.shield(task)
        work = self._plan.stages[number]
        await self._wait_for_others(work)
        if self._book.has_superseded(list_makers(self._held, work.after)):
            raise _StageFailedError(work, PieceFailure.GONE)
        queue = self._desk.estimate_wait(work.service)
        seconds = queue.urgent + queue.estimate_stage(work.seconds)
        self._ends[number] = self._clock.now() + seconds
        bundle = self._bundles.create(work, self._held)
        results = await self._desk.make(bundle, lambda: self._note_read(work))
        failed = next((one.failure for one in results if one.failure), None)
        made = tuple(one for one in results if one.failure is None)
        self._held[number] = made
        self._ends[number] = self._clock.now()
        self._ended.set()
        if failed is not None:
            raise _StageFailedError(work, failed)
        self._note_read(work)

    async def _wait_for_others(self, work: StageWork) -> None:
        """Wait as long as a stage's results would only wait for those of others."""
        while True:
            slack = self._plan.find_slack(
                work,
                self._clock.now(),
                self._ends,
                self._desk.estimate_wait,
                self._bundles.find_bounds(),
                self._held,
            )
            pause = slack - LEAST_SLACK
            if pause < LEAST_PAUSE:
                return
            self._ended.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(pause):
                    await self._ended.wait()

    def _note_read(self, work: StageWork) -> None:
        """Free what a stage has read, once no other stage is to read it."""
        for one in work.after:
            readers = self._readers[one]
            readers.discard(work.number)
            if not readers and one not in self._plan.final:
                self._free_stage(one)

    def _collect(self) -> StageResults:
        results = StageResults(inputs=())
        sizes = results.bytes_by_data_centre
        for number in self._plan.final:
            results.makers |= {result.maker for result in self._held[number]}
            for result in self._held[number]:
                results.inputs += (result.handle,)
                size = self._plan.stages[number].result_bytes
                sizes[result.data_centre] = sizes.get(result.data_centre, 0) + size
        return results

    def _free_stage(self, number: int) -> None:
        held = self._held.pop(number, ())
        if held:
            self._desk.free(self._plan.stages[number].service, held)

    def _refuse(self, error: _StageFailedError) -> RefusedError:
        late = error.failure in (PieceFailure.LATE, PieceFailure.ROOM)
        code = RefusalCode.OVERLOADED if late else RefusalCode.STAGE_FAILED
        wait = self._desk.estimate_wait(error.work.service).total
        self._decisions.note(
            "stage-failed",
            request=self._exchange.request.request_id,
            stage=error.work.number,
            service=error.work.service,
            reason=error.failure.value,
            wait_ms=round(wait * 1000),
            left_ms=round((self._exchange.deadline - self._clock.now()) * 1000),
        )
        return create_error(
            self._exchange,
            code,
            str(error),
            retry_after=max(LEAST_RETRY, wait),
            field="stage",
            value=str(error.work.number),
        )
