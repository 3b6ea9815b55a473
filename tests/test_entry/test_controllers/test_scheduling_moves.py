"""Tests of calls whose target stops accepting them after the grant."""

from __future__ import annotations

import random

from result import Ok

from greengagelatch.clock import SystemClock
from greengagelatch.config.objects import StageKind
from greengagelatch.events import EventBus
from greengagelatch.load import Ticket
from greengagelatch.load.durations import DurationTracker
from greengagelatch.load.scheduler import Scheduler, SchedulerRule
from greengagelatch.targets import Target
from greengagelatch_entry.controllers.scheduling import SchedulingController
from greengagelatch_entry.metrics import Metrics
from greengagelatch_lab.scripted import FixedDirectory

TARGETS = [
    Target(f"t{number}", "desk", "north", f"10.0.0.1:{number}") for number in (1, 2)
]


class DisagreeingDirectory(FixedDirectory):
    """A directory whose candidates include targets that it does not accept."""

    def __init__(self, refused: set[str]) -> None:
        super().__init__(TARGETS)
        self.checks = 0
        self._refused = refused

    def accepts(self, target_id: str) -> bool:
        self.checks += 1
        assert self.checks < 50, "the call is rescheduled endlessly"
        return target_id not in self._refused


def create_controller(directory: DisagreeingDirectory, clock) -> SchedulingController:
    scheduler = Scheduler(
        directory=directory,
        rule=SchedulerRule(),
        data_centre="north",
        random_source=random.Random(1),
        weigh=lambda workspace: 1.0,
        count_senders=lambda service: 1,
        estimate_remaining=lambda ticket, now: 0.0,
        durations=DurationTracker(),
        now=clock.now(),
    )
    return SchedulingController(
        scheduler=scheduler,
        directory=directory,
        clock=clock,
        events=EventBus(),
        metrics=Metrics("127.0.0.1:9"),
    )


def create_ticket(clock, seconds: float) -> Ticket:
    deadline = clock.now() + seconds
    return Ticket(
        request_id="r",
        workspace="depot",
        pipeline="booking",
        stage="book",
        service="desk",
        kind=StageKind.PLAIN,
        deadline=deadline,
        stage_deadline=deadline,
    )


async def test_call_goes_to_a_target_that_accepts_it():
    """An instance would block for ever while its data centre is partitioned.

    A target is ejected but still among the candidates. A call is granted to it,
    released, and granted to it again, without yielding to the event loop.
    """
    clock = SystemClock()
    directory = DisagreeingDirectory({"t1"})
    controller = create_controller(directory, clock)
    for _ in range(5):
        directory.checks = 0
        result = await controller.acquire(create_ticket(clock, 5.0))
        assert result.ok_value.target.target_id == "t2"


async def test_call_that_no_target_accepts_is_refused():
    clock = SystemClock()
    directory = DisagreeingDirectory({"t1", "t2"})
    controller = create_controller(directory, clock)
    result = await controller.acquire(create_ticket(clock, 0.3))
    assert not isinstance(result, Ok)
