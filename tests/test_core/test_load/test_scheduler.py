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
        count_senders=lambda service: 1,
        estimate_remaining=lambda ticket, now: 0.0,
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


def test_draining_target_gets_no_queued_call():
    """Guards against sending queued calls to a target that is draining.

    A call is queued while the only target is full; that target begins to drain,
    another one appears, and a slot of the first becomes free. Binding calls to a
    target when they are queued would send it to the first.
    """
    directory = FixedDirectory(1, capacity=1)
    scheduler = create_scheduler(directory)
    scheduler.submit(create_ticket("r1"), 0.0)
    (running,) = get_grants(scheduler.poll(0.0))
    scheduler.submit(create_ticket("r2"), 0.0)
    assert scheduler.poll(0.0) == ()
    directory.mark_leaving("t0")
    directory.targets["t9"] = Target("t9", "llm", "dc-a", "127.0.0.1:9")
    scheduler.mark_all_dirty()
    (moved,) = get_grants(scheduler.poll(0.1))
    assert moved.target.target_id == "t9"
    scheduler.finish(running, Outcome(OutcomeKind.SUCCESS, 0.2), 0.2)
    assert scheduler.poll(0.2) == ()


def test_call_that_would_miss_its_deadline_is_refused_early():
    """Guards against callers that wait until their deadline without any chance.

    Calls take one second, and one with a deadline of two is queued for a full
    target. It must be refused as soon as it can't finish any more.
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
    assert decision.ticket_id == late
    refusal = decision.result.err_value
    assert refusal.code is RefusalCode.OVERLOADED
    assert refusal.verdict is Verdict.NOT_RUN
    assert refusal.retry_after_ms > 0
    assert scheduler.find_next_wake(1.1) is None


def test_short_calls_start_while_long_ones_fill_the_service():
    """Guards against short calls that wait behind many long ones.

    Fifty drafts of two seconds arrive, then a call of 50 ms. Without reserved
    capacity the drafts would occupy all targets.
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


def test_retries_are_bounded_while_all_calls_fail():
    """Guards against retries that keep recovering targets overloaded.

    All calls fail and each is submitted again at once. Without a retry budget
    every call would be made several times.
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


def test_service_that_loses_its_last_target_refuses_queued_calls():
    """Guards against callers that wait although no target is left.

    A call is queued for the only target, which then disappears. Without a check
    for targets, the scheduler would only wait for free capacity.
    """
    directory = FixedDirectory(1, capacity=1)
    scheduler = create_scheduler(directory)
    scheduler.submit(create_ticket("r1"), 0.0)
    scheduler.poll(0.0)
    scheduler.submit(create_ticket("r2"), 0.0)
    scheduler.poll(0.0)
    directory.mark_leaving("t0")
    scheduler.mark_all_dirty()
    (decision,) = scheduler.poll(0.1)
    assert isinstance(decision.result, Err)
    assert decision.result.err_value.code is RefusalCode.NO_TARGET
