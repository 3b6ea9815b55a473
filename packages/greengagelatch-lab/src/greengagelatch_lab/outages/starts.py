"""Starts of entry instances at a bad moment."""

from __future__ import annotations

from ..processes import ProcessError
from . import Fault, Scene

__all__ = ("StartInOutage",)

#: running instances whose addresses the new one is given
SEEDS = 2


class StartInOutage(Fault):
    """An instance starts while the platform, store and list, is down."""

    name = "start-in-outage"

    async def begin(self, scene: Scene) -> None:
        runner = scene.playing.runner
        await runner.instance_list.set_faults(outage=True)
        data_centre = scene.random_source.choice(runner.fleet.data_centres)
        known = scene.random_source.sample(runner.daemons, SEEDS)
        daemon = await runner.start_daemon(
            f"{data_centre}-late-{len(runner.daemon_data_centres)}",
            data_centre,
            {"peers.seeds": ",".join(other.peer_address for other in known)},
        )
        try:
            await runner.wait_ready(daemon)
        except ProcessError as error:
            scene.broken.append(f"{self.name}: {error}")
        scene.playing.balancer.add(daemon.entry)

    async def end(self, scene: Scene) -> None:
        await scene.playing.runner.instance_list.set_faults(outage=False)
