"""Benchmarks the control-plane cost of daemons, idle and during changes."""

from __future__ import annotations

import asyncio
import statistics
import time
from collections.abc import Sequence
from functools import partial
from typing import TYPE_CHECKING, Any

from ..waiting import wait_until
from .fits import Point, Series
from .meters import ProcessMeter
from .running_fleet import (
    POLL_SECONDS,
    START_TIMEOUT,
    TIMEOUT_SECONDS,
    WORKSPACES,
    RunningFleet,
    format_objects,
    format_workspace,
)

if TYPE_CHECKING:
    from collections import Counter
    from pathlib import Path

__all__ = ("compute_rates", "measure_fleet", "measure_mixed_fleet")

SIZES = (3, 9, 18, 27, 40)
#: total members of fleets in which a few daemons are measured
MIXED_SIZES = (13, 43, 83)
#: number of daemons among them
MEASURED_DAEMONS = 3
#: seconds until links and probes have stabilised, and of each measurement
SETTLE_SECONDS = 6.0
MIXED_SETTLE_SECONDS = 20.0
MEASUREMENT_SECONDS = 10.0
#: seconds between two changes
CHANGE_SECONDS = 1.0
#: changes of which the delay is measured, however long each of them takes
MIN_CHANGES = 2


async def measure_fleet(
    directory: Path,
    sizes: Sequence[int] = SIZES,
    seconds: float = MEASUREMENT_SECONDS,
    settle: float = SETTLE_SECONDS,
    interval: float = CHANGE_SECONDS,
) -> tuple[Series, Series, Series]:
    """Measure fleets of several sizes when idle, under changes, and their latency."""
    idle, changing, propagation = [], [], []
    for size in sizes:
        path = directory / f"fleet-{size}"
        path.mkdir()
        async with RunningFleet(path, size) as fleet:
            generation = await fleet.change(format_objects())
            await fleet.wait_in_force(generation)
            await asyncio.sleep(settle)
            idle.append(await _measure(fleet, size, _stay_idle(fleet, seconds)))
            delays: list[float] = []
            workload = _apply_tracked_changes(fleet, seconds, interval, delays)
            changing.append(await _measure(fleet, size, workload))
            propagation.append(_create_delay_point(size, delays))
    return _create_series("of a fleet", interval, idle, changing, propagation)


async def measure_mixed_fleet(
    directory: Path,
    sizes: Sequence[int] = MIXED_SIZES,
    seconds: float = MEASUREMENT_SECONDS,
    settle: float = MIXED_SETTLE_SECONDS,
    interval: float = CHANGE_SECONDS,
) -> tuple[Series, Series, Series]:
    """Measure a few daemons in fleets of growing size, idle and under changes."""
    idle, changing, propagation = [], [], []
    for size in sizes:
        path = directory / f"crowd-{size}"
        path.mkdir()
        async with RunningFleet(
            path, MEASURED_DAEMONS, size - MEASURED_DAEMONS
        ) as fleet:
            generation = await fleet.change(format_objects())
            await fleet.wait_in_force(generation)
            await fleet.start_members(generation)
            await asyncio.sleep(settle)
            idle.append(await _measure(fleet, size, asyncio.sleep(seconds)))
            changes: list[tuple[int, float]] = []
            workload = _apply_changes(fleet, seconds, interval, changes)
            changing.append(await _measure(fleet, size, workload))
            await wait_until(
                partial(fleet.is_in_force, changes[-1][0]),
                timeout=START_TIMEOUT,
                what="the generation of the last change at all members",
            )
            delays = [
                fleet.find_in_force_time(one) - accepted for one, accepted in changes
            ]
            propagation.append(_create_delay_point(size, delays))
    return _create_series("among members", interval, idle, changing, propagation)


