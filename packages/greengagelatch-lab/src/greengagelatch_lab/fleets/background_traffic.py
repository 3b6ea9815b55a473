"""Generates a fleet's traffic on the running fleet in the background."""

from __future__ import annotations

import asyncio
import random
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..load import Balancer, LoadRun, check_run, plan_run
from ..load.client import CallerClient
from ..waiting import wait_until

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from ..load import Report
    from .runner import FleetRunner

__all__ = ("BackgroundTraffic", "generate_traffic")

#: seconds to wait until the balancer reports every daemon ready
READY_TIMEOUT = 10.0


@dataclass(frozen=True, slots=True, kw_only=True)
class BackgroundTraffic:
    """Traffic that is being generated in the background."""

    runner: FleetRunner
    balancer: Balancer
    run: LoadRun
    #: done when every request has ended
    task: asyncio.Task

    async def check(self) -> Report:
        """Wait until every request has ended, and verify the responses."""
        await self.task
        return await check_run(self.runner.fleet, self.run, self.runner.targets)


@asynccontextmanager
async def generate_traffic(
    runner: FleetRunner,
    *,
    seconds: float,
    scale: float = 1.0,
    seed: int = 1,
    stop_when_unavailable: bool = False,
    on_progress: Callable[[str], None] | None = None,
) -> AsyncIterator[BackgroundTraffic]:
    """Start the fleet's traffic once the balancer reports every daemon ready.

    For the parameters see :func:`plan_run` and :class:`LoadRun`.
    """
    arrivals = plan_run(runner.fleet, seconds=seconds, scale=scale, seed=seed)
    async with (
        Balancer(random_source=random.Random(seed)) as balancer,
        CallerClient() as client,
    ):
        for daemon in runner.daemons:
            balancer.add(daemon.entry)
        count = len(runner.daemons)
        await wait_until(
            lambda: len(balancer.ready) == count,
            timeout=READY_TIMEOUT,
            what="readiness of every daemon",
        )
        run = LoadRun(
            arrivals=arrivals,
            balancer=balancer,
            client=client,
            stop_when_unavailable=stop_when_unavailable,
            on_progress=on_progress,
        )
        task = asyncio.create_task(run.run())
        try:
            yield BackgroundTraffic(
                runner=runner, balancer=balancer, run=run, task=task
            )
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
