"""Benchmarks real links between entry instances that share one event loop."""

from __future__ import annotations

import asyncio
import random
import time
from dataclasses import dataclass

from greengagelatch.clock import SystemClock
from greengagelatch.events import EventBus
from greengagelatch.instances import Instance, InstanceKind, Listing
from greengagelatch.settings import parse
from greengagelatch_entry.adapters.peers import PeerHub
from greengagelatch_entry.controllers.listing import LISTING_RECEIVED
from greengagelatch_entry.metrics import Metrics

from .detector_fleet import DATA_CENTRES

__all__ = ("LinkCost", "measure_links")

SETTINGS = """
[instance]
id = entry-{number:05d}
data_centre = {data_centre}
[peers]
listen = 127.0.0.1:0
[platform]
store = 127.0.0.1:1
instances = 127.0.0.1:1
"""

#: seconds until links are open and the initial gossip has been disseminated
SETTLE_SECONDS = 20.0


@dataclass(frozen=True, slots=True, kw_only=True)
class LinkCost:
    """Cost of membership for one instance, including its links."""

    members: int
    links: float
    #: with handshakes, heartbeats and frame headers, without TCP and IP headers
    wire_bytes_per_second: float
    message_bytes_per_second: float
    dials_per_second: float
    cpu_share: float


async def measure_links(members: int, seconds: float) -> LinkCost:
    """Measure ``members`` instances over loopback in one process."""
    hubs = [_create_hub(number) for number in range(members)]
    for hub, _, _ in hubs:
        await hub.start()
    listing = Listing(
        1, tuple(_create_list_entry(hub, n) for n, (hub, _, _) in enumerate(hubs))
    )
    for _, events, _ in hubs:
        events.emit(LISTING_RECEIVED, listing)
    await asyncio.sleep(SETTLE_SECONDS)
    before = _sum_counters(hubs)
    begun = time.process_time()
    await asyncio.sleep(seconds)
    cpu = time.process_time() - begun
    after = _sum_counters(hubs)
    links = sum(len(hub.dump()["links"]) for hub, _, _ in hubs)
    for hub, _, _ in hubs:
        await hub.stop()
    instance_seconds = members * seconds
    return LinkCost(
        members=members,
        links=links / members,
        wire_bytes_per_second=(after[0] - before[0]) / instance_seconds,
        message_bytes_per_second=(after[1] - before[1]) / instance_seconds,
        dials_per_second=(after[2] - before[2]) / instance_seconds,
        cpu_share=cpu / instance_seconds,
    )


def _create_hub(number: int) -> tuple[PeerHub, EventBus, Metrics]:
    data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
    text = SETTINGS.format(number=number, data_centre=data_centre)
    events, metrics = EventBus(), Metrics("127.0.0.1:9")
    hub = PeerHub(
        clock=SystemClock(),
        random_source=random.Random(number),
        events=events,
        settings=parse(text).unwrap(),
        metrics=metrics,
    )
    return hub, events, metrics


def _create_list_entry(hub: PeerHub, number: int) -> Instance:
    return Instance(
        instance_id=hub.instance_id,
        kind=InstanceKind.ENTRY,
        data_centre=DATA_CENTRES[number % len(DATA_CENTRES)],
        address=f"127.0.0.1:{hub.port}",
    )


def _sum_counters(
    hubs: list[tuple[PeerHub, EventBus, Metrics]],
) -> tuple[int, int, int]:
    names = ("peers.wire_out", "peers.bytes_out", "peers.dials")
    totals = [sum(metrics.value(name) for _, _, metrics in hubs) for name in names]
    return totals[0], totals[1], totals[2]
