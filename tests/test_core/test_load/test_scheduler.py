"""Tests of greengagelatch.load.scheduler."""

from __future__ import annotations

import random

from result import Err, Ok

from greengagelatch.config.objects import StageKind
from greengagelatch.config.policy_resolution import Weights
from greengagelatch.errors import RefusalCode
from greengagelatch.load import Grant, Outcome, OutcomeKind, Ticket
from greengagelatch.load.durations import DurationTracker
from greengagelatch.load.scheduler import Scheduler, SchedulerRule
from greengagelatch.targets import Target
from greengagelatch.targets.directory import Candidate, LoadReport, TargetDirectory
from greengagelatch.verdict import Verdict


class FixedDirectory(TargetDirectory):
    def __init__(self, count: int, capacity: int) -> None:
        self.capacity = capacity
        self.targets = {
            f"t{index}": Target(f"t{index}", "llm", "dc-a", f"127.0.0.1:{index + 1}")
            for index in range(count)
        }

    def candidates(self, service):
        report = LoadReport(in_flight=0, queued=0, capacity=self.capacity, taken=0.0)
        return tuple(
            Candidate(target, report)
            for target in self.targets.values()
            if target.service == service
        )

    def accepts(self, target_id):
        return target_id in self.targets

    def mark_leaving(self, target_id):
        self.targets.pop(target_id)

    def record_call(self, target_id, *, answered):
        pass


def create_scheduler(directory, *, seed=1, durations=None, **rule):
    return Scheduler(
        directory=directory,
        rule=SchedulerRule(**rule),
        data_centre="dc-a",
        random_source=random.Random(seed),
        weigh=lambda workspace: 1.0,
        count_choosers=lambda service: 1,
        estimate_rest=lambda ticket, now: 0.0,
        find_weights=lambda workspace, pipeline: Weights(),
        durations=durations or DurationTracker(),
        now=0.0,
    )


def create_ticket(name="r1", *, stage="draft", deadline=10.0, **values):
    fields = {"workspace": "w", "pipeline": "p", "service": "llm"} | values
    return Ticket(
        request_id=name,
        stage=stage,
        kind=StageKind.GENERATE,
        deadline=deadline,
        stage_deadline=deadline,
        **fields,
    )


def get_grants(decisions) -> list[Grant]:
    return [d.result.ok_value for d in decisions if isinstance(d.result, Ok)]


def test_target_that_begins_to_leave_gets_no_waiting_call():
    """A leaving target is given work that had waited since before it began to.

    A call waits while the only target is full; the target begins to leave and
    another one appears; the first target's room becomes free. Binding the call to
    its target when it queued would be the cause.
    """
    directory = FixedDirectory(1, capacity=1)
    scheduler = create_scheduler(directory)
    scheduler.submit(create_ticket("r1"), 0.0)
    (running,) = get_grants(scheduler.poll(0.0))
    scheduler.submit(create_ticket("r2"), 0.0)
    assert scheduler.poll(0.0) == ()
    directory.mark_leaving("t0")
    directory.targets["t9"] = Target("t9", "llm", "dc-a", "127.0.0.1:9")
    scheduler.touch()
    (moved,) = get_grants(scheduler.poll(0.1))
    assert moved.target.target_id == "t9"
    scheduler.finish(running, Outcome(OutcomeKind.SUCCESS, 0.2), 0.2)
    assert scheduler.poll(0.2) == ()


def test_call_that_can_not_be_done_in_time_is_refused_before_its_deadline():
    """A caller hangs until its deadline although its call had no chance.

    Calls take one second; one waits behind a full target with a deadline of two.
    Waiting on for the deadline alone would be the cause.
    """
    durations = DurationTracker()
    for _ in range(20):
        durations.record(("p", "draft"), 1.0, 0.0)
    scheduler = create_scheduler(FixedDirectory(1, capacity=1), durations=durations)
    scheduler.submit(create_ticket("r1"), 0.0)
    scheduler.poll(0.0)
    late = scheduler.submit(create_ticket("r2", deadline=2.0), 0.0)
    scheduler.expire(0.9)
    assert scheduler.poll(0.9) == ()
    scheduler.expire(1.1)
    (decision,) = scheduler.poll(1.1)
    assert decision.waiting_id == late
    refusal = decision.result.err_value
    assert refusal.code is RefusalCode.OVERLOADED
    assert refusal.verdict is Verdict.NOT_RUN
    assert refusal.retry_after_ms > 0
    assert scheduler.find_next_wake(1.1) is None


def test_short_calls_find_room_while_long_ones_fill_the_service():
    """A booking waits behind a screenful of drafts.

    Fifty drafts of two seconds come, then a call of 50 ms. Drafts that may use up
    all of a target's room would be the cause.
    """
    durations = DurationTracker()
    for _ in range(20):
        durations.record(("p", "draft"), 2.0, 0.0)
        durations.record(("p", "status"), 0.05, 0.0)
    scheduler = create_scheduler(FixedDirectory(2, capacity=5), durations=durations)
    scheduler.submit(create_ticket("known", stage="status"), 0.0)
    (known,) = get_grants(scheduler.poll(0.0))
    scheduler.finish(known, Outcome(OutcomeKind.SUCCESS, 0.05), 0.05)
    for index in range(50):
        scheduler.submit(create_ticket(f"draft{index}"), 0.1)
    drafts = get_grants(scheduler.poll(0.1))
    assert len(drafts) == 8
    scheduler.submit(create_ticket("status", stage="status"), 0.2)
    (short,) = get_grants(scheduler.poll(0.2))
    assert short.ticket.request_id == "status"


def test_general_failure_does_not_multiply_calls():
    """Targets that recover stay overloaded, as every call is made three times.

    All calls fail and each is submitted again at once. Retries without a budget
    would be the cause.
    """
    scheduler = create_scheduler(FixedDirectory(3, capacity=1000))
    sent = 0
    for index in range(1000):
        now = index * 0.001
        waiting = [create_ticket(f"r{index}")]
        while waiting:
            scheduler.submit(waiting.pop(), now)
            for grant in get_grants(scheduler.poll(now)):
                sent += 1
                scheduler.finish(grant, Outcome(OutcomeKind.FAILURE, 0.01), now)
                again = create_ticket(f"r{index}", retry=True)
                waiting.append(again)
    assert sent <= 1000 * 1.1 + 10 + 1


def test_service_that_loses_its_last_target_refuses_what_waits():
    """Callers hang although no target is left that could ever answer them.

    A call waits for the only target; it goes. Looking only for room, never for
    targets, would be the cause.
    """
    directory = FixedDirectory(1, capacity=1)
    scheduler = create_scheduler(directory)
    scheduler.submit(create_ticket("r1"), 0.0)
    scheduler.poll(0.0)
    scheduler.submit(create_ticket("r2"), 0.0)
    scheduler.poll(0.0)
    directory.mark_leaving("t0")
    scheduler.touch()
    (decision,) = scheduler.poll(0.1)
    assert isinstance(decision.result, Err)
    assert decision.result.err_value.code is RefusalCode.NO_TARGET
