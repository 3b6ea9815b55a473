"""Benchmarks the instance list, the target registry and target selection."""

from __future__ import annotations

import json
import random
import time
from collections.abc import Sequence

import aiohttp

from greengagelatch.config.objects import StageKind
from greengagelatch.instances import Instance, InstanceKind, InstanceState, Listing
from greengagelatch.load import Outcome, OutcomeKind, Ticket
from greengagelatch.load.durations import DurationTracker
from greengagelatch.load.scheduler import Scheduler, SchedulerRule
from greengagelatch.targets import Target
from greengagelatch.targets.directory import Candidate, LoadReport, TargetDirectory
from greengagelatch.targets.registry import TargetRegistry, TargetRegistryRules
from greengagelatch_entry.adapters.instances import HttpInstanceList
from greengagelatch_entry.metrics import Metrics

from ..fleets.instance_list import InstanceListClient, create_list_entry
from ..processes import ProcessGroup
from .fits import Point, Series
from .meters import measure_cpu, measure_memory

__all__ = ("measure_instance_list", "measure_scheduling", "measure_target_registry")

PLATFORM = "greengagelatch_lab.standins.platform"
#: no server listens on this port; datagrams to it are lost
STATSD = "127.0.0.1:9"
REPLICAS = (50, 500, 2000, 6000, 12_000)
CANDIDATES = (3, 20, 100, 400)
SERVICES = 11
DATA_CENTRES = 11
#: instances registered with the platform in one call
ENTRIES_PER_CALL = 2000
LISTING_ROUNDS = 3
SCHEDULED_CALLS = 2000
#: timeout of HTTP calls in seconds
TIMEOUT_SECONDS = 30.0


async def measure_instance_list(
    group: ProcessGroup, replicas: Sequence[int] = REPLICAS
) -> Series:
    """Fetch the instance list over HTTP, when changed and when unchanged."""
    points = []
    for count in replicas:
        platform = await group.run_module(f"platform-{count}", PLATFORM)
        async with InstanceListClient(platform.ready) as registry:
            rows = [_create_list_entry(number) for number in range(count)]
            for start in range(0, count, ENTRIES_PER_CALL):
                await registry.put(rows[start : start + ENTRIES_PER_CALL])
            points.append(await _measure_fetches(registry, count))
        await platform.stop()
    return Series(
        role="list of instances, one reading",
        points=points,
        fit_drivers={
            "bytes": ("replicas",),
            "changed_cpu_ms": ("replicas",),
            "same_cpu_ms": ("replicas",),
        },
    )


async def measure_target_registry(replicas: Sequence[int] = REPLICAS) -> Series:
    """Hold all targets in a registry and apply listings with one change each."""
    points = []
    for count in replicas:
        with measure_memory() as memory_usage:
            listing = _create_listing(count, as_of=1)
            target_registry = TargetRegistry(
                instance_id="entry-1", rules=TargetRegistryRules()
            )
            target_registry.apply_listing(listing)
        listings = [_create_listing(count, as_of=n) for n in range(2, 5)]
        with measure_cpu() as cpu_usage:
            for one in listings:
                target_registry.apply_listing(one)
                _list_all_candidates(target_registry)
        point = Point(
            drivers={"replicas": count},
            figures={
                "memory_kb": memory_usage.retained_bytes / 1000,
                "apply_cpu_ms": cpu_usage.cpu_ms / len(listings),
            },
        )
        points.append(point)
    return Series(
        role="directory of targets",
        points=points,
        fit_drivers={"memory_kb": ("replicas",), "apply_cpu_ms": ("replicas",)},
    )


