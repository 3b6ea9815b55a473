"""One run of the soak: fleet, callers and schedule of one seed."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from .callers import Caller
from .checks import Evidence, check
from .disturbances import Cause, Outage, Periods
from .fleet import BRITTLE_SERVICE, LinkedFleet
from .schedule import draw_schedule
from .stops import draw_planned_work

if TYPE_CHECKING:
    from pathlib import Path

    from ..platform_standins.targets import SimulatedTarget
    from .callers import Outcome
    from .disturbances import Disturbance

__all__ = ("SoakReport", "run_soak")

#: fewest and most instances
MIN_INSTANCES, MAX_INSTANCES = 3, 4
#: callers of each instance
CALLERS = 5
#: seconds allowed for everything to end after the last request
END_SECONDS = 90.0


@dataclass(frozen=True, slots=True, kw_only=True)
class SoakReport:
    """What one run has shown."""

    seed: int
    schedule: tuple[Disturbance, ...]
    requests: int
    served: int
    #: number of periods by cause
    periods: Counter[Cause]
    violations: tuple[str, ...]

    def __str__(self) -> str:
        causes = ", ".join(f"{n} {one.value}" for one, n in self.periods.items())
        words = f"seed {self.seed}: {self.served} of {self.requests} requests served"
        lines = [f"{words}; {causes}"]
        if self.violations:
            lines += [f"  at {one.at:.3f} s: {one}" for one in self.schedule]
            lines += [f"  FAILED {one}" for one in self.violations]
        return "\n".join(lines)


async def run_soak(seed: int, seconds: float, directory: Path) -> SoakReport:
    """Run a soak and check it.

    :param seconds: time in which disturbances begin
    :param directory: receives the processes' settings and logs
    """
    random_source = random.Random(seed)
    count = random_source.randint(MIN_INSTANCES, MAX_INSTANCES)
    fleet = LinkedFleet(directory, count)
    try:
        await fleet.start()
        return await _disturb(fleet, seed, seconds, random_source)
    finally:
        await fleet.stop()


async def _disturb(
    fleet: LinkedFleet, seed: int, seconds: float, random_source: random.Random
) -> SoakReport:
    names = [one.name for one in fleet.instances]
    schedule = draw_schedule(
        random_source,
        seconds,
        names,
        [one.target_id for one in fleet.targets if one not in fleet.newer],
        sorted({one.service for one in fleet.targets}),
    )
    if not any(isinstance(one, Outage) for one in schedule):
        # of a source of its own, so that the rest of a seed stays as it is
        stops = random.Random(f"{seed}-planned")
        schedule += draw_planned_work(stops, seconds, names)
        schedule.sort(key=lambda one: one.at)
    outcomes = fleet.outcomes
    periods = Periods()
    stopped = asyncio.Event()
    async with asyncio.timeout(seconds + END_SECONDS), asyncio.TaskGroup() as callers:
        for caller in _create_callers(fleet, seed, outcomes):
            callers.create_task(caller.run(stopped))
        async with asyncio.TaskGroup() as group:
            for disturbance in schedule:
                group.create_task(_run_at(disturbance, fleet, periods))
        stopped.set()
    evidence = _collect(fleet, outcomes, periods)
    return SoakReport(
        seed=seed,
        schedule=tuple(schedule),
        requests=len(outcomes),
        served=sum(one.served for one in outcomes),
        periods=Counter(one.cause for one in periods.all),
        violations=tuple(check(evidence)),
    )


def _create_callers(
    fleet: LinkedFleet, seed: int, outcomes: list[Outcome]
) -> list[Caller]:
    return [
        Caller(
            f"{instance.name}-{number}",
            instance.name,
            instance.front,
            random.Random(f"{seed}-{instance.name}-{number}"),
            outcomes.append,
            [(one.name, one.front) for one in fleet.instances if one is not instance],
        )
        for instance in fleet.instances
        for number in range(CALLERS)
    ]


async def _run_at(
    disturbance: Disturbance, fleet: LinkedFleet, periods: Periods
) -> None:
    await asyncio.sleep(disturbance.at)
    await disturbance.run(fleet, periods)


def _collect(fleet: LinkedFleet, outcomes: list[Outcome], periods: Periods) -> Evidence:
    runs: Counter[str] = Counter()
    reached: set[str] = set()
    for target in fleet.targets:
        runs += target.runs
        reached.update(one.headers.get("x-attempt-id", "") for one in target.received)
        reached.update(request_id for request_id, _, _ in target.pieces)
    return Evidence(
        instances=[one.name for one in fleet.instances],
        outcomes=tuple(outcomes),
        periods=periods,
        runs=runs,
        reached=frozenset(reached),
        leavings=[
            (one.service, leaving)
            for one in fleet.targets
            for leaving in (*one.former_leavings, one.announced_leaving)
        ],
        rests=[
            (one.service, rest)
            for one in fleet.targets
            for rest in (*one.former_rests, one.announced_rest)
        ],
        names=fleet.names,
        rates=[one.announced_rate for one in fleet.find_targets(BRITTLE_SERVICE)],
        brittle_targets=len(fleet.find_targets(BRITTLE_SERVICE)),
        process_faults=_find_process_faults(fleet, periods),
    )


def _find_process_faults(fleet: LinkedFleet, periods: Periods) -> list[str]:
    faults = [
        f"{one.instances[0]} ended by itself or with an error"
        for one in periods.find(Cause.EXIT)
    ]
    faults += [
        f"{one.instances[0]} did not end within its grace period"
        for one in periods.find(Cause.OVERDUE)
    ]
    for instance in fleet.instances:
        if not fleet.links[instance.name].count_accepted():
            faults.append(f"{instance.name} has used none of its links")
        if instance.process.returncode is not None:
            faults.append(f"{instance.name} ended by itself")
        text = instance.log.read_text(encoding="utf-8")
        if "Traceback" in text:
            faults.append(f"{instance.name}: traceback in {instance.log}")
    for target in fleet.targets:
        # handles contain the address of their maker, so that results are freed there
        if not target.pieces and target.connections > _count_accepted(fleet, target):
            faults.append(f"{target.target_id} was reached past the links")
    return faults


def _count_accepted(fleet: LinkedFleet, target: SimulatedTarget) -> int:
    links = fleet.links.values()
    return sum(one.count_accepted(target.target_id) for one in links)
