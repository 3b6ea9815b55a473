"""Starts of entry instances during an outage."""

from __future__ import annotations

from ..processes import ProcessError
from . import Fault, Scene

__all__ = ("StartInOutage",)

#: number of running instances whose addresses the new one gets as seeds
SEEDS = 2


class StartInOutage(Fault):
    """An instance starts while the platform's store and instance list are down."""

    name = "start-in-outage"

    async def begin(self, scene: Scene) -> None:
        runner = scene.playing.runner
        await runner.registry.set_faults(outage=True)
        data_centre = scene.random_source.choice(runner.fleet.data_centres)
        known = scene.random_source.sample(runner.daemons, SEEDS)
        daemon = await runner.start_daemon(
            f"{data_centre}-late-{len(runner.places)}",
            data_centre,
            {"peers.seeds": ",".join(other.peers for other in known)},
        )
        try:
            await runner.wait_ready(daemon)
        except ProcessError as error:
            scene.broken.append(f"{self.name}: {error}")
        scene.playing.balancer.add(daemon.entry)

    async def end(self, scene: Scene) -> None:
        await scene.playing.runner.registry.set_faults(outage=False)
