"""Tests of greengagelatch_lab.stage_load.trial."""

from __future__ import annotations

import dataclasses

import pytest

from greengagelatch.relay.admission import AdmitAll
from greengagelatch.relay.batches import PerRequestBatching
from greengagelatch.relay.capacity import BUSY_SHARE
from greengagelatch_lab.stage_load.outcomes import Outcome
from greengagelatch_lab.stage_load.shapes import SCENARIOS, SHAPES, Burst, Scenario
from greengagelatch_lab.stage_load.trial import Policies, run_trial

CALM = dataclasses.replace(SCENARIOS["calm"], seconds=6.0)
NAIVE = Policies(
    create_batch_policy=lambda _: PerRequestBatching(), create_admission=AdmitAll
)


def run(scenario: Scenario, policies: Policies, seed: int = 1) -> Outcome:
    return run_trial(SHAPES["luzon"], scenario, policies, seed)


def test_same_seed_gives_the_same_outcome():
    assert run(CALM, Policies()) == run(CALM, Policies())


def test_callers_are_the_same_whatever_is_decided():
    ours, naive = run(CALM, Policies()), run(CALM, NAIVE)
    for name, outcome in ours.classes.items():
        assert naive.classes[name].request_count == outcome.request_count


@pytest.mark.parametrize("seed", [1, 2])
def test_shared_calls_keep_a_calm_fleet_in_time(seed):
    """Guards against a third of all requests being late without bursts.

    Requests arrive a few at a time, at two thirds of the capacity with full batches.
    Without batching across requests, each request has calls of its own, whose overhead
    is five times the work in them.
    """
    ours = run(SCENARIOS["calm"], Policies(), seed)
    naive = run(SCENARIOS["calm"], NAIVE, seed)
    assert ours.credit > 0.9
    assert naive.credit < ours.credit - 0.1


@pytest.mark.parametrize("seed", [1, 2])
def test_bursts_leave_nobody_unserved(seed):
    """Guards against a tenth of all requests being refused twice after a burst.

    One class arrives at 2.3 times its rate for six seconds, twice. Refusals repeat if
    retried requests are admitted like new ones.
    """
    outcome = run(SCENARIOS["bursts"], Policies(), seed)
    assert outcome.credit > 0.85
    assert outcome.unserved_share < 0.02
    assert outcome.unread_share < 0.02


def test_owner_of_stage_work_is_not_short_of_its_link():
    """Guards against calls that queue for the saturated link of their group's owner."""
    outcome = run_trial(SHAPES["luzon-grown-linked"], CALM, Policies(), 1)
    assert outcome.busiest_link < BUSY_SHARE
    for one in outcome.classes.values():
        assert one.in_time_share > 0.9


def test_what_is_begun_in_a_burst_is_on_time():
    """Guards against a queue in which most started requests end shortly too late."""
    burst = Scenario(
        name="burst", seconds=12.0, bursts=(Burst("draft", 3.0, 6.0, 3.2),)
    )
    outcome = run_trial(SHAPES["kyushu-grown-linked"], burst, Policies(), 1)
    for one in outcome.classes.values():
        assert one.late < one.in_time / 2