def measure_scheduling(
    candidates: Sequence[int] = CANDIDATES, calls: int = SCHEDULED_CALLS
) -> Series:
    """Schedule sequential calls among a growing number of candidates."""
    points = []
    for count in candidates:
        scheduler = _create_scheduler(count)
        _schedule(scheduler, calls // 10 + 1)
        with measure_cpu() as cpu_usage:
            _schedule(scheduler, calls)
        figures = {"choice_cpu_us": cpu_usage.cpu_ms * 1000 / calls}
        points.append(Point(drivers={"candidates": count}, figures=figures))
    return Series(
        role="scheduler, one call",
        points=points,
        fit_drivers={"choice_cpu_us": ("candidates",)},
    )


async def _measure_fetches(registry: InstanceListClient, count: int) -> Point:
    reader = HttpInstanceList(
        address=registry.address, timeout=TIMEOUT_SECONDS, metrics=Metrics(STATSD)
    )
    changed = unchanged = 0.0
    try:
        for number in range(LISTING_ROUNDS):
            await registry.put([_create_list_entry(0, port=2000 + number)])
            changed += await _fetch(reader)
            unchanged += await _fetch(reader)
    finally:
        await reader.close()
    url = f"http://{registry.address}/instances"
    async with aiohttp.ClientSession() as session, session.get(url) as response:
        size = len(await response.read())
    return Point(
        drivers={"replicas": count},
        figures={
            "bytes": size,
            "changed_cpu_ms": changed / LISTING_ROUNDS,
            "same_cpu_ms": unchanged / LISTING_ROUNDS,
        },
    )


async def _fetch(reader: HttpInstanceList) -> float:
    with measure_cpu() as cpu_usage:
        result = await reader.fetch()
    if result.is_err():
        raise RuntimeError(f"instance list not fetched: {result.err_value}")
    return cpu_usage.cpu_ms


def _create_list_entry(number: int, port: int = 8080) -> dict[str, str]:
    return create_list_entry(
        f"target-{number:05d}",
        "target",
        f"centre-{number % DATA_CENTRES:02d}",
        f"10.{number // 62500}.{number // 250 % 250}.{number % 250}:{port}",
        service=f"service-{number % SERVICES:02d}",
    )


def _create_listing(count: int, as_of: int) -> Listing:
    rows = []
    for number in range(count):
        # decoded from JSON for each instance, as in a daemon, so that equal strings
        # are not shared in memory
        row = json.loads(
            json.dumps(_create_list_entry(number, 8080 if number else as_of))
        )
        instance = Instance(
            instance_id=row["id"],
            kind=InstanceKind.TARGET,
            data_centre=row["data_centre"],
            address=row["address"],
            state=InstanceState.LIVE,
            service=row["service"],
        )
        rows.append(instance)
    return Listing(as_of, tuple(rows))


def _list_all_candidates(target_registry: TargetRegistry) -> None:
    for number in range(SERVICES):
        target_registry.list_candidates(0.0, f"service-{number:02d}")


class _StaticTargetDirectory(TargetDirectory):
    """Targets of one service, each with a load report."""

    def __init__(self, count: int) -> None:
        now = time.monotonic()
        report = LoadReport(in_flight=1, queued=0, capacity=64, taken=now)
        targets = (
            Target(f"target-{n:05d}", "service", f"centre-{n % DATA_CENTRES:02d}", "")
            for n in range(count)
        )
        self._candidates = tuple(Candidate(target, report) for target in targets)

    def candidates(self, service: str) -> tuple[Candidate, ...]:
        return self._candidates

    def accepts(self, target_id: str) -> bool:
        return True

    def mark_leaving(self, target_id: str) -> None:
        """Do nothing: no target leaves in this benchmark."""

    def record_call(self, target_id: str, *, answered: bool) -> None:
        """Do nothing: all targets are reachable in this benchmark."""


def _create_scheduler(count: int) -> Scheduler:
    return Scheduler(
        directory=_StaticTargetDirectory(count),
        rule=SchedulerRule(),
        data_centre="centre-00",
        random_source=random.Random(1),
        weigh=lambda workspace: 1.0,
        count_senders=lambda service: 10.0,
        estimate_remaining=lambda ticket, now: 0.0,
        durations=DurationTracker(),
        now=time.monotonic(),
    )


def _schedule(scheduler: Scheduler, calls: int) -> None:
    for number in range(calls):
        now = time.monotonic()
        ticket = Ticket(
            request_id=f"request-{number}",
            workspace="workspace",
            pipeline="pipeline",
            stage="stage",
            service="service",
            kind=StageKind.GENERATE,
            deadline=now + 6.0,
            stage_deadline=now + 3.0,
        )
        scheduler.submit(ticket, now)
        (decision,) = scheduler.poll(now)
        grant = decision.result.unwrap()
        scheduler.finish(grant, Outcome(OutcomeKind.SUCCESS, 0.05), now)
