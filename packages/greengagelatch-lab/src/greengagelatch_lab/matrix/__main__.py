"""Runs the fault matrix: ``python -m greengagelatch_lab.matrix``."""

from __future__ import annotations

import argparse
import os
import sys

from .cells import list_cells, list_pairs
from .table import Outcome, format_attainment, format_json, format_table, run_cells

#: maximum number of violations printed for one failed cell
MAX_SHOWN = 4


def main() -> int:
    """Run the matrix and print its result tables, followed by a line of JSON."""
    options = _read_options()
    seeds = range(options.first_seed, options.first_seed + options.seeds)
    cells = list_cells()
    if options.pairs:
        cells += list_pairs()
    cells = tuple(cell for cell in cells if options.only in str(cell))
    hashing = os.environ.get("PYTHONHASHSEED", "random")
    words = f"seeds {seeds[0]} to {seeds[-1]}, PYTHONHASHSEED {hashing}"
    print(f"{words}, {len(cells)} cells", flush=True)
    summaries = run_cells(cells, seeds, workers=options.workers)
    print(format_table(summaries))
    print(format_attainment(summaries))
    for summary in summaries:
        if summary.outcome is not Outcome.FAILED:
            continue
        print(f"FAILED {summary.cell}")
        for reason in summary.reasons[:MAX_SHOWN]:
            print(f"  {reason}")
    print(format_json(summaries, seeds))
    return any(summary.outcome is Outcome.FAILED for summary in summaries)


def _read_options() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--seeds", type=int, default=1, help="number of seeds to run each cell with"
    )
    parser.add_argument("--first-seed", type=int, default=1)
    parser.add_argument("--workers", type=int, default=2)
    parser.add_argument(
        "--only", default="", help="run only cells whose name contains this text"
    )
    parser.add_argument(
        "--pairs",
        action="store_true",
        help="also run pairs of faults at selected steps",
    )
    return parser.parse_args()


if __name__ == "__main__":
    sys.exit(main())
