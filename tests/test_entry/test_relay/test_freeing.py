"""Tests of greengagelatch_entry.relay.freeing, in virtual time."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import pytest

from greengagelatch.relay.incarnations import Incarnation
from greengagelatch.relay.pieces import PieceResult
from greengagelatch.relay.targets import TargetTable
from greengagelatch_entry.relay.decisions import DecisionLog
from greengagelatch_entry.relay.freeing import CLOSE_SECONDS, ResultFreeing
from greengagelatch_entry.relay.prometheus import PrometheusMetrics
from greengagelatch_lab.stage_load.models import ModelCodec
from greengagelatch_lab.stage_load.trial import LoopClock

pytestmark = pytest.mark.looptime


class Links:
    """Takes in which results are freed, some time after they were sent."""

    def __init__(self, seconds: float) -> None:
        self.seconds = seconds
        self.sent: list[str] = []
        self.freed: list[str] = []

    async def send(self, *, outbound, **_):
        self.sent.extend(outbound.body)
        await asyncio.sleep(self.seconds)
        self.freed.extend(outbound.body)
        return SimpleNamespace(read=self._read, release=lambda: None)

    async def _read(self, limit: int) -> bytes:
        return b""


def create_result(handle: str) -> PieceResult:
    return PieceResult(handle=handle, maker=Incarnation(handle.partition(":")[0], 1))


def create_freeing(links: Links) -> ResultFreeing:
    metrics = PrometheusMetrics()
    return ResultFreeing(
        "ledger",
        find_maker=lambda incarnation: None,
        note_freed=lambda: None,
        book=TargetTable(),
        links=links,
        codec=ModelCodec(),
        metrics=metrics,
        decisions=DecisionLog(clock=LoopClock(), metrics=metrics),
    )


async def test_results_given_up_right_before_a_stop_are_freed():
    """Symptom: calls find no room at makers for seconds after an instance has left.

    Sequence: the last requests of an instance end, their results are given up; the
    instance stops within the moment for which these are gathered.
    Cause: what waited to be sent was dropped.
    """
    links = Links(0.002)
    freeing = create_freeing(links)
    freeing.free((create_result("m:1/0"), create_result("n:1/0")))
    await freeing.close()
    assert sorted(links.freed) == ["m:1/0", "n:1/0"]


async def test_results_that_are_being_freed_at_a_stop_are_waited_for():
    links = Links(0.05)
    freeing = create_freeing(links)
    freeing.free((create_result("m:1/0"),))
    await asyncio.sleep(0.03)
    assert links.sent == ["m:1/0"]
    await freeing.close()
    assert links.freed == ["m:1/0"]


async def test_stop_does_not_wait_for_makers_that_are_out_of_reach():
    links = Links(60.0)
    freeing = create_freeing(links)
    freeing.free((create_result("m:1/0"),))
    began = asyncio.get_running_loop().time()
    await freeing.close()
    assert links.sent == ["m:1/0"]
    assert links.freed == []
    waited = asyncio.get_running_loop().time() - began
    assert waited == pytest.approx(CLOSE_SECONDS, abs=0.01)


async def test_stop_with_nothing_to_free_waits_for_nothing():
    links = Links(60.0)
    began = asyncio.get_running_loop().time()
    await create_freeing(links).close()
    assert asyncio.get_running_loop().time() == pytest.approx(began, abs=0.001)
