"""Metrics of one trial."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

import numpy as np

from .entry import RequestRun
from .scenarios import MEASURED, Trial

__all__ = ("Summary", "summarise")


@dataclass(frozen=True, slots=True, kw_only=True)
class Summary:
    """Attainment and cost of one trial."""

    attainment: float
    by_pipeline: dict[str, float]
    by_workspace: dict[str, float]
    #: seconds from arrival to answer of attained requests: 50th, 95th, 99th percentile
    latency: tuple[float, float, float]
    #: seconds to the first token, the same percentiles
    first_token: tuple[float, float, float]
    #: Jain's fairness index over the attainment of the workspaces
    fairness: float
    #: attained requests per second
    goodput: float
    #: target seconds by stage: used for attained requests, and all others
    useful: dict[str, float]
    wasted: dict[str, float]
    wasted_share: float
    #: share of the requests refused before any call
    refused: float
    #: mean number of retries and of hedges per request
    retries: float
    hedges: float


def summarise(trial: Trial) -> Summary:
    """Compute the metrics of the measured period of a trial."""
    runs = trial.counted
    useful: dict[str, float] = defaultdict(float)
    wasted: dict[str, float] = defaultdict(float)
    for run in runs:
        for name, seconds in _split_cost(run):
            costs = useful if run.answered and seconds.useful else wasted
            costs[f"{run.request.pipeline.name}/{name}"] += seconds.cost
    spent, lost = sum(useful.values()), sum(wasted.values())
    attained = [run for run in runs if run.answered]
    by_workspace = _rate(runs, lambda run: run.request.arrival.workspace)
    return Summary(
        attainment=len(attained) / len(runs),
        by_pipeline=_rate(runs, lambda run: run.request.pipeline.name),
        by_workspace=by_workspace,
        latency=_percentiles(run.finished - run.request.received for run in attained),
        first_token=_percentiles(
            run.first_token - run.request.received
            for run in runs
            if run.first_token is not None and run.request.arrival.stream
        ),
        fairness=_compute_fairness(list(by_workspace.values())),
        goodput=len(attained) / MEASURED,
        useful=dict(useful),
        wasted=dict(wasted),
        wasted_share=lost / (spent + lost) if spent + lost else 0.0,
        refused=sum(not run.calls for run in runs) / len(runs),
        retries=sum(run.retries for run in runs) / len(runs),
        hedges=sum(run.hedges for run in runs) / len(runs),
    )


@dataclass(frozen=True, slots=True)
class _Cost:
    cost: float
    useful: bool


def _split_cost(run: RequestRun) -> Iterable[tuple[str, _Cost]]:
    for name, call in run.calls:
        yield name, _Cost(call.cost, call.answered)


def _rate(runs: list[RequestRun], key) -> dict[str, float]:
    offered: dict[str, int] = defaultdict(int)
    attained: dict[str, int] = defaultdict(int)
    for run in runs:
        offered[key(run)] += 1
        attained[key(run)] += run.answered
    return {name: attained[name] / offered[name] for name in sorted(offered)}


def _percentiles(values: Iterable[float]) -> tuple[float, float, float]:
    found = list(values)
    if not found:
        return (0.0, 0.0, 0.0)
    return tuple(float(value) for value in np.percentile(found, (50, 95, 99)))


def _compute_fairness(values: list[float]) -> float:
    squares = sum(value * value for value in values)
    return sum(values) ** 2 / (len(values) * squares) if squares else 1.0
