"""Tests of greengagelatch_lab.experiment.scenarios."""

from __future__ import annotations

from greengagelatch_lab.experiment.bound import compute_attainment_bound
from greengagelatch_lab.experiment.policies import NaiveEntry, SchedulingEntry
from greengagelatch_lab.experiment.scenarios import (
    SCENARIOS,
    Fault,
    FaultKind,
    Scenario,
    run_trial,
)
from greengagelatch_lab.experiment.summary import summarise
from greengagelatch_lab.fleets import KYUSHU, LUZON

BY_NAME = {scenario.name: scenario for scenario in SCENARIOS}


def test_equal_seeds_give_equal_figures():
    first = summarise(run_trial(KYUSHU, BY_NAME["slow-target"], SchedulingEntry, 5))
    again = summarise(run_trial(KYUSHU, BY_NAME["slow-target"], SchedulingEntry, 5))
    assert first == again


def test_no_short_call_is_late_at_full_load():
    """Guards against short calls missing their deadline behind long drafts.

    The engines are saturated with shift-plan drafts when bookings, status calls and
    profile checks arrive.
    """
    trial = run_trial(LUZON, BY_NAME["load-1.0"], SchedulingEntry, 3)
    by_pipeline = summarise(trial).by_pipeline
    assert all(by_pipeline[name] == 1.0 for name in ("booking", "status", "audit"))
    assert by_pipeline["profile-check"] == 1.0


def test_overload_with_faults_costs_less_and_answers_more_than_without_limits():
    """Guards against engines wasting most of their time on unanswered requests.

    One engine is slow and one has failed, at a load beyond the capacity of all engines.
    """
    scenario = BY_NAME["load-1.3-slow-failed"]
    ours = summarise(run_trial(KYUSHU, scenario, SchedulingEntry, 4))
    naive = summarise(run_trial(KYUSHU, scenario, NaiveEntry, 4))
    assert ours.attainment > naive.attainment + 0.05
    assert ours.wasted_share < naive.wasted_share / 2
    assert ours.fairness > 0.98


def test_no_trial_exceeds_the_bound():
    scenario = Scenario(
        name="hard", load=2.5, faults=(Fault(FaultKind.DEAD), Fault(FaultKind.SLOW, 1))
    )
    trial = run_trial(KYUSHU, scenario, SchedulingEntry, 2)
    assert summarise(trial).attainment <= compute_attainment_bound(trial) < 1.0
