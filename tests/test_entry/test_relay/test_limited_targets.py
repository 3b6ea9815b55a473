"""Tests of targets that name a rate, which all instances together must keep to."""

from __future__ import annotations

import asyncio
import itertools

import pytest

from greengagelatch_lab.platform_standins.announced_rates import (
    CONTACT_SECONDS,
    WINDOW_SECONDS,
    count_allowed,
)

#: seconds between two requests of an instance
PAUSE_SECONDS = 0.05


async def send_for(fleet, seconds: float) -> list[int]:
    """Send requests to all instances for some seconds; return the statuses."""
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds

    async def send_to(instance) -> list[int]:
        tasks = []
        while loop.time() < end:
            tasks.append(asyncio.create_task(instance.ask("/look/1")))
            await asyncio.sleep(PAUSE_SECONDS)
        return [reply.status for reply in await asyncio.gather(*tasks)]

    statuses = await asyncio.gather(*map(send_to, fleet.instances))
    return list(itertools.chain.from_iterable(statuses))


@pytest.mark.parametrize("names_all", [False, True])
async def test_target_gets_no_more_than_it_names_from_all_instances(fleet, names_all):
    """Guards against instances that ignore the rate, or each use it up alone."""
    desks = [one for one in fleet.targets.values() if one.service == "desk"]
    limited = desks if names_all else desks[:1]
    for target in limited:
        target.announced_rate.value = "1"
    since = asyncio.get_running_loop().time() + CONTACT_SECONDS
    statuses = await send_for(fleet, CONTACT_SECONDS + 1.5 * WINDOW_SECONDS)
    assert set(statuses) <= {200, 503}
    for target in limited:
        assert target.announced_rate.find_peak(since) <= count_allowed(1.0)
        # what it takes is used: one request a second, but for the first and the last
        assert target.announced_rate.find_peak(since) >= WINDOW_SECONDS - 2
    if not names_all:
        assert statuses.count(200) == len(statuses)


async def test_engines_and_makers_get_no_more_than_they_name(fleet):
    """Guards against streams, resumed streams and stage calls beyond a named rate."""
    limited = [one for one in fleet.targets.values() if one.service != "desk"]
    for target in limited:
        target.announced_rate.value = "2"
    breaks = [1, 3] * 3
    for target in limited:
        target.breaks = breaks
    loop = asyncio.get_running_loop()
    since = loop.time() + CONTACT_SECONDS
    end = since + 1.5 * WINDOW_SECONDS

    async def stream_to(instance) -> list[int]:
        tasks = []
        while loop.time() < end:
            tasks.append(asyncio.create_task(instance.stream()))
            await asyncio.sleep(4 * PAUSE_SECONDS)
        return [reply.status for reply in await asyncio.gather(*tasks)]

    statuses = await asyncio.gather(*map(stream_to, fleet.instances))
    assert 200 in itertools.chain.from_iterable(statuses)
    assert not breaks
    for target in limited:
        assert target.announced_rate.find_peak(since) <= count_allowed(2.0)
