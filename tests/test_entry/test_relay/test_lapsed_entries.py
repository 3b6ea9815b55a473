"""Tests of targets whose entries end without a word, and are written again."""

from __future__ import annotations

import asyncio

import pytest

from greengagelatch_lab.platform_standins.store import StoreFault

from .conftest import Fleet
from .loads import Load


async def lapse(world, *target_ids: str) -> None:
    """End the entries of targets, and wait until the instance knows."""
    for target_id in target_ids:
        world.store.remove(f"servers/{target_id}")
    await world.wait_for(lambda: not any(map(world.accepts, target_ids)))


async def test_service_whose_entries_lapsed_without_an_outage_is_served_again(world):
    """Guards against a removal that is taken for the end of a target for good.

    Entries end as their targets can't reach the store for some seconds, and are written
    again by the same processes. The instance notices no outage of the store.
    """
    await lapse(world, "desk-1", "desk-2")
    assert (await world.ask("/look/1")).status == 503
    for target in world.targets.values():
        target.register(world.store)
    await world.wait_for_revision(world.store.revision)
    assert [world.accepts(one) for one in world.targets] == [True, True]
    assert (await world.ask("/look/1")).status == 200


async def test_target_that_asked_for_rest_rests_on_after_its_entry_has_lapsed(world):
    """Guards against requests to a resting target that returns to the listing.

    It is the same process, which said for how long it wants nothing. The fault is to
    discard all that is known of a target with its entry.
    """
    target = world.targets["desk-1"]
    target.announced_rest.value = "3600"
    while not target.announced_rest.rejections:
        await world.ask("/look/1")
    before = len(target.announced_rest.arrivals)
    await lapse(world, "desk-1")
    target.register(world.store)
    await world.wait_for(lambda: world.accepts("desk-1"))
    for _ in range(10):
        assert (await world.ask("/look/1")).status == 200
    assert len(target.announced_rest.arrivals) == before


async def test_entry_of_a_late_writer_does_not_bring_back_a_target_that_leaves(world):
    """Guards against an old write by which a target that leaves gets requests."""
    target = world.targets["desk-1"]
    target.announced_leaving.value = "1"
    while not target.announced_leaving.told_at:
        await world.ask("/look/1")
    world.store.remove("servers/desk-1")
    target.register(world.store)
    await world.wait_for_revision(world.store.revision)
    before = len(target.announced_leaving.told_at)
    for _ in range(6):
        assert (await world.ask("/look/1")).status == 200
    assert len(target.announced_leaving.told_at) == before
    assert world.count("targets.ended_listed") == 1
    assert world.count("targets.returned") == 0


async def test_target_whose_address_another_service_uses_gets_no_request(world):
    """Guards against requests to the successor of a target at its address."""
    target = world.targets["desk-1"]
    fields = {**target.describe(), "service": "prices"}
    world.store.put("servers/prices-1", fields)
    await world.wait_for(lambda: world.accepts("prices-1"))
    assert not world.accepts("desk-1")
    for _ in range(6):
        assert (await world.ask("/look/1")).status == 200
    assert not target.received
    world.store.remove("servers/prices-1")
    await world.wait_for(lambda: world.accepts("desk-1"))


@pytest.mark.parametrize("count", [2, 9])
@pytest.mark.parametrize("is_all", [False, True])
async def test_fleet_uses_targets_again_after_their_entries_have_lapsed(count, is_all):
    """Guards against instances of which some never use a target again."""
    fleet = Fleet(("north",) * count, ("north",))
    await fleet.start()
    try:
        targets = [
            one for one in fleet.targets.values() if is_all or one.service == "desk"
        ]
        ids = [one.target_id for one in targets]
        for one in ids:
            fleet.store.remove(f"servers/{one}")
        for instance in fleet.instances:
            await instance.wait_for(lambda it=instance: not any(map(it.accepts, ids)))
        for target in targets:
            target.register(fleet.store)
        for instance in fleet.instances:
            await instance.wait_for(lambda it=instance: all(map(it.accepts, ids)))
        load = Load(fleet, "/look/1")
        await load.run(1.0)
        assert load.find_served_share() == 1.0
    finally:
        await fleet.stop()


@pytest.mark.parametrize("fault", [StoreFault.UNAVAILABLE, StoreFault.UNRESPONSIVE])
async def test_targets_are_used_after_an_outage_in_which_entries_lapsed(world, fault):
    """Guards against targets that are lost where an outage is noticed or too short."""
    follower = world.find("store")
    for is_noticed in (False, True):
        world.store.fault = fault
        for target in world.targets.values():
            world.store.remove(f"servers/{target.target_id}")
        if is_noticed:
            await world.wait_for(lambda: not follower.reachable)
        world.store.fault = StoreFault.NONE
        await asyncio.sleep(0.1)
        for target in world.targets.values():
            target.register(world.store)
        await world.wait_for_revision(world.store.revision)
        await world.wait_for(lambda: all(map(world.accepts, world.targets)))
        assert (await world.ask("/look/1")).status == 200
