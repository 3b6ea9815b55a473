"""Execution of the stages of a request, and release of their results."""

from __future__ import annotations

import asyncio
import contextlib
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from greengagelatch.errors import RefusalCode
from greengagelatch.relay.local_makers import LARGE_BYTES
from greengagelatch.relay.pieces import PieceFailure, PieceResult
from greengagelatch.relay.retry_times import find_retry_window
from greengagelatch.relay.stage_plan import StagePlan

from .refusals import create_error
from .stage_bundles import BundleFactory, list_makers

if TYPE_CHECKING:
    import random

    from greengagelatch.clock import Clock
    from greengagelatch.relay.incarnations import Incarnation
    from greengagelatch.relay.load_balancer import LoadBalancer
    from greengagelatch.relay.requests import RefusedError
    from greengagelatch.relay.stage_plan import ChainEstimate, StageWork
    from greengagelatch.relay.targets import TargetTable

    from .decisions import DecisionLog
    from .exchange import RelayExchange
    from .stage_executor import StageExecutor

__all__ = ("StageResults", "StageRun", "StageRunner")

#: maximum number of executions of a stage, when results that it reads are lost
MAX_EXECUTIONS = 2
#: minimum seconds after which callers may retry when makers are overloaded
MIN_RETRY_AFTER = 0.3
#: slack at which a stage is started, in seconds: about as long as a piece waits for a
#: maker to finish the call before
MIN_SLACK = 0.1
#: pauses shorter than this many seconds are skipped
MIN_PAUSE = 0.005


@dataclass(slots=True)
class StageResults:
    """Results of the stages that the target of a request reads."""

    #: handles for the target; ``None`` where the route has no stages
    inputs: tuple[str, ...] | None = None
    #: size of the results in bytes, by the data centre of their makers
    bytes_by_data_centre: dict[str, int] = field(default_factory=dict)
    #: makers that hold the results
    makers: frozenset[Incarnation] = frozenset()


class _StageFailedError(Exception):
    def __init__(self, work: StageWork, failure: PieceFailure) -> None:
        super().__init__(f"stage {work.number} of {work.service}: {failure.value}")
        self.work = work
        self.failure = failure


class StageRunner:
    """Executes the stages of requests, each once the stages that it reads are done."""

    def __init__(
        self,
        *,
        executor: StageExecutor,
        clock: Clock,
        decisions: DecisionLog,
        data_centre: str,
        load_balancer: LoadBalancer,
        target_table: TargetTable,
        random_source: random.Random,
    ) -> None:
        self.random = random_source
        self.load_balancer = load_balancer
        self.target_table = target_table
        self.executor = executor
        self.clock = clock
        self.decisions = decisions
        self.data_centre = data_centre

    def create_run(
        self, exchange: RelayExchange, first_seconds: float, whole_seconds: float
    ) -> StageRun:
        """Return the run of one request's stages, not yet started.

        :param first_seconds: expected seconds until the target starts to answer
        :param whole_seconds: expected seconds until the target's answer is complete
        """
        return StageRun(self, exchange, first_seconds, whole_seconds)


