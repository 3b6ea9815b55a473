"""Starts a fleet of daemons and lightweight members without caller traffic."""

from __future__ import annotations

import asyncio
import math
import random
import time
from collections import Counter
from dataclasses import dataclass, field
from functools import partial
from typing import TYPE_CHECKING, Any

import aiohttp

from ..fleets.daemon import Daemon
from ..fleets.instance_list import InstanceListClient, create_list_entry
from ..processes import Process, ProcessGroup
from ..waiting import wait_until
from .lightweight_members import DATA_CENTRES

if TYPE_CHECKING:
    from pathlib import Path

__all__ = (
    "POLL_SECONDS",
    "START_TIMEOUT",
    "TIMEOUT_SECONDS",
    "WORKSPACES",
    "CounterSnapshot",
    "RunningFleet",
    "format_objects",
    "format_workspace",
)

PLATFORM = "greengagelatch_lab.standins.platform"
ECHO = "greengagelatch_lab.overhead.echo"
MEMBERS_MODULE = "greengagelatch_lab.capacity.lightweight_members"
ANY_PORT = "127.0.0.1:0"
#: lightweight members in one process
MEMBERS_PER_PROCESS = 20
#: daemons started concurrently
MAX_CONCURRENT_STARTS = 6
WORKSPACES = 300
#: listed targets, all served by the same process
TARGETS = 40
SERVICES = 4
#: seconds until all members must have the first configuration generation
START_TIMEOUT = 120.0
#: seconds between two queries for a condition
POLL_SECONDS = 0.02
#: timeout of HTTP calls in seconds
TIMEOUT_SECONDS = 30.0
SETTINGS = {"drain.balancer_lag": "0", "drain.longest": "2"}


@dataclass(slots=True)
class CounterSnapshot:
    """Counters of all daemons at one point in time."""

    sent_bytes: int = 0
    received_bytes: int = 0
    counters: Counter[str] = field(default_factory=Counter)
    memory_mb: list[float] = field(default_factory=list)


