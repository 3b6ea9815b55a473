"""Tests of greengagelatch.load.choice."""

from __future__ import annotations

import heapq
import random
import statistics
from types import SimpleNamespace

import pytest

from greengagelatch.config.objects import StageKind
from greengagelatch.load import Outcome, OutcomeKind, Ticket
from greengagelatch.load.choice import ChoiceRule, PowerOfTwoChoices
from greengagelatch.load.durations import DurationTracker
from greengagelatch.load.scheduler import Scheduler, SchedulerRule
from greengagelatch.targets import Target
from greengagelatch.targets.directory import Candidate, LoadReport, TargetDirectory


class ServedDirectory(TargetDirectory):
    """Twenty targets, of which all instances see the same reports."""

    def __init__(self, reports) -> None:
        self.reports = reports
        self.targets = [
            Target(f"t{index}", "llm", "dc-a", f"127.0.0.1:{index + 1}")
            for index in range(len(reports))
        ]

    @classmethod
    def create(cls, reports, senders, seed):
        return Scheduler(
            directory=cls(reports),
            rule=SchedulerRule(),
            data_centre="dc-a",
            random_source=random.Random(seed),
            weigh=lambda workspace: 1.0,
            count_senders=lambda service: senders,
            estimate_remaining=lambda ticket, now: 0.0,
            durations=DurationTracker(),
            now=0.0,
        )

    def candidates(self, service):
        return tuple(
            Candidate(target, report)
            for target, report in zip(self.targets, self.reports, strict=True)
        )

    def accepts(self, target_id):
        return True

    def mark_leaving(self, target_id):
        pass

    def record_call(self, target_id, *, answered):
        pass


def create_call(now):
    return Ticket(
        request_id="r",
        workspace="w",
        pipeline="p",
        stage="s",
        service="llm",
        kind=StageKind.PLAIN,
        deadline=now + 10,
        stage_deadline=now + 10,
    )


def create_view(target_id, held=0.0):
    return SimpleNamespace(
        target=Target(target_id, "llm", "dc-a", "127.0.0.1:1"),
        expected_in_flight=held,
        limit=8.0,
        deviation=0.0,
        slowness=1.0,
        local=True,
        cached_prefixes=frozenset(),
    )


def test_calls_with_one_prefix_go_to_few_targets():
    """Guards against internal errors for calls that name a prompt prefix.

    With several targets the prefix is hashed, and the hash function takes only
    bytes, not text.
    """
    choice = PowerOfTwoChoices(ChoiceRule(affinity_targets=1))
    views = tuple(create_view(f"t{number}") for number in range(6))
    source = random.Random(1)
    chosen = {
        choice.choose(views, "wheel lathes", source).target.target_id for _ in range(50)
    }
    assert len(chosen) == 1


def test_prefix_may_be_invalid_unicode():
    """Guards against internal errors for a prefix with a lone surrogate.

    JSON may hold half of a surrogate pair, which can't be encoded strictly.
    """
    views = (create_view("t1"), create_view("t2"))
    choice = PowerOfTwoChoices(ChoiceRule())
    assert choice.choose(views, "\ud800", random.Random(1)) in views


def test_calls_without_a_prefix_are_spread():
    choice = PowerOfTwoChoices(ChoiceRule(affinity_targets=1))
    views = tuple(create_view(f"t{number}") for number in range(6))
    source = random.Random(1)
    chosen = {choice.choose(views, "", source).target.target_id for _ in range(200)}
    assert len(chosen) == 6


@pytest.mark.parametrize("senders", [9, 570])
def test_many_instances_do_not_herd_onto_one_target(senders):
    """Guards against targets that swing between idle and overloaded.

    All instances see the same load reports, up to a second old. If each chose the
    least loaded target of the latest report, all would choose the same one.
    """
    source = random.Random(3)
    held = [0] * 20
    reports = [LoadReport(in_flight=0, queued=0, capacity=16, taken=0.0)] * 20
    services = [ServedDirectory.create(reports, senders, i) for i in range(senders)]
    ends: list[tuple[float, int, object, object]] = []
    samples = []
    for tick in range(300):
        now = tick * 0.01
        while ends and ends[0][0] <= now:
            _, _, scheduler, grant = heapq.heappop(ends)
            held[int(grant.target.target_id[1:])] -= 1
            scheduler.finish(grant, Outcome(OutcomeKind.SUCCESS, 0.3), now)
            scheduler.poll(now)
        for index in range(20):
            if (tick + 5 * index) % 100 == 0:
                reports[index] = LoadReport(
                    in_flight=held[index], queued=0, capacity=16, taken=now
                )
        # eight calls on each target, on average
        for _ in range(round(20 * 8 / 0.3 * 0.01)):
            scheduler = source.choice(services)
            scheduler.submit(create_call(now), now)
            for decision in scheduler.poll(now):
                grant = decision.result.ok_value
                held[int(grant.target.target_id[1:])] += 1
                entry = (now + 0.3, grant.grant_id, scheduler, grant)
                heapq.heappush(ends, (entry[0], len(ends) + tick * 1000, *entry[2:]))
        if tick > 100:
            samples.extend(held)
    # purely random choice gives a standard deviation of 2.7
    assert statistics.pstdev(samples) <= 3.3
