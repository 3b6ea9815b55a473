"""Tests that the feature files cover every cell of the matrix."""

from __future__ import annotations

from pathlib import Path

from greengagelatch_lab.matrix.cells import Cell, find_exclusion_reason, list_cells
from greengagelatch_lab.matrix.faults import FAULTS
from greengagelatch_lab.matrix.steps import Step

FEATURES = Path(__file__).parent


def read_cells() -> list[Cell]:
    steps = {step.value: step for step in Step}
    cells = []
    for path in sorted(FEATURES.glob("*.feature")):
        for line in path.read_text(encoding="utf-8").splitlines():
            words = [word.strip() for word in line.split("|")]
            if len(words) == 4 and words[1] in FAULTS:
                cells.append(Cell((words[1],), steps[words[2]]))
    return cells


def test_every_cell_is_in_a_feature_or_excused():
    cells = read_cells()
    assert len(cells) == len(set(cells))
    wanted = {cell for cell in list_cells() if not find_exclusion_reason(cell)}
    assert set(cells) == wanted
