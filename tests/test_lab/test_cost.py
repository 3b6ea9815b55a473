"""Tests of the benchmark of starts."""

from __future__ import annotations

from pathlib import Path

import pytest

from greengagelatch_lab.cost import (
    STEPS,
    StartCost,
    format_costs,
    measure_starts,
    parse_import_times,
)

ROOT = Path(__file__).parents[2]


def create_cost(modules: int) -> StartCost:
    return StartCost(
        modules=modules,
        own_modules=20,
        steps=dict.fromkeys(STEPS, modules / 100),
        shares={"a": 0.1, "a.b": 0.3, "c": 0.6},
    )


def test_import_times_are_those_of_each_module_alone() -> None:
    text = (
        "import time: self [us] | cumulative | imported package\n"
        "import time:       120 |        120 |     zlib\n"
        "a line of the program\n"
        "import time:        80 |        200 |   zipfile\n"
    )
    assert parse_import_times(text) == {"zlib": 120, "zipfile": 80}


def test_table_shows_ratios_to_the_other_tree() -> None:
    lines = format_costs([create_cost(100), create_cost(200)]).splitlines()
    assert lines[1].split() == ["modules", "100", "200", "0.5"]
    assert lines[2].split() == ["own", "of", "them", "20", "20", "1"]
    assert lines[7].split() == ["start", "4", "8", "0.5"]


def test_table_sums_modules_by_package() -> None:
    lines = format_costs([create_cost(100)]).splitlines()
    shares = [line.split() for line in lines if line.startswith(("a", "c"))]
    assert shares[:2] == [["c", "0.600"], ["a", "0.400"]]
    assert shares[2:] == [["c", "0.600"], ["a.b", "0.300"], ["a", "0.100"]]


@pytest.mark.processes
def test_start_is_measured_by_step_and_module() -> None:
    (cost,) = measure_starts([ROOT], rounds=1)
    assert tuple(cost.steps) == STEPS
    assert cost.steps["interpreter"] == 1
    assert cost.modules > cost.own_modules > 0
    assert "greengagelatch_platform.program" in cost.shares
    assert sum(cost.shares.values()) == pytest.approx(1)


@pytest.mark.processes
def test_failed_start_is_an_error(tmp_path) -> None:
    """Guards against a tree without the program that seems to start cheaply."""
    with pytest.raises(RuntimeError, match="No module named"):
        measure_starts([tmp_path], rounds=1)
