"""Tests of desired engine states, overflow and the rate of model loads."""

from __future__ import annotations

import math

import pytest

from greengagelatch.config.effects import Placement
from greengagelatch.config.objects import Policy, PolicyEffect, Service, StageKind
from greengagelatch.config.snapshot import Snapshot
from greengagelatch.orders import EngineState
from greengagelatch.orders.budget import LoadBudget
from greengagelatch.orders.rules import Fencing, read_fencing
from greengagelatch.placement.desired import (
    build_desired_state,
    count_loads,
    find_placements,
)
from greengagelatch.placement.overflow import OverflowRule, OverflowState, measure_load
from greengagelatch.targets import Target
from greengagelatch.targets.directory import Candidate, LoadReport

RULE = OverflowRule(high_load=1.2, low_load=0.6, rise_seconds=30, fall_seconds=300)


def create_policy(name, *, workspaces="", services="", **values):
    return Policy(
        name=name,
        effect=PolicyEffect.PLACEMENT,
        workspaces=workspaces,
        services=services,
        values=values,
    )


def find(*policies):
    services = [
        Service(name="writer", kind=StageKind.GENERATE),
        Service(name="desk", kind=StageKind.PLAIN),
    ]
    return find_placements(
        Snapshot(
            generation=1,
            services={service.name: service for service in services},
            policies={policy.name: policy for policy in policies},
        )
    )


def test_only_engines_and_policies_for_all_workspaces_count():
    assert find() == {}
    assert find(create_policy("a", workspaces="tier = gold", models="m")) == {}
    assert find(create_policy("a", services="name = desk", models="m")) == {}
    # says where work runs, but holds nothing to order an engine
    assert find(create_policy("a", data_centres="north")) == {}
    found = find(create_policy("a", models="m"))
    assert found == {"writer": Placement(models=("m",))}


def test_parts_a_placement_omits_stay():
    present = EngineState(models=("old",), adapters=("kept",), role="decode")
    wanted = build_desired_state(Placement(models=("new", "old")), present)
    assert wanted == EngineState(
        models=("new", "old"), adapters=("kept",), role="decode"
    )
    assert count_loads(wanted, present) == 1
    turned = EngineState(models=("old", "new"), adapters=("kept",), role="decode")
    assert wanted.equals(turned)
    assert not wanted.equals(present)


@pytest.mark.parametrize(
    ("labels", "fencing"),
    [
        ({}, Fencing.IGNORED),
        ({"fencing": "ignored"}, Fencing.IGNORED),
        ({"fencing": "Checked"}, Fencing.IGNORED),
        ({"fencing": "checked"}, Fencing.CHECKED),
    ],
)
def test_engines_ignore_fencing_numbers_by_default(labels, fencing):
    service = Service(name="writer", kind=StageKind.GENERATE, labels=labels)
    assert read_fencing(service) is fencing


def follow(state, loads, *, begin=0):
    """Apply one load a second; return the final state and the last second."""
    now = begin
    for now, load in enumerate(loads, begin):
        state = state.update(float(now), load, RULE)
    return state, now


def test_overflow_follows_a_lasting_load():
    state, _ = follow(OverflowState(), [1.3] * 29 + [1.1] + [1.3] * 29)
    assert not state.overflowing
    state, now = follow(OverflowState(), [1.3] * 31)
    assert state.overflowing
    # between the two thresholds nothing changes, however long that lasts
    state, now = follow(state, [0.7] * 1000, begin=now)
    assert state.overflowing
    state, now = follow(state, [0.5] * 299 + [None] + [0.5] * 299, begin=now)
    assert state.overflowing
    state, _ = follow(state, [0.5] * 302, begin=now)
    assert not state.overflowing


def test_load_is_that_of_the_preferred_data_centres():
    placement = Placement(models=("m",), data_centres=("south",))

    def create(number, data_centre, work):
        target = Target(f"t{number}", "writer", data_centre, "127.0.0.1:1")
        report = None
        if work is not None:
            report = LoadReport(in_flight=work, queued=1, capacity=4, taken=0.0)
        return Candidate(target, report)

    here = create(1, "north", 100)
    assert measure_load(placement, [here]) == math.inf
    assert measure_load(placement, [here, create(2, "south", None)]) is None
    south = [create(2, "south", 3), create(3, "south", 7)]
    assert measure_load(placement, [here, *south]) == 12 / 8


def test_new_lease_holder_starts_with_an_empty_budget():
    budget = LoadBudget(at=100.0)
    assert not budget.allows(1)
    assert budget.allows(0)
    budget = budget.refill(110.0, per_minute=6)
    assert budget.allows(3)
    budget = budget.spend(3)
    # the budget is two in debt, and the next load needs a third refilled token
    assert not budget.refill(129.0, per_minute=6).allows(1)
    assert budget.refill(140.0, per_minute=6).allows(1)
    # at most one token accumulates while there is nothing to load
    assert budget.refill(10_000.0, per_minute=6).level == 1.0
