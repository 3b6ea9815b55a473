"""Tests of the limit on rejections by brittle targets through a whole instance."""

from __future__ import annotations

import asyncio

from greengagelatch_lab.platform_standins.brittleness import Brittleness

SERVED = 200
REFUSED = 503
#: requests that arrive at once, many times what the targets have room for
BURST = 60


def make_brittle(world, limit: int | None = 3, slots: int = 2) -> list[Brittleness]:
    """Make the targets of the unary service brittle."""
    made = []
    for target in world.targets.values():
        target.brittleness = Brittleness(limit=limit, slots=slots, queue=BURST)
        target.brittleness.shrinks_after = 60.0
        target.register(world.store)
        made.append(target.brittleness)
    return made


async def ask_each_target(world) -> None:
    """Send requests until each target has answered one."""
    async with asyncio.timeout(20):
        while not all(target.runs for target in world.targets.values()):
            await asyncio.gather(*(world.ask("/look/1") for _ in range(4)))


async def test_burst_does_not_make_brittle_targets_fall(world):
    """Guards against a burst that makes brittle targets fall over.

    Each request was sent to one target after the other, all of which were full.
    """
    states = make_brittle(world)
    await ask_each_target(world)
    for one in states:
        one.shrinks_after = 0.0
    replies = await asyncio.gather(*(world.ask(f"/look/{n}") for n in range(BURST)))
    assert sum(one.falls for one in states) == 0
    statuses = [reply.status for reply in replies]
    assert set(statuses) <= {SERVED, REFUSED}
    assert statuses.count(SERVED) >= sum(one.slots for one in states)
