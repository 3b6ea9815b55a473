"""Request traces of a fleet, generated from a seed and equal for every policy."""

from __future__ import annotations

import random
from collections.abc import Mapping
from dataclasses import dataclass, field
from math import exp

from greengagelatch.config.ini import parse_objects
from greengagelatch.config.objects import Pipeline, Service, Stage, StageKind
from greengagelatch.config.snapshot import Snapshot

from ..fleets import Fleet
from ..load.arrivals import Arrival, plan_arrivals
from .models import EngineRule, Work

__all__ = ("Request", "TraceRule", "find_full_scale", "plan_requests", "read_snapshot")

#: median service time of a call in seconds, by kind of stage
POOL_SECONDS = {
    StageKind.PLAIN: 0.05,
    StageKind.ENCODE: 0.03,
    StageKind.RETRIEVE: 0.04,
    StageKind.RERANK: 0.06,
}
#: standard deviation of the logarithm of service times
POOL_SIGMA = 0.4
#: maximum load during the warm-up
WARM_UP_LOAD = 0.6


@dataclass(frozen=True, slots=True, kw_only=True)
class TraceRule:
    """Load of a trace over time."""

    #: seconds of moderate load up front, which give the scheduler duration samples
    warm_up: float
    #: seconds of the measured load
    seconds: float
    #: load as a share of the engines' capacity without cached prefixes
    load: float
    #: start, end and load of an additional burst
    burst: tuple[float, float, float] | None = None


@dataclass(slots=True, eq=False, kw_only=True)
class Request:
    """One request and the work of its stages."""

    arrival: Arrival
    pipeline: Pipeline
    received: float
    deadline: float
    work: Mapping[str, Work] = field(default_factory=dict)


def read_snapshot(fleet: Fleet) -> Snapshot:
    """Return the fleet's configuration objects as a snapshot."""
    objects = parse_objects(fleet.read_objects()).unwrap()
    return Snapshot(
        generation=1,
        pipelines={each.name: each for each in objects if isinstance(each, Pipeline)},
        services={each.name: each for each in objects if isinstance(each, Service)},
    )


def find_full_scale(fleet: Fleet, snapshot: Snapshot, engine: EngineRule) -> float:
    """Return the traffic scale that saturates the engines without cached prefixes."""
    best = engine.find_best_batch()
    token = engine.measure_step(best) / best
    busy = 0.0
    for traffic in fleet.traffic:
        for stage in snapshot.pipelines[traffic.pipeline].stages:
            if stage.kind is StageKind.GENERATE:
                tokens = sum(traffic.token_range) / 2
                busy += traffic.rate * (engine.prefill + tokens * token)
    replicas = sum(
        service.replicas
        for service in fleet.services
        if service.kind is StageKind.GENERATE
    )
    return replicas / busy


def plan_requests(
    fleet: Fleet, snapshot: Snapshot, rule: TraceRule, full_scale: float, seed: int
) -> tuple[Request, ...]:
    """Generate the requests of one run, ordered by arrival time."""
    source = random.Random(seed)
    spans = [
        (0.0, rule.warm_up, min(rule.load, WARM_UP_LOAD)),
        (rule.warm_up, rule.warm_up + rule.seconds, rule.load),
    ]
    if rule.burst is not None:
        spans.append(rule.burst)
    planned = []
    for start, end, load in spans:
        arrivals = plan_arrivals(
            fleet, seconds=end - start, scale=full_scale * load, random_source=source
        )
        planned.extend((start + arrival.offset, arrival) for arrival in arrivals)
    planned.sort(key=lambda pair: pair[0])
    requests = []
    for received, arrival in planned:
        # a duplicate of a keyed request is served from the stored result
        if arrival.retry_of is not None:
            continue
        pipeline = snapshot.pipelines[arrival.pipeline]
        requests.append(
            Request(
                arrival=arrival,
                pipeline=pipeline,
                received=received,
                deadline=received + arrival.deadline_ms / 1000,
                work={
                    stage.name: _draw_work(stage, arrival, source)
                    for stage in pipeline.stages
                },
            )
        )
    return tuple(requests)


def _draw_work(stage: Stage, arrival: Arrival, source: random.Random) -> Work:
    if stage.kind is StageKind.GENERATE:
        return Work(tokens=arrival.input["tokens"], prefix=arrival.input["prefix"])
    spread = exp(source.gauss(0, POOL_SIGMA))
    return Work(seconds=POOL_SECONDS[stage.kind] * spread)
