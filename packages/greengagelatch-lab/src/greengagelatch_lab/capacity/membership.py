"""Benchmarks membership and the target registry by the size of the fleet.

``python -m greengagelatch_lab.capacity.membership`` prints tables and, on its last
line, the same figures as JSON. Large fleets are simulated without a network, but with
the real codec; small fleets with real links over loopback show the network's share.
"""

from __future__ import annotations

import argparse
import asyncio
import dataclasses
import json
import random
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

from greengagelatch.instances import Instance, InstanceKind, Listing
from greengagelatch.targets.directory import LoadReport
from greengagelatch.targets.polling import PollSchedule
from greengagelatch.targets.registry import TargetRegistry, TargetRegistryRules

from .detector_fleet import DATA_CENTRES, DetectorFleet
from .links import measure_links
from .meters import measure_memory

__all__ = ("main", "measure_members", "measure_target_registry")

MEMBER_COUNTS = (9, 50, 150, 300, 570)
REPLICA_COUNTS = (50, 200, 1000, 4000, 12000)
LINKED_COUNTS = (9, 40)
MAX_MEMBERS = MEMBER_COUNTS[-1]

#: virtual seconds between two replacements of an instance
CHURN_INTERVAL = 20.0

SERVICES = 5
SUBSET = 20
#: most load polls per second, and seconds between two polls of a target
LOAD_RATE = 20.0
LOAD_INTERVAL = 1.0
#: seconds between two reads of the instance list
LISTING_INTERVAL = 11.4
REQUESTS_PER_SECOND = 50


@dataclass(frozen=True, slots=True, kw_only=True)
class MemberCost:
    """Cost of failure detection for one instance; churn replaces one each 20 s."""

    members: int
    messages_per_second: float
    bytes_per_second: float
    #: bytes per second while instances are being replaced
    churn_bytes_per_second: float
    cpu_share: float
    memory_bytes: int


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetRegistryCost:
    """Cost of the target registry for one instance, without its HTTP calls."""

    replicas: int
    watched: int
    polls_per_second: float
    cpu_share: float
    #: processor time of applying a changed listing, the longest single step
    listing_seconds: float
    memory_bytes: int


def measure_members(members: int, seconds: float) -> MemberCost:
    """Measure failure detection in a simulated fleet of ``members``."""
    fleet = DetectorFleet(members, seed=1, count_false_positives=False)
    fleet.converge()
    fleet.run(5)
    steady = _run_fleet(fleet, seconds, churn=False)
    churning = _run_fleet(fleet, seconds, churn=True)
    instance_seconds = members * seconds
    return MemberCost(
        members=members,
        messages_per_second=steady["messages"] / instance_seconds,
        bytes_per_second=steady["bytes"] / instance_seconds,
        churn_bytes_per_second=churning["bytes"] / instance_seconds,
        cpu_share=max(steady["cpu"], churning["cpu"]) / instance_seconds,
        memory_bytes=_measure_memory(lambda: _build_detector(members)),
    )


