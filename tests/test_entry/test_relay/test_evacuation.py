"""Tests of greengagelatch_entry.relay.evacuation through a whole instance."""

from __future__ import annotations

import asyncio

import pytest

from greengagelatch.peers.codec import Envelope, decode, encode
from greengagelatch.relay.messages import PeerSyncAnswer, PeerSyncQuery
from greengagelatch_entry.relay.peer_sync import PeerSyncController
from greengagelatch_lab.platform_standins.targets import TargetFault

from .conftest import WAIT_SECONDS


def count_requests(world, data_centre: str) -> int:
    """Return the requests and stage calls that targets of a data centre received."""
    return sum(
        len(one.received) + len(one.batches)
        for one in world.targets.values()
        if one.data_centre == data_centre
    )


async def wait_for_evacuation(world, *data_centres: str) -> None:
    await world.wait_for(
        lambda: world.describe()["evacuation"]["evacuated"] == sorted(data_centres)
    )


async def test_requests_go_elsewhere_until_the_evacuation_ends(world):
    """Guards against requests that reach targets about to lose their power."""
    await world.add("desk-3", "desk", data_centre="south")
    await world.wait_until_synced(3)
    world.evacuate("north")
    await wait_for_evacuation(world, "north")
    for _ in range(10):
        assert (await world.ask("/look/1")).status == 200
    assert count_requests(world, "north") == 0
    world.restore("north")
    await wait_for_evacuation(world)
    # they count as cold at first
    async with asyncio.timeout(WAIT_SECONDS):
        while not count_requests(world, "north"):
            assert (await world.ask("/look/1")).status == 200


async def test_request_without_another_data_centre_is_refused_at_once(world):
    world.evacuate("north")
    await wait_for_evacuation(world, "north")
    reply = await world.ask("/look/1")
    assert reply.status == 503
    assert float(reply.headers["Retry-After"]) > 0
    assert count_requests(world, "north") == 0


async def test_retry_does_not_enter_an_evacuated_data_centre(world):
    """Guards against retries that were under way when the evacuation was ordered."""
    world.targets["desk-1"].fault = world.targets["desk-2"].fault = TargetFault.FAIL
    gate = asyncio.Event()
    world.targets["desk-1"].gate = world.targets["desk-2"].gate = gate
    asked = asyncio.create_task(world.ask("/look/1"))
    await world.wait_for(lambda: count_requests(world, "north") == 1)
    world.evacuate("north")
    await wait_for_evacuation(world, "north")
    gate.set()
    assert (await asked).status == 500
    assert count_requests(world, "north") == 1


async def test_stage_work_and_streams_leave_an_evacuated_data_centre(pipeline):
    """Guards against pieces of stage work that go on to an evacuated data centre."""
    for service in ("llm", "portal", "ledger"):
        await pipeline.add(f"{service}-3", service, data_centre="south")
    await pipeline.wait_until_synced(9)
    pipeline.evacuate("north")
    await wait_for_evacuation(pipeline, "north")
    for _ in range(5):
        assert (await pipeline.stream()).status == 200
    assert count_requests(pipeline, "north") == 0
    assert count_requests(pipeline, "south") == 15


async def test_target_listed_during_the_evacuation_receives_nothing(world):
    world.evacuate("north")
    await wait_for_evacuation(world, "north")
    await world.add("desk-3", "desk")
    await world.add("desk-4", "desk", data_centre="south")
    await world.wait_until_synced(4)
    for _ in range(10):
        assert (await world.ask("/look/1")).status == 200
    assert count_requests(world, "north") == 0


async def test_evacuation_before_the_start_is_in_force(world):
    """Guards against instances that start while a data centre is evacuated."""
    world.evacuate("north")
    await wait_for_evacuation(world, "north")
    world.store.compact()
    await world.add("desk-5", "desk", data_centre="south")
    await world.wait_until_synced(3)
    assert (await world.ask("/look/1")).status == 200
    assert count_requests(world, "north") == 0


async def test_evacuation_is_received_from_peers(world):
    """Guards against an instance that the store rejects while it serves others."""
    sync: PeerSyncController = world.find("news")
    world.evacuate("north")
    await wait_for_evacuation(world, "north")
    answer = sync._handle_query("peer", PeerSyncQuery())
    assert [row[0] for row in answer.evacuations] == ["north"]
    current = PeerSyncQuery(evacuations_revision=answer.evacuations_revision)
    assert sync._handle_query("peer", current).evacuations == ()
    # a peer knows that it has ended, and what is said of it later by others is old
    ended = PeerSyncAnswer(evacuations_revision=answer.evacuations_revision + 1)
    sync._apply(decode(encode(Envelope(ended))).unwrap().message, 0.0)
    await wait_for_evacuation(world)
    sync._apply(answer, 0.0)
    await wait_for_evacuation(world)


@pytest.mark.parametrize(
    "rows", [(("north",),), ((1, 2),), (("north", "2"),), "north", ("north",)]
)
def test_invalid_rows_of_a_peer_are_rejected(rows):
    data = encode(Envelope(PeerSyncAnswer()))
    assert decode(data).is_ok()
    with pytest.raises(ValueError):
        PeerSyncAnswer(evacuations=rows)
