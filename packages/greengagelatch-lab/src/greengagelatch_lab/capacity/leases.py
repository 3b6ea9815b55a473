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
from ..standins.peers import MemoryPeers, Switchboard
from .fits import Point, Series
from .meters import measure_cpu

__all__ = ("measure_leases",)

STATSD = "127.0.0.1:9"
GROUPS = (1, 11, 40)
INSTANCES = (2, 12)
#: duration of a lease in seconds
TTL = 4.0
#: seconds before the measurement begins, in which the leases are acquired
START = 2.0
SECONDS = 4.0
#: longest action that a lease protects, in seconds
LONGEST_ACTION = 0.3
#: seconds for which the list of members is cached
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

    The list of members is refreshed once a second, as a daemon does it.
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
        lines={
            "calls_per_ttl": ("groups", "instances"),
            "cpu_ms_per_ttl": ("groups", "instances"),
        },
    )


async def _measure_point(instances: int, groups: int, seconds: float) -> Point:
    store = MemoryStore(clock=SystemClock())
    switchboard = Switchboard()
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
