"""Benchmarks the store calls and processor time of target group leases."""

from __future__ import annotations

import asyncio
import dataclasses
import time
from collections.abc import Sequence

from greengagelatch.clock import SystemClock
from greengagelatch.peers import Member
from greengagelatch.settings import Settings, parse
from greengagelatch_entry.controllers.leases import LeasesController
from greengagelatch_entry.metrics import Metrics

from ..standins.memory import MemoryStore
from ..standins.peers import MemoryNetwork, MemoryPeers
from .fits import Point, Series
from .meters import measure_cpu

__all__ = ("measure_leases",)

STATSD = "127.0.0.1:9"
GROUPS = (1, 11, 40)
INSTANCES = (2, 12)
#: duration of a lease in seconds
TTL = 4.0
#: seconds before the measurement begins, in which the leases are acquired
WARM_UP_SECONDS = 2.0
MEASUREMENT_SECONDS = 4.0
#: longest action that a lease protects, in seconds
LONGEST_ACTION = 0.3
#: seconds for which the list of members is cached
MEMBERS_CACHE_SECONDS = 1.0
DATA_CENTRE = "centre"
SETTINGS = f"""
[instance]
id = entry-1
data_centre = {DATA_CENTRE}

[platform]
store = 127.0.0.1:9
instances = 127.0.0.1:9

[leases]
ttl = {TTL}
margin = 0.1
"""


class _SingleCentrePeers(MemoryPeers):
    """Peers that are all in the same data centre.

    The list of members is refreshed once a second, as a daemon does it.
    """

    _cached: tuple[Member, ...] = ()
    _cached_until = 0.0

    def members(self) -> tuple[Member, ...]:
        now = time.monotonic()
        if now >= self._cached_until:
            self._cached_until = now + MEMBERS_CACHE_SECONDS
            self._cached = tuple(
                dataclasses.replace(member, data_centre=DATA_CENTRE)
                for member in super().members()
            )
        return self._cached


async def measure_leases(
    groups: Sequence[int] = GROUPS,
    instances: Sequence[int] = INSTANCES,
    seconds: float = MEASUREMENT_SECONDS,
) -> Series:
    """Distribute the leases of some groups over instances of one data centre.

    The figures are per lease duration (TTL), so that they apply to any TTL.
    """
    points = []
    for count in instances:
        for number in groups:
            points.append(await _measure_point(count, number, seconds))
    return Series(
        role="order holders, leases",
        points=points,
        fit_drivers={
            "calls_per_ttl": ("groups", "instances"),
            "cpu_ms_per_ttl": ("groups", "instances"),
        },
    )


async def _measure_point(instances: int, groups: int, seconds: float) -> Point:
    store = MemoryStore(clock=SystemClock())
    network = MemoryNetwork()
    settings = parse(SETTINGS).unwrap()
    names = {f"group-{number}" for number in range(groups)}
    controllers = []
    for number in range(instances):
        peers = _SingleCentrePeers(network, f"entry-{number}")
        network.join(peers.instance_id)
        controllers.append(_create_controller(store, peers, settings))
    for controller in controllers:
        await controller.start()
        controller.set_desired_groups(names, busy=frozenset())
    try:
        await asyncio.sleep(WARM_UP_SECONDS)
        calls_before, begun = store.calls.copy(), time.monotonic()
        with measure_cpu() as usage:
            await asyncio.sleep(seconds)
        elapsed_ttls = (time.monotonic() - begun) / TTL
        calls = store.calls - calls_before
    finally:
        for controller in controllers:
            await controller.stop()
    return Point(
        drivers={"instances": instances, "groups": groups},
        figures={
            "calls_per_ttl": calls.total() / elapsed_ttls,
            "keeps_per_ttl": calls["keep"] / elapsed_ttls,
            "cpu_ms_per_ttl": usage.cpu_ms / elapsed_ttls,
        },
    )


def _create_controller(
    store: MemoryStore, peers: MemoryPeers, settings: Settings
) -> LeasesController:
    return LeasesController(
        store=store,
        peers=peers,
        clock=SystemClock(),
        settings=settings,
        metrics=Metrics(STATSD),
        longest_action=LONGEST_ACTION,
    )
