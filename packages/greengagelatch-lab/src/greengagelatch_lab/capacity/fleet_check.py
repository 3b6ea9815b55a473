"""What whole daemons spend on control, idle and while the configuration changes."""

from __future__ import annotations

import asyncio
import math
import random
import statistics
import time
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field
from functools import partial
from typing import TYPE_CHECKING, Any

import aiohttp

from ..fleets.daemon import Daemon
from ..fleets.registry import Registry, describe_instance
from ..processes import Process, ProcessGroup
from ..waiting import wait_until
from .farm import DATA_CENTRES
from .fits import Point, Series
from .meters import ProcessMeter

if TYPE_CHECKING:
    from pathlib import Path

__all__ = ("measure_crowd", "measure_fleet")

PLATFORM = "greengagelatch_lab.standins.platform"
ECHO = "greengagelatch_lab.overhead.echo"
FARM = "greengagelatch_lab.capacity.farm"
ANY_PORT = "127.0.0.1:0"
SIZES = (3, 9, 18, 27, 40)
#: members in all among which a few daemons are measured, and how many of these
CROWDS = (13, 43, 103, 203)
MEASURED = 3
#: members in one process
FARM_SIZE = 20
#: daemons started side by side
STARTS = 6
WORKSPACES = 300
#: listed targets, all served by one process
TARGETS = 40
SERVICES = 4
#: seconds until links and probes have settled, and of each measurement
SETTLE = 6.0
SECONDS = 10.0
#: seconds until all members must have the first configuration
START_TIMEOUT = 120.0
#: seconds between two changes
CHANGE_INTERVAL = 1.0
POLL = 0.02
TIMEOUT = 30.0
SETTINGS = {"drain.balancer_lag": "0", "drain.longest": "2"}


@dataclass(slots=True)
class _Reading:
    """Counters of all daemons at one moment."""

    sent: int = 0
    received: int = 0
    kinds: Counter[str] = field(default_factory=Counter)
    megabytes: list[float] = field(default_factory=list)


class _Fleet:
    """Daemons on one platform, without callers.

    :param size: number of daemons
    :param company: members that are no daemons
    """

    def __init__(self, directory: Path, size: int, company: int = 0) -> None:
        self._group = ProcessGroup(directory)
        self._size = size
        self._company = company
        self.farms: list[Process] = []
        self._random = random.Random(size)
        self._number = 0
        self.daemons: list[Daemon] = []

    async def __aenter__(self) -> _Fleet:
        await self._group.__aenter__()
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            timeout=aiohttp.ClientTimeout(total=TIMEOUT),
        )
        try:
            await self._start()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *error: object) -> None:
        await self._session.close()
        await self._group.__aexit__(None, None, None)

    async def change(self, text: str) -> int:
        """Apply objects through a random daemon; return the new generation."""
        self._number += 1
        body = {
            "change_id": f"change-{self._size}-{self._number}",
            "mode": "apply",
            "text": text,
            "file": "objects.ini",
        }
        url = f"http://{self._random.choice(self.daemons).entry.operators}/changes"
        async with self._session.post(url, json=body) as response:
            answer = await response.json()
        if answer.get("state") != "settled":
            raise RuntimeError(f"a change was not settled: {answer}")
        return answer["generation"]

    async def wait_in_force(self, generation: int) -> list[float]:
        """Return when each daemon has a generation in force, in monotonic seconds."""
        waits = [self._wait_one(daemon, generation) for daemon in self.daemons]
        async with asyncio.timeout(TIMEOUT):
            return list(await asyncio.gather(*waits))

    def find_in_force(self, generation: int) -> float:
        """Return when all company had a generation, in monotonic seconds."""
        latest = 0.0
        for farm in self.farms:
            text = farm.stdout.read_text(encoding="utf-8")
            rows = [line.split() for line in text.splitlines() if "in-force" in line]
            times = [float(row[2]) for row in rows if int(row[1]) >= generation]
            latest = max(latest, min(times, default=math.inf))
        return latest

    def has_all(self, generation: int) -> bool:
        """Whether all company has a generation."""
        return math.isfinite(self.find_in_force(generation))

    async def read(self) -> _Reading:
        """Return the counters of all daemons."""
        reading = _Reading()
        for daemon in self.daemons:
            dump = await self._get(f"http://{daemon.entry.operators}/dump")
            counters = dump["metrics"]["counters"]
            reading.sent += counters.get("peers.wire_out", 0)
            reading.received += counters.get("peers.wire_in", 0)
            reading.megabytes.append(dump["memory_bytes"] / 1e6)
            for name, value in counters.items():
                reading.kinds[name] += value
        return reading

    async def count_calls(self) -> Counter[str]:
        """Return the calls that the platform has counted."""
        answer = await self._get(f"http://{self._platform}/control/calls")
        return Counter(answer["calls"])

    async def _start(self) -> None:
        platform = await self._group.run_module("platform", PLATFORM)
        echo = await self._group.run_module("echo", ECHO, ANY_PORT)
        self._platform = platform.ready
        slots = asyncio.Semaphore(STARTS)
        async with Registry(platform.ready) as registry:
            await registry.put(
                [_describe_target(n, echo.ready) for n in range(TARGETS)]
            )
            starts = [self._start_daemon(n, slots) for n in range(self._size)]
            self.daemons = list(await asyncio.gather(*starts))
            await registry.put([daemon.describe() for daemon in self.daemons])
        for first in range(0, self._company, FARM_SIZE):
            farm = await self._group.run_module(
                f"farm-{first}",
                FARM,
                f"--platform={platform.ready}",
                f"--first={first}",
                f"--count={min(FARM_SIZE, self._company - first)}",
            )
            self.farms.append(farm)

    async def _start_daemon(self, number: int, slots: asyncio.Semaphore) -> Daemon:
        daemon = Daemon(
            f"entry-{number + 1:03d}",
            DATA_CENTRES[number % len(DATA_CENTRES)],
            directory=self._group.directory,
            platform=self._platform,
            settings=SETTINGS,
        )
        self._group.processes.append(daemon.process)
        async with slots:
            await daemon.start()
        return daemon

    async def _wait_one(self, daemon: Daemon, generation: int) -> float:
        url = f"http://{daemon.entry.operators}/generation"
        while True:
            answer = await self._get(url)
            if answer["generation"] >= generation:
                return time.monotonic()
            await asyncio.sleep(POLL)

    async def _get(self, url: str) -> dict[str, Any]:
        async with self._session.get(url) as response:
            return await response.json()


