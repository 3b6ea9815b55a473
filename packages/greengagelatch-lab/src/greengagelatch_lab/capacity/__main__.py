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

from ..fleets.tool import run_tool
from ..processes import ProcessGroup
from . import (
    claims,
    configuration,
    fleet_check,
    leases,
    links,
    membership,
    serving,
    targets,
)
from .fits import Point, Series

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Sequence

__all__ = ("MEASUREMENTS", "main")

#: fleet sizes simulated in virtual time, and those with real links in one process
MEMBERS = (9, 50, 150, 300)
LINKED = (9, 24, 40)
VIRTUAL_SECONDS = 20.0
LINK_SECONDS = 15.0


async def _measure_targets(group: ProcessGroup) -> AsyncIterator[Series]:
    yield targets.measure_choice()
    yield await targets.measure_directory()
    yield await targets.measure_listing(group)
    yield await serving.measure_polls(group)


async def _measure_claims(group: ProcessGroup) -> AsyncIterator[Series]:
    yield await claims.measure_writer()
    yield claims.measure_memory_of_claims()


async def _measure_configuration(group: ProcessGroup) -> AsyncIterator[Series]:
    yield await configuration.measure_changes()


async def _measure_leases(group: ProcessGroup) -> AsyncIterator[Series]:
    yield await leases.measure_leases()


async def _measure_serving(group: ProcessGroup) -> AsyncIterator[Series]:
    yield await serving.measure_requests(group)
    yield await serving.measure_tokens(group)
    yield await serving.measure_in_flight(group)


async def _measure_fleet(group: ProcessGroup) -> AsyncIterator[Series]:
    for series in await fleet_check.measure_fleet(group.directory):
        yield series


async def _measure_crowd(group: ProcessGroup) -> AsyncIterator[Series]:
    for series in await fleet_check.measure_crowd(group.directory):
        yield series


async def _measure_membership(group: ProcessGroup) -> AsyncIterator[Series]:
    yield _describe_costs(
        "failure detection at one of several members",
        [membership.measure_members(size, VIRTUAL_SECONDS) for size in MEMBERS],
        ("bytes_per_second", "cpu_share", "memory_bytes"),
    )
    yield _describe_costs(
        "links of one of several members",
        [await links.measure_links(size, LINK_SECONDS) for size in LINKED],
        ("wire_bytes_per_second", "cpu_share"),
    )


def _describe_costs(role: str, costs: Sequence[Any], figures: Sequence[str]) -> Series:
    points = []
    for cost in costs:
        fields = dataclasses.asdict(cost)
        drivers = {"members": fields.pop("members")}
        points.append(Point(drivers=drivers, figures=fields))
    lines = dict.fromkeys(figures, ("members",))
    return Series(role=role, points=points, lines=lines)


#: benchmarks by name, in the order in which they run
MEASUREMENTS = {
    "targets": _measure_targets,
    "claims": _measure_claims,
    "configuration": _measure_configuration,
    "leases": _measure_leases,
    "serving": _measure_serving,
    "membership": _measure_membership,
    "fleet": _measure_fleet,
    "crowd": _measure_crowd,
}


def main() -> None:
    """Run the named benchmarks one after the other, or all of them."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument(
        "names", nargs="*", metavar="NAME", help=", ".join(MEASUREMENTS)
    )
    names = parser.parse_args().names or list(MEASUREMENTS)
    unknown = sorted(set(names) - MEASUREMENTS.keys())
    if unknown:
        parser.error(f"unknown benchmark: {', '.join(unknown)}")
    with tempfile.TemporaryDirectory(prefix="greengagelatch-") as directory:
        found = run_tool(_run(names, Path(directory)))
    print(json.dumps({"series": [series.encode() for series in found]}), flush=True)


async def _run(names: list[str], directory: Path) -> list[Series]:
    found = []
    for name in names:
        begun = time.monotonic()
        path = directory / name
        path.mkdir()
        # each benchmark starts its own processes and stops them before the next begins
        async with ProcessGroup(path) as group:
            async for series in MEASUREMENTS[name](group):
                print(f"{series.format()}\n", flush=True)
                found.append(series)
        print(f"{name} took {time.monotonic() - begun:.0f} s\n", flush=True)
    return found


if __name__ == "__main__":
    main()
