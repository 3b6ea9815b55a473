"""``python -m greengagelatch_lab.outages``: injects faults into a fleet under load.

Nine daemons serve the fleet's traffic while faults are injected and removed one after
the other. Each data centre has its own network paths to the platform and to the other
data centres. The exit status is 0 only if all guarantees held. Callers of an instance
that was killed or paused may see their connection closed or silent meanwhile; no other
violation is excused.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Any

import aiohttp

from ..fleets import FLEETS
from ..fleets.background_traffic import generate_traffic
from ..fleets.process_cleanup import run_with_cleanup
from ..fleets.runner import FleetRunner
from ..load.violations import ViolationKind
from ..processes import ProcessError
from . import FaultContext
from .checks import GenerationMonitor, find_calls_after_leaving
from .faults import FAULTS
from .sides import FaultWindow, Side, measure_sides

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ..fleets import Fleet
    from ..load import Report
    from ..load.violations import Violation

__all__ = ("main",)

#: duration of each fault, and of the recovery time after it, in seconds
FAULT_SECONDS = 5.0
RECOVERY_SECONDS = 3.0
#: duration of the generated arrivals, in seconds; they end with the last fault
MAX_TRAFFIC_SECONDS = 600.0

#: violations that are allowed at an instance that a fault affected
EXCUSABLE_KINDS = (ViolationKind.DISCONNECTED, ViolationKind.TIMED_OUT)


@dataclass(frozen=True, slots=True, kw_only=True)
class Result:
    """Result of a run."""

    report: Report
    violations: Sequence[Violation]
    excused: int
    reverted: Sequence[str]
    late_calls: Sequence[str]
    #: violations of guarantees that a fault detected itself
    guarantee_violations: Sequence[str]
    sides: Sequence[Side]
    #: number of times that the generation of an instance was read
    sample_count: int

    @property
    def passed(self) -> bool:
        """Whether all guarantees held."""
        found = (
            *self.violations,
            *self.reverted,
            *self.late_calls,
            *self.guarantee_violations,
        )
        return not found and self.sample_count > 0 and self.report.total.in_time > 0

    def encode(self) -> dict[str, Any]:
        """Return the result as JSON-compatible values."""
        return {
            "passed": self.passed,
            "answers": self.report.total.requests + self.report.retries.requests,
            "attainment": round(self.report.total.attainment, 4),
            "violations": [str(item) for item in self.violations],
            "excused": self.excused,
            "reverted": list(self.reverted),
            "late_work": list(self.late_calls),
            "broken": list(self.guarantee_violations),
            "sides": [side.encode() for side in self.sides],
        }


def main() -> int:
    """Inject faults into a fleet; return 0 only if all guarantees held."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("--fleet", choices=sorted(FLEETS), default="luzon")
    parser.add_argument("--scale", type=float, default=1.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--fault", choices=FAULTS, action="append")
    parser.add_argument("--seconds", type=float, default=FAULT_SECONDS)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory(prefix="greengagelatch-") as directory:
        work = _run(FLEETS[options.fleet], Path(directory), options)
        try:
            result = run_with_cleanup(work)
        except (ProcessError, TimeoutError, aiohttp.ClientError) as error:
            print(f"run did not complete: {error!r}\noutages FAILED")
            return 1
    print(result.report.format())
    print(f"\n{'during':<20}{'callers of':<16}{'made':>6}{'in time':>9}  refusals")
    for side in result.sides:
        print(side.format())
    print("outages passed" if result.passed else "outages FAILED")
    print(json.dumps(result.encode()))
    return 0 if result.passed else 1


async def _run(fleet: Fleet, directory: Path, options: argparse.Namespace) -> Result:
    async with FleetRunner(fleet, directory, emulate_network=True) as runner:
        await runner.apply_objects()
        await runner.wait_ready()
        monitor = GenerationMonitor(runner)
        monitor_task = asyncio.create_task(monitor.run())
        async with generate_traffic(
            runner,
            seconds=MAX_TRAFFIC_SECONDS,
            scale=options.scale,
            seed=options.seed,
            on_progress=_print,
        ) as traffic:
            context = FaultContext(
                traffic=traffic, random_source=random.Random(options.seed)
            )
            windows = []
            for name in options.fault or FAULTS:
                windows.append(await _inject(context, name, options.seconds))
            traffic.run.stop()
            report = await traffic.check()
        monitor_task.cancel()
        await asyncio.gather(monitor_task, return_exceptions=True)
        late_calls = await find_calls_after_leaving(runner)
    unexcused = [item for item in report.violations if not _is_excused(item, context)]
    return Result(
        report=report,
        violations=unexcused,
        excused=len(report.violations) - len(unexcused),
        reverted=monitor.reverted,
        late_calls=late_calls,
        guarantee_violations=context.guarantee_violations,
        sides=measure_sides(
            windows, traffic.run.observations, runner.daemon_data_centres
        ),
        sample_count=monitor.sample_count,
    )


async def _inject(context: FaultContext, name: str, seconds: float) -> FaultWindow:
    fault = FAULTS[name]
    begin = context.traffic.run.elapsed
    _print(f"{name} begins")
    await fault.inject(context)
    await asyncio.sleep(seconds)
    window = FaultWindow(
        fault=name,
        begin=begin,
        end=context.traffic.run.elapsed,
        data_centre=fault.cut_off,
    )
    await fault.remove(context)
    _print(f"{name} ends")
    await asyncio.sleep(RECOVERY_SECONDS)
    return window


def _is_excused(violation: Violation, context: FaultContext) -> bool:
    """Whether a caller's connection failed because of a fault of its instance."""
    if violation.kind not in EXCUSABLE_KINDS:
        return False
    for observation in context.traffic.run.observations:
        if observation.arrival.index == violation.index:
            return observation.instance in context.affected_instances
    return False


def _print(line: str) -> None:
    print(line, flush=True)


if __name__ == "__main__":
    sys.exit(main())
