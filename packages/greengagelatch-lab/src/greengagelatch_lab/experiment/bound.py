"""Upper bound on the attainment of any policy, given the whole trace in advance."""

from __future__ import annotations

from collections.abc import Callable

import numpy as np

from greengagelatch.config.objects import StageKind

from .fleet import POOL_CAPACITY
from .scenarios import (
    FAULT_AT,
    MEASURED,
    WARM_UP,
    FaultKind,
    Trial,
    is_counted,
)
from .traces import Request

__all__ = ("compute_attainment_bound",)

#: step between the boundaries of the examined intervals, in seconds
STEP = 0.5


def compute_attainment_bound(trial: Trial) -> float:
    """Return an upper bound on the share of counted requests that can be attained.

    Of the requests that both arrive and are due within an interval, no more can be
    answered than the capacity of their service in it allows. The estimate is
    optimistic: smallest requests first, every prompt prefix cached, every batch of
    optimal size, all targets of a service pooled into one. The interval and service
    with the largest shortfall determine the bound. It is not tight: further intervals,
    queueing and the order of stages lower the true optimum.
    """
    counted = [r for r in trial.requests if is_counted(r)]
    feasible = [
        r for r in counted if id(r) not in trial.lost and _is_feasible(trial, r)
    ]
    missed = max(
        (
            _find_shortfall(trial, service.name, service.kind, feasible)
            for service in trial.fleet.services
        ),
        default=0,
    )
    return (len(feasible) - missed) / len(counted)


def _is_feasible(trial: Trial, request: Request) -> bool:
    seconds = 0.0
    for stage in request.pipeline.stages:
        work = request.work[stage.name]
        if stage.kind is StageKind.GENERATE:
            engine = trial.engine
            seconds += engine.prefill * engine.cache_hit_factor
            seconds += work.tokens * engine.token
        else:
            seconds += work.seconds
    return request.received + seconds <= request.deadline


def _measure(trial: Trial, service: str, request: Request) -> float:
    engine = trial.engine
    best = engine.find_best_batch()
    seconds = 0.0
    for stage in request.pipeline.stages:
        if stage.service != service:
            continue
        work = request.work[stage.name]
        if stage.kind is StageKind.GENERATE:
            token = engine.measure_step(best) / best
            seconds += engine.prefill * engine.cache_hit_factor + work.tokens * token
        else:
            seconds += work.seconds / POOL_CAPACITY
    return seconds


def _find_shortfall(
    trial: Trial, service: str, kind: StageKind, requests: list[Request]
) -> int:
    rows = [(r.received, r.deadline, _measure(trial, service, r)) for r in requests]
    table = np.array([row for row in rows if row[2] > 0])
    if not len(table):
        return 0
    table = table[np.argsort(table[:, 2])]
    supply = _create_supply(trial, service, kind)
    ticks = np.arange(WARM_UP, WARM_UP + MEASURED + 8, STEP)
    worst = 0
    for start in ticks:
        inside = table[table[:, 0] >= start]
        for end in ticks[ticks > start]:
            chosen = inside[inside[:, 1] <= end][:, 2]
            fitting = np.searchsorted(
                np.cumsum(chosen), supply(start, end), side="right"
            )
            worst = max(worst, len(chosen) - int(fitting))
    return worst


def _create_supply(
    trial: Trial, service: str, kind: StageKind
) -> Callable[[float, float], float]:
    """Return a function that computes the target seconds available in an interval."""
    fleet = trial.fleet
    replicas = next(each.replicas for each in fleet.services if each.name == service)
    after = [1.0] * replicas
    for fault in trial.scenario.faults:
        if fault.kind is FaultKind.CENTRE:
            for index in range(replicas):
                if index % len(fleet.data_centres) == fault.index:
                    after[index] = 0.0
        elif kind is StageKind.GENERATE:
            after[fault.index] = 0.1 if fault.kind is FaultKind.SLOW else 0.0

    def measure(start: float, end: float) -> float:
        sound = max(0.0, min(end, FAULT_AT) - start)
        failed = max(0.0, end - max(start, FAULT_AT))
        return sound * replicas + failed * sum(after)

    return measure
