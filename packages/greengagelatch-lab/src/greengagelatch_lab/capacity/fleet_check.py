"""Benchmarks the control-plane cost of daemons, idle and during changes."""

from __future__ import annotations

import asyncio
import statistics
import time
from collections.abc import Sequence
from functools import partial
from typing import TYPE_CHECKING, Any

from ..waiting import wait_until
from .daemons import (
    START_TIMEOUT,
    WORKSPACES,
    RunningFleet,
    describe_objects,
    describe_workspace,
)
from .fits import Point, Series
from .meters import ProcessMeter

if TYPE_CHECKING:
    from pathlib import Path

__all__ = ("measure_crowd", "measure_fleet")

SIZES = (3, 9, 18, 27, 40)
#: total members of fleets in which a few daemons are measured
CROWDS = (13, 43, 83)
#: number of daemons among them
MEASURED = 3
#: seconds until links and probes have stabilised, and of each measurement
SETTLE = 6.0
CROWD_SETTLE = 20.0
SECONDS = 10.0
#: seconds between two changes
CHANGE_INTERVAL = 1.0


async def measure_fleet(
    directory: Path,
    sizes: Sequence[int] = SIZES,
    seconds: float = SECONDS,
    settle: float = SETTLE,
    interval: float = CHANGE_INTERVAL,
) -> tuple[Series, Series, Series]:
    """Measure fleets of several sizes when idle, under changes, and their latency."""
    idle, changing, spread = [], [], []
    for size in sizes:
        path = directory / f"fleet-{size}"
        path.mkdir()
        async with RunningFleet(path, size) as fleet:
            generation = await fleet.change(describe_objects())
            await fleet.wait_in_force(generation)
            await asyncio.sleep(settle)
            idle.append(await _measure(fleet, size, asyncio.sleep(seconds)))
            delays: list[float] = []
            work = _change_for(fleet, seconds, interval, delays)
            changing.append(await _measure(fleet, size, work))
            spread.append(_describe_delays(size, delays))
    return _describe_series("of a fleet", interval, idle, changing, spread)


async def measure_crowd(
    directory: Path,
    sizes: Sequence[int] = CROWDS,
    seconds: float = SECONDS,
    settle: float = CROWD_SETTLE,
    interval: float = CHANGE_INTERVAL,
) -> tuple[Series, Series, Series]:
    """Measure a few daemons in fleets of growing size, idle and under changes."""
    idle, changing, spread = [], [], []
    for size in sizes:
        path = directory / f"crowd-{size}"
        path.mkdir()
        async with RunningFleet(path, MEASURED, size - MEASURED) as fleet:
            generation = await fleet.change(describe_objects())
            await fleet.wait_in_force(generation)
            await fleet.add_company(generation)
            await asyncio.sleep(settle)
            idle.append(await _measure(fleet, size, asyncio.sleep(seconds)))
            made: list[tuple[int, float]] = []
            work = _change_unwatched(fleet, seconds, interval, made)
            changing.append(await _measure(fleet, size, work))
            await wait_until(
                partial(fleet.has_all, made[-1][0]),
                timeout=START_TIMEOUT,
                what="the generation of the last change at all members",
            )
            delays = [fleet.find_in_force(one) - accepted for one, accepted in made]
            spread.append(_describe_delays(size, delays))
    return _describe_series("among members", interval, idle, changing, spread)


async def _measure(fleet: RunningFleet, size: int, work: Any) -> Point:
    before, calls = await fleet.read(), await fleet.count_calls()
    meters = [ProcessMeter(daemon.process.pid) for daemon in fleet.daemons]
    lags = fleet.sum_lags()
    company = [ProcessMeter(farm.pid) for farm in fleet.farms]
    begun = time.monotonic()
    await work
    spent = [meter.read_cpu_percent() for meter in meters]
    busiest = max((meter.read_cpu_percent() for meter in company), default=0.0)
    late = fleet.sum_lags() - lags
    elapsed = time.monotonic() - begun
    after, calls_after = await fleet.read(), await fleet.count_calls()
    made = calls_after - calls
    share = elapsed * len(fleet.daemons)
    figures = {
        "cpu_percent": statistics.mean(spent),
        "cpu_percent_worst": max(spent),
        "company_percent": busiest,
        # event-loop lag in seconds: the members of a process are blocked together
        # and suspected meanwhile although they have not failed
        "company_late_s": late,
        "memory_mb": statistics.mean(after.megabytes),
        "bytes_per_s": (after.sent - before.sent) / share,
        "store_calls_per_s": (made.total() - made["fetch"]) / elapsed,
    }
    for kind, number in sorted(made.items()):
        figures[f"calls_{kind}_per_s"] = number / elapsed
    kinds = after.kinds - before.kinds
    for name, amount in sorted(kinds.items()):
        prefix, _, kind = name.partition("peers.bytes_out.")
        if not prefix and kind:
            figures[f"bytes_{kind}_per_s"] = amount / share
    return Point(drivers={"members": size}, figures=figures)


async def _change_for(
    fleet: RunningFleet, seconds: float, interval: float, delays: list[float]
) -> None:
    """Apply changes at a fixed interval and record each propagation delay."""
    end = time.monotonic() + seconds
    number = 0
    while time.monotonic() < end:
        number += 1
        generation = await fleet.change(describe_workspace(number % WORKSPACES, number))
        accepted = time.monotonic()
        delays.append(max(await fleet.wait_in_force(generation)) - accepted)
        await asyncio.sleep(max(0.0, accepted + interval - time.monotonic()))


async def _change_unwatched(
    fleet: RunningFleet, seconds: float, interval: float, made: list[tuple[int, float]]
) -> None:
    """Apply changes at a fixed interval without polling the daemons for them."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        number = len(made) + 1
        generation = await fleet.change(describe_workspace(number, number))
        made.append((generation, time.monotonic()))
        await asyncio.sleep(interval)


def _describe_series(
    what: str,
    interval: float,
    idle: list[Point],
    changing: list[Point],
    spread: list[Point],
) -> tuple[Series, Series, Series]:
    lines = {
        "cpu_percent": ("members",),
        "memory_mb": ("members",),
        "bytes_per_s": ("members",),
        "store_calls_per_s": ("members",),
    }
    return (
        Series(role=f"daemon {what}, idle", points=idle, lines=lines),
        Series(
            role=f"daemon {what}, a change each {interval:g} s",
            points=changing,
            lines=lines,
        ),
        Series(
            role=f"{what}: seconds from accepted to in force at all",
            points=spread,
            lines={"median_s": ("members",)},
        ),
    )


def _describe_delays(size: int, delays: list[float]) -> Point:
    return Point(
        drivers={"members": size},
        figures={
            "changes": len(delays),
            "median_s": statistics.median(delays),
            "worst_s": max(delays),
        },
    )
