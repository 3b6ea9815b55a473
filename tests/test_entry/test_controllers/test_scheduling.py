"""Tests of greengagelatch_entry.controllers.scheduling."""

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


class OneTarget(TargetDirectory):
    """One target with room for one call; it may be leaving."""

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


class World:
    def __init__(self) -> None:
        self.clock = SystemClock()
        self.events = EventBus()
        self.directory = OneTarget()
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
async def world():
    world = World()
    await world.controller.start()
    yield world
    await world.controller.stop()


async def test_cancelled_caller_leaves_no_room_taken(world):
    """A target's room shrinks until it gets no calls at all.

    A caller goes away in the same turn of the loop in which its call is granted.
    A grant that nobody receives and nobody releases is the cause.
    """
    first = (await world.acquire("r1")).ok_value
    given_up = world.acquire("r2")
    await asyncio.sleep(0)
    world.controller.release(first, DONE)
    given_up.cancel()
    with pytest.raises(asyncio.CancelledError):
        await given_up
    third = (await asyncio.wait_for(world.acquire("r3"), 10)).ok_value
    world.controller.release(third, DONE)
    assert world.scheduler.waiting == 0
    assert world.scheduler.find_service("desk").in_flight == 0


async def test_waiting_call_is_refused_when_its_target_leaves(world):
    """A caller hangs until its deadline after the last target began to leave.

    The target holds one call and another one waits; the target begins to leave.
    Nobody telling the queue would be the cause.
    """
    first = (await world.acquire("r1")).ok_value
    waiting = world.acquire("r2")
    await asyncio.sleep(0)
    world.directory.mark_leaving("t0")
    world.events.emit(TARGET_LEAVING, "t0")
    refusal = (await asyncio.wait_for(waiting, 10)).err_value
    assert refusal.code is RefusalCode.NO_TARGET
    world.controller.release(first, DONE)


async def test_call_without_a_chance_is_refused_by_the_timer(world):
    """A caller is held until its deadline although nothing can be done in time.

    The target is busy and nothing else happens until the waiting call is too late.
    A queue that only looks up on events would be the cause.
    """
    first = (await world.acquire("r1")).ok_value
    refusal = (await asyncio.wait_for(world.acquire("r2", budget=0.1), 10)).err_value
    assert refusal.code is RefusalCode.OVERLOADED
    assert refusal.retry_after_ms > 0
    world.controller.release(first, DONE)


async def test_stop_refuses_what_waits():
    """Callers hang while the instance stops.

    A call waits as the controller is stopped. A future that nobody completes is
    the cause.
    """
    world = World()
    await world.controller.start()
    await world.acquire("r1")
    waiting = world.acquire("r2")
    await asyncio.sleep(0)
    await world.controller.stop()
    assert (await waiting).err_value.code is RefusalCode.NOT_READY
