"""Explores schedules: ``python -m greengagelatch_lab.exploration``."""

from __future__ import annotations

import argparse
import sys
from collections import Counter

from .runs import draw, shorten


def main() -> int:
    """Play one seed after the other, and print each schedule that breaks a rule."""
    options = _read_options()
    broken: Counter[str] = Counter()
    failed = []
    for seed in range(options.first, options.first + options.seeds):
        outcome = draw(seed)
        if not outcome.violations:
            continue
        failed.append(seed)
        broken.update(one.value for one in outcome.rules)
        print(shorten(outcome) if options.shorten else outcome, flush=True)
    counts = ", ".join(f"{name} {count}" for name, count in sorted(broken.items()))
    print(f"{options.seeds} seeds, failed: {failed}; rules: {counts or 'none broken'}")
    return bool(failed)


def _read_options() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=100, help="number of seeds")
    parser.add_argument("--first", type=int, default=1, help="the first seed")
    parser.add_argument(
        "--shorten",
        action="store_true",
        help="print the shortest schedule that breaks the rule",
    )
    return parser.parse_args()


if __name__ == "__main__":
    sys.exit(main())
