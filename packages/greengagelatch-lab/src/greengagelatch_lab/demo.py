"""``python -m greengagelatch_lab.demo``: runs both fleets and checks all answers.

Each fleet runs with nine daemons in three data centres. Its objects are applied with
the operators' client, its traffic is generated, and all daemons are stopped while
requests are still being sent. The exit status is 0 only if every answer was complete,
correct and belonged to its request, nothing ran twice, no "not run" was false, the
stop interrupted no request, and the share of requests answered in time reached
:data:`MIN_ATTAINMENT`.
"""

from __future__ import annotations

import argparse
import asyncio
import sys
import tempfile
import time
from dataclasses import dataclass
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
    from .load import Report

__all__ = ("main",)

#: duration of traffic before the stop, and its maximum during it, in seconds
LOAD_SECONDS = 15.0
STOP_SECONDS = 10.0
#: minimum share of requests answered in time; the load is far below capacity
MIN_ATTAINMENT = 0.95


@dataclass(frozen=True, slots=True, kw_only=True)
class DemoResult:
    """Result of the demo for one fleet."""

    report: Report
    #: requests in flight when the daemons were told to stop
    in_flight_at_stop: int
    #: exit statuses of the daemons; 0 means that every request was finished
    statuses: tuple[int, ...]

    @property
    def passed(self) -> bool:
        """Whether all guarantees held and every daemon stopped cleanly."""
        served = self.report.total.attainment >= MIN_ATTAINMENT
        return served and self.report.passed and not any(self.statuses)


def main() -> int:
    """Run the demo; return 0 only if all guarantees held."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("--seconds", type=float, default=LOAD_SECONDS)
    parser.add_argument("--scale", type=float, default=1.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--fleet", choices=sorted(FLEETS), action="append")
    options = parser.parse_args()
    results: dict[str, DemoResult] = {}
    for name in options.fleet or FLEETS:
        with tempfile.TemporaryDirectory(prefix="greengagelatch-") as directory:
            run = _run_fleet(FLEETS[name], Path(directory), options)
            try:
                results[name] = run_with_cleanup(run)
            except (ProcessError, TimeoutError, aiohttp.ClientError) as error:
                print(f"{name}: run did not complete: {error!r}\ndemo FAILED")
                return 1
    for name, result in results.items():
        _print_verdict(name, result)
    passed = all(result.passed for result in results.values())
    print("demo passed" if passed else "demo FAILED")
    return 0 if passed else 1


async def _run_fleet(
    fleet: Fleet, directory: Path, options: argparse.Namespace
) -> DemoResult:
    started = time.monotonic()
    async with FleetRunner(fleet, directory) as runner:
        _print(
            f"{fleet.name}: {len(runner.daemons)} daemons, {len(runner.targets)}"
            " targets started"
        )
        _print(await runner.apply_objects())
        await runner.wait_ready()
        _print(f"{fleet.name}: ready after {time.monotonic() - started:.1f} s")
        result = await _serve(runner, options)
    print(result.report.format(), flush=True)
    return result


async def _serve(runner: FleetRunner, options: argparse.Namespace) -> DemoResult:
    async with generate_traffic(
        runner,
        seconds=options.seconds + STOP_SECONDS,
        scale=options.scale,
        seed=options.seed,
        stop_when_unavailable=True,
        on_progress=_print,
    ) as traffic:
        await asyncio.sleep(options.seconds)
        in_flight = traffic.run.in_flight
        _print(f"stopping all daemons with {in_flight} requests in flight")
        stops = [runner.stop_daemon(daemon) for daemon in list(runner.daemons)]
        statuses = await asyncio.gather(*stops)
        report = await traffic.check()
    return DemoResult(
        report=report, in_flight_at_stop=in_flight, statuses=tuple(statuses)
    )


def _print_verdict(name: str, result: DemoResult) -> None:
    total, retries = result.report.total, result.report.retries
    kinds = result.report.encode()["violations"]
    broken = ", ".join(f"{kind} {count}" for kind, count in sorted(kinds.items()))
    print(
        f"{name}: {total.requests + retries.requests} answers checked, attainment "
        f"{total.attainment:.2%}, {result.in_flight_at_stop} requests in flight at the"
        f" stop, exit statuses {set(result.statuses)}, violations: {broken or 'none'}"
    )


def _print(line: str) -> None:
    print(line, flush=True)


if __name__ == "__main__":
    sys.exit(main())
