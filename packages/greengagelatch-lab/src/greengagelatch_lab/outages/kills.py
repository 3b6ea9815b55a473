"""Faults that kill entry instances."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING

from ..load.arrivals import Arrival
from ..load.client import CallerClient
from . import LastingFault, Scene

if TYPE_CHECKING:
    from ..fleets.daemon import Daemon
    from ..load.observations import Observation

__all__ = ("DaemonKilled", "HolderKilled")

#: multiple of the usual duration of a call, so that it takes about 600 ms
SIZE = 60
#: time after a keyed request within which its instance is killed, in seconds
KILL_WITHIN = 0.6
#: number of instances at which the request is retried immediately
REPEATS = 2
#: index of the first arrival that is added to the generated traffic
FIRST_INDEX = 1_000_000


class DaemonKilled(LastingFault):
    """An entry instance is killed and replaced by another one."""

    name = "daemon-killed"

    async def begin(self, scene: Scene) -> None:
        daemon = scene.pick_daemon()
        await _kill(daemon)
        await _replace(scene, daemon)


class HolderKilled(LastingFault):
    """The holder of a keyed request is killed, and the request retried elsewhere.

    The moment is random: before the claim, between the claim and the call, or during
    the call.
    """

    name = "holder-killed"

    async def begin(self, scene: Scene) -> None:
        daemon = scene.pick_daemon()
        others = [item for item in scene.playing.runner.daemons if item is not daemon]
        asked = scene.random_source.sample(others, REPEATS)
        arrival = _create_arrival(scene)
        async with CallerClient() as client:
            first = asyncio.create_task(_send(client, arrival, daemon))
            await asyncio.sleep(scene.random_source.uniform(0.0, KILL_WITHIN))
            await _kill(daemon)
            repeats = [
                _send(client, _repeat(arrival, number), other)
                for number, other in enumerate(asked, 1)
            ]
            seen = await asyncio.gather(first, *repeats)
        scene.playing.run.observations.extend(seen)
        await _replace(scene, daemon)


def _create_arrival(scene: Scene) -> Arrival:
    fleet = scene.playing.runner.fleet
    traffic = next(item for item in fleet.traffic if not item.repeatable)
    run = scene.playing.run
    added = sum(item.arrival.index >= FIRST_INDEX for item in run.observations)
    marker = f"held-{added}"
    return Arrival(
        index=FIRST_INDEX + added,
        offset=run.elapsed,
        workspace=fleet.workspaces[0].name,
        pipeline=traffic.pipeline,
        input={"prompt": marker, "effect": marker, "size": SIZE},
        marker=marker,
        deadline_ms=traffic.deadline_ms,
        repeatable=False,
        key=f"key-{marker}",
    )


def _repeat(first: Arrival, number: int) -> Arrival:
    return dataclasses.replace(first, index=first.index + number, repeat_of=first.index)


async def _send(client: CallerClient, arrival: Arrival, daemon: Daemon) -> Observation:
    due = asyncio.get_running_loop().time()
    return await client.send(arrival, daemon.entry, due)


async def _kill(daemon: Daemon) -> None:
    daemon.process.kill()
    await daemon.process.wait()


async def _replace(scene: Scene, daemon: Daemon) -> None:
    runner, balancer = scene.playing.runner, scene.playing.balancer
    runner.daemons.remove(daemon)
    replacement = await runner.start_daemon(
        f"{daemon.instance_id}-next", daemon.data_centre
    )
    balancer.add(replacement.entry)
    balancer.remove(daemon.entry)
    await runner.registry.remove([daemon.instance_id])