async def _measure(fleet: RunningFleet, size: int, workload: Any) -> Point:
    before, calls_before = await fleet.read_counters(), await fleet.count_calls()
    meters = [ProcessMeter(daemon.process.pid) for daemon in fleet.daemons]
    lag_before = fleet.sum_loop_lag()
    member_meters = [ProcessMeter(process.pid) for process in fleet.member_processes]
    begun = time.monotonic()
    await workload
    cpu_percents = [meter.read_cpu_percent() for meter in meters]
    max_member_percent = max(
        (meter.read_cpu_percent() for meter in member_meters), default=0.0
    )
    loop_lag = fleet.sum_loop_lag() - lag_before
    elapsed = time.monotonic() - begun
    after, calls_after = await fleet.read_counters(), await fleet.count_calls()
    call_rates = compute_rates(calls_before, calls_after, elapsed)
    daemon_seconds = elapsed * len(fleet.daemons)
    daemon_rates = compute_rates(before.counters, after.counters, daemon_seconds)
    figures = {
        "cpu_percent": statistics.mean(cpu_percents),
        "cpu_percent_worst": max(cpu_percents),
        "company_percent": max_member_percent,
        # event-loop lag in seconds: the members of a process are blocked together
        # and suspected meanwhile although they have not failed
        "company_late_s": loop_lag,
        "memory_mb": statistics.mean(after.memory_mb),
        "bytes_per_s": (after.sent_bytes - before.sent_bytes) / daemon_seconds,
        "store_calls_per_s": sum(
            rate for kind, rate in call_rates.items() if kind != "fetch"
        ),
    }
    for kind, rate in sorted(call_rates.items()):
        figures[f"calls_{kind}_per_s"] = rate
    for name, rate in sorted(daemon_rates.items()):
        prefix, _, kind = name.partition("peers.bytes_out.")
        if not prefix and kind:
            figures[f"bytes_{kind}_per_s"] = rate
    return Point(drivers={"members": size}, figures=figures)


async def _stay_idle(fleet: RunningFleet, seconds: float) -> None:
    """Wait for some seconds, and on until a daemon has read the instance list."""
    reads = (await fleet.count_calls())["fetch"]
    await asyncio.sleep(seconds)
    async with asyncio.timeout(TIMEOUT_SECONDS):
        while True:
            await asyncio.sleep(POLL_SECONDS)
            if (await fleet.count_calls())["fetch"] > reads:
                return


def compute_rates(
    before: Counter[str], after: Counter[str], seconds: float
) -> dict[str, float]:
    """Return the rate of each counter in a window; 0 if it did not grow.

    :param before: counters at the start of the window
    :param after: counters at its end
    :param seconds: length of the window
    """
    return {kind: (after[kind] - before[kind]) / seconds for kind in after}


async def _apply_tracked_changes(
    fleet: RunningFleet, seconds: float, interval: float, delays: list[float]
) -> None:
    """Apply changes at a fixed interval and record each propagation delay."""
    end = time.monotonic() + seconds
    number = 0
    while number < MIN_CHANGES or time.monotonic() < end:
        number += 1
        generation = await fleet.change(format_workspace(number % WORKSPACES, number))
        accepted = time.monotonic()
        delays.append(max(await fleet.wait_in_force(generation)) - accepted)
        await asyncio.sleep(max(0.0, accepted + interval - time.monotonic()))


async def _apply_changes(
    fleet: RunningFleet,
    seconds: float,
    interval: float,
    changes: list[tuple[int, float]],
) -> None:
    """Apply changes at a fixed interval without polling the daemons for them."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        number = len(changes) + 1
        generation = await fleet.change(format_workspace(number, number))
        changes.append((generation, time.monotonic()))
        await asyncio.sleep(interval)


def _create_series(
    what: str,
    interval: float,
    idle: list[Point],
    changing: list[Point],
    propagation: list[Point],
) -> tuple[Series, Series, Series]:
    fit_drivers = {
        "cpu_percent": ("members",),
        "memory_mb": ("members",),
        "bytes_per_s": ("members",),
        "store_calls_per_s": ("members",),
    }
    return (
        Series(role=f"daemon {what}, idle", points=idle, fit_drivers=fit_drivers),
        Series(
            role=f"daemon {what}, a change each {interval:g} s",
            points=changing,
            fit_drivers=fit_drivers,
        ),
        Series(
            role=f"{what}: seconds from accepted to in force at all",
            points=propagation,
            fit_drivers={"median_s": ("members",)},
        ),
    )


def _create_delay_point(size: int, delays: list[float]) -> Point:
    return Point(
        drivers={"members": size},
        figures={
            "changes": len(delays),
            "median_s": statistics.median(delays),
            "worst_s": max(delays),
        },
    )
