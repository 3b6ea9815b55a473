"""``python -m greengagelatch_lab.capacity``: measures each role's cost by its drivers.

Points and fitted lines are printed as they come; the last line is JSON with all of
them. With names as arguments only these measurements run.
"""

from __future__ import annotations

import argparse
import json
import tempfile
import time
from pathlib import Path
from typing import TYPE_CHECKING

from ..fleets.tool import run_tool
from ..processes import ProcessGroup
from . import claims, configuration, fleet_check, leases, serving, targets

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from .fits import Series

__all__ = ("MEASUREMENTS", "main")


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


#: by name, in the order in which they run
MEASUREMENTS = {
    "targets": _measure_targets,
    "claims": _measure_claims,
    "configuration": _measure_configuration,
    "leases": _measure_leases,
    "serving": _measure_serving,
    "fleet": _measure_fleet,
    "crowd": _measure_crowd,
}


def main() -> None:
    """Run the measurements, one after the other."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument(
        "names", nargs="*", metavar="NAME", help=", ".join(MEASUREMENTS)
    )
    names = parser.parse_args().names or list(MEASUREMENTS)
    unknown = sorted(set(names) - MEASUREMENTS.keys())
    if unknown:
        parser.error(f"no such measurement: {', '.join(unknown)}")
    with tempfile.TemporaryDirectory(prefix="greengagelatch-") as directory:
        found = run_tool(_run(names, Path(directory)))
    print(json.dumps({"series": [series.encode() for series in found]}), flush=True)


async def _run(names: list[str], directory: Path) -> list[Series]:
    found = []
    for name in names:
        begun = time.monotonic()
        path = directory / name
        path.mkdir()
        # each has processes of its own, which end before the next one begins
        async with ProcessGroup(path) as group:
            async for series in MEASUREMENTS[name](group):
                print(f"{series.format()}\n", flush=True)
                found.append(series)
        print(f"{name} took {time.monotonic() - begun:.0f} s\n", flush=True)
    return found


if __name__ == "__main__":
    main()
