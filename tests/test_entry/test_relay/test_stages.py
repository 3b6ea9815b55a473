"""Tests of greengagelatch_entry.relay.stages, with injected stage failures."""

from __future__ import annotations

import asyncio
import random
from collections import Counter

import pytest

from greengagelatch.relay.deployment import (
    Deployment,
    MakerProfile,
    Route,
    RoutedService,
    RouteKind,
    RouteStage,
)
from greengagelatch.relay.incarnations import Incarnation
from greengagelatch.relay.pieces import Bundle, PieceFailure, PieceResult
from greengagelatch.relay.queue_waits import QueueWait
from greengagelatch.relay.requests import OpaqueRequest, RefusedError
from greengagelatch.relay.targets import TargetTable
from greengagelatch_entry.relay.decisions import DecisionLog
from greengagelatch_entry.relay.exchange import RelayExchange
from greengagelatch_entry.relay.prometheus import PrometheusMetrics
from greengagelatch_entry.relay.stage_executor import StageExecutor
from greengagelatch_entry.relay.stages import StageRun, StageRunner
from greengagelatch_lab.stage_load.trial import LoopClock

pytestmark = pytest.mark.looptime

MADE_BY = Incarnation("m", 1)
MAKER = MakerProfile(
    slots=1,
    queue=2,
    batch=10,
    call_seconds=0.2,
    item_seconds=0.01,
    result_memory_bytes=1_000_000,
    retention_seconds=4.0,
)
#: one independent stage, and a chain of three stages
ROUTE = Route(
    name="r",
    host="h",
    prefix="/",
    kind=RouteKind.STREAMING,
    timeout=6.0,
    objective=1.9,
    stages=(
        RouteStage(service="a"),
        RouteStage(service="a"),
        RouteStage(service="b", after=(1,)),
        RouteStage(service="c", after=(2,)),
    ),
)


class FakeExecutor(StageExecutor):
    """Makes each bundle in 0.25 s, unless a failure is injected.

    :param failures: outcomes of the successive attempts of a stage
    """

    def __init__(self, failures: dict[int, list[PieceFailure | None]]) -> None:
        self.attempts: Counter[int] = Counter()
        self.freed: list[str] = []
        #: inputs that were freed before the stage that reads them was done
        self.missed: list[str] = []
        self._failures = failures

    async def execute(self, bundle: Bundle, on_read) -> tuple[PieceResult, ...]:
        stage = bundle.pieces[0].stage
        self.attempts[stage] += 1
        number = self.attempts[stage]
        await asyncio.sleep(0.25)
        inputs = {handle for piece in bundle.pieces for handle in piece.inputs}
        self.missed.extend(inputs.intersection(self.freed))
        planned = self._failures.get(stage, [])
        failure = planned.pop(0) if planned else None
        return tuple(
            PieceResult(handle=f"{stage}/{number}/{piece.segment}", maker=MADE_BY)
            if failure is None
            else PieceResult(failure=failure)
            for piece in bundle.pieces
        )

    def free(self, service: str, results: tuple[PieceResult, ...]) -> None:
        self.freed.extend(result.handle for result in results)

    def estimate_wait(self, service: str) -> QueueWait:
        return QueueWait()


def create_run(
    executor: FakeExecutor,
    counts: tuple[int, ...] = (1, 1, 2, 1),
    seconds: float = 6.0,
) -> StageRun:
    clock = LoopClock()
    runner = StageRunner(
        executor=executor,
        clock=clock,
        decisions=DecisionLog(clock=clock, metrics=PrometheusMetrics()),
        data_centre="north",
        load_balancer=None,
        target_table=TargetTable(),
        random_source=random.Random(1),
    )
    request = OpaqueRequest(
        request_id="r-1",
        method="POST",
        host="h",
        target="/",
        headers=(),
        body=b"",
        received=clock.now(),
        timeout=seconds,
        piece_counts=counts,
        piece_key="key",
    )
    services = {name: RoutedService(name=name, maker=MAKER) for name in "abc"}
    exchange = RelayExchange(
        request=request,
        writer=None,
        deployment=Deployment(version=1, routes=(ROUTE,), services=services),
        route=ROUTE,
        service="engines",
        deadline=clock.now() + seconds,
    )
    return runner.create_run(exchange, 0.1, 0.5)


async def test_stages_that_share_nothing_with_lost_results_are_kept():
    """Guard against repeating stages that do not depend on lost results.

    When the last stage of a chain lost its inputs, all stages of the request were
    executed again, including an independent one whose results were still held.
    """
    executor = FakeExecutor({3: [PieceFailure.GONE]})
    results = await create_run(executor).execute()
    assert executor.attempts == {0: 1, 1: 2, 2: 2, 3: 2}
    assert results.inputs == ("0/1/0", "3/2/0")
    assert not set(results.inputs).intersection(executor.freed)
    assert executor.missed == []


async def test_stages_before_a_lost_result_are_made_again():
    executor = FakeExecutor({2: [PieceFailure.GONE]})
    results = await create_run(executor).execute()
    assert executor.attempts == {0: 1, 1: 2, 2: 2, 3: 1}
    assert results.inputs == ("0/1/0", "3/1/0")
    assert executor.missed == []


async def test_all_results_are_freed_when_some_are_lost_repeatedly():
    executor = FakeExecutor({2: [PieceFailure.GONE] * 5})
    run = create_run(executor)
    with pytest.raises(RefusedError, match="lost repeatedly"):
        await run.execute()
    assert executor.attempts == {0: 1, 1: 2, 2: 2}
    assert sorted(executor.freed) == ["0/1/0", "1/1/0", "1/2/0"]


async def test_request_that_needs_none_of_the_stages_waits_for_nothing():
    executor = FakeExecutor({})
    results = await create_run(executor, (0, 0, 0, 0)).execute()
    assert results.inputs == ()
    assert not executor.attempts


async def test_other_stages_are_cancelled_when_one_is_late():
    executor = FakeExecutor({1: [PieceFailure.LATE]})
    run = create_run(executor)
    with pytest.raises(RefusedError, match="stage 1 of a: late"):
        await run.execute()
    assert executor.attempts == {0: 1, 1: 1}


@pytest.mark.parametrize(("seconds", "returns"), [(6.0, True), (1.2, False)])
async def test_caller_refused_midway_returns_only_if_it_can_be_served(seconds, returns):
    """Guards against callers that return to be refused again.

    In a burst a stage is found late. Made again, the stages take longer than the time
    that is left to some callers.
    """
    run = create_run(FakeExecutor({1: [PieceFailure.LATE]}), seconds=seconds)
    with pytest.raises(RefusedError) as caught:
        await run.execute()
    assert (caught.value.refusal.retry_after_ms is not None) == returns


async def test_cancelled_caller_cancels_all_stages():
    executor = FakeExecutor({})
    task = asyncio.create_task(create_run(executor).execute())
    await asyncio.sleep(0.3)
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task
    assert executor.attempts == {0: 1, 1: 1, 2: 1}
    assert sorted(executor.freed) == ["0/1/0", "1/1/0"]


@pytest.mark.parametrize(("seconds", "allowed"), [(6.0, True), (1.0, False)])
async def test_stages_are_made_again_only_if_their_target_has_time(seconds, allowed):
    """Guards against streams that leave a silent engine and are refused as late.

    The stages take 0.7 s and the answer 0.5 s: pieces are due before that time.
    """
    run = create_run(FakeExecutor({}), seconds=seconds)
    assert run.may_execute_again() == allowed
