"""Schedules of overlapping disturbances, drawn from a seeded random source."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..platform_standins.target_links import PartitionForm
from .disturbances import (
    BAD_PART,
    BrittleTime,
    BrokenStreams,
    ConfigurationChange,
    CrashingPart,
    LeavingTarget,
    LimitedTime,
    Outage,
    Partition,
    Reload,
    Restart,
    RestingTarget,
    Silence,
)

if TYPE_CHECKING:
    import random
    from collections.abc import Iterator, Sequence

    from .disturbances import Disturbance

__all__ = ("draw_schedule",)

#: shortest and longest silence of a target in seconds
SILENCE_SECONDS = (0.3, 1.6)
#: shortest and longest partition, and the longest time between two, in seconds
PARTITION_SECONDS, BETWEEN_PARTITIONS = (6.0, 10.0), 2.0
#: shortest and longest time in which targets are brittle, in seconds
BRITTLE_SECONDS = (5.0, 8.0)
#: share of runs with requests whose prompts crash engines, and for how many seconds
CRASHING_SHARE, CRASHING_SECONDS = 0.5, (7.0, 11.0)
#: shared parts of these requests; harmless ones have ``aa``
CRASHING_PROMPTS = (("aa", BAD_PART), (BAD_PART, "aa"), (BAD_PART,))
#: longest time in seconds between two silences, two changes, two signals
BETWEEN_SILENCES, BETWEEN_CHANGES, BETWEEN_SIGNALS = 2.0, 4.0, 5.0
#: share of runs in which targets are brittle
BRITTLE_SHARE = 0.6
#: share of signals that stop an instance; the others make it reload
RESTART_SHARE = 0.4
#: longest time in seconds that a stop and a start take; one instance at a time
RESTART_SECONDS = 10.0
#: rejections within a second that brittle targets tolerate
BRITTLE_LIMITS = (1, 2, 4)
#: share of runs in which targets name a rate, for how many seconds, and the rates in
#: requests per second
LIMIT_SHARE, LIMIT_SECONDS, LIMIT_RATES = 0.6, (8.0, 12.0), (0.5, 1.0, 2.5)
#: most times that engines break some streams
MAX_BROKEN = 4
#: share of targets with a notice that leave, and for how many seconds they say so
#: before their entries do; the others ask for rest, of so many seconds, for so long
LEAVING_SHARE, LEAVING_SECONDS = 0.4, (3.0, 6.0)
RESTS, REST_SECONDS = (0.75, 1.5, 3.0), (4.0, 8.0)
#: share of runs in which all instances are killed, and the first time for it, by which
#: the versions of engines are recorded
OUTAGE_SHARE, FIRST_OUTAGE = 0.4, 4.0
#: shortest time in seconds before the first disturbance
START_SECONDS = 1.0


def draw_schedule(
    random_source: random.Random,
    seconds: float,
    instances: Sequence[str],
    targets: Sequence[str],
    services: Sequence[str],
) -> list[Disturbance]:
    """Draw a schedule for a run of the given length, in order of time."""
    drawn: list[Disturbance] = []
    drawn += _draw_silences(random_source, seconds, targets)
    drawn += _draw_partitions(random_source, seconds, instances, services)
    drawn += _draw_changes(random_source, seconds)
    drawn += _draw_signals(random_source, seconds, instances)
    if random_source.random() < BRITTLE_SHARE:
        length = random_source.uniform(*BRITTLE_SECONDS)
        at = random_source.uniform(START_SECONDS, max(START_SECONDS, seconds - length))
        limit = random_source.choice(BRITTLE_LIMITS)
        drawn.append(BrittleTime(at=at, limit=limit, seconds=length))
    if random_source.random() < CRASHING_SHARE:
        length = random_source.uniform(*CRASHING_SECONDS)
        at = random_source.uniform(START_SECONDS, max(START_SECONDS, seconds - length))
        parts = random_source.choice(CRASHING_PROMPTS)
        drawn.append(CrashingPart(at=at, parts=parts, seconds=length))
    drawn += _draw_limits(random_source, seconds)
    drawn += _draw_notices(random_source, seconds, targets)
    if random_source.random() < OUTAGE_SHARE:
        drawn = [one for one in drawn if not isinstance(one, Restart)]
        at = random_source.uniform(FIRST_OUTAGE, max(FIRST_OUTAGE, seconds))
        leaves = random_source.choice(("before", "meanwhile", "never"))
        drawn.append(Outage(at=at, leaves=leaves))
    return sorted(drawn, key=lambda one: one.at)


def _draw_notices(
    random_source: random.Random, seconds: float, targets: Sequence[str]
) -> Iterator[LeavingTarget | RestingTarget]:
    for target_id in random_source.sample(targets, len(targets) // 2):
        at = random_source.uniform(START_SECONDS, seconds)
        if random_source.random() < LEAVING_SHARE:
            length = random_source.uniform(*LEAVING_SECONDS)
            yield LeavingTarget(at=at, target_id=target_id, seconds=length)
            continue
        yield RestingTarget(
            at=at,
            target_id=target_id,
            rest=random_source.choice(RESTS),
            every=random_source.choice((1, 1, 3)),
            seconds=random_source.uniform(*REST_SECONDS),
        )


def _draw_limits(
    random_source: random.Random, seconds: float
) -> Iterator[LimitedTime | BrokenStreams]:
    for _ in range(random_source.randrange(1 + MAX_BROKEN)):
        at = random_source.uniform(START_SECONDS, seconds)
        yield BrokenStreams(at=at, count=random_source.randint(1, 3))
    if random_source.random() < LIMIT_SHARE:
        length = random_source.uniform(*LIMIT_SECONDS)
        at = random_source.uniform(START_SECONDS, max(START_SECONDS, seconds - length))
        rate = random_source.choice(LIMIT_RATES)
        yield LimitedTime(at=at, rate=rate, seconds=length)


def _draw_silences(
    random_source: random.Random, seconds: float, targets: Sequence[str]
) -> Iterator[Silence]:
    at = START_SECONDS
    free_at = dict.fromkeys(targets, 0.0)
    while at < seconds:
        target_id = random_source.choice(targets)
        times = random_source.choice((1, 1, 2))
        lengths = tuple(random_source.uniform(*SILENCE_SECONDS) for _ in range(times))
        pause = random_source.uniform(0.0, 0.3)
        if free_at[target_id] <= at:
            free_at[target_id] = at + sum(lengths) + times * pause + 0.5
            yield Silence(
                at=at,
                target_id=target_id,
                seconds=lengths,
                pause=pause,
                events=random_source.choice((0, 2)),
            )
        at += random_source.uniform(0.0, BETWEEN_SILENCES)


def _draw_partitions(
    random_source: random.Random,
    seconds: float,
    instances: Sequence[str],
    services: Sequence[str],
) -> Iterator[Partition]:
    at = random_source.uniform(START_SECONDS, 2 * START_SECONDS)
    while at < seconds:
        length = random_source.uniform(*PARTITION_SECONDS)
        count = random_source.randrange(1, len(instances))
        yield Partition(
            at=at,
            instances=tuple(sorted(random_source.sample(instances, count))),
            form=random_source.choice(list(PartitionForm)),
            service=random_source.choice(("", "", *services)),
            seconds=length,
        )
        at += length + random_source.uniform(0.0, BETWEEN_PARTITIONS)


def _draw_changes(
    random_source: random.Random, seconds: float
) -> Iterator[ConfigurationChange]:
    at = random_source.uniform(START_SECONDS, BETWEEN_CHANGES)
    while at < seconds:
        yield ConfigurationChange(at=at)
        at += random_source.uniform(0.0, BETWEEN_CHANGES)


def _draw_signals(
    random_source: random.Random, seconds: float, instances: Sequence[str]
) -> Iterator[Reload | Restart]:
    at = random_source.uniform(START_SECONDS, BETWEEN_SIGNALS)
    restart_from = 0.0
    while at < seconds:
        instance = random_source.choice(instances)
        if random_source.random() < RESTART_SHARE and at >= restart_from:
            restart_from = at + RESTART_SECONDS
            yield Restart(at=at, instance=instance)
        else:
            yield Reload(at=at, instance=instance)
        at += random_source.uniform(0.0, BETWEEN_SIGNALS)