class RunningFleet:
    """Daemons and lightweight members on one simulated platform, without callers.

    :param size: number of daemons
    :param member_count: number of lightweight members, which run no full daemon
    """

    def __init__(self, directory: Path, size: int, member_count: int = 0) -> None:
        self._group = ProcessGroup(directory)
        self._size = size
        self._member_count = member_count
        self.member_processes: list[Process] = []
        self._random = random.Random(size)
        self._change_number = 0
        self.daemons: list[Daemon] = []

    async def __aenter__(self) -> RunningFleet:
        await self._group.__aenter__()
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            timeout=aiohttp.ClientTimeout(total=TIMEOUT_SECONDS),
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
        self._change_number += 1
        body = {
            "change_id": f"change-{self._size}-{self._change_number}",
            "mode": "apply",
            "text": text,
            "file": "objects.ini",
        }
        url = (
            f"http://{self._random.choice(self.daemons).entry.operator_address}/changes"
        )
        async with self._session.post(url, json=body) as response:
            answer = await response.json()
        if answer.get("state") != "settled":
            raise RuntimeError(f"change {self._change_number} did not settle: {answer}")
        return answer["generation"]

    async def wait_in_force(self, generation: int) -> list[float]:
        """Return the monotonic times at which each daemon has a generation in force."""
        waits = [
            self._wait_for_generation(daemon, generation) for daemon in self.daemons
        ]
        async with asyncio.timeout(TIMEOUT_SECONDS):
            return list(await asyncio.gather(*waits))

    def find_in_force_time(self, generation: int) -> float:
        """Return the monotonic time when all lightweight members had a generation."""
        latest = 0.0
        for process in self.member_processes:
            times = [
                float(seconds)
                for lowest, seconds in _read_rows(process, "in-force")
                if int(lowest) >= generation
            ]
            latest = max(latest, min(times, default=math.inf))
        return latest

    def sum_loop_lag(self) -> float:
        """Return the event-loop lag that member processes reported, in seconds."""
        total = 0.0
        for process in self.member_processes:
            total += sum(float(lag) for (lag,) in _read_rows(process, "late"))
        return total

    def is_in_force(self, generation: int) -> bool:
        """Return whether all lightweight members have a generation."""
        return math.isfinite(self.find_in_force_time(generation))

    async def read_counters(self) -> CounterSnapshot:
        """Return the summed counters and the memory of all daemons."""
        snapshot = CounterSnapshot()
        for daemon in self.daemons:
            dump = await self._get(f"http://{daemon.entry.operator_address}/dump")
            counters = dump["metrics"]["counters"]
            snapshot.sent_bytes += counters.get("peers.wire_out", 0)
            snapshot.received_bytes += counters.get("peers.wire_in", 0)
            snapshot.memory_mb.append(dump["memory_bytes"] / 1e6)
            for name, value in counters.items():
                snapshot.counters[name] += value
        return snapshot

    async def count_calls(self) -> Counter[str]:
        """Return the number of calls by kind that the platform has received."""
        answer = await self._get(f"http://{self._platform_address}/control/calls")
        return Counter(answer["calls"])

    async def _start(self) -> None:
        platform = await self._group.run_module("platform", PLATFORM)
        echo = await self._group.run_module("echo", ECHO, ANY_PORT)
        self._platform_address = platform.ready
        slots = asyncio.Semaphore(MAX_CONCURRENT_STARTS)
        async with InstanceListClient(platform.ready) as registry:
            await registry.put(
                [_create_target_entry(n, echo.ready) for n in range(TARGETS)]
            )
            starts = [self._start_daemon(n, slots) for n in range(self._size)]
            self.daemons = list(await asyncio.gather(*starts))
            await registry.put([daemon.create_list_entry() for daemon in self.daemons])

    async def start_members(self, generation: int) -> None:
        """Start the lightweight members, one process at a time."""
        for first in range(0, self._member_count, MEMBERS_PER_PROCESS):
            process = await self._group.run_module(
                f"farm-{first}",
                MEMBERS_MODULE,
                f"--platform={self._platform_address}",
                f"--first={first}",
                f"--count={min(MEMBERS_PER_PROCESS, self._member_count - first)}",
            )
            self.member_processes.append(process)
            # a start of all members at once is a different load from the one measured
            await wait_until(
                partial(self.is_in_force, generation),
                timeout=START_TIMEOUT,
                what="the first configuration generation at all members",
            )

    async def _start_daemon(self, number: int, slots: asyncio.Semaphore) -> Daemon:
        daemon = Daemon(
            f"entry-{number + 1:03d}",
            DATA_CENTRES[number % len(DATA_CENTRES)],
            directory=self._group.directory,
            platform=self._platform_address,
            settings=SETTINGS,
        )
        self._group.processes.append(daemon.process)
        async with slots:
            await daemon.start()
        return daemon

    async def _wait_for_generation(self, daemon: Daemon, generation: int) -> float:
        url = f"http://{daemon.entry.operator_address}/generation"
        while True:
            answer = await self._get(url)
            if answer["generation"] >= generation:
                return time.monotonic()
            await asyncio.sleep(POLL_SECONDS)

    async def _get(self, url: str) -> dict[str, Any]:
        async with self._session.get(url) as response:
            return await response.json()


def format_workspace(number: int, version: int) -> str:
    return f"[workspace:workspace-{number:04d}]\nlabels = version=v{version}\n"


def format_objects() -> str:
    rows = [f"[service:service-{n}]\nkind = plain\n" for n in range(SERVICES)]
    rows += [format_workspace(number, 0) for number in range(WORKSPACES)]
    return "\n".join(rows)


def _create_target_entry(number: int, address: str) -> dict[str, str]:
    return create_list_entry(
        f"target-{number:03d}",
        "target",
        DATA_CENTRES[number % len(DATA_CENTRES)],
        address,
        service=f"service-{number % SERVICES}",
    )


def _read_rows(process: Process, kind: str) -> list[list[str]]:
    """Return the values of a process's output lines of one kind.

    The process may be writing its last line, which does not count until it ends.
    """
    complete, _, _ = process.stdout.read_text(encoding="utf-8").rpartition("\n")
    rows = [line.split() for line in complete.splitlines()]
    return [row[1:] for row in rows if row and row[0] == kind]
