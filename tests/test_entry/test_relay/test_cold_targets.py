"""Tests of the limit on requests to cold targets through a whole instance."""

from __future__ import annotations

import asyncio

from greengagelatch.peers.codec import Envelope, decode, encode
from greengagelatch.relay.messages import PeerSyncAnswer, PeerSyncQuery
from greengagelatch_lab.platform_standins.targets import SimulatedTarget

#: requests within a second that crash a cold target: twice the configured rate
COLD_LIMIT = 4


async def wait_until_settled(world) -> None:
    """Wait until the instance knows its fleet well enough to use cold targets."""
    known = world.find_known_instances()
    await world.wait_for(lambda: known.find_addresses() is not None)


async def add_cold_target(world, target_id: str = "desk-3") -> SimulatedTarget:
    target = await world.add(target_id, "desk", cold_ms=3000, cold_limit=COLD_LIMIT)
    await world.wait_for(lambda: world.accepts(target_id))
    return target


async def test_burst_does_not_crash_a_cold_target(world):
    """Guards against a target that is back from a crash and crashes again.

    It is idle, so that it seemed the best target for all requests of the moment.
    """
    await wait_until_settled(world)
    target = await add_cold_target(world)
    for name in ("desk-1", "desk-2"):
        world.targets[name].load = "4,8,4"
    replies = await asyncio.gather(*(world.ask(f"/look/{n}") for n in range(40)))
    assert {reply.status for reply in replies} == {200}
    assert 1 <= len(target.received) <= 3, world.describe()
    assert str(target.describe()["born"]) in str(world.describe()["cold_targets"])


async def test_request_with_cold_targets_only_is_refused_at_once(world):
    """Guards against requests that wait until their deadline for a cold target."""
    await wait_until_settled(world)
    for name in ("desk-1", "desk-2"):
        world.store.remove(f"servers/{name}")
        await world.wait_for(lambda name=name: not world.accepts(name))
    target = await add_cold_target(world)
    replies = await asyncio.gather(*(world.ask(f"/look/{n}") for n in range(12)))
    statuses = [reply.status for reply in replies]
    assert statuses.count(200) == 3
    assert statuses.count(503) == 9
    assert len(target.received) == 3
    assert all("Retry-After" in one.headers for one in replies if one.status == 503)


async def test_instance_that_does_not_know_its_fleet_spares_cold_targets(
    world, monkeypatch
):
    """Guards against many instances that start at once and take themselves for alone.

    The registration that makes an instance known to the others is held back.
    """
    known = world.find_known_instances()
    monkeypatch.setattr(known, "_find_registration", lambda: float("inf"))
    target = await add_cold_target(world)
    for number in range(20):
        assert (await world.ask(f"/look/{number}")).status == 200
    assert target.received == []


async def test_targets_of_a_restored_data_centre_count_as_cold(world):
    """Guards against the load of a whole data centre that returns at once."""
    await wait_until_settled(world)
    world.evacuate("north")
    await world.wait_for(lambda: not world.accepts("desk-1"))
    world.restore("north")
    await world.wait_for(lambda: world.accepts("desk-1"))
    assert len(world.describe()["cold_targets"]) == 2


async def test_cold_targets_are_received_from_peers(world):
    """Guards against an instance without the store that overloads a cold target."""
    sync = world.find("news")
    await add_cold_target(world)
    answer = sync._handle_query("peer", PeerSyncQuery())
    (row,) = answer.cold_targets
    assert row[0] == "desk-3"
    assert 0 < row[2] <= 3
    sync._cold_targets.forget(next(iter(sync._cold_targets._cold)))
    assert world.describe()["cold_targets"] == {}
    received = decode(encode(Envelope(PeerSyncAnswer(cold_targets=(row,)))))
    sync._apply(received.unwrap().message, 0.0)
    assert len(world.describe()["cold_targets"]) == 1


async def test_peers_do_not_prolong_the_cold_time_of_each_other(world):
    """Guards against targets that stay limited for good while the store is away.

    Each instance then hears from the others what they heard from it, and counted the
    time from when the answer arrived.
    """
    sync = world.find("news")
    await add_cold_target(world)
    (row,) = sync._handle_query("peer", PeerSyncQuery()).cold_targets
    sync._apply(PeerSyncAnswer(cold_targets=(row,)), 0.5)
    (after,) = sync._handle_query("peer", PeerSyncQuery()).cold_targets
    assert after[2] <= row[2]
