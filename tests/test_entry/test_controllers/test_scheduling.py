"""Tests of the queueing of stage calls."""

from __future__ import annotations

import asyncio
import random

import pytest

from greengagelatch.clock import SystemClock
from greengagelatch.config.objects import StageKind
from greengagelatch.config.policy_resolution import Weights
from greengagelatch.errors import RefusalCode
from greengagelatch.events import EventBus
from greengagelatch.load import Outcome, OutcomeKind, Ticket
from greengagelatch.load.durations import DurationTracker
from greengagelatch.load.scheduler import Scheduler, SchedulerRule
from greengagelatch.targets import Target
from greengagelatch.targets.directory import Candidate, LoadReport, TargetDirectory
from greengagelatch_entry.controllers.scheduling import (
    TARGET_LEAVING,
    SchedulingController,
)
from greengagelatch_entry.metrics import Metrics

DONE = Outcome(OutcomeKind.SUCCESS, 0.01)


class SingleTargetDirectory(TargetDirectory):
    """One target with a concurrency of one, which may be leaving."""

    def __init__(self) -> None:
        self.leaving = False

    def candidates(self, service):
        if self.leaving:
            return ()
        target = Target("t0", service, "dc-a", "127.0.0.1:1")
        return (
            Candidate(target, LoadReport(in_flight=0, queued=0, capacity=1, taken=0.0)),
        )

    def accepts(self, target_id):
        return not self.leaving

    def mark_leaving(self, target_id):
        self.leaving = True

    def record_call(self, target_id, *, answered):
        pass


class Harness:
    def __init__(self) -> None:
        self.clock = SystemClock()
        self.events = EventBus()
        self.directory = SingleTargetDirectory()
        self.scheduler = Scheduler(
            directory=self.directory,
            rule=SchedulerRule(),
            data_centre="dc-a",
            random_source=random.Random(1),
            weigh=lambda workspace: 1.0,
            count_senders=lambda service: 1,
            estimate_remaining=lambda ticket, now: 0.0,
            find_weights=lambda workspace, pipeline: Weights(),
            durations=DurationTracker(),
            now=self.clock.now(),
        )
        self.controller = SchedulingController(
            scheduler=self.scheduler,
            directory=self.directory,
            clock=self.clock,
            events=self.events,
            metrics=Metrics("127.0.0.1:9"),
        )

    def acquire(self, name, *, budget=30.0):
        deadline = self.clock.now() + budget
        return asyncio.create_task(
            self.controller.acquire(
                Ticket(
                    request_id=name,
                    workspace="w",
                    pipeline="p",
                    stage="s",
                    service="desk",
                    kind=StageKind.PLAIN,
                    deadline=deadline,
                    stage_deadline=deadline,
                )
            )
        )


@pytest.fixture
async def harness():
    harness = Harness()
    await harness.controller.start()
    yield harness
    await harness.controller.stop()


async def test_cancelled_caller_releases_its_grant(harness):
    """The capacity of a target would leak until it gets no calls.

    A caller is cancelled in the same iteration of the event loop in which its call
    is granted, and nobody receives or releases the grant.
    """
    first = (await harness.acquire("r1")).ok_value
    cancelled = harness.acquire("r2")
    await asyncio.sleep(0)
    harness.controller.release(first, DONE)
    cancelled.cancel()
    with pytest.raises(asyncio.CancelledError):
        await cancelled
    third = (await asyncio.wait_for(harness.acquire("r3"), 10)).ok_value
    harness.controller.release(third, DONE)
    assert harness.scheduler.waiting == 0
    assert harness.scheduler.find_service("desk").in_flight == 0


async def test_queued_call_is_refused_when_its_target_leaves(harness):
    """A caller would hang until its deadline after the last target began to leave.

    One call is in flight and another one is queued when the target begins to leave,
    and the queue is not notified.
    """
    first = (await harness.acquire("r1")).ok_value
    queued = harness.acquire("r2")
    await asyncio.sleep(0)
    harness.directory.mark_leaving("t0")
    harness.events.emit(TARGET_LEAVING, "t0")
    refusal = (await asyncio.wait_for(queued, 10)).err_value
    assert refusal.code is RefusalCode.NO_TARGET
    harness.controller.release(first, DONE)


async def test_call_that_cannot_meet_its_deadline_is_refused(harness):
    """A call that cannot finish in time would be queued until its deadline.

    The target is busy and no event occurs until the queued call is too late, so
    only a timer can refuse it.
    """
    first = (await harness.acquire("r1")).ok_value
    refusal = (await asyncio.wait_for(harness.acquire("r2", budget=0.1), 10)).err_value
    assert refusal.code is RefusalCode.OVERLOADED
    assert refusal.retry_after_ms > 0
    harness.controller.release(first, DONE)


async def test_stop_refuses_queued_calls():
    """Callers would hang during the shutdown of an instance.

    A call is queued when the controller is stopped, and its future is not resolved.
    """
    harness = Harness()
    await harness.controller.start()
    await harness.acquire("r1")
    queued = harness.acquire("r2")
    await asyncio.sleep(0)
    await harness.controller.stop()
    assert (await queued).err_value.code is RefusalCode.NOT_READY
