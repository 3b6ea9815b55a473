"""Runs of schedules, and the search for the shortest one that breaks a rule."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from ..stage_load.virtual_time import run_in_virtual_time
from .callers import Callers
from .disturbances import Disturber
from .rules import Rulebook
from .schedules import draw_schedule
from .world import World

if TYPE_CHECKING:
    from .rules import Rule, Violation
    from .schedules import Schedule

__all__ = ("Outcome", "draw", "play", "shorten")

#: seconds for which a run goes on after its last disturbance is over
REST_SECONDS = 14.0
#: factor by which durations are shortened, and the shortest in seconds
SHORTER_FACTOR = 0.5
MIN_SECONDS = 0.5


@dataclass(frozen=True, slots=True)
class Outcome:
    """What a run has shown."""

    seed: int
    schedule: Schedule
    violations: tuple[Violation, ...]
    #: broken streams that went on, and that were refused
    went_on: int
    refused: int

    @property
    def rules(self) -> frozenset[Rule]:
        """The rules that were broken."""
        return frozenset(one.rule for one in self.violations)

    def __str__(self) -> str:
        lines = [
            f"seed {self.seed}: {self.went_on} streams went on,"
            f" {self.refused} were refused"
        ]
        lines += [f"  {one}" for one in self.schedule]
        lines += [f"  BROKEN {one}" for one in self.violations]
        return "\n".join(lines)


def draw(seed: int) -> Outcome:
    """Play the schedule that a seed gives."""
    return play(seed, draw_schedule(random.Random(seed)))


def play(seed: int, schedule: Schedule) -> Outcome:
    """Play a schedule in virtual time.

    :param seed: of everything else that is random, such as the order of messages
    """
    return run_in_virtual_time(_play(seed, schedule))


async def _play(seed: int, schedule: Schedule) -> Outcome:
    world = World(seed)
    rules = Rulebook()
    callers = Callers(world, rules)
    disturber = Disturber(world)
    await world.start()
    world.run_task(callers.probe_forever())
    world.run_task(callers.stream_forever())
    for disturbance in schedule:
        world.run_task(disturber.cause(disturbance))
    end = max((one.end for one in schedule), default=0.0) + REST_SECONDS
    await asyncio.sleep(end - asyncio.get_running_loop().time())
    await world.stop()
    await _cancel_rest()
    return Outcome(seed, schedule, rules.violations, callers.went_on, callers.refused)


async def _cancel_rest() -> None:
    """End messages that are still under way."""
    rest = asyncio.all_tasks() - {asyncio.current_task()}
    for task in rest:
        task.cancel()
    await asyncio.gather(*rest, return_exceptions=True)


def shorten(outcome: Outcome) -> Outcome:
    """Return the run of a shorter schedule that breaks one of the same rules.

    Disturbances are left out, and their durations are shortened, one at a time.
    """
    shortest = outcome
    while True:
        for schedule in _list_shorter(shortest.schedule):
            found = play(outcome.seed, schedule)
            if found.rules & outcome.rules:
                shortest = found
                break
        else:
            return shortest


def _list_shorter(schedule: Schedule) -> list[Schedule]:
    """Return the schedules that lack one disturbance, or have a shorter one."""
    shorter = [
        schedule[:number] + schedule[number + 1 :] for number in range(len(schedule))
    ]
    for number, one in enumerate(schedule):
        seconds = round(one.seconds * SHORTER_FACTOR, 2)
        if seconds >= MIN_SECONDS:
            brief = replace(one, seconds=seconds)
            shorter.append((*schedule[:number], brief, *schedule[number + 1 :]))
    return shorter