async def measure_fleet(
    directory: Path,
    sizes: Sequence[int] = SIZES,
    seconds: float = SECONDS,
    settle: float = SETTLE,
    interval: float = CHANGE_INTERVAL,
) -> tuple[Series, Series, Series]:
    """Run fleets of several sizes: idle, under changes, and how long these take."""
    idle, changing, spread = [], [], []
    for size in sizes:
        path = directory / f"fleet-{size}"
        path.mkdir()
        async with _Fleet(path, size) as fleet:
            generation = await fleet.change(_describe_objects())
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
    settle: float = SETTLE,
    interval: float = CHANGE_INTERVAL,
) -> tuple[Series, Series, Series]:
    """Measure a few daemons among more and more members, idle and under changes."""
    idle, changing, spread = [], [], []
    for size in sizes:
        path = directory / f"crowd-{size}"
        path.mkdir()
        async with _Fleet(path, MEASURED, size - MEASURED) as fleet:
            generation = await fleet.change(_describe_objects())
            await fleet.wait_in_force(generation)
            await wait_until(
                partial(fleet.has_all, generation),
                timeout=START_TIMEOUT,
                what="the first configuration at all members",
            )
            await asyncio.sleep(settle)
            idle.append(await _measure(fleet, size, asyncio.sleep(seconds)))
            made: list[tuple[int, float]] = []
            work = _change_unwatched(fleet, seconds, interval, made)
            changing.append(await _measure(fleet, size, work))
            await wait_until(
                partial(fleet.has_all, made[-1][0]),
                timeout=START_TIMEOUT,
                what="the last change at all members",
            )
            delays = [fleet.find_in_force(one) - accepted for one, accepted in made]
            spread.append(_describe_delays(size, delays))
    return _describe_series("among members", interval, idle, changing, spread)


async def _measure(fleet: _Fleet, size: int, work: Any) -> Point:
    before, calls = await fleet.read(), await fleet.count_calls()
    meters = [ProcessMeter(daemon.process.pid) for daemon in fleet.daemons]
    company = [ProcessMeter(farm.pid) for farm in fleet.farms]
    begun = time.monotonic()
    await work
    spent = [meter.read_cpu_percent() for meter in meters]
    # near 100 the members are late because of the machine, and the point is void
    busiest = max((meter.read_cpu_percent() for meter in company), default=0.0)
    elapsed = time.monotonic() - begun
    after, calls_after = await fleet.read(), await fleet.count_calls()
    made = calls_after - calls
    share = elapsed * len(fleet.daemons)
    figures = {
        "cpu_percent": statistics.mean(spent),
        "cpu_percent_worst": max(spent),
        "company_percent": busiest,
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
    fleet: _Fleet, seconds: float, interval: float, delays: list[float]
) -> None:
    """Make changes at a steady pace and note when each is in force everywhere."""
    end = time.monotonic() + seconds
    number = 0
    while time.monotonic() < end:
        number += 1
        generation = await fleet.change(
            _describe_workspace(number % WORKSPACES, number)
        )
        accepted = time.monotonic()
        delays.append(max(await fleet.wait_in_force(generation)) - accepted)
        await asyncio.sleep(max(0.0, accepted + interval - time.monotonic()))


async def _change_unwatched(
    fleet: _Fleet, seconds: float, interval: float, made: list[tuple[int, float]]
) -> None:
    """Make changes at a steady pace, and ask nobody for them."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        number = len(made) + 1
        generation = await fleet.change(_describe_workspace(number, number))
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


def _describe_target(number: int, address: str) -> dict[str, str]:
    return describe_instance(
        f"target-{number:03d}",
        "target",
        DATA_CENTRES[number % len(DATA_CENTRES)],
        address,
        service=f"service-{number % SERVICES}",
    )


def _describe_workspace(number: int, version: int) -> str:
    return f"[workspace:workspace-{number:04d}]\nlabels = version=v{version}\n"


def _describe_objects() -> str:
    rows = [f"[service:service-{n}]\nkind = plain\n" for n in range(SERVICES)]
    rows += [_describe_workspace(number, 0) for number in range(WORKSPACES)]
    return "\n".join(rows)
