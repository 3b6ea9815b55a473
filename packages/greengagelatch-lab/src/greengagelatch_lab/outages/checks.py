"""Checks of configuration generations and of calls to leaving targets."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import aiohttp

if TYPE_CHECKING:
    from ..fleets.runner import FleetRunner

__all__ = ("GenerationMonitor", "find_calls_after_leaving")

#: interval between polls, and time-out of each, in seconds
POLL_INTERVAL = 0.2
POLL_TIMEOUT = 1.0
#: time after which a leaving target must receive no new calls, in milliseconds
LEAVING_GRACE_MS = 3000


class GenerationMonitor:
    """Records instances whose configuration reverts to an earlier generation."""

    def __init__(self, runner: FleetRunner) -> None:
        self._runner = runner
        self._highest: dict[str, int] = {}
        self.reverted: list[str] = []
        self.sample_count = 0

    async def run(self) -> None:
        """Poll all instances until cancelled."""
        timeout = aiohttp.ClientTimeout(total=POLL_TIMEOUT)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                for daemon in list(self._runner.daemons):
                    url = f"http://{daemon.entry.operator_address}/status"
                    await self._sample(session, daemon.instance_id, url)
                await asyncio.sleep(POLL_INTERVAL)

    async def _sample(
        self, session: aiohttp.ClientSession, instance_id: str, url: str
    ) -> None:
        try:
            async with session.get(url) as response:
                generation = (await response.json())["generation"]
        except (aiohttp.ClientError, TimeoutError):
            return
        self.sample_count += 1
        highest = self._highest.get(instance_id, 0)
        if generation < highest:
            self.reverted.append(f"{instance_id}: {highest} to {generation}")
        self._highest[instance_id] = max(highest, generation)


async def find_calls_after_leaving(runner: FleetRunner) -> list[str]:
    """Return the calls that targets started too long after they began to leave."""
    found = []
    async with aiohttp.ClientSession() as session:
        for target in runner.targets:
            base = f"http://{target['address']}/record"
            async with session.get(f"{base}/summary") as response:
                since = (await response.json())["leaving_since_ms"]
            if since is None:
                continue
            async with session.get(base) as response:
                runs = (await response.json())["runs"]
            for run in runs:
                late = run["started_ms"] - since
                if late > LEAVING_GRACE_MS:
                    found.append(f"{target['id']}: {run['attempt']} after {late} ms")
    return found
