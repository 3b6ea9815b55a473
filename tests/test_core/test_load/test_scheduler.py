"""Tests of greengagelatch.load.scheduler."""

from __future__ import annotations

import random

from result import Err, Ok

from greengagelatch.config.objects import StageKind
from greengagelatch.config.policy_resolution import Weights
from greengagelatch.errors import RefusalCode
from greengagelatch.load import Grant, Outcome, OutcomeKind, Ticket
from greengagelatch.load.budgets import BudgetRule
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


def test_only_targets_that_would_take_a_retry_are_counted():
    """Guards against calls that leave a silent target and are refused or queued."""
    directory = FixedDirectory(3, capacity=1)
    scheduler = create_scheduler(directory)
    retry = create_ticket("r9", retry=True, excluded=frozenset({"t0"}))
    assert scheduler.count_targets(retry, 0.0) == 2
    scheduler.submit(create_ticket("r1", excluded=frozenset({"t0", "t2"})), 0.0)
    (busy,) = get_grants(scheduler.poll(0.0))
    assert scheduler.count_targets(retry, 0.0) == 1
    for number in (2, 3):
        scheduler.submit(create_ticket(f"r{number}"), 0.0)
    assert len(get_grants(scheduler.poll(0.0))) == 2
    assert scheduler.count_targets(retry, 0.0) == 0
    scheduler.submit(create_ticket("r4"), 0.0)
    assert scheduler.poll(0.0) == ()
    scheduler.finish(busy, Outcome(OutcomeKind.SUCCESS, 0.1), 0.1)
    # the queued call is to take what has become free
    assert scheduler.count_targets(retry, 0.1) == 0


def test_ejected_target_counts_for_no_retry():
    """Guards against calls that leave a silent target for one that has failed."""
    directory = FixedDirectory(3, capacity=4)
    scheduler = create_scheduler(directory)
    only_first = create_ticket("r1", excluded=frozenset({"t1", "t2"}))
    for _ in range(3):
        scheduler.submit(only_first, 0.0)
        (grant,) = get_grants(scheduler.poll(0.0))
        scheduler.record_silence(grant, 0.0)
        scheduler.finish(grant, Outcome(OutcomeKind.ABANDONED, 0.1), 0.0)
    excluded = frozenset({"t1"})
    retry = create_ticket("r9", retry=True, deadline=120.0, excluded=excluded)
    for now in (0.0, 60.0):
        assert scheduler.count_targets(retry, now) == 1


def test_retry_that_would_be_late_counts_no_targets():
    """Guards against calls that leave a silent target and are refused as late."""
    durations = DurationTracker()
    for _ in range(20):
        durations.record(("p", "draft"), 1.0, 0.0)
    scheduler = create_scheduler(FixedDirectory(2, capacity=1), durations=durations)
    retry = create_ticket("r9", retry=True, deadline=2.0, excluded=frozenset({"t0"}))
    assert scheduler.count_targets(retry, 0.5) == 1
    assert scheduler.count_targets(retry, 1.5) == 0


def test_retry_that_was_charged_before_is_not_charged_again():
    directory = FixedDirectory(2, capacity=4)
    rule = BudgetRule(share=0.0, burst=1)
    scheduler = create_scheduler(directory, retries=rule)
    assert scheduler.retry_budget.count_left(0.0) == 1
    assert scheduler.retry_budget.try_spend(0.0)
    assert scheduler.retry_budget.count_left(0.0) == 0
    scheduler.submit(create_ticket("r1", retry=True, charged=True), 0.0)
    assert len(get_grants(scheduler.poll(0.0))) == 1
    scheduler.submit(create_ticket("r2", retry=True), 0.0)
    assert get_grants(scheduler.poll(0.0)) == []
