"""Run the experiments: ``python -m greengagelatch_lab.experiment``."""

from __future__ import annotations

import argparse
import json
import sys
from pathlib import Path

from ..fleets import FLEETS
from .comparison import Comparison, compare, spread
from .plots import draw_attainment
from .tables import build_page

#: default seeds of the trials
SEEDS = (1, 2, 3)
PAGE = "load.md"


def main() -> None:
    """Run the trials, write tables and plots, and print a JSON summary."""
    arguments = _parse()
    comparisons: list[Comparison] = []
    for fleet in arguments.fleet or sorted(FLEETS):
        own = compare(fleet, arguments.scenario, arguments.seeds, _print_progress)
        comparisons.extend(own)
        if arguments.output is not None:
            arguments.output.mkdir(parents=True, exist_ok=True)
            draw_attainment(own, arguments.output / f"load-{fleet}.svg")
    page = build_page(comparisons, len(arguments.seeds))
    if arguments.output is not None:
        (arguments.output / PAGE).write_text(page, encoding="utf-8")
    print(page)
    print(json.dumps(_summarise(comparisons)))


def _parse() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--fleet", action="append", choices=sorted(FLEETS))
    parser.add_argument("--scenario", action="append", default=[])
    parser.add_argument("--seeds", type=int, nargs="+", default=list(SEEDS))
    parser.add_argument(
        "--output", type=Path, help="output directory for the page and the plots"
    )
    return parser.parse_args()


def _print_progress(text: str) -> None:
    print(text, file=sys.stderr, flush=True)


def _summarise(comparisons: list[Comparison]) -> dict[str, dict[str, float]]:
    result = {}
    for each in comparisons:
        ours = each.summaries["ours"]
        naive = each.summaries["naive"]
        result[f"{each.fleet}/{each.scenario.name}"] = {
            "ours": round(spread([s.attainment for s in ours]).median_value, 4),
            "naive": round(spread([s.attainment for s in naive]).median_value, 4),
            "bound": round(spread(each.bounds).median_value, 4),
            "wasted": round(spread([s.wasted_share for s in ours]).median_value, 4),
        }
    return result


if __name__ == "__main__":
    main()
