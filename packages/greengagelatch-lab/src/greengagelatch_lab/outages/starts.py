"""Starts of entry instances during an outage."""

from __future__ import annotations

from ..processes import ProcessError
from . import Fault, FaultContext

__all__ = ("StartInOutage",)

#: number of running instances whose addresses the new one gets as seeds
SEED_COUNT = 2


class StartInOutage(Fault):
    """An instance starts while the platform's store and instance list are down."""

    name = "start-in-outage"

    async def inject(self, context: FaultContext) -> None:
        runner = context.traffic.runner
        await runner.instance_list.set_faults(outage=True)
        data_centre = context.random_source.choice(runner.fleet.data_centres)
        known = context.random_source.sample(runner.daemons, SEED_COUNT)
        daemon = await runner.start_daemon(
            f"{data_centre}-late-{len(runner.daemon_data_centres)}",
            data_centre,
            {"peers.seeds": ",".join(other.peer_address for other in known)},
        )
        try:
            await runner.wait_ready(daemon)
        except ProcessError as error:
            context.guarantee_violations.append(f"{self.name}: {error}")
        context.traffic.balancer.add(daemon.entry)

    async def remove(self, context: FaultContext) -> None:
        await context.traffic.runner.instance_list.set_faults(outage=False)
