"""Tests of targets that reject requests and ask for rest."""

from __future__ import annotations

import asyncio

import pytest

from greengagelatch_lab.platform_standins.announced_rest import MAX_ARRIVALS
from greengagelatch_lab.platform_standins.target_links import PartitionForm

from .conftest import find_source
from .loads import Load

#: timeout of every wait in seconds
WAIT_SECONDS = 20
#: seconds for which requests are sent
LOAD_SECONDS = 7.0
#: share of requests that are served where a target takes work
SERVED_SHARE = 0.97


def ask_for_rest(fleet, service: str, *values: str, every: int = 1) -> list:
    """Let targets of a service ask for rest, one for each value."""
    targets = [one for one in fleet.targets.values() if one.service == service]
    for target, value in zip(targets, values, strict=False):
        target.announced_rest.value = value
        target.announced_rest.every = every
    return targets


@pytest.mark.parametrize(
    ("path", "service", "values"),
    [
        ("/look/1", "desk", ("3",)),
        ("/look/1", "desk", ("1.75", "2.5")),
        ("/book/1", "desk", ("3",)),
        ("draft", "llm", ("3",)),
        ("draft", "portal", ("3", "2")),
    ],
)
async def test_target_gets_its_rest_while_others_serve(
    spacious_fleet, path, service, values
):
    """Guards against a time to retry after that is read as a lack of room."""
    targets = ask_for_rest(spacious_fleet, service, *values)
    load = Load(spacious_fleet, path)
    await load.run(LOAD_SECONDS)
    assert max(one.announced_rest.find_most() for one in targets) <= MAX_ARRIVALS
    assert all(one.announced_rest.rejections for one in targets[: len(values)])
    assert load.find_served_share() >= SERVED_SHARE


async def test_target_that_rejects_some_requests_gets_its_rest(spacious_fleet):
    """Guards against a rest that an answer to another request ends."""
    targets = ask_for_rest(spacious_fleet, "desk", "1.75", "2.5", every=9)
    load = Load(spacious_fleet, "/look/1")
    await load.run(LOAD_SECONDS)
    assert max(one.announced_rest.find_most() for one in targets) <= MAX_ARRIVALS
    assert load.find_served_share() >= SERVED_SHARE


async def test_service_at_rest_is_refused_at_once_and_served_after(fleet):
    """Guards against requests that wait for rests which outlast them."""
    targets = ask_for_rest(fleet, "desk", "3", "3")
    instance = fleet.instances[0]
    replies = [await instance.ask("/look/1") for _ in range(4)]
    assert {one.status for one in replies} == {503}
    assert all(float(one.headers["Retry-After"]) > 2.0 for one in replies[1:])
    assert sum(len(one.announced_rest.arrivals) for one in targets) == 2
    for target in targets:
        target.announced_rest.value = None
    await instance.wait_until_served("/look/1")
    # both take part again, the later one once its own rest is over
    runs = [sum(one.runs.values()) for one in targets]
    async with asyncio.timeout(WAIT_SECONDS):
        while not all(
            sum(one.runs.values()) > count
            for one, count in zip(targets, runs, strict=True)
        ):
            assert (await instance.ask("/look/1")).status == 200


@pytest.mark.parametrize("value", ["0", "", "-3", "NaN", "soon", "1e3"])
async def test_rejection_that_asks_for_no_seconds_begins_no_rest(world, value):
    for target in world.targets.values():
        target.announced_rest.value = value
    replies = [await world.ask("/look/1") for _ in range(4)]
    assert {one.status for one in replies} == {503}
    arrivals = [len(one.announced_rest.arrivals) for one in world.targets.values()]
    assert sum(arrivals) == 8
    assert world.describe()["target_rests"] == {}


@pytest.mark.parametrize(("path", "status"), [("/look/1", 200), ("/book/1", 503)])
async def test_rejection_that_may_have_run_begins_a_rest(world, path, status):
    """Guards against a rest that is read in marked rejections only.

    A request that may run once is not sent again; its caller gets the answer.
    """
    target = world.targets["desk-1"]
    target.announced_rest.value = "9" * 400
    target.announced_rest.is_marked = False
    while not target.announced_rest.rejections:
        reply = await world.ask(path)
    assert reply.status == status
    (rest,) = world.describe()["target_rests"].values()
    assert rest > 3000
    for _ in range(8):
        assert (await world.ask(path)).status == 200
    assert len(target.announced_rest.arrivals) == 1


