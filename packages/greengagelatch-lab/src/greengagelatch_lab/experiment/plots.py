"""Plots of the results of experiments."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path

import matplotlib

from .comparison import Comparison, spread

__all__ = ("draw_attainment",)

#: a fixed salt makes element ids, and so the files, reproducible
matplotlib.use("svg")
matplotlib.rcParams["svg.hashsalt"] = "greengagelatch"
matplotlib.rcParams["svg.fonttype"] = "none"


def draw_attainment(comparisons: Sequence[Comparison], path: Path) -> None:
    """Plot the attainment of all scenarios of one fleet."""
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(8, 3.6), layout="constrained")
    names = [each.scenario.name for each in comparisons]
    series = {
        "bound": [each.bounds for each in comparisons],
        "ours": [
            [s.attainment for s in each.summaries["ours"]] for each in comparisons
        ],
        "naive": [
            [s.attainment for s in each.summaries["naive"]] for each in comparisons
        ],
    }
    width = 0.8 / len(series)
    for index, (label, rows) in enumerate(series.items()):
        spreads = [spread(row) for row in rows]
        places = [place + index * width for place in range(len(names))]
        errors = [
            [each.median_value - each.minimum for each in spreads],
            [each.maximum - each.median_value for each in spreads],
        ]
        middles = [each.median_value for each in spreads]
        axes.bar(places, middles, width, yerr=errors, label=label)
    axes.set_xticks([place + width for place in range(len(names))], names, rotation=30)
    axes.set_ylabel("attainment")
    axes.set_ylim(0.5, 1.02)
    axes.legend(ncols=3, loc="lower left")
    figure.savefig(path, metadata={"Date": None})
    pyplot.close(figure)
