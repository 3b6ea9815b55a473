"""Execution of the stages of a request's pipeline."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING, Any

from result import Err

from greengagelatch.errors import Refusal, RefusalCode
from greengagelatch.request import Answer
from greengagelatch.stages.graph import build_input, find_ready
from greengagelatch.stages.ledger import AttemptLedger
from greengagelatch.stages.plan import StagePlan, divide_by_share
from greengagelatch.stages.retries import may_retry
from greengagelatch.verdict import Verdict

from .attempt_sender import StageExecution
from .filters.observe import TRACE_KEY

if TYPE_CHECKING:
    from collections.abc import Callable

    from greengagelatch.clock import Clock
    from greengagelatch.config.objects import Pipeline, Stage

    from .filters import Exchange
    from .logs import StageTrace
    from .metrics import Metrics
    from .stage_caller import StageCaller

__all__ = ("PipelineRunner",)

#: milliseconds after which to retry a request whose deadline was exceeded
DEADLINE_RETRY_MS = 1000


@dataclass(slots=True, kw_only=True)
class _Run:
    """The state of one run of a pipeline."""

    exchange: Exchange
    pipeline: Pipeline
    ledger: AttemptLedger = field(default_factory=AttemptLedger)
    started_stages: set[str] = field(default_factory=set)
    results: dict[str, Any] = field(default_factory=dict)
    stage_seconds: dict[str, float] = field(default_factory=dict)
    #: seconds of target time of completed stages, by stage
    costs: dict[str, float] = field(default_factory=dict)
    #: total seconds of failed attempts, by stage
    wasted_seconds: dict[str, float] = field(default_factory=dict)

    def answer(self, refusal: Refusal | None) -> Answer:
        """Return the final answer; a refusal gets the verdict of the request."""
        verdict = self.exchange.verdict
        result = None
        if refusal is not None:
            refusal = self._complete_refusal(refusal)
        else:
            result = self.results[self.pipeline.stages[-1].name]
        return Answer(
            request_id=self.exchange.request.request_id,
            verdict=verdict,
            result=result,
            refusal=refusal,
            stage_seconds=self.stage_seconds,
        )

    def _complete_refusal(self, refusal: Refusal) -> Refusal:
        verdict = self.exchange.verdict
        retry_after_ms = refusal.retry_after_ms
        if verdict is not Verdict.NOT_RUN and not self._may_retry():
            # a caller that followed the hint would run the request a second time
            retry_after_ms = None
        return replace(refusal, verdict=verdict, retry_after_ms=retry_after_ms)

    def _may_retry(self) -> bool:
        request = self.exchange.request
        if request.key:
            return True
        return all(may_retry(stage, request) for stage in self.pipeline.stages)


class PipelineRunner:
    """Runs pipelines; stages whose inputs are ready run concurrently.

    :param plan: derives each stage's deadline from that of the request
    :param find_priority: returns the priority of a stage's calls
    """

    def __init__(
        self,
        *,
        stage_caller: StageCaller,
        clock: Clock,
        metrics: Metrics,
        plan: StagePlan = divide_by_share,
        find_priority: Callable[[Exchange, Stage], int] | None = None,
    ) -> None:
        self._stage_caller = stage_caller
        self._clock = clock
        self._metrics = metrics
        self._plan = plan
        self._find_priority = find_priority

    async def run(self, exchange: Exchange, pipeline: Pipeline) -> Answer:
        """Run all stages and return the result of the last one."""
        request = exchange.request
        run = _Run(exchange=exchange, pipeline=pipeline)
        refusal: Refusal | None = None
        try:
            async with asyncio.timeout(request.deadline - self._clock.now()):
                refusal = await self._run_stages(run)
        except TimeoutError:
            refusal = Refusal(
                code=RefusalCode.DEADLINE,
                message="deadline exceeded",
                field="X-Deadline-Ms",
                value=f"{(request.deadline - request.received) * 1000:.0f}",
                retry_after_ms=DEADLINE_RETRY_MS,
            )
        finally:
            exchange.raise_verdict(run.ledger.verdict)
            self._record_cost(run, useful=refusal is None)
        return run.answer(refusal)

    async def _run_stages(self, run: _Run) -> Refusal | None:
        running: set[asyncio.Task[Refusal | None]] = set()
        try:
            while True:
                ready = find_ready(run.pipeline, run.started_stages, run.results)
                if len(ready) == 1 and not running:
                    refusal = await self._run_stage(run, ready[0])
                    if refusal is not None:
                        return refusal
                    continue
                for stage in ready:
                    run.started_stages.add(stage.name)
                    running.add(asyncio.create_task(self._run_stage(run, stage)))
                if not running:
                    return None
                done, running = await asyncio.wait(
                    running, return_when=asyncio.FIRST_COMPLETED
                )
                for task in done:
                    refusal = task.result()
                    if refusal is not None:
                        return refusal
        finally:
            for task in running:
                task.cancel()
            if running:
                await asyncio.gather(*running, return_exceptions=True)

    async def _run_stage(self, run: _Run, stage: Stage) -> Refusal | None:
        run.started_stages.add(stage.name)
        started = self._clock.now()
        execution = self._create_execution(run, stage, started)
        outcome = "given-up"
        try:
            result = await self._stage_caller.call(execution)
            outcome = "refused" if isinstance(result, Err) else "answered"
        finally:
            seconds = self._clock.now() - started
            run.stage_seconds[stage.name] = seconds
            run.wasted_seconds[stage.name] = execution.wasted_seconds
            self._metrics.timing(f"stage.{run.pipeline.name}.{stage.name}", seconds)
            if execution.trace is not None:
                execution.trace.finish(outcome=outcome, verdict=run.ledger.verdict)
        if isinstance(result, Err):
            return result.err_value
        run.results[stage.name] = result.ok_value.output
        run.costs[stage.name] = result.ok_value.cost
        return None

    def _create_execution(self, run: _Run, stage: Stage, now: float) -> StageExecution:
        request = run.exchange.request
        last = run.pipeline.stages[-1] is stage
        priority = 0
        if self._find_priority is not None:
            priority = self._find_priority(run.exchange, stage)
        return StageExecution(
            request=request,
            stage=stage,
            input=build_input(stage, request.input, run.results),
            stage_deadline=self._plan(run.pipeline, stage, now, request.deadline),
            priority=priority,
            ledger=run.ledger,
            on_token=run.exchange.on_token if last and request.stream else None,
            trace=_start_trace(run.exchange, stage),
        )

    def _record_cost(self, run: _Run, *, useful: bool) -> None:
        pipeline = run.pipeline.name
        kind = "useful" if useful else "wasted"
        for name, cost in run.costs.items():
            amount = round(cost * 1000)
            self._metrics.count(f"cost.{pipeline}.{name}.{kind}_ms", amount)
        for name, cost in run.wasted_seconds.items():
            amount = round(cost * 1000)
            if amount > 0:
                self._metrics.count(f"cost.{pipeline}.{name}.wasted_ms", amount)


def _start_trace(exchange: Exchange, stage: Stage) -> StageTrace | None:
    trace = exchange.context.get(TRACE_KEY)
    if trace is None:
        return None
    return trace.start_stage(stage.name, stage.service)
