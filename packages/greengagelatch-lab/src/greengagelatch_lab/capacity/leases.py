"""Calls to the store that leases of target groups cost."""

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
TTL = 4.0
#: the first of these are not counted: leases are got then
START = 2.0
SECONDS = 4.0
LONGEST_ACTION = 0.3
SHOWN_LIFE = 1.0
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


class _NearPeers(MemoryPeers):
    """Peers that are all in the same data centre.

    Members are listed anew once a second, as by the network of daemons.
    """

    _shown: tuple[Member, ...] = ()
    _shown_until = 0.0

    def members(self) -> tuple[Member, ...]:
        now = time.monotonic()
        if now >= self._shown_until:
            self._shown_until = now + SHOWN_LIFE
            self._shown = tuple(
                dataclasses.replace(member, data_centre=DATA_CENTRE)
                for member in super().members()
            )
        return self._shown


async def measure_leases(
    groups: Sequence[int] = GROUPS,
    instances: Sequence[int] = INSTANCES,
    seconds: float = SECONDS,
) -> Series:
    """Let instances of one data centre share out the leases of some groups.

    The figures are by the duration of a lease, so that they hold for any.
    """
    points = []
    for count in instances:
        for number in groups:
            points.append(await _measure_point(count, number, seconds))
    return Series(
        role="order holders, leases",
        points=points,
        lines={
            "calls_per_ttl": ("groups", "instances"),
            "cpu_ms_per_ttl": ("groups", "instances"),
        },
    )


async def _measure_point(instances: int, groups: int, seconds: float) -> Point:
    store = MemoryStore(clock=SystemClock())
    switchboard = MemoryNetwork()
    settings = parse(SETTINGS).unwrap()
    names = {f"group-{number}" for number in range(groups)}
    controllers = []
    for number in range(instances):
        peers = _NearPeers(switchboard, f"entry-{number}")
        switchboard.join(peers.instance_id)
        controllers.append(_create(store, peers, settings))
    for controller in controllers:
        await controller.start()
        controller.set_desired_groups(names, busy=frozenset())
    try:
        await asyncio.sleep(START)
        before, begun = store.calls.copy(), time.monotonic()
        with measure_cpu() as spent:
            await asyncio.sleep(seconds)
        lives = (time.monotonic() - begun) / TTL
        calls = store.calls - before
    finally:
        for controller in controllers:
            await controller.stop()
    return Point(
        drivers={"instances": instances, "groups": groups},
        figures={
            "calls_per_ttl": calls.total() / lives,
            "keeps_per_ttl": calls["keep"] / lives,
            "cpu_ms_per_ttl": spent.cpu_ms / lives,
        },
    )


def _create(
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
