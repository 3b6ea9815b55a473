"""Test of starting an instance while the platform is unreachable, with processes."""

from __future__ import annotations

import asyncio

import pytest

from greengagelatch.config.objects import StageKind
from greengagelatch_lab.fleets import Fleet, FleetService
from greengagelatch_lab.fleets.runner import FleetRunner
from greengagelatch_lab.load.arrivals import Arrival
from greengagelatch_lab.load.client import CallerClient
from greengagelatch_lab.load.observations import RequestOutcome

pytestmark = [pytest.mark.processes, pytest.mark.timeout(90)]

PORTAL = Fleet(
    name="portal",
    data_centres=("north", "south"),
    services=(FleetService(name="portal", kind=StageKind.RERANK, replicas=2),),
    workspaces=(),
    traffic=(),
)

OBJECTS = """
[service:portal]
kind = rerank

[workspace:member]

[pipeline:status]
stages = look-up

[stage:status/look-up]
kind = rerank
service = portal
"""


async def test_instance_starts_while_the_platform_is_down(tmp_path):
    """Guards against instances that never become ready during a platform outage.

    The store and the listing are down. A new instance starts in a data centre that is
    partitioned from the platform, with two seeds, one of them dead. The fault is to get
    the configuration from peers, but members and targets only from the listing; each
    replaced instance would then reduce the fleet.
    """
    async with (
        FleetRunner(
            PORTAL, tmp_path, entries_per_data_centre=1, emulate_network=True
        ) as runner,
        CallerClient() as client,
    ):
        await runner.apply_objects(OBJECTS)
        await runner.wait_ready()
        await runner.instance_list.set_faults(outage=True)
        for path in runner.network.find_platform_paths("south"):
            path.link.blackhole()
        old = runner.daemons[0]
        seeds = f"127.0.0.1:1, {old.peer_address}"
        new = await runner.start_daemon("south-next", "south", {"peers.seeds": seeds})
        await runner.wait_ready(new)
        arrival = Arrival(
            index=1,
            offset=0.0,
            workspace="member",
            pipeline="status",
            input={"prompt": "marker-1"},
            marker="marker-1",
            deadline_ms=8000,
        )
        due = asyncio.get_running_loop().time()
        seen = await client.send(arrival, new.entry, due)
    assert seen.outcome is RequestOutcome.RESULT
