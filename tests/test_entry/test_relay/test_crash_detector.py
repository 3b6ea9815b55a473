"""Tests of greengagelatch_entry.relay.crash_detector in virtual time."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import pytest

from greengagelatch.relay.incarnations import Incarnation
from greengagelatch.relay.quarantine import CrashReport, Quarantine
from greengagelatch.relay.targets import ListedTarget
from greengagelatch_entry.relay.crash_detector import (
    CHECK_SECONDS,
    COLLECT_SECONDS,
    SETTLE_SECONDS,
    CrashDetector,
)
from greengagelatch_lab.stage_load.instances import NullTelemetry
from greengagelatch_lab.stage_load.virtual_time import LoopClock

pytestmark = pytest.mark.looptime

DIAL_SECONDS = 0.01


class World:
    """The detector of one instance; its dials show targets that crashed or live."""

    def __init__(self) -> None:
        self.clock = LoopClock()
        self.quarantine = Quarantine()
        self.crashed = True
        self.detector = CrashDetector(
            replicator=SimpleNamespace(publish=self.record),
            quarantine=self.quarantine,
            target_table=SimpleNamespace(is_available=lambda incarnation: True),
            evidence=SimpleNamespace(has_ended=self.dial),
            clock=self.clock,
            metrics=NullTelemetry(),
            decisions=NullTelemetry(),
        )

    def record(self, report: CrashReport) -> None:
        self.quarantine.record_crash(report, self.clock.now())

    async def dial(self, target: ListedTarget) -> bool:
        await asyncio.sleep(DIAL_SECONDS)
        return self.crashed

    def disconnect(self, number: int) -> None:
        target = ListedTarget(
            incarnation=Incarnation(f"t{number}"),
            service="llm",
            address=f"t{number}:1",
            data_centre="north",
        )
        self.detector.record_disconnect(target, "aa")


@pytest.fixture
async def world():
    created = World()
    yield created
    await created.detector.on_stop()


async def test_request_is_not_settled_before_others_have_reported_its_crash(world):
    """Guards against blame of a request that only seems to be alone on a target."""
    world.record(CrashReport(Incarnation("t1"), "llm", ("aa",)))
    world.disconnect(2)
    assert not world.detector.is_settled("aa")
    await asyncio.sleep(DIAL_SECONDS + COLLECT_SECONDS + 0.01)
    assert world.quarantine.count_crashed("aa") == 2
    assert not world.detector.is_settled("aa")
    await asyncio.sleep(SETTLE_SECONDS)
    assert world.detector.is_settled("aa")


async def test_next_send_waits_for_the_report_of_the_last_crash(world):
    """Guards against a send before the crash of the last one is known."""
    world.record(CrashReport(Incarnation("t1"), "llm", ("aa",)))
    world.disconnect(2)
    await world.detector.wait_settled("aa")
    assert world.quarantine.count_crashed("aa") == 2
    assert world.detector.is_settled("aa")


async def test_first_crash_delays_no_retry(world):
    """Guards against requests that wait after each broken connection."""
    world.disconnect(1)
    before = world.clock.now()
    await world.detector.wait_settled("aa")
    assert world.clock.now() == before


async def test_target_that_lives_delays_a_retry_briefly(world):
    """Guards against requests that wait for the listing to confirm a crash."""
    world.crashed = False
    world.record(CrashReport(Incarnation("t1"), "llm", ("aa",)))
    world.disconnect(2)
    before = world.clock.now()
    await world.detector.wait_settled("aa")
    assert world.clock.now() - before <= CHECK_SECONDS + 0.01
    assert world.detector.is_settled("aa")