def measure_target_registry(replicas: int, seconds: int) -> TargetRegistryCost:
    """Measure the target registry with ``replicas`` in five services."""
    listings = [_create_listing(as_of, replicas) for as_of in (1, 2)]
    registry = TargetRegistry(
        instance_id="entry-1", rules=TargetRegistryRules(min_subset=SUBSET)
    )
    # the number of entry instances grows with the number of targets
    registry.set_instance_count(
        max(MEMBER_COUNTS[0], replicas * MAX_MEMBERS // REPLICA_COUNTS[-1])
    )
    registry.apply_listing(listings[0])
    begun = time.process_time()
    registry.apply_listing(listings[1])
    listing_seconds = time.process_time() - begun
    schedule = PollSchedule(rate=LOAD_RATE, random_source=random.Random(1))
    begun = time.process_time()
    polls = _run_registry(registry, schedule, seconds)
    cpu = time.process_time() - begun
    watched = len(registry.list_watched(0.0))
    return TargetRegistryCost(
        replicas=replicas,
        watched=watched,
        polls_per_second=polls / seconds,
        cpu_share=cpu / seconds + listing_seconds / LISTING_INTERVAL,
        listing_seconds=listing_seconds,
        memory_bytes=_measure_memory(lambda: _build_registry(listings[0])),
    )


def _run_fleet(
    fleet: DetectorFleet, seconds: float, *, churn: bool
) -> dict[str, float]:
    instances = fleet.instances.values()
    bytes_before = sum(instance.sent_bytes for instance in instances)
    messages_before = sum(instance.sent.total() for instance in instances)
    begun = time.process_time()
    remaining = seconds
    while remaining > 0:
        step = min(CHURN_INTERVAL, remaining)
        if churn:
            _replace_instance(fleet)
        fleet.run(step)
        remaining -= step
    cpu = time.process_time() - begun
    return {
        "bytes": sum(instance.sent_bytes for instance in instances) - bytes_before,
        "messages": sum(instance.sent.total() for instance in instances)
        - messages_before,
        "cpu": cpu,
    }


def _replace_instance(fleet: DetectorFleet) -> None:
    running = [key for key, instance in fleet.instances.items() if not instance.stopped]
    fleet.instances[fleet.random.choice(running)].stopped = True
    instance = fleet.add(len(fleet.instances))
    fleet.apply_listing(fleet.list_instances())
    peer_detector = fleet.instances[fleet.random.choice(running)].detector
    fleet.send_output(
        instance.identity.instance_id,
        instance.detector.register_peer(
            fleet.now, fleet.instances[running[0]].identity
        ),
    )
    fleet.send_output(
        running[0],
        fleet.instances[running[0]].detector.register_peer(
            fleet.now, instance.identity
        ),
    )
    fleet.deliver_members(
        instance.identity.instance_id, peer_detector.list_all_updates()
    )


def _build_detector(members: int) -> DetectorFleet:
    fleet = DetectorFleet(1, seed=1)
    others = DetectorFleet(members, seed=1)
    updates = [instance.detector.own.update for instance in others.instances.values()]
    fleet.deliver_members(next(iter(fleet.instances)), updates)
    return fleet


def _build_registry(listing: Listing) -> TargetRegistry:
    registry = TargetRegistry(
        instance_id="entry-1", rules=TargetRegistryRules(min_subset=SUBSET)
    )
    registry.apply_listing(listing)
    for number in range(SERVICES):
        registry.list_candidates(0.0, f"service-{number}")
    return registry


def _measure_memory(build: Callable[[], Any]) -> int:
    """Return the bytes held by the object that ``build`` returns."""
    with measure_memory() as usage:
        retained = build()
    del retained
    return usage.retained_bytes


def _create_listing(as_of: int, replicas: int) -> Listing:
    # one target in a hundred is replaced between two listings
    rows = [
        Instance(
            instance_id=f"target-{index}-{as_of if index % 100 == 0 else 0}",
            kind=InstanceKind.TARGET,
            data_centre=DATA_CENTRES[index % len(DATA_CENTRES)],
            address=f"10.{index // 62500}.{index // 250 % 250}.{index % 250}:9000",
            service=f"service-{index % SERVICES}",
        )
        for index in range(replicas)
    ]
    return Listing(as_of, tuple(rows))


def _run_registry(
    registry: TargetRegistry, schedule: PollSchedule, seconds: int
) -> int:
    polls = 0
    for tick in range(seconds * 10):
        now = tick / 10
        if tick % 10 == 0:
            registry.expire_reports(now)
            watched = registry.list_watched(now - 60)
            schedule.watch(now, dict.fromkeys(watched, LOAD_INTERVAL))
        for target_id in schedule.take_due(now, 32):
            polls += 1
            report = LoadReport(in_flight=1, queued=0, capacity=4, taken=now)
            registry.apply_report(target_id, report)
            schedule.reschedule(now, target_id, LOAD_INTERVAL)
        for number in range(REQUESTS_PER_SECOND // 10):
            registry.list_candidates(now, f"service-{number % SERVICES}")
    return polls


def _print_table(title: str, rows: Sequence[Any]) -> None:
    names = [item.name for item in dataclasses.fields(rows[0])]
    print(title)
    print("  ".join(f"{name:>22}" for name in names))
    for row in rows:
        values = [getattr(row, name) for name in names]
        cells = [
            f"{value:>22}" if isinstance(value, int) else f"{value:>22.5f}"
            for value in values
        ]
        print("  ".join(cells))
    print()


def main(arguments: Sequence[str] | None = None) -> None:
    """Run the benchmarks of all sizes and print their figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=40.0)
    parser.add_argument("--members", type=int, nargs="*", default=MEMBER_COUNTS)
    parser.add_argument("--replicas", type=int, nargs="*", default=REPLICA_COUNTS)
    parser.add_argument("--linked", type=int, nargs="*", default=LINKED_COUNTS)
    options = parser.parse_args(arguments)
    members = [measure_members(size, options.seconds) for size in options.members]
    replicas = [measure_target_registry(size, 100) for size in options.replicas]
    links = [
        asyncio.run(measure_links(size, options.seconds)) for size in options.linked
    ]
    tables = {"members": members, "targets": replicas, "links": links}
    for title, rows in tables.items():
        if rows:
            _print_table(title, rows)
    result = {
        title: [dataclasses.asdict(row) for row in rows]
        for title, rows in tables.items()
    }
    print(json.dumps(result))


if __name__ == "__main__":
    main()
