"""Shared steps of the fault matrix's feature files."""

from __future__ import annotations

import os

import pytest
from pytest_bdd import given, parsers, then, when

from greengagelatch_lab.matrix.cells import Cell
from greengagelatch_lab.matrix.run import run_cell
from greengagelatch_lab.matrix.steps import Step

#: seed with which the tests run each cell
SEED = 1


@pytest.fixture
def seed() -> int:
    return SEED


@given("three entry instances in two data centres")
def three_instances(seed):
    print(f"seed {seed}, PYTHONHASHSEED {os.environ.get('PYTHONHASHSEED', 'random')}")


@when(parsers.parse('"{fault}" comes at the step "{step}"'), target_fixture="result")
def one_fault(fault, step, seed):
    return run_cell(Cell((fault,), Step(step)), seed)


@when(
    parsers.parse('"{fault}" and "{other}" come at the step "{step}"'),
    target_fixture="result",
)
def two_faults(fault, other, step, seed):
    return run_cell(Cell((fault, other), Step(step)), seed)


@then("every promise is kept")
def check_guarantees(result):
    assert not result.not_injected
    assert not result.violations, "\n".join(map(str, result.violations))
