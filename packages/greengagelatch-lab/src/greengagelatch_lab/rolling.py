"""``python -m greengagelatch_lab.rolling``: rolling restart of a fleet under load.

The daemons are replaced one after the other: each is told to stop while a replacement
with a new id starts, and the platform's instance list shows both changes with a delay.
The exit status is 0 only if every daemon was replaced, each stopped cleanly, and all
answers met the guarantees.
"""

from __future__ import annotations

import argparse
import asyncio
import sys
import tempfile
from pathlib import Path
from typing import TYPE_CHECKING

import aiohttp

from .fleets import FLEETS
from .fleets.background_traffic import generate_traffic
from .fleets.process_cleanup import run_with_cleanup
from .fleets.runner import FleetRunner
from .processes import ProcessError

if TYPE_CHECKING:
    from .fleets import Fleet
    from .fleets.background_traffic import BackgroundTraffic
    from .fleets.daemon import Daemon
    from .load import Report

__all__ = ("main",)

#: delay of the platform's instance list, in seconds
LIST_LAG = 2.0
#: duration of traffic before the first stop and after the last one, in seconds
MARGIN_SECONDS = 3.0
#: duration of the generated arrivals, in seconds; they end with the last replacement
MAX_TRAFFIC_SECONDS = 300.0


def main() -> int:
    """Replace all daemons of a fleet; return 0 only if all guarantees held."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("--fleet", choices=sorted(FLEETS), default="luzon")
    parser.add_argument("--scale", type=float, default=1.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--list-lag", type=float, default=LIST_LAG)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory(prefix="greengagelatch-") as directory:
        run = _restart_fleet(FLEETS[options.fleet], Path(directory), options)
        try:
            report, statuses = run_with_cleanup(run)
        except (ProcessError, TimeoutError, aiohttp.ClientError) as error:
            print(f"run did not complete: {error!r}\nrolling restart FAILED")
            return 1
    print(report.format())
    passed = report.passed and report.total.in_time > 0 and not any(statuses)
    print(
        f"{len(statuses)} daemons replaced, exit statuses {set(statuses)}, attainment "
        f"{report.total.attainment:.2%}, violations: {len(report.violations)}"
    )
    print("rolling restart passed" if passed else "rolling restart FAILED")
    return 0 if passed else 1


async def _restart_fleet(
    fleet: Fleet, directory: Path, options: argparse.Namespace
) -> tuple[Report, list[int]]:
    async with FleetRunner(fleet, directory) as runner:
        _print(await runner.apply_objects())
        await runner.wait_ready()
        await runner.instance_list.set_faults(list_lag_s=options.list_lag)
        async with generate_traffic(
            runner,
            seconds=MAX_TRAFFIC_SECONDS,
            scale=options.scale,
            seed=options.seed,
            on_progress=_print,
        ) as traffic:
            await asyncio.sleep(MARGIN_SECONDS)
            statuses = []
            for daemon in list(runner.daemons):
                statuses.append(await _replace(traffic, daemon))
            await asyncio.sleep(MARGIN_SECONDS)
            traffic.run.stop()
            return await traffic.check(), statuses


async def _replace(traffic: BackgroundTraffic, daemon: Daemon) -> int:
    """Replace one daemon, as the platform does, and return its exit status."""
    runner = traffic.runner
    old = daemon.entry
    await runner.instance_list.put([daemon.create_list_entry("leaving")])
    stop = asyncio.create_task(runner.stop_daemon(daemon))
    replacement = await runner.start_daemon(
        f"{daemon.instance_id}-next", daemon.data_centre
    )
    traffic.balancer.add(replacement.entry)
    await runner.wait_ready(replacement)
    status = await stop
    traffic.balancer.remove(old)
    await runner.instance_list.remove([daemon.instance_id])
    _print(f"{daemon.instance_id} replaced, exit status {status}")
    return status


def _print(line: str) -> None:
    print(line, flush=True)


if __name__ == "__main__":
    sys.exit(main())
