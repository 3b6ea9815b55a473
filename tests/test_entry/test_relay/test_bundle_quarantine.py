"""Tests of greengagelatch_entry.relay.bundle_quarantine in virtual time."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import pytest

from greengagelatch.relay.incarnations import Incarnation
from greengagelatch.relay.pieces import Bundle, Piece
from greengagelatch.relay.quarantine import CrashReport, Quarantine
from greengagelatch_entry.relay.bundle_quarantine import (
    UNUSED_TURN_SECONDS,
    SharedBundleQuarantine,
)
from greengagelatch_entry.relay.crash_detector import SETTLE_SECONDS
from greengagelatch_entry.relay.suspect_locks import Lock
from greengagelatch_lab.stage_load.virtual_time import LoopClock

pytestmark = pytest.mark.looptime

KEY = "aa/ledger"


class FakeLocks:
    """Grants locks unless another instance holds one."""

    def __init__(self) -> None:
        self.held_elsewhere = False
        #: delay of each release
        self.releases: list[float] = []

    async def acquire(self, digest):
        await asyncio.sleep(0.01)
        return None if self.held_elsewhere else Lock(digest, "1")

    def release(self, lock, delay=0.0):
        self.releases.append(delay)


class World:
    """The quarantine of an owner, for the attempts at one request."""

    def __init__(self) -> None:
        self.quarantine = Quarantine()
        self.locks = FakeLocks()
        #: whether all reports on the latest crash have arrived
        self.settled = True
        self.shared = SharedBundleQuarantine(
            quarantine=self.quarantine,
            locks=self.locks,
            crash_detector=SimpleNamespace(is_settled=lambda key: self.settled),
            clock=LoopClock(),
        )

    def crash(self, *targets: str) -> None:
        now = asyncio.get_running_loop().time()
        for target in targets:
            report = CrashReport(Incarnation(target), "ledger", (KEY,))
            self.quarantine.record_crash(report, now)

    async def wait_for_turn(self, bundle: Bundle) -> None:
        async with asyncio.timeout(10):
            while not self.shared.may_send(bundle):  # noqa: ASYNC110
                await asyncio.sleep(0.05)


def create_bundle(attempt: int) -> Bundle:
    return Bundle(
        bundle_id=f"r{attempt}/0",
        service="ledger",
        pieces=(Piece(request_id=f"r{attempt}", stage=0, segment=0, key="k"),),
        result_bytes=100,
        soft_deadline=60.0,
        hard_deadline=60.0,
        digest="aa",
    )


@pytest.fixture
async def world():
    return World()


async def test_attempts_at_a_suspected_bundle_are_sent_one_at_a_time(world):
    """Guards against attempts at one request that crash a maker each."""
    world.crash("m1", "m2")
    first, second = create_bundle(1), create_bundle(2)
    await world.wait_for_turn(first)
    world.shared.record_start([first])
    await asyncio.sleep(2 * UNUSED_TURN_SECONDS)
    assert not world.shared.may_send(second)
    world.shared.record_end([first])
    assert world.locks.releases == [0.0]
    await world.wait_for_turn(second)


async def test_lock_outlasts_the_report_of_a_crash(world):
    """Guards against a next attempt that is sent before the crash is known."""
    world.crash("m1", "m2")
    bundle = create_bundle(1)
    await world.wait_for_turn(bundle)
    world.shared.record_start([bundle])
    world.settled = False
    world.shared.record_end([bundle])
    assert world.locks.releases == [SETTLE_SECONDS]
    assert not world.shared.may_send(bundle)


async def test_bundle_that_another_owner_sends_waits(world):
    """Guards against attempts that reach makers through several owners at once."""
    world.crash("m1", "m2")
    world.locks.held_elsewhere = True
    bundle = create_bundle(1)
    with pytest.raises(TimeoutError):
        await world.wait_for_turn(bundle)
    world.locks.held_elsewhere = False
    await world.wait_for_turn(bundle)


async def test_unused_lock_is_released(world):
    """Guards against a harmless request blocked by an attempt that was withdrawn."""
    world.crash("m1", "m2")
    await world.wait_for_turn(create_bundle(1))
    await asyncio.sleep(UNUSED_TURN_SECONDS)
    assert world.locks.releases == [0.0]


async def test_bundle_is_not_quarantined_before_all_reports_have_arrived(world):
    """Guards against quarantine by the report of one owner among several."""
    world.crash("m1", "m2", "m3")
    world.settled = False
    assert not world.shared.is_quarantined(create_bundle(1))
    world.settled = True
    assert world.shared.is_quarantined(create_bundle(1))
