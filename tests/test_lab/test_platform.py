"""Tests of the simulated platform services as a process."""

from __future__ import annotations

import base64
from collections.abc import AsyncIterator
from pathlib import Path

import aiohttp
import pytest

from greengagelatch_lab.processes import Process

pytestmark = pytest.mark.processes


@pytest.fixture
async def platform(tmp_path: Path) -> AsyncIterator[aiohttp.ClientSession]:
    module = "greengagelatch_lab.standins.platform"
    process = Process.run_module("platform", module, directory=tmp_path)
    async with process:
        base = f"http://{process.ready}"
        async with aiohttp.ClientSession(base_url=base) as session:
            yield session


async def write(
    platform: aiohttp.ClientSession, key: str, text: str, expected: int, lease: str = ""
) -> tuple[int, int]:
    value = base64.b64encode(text.encode()).decode()
    body = {"value": value, "expected": expected, "lease": lease}
    async with platform.post(f"/kv/{key}", json=body) as response:
        return response.status, (await response.json()).get("revision", 0)


async def test_key_value_calls(platform: aiohttp.ClientSession) -> None:
    status, revision = await write(platform, "config/head", "one", 0)
    assert (status, revision) == (200, 1)
    assert await write(platform, "config/head", "two", 0) == (412, 1)
    async with platform.get("/kv/config/head") as response:
        entry = await response.json()
    assert base64.b64decode(entry["value"]) == b"one"
    async with platform.get("/kv", params={"prefix": "config/"}) as response:
        assert (await response.json())["entries"] == [entry]
    async with platform.get("/watch/config/head?after=0&wait=5") as response:
        assert await response.json() == entry
    async with platform.get("/watch/config/head?after=1&wait=0.01") as response:
        assert response.status == 204
    body = {"expected": 1}
    async with platform.post("/kv/config/head/delete", json=body) as response:
        assert (await response.json())["revision"] == 2
    async with platform.get("/kv/config/head") as response:
        assert response.status == 404
    assert (await write(platform, "large", "x" * (1024 * 1024 + 1), 0))[0] == 413


async def test_leases(platform: aiohttp.ClientSession) -> None:
    async with platform.post("/leases", json={"ttl": 30}) as response:
        lease = await response.json()
    assert (await write(platform, "owner", "me", 0, lease["lease"]))[0] == 200
    async with platform.post(f"/leases/{lease['lease']}/keep") as response:
        assert await response.json() == lease
    async with platform.post(f"/leases/{lease['lease']}/revoke") as response:
        assert response.status == 200
    async with platform.get("/kv/owner") as response:
        assert response.status == 404
    async with platform.post(f"/leases/{lease['lease']}/keep") as response:
        assert response.status == 404
    assert (await write(platform, "owner", "me", 0, lease["lease"]))[0] == 404


async def test_answer_is_lost_after_the_write(platform: aiohttp.ClientSession) -> None:
    """``lose_answers`` loses the answer, not the write.

    The write is applied, then the connection is aborted without an answer.
    """
    await platform.post("/control/faults", json={"lose_answers": 1})
    with pytest.raises(aiohttp.ClientError):
        await write(platform, "a", "1", 0)
    # setting another fault must not rearm the consumed one
    await platform.post("/control/faults", json={"slow_ms": 1})
    assert await write(platform, "a", "1", 0) == (412, 1)


async def test_rejected_calls_have_no_effect(platform: aiohttp.ClientSession) -> None:
    await platform.post("/control/faults", json={"outage": True})
    async with platform.get("/kv/a") as response:
        assert response.status == 503
        assert "Retry-After" in response.headers
    assert (await write(platform, "a", "1", 0))[0] == 503
    await platform.post("/control/faults", json={"outage": False, "refuse_calls": 1})
    assert (await write(platform, "a", "1", 0))[0] == 429
    assert await write(platform, "a", "1", 0) == (200, 1)
    async with platform.post("/control/faults", json={"outrage": True}) as response:
        assert response.status == 400
    async with platform.get("/control/calls") as response:
        assert (await response.json())["calls"] == {"get": 1, "swap": 3}


async def test_instances(platform: aiohttp.ClientSession) -> None:
    instance = {
        "id": "t1",
        "kind": "target",
        "data_centre": "kumamoto",
        "address": "127.0.0.1:1",
        "state": "leaving",
        "service": "pricebook",
    }
    await platform.post("/control/instances", json={"put": [instance]})
    async with platform.get("/instances") as response:
        listing = await response.json()
    assert listing["instances"] == [instance]
    await platform.post("/control/instances", json={"remove": ["t1"]})
    async with platform.get("/instances") as response:
        later = await response.json()
    assert later["instances"] == []
    assert later["as_of"] > listing["as_of"]
