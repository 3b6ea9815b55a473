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

#: seconds within which a configuration must be active on every instance; required by
#: the platform for fleets in which only some instances watch the store
IN_FORCE = 3.0


class Store:
    """A store without changes that counts its calls."""

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
        **{"is_follower": lambda: False, "has_dependents": lambda: False, **rules},
    )


async def report_from_peers(follower: StoreFollower, seconds: float) -> None:
    """Simulate up-to-date peer reports for a number of seconds."""
    for _ in range(round(seconds / 0.4)):
        follower.record_peer_report(0.2)
        await asyncio.sleep(0.4)


async def test_passive_instance_watches_the_store_once_peer_reports_stop():
    """Guards against late configurations after many followers failed at once.

    A passive instance keeps waiting for reports of peers that no longer exist.
    """
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


async def test_follower_with_dependents_detects_lost_history_in_time():
    """Guards against updates that reach passive instances too late.

    A watch whose history was lost shows changes only after its timeout. If that were
    as long as the required time, the updates would be late when passed on.
    """
    store = Store()
    follower = create_follower(
        store, is_follower=lambda: True, has_dependents=lambda: True
    )
    await follower.start()
    await asyncio.sleep(5.0)
    assert store.waits
    assert max(store.waits) <= IN_FORCE / 2
    await follower.stop()


async def test_instance_that_has_read_nothing_reports_no_age():
    """Guards against news that are taken for current, as a peer has just started.

    Neither of two instances reaches the store, and one of them starts again.
    """
    started = create_follower(Store())
    assert started.reported_staleness is None
    assert started.confirmed_at == float("-inf")
    await asyncio.sleep(5.0)
    assert started.reported_staleness is None
    started.record_peer_report(7.0)
    assert started.reported_staleness == pytest.approx(7.0)
    await asyncio.sleep(1.0)
    started.record_peer_report(20.0)
    assert started.reported_staleness == pytest.approx(8.0)
    await started.start()
    await asyncio.sleep(0.1)
    await started.stop()
    assert started.reported_staleness < 1.0
