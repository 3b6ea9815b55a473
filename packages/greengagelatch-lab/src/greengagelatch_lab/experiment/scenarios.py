"""Load and faults of each experiment, and the run of a trial."""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

from greengagelatch.config.objects import StageKind

from ..fleets import Fleet
from .entry import Entry, RequestRun
from .events import EventClock
from .fleet import DELAYED_REPORTS, IMMEDIATE_REPORTS, ModelDirectory, ModelFleet
from .models import EngineRule
from .traces import (
    Request,
    TraceRule,
    find_full_scale,
    plan_requests,
    read_snapshot,
)

__all__ = ("SCENARIOS", "Fault", "FaultKind", "Scenario", "Trial", "run_trial")

#: number of entry instances in each data centre
ENTRIES_PER_DATA_CENTRE = 3
#: seconds for which the load balancer still sends to failed instances
BALANCER_LAG = 1.0
#: seconds of the warm-up, and of the measured period after it
WARM_UP = 30.0
MEASURED = 30.0
#: seconds from the start at which faults are injected
FAULT_AT = 35.0
#: seconds for the last requests to end; longer than any deadline
DRAIN_SECONDS = 8.0


class FaultKind(Enum):
    """Kind of a fault."""

    SLOW = "slow"
    DEAD = "dead"
    CENTRE = "centre"


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault that lasts to the end of the trial.

    ``index`` is that of an engine, or of a data centre if a data centre fails.
    """

    kind: FaultKind
    index: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class Scenario:
    """Load and faults of one experiment."""

    name: str
    load: float
    burst: tuple[float, float, float] | None = None
    faults: tuple[Fault, ...] = ()


SLOW = Fault(FaultKind.SLOW, 1)
DEAD = Fault(FaultKind.DEAD, 2)

SCENARIOS = (
    Scenario(name="steady", load=0.6),
    Scenario(name="burst", load=0.6, burst=(40.0, 45.0, 1.2)),
    Scenario(name="slow-target", load=0.6, faults=(SLOW,)),
    Scenario(name="failed-target", load=0.6, faults=(DEAD,)),
    Scenario(name="failed-data-centre", load=0.5, faults=(Fault(FaultKind.CENTRE, 1),)),
    Scenario(name="load-0.8", load=0.8),
    Scenario(name="load-1.0", load=1.0),
    Scenario(name="load-1.3", load=1.3),
    Scenario(name="load-2.0", load=2.0),
    Scenario(name="load-1.3-slow-failed", load=1.3, faults=(SLOW, DEAD)),
)


@dataclass(frozen=True, slots=True, kw_only=True)
class Trial:
    """The requests of one run and their results."""

    fleet: Fleet
    scenario: Scenario
    engine: EngineRule
    requests: tuple[Request, ...]
    runs: Sequence[RequestRun]
    #: ids of the requests that were sent to a failed instance
    lost: frozenset[int]

    @property
    def counted(self) -> list[RequestRun]:
        """Runs of the requests in the measured period."""
        return [run for run in self.runs if is_counted(run.request)]


def is_counted(request: Request) -> bool:
    """Return whether a request arrived in the measured period."""
    return WARM_UP <= request.received < WARM_UP + MEASURED


def run_trial(
    fleet: Fleet,
    scenario: Scenario,
    entry_type: type[Entry],
    seed: int,
    *,
    informed: bool = False,
    **values,
) -> Trial:
    """Run one scenario under one policy.

    :param informed: send all requests to a single instance with nearly continuous
        load reports, which shows the policy without stale or partial information
    """
    engine = EngineRule()
    snapshot = read_snapshot(fleet)
    rule = TraceRule(
        warm_up=WARM_UP,
        seconds=MEASURED,
        load=scenario.load,
        burst=scenario.burst,
    )
    scale = find_full_scale(fleet, snapshot, engine)
    requests = plan_requests(fleet, snapshot, rule, scale, seed)
    clock = EventClock()
    model = ModelFleet(fleet, clock, engine)
    centres = [
        name for name in fleet.data_centres for _ in range(ENTRIES_PER_DATA_CENTRE)
    ]
    if informed:
        centres = list(fleet.data_centres[:1])
    entries = []
    for index, centre in enumerate(centres):
        source = random.Random(f"{seed}/{index}")
        instance_id = f"entry-{index}"
        entries.append(
            entry_type(
                snapshot=snapshot,
                sender_count=len(centres),
                streams=frozenset(t.pipeline for t in fleet.traffic if t.stream),
                instance_id=instance_id,
                data_centre=centre,
                clock=clock,
                fleet=model,
                directory=ModelDirectory(
                    instance_id,
                    model,
                    source,
                    IMMEDIATE_REPORTS if informed else DELAYED_REPORTS,
                ),
                random_source=source,
                **values,
            )
        )
    for fault in scenario.faults:
        clock.call_at(FAULT_AT, lambda f=fault: _apply(f, fleet, model, entries))
    runs: list[RequestRun] = []
    lost: set[int] = set()
    balancer = random.Random(f"{seed}/balancer")
    for request in requests:
        draw = balancer.random()
        clock.call_at(
            request.received,
            lambda r=request, d=draw: _balance(r, d, entries, clock, runs, lost),
        )
    clock.run(WARM_UP + MEASURED + DRAIN_SECONDS)
    return Trial(
        fleet=fleet,
        scenario=scenario,
        engine=engine,
        requests=requests,
        runs=runs,
        lost=frozenset(lost),
    )


def _balance(
    request: Request,
    draw: float,
    entries: list[Entry],
    clock: EventClock,
    runs: list[RequestRun],
    lost: set[int],
) -> None:
    known = entries
    if clock.now() > FAULT_AT + BALANCER_LAG:
        known = [entry for entry in entries if entry.alive]
    entry = known[int(draw * len(known))]
    if not entry.alive:
        lost.add(id(request))
    runs.append(entry.start(request))


def _apply(fault: Fault, fleet: Fleet, model: ModelFleet, entries: list[Entry]) -> None:
    engines = [
        model.models[f"{service.name}-{index}"]
        for service in fleet.services
        if service.kind is StageKind.GENERATE
        for index in range(service.replicas)
    ]
    match fault.kind:
        case FaultKind.SLOW:
            engines[fault.index].slow = 10.0
        case FaultKind.DEAD:
            engines[fault.index].kill()
        case FaultKind.CENTRE:
            name = fleet.data_centres[fault.index]
            for target in model.models.values():
                if target.target.data_centre == name:
                    target.silent = True
            for entry in entries:
                if entry.data_centre == name:
                    entry.alive = False
