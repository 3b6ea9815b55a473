"""Runs many cells and formats their outcomes."""

from __future__ import annotations

import json
import logging
import signal
import warnings
from collections import Counter
from collections.abc import Iterable, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from .cells import COLUMNS, REQUEST_STEPS, Cell, find_exclusion_reason
from .faults import FAULTS
from .run import run_cell

__all__ = (
    "CellSummary",
    "Outcome",
    "format_attainment",
    "format_json",
    "format_table",
    "run_cells",
)

#: seconds until a cell is aborted as hanging; a cell takes about half a second
CELL_TIMEOUT = 60
#: cells sent to a worker process at a time
CHUNK_SIZE = 4


class Outcome(Enum):
    """The outcome of a cell."""

    HELD = "held"
    FAILED = "failed"
    #: the step was not reached, so that no fault was injected
    NOT_RUN = "not run"
    #: the combination cannot occur
    EXCLUDED = "excused"


#: precedence of outcomes when a cell runs with several seeds, worst first
OUTCOME_PRECEDENCE = (Outcome.FAILED, Outcome.NOT_RUN, Outcome.HELD)


class HangingError(SystemExit):
    """A cell did not end; no ``Exception``, so that no task can suppress it."""


@dataclass(slots=True)
class CellSummary:
    """Outcome of one cell over all its seeds, with violations or errors."""

    cell: Cell
    outcome: Outcome
    reasons: list[str] = field(default_factory=list)
    #: requests sent while the faults lasted, and those answered before the deadline
    request_count: int = 0
    in_time: int = 0


@dataclass(frozen=True, slots=True)
class _RunOutcome:
    """Outcome of one run of a cell."""

    outcome: Outcome
    reasons: list[str] = field(default_factory=list)
    request_count: int = 0
    in_time: int = 0


def run_cells(
    cells: Sequence[Cell], seeds: Sequence[int], *, workers: int
) -> list[CellSummary]:
    """Run each cell with each seed, except for cells that cannot occur."""
    summaries = [_create_summary(cell) for cell in cells]
    pending = [
        (summary.cell, seed)
        for summary in summaries
        for seed in seeds
        if summary.outcome is Outcome.HELD
    ]
    summaries_by_cell = dict(zip(cells, summaries, strict=True))
    with ProcessPoolExecutor(workers) as executor:
        for (cell, _), found in zip(
            pending, executor.map(_run, pending, chunksize=CHUNK_SIZE), strict=True
        ):
            _update_summary(summaries_by_cell[cell], found)
    return summaries


def _create_summary(cell: Cell) -> CellSummary:
    reason = find_exclusion_reason(cell)
    if reason:
        return CellSummary(cell, Outcome.EXCLUDED, [reason])
    return CellSummary(cell, Outcome.HELD)


def _run(work: tuple[Cell, int]) -> _RunOutcome:
    cell, seed = work
    # errors logged while faults last are expected, and so are coroutines that a
    # killed process never awaits
    logging.disable(logging.CRITICAL)
    warnings.filterwarnings("ignore", message="coroutine .* was never awaited")
    signal.signal(signal.SIGALRM, _interrupt)
    signal.alarm(CELL_TIMEOUT)
    try:
        result = run_cell(cell, seed)
    except HangingError:
        return _RunOutcome(
            Outcome.FAILED, [f"seed {seed}: did not end within {CELL_TIMEOUT} s"]
        )
    except Exception as error:
        reason = f"seed {seed}: {type(error).__name__}: {error}"
        return _RunOutcome(Outcome.FAILED, [reason])
    finally:
        signal.alarm(0)
    if result.not_injected:
        return _RunOutcome(Outcome.NOT_RUN, [f"seed {seed}: {result.not_injected}"])
    reasons = [f"seed {seed}: {one}" for one in result.violations]
    outcome = Outcome.FAILED if reasons else Outcome.HELD
    return _RunOutcome(outcome, reasons, *result.count_in_time())


def _interrupt(_number: int, _frame: Any) -> None:
    raise HangingError


def _update_summary(summary: CellSummary, found: _RunOutcome) -> None:
    summary.outcome = min(summary.outcome, found.outcome, key=OUTCOME_PRECEDENCE.index)
    summary.reasons.extend(found.reasons)
    summary.request_count += found.request_count
    summary.in_time += found.in_time


def format_attainment(summaries: Iterable[CellSummary]) -> str:
    """Return the share of requests answered in time, for each single fault.

    Only cells at request steps count, as an operation such as a planned stop
    lowers the share without any fault.
    """
    request_count: Counter[str] = Counter()
    in_time: Counter[str] = Counter()
    for summary in summaries:
        if len(summary.cell.faults) == 1 and summary.cell.step in REQUEST_STEPS:
            request_count[summary.cell.faults[0]] += summary.request_count
            in_time[summary.cell.faults[0]] += summary.in_time
    width = max(map(len, FAULTS)) + 2
    lines = [
        "share of requests sent during the fault that got a result by their deadline:"
    ]
    for fault in FAULTS:
        if request_count[fault]:
            share = in_time[fault] / request_count[fault]
            lines.append(f"  {fault:{width}}{share:7.1%} of {request_count[fault]}")
    return "\n".join(lines)


def format_table(summaries: Iterable[CellSummary]) -> str:
    """Return the outcomes of single faults as tables of faults by steps."""
    found = {
        (summary.cell.faults[0], summary.cell.step): summary
        for summary in summaries
        if len(summary.cell.faults) == 1
    }
    width = max(map(len, FAULTS)) + 2
    lines = []
    for title, steps in COLUMNS.items():
        lines.append(f"{title}: " + ", ".join(step.value for step in steps))
        for fault in FAULTS:
            row = [found.get((fault, step)) for step in steps]
            words = [one.outcome.value if one is not None else "" for one in row]
            cells = "".join(f"{word:9}" for word in words)
            lines.append(f"  {fault:{width}}{cells}".rstrip())
        lines.append("")
    return "\n".join(lines)


def format_json(summaries: Sequence[CellSummary], seeds: Sequence[int]) -> str:
    """Return the number of cells by outcome and the reasons as one line of JSON."""
    counts = Counter(summary.outcome for summary in summaries)
    reasons: dict[str, dict[str, list[str]]] = {}
    for summary in summaries:
        if summary.outcome in (Outcome.FAILED, Outcome.NOT_RUN):
            kind = reasons.setdefault(summary.outcome.value, {})
            kind[str(summary.cell)] = summary.reasons
    excuses: dict[str, int] = Counter()
    for summary in summaries:
        if summary.outcome is Outcome.EXCLUDED:
            excuses[summary.reasons[0]] += 1
    fields = {
        "held": counts[Outcome.HELD],
        "failed": counts[Outcome.FAILED],
        "not_run": counts[Outcome.NOT_RUN],
        "excused": counts[Outcome.EXCLUDED],
        "seeds": list(seeds),
        "reasons": reasons | {"excused": excuses},
    }
    return json.dumps(fields)