async def test_target_that_starts_again_does_not_rest(world):
    """Guards against the rest of a former process that a new one is given."""
    target = world.targets["desk-1"]
    target.announced_rest.value = "3600"
    while not target.announced_rest.rejections:
        await world.ask("/look/1")
    target.announced_rest.value = None
    await target.restart(world.store)
    await world.wait_for(lambda: not world.describe()["target_rests"])
    await world.wait_for(lambda: world.accepts("desk-1"))
    for _ in range(10):
        assert (await world.ask("/look/1")).status == 200
    assert target.announced_rest.arrivals


async def test_stages_are_not_made_while_all_engines_rest(pipeline):
    """Guards against stage work for requests that no engine takes in time."""
    engines = ask_for_rest(pipeline, "llm", "30", "30")
    assert (await pipeline.stream()).status == 503
    made = sum(len(one.pieces) for one in pipeline.targets.values())
    reply = await pipeline.stream()
    assert reply.status == 503
    assert float(reply.headers["Retry-After"]) > 25.0
    assert sum(len(one.pieces) for one in pipeline.targets.values()) == made
    assert sum(len(one.announced_rest.arrivals) for one in engines) == 2


async def test_request_waits_for_a_rest_that_ends_soon(world):
    """Guards against a refusal where a target takes the request in a moment."""
    for target in world.targets.values():
        target.announced_rest.value = "0.3"
        target.announced_rest.every = 1
    assert (await world.ask("/look/1")).status == 503
    for target in world.targets.values():
        target.announced_rest.value = None
    assert (await world.ask("/look/1")).status == 200


async def test_results_at_a_maker_that_rests_are_released_after(pipeline):
    """Guards against results that are kept for good as their maker has rested."""
    makers = ask_for_rest(pipeline, "portal", "1", "1")
    for maker in makers:
        # its first call is answered
        maker.announced_rest.every = 2
    while not all(maker.announced_rest.rejections for maker in makers):
        await pipeline.stream()
    for maker in makers:
        maker.announced_rest.value = None
    await pipeline.wait_for(lambda: not any(one.held_handles for one in makers))


async def test_requests_with_one_attempt_are_spared_by_the_news_of_a_rest(fleet):
    """Guards against a booking that each instance loses to a target at rest."""
    target, *_ = ask_for_rest(fleet, "desk", "5")
    first, other, _ = fleet.instances
    while not target.announced_rest.rejections:
        await first.ask("/look/1")
    await other.wait_for(lambda: other.count("rest_news.updates_received"))
    replies = [await other.ask("/book/1") for _ in range(8)]
    assert {one.status for one in replies} == {200}
    assert len(target.announced_rest.arrivals) == 1
    # others find out by themselves: it has not asked this instance
    while len(target.announced_rest.arrivals) == 1:
        assert (await other.ask("/look/1")).status == 200


async def test_target_gets_its_rest_of_an_instance_that_carries_connections(
    large_fleet,
):
    """Guards against requests of others through an instance that a target has asked.

    The target takes the carrier for the sender of all of them.
    """
    fleet = large_fleet
    targets = ask_for_rest(fleet, "desk", "4", "4")
    carrier, *cut = fleet.instances
    for instance in cut:
        await instance.links.cut(PartitionForm.HANG, "desk")
    for instance in cut:
        await instance.ask("/look/1")
        await asyncio.sleep(0.7)
    await carrier.ask("/look/1")
    hosts = {host for one in targets for _, host in one.announced_rest.arrivals}
    assert hosts == {find_source(carrier.instance_id)}
    assert max(one.announced_rest.find_most() for one in targets) <= MAX_ARRIVALS
    for target in targets:
        target.announced_rest.value = None
    for instance in fleet.instances:
        await instance.wait_until_served("/look/1")