class StageRun:
    """Executes the stages of one request and holds their results."""

    def __init__(
        self,
        runner: StageRunner,
        exchange: RelayExchange,
        first_seconds: float,
        whole_seconds: float,
    ) -> None:
        self._executor = runner.executor
        self._clock = runner.clock
        self._decisions = runner.decisions
        self._random = runner.random
        self._target_table = runner.target_table
        self._exchange = exchange
        self._first_seconds = first_seconds
        self._plan = StagePlan(exchange.request, exchange.route, exchange.deployment)
        self._bundles = BundleFactory(
            exchange=exchange,
            plan=self._plan,
            executor=runner.executor,
            load_balancer=runner.load_balancer,
            clock=runner.clock,
            data_centre=runner.data_centre,
            first_seconds=first_seconds,
            whole_seconds=whole_seconds,
        )
        self._held: dict[int, tuple[PieceResult, ...]] = {}
        self._tasks: dict[int, asyncio.Task[None]] = {}
        self._readers = self._list_readers()
        #: expected or actual end times of the stages that have started
        self._ends: dict[int, float] = {}
        self._stage_ended = asyncio.Event()

    def estimate(self) -> ChainEstimate:
        """Return the estimated times of the stages along the chain."""
        return self._plan.estimate(self._bundles.estimate_wait)

    def may_execute_again(self) -> bool:
        """Return whether all stages are expected to be done in time once more.

        Later they would be refused as late.
        """
        chain = self.estimate()
        seconds = chain.total_wait + chain.work
        return self._clock.now() + seconds < self._bundles.find_bounds().hard_deadline

    async def execute(self) -> StageResults:
        """Execute all stages and return the results for the target.

        :raises RefusedError: if a stage fails or cannot be finished in time
        """
        if not self._exchange.route.stages:
            return StageResults()
        started = self._clock.now()
        try:
            await self._execute_all(started)
        except _StageFailedError as error:
            if error.failure is not PieceFailure.GONE:
                raise self._create_refusal(error) from error
            raise create_error(
                self._exchange,
                RefusalCode.STAGE_FAILED,
                "stage results were lost repeatedly",
                retry_after=MIN_RETRY_AFTER,
            ) from error
        self._exchange.stage_seconds += self._clock.now() - started
        return self._collect_results()

    def _log_rerun(self, error: _StageFailedError, started: float) -> None:
        self._decisions.log_decision(
            "stages-again",
            request=self._exchange.request.request_id,
            stage=error.work.number,
            service=error.work.service,
            reason=error.failure.value,
            ms=round((self._clock.now() - started) * 1000),
        )

    def _find_lost(self) -> _StageFailedError | None:
        """Return the error of a final stage whose results are already lost.

        An owner that has not learnt of a maker's restart yet may return stale handles.
        Sent with these, the request would be rejected by one engine after the other.
        """
        for number in self._plan.final:
            if self._target_table.has_superseded(list_makers(self._held, (number,))):
                return _StageFailedError(self._plan.stages[number], PieceFailure.GONE)
        return None

    def is_lost(self, results: StageResults) -> bool:
        """Return whether a maker of ``results`` has restarted and lost them."""
        return self._target_table.has_superseded(results.makers)

    def free(self) -> None:
        """Free all results that are held."""
        for number in tuple(self._held):
            self._free_stage(number)

    def _list_readers(self) -> dict[int, set[int]]:
        works = self._plan.stages.values()
        return {
            number: {work.number for work in works if number in work.after}
            for number in self._plan.stages
        }

    async def _execute_all(self, started: float) -> None:
        """Execute all stages, and again those of a component that lost results."""
        self._tasks = {}
        self._ends = {}
        self._start_all(tuple(self._plan.stages))
        lost: Counter[tuple[int, ...]] = Counter()
        try:
            while (error := await self._wait_finished()) is not None:
                component = self._find_component(error)
                lost[component] += 1
                if error.failure is PieceFailure.GONE:
                    self._log_rerun(error, started)
                if (
                    error.failure is not PieceFailure.GONE
                    or lost[component] >= MAX_EXECUTIONS
                ):
                    raise error
                await self._cancel_stages(component)
                self._start_all(component)
        except BaseException:
            await self._cancel_stages(tuple(self._tasks))
            raise

    async def _wait_finished(self) -> _StageFailedError | None:
        """Wait until all stages are done or one has failed, and return its error."""
        if not self._tasks:
            # a request may use none of its route's stages
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
            # a failure that cannot be retried takes precedence
            if found is None or error.failure is not PieceFailure.GONE:
                found = error
        return found or self._find_lost()

    def _find_component(self, error: _StageFailedError) -> tuple[int, ...]:
        """Return the stages to execute again after one has failed.

        A maker does not report which input is lost, and the inputs of the earlier
        stages are freed by then. So the whole connected component of the stage is
        executed again; results of other stages are kept.
        """
        components = self._plan.list_components()
        return next(
            component for component in components if error.work.number in component
        )

    def _start_all(self, numbers: tuple[int, ...]) -> None:
        readers = self._list_readers()
        for number in numbers:
            self._tasks.pop(number, None)
            self._ends.pop(number, None)
            self._readers[number] = readers[number]
        for number in numbers:
            self._start(number)

    async def _cancel_stages(self, numbers: tuple[int, ...]) -> None:
        """Cancel stages and free their results."""
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
            task = asyncio.create_task(self._execute_stage(number, earlier))
            self._tasks[number] = task
        return task

    async def _execute_stage(
        self, number: int, earlier: list[asyncio.Task[None]]
    ) -> None:
        for task in earlier:
            # shielded: cancelling a stage must not cancel the stages that it reads
            await asyncio.shield(task)
        work = self._plan.stages[number]
        await self._delay_start(work)
        if self._target_table.has_superseded(list_makers(self._held, work.after)):
            raise _StageFailedError(work, PieceFailure.GONE)
        queue = self._bundles.estimate_wait(work.service)
        seconds = queue.urgent + queue.estimate_stage(work.seconds)
        self._ends[number] = self._clock.now() + seconds
        bundle = self._bundles.create(work, self._held)
        results = await self._executor.execute(bundle, lambda: self._free_inputs(work))
        failed = next((one.failure for one in results if one.failure), None)
        made = tuple(one for one in results if one.failure is None)
        self._held[number] = made
        self._ends[number] = self._clock.now()
        self._stage_ended.set()
        if failed is not None:
            raise _StageFailedError(work, failed)
        self._free_inputs(work)

    async def _delay_start(self, work: StageWork) -> None:
        """Delay a stage while its results would only wait for those of other stages."""
        while True:
            slack = self._plan.find_slack(
                work,
                self._clock.now(),
                self._ends,
                self._bundles.estimate_wait,
                self._bundles.find_bounds(),
                self._held,
            )
            pause = slack - MIN_SLACK
            if pause < MIN_PAUSE:
                return
            self._stage_ended.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(pause):
                    await self._stage_ended.wait()

    def _free_inputs(self, work: StageWork) -> None:
        """Free the inputs of a stage that no other stage has still to read."""
        for one in work.after:
            readers = self._readers[one]
            readers.discard(work.number)
            if not readers and one not in self._plan.final:
                self._free_stage(one)

    def _collect_results(self) -> StageResults:
        results = StageResults(inputs=())
        sizes = results.bytes_by_data_centre
        for number in self._plan.final:
            results.makers |= {result.maker for result in self._held[number]}
            for result in self._held[number]:
                results.inputs += (result.handle,)
                size = self._plan.stages[number].result_bytes
                sizes[result.data_centre] = sizes.get(result.data_centre, 0) + size
        self._log_placement(results)
        return results

    def _log_placement(self, results: StageResults) -> None:
        sizes = results.bytes_by_data_centre
        if sum(sizes.values()) < LARGE_BYTES:
            return
        self._decisions.log_decision(
            "placement",
            request=self._exchange.request.request_id,
            engine=self._bundles.placement.engine_data_centre,
            bytes=dict(sizes),
        )

    def _free_stage(self, number: int) -> None:
        held = self._held.pop(number, ())
        if held:
            self._executor.free(self._plan.stages[number].service, held)

    def _create_refusal(self, error: _StageFailedError) -> RefusedError:
        late = error.failure in (PieceFailure.LATE, PieceFailure.ROOM)
        code = RefusalCode.OVERLOADED if late else RefusalCode.STAGE_FAILED
        wait = self._executor.estimate_wait(error.work.service).total
        self._decisions.log_decision(
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
            retry_after=self._find_retry_after(wait),
            field="stage",
            value=str(error.work.number),
        )

    def _find_retry_after(self, wait: float) -> float | None:
        """Return when the caller may retry; ``None`` if that would be too late."""
        window = find_retry_window(
            drain_seconds=wait,
            service_time=self.estimate().work + self._first_seconds,
            remaining=self._exchange.caller_deadline - self._clock.now(),
        )
        return None if window is None else window.draw(self._random.random())
