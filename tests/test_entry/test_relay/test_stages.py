"""Tests of the stages of one request, on a desk that fails what it is told to."""

from __future__ import annotations

import asyncio
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
from greengagelatch_entry.relay.stage_desk import StageDesk
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
#: a stage for the target itself, and a chain of three
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


class Desk(StageDesk):
    """Makes each bundle in a moment of its own, unless it is to fail.

    :param failures: what fails at the tries of a stage, in turn
    """

    def __init__(self, failures: dict[int, list[PieceFailure | None]]) -> None:
        self.tries: Counter[int] = Counter()
        self.freed: list[str] = []
        #: inputs that were freed before a stage that reads them was made
        self.missed: list[str] = []
        self._failures = failures

    async def make(self, bundle: Bundle, note_read) -> tuple[PieceResult, ...]:
        stage = bundle.pieces[0].stage
        self.tries[stage] += 1
        number = self.tries[stage]
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


def begin(desk: Desk, counts: tuple[int, ...] = (1, 1, 2, 1)) -> StageRun:
    clock = LoopClock()
    runner = StageRunner(
        desk=desk,
        clock=clock,
        decisions=DecisionLog(clock=clock, metrics=PrometheusMetrics()),
        data_centre="north",
        fleet=None,
        book=TargetTable(),
    )
    request = OpaqueRequest(
        request_id="r-1",
        method="POST",
        host="h",
        target="/",
        headers=(),
        body=b"",
        received=clock.now(),
        timeout=6.0,
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
        deadline=clock.now() + 6.0,
    )
    return runner.begin(exchange, 0.1, 0.5)


async def test_stages_that_share_nothing_with_lost_results_are_kept():
    """Symptom: after results were lost, makers are busy with work that was done.

    Sequence: the last stage of a chain finds that what it reads is gone, while the
    results of another stage lie ready for the target.
    Cause: all stages of the request were made again.
    """
    desk = Desk({3: [PieceFailure.GONE]})
    results = await begin(desk).make()
    assert desk.tries == {0: 1, 1: 2, 2: 2, 3: 2}
    assert results.inputs == ("0/1/0", "3/2/0")
    assert not set(results.inputs).intersection(desk.freed)
    assert desk.missed == []


async def test_stages_before_a_lost_result_are_made_again():
    desk = Desk({2: [PieceFailure.GONE]})
    results = await begin(desk).make()
    assert desk.tries == {0: 1, 1: 2, 2: 2, 3: 1}
    assert results.inputs == ("0/1/0", "3/1/0")
    assert desk.missed == []


async def test_all_results_are_freed_where_some_are_lost_again_and_again():
    desk = Desk({2: [PieceFailure.GONE] * 5})
    run = begin(desk)
    with pytest.raises(RefusedError, match="lost again and again"):
        await run.make()
    assert desk.tries == {0: 1, 1: 2, 2: 2}
    assert sorted(desk.freed) == ["0/1/0", "1/1/0", "1/2/0"]


async def test_request_that_needs_none_of_the_stages_waits_for_nothing():
    desk = Desk({})
    results = await begin(desk, (0, 0, 0, 0)).make()
    assert results.inputs == ()
    assert not desk.tries


async def test_other_stages_are_given_up_with_one_that_is_late():
    desk = Desk({1: [PieceFailure.LATE]})
    run = begin(desk)
    with pytest.raises(RefusedError, match="stage 1 of a: late"):
        await run.make()
    assert desk.tries == {0: 1, 1: 1}


async def test_caller_that_leaves_gives_up_all_stages():
    desk = Desk({})
    task = asyncio.create_task(begin(desk).make())
    await asyncio.sleep(0.3)
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task
    assert desk.tries == {0: 1, 1: 1, 2: 1}
    assert sorted(desk.freed) == ["0/1/0", "1/1/0"]
