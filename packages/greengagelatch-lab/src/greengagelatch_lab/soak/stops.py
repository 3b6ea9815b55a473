"""Planned work that overlaps: stops with more signals, and releases."""

from __future__ import annotations

import asyncio
import random
import signal
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..platform_standins.announced_leaving import DRAIN_SECONDS
from .callers import HURRIED_ROUTES, Caller
from .disturbances import Disturbance, Restart, find_instance, is_starting
from .fleet import BRITTLE_SERVICE, TARGETS_PREFIX

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from ..platform_standins.fleet import Instance
    from .disturbances import Periods
    from .fleet import LinkedFleet

__all__ = ("PlannedStop", "Release", "draw_planned_work")

#: callers that send requests until the process is gone, and the average seconds
#: between two requests of one
HURRIED_CALLERS, BETWEEN_HURRIED = 3, 0.05
#: seconds for which they do so before the first signal
HURRIED_BEFORE = 0.4
#: share of runs with planned work that overlaps, and of those with a release
PLANNED_SHARE, RELEASE_SHARE = 0.5, 0.6
#: first time of a stop, and the shortest and longest time between two, in seconds
FIRST_STOP, BETWEEN_STOPS = 2.0, (0.5, 6.0)
#: most signals after the first, and the longest time until one in seconds
MAX_SIGNALS, SIGNAL_SECONDS = 3, 7.0
SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
#: shortest and longest time in seconds for which a target of a release serves
RELEASE_SECONDS = (2.0, 8.0)


@dataclass(frozen=True, slots=True, kw_only=True)
class PlannedStop(Restart):
    """An instance is stopped while callers hurry, and gets more signals."""

    #: signals after SIGTERM, each with its time in seconds after that
    signals: tuple[tuple[float, signal.Signals], ...]

    async def run(self, fleet: LinkedFleet, periods: Periods) -> None:
        """Stop it, and start it again; callers go on until it is ready."""
        instance = find_instance(fleet, self.instance)
        if is_starting(periods, instance):
            return
        gone = asyncio.Event()
        name = f"{self.instance}-hurried-{len(periods.all)}"
        async with asyncio.TaskGroup() as group:
            for number in range(HURRIED_CALLERS):
                caller = _create_caller(fleet, instance, f"{name}-{number}")
                group.create_task(caller.run(gone))
            await asyncio.sleep(HURRIED_BEFORE)
            signals = group.create_task(self._send_signals(instance))
            await Restart.run(self, fleet, periods)
            signals.cancel()
            gone.set()

    async def _send_signals(self, instance: Instance) -> None:
        process = instance.process
        waited = 0.0
        for seconds, number in self.signals:
            await asyncio.sleep(seconds - waited)
            waited = seconds
            if process.returncode is None:
                process.send_signal(number)


@dataclass(frozen=True, slots=True, kw_only=True)
class Release(Disturbance):
    """A target of the plain service joins and leaves again."""

    seconds: float

    async def run(self, fleet: LinkedFleet, periods: Periods) -> None:
        """Start and register it; it serves on until the run ends."""
        target_id = f"{BRITTLE_SERVICE}-{len(fleet.targets)}"
        target = await fleet.add_target(target_id, BRITTLE_SERVICE)
        await asyncio.sleep(self.seconds)
        target.register(fleet.store, "draining")
        await asyncio.sleep(DRAIN_SECONDS)
        fleet.store.remove(f"{TARGETS_PREFIX}{target_id}")


def draw_planned_work(
    random_source: random.Random, seconds: float, instances: Sequence[str]
) -> Iterator[PlannedStop | Release]:
    """Draw planned work for a run of the given length; stops may overlap."""
    if random_source.random() >= PLANNED_SHARE:
        return
    at = random_source.uniform(FIRST_STOP, FIRST_STOP + BETWEEN_STOPS[1])
    while at < seconds:
        count = random_source.randint(0, MAX_SIGNALS)
        signals = [
            (random_source.uniform(0.0, SIGNAL_SECONDS), random_source.choice(SIGNALS))
            for _ in range(count)
        ]
        yield PlannedStop(
            at=at,
            instance=random_source.choice(instances),
            signals=tuple(sorted(signals)),
        )
        if random_source.random() < RELEASE_SHARE:
            length = random_source.uniform(*RELEASE_SECONDS)
            yield Release(at=at + random_source.uniform(0.0, 1.0), seconds=length)
        at += random_source.uniform(*BETWEEN_STOPS)


def _create_caller(fleet: LinkedFleet, instance: Instance, name: str) -> Caller:
    return Caller(
        name,
        instance.name,
        instance.front,
        random.Random(name),
        fleet.outcomes.append,
        routes=HURRIED_ROUTES,
        pause=BETWEEN_HURRIED,
    )
