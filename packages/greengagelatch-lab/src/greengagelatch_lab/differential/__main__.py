"""Compare both systems: ``python -m greengagelatch_lab.differential``."""

from __future__ import annotations

import argparse
import json
import sys
from concurrent.futures import ProcessPoolExecutor

from .comparison import CATEGORIES, Comparison, compare

#: maximum number of failing histories to print
MAX_SHOWN = 3


def main() -> int:
    """Replay the histories of several seeds and print each system's violations."""
    options = _read_options()
    seeds = range(options.first_seed, options.first_seed + options.seeds)
    print(f"seeds {seeds[0]} to {seeds[-1]}, {options.examples} histories each")
    with ProcessPoolExecutor(options.workers) as executor:
        found = list(executor.map(compare, seeds, [options.examples] * len(seeds)))
    total = Comparison()
    for comparison in found:
        total.histories += comparison.histories
        total.ours.update(comparison.ours)
        total.naive.update(comparison.naive)
        total.failures.extend(comparison.failures)
    print(f"{'histories in which was':24}{'system':>8}{'naive':>8}")
    for category in CATEGORIES:
        ours, naive = total.ours[category], total.naive[category]
        print(f"  {category:22}{ours:8}{naive:8}")
    for history, breaches in total.failures[:MAX_SHOWN]:
        print(f"FAILED {history}")
        print("\n".join(f"  {breach}" for breach in breaches))
    fields = {
        "histories": total.histories,
        "seeds": list(seeds),
        "ours": total.ours,
        "naive": total.naive,
    }
    print(json.dumps(fields))
    return bool(total.failures)


def _read_options() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--first-seed", type=int, default=1)
    parser.add_argument(
        "--examples", type=int, default=150, help="histories for each seed"
    )
    parser.add_argument("--workers", type=int, default=2)
    return parser.parse_args()


if __name__ == "__main__":
    sys.exit(main())
