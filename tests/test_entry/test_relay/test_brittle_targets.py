"""Tests of the limit on rejections by brittle targets through a whole instance."""

from __future__ import annotations

import asyncio

from greengagelatch.peers.codec import Envelope, decode, encode
from greengagelatch.relay.brittle_services import BrittleServices
from greengagelatch.relay.messages import PeerSyncQuery
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
    table = world.find("news")._target_table
    for target_id, target in world.targets.items():
        slots = target.brittleness.slots
        await world.wait_for(
            lambda one=target_id, slots=slots: table.find_listed(one).slots == slots
        )
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


async def test_requests_beyond_the_room_wait_or_are_refused_with_spread_times(world):
    """Guards against callers that are refused and return at the same moment."""
    make_brittle(world)
    await ask_each_target(world)
    for target in world.targets.values():
        target.brittleness.shrinks_after = 0.0
        target.brittleness.serve_seconds = 0.1
    replies = await asyncio.gather(*(world.ask(f"/look/{n}") for n in range(2 * BURST)))
    refused = [reply for reply in replies if reply.status == REFUSED]
    assert len({reply.headers["Retry-After"] for reply in refused}) > len(refused) / 2
    assert world.count("brittle_targets.held") > 0
    assert world.count("brittle_targets.refused") == len(refused)
    assert len(world.describe()["brittle_targets"]) == 2


async def test_requests_pass_at_once_when_targets_are_not_brittle(world):
    """Guards against services that wait for room without need."""
    make_brittle(world, limit=None, slots=BURST)
    replies = await asyncio.gather(*(world.ask(f"/look/{n}") for n in range(BURST)))
    assert {reply.status for reply in replies} == {SERVED}
    assert world.count("brittle_targets.held") == 0
    assert world.describe()["brittle_targets"] == {}


async def test_end_of_brittleness_ends_the_limit(world):
    """Guards against a limit that outlives what the targets say."""
    states = make_brittle(world)
    await ask_each_target(world)
    assert len(world.describe()["brittle_targets"]) == 2
    for one in states:
        one.limit = None
    async with asyncio.timeout(20):
        while world.describe()["brittle_targets"]:
            await world.ask("/look/1")
    assert world.count("beliefs.brittle-target") == 4


async def test_makers_that_reject_calls_do_not_fall(pipeline):
    """Guards against an owner that calls full makers until they fall.

    Their slots are taken by calls of another instance.
    """
    states = []
    for name in ("portal-1", "portal-2"):
        maker = pipeline.targets[name]
        maker.brittleness = Brittleness(limit=2, slots=1)
        states.append(maker.brittleness)
    replies = await asyncio.gather(*(pipeline.stream() for _ in range(4)))
    assert {reply.status for reply in replies} <= {SERVED, REFUSED}
    for one in states:
        one.held = one.slots
    await asyncio.gather(*(pipeline.stream(X_Deadline_Ms="1500") for _ in range(30)))
    assert sum(one.rejected for one in states) > 0
    assert sum(one.falls for one in states) == 0


def list_brittle(world) -> dict:
    """Return the services that an instance knows to be brittle."""
    return world.describe()["brittle_news"]["services"]


async def test_instance_that_has_sent_nothing_is_bounded_by_news(fleet):
    """Guards against an instance that learns of brittle targets by their rejections."""
    states = make_brittle(fleet)
    teller, listener, _ = fleet.instances
    table = listener.find("news")._target_table
    await listener.wait_for(
        lambda: table.find_listed("desk-north-1").slots == states[0].slots
    )
    assert (await teller.ask("/look/1")).status == SERVED
    await listener.wait_for(lambda: list_brittle(listener))
    assert list_brittle(listener)["desk"]["source"] == "peer"
    assert listener.count("beliefs.brittle-service") == 1
    assert listener.count("beliefs.brittle-target") == 0
    for one in states:
        one.shrinks_after = 0.0
    await asyncio.gather(*(listener.ask(f"/look/{n}") for n in range(BURST)))
    assert sum(one.falls for one in states) == 0
    assert listener.count("brittle_targets.held") > 0


async def test_instance_that_was_cut_off_learns_of_brittle_targets(fleet):
    """Guards against news that are told only once."""
    make_brittle(fleet)
    teller, listener, _ = fleet.instances
    services = listener.find("brittle_news")._services
    record_news, services.record_news = services.record_news, lambda *_: None
    assert (await teller.ask("/look/1")).status == SERVED
    await listener.wait_for(lambda: listener.count("brittle_targets.updates_received"))
    assert not list_brittle(listener)
    services.record_news = record_news
    await listener.wait_for(lambda: list_brittle(listener))


async def test_news_of_brittle_targets_are_received_with_those_of_the_store(world):
    """Guards against an instance that no other one has as its neighbour."""
    make_brittle(world)
    await ask_each_target(world)
    answer = world.find("news")._handle_query("peer", PeerSyncQuery())
    received = decode(encode(Envelope(answer))).unwrap().message
    (row,) = received.brittle_services
    assert row[:2] == ("desk", 3)
    services = world.find("brittle_news")._services = BrittleServices()
    world.find("news")._apply(received, 0.5)
    (news,) = services.list_news(world.find("news")._clock.now())
    assert (news.service, news.limit) == ("desk", 3)
    assert news.age >= row[2] + 0.5


async def test_targets_that_tolerate_no_rejection_are_held_back_from(world):
    """Guards against a limit of 0 that counts as no limit."""
    states = make_brittle(world, limit=0)
    await ask_each_target(world)
    for one in states:
        one.shrinks_after = 0.0
    await asyncio.gather(*(world.ask(f"/look/{n}") for n in range(BURST)))
    assert sum(one.falls for one in states) == 0
    assert world.count("brittle_targets.held") > 0
