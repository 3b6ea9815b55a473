"""Tests of greengagelatch_entry.relay.shared_read, in virtual time."""

from __future__ import annotations

import asyncio

import pytest
from result import Err, Ok

from greengagelatch.store import Entry, StoreError, StoreErrorKind
from greengagelatch_entry.relay.shared_read import MIN_READ_SPACING, SharedRead
from greengagelatch_lab.stage_load.trial import LoopClock

pytestmark = pytest.mark.looptime

#: seconds that the store takes
READ_SECONDS = 0.05
#: seconds that readers wait
WAIT_SECONDS = 2.0


class World:
    """A store that is read, and what was read of it."""

    def __init__(self) -> None:
        self.begun_at: list[float] = []
        self.revision = 1
        self.found: list[Entry | None] = []
        self.is_up = True
        self.read = SharedRead(
            store=self, key="k", apply=self._apply, clock=LoopClock()
        )

    async def get(self, key):
        self.begun_at.append(LoopClock().now())
        entry = Entry(key, b"", self.revision)
        await asyncio.sleep(READ_SECONDS)
        if not self.is_up:
            return Err(StoreError(StoreErrorKind.UNREACHABLE, "no route"))
        return Ok(entry)

    def _apply(self, entry) -> bool:
        self.found.append(entry)
        return True


async def test_those_that_ask_at_once_share_a_read():
    world = World()
    answers = [world.read.read(WAIT_SECONDS) for _ in range(50)]
    assert await asyncio.gather(*answers) == [True] * 50
    assert len(world.begun_at) == 1


async def test_read_that_is_under_way_does_not_answer_those_that_come_later():
    """Guards against a reading from before the change that is asked for."""
    world = World()
    first = asyncio.create_task(world.read.read(WAIT_SECONDS))
    await asyncio.sleep(READ_SECONDS / 2)
    world.revision = 2
    assert await world.read.read(WAIT_SECONDS)
    assert await first
    assert [one.revision for one in world.found] == [1, 2]


async def test_store_is_read_at_a_bounded_rate():
    """Guards against a read of the store for each stream of a burst."""
    world = World()
    for _ in range(5):
        await world.read.read(WAIT_SECONDS)
    pairs = zip(world.begun_at, world.begun_at[1:], strict=False)
    assert min(b - a for a, b in pairs) >= MIN_READ_SPACING - 1e-9


async def test_nothing_is_known_by_a_store_that_is_away_or_silent():
    world = World()
    world.is_up = False
    assert not await world.read.read(WAIT_SECONDS)
    world.is_up = True
    assert not await world.read.read(READ_SECONDS / 2)
    assert await world.read.read(WAIT_SECONDS)


async def test_reader_that_gives_up_does_not_end_the_read_of_others():
    """Guards against a cancelled request that others wait with."""
    world = World()
    tasks = [asyncio.create_task(world.read.read(WAIT_SECONDS)) for _ in range(2)]
    await asyncio.sleep(READ_SECONDS / 2)
    tasks[0].cancel()
    assert await tasks[1]
