"""Run by ``python -m greengagelatch_lab.capacity``: capacity benchmarks.

Each benchmark varies the drivers of one component's cost, such as the number of
members, and fits a linear model. Points and models are printed as they are ready; the
last line of output is JSON with all of them. Arguments select benchmarks by name.
"""

from __future__ import annotations

import argparse
import dataclasses
import json
import tempfile
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any

from ..fleets.process_cleanup import run_with_cleanup
from ..processes import ProcessGroup
from . import (
    claims,
    configuration,
    control_plane,
    leases,
    links,
    membership,
    serving,
    targets,
)
from .fits import Point, Series

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Sequence

__all__ = ("BENCHMARKS", "main")

#: fleet sizes simulated in virtual time, and those with real links in one process
SIMULATED_SIZES = (9, 50, 150, 300)
LINKED_SIZES = (9, 24, 40)
VIRTUAL_SECONDS = 20.0
LINK_SECONDS = 15.0


async def _measure_targets(group: ProcessGroup) -> AsyncIterator[Series]:
    yield targets.measure_scheduling()
    yield await targets.measure_target_registry()
    yield await targets.measure_instance_list(group)
    yield await serving.measure_polls(group)


async def _measure_claims(group: ProcessGroup) -> AsyncIterator[Series]:
    yield await claims.measure_writer()
    yield claims.measure_segment_memory()


async def _measure_configuration(group: ProcessGroup) -> AsyncIterator[Series]:
    yield await configuration.measure_changes()


async def _measure_leases(group: ProcessGroup) -> AsyncIterator[Series]:
    yield await leases.measure_leases()


async def _measure_serving(group: ProcessGroup) -> AsyncIterator[Series]:
    yield await serving.measure_requests(group)
    yield await serving.measure_tokens(group)
    yield await serving.measure_in_flight(group)


async def _measure_fleet(group: ProcessGroup) -> AsyncIterator[Series]:
    for series in await control_plane.measure_fleet(group.directory):
        yield series


async def _measure_mixed_fleet(group: ProcessGroup) -> AsyncIterator[Series]:
    for series in await control_plane.measure_mixed_fleet(group.directory):
        yield series


async def _measure_membership(group: ProcessGroup) -> AsyncIterator[Series]:
    yield _create_series(
        "failure detection at one of several members",
        [membership.measure_members(size, VIRTUAL_SECONDS) for size in SIMULATED_SIZES],
        ("bytes_per_second", "cpu_share", "memory_bytes"),
    )
    yield _create_series(
        "links of one of several members",
        [await links.measure_links(size, LINK_SECONDS) for size in LINKED_SIZES],
        ("wire_bytes_per_second", "cpu_share"),
    )


def _create_series(role: str, costs: Sequence[Any], figures: Sequence[str]) -> Series:
    points = []
    for cost in costs:
        fields = dataclasses.asdict(cost)
        drivers = {"members": fields.pop("members")}
        points.append(Point(drivers=drivers, figures=fields))
    fit_drivers = dict.fromkeys(figures, ("members",))
    return Series(role=role, points=points, fit_drivers=fit_drivers)


#: benchmarks by name, in the order in which they run
BENCHMARKS = {
    "targets": _measure_targets,
    "claims": _measure_claims,
    "configuration": _measure_configuration,
    "leases": _measure_leases,
    "serving": _measure_serving,
    "membership": _measure_membership,
    "fleet": _measure_fleet,
    "crowd": _measure_mixed_fleet,
}


def main() -> None:
    """Run the named benchmarks one after the other, or all of them."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("names", nargs="*", metavar="NAME", help=", ".join(BENCHMARKS))
    names = parser.parse_args().names or list(BENCHMARKS)
    unknown = sorted(set(names) - BENCHMARKS.keys())
    if unknown:
        parser.error(f"unknown benchmark: {', '.join(unknown)}")
    with tempfile.TemporaryDirectory(prefix="greengagelatch-") as directory:
        results = run_with_cleanup(_run(names, Path(directory)))
    print(json.dumps({"series": [series.encode() for series in results]}), flush=True)


async def _run(names: list[str], directory: Path) -> list[Series]:
    results = []
    for name in names:
        begun = time.monotonic()
        path = directory / name
        path.mkdir()
        # each benchmark starts its own processes and stops them before the next begins
        async with ProcessGroup(path) as group:
            async for series in BENCHMARKS[name](group):
                print(f"{series.format()}\n", flush=True)
                results.append(series)
        print(f"{name} took {time.monotonic() - begun:.0f} s\n", flush=True)
    return results


if __name__ == "__main__":
    main()
