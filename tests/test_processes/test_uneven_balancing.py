"""Process tests of a balancer that gives most new connections to one instance."""

from __future__ import annotations

import asyncio
import contextlib
import itertools

import aiohttp
import pytest

from greengagelatch_lab.platform_standins.balancer import UnevenBalancer
from greengagelatch_lab.platform_standins.deployment import API_KEY, HOST
from greengagelatch_lab.platform_standins.fleet import PlatformFleet

pytestmark = [pytest.mark.processes, pytest.mark.timeout(120)]

#: requests per second, each on a connection of its own
RATE = 40.0
#: seconds of even balancing, and of new connections to one instance
EVEN_SECONDS, UNEVEN_SECONDS = 3.0, 7.0
#: seconds from the beginning of uneven balancing for which nothing is required
CONTACT_SECONDS = 3.0
#: minimum share of requests that are served at the first attempt that an instance has
#: read, relative to the share before
MIN_SERVED_SHARE = 0.75


class Callers:
    """Callers that open a connection for each request, through a balancer."""

    def __init__(self, balancer: UnevenBalancer, kind: str) -> None:
        self._balancer = balancer
        self._kind = kind
        self._numbers = itertools.count(1)

    async def run(self, seconds: float) -> float:
        """Return the share of requests served at the first attempt that was read."""
        tasks = []
        for _ in range(round(RATE * seconds)):
            tasks.append(asyncio.create_task(self._ask()))
            await asyncio.sleep(1 / RATE)
        served = await asyncio.gather(*tasks)
        return sum(served) / len(served)

    async def _ask(self) -> bool:
        number = next(self._numbers)
        headers = {
            "Host": HOST,
            "X-Attempt-Id": f"r-{number}",
            "X-Deadline-Ms": "2500",
            "Authorization": f"Bearer {API_KEY}",
        }
        method = "GET"
        if self._kind != "look":
            method = "POST"
            headers |= {"X-Token-Counts": "100,20", "X-Prefix-Hash": "aa:60,bb:40"}
        if self._kind == "draft":
            headers |= {"X-Pieces": "1,1", "X-Piece-Key": f"key-{number}"}
        for _ in range(2):
            address = await self._balancer.choose()
            with contextlib.suppress(aiohttp.ClientConnectionError):
                async with (
                    aiohttp.ClientSession() as session,
                    session.request(
                        method,
                        f"http://{address}/{self._kind}/{number}",
                        headers=headers,
                    ) as response,
                ):
                    await response.read()
                    return response.status == 200
        return False


@pytest.fixture
async def fleet(tmp_path):
    created = PlatformFleet(tmp_path, count=3)
    try:
        await created.start()
        yield created
    finally:
        await created.stop()


async def measure(fleet, kind: str) -> tuple[float, float]:
    """Return the served share before and while one instance gets all connections."""
    async with aiohttp.ClientSession() as session:
        balancer = UnevenBalancer(fleet.instances, session)
        callers = Callers(balancer, kind)
        even = await callers.run(EVEN_SECONDS)
        balancer.preferred = fleet.instances[0]
        await callers.run(CONTACT_SECONDS)
        uneven = await callers.run(UNEVEN_SECONDS - CONTACT_SECONDS)
    return even, uneven


@pytest.mark.parametrize("kind", ["look", "scan", "draft"])
async def test_instance_that_gets_all_connections_serves_them(fleet, kind):
    """Guard against limits that an instance keeps for its share of even traffic."""
    even, uneven = await measure(fleet, kind)
    assert uneven >= MIN_SERVED_SHARE * even
