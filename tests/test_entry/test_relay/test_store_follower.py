"""Tests of greengagelatch_entry.relay.store_follower in virtual time."""

from __future__ import annotations

import asyncio
import random

import pytest
from result import Ok

from greengagelatch.store.ranges import Changes, Scan
from greengagelatch_entry.relay.decisions import DecisionLog
from greengagelatch_entry.relay.prometheus import PrometheusMetrics
from greengagelatch_entry.relay.store_follower import StoreFollower
from greengagelatch_lab.stage_load.trial import LoopClock

pytestmark = pytest.mark.looptime

#: seconds within which a configuration has to be in force everywhere, as the platform
#: of a fleet in which instances leave the store to others asks for
IN_FORCE = 3.0


class Store:
    """A store in which nothing changes; counts its calls."""

    def __init__(self) -> None:
        self.scans = 0
        self.waits: list[float] = []

    async def scan(self, prefix):
        self.scans += 1
        return Ok(Scan((), 7))

    async def follow(self, prefix, after, seconds):
        self.waits.append(seconds)
        await asyncio.sleep(seconds)
        return Ok(Changes((), (), after))


def create_follower(store: Store, **rules) -> StoreFollower:
    clock, metrics = LoopClock(), PrometheusMetrics()
    return StoreFollower(
        store=store,
        subscribers=(),
        clock=clock,
        random_source=random.Random(1),
        metrics=metrics,
        decisions=DecisionLog(clock=clock, metrics=metrics),
        **{"is_listener": lambda: False, "has_dependents": lambda: False, **rules},
    )


async def report_from_peers(follower: StoreFollower, seconds: float) -> None:
    """Have peers tell the newest for so many seconds."""
    for _ in range(round(seconds / 0.4)):
        follower.record_peer_report(0.2)
        await asyncio.sleep(0.4)


async def test_passive_instance_watches_the_store_once_peer_reports_stop():
    """Guards against configurations that are in force late after a loss of power."""
    store = Store()
    follower = create_follower(store)
    await follower.start()
    await asyncio.sleep(4.0)
    await report_from_peers(follower, 8.0)
    assert follower.passive
    before = store.scans
    await asyncio.sleep(IN_FORCE / 2)
    assert store.scans > before
    await follower.stop()


async def test_listener_with_dependents_detects_lost_history_in_time():
    """Guards against news that are as old as the bound when they are passed on."""
    store = Store()
    follower = create_follower(
        store, is_listener=lambda: True, has_dependents=lambda: True
    )
    await follower.start()
    await asyncio.sleep(5.0)
    assert store.waits
    assert max(store.waits) <= IN_FORCE / 2
    await follower.stop()
