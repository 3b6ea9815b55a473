"""Faults of entry instances, targets, the platform and operators."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import aiohttp

from ..processes import ProcessError
from . import Fault, FaultContext, PermanentFault
from .kills import DaemonKilled, HolderKilled
from .partitions import PARTITIONS
from .starts import StartInOutage

if TYPE_CHECKING:
    from ..fleets.daemon import Daemon
    from ..processes import Process

__all__ = ("FAULTS",)

#: additional latency of a slow platform, in milliseconds
STORE_DELAY_MS = 400
#: number of writes whose answers are lost
LOST_ANSWER_COUNT = 40
#: number of changes that two operators make concurrently
CONCURRENT_CHANGES = 6
#: time-out of the request that sets a simulated target's faults, in seconds
FAULT_REQUEST_TIMEOUT = 5.0


class DaemonPaused(Fault):
    """An entry instance is paused and later resumed."""

    name = "daemon-paused"

    def __init__(self) -> None:
        self._paused: Daemon | None = None

    async def inject(self, context: FaultContext) -> None:
        self._paused = context.pick_affected_daemon()
        self._paused.process.pause()

    async def remove(self, context: FaultContext) -> None:
        self._paused.process.resume()


class TargetSilent(Fault):
    """A target's connections go silent for a while, as its process is paused."""

    name = "target-silent"

    def __init__(self) -> None:
        self._paused: Process | None = None

    async def inject(self, context: FaultContext) -> None:
        target = context.random_source.choice(context.traffic.runner.targets)
        self._paused = context.traffic.runner.find_process(target["id"])
        self._paused.pause()

    async def remove(self, context: FaultContext) -> None:
        self._paused.resume()


class TargetLeaving(PermanentFault):
    """A target reports that it is leaving before the instance list shows it."""

    name = "target-leaving"

    async def inject(self, context: FaultContext) -> None:
        target = context.random_source.choice(context.traffic.runner.targets)
        await _set_target_faults(target, {"state": "leaving"})


class TargetsFailing(Fault):
    """All targets refuse, fail, mix up or disconnect a small share of calls."""

    name = "targets-failing"
    _RATES = ("refuse_rate", "fail_rate", "cross_rate", "cut_rate")
    _RATE = 0.02

    async def inject(self, context: FaultContext) -> None:
        await self._set_all(context, self._RATE)

    async def remove(self, context: FaultContext) -> None:
        await self._set_all(context, 0.0)

    async def _set_all(self, context: FaultContext, rate: float) -> None:
        faults = dict.fromkeys(self._RATES, rate)
        for target in context.traffic.runner.targets:
            await _set_target_faults(target, faults)


class PlatformFault(Fault):
    """A fault of the platform, set by its fault parameters."""

    def __init__(self, name: str, during: dict[str, Any], after: dict[str, Any]):
        self.name = name
        self._during = during
        self._after = after

    async def inject(self, context: FaultContext) -> None:
        await context.traffic.runner.instance_list.set_faults(**self._during)

    async def remove(self, context: FaultContext) -> None:
        await context.traffic.runner.instance_list.set_faults(**self._after)


class OperatorsRacing(PermanentFault):
    """Two operators change labels concurrently through different instances."""

    name = "operators-racing"

    async def inject(self, context: FaultContext) -> None:
        work = [_set_label(context, number) for number in range(CONCURRENT_CHANGES)]
        await asyncio.gather(*work)


async def _set_label(context: FaultContext, number: int) -> None:
    workspace = context.traffic.runner.fleet.workspaces[number % 2].name
    try:
        await context.traffic.runner.run_client(
            "label", "workspace", workspace, f"race=n{number}", "--wait"
        )
    except ProcessError as error:
        # a change that loses the race is rejected as a conflict; other errors are real
        if "conflict" not in str(error):
            raise


async def _set_target_faults(target: dict[str, str], faults: dict[str, Any]) -> None:
    timeout = aiohttp.ClientTimeout(total=FAULT_REQUEST_TIMEOUT)
    url = f"http://{target['address']}/control/faults"
    async with (
        aiohttp.ClientSession(timeout=timeout) as session,
        session.post(url, json=faults) as response,
    ):
        response.raise_for_status()


#: faults by name, in the default order of injection
FAULTS: dict[str, Fault] = {
    fault.name: fault
    for fault in (
        DaemonKilled(),
        HolderKilled(),
        DaemonPaused(),
        TargetSilent(),
        PlatformFault("store-down", {"outage": True}, {"outage": False}),
        PlatformFault("store-slow", {"slow_ms": STORE_DELAY_MS}, {"slow_ms": 0}),
        PlatformFault("answers-lost", {"lose_answers": LOST_ANSWER_COUNT}, {}),
        PlatformFault("list-lagging", {"list_lag_s": 10.0}, {"list_lag_s": 0.0}),
        PlatformFault("list-down", {"list_outage": True}, {"list_outage": False}),
        TargetsFailing(),
        OperatorsRacing(),
        *PARTITIONS,
        StartInOutage(),
        TargetLeaving(),
    )
}
