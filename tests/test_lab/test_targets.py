"""Tests of the simulated targets as processes."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import aiohttp
import pytest

from greengagelatch_lab.processes import ProcessGroup
from greengagelatch_lab.standins.answers import (
    compute_digest,
    expected_output,
    expected_tokens,
)

pytestmark = pytest.mark.processes

PACKAGE = "greengagelatch_lab.standins"


class Starter:
    """Starts simulated targets and opens HTTP sessions to them."""

    def __init__(self, group: ProcessGroup) -> None:
        self.group = group
        self.sessions: list[aiohttp.ClientSession] = []

    async def start(self, module: str, *arguments: str) -> aiohttp.ClientSession:
        name = f"{module}-{len(self.sessions)}"
        process = await self.group.run_module(name, f"{PACKAGE}.{module}", *arguments)
        timeout = aiohttp.ClientTimeout(total=20)
        session = aiohttp.ClientSession(f"http://{process.ready}", timeout=timeout)
        self.sessions.append(session)
        return session


@pytest.fixture
async def starter(tmp_path: Path) -> AsyncIterator[Starter]:
    async with ProcessGroup(tmp_path) as group:
        starter = Starter(group)
        yield starter
        for session in starter.sessions:
            await session.close()


def build_call(number: int, kind: str, **changes: Any) -> dict[str, Any]:
    call = {
        "attempt": f"a-{number}",
        "request": f"r-{number}",
        "stage": "draft",
        "workspace": "w",
        "pipeline": "quote",
        "kind": kind,
        "input": {"text": f"part {number}"},
        "repeatable": True,
        "budget_ms": 1000,
        "priority": 0,
        "stream": False,
        "resume_at": 0,
    }
    return call | changes


async def post(
    session: aiohttp.ClientSession, path: str, body: dict[str, Any]
) -> tuple[int, dict[str, Any]]:
    async with session.post(path, json=body) as response:
        return response.status, await response.json()


async def get(session: aiohttp.ClientSession, path: str) -> dict[str, Any]:
    async with session.get(path) as response:
        return await response.json()


async def read_stream(
    session: aiohttp.ClientSession, call: dict[str, Any]
) -> list[tuple[str, dict[str, Any]]]:
    events = []
    name = ""
    async with session.post("/call", json=call) as response:
        async for line in response.content:
            field, _, value = line.decode().strip().partition(": ")
            if field == "event":
                name = value
            if field == "data":
                events.append((name, json.loads(value)))
    return events


async def wait_for(
    session: aiohttp.ClientSession, path: str, name: str, value: Any
) -> None:
    async with asyncio.timeout(10):
        while True:
            if (await get(session, path))[name] == value:
                return
            await asyncio.sleep(0.01)


@pytest.mark.parametrize(
    ("module", "kind"), [("plain", "plain"), ("pool", "encode"), ("engine", "generate")]
)
async def test_answer_can_be_recomputed(
    starter: Starter, module: str, kind: str
) -> None:
    session = await starter.start(module, "--service-ms", "5")
    call = build_call(1, kind)
    status, answer = await post(session, "/call", call)
    assert status == 200
    assert answer["output"] == expected_output("quote", "draft", kind, call["input"])
    assert (answer["attempt"], answer["request"]) == ("a-1", "r-1")
    runs = (await get(session, "/record"))["runs"]
    assert [(run["request"], run["outcome"]) for run in runs] == [("r-1", "done")]
    assert runs[0]["cost_ms"] == answer["cost_ms"]


async def test_duplicate_side_effect_is_counted(starter: Starter) -> None:
    """A retry after a lost answer runs the side effect twice.

    Both answers are correct, so only the service's own count of side effects
    reveals the duplicate.
    """
    session = await starter.start("plain", "--service-ms", "5")
    call = build_call(1, "plain", input={"effect": "lathe 4"})
    await post(session, "/control/faults", {"cut_rate": 1.0, "calls": 1})
    with pytest.raises(aiohttp.ClientError):
        await post(session, "/call", call)
    assert (await post(session, "/call", call | {"attempt": "a-2"}))[0] == 200
    effects = await get(session, "/effects")
    assert effects == {"requests": {"r-1/draft": 2}, "effects": {"lathe 4/draft": 2}}


async def test_fault_answers_match_whether_the_call_ran(starter: Starter) -> None:
    session = await starter.start("plain", "--service-ms", "5")
    call = build_call(1, "plain")
    await post(session, "/control/faults", {"refuse_rate": 1.0, "calls": 1})
    status, answer = await post(session, "/call", call)
    assert (status, answer["not_run"]) == (503, True)
    assert (await get(session, "/effects"))["requests"] == {}
    await post(session, "/control/faults", {"refuse_rate": 0.0, "fail_rate": 1.0})
    await post(session, "/control/faults", {"calls": 1})
    assert (await post(session, "/call", call))[0] == 500
    assert (await get(session, "/effects"))["requests"] == {"r-1/draft": 1}
    await post(session, "/control/faults", {"fail_rate": 0.0, "cross_rate": 1.0})
    await post(session, "/control/faults", {"calls": 1})
    crossed = (await post(session, "/call", build_call(2, "plain")))[1]
    assert (crossed["attempt"], crossed["request"]) == ("a-1", "r-1")
    bad = {"fail_rate": "often"}
    async with session.post("/control/faults", json=bad) as response:
        assert response.status == 400


async def test_cancel_of_a_waiting_call_is_not_run(starter: Starter) -> None:
    session = await starter.start("plain", "--service-ms", "60000", "--capacity", "1")
    first = asyncio.create_task(post(session, "/call", build_call(1, "plain")))
    await wait_for(session, "/record/summary", "running", 1)
    second = asyncio.create_task(post(session, "/call", build_call(2, "plain")))
    await wait_for(session, "/load", "queued", 1)
    for attempt in ("a-2", "a-1"):
        body = {"attempt": attempt}
        assert (await post(session, "/cancel", body))[1] == {"cancelled": True}
    status, answer = await second
    assert (status, answer["not_run"]) == (503, True)
    assert (await first)[0] == 500
    assert (await get(session, "/effects"))["requests"] == {}
    summary = await get(session, "/record/summary")
    assert (summary["runs"], summary["not_run"]) == ({"cancelled": 1}, 1)


async def test_leaving_state_is_sent_with_every_answer(starter: Starter) -> None:
    session = await starter.start("pool", "--service-ms", "5")
    await post(session, "/control/faults", {"state": "leaving"})
    async with session.post("/call", json=build_call(1, "encode")) as response:
        assert response.headers["X-Target-State"] == "leaving"
    assert (await get(session, "/load"))["state"] == "leaving"
    assert (await get(session, "/record/summary"))["arrived_leaving"] == 1


async def test_stream_resumes_with_the_same_tokens(starter: Starter) -> None:
    session = await starter.start("engine", "--tokens-ms", "2", "--prefill-ms", "2")
    call = build_call(1, "generate", stream=True)
    tokens = expected_tokens("quote", "draft", "generate", call["input"])
    await post(session, "/control/faults", {"cut_rate": 1.0, "cut_after": 3})
    with pytest.raises(aiohttp.ClientError):
        await read_stream(session, call)
    await post(session, "/control/faults", {"cut_rate": 0.0})
    events = await read_stream(session, call | {"attempt": "a-2", "resume_at": 3})
    texts = tuple(body["text"] for name, body in events if name == "token")
    assert texts == tokens[3:]
    assert events[0][1] == {"attempt": "a-2", "offset": 3, "text": tokens[3]}
    name, end = events[-1]
    assert name == "end"
    assert (end["count"], end["digest"]) == (len(tokens), compute_digest(tokens))
    await post(session, "/control/faults", {"no_resume": True})
    assert (await post(session, "/call", call | {"resume_at": 3}))[0] == 409


async def test_stream_ends_when_its_caller_disconnects(starter: Starter) -> None:
    session = await starter.start("engine", "--tokens-ms", "10")
    call = build_call(1, "generate", stream=True, input={"tokens": 4000})
    async with session.post("/call", json=call) as response:
        await response.content.readline()
        response.close()
    await wait_for(session, "/record/summary", "running", 0)
    assert (await get(session, "/record/summary"))["runs"] == {"cancelled": 1}


async def test_prefix_cache_evicts_and_delays_events(starter: Starter) -> None:
    session = await starter.start(
        "engine",
        *("--cache-entries", "1", "--cache-gap-rate", "0", "--load-lag-ms", "20"),
        *("--tokens-ms", "1", "--prefill-ms", "1", "--cache-event-lag-ms", "1"),
    )
    for number, prefix in enumerate(("p", "q")):
        input = {"prefix": prefix, "tokens": 1}
        await post(session, "/call", build_call(number, "generate", input=input))
    await wait_for(session, "/load", "cached_prefixes", ["q"])
    page = await get(session, "/cache-events?after=1")
    assert page["next"] == 3
    assert [(event["prefix"], event["cached"]) for event in page["events"]] == [
        ("q", True),
        ("p", False),
    ]
    exported = (await post(session, "/kv-cache/export", {"prefix": "q"}))[1]
    other = await starter.start("engine")
    assert (await post(other, "/kv-cache/import", exported))[0] == 200
    forged = exported | {"prefix": "r"}
    assert (await post(other, "/kv-cache/import", forged))[0] == 400
    assert (await post(session, "/kv-cache/export", {"prefix": "p"}))[0] == 404


@pytest.mark.parametrize("fencing", ["checked", "ignored"])
async def test_stale_order_after_a_newer_one(starter: Starter, fencing: str) -> None:
    """An order with a stale fencing token arrives after a newer one.

    The former lease holder is paused, its lease expires, the new holder sends its
    order, then the former one resumes and sends its own. An engine that checks
    fencing tokens rejects it; others return to the former holder's models.
    """
    session = await starter.start("engine", "--fencing", fencing, "--order-ms", "1")
    new = {"fence": 2, "wanted": {"models": ["b"], "adapters": [], "role": "mixed"}}
    old = {"fence": 1, "wanted": {"models": ["a"], "adapters": [], "role": "mixed"}}
    assert (await post(session, "/orders", new))[0] == 200
    status, answer = await post(session, "/orders", old)
    state = (await get(session, "/orders"))["state"]
    if fencing == "checked":
        assert (status, answer) == (409, {"fence": 2})
        assert state == new["wanted"]
    else:
        assert status == 200
        assert state == old["wanted"]
    orders = (await get(session, "/record/orders"))["orders"]
    assert [order["fence"] for order in orders] == [2, 1]


async def test_cancel_of_a_waiting_stream_is_not_run(starter: Starter) -> None:
    session = await starter.start("engine", "--capacity", "1")
    long = {"tokens": 4000}
    call = build_call(1, "generate", stream=True, input=long)
    async with session.post("/call", json=call) as response:
        await response.content.readline()
        later = build_call(2, "generate", stream=True, input=long)
        waiting = asyncio.create_task(post(session, "/call", later))
        await wait_for(session, "/load", "queued", 1)
        await post(session, "/cancel", {"attempt": "a-2"})
        status, answer = await waiting
        assert (status, answer["not_run"]) == (503, True)
        await post(session, "/cancel", {"attempt": "a-1"})
        with pytest.raises(aiohttp.ClientError):
            await response.read()
    summary = await get(session, "/record/summary")
    assert (summary["runs"], summary["not_run"]) == ({"cancelled": 1}, 1)


async def test_higher_priority_overtakes_in_the_queue(starter: Starter) -> None:
    session = await starter.start(
        "engine", "--capacity", "1", "--tokens-ms", "5", "--prefill-ms", "1"
    )
    first = build_call(1, "generate", stream=True, input={"tokens": 4000})
    async with session.post("/call", json=first) as response:
        await response.content.readline()
        tasks = []
        for number, priority in ((2, 0), (3, 5)):
            call = build_call(number, "generate", priority=priority)
            tasks.append(asyncio.create_task(post(session, "/call", call)))
            await wait_for(session, "/load", "queued", number - 1)
        await post(session, "/cancel", {"attempt": "a-1"})
        await asyncio.gather(*tasks)
        response.close()
    runs = (await get(session, "/record"))["runs"]
    assert [run["attempt"] for run in runs] == ["a-1", "a-3", "a-2"]
