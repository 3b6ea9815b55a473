"""Tests of targets whose entries end without a word, and are written again."""

from __future__ import annotations


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
