"""Faults that kill entry instances."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING

from ..load.arrivals import Arrival
from ..load.client import CallerClient
from . import FaultContext, PermanentFault

if TYPE_CHECKING:
    from ..fleets.daemon import Daemon
    from ..load.observations import Observation

__all__ = ("DaemonKilled", "HolderKilled")

#: multiple of the usual duration of a call, so that it takes about 600 ms
SLOW_CALL_SIZE = 60
#: time after a keyed request within which its instance is killed, in seconds
MAX_KILL_DELAY = 0.6
#: number of instances at which the request is retried immediately
RETRY_COUNT = 2
#: index of the first arrival that is added to the generated traffic
FIRST_INDEX = 1_000_000


class DaemonKilled(PermanentFault):
    """An entry instance is killed and replaced by another one."""

    name = "daemon-killed"

    async def inject(self, context: FaultContext) -> None:
        daemon = context.pick_affected_daemon()
        await _kill(daemon)
        await _replace(context, daemon)


class HolderKilled(PermanentFault):
    """The holder of a keyed request is killed, and the request retried elsewhere.

    The moment is random: before the claim, between the claim and the call, or during
    the call.
    """

    name = "holder-killed"

    async def inject(self, context: FaultContext) -> None:
        daemon = context.pick_affected_daemon()
        others = [item for item in context.traffic.runner.daemons if item is not daemon]
        retry_daemons = context.random_source.sample(others, RETRY_COUNT)
        arrival = _create_arrival(context)
        async with CallerClient() as client:
            first = asyncio.create_task(_send(client, arrival, daemon))
            await asyncio.sleep(context.random_source.uniform(0.0, MAX_KILL_DELAY))
            await _kill(daemon)
            retries = [
                _send(client, _create_retry(arrival, number), other)
                for number, other in enumerate(retry_daemons, 1)
            ]
            observations = await asyncio.gather(first, *retries)
        context.traffic.run.observations.extend(observations)
        await _replace(context, daemon)


def _create_arrival(context: FaultContext) -> Arrival:
    fleet = context.traffic.runner.fleet
    traffic = next(item for item in fleet.traffic if not item.repeatable)
    run = context.traffic.run
    added = sum(item.arrival.index >= FIRST_INDEX for item in run.observations)
    marker = f"held-{added}"
    return Arrival(
        index=FIRST_INDEX + added,
        offset=run.elapsed,
        workspace=fleet.workspaces[0].name,
        pipeline=traffic.pipeline,
        input={"prompt": marker, "effect": marker, "size": SLOW_CALL_SIZE},
        marker=marker,
        deadline_ms=traffic.deadline_ms,
        repeatable=False,
        idempotency_key=f"key-{marker}",
    )


def _create_retry(first: Arrival, number: int) -> Arrival:
    return dataclasses.replace(first, index=first.index + number, retry_of=first.index)


async def _send(client: CallerClient, arrival: Arrival, daemon: Daemon) -> Observation:
    due = asyncio.get_running_loop().time()
    return await client.send(arrival, daemon.entry, due)


async def _kill(daemon: Daemon) -> None:
    daemon.process.kill()
    await daemon.process.wait()


async def _replace(context: FaultContext, daemon: Daemon) -> None:
    runner, balancer = context.traffic.runner, context.traffic.balancer
    runner.daemons.remove(daemon)
    replacement = await runner.start_daemon(
        f"{daemon.instance_id}-next", daemon.data_centre
    )
    balancer.add(replacement.entry)
    balancer.remove(daemon.entry)
    await runner.instance_list.remove([daemon.instance_id])
