"""Results of experiments as a Markdown page of tables."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from .comparison import COMPARED, Comparison, spread
from .scenarios import (
    BALANCER_LAG,
    ENTRIES_PER_DATA_CENTRE,
    FAULT_AT,
    MEASURED,
    WARM_UP,
)
from .summary import Summary

__all__ = ("build_page",)

HEAD = """# Load: decisions under load, measured

Made by `make bench`; the decision code runs against modelled targets, see
`greengagelatch_lab.experiment`. Figures are medians over {seeds} seeds, with minimum
and maximum in brackets. Load 1.0 fills the engines while no prompt prefix is cached.
There are {entries} entry instances in each data centre; {warm_up:g} s of moderate load
precede the measured {measured:g} s. Faults begin after {fault:g} s and persist; the
load balancer sends to failed instances for {lag:g} s more. An engine with a batch of n
takes 12 ms * (1 + 0.1 (n - 1) + 0.05 max(0, n - 10)^2) for a token of each, reports
a capacity of 16 and caches 8 prefixes; load reports come once a second, 0.25 s late.

Attainment is the share of requests answered in full within their deadline. The bound
is computed from the whole trace, with all targets of a service pooled, every prefix
cached and every batch of optimal size; no policy can reach it under overload.
"Informed" is the same code in one instance that takes all requests and sees all loads
at once: the difference to it is the cost of many instances with partial and stale
information. Wasted is the share of target seconds spent on calls whose request was not
attained.
"""


def build_page(comparisons: Sequence[Comparison], seeds: int) -> str:
    """Build the Markdown page."""
    lines = [
        HEAD.format(
            seeds=seeds,
            entries=ENTRIES_PER_DATA_CENTRE,
            warm_up=WARM_UP,
            measured=MEASURED,
            fault=FAULT_AT,
            lag=BALANCER_LAG,
        )
    ]
    for fleet in dict.fromkeys(each.fleet for each in comparisons):
        own = [each for each in comparisons if each.fleet == fleet]
        lines.append(f"## {fleet.capitalize()}\n")
        lines.extend(_build_attainment(own))
        lines.extend(_build_quality(own))
        lines.extend(_build_groups(own, "pipeline", lambda s: s.by_pipeline))
        lines.extend(_build_groups(own, "workspace", lambda s: s.by_workspace))
        lines.extend(_build_costs(own))
        lines.extend(_build_weights(own))
    return "\n".join(lines).rstrip() + "\n"


def _build_attainment(comparisons: list[Comparison]) -> list[str]:
    rows = []
    for each in comparisons:
        ours, naive = each.summaries["ours"], each.summaries["naive"]
        rows.append(
            [
                each.scenario.name,
                _show(each.bounds),
                _show([s.attainment for s in ours]),
                _show([s.attainment for s in naive]),
                _show([s.attainment for s in each.summaries["informed"]]),
                _show([s.wasted_share for s in ours]),
                _show([s.wasted_share for s in naive]),
                _show([s.refused for s in ours]),
                _show([s.fairness for s in ours]),
            ]
        )
    head = (
        "scenario|bound|ours|naive|informed|wasted|wasted, naive|refused|Jain's index"
    )
    return _build_table("Attainment and waste", head.split("|"), rows)


def _build_quality(comparisons: list[Comparison]) -> list[str]:
    rows = []
    for each in comparisons:
        for name in ("ours", "naive"):
            summaries = each.summaries[name]
            rows.append(
                [
                    f"{each.scenario.name}, {name}",
                    _show_percentiles([s.latency for s in summaries]),
                    _show_percentiles([s.first_token for s in summaries]),
                    _show([s.goodput for s in summaries], 1),
                    _show([sum(s.useful.values()) / MEASURED for s in summaries], 1),
                    _show([s.retries for s in summaries]),
                    _show([s.hedges for s in summaries]),
                ]
            )
    head = (
        "scenario|answer, s: p50 p95 p99|first token, s: p50 p95 p99"
        "|attained a second|useful target seconds a second|retries|backups"
    )
    return _build_table("Times, goodput and extra calls", head.split("|"), rows)


def _build_groups(
    comparisons: list[Comparison],
    group: str,
    read: Callable[[Summary], dict[str, float]],
) -> list[str]:
    names = sorted(read(comparisons[0].summaries["ours"][0]))
    rows = []
    for each in comparisons:
        for variant in ("ours", "naive"):
            summaries = each.summaries[variant]
            cells = [_show([read(s)[name] for s in summaries]) for name in names]
            rows.append([f"{each.scenario.name}, {variant}", *cells])
    return _build_table(f"Attainment by {group}", ["scenario", *names], rows)


def _build_costs(comparisons: list[Comparison]) -> list[str]:
    names = sorted(
        {name for c in comparisons for name in c.summaries["ours"][0].useful}
    )
    rows = []
    for each in comparisons:
        cells = []
        for name in names:
            useful = [s.useful.get(name, 0.0) for s in each.summaries["ours"]]
            wasted = [s.wasted.get(name, 0.0) for s in each.summaries["ours"]]
            cells.append(
                f"{spread(useful).median_value:.0f} + {spread(wasted).median_value:.1f}"
            )
        rows.append([each.scenario.name, *cells])
    title = "Cost by stage, ours: target seconds useful + wasted"
    return _build_table(title, ["scenario", *names], rows)


def _build_weights(comparisons: list[Comparison]) -> list[str]:
    rows = []
    for each in comparisons:
        if len(each.summaries) <= len(COMPARED):
            continue
        for name, summaries in each.summaries.items():
            if name in ("naive", "informed"):
                continue
            rows.append(
                [
                    f"{each.scenario.name}, {name}",
                    _show([s.attainment for s in summaries]),
                    _show([s.wasted_share for s in summaries]),
                    _show([s.hedges for s in summaries]),
                ]
            )
    if not rows:
        return []
    head = ["scenario and weights", "attainment", "wasted", "backups"]
    return _build_table("Attainment against cost", head, rows)


def _build_table(title: str, head: list[str], rows: list[list[str]]) -> list[str]:
    lines = [f"### {title}\n", _join(head), _join(["---"] * len(head))]
    lines.extend(_join(row) for row in rows)
    lines.append("")
    return lines


def _join(cells: Sequence[str]) -> str:
    return "| " + " | ".join(cells) + " |"


def _show(values: Sequence[float], digits: int = 3) -> str:
    found = spread(values)
    median_value = f"{found.median_value:.{digits}f}"
    if found.minimum == found.maximum:
        return median_value
    return f"{median_value} ({found.minimum:.{digits}f}-{found.maximum:.{digits}f})"


def _show_percentiles(values: Sequence[tuple[float, float, float]]) -> str:
    columns = zip(*values, strict=True)
    return " ".join(f"{spread(column).median_value:.2f}" for column in columns)
