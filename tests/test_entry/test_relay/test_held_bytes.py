"""Tests of the account of bytes held by an instance."""

from __future__ import annotations

import asyncio
import random

import aiohttp
import pytest

from greengagelatch.relay.byte_account import ByteAccount, ByteAccountRule, HoldingKind
from greengagelatch_lab.platform_standins.deployment import create_configuration
from greengagelatch_lab.platform_standins.targets import EndlessPart, TargetFault

#: limits of the account in these tests, in bytes
RULE = ByteAccountRule(limit=100_000, small_bytes=2_000, small_share=0.25)
LARGE_BODY = b"x" * 50_000
#: bytes that a connection may hold of a body that is not read
MAX_UNREAD_BYTES = 100_000
#: seed and number of the requests of the random mix
MIX_SEED, MIX_REQUESTS = 1, 60


@pytest.fixture
def memory(world):
    """Return the controller of the instance, with small limits."""
    controller = world.find("memory")
    controller._account = ByteAccount(RULE)
    return controller


def fill(memory):
    """Return a holding that leaves no room for other large ones."""
    holding = memory.open(HoldingKind.RESPONSES)
    assert holding.try_grow(RULE.large_limit)
    return holding


def find_limits(world):
    return world.parts.front._find_limits()


def count_runs(world) -> int:
    return sum(target.runs.total() for target in world.targets.values())


async def send_chunks(body: bytes):
    """Yield a body in parts, so that its length is not stated."""
    for start in range(0, len(body), 10_000):
        yield body[start : start + 10_000]
        await asyncio.sleep(0)


@pytest.mark.parametrize("chunked", [False, True])
async def test_body_that_has_no_room_waits_for_it(world, memory, chunked):
    holding = fill(memory)
    body = send_chunks(LARGE_BODY) if chunked else LARGE_BODY
    asked = asyncio.create_task(world.ask("/book/1", method="POST", body=body))
    await world.wait_for(memory._account.count_pending)
    assert not count_runs(world)
    holding.release()
    reply = await asked
    assert reply.status == 200
    assert reply.body.endswith(LARGE_BODY)


@pytest.mark.parametrize("chunked", [False, True])
async def test_body_without_room_is_refused_as_not_run(world, memory, chunked):
    """Guards against memory that the sum of request bodies takes up."""
    holding = fill(memory)
    body = send_chunks(LARGE_BODY) if chunked else LARGE_BODY
    reply = await world.ask("/book/1", method="POST", body=body)
    assert reply.status == 503
    assert float(reply.headers["Retry-After"]) > 0
    assert reply.headers["Connection"] == "close"
    assert not count_runs(world)
    assert world.count("memory.refused.requests") == 1
    holding.release()
    assert (await world.ask("/book/2", method="POST", body=LARGE_BODY)).status == 200


async def test_body_that_never_has_room_does_not_wait(world, memory):
    memory._account = ByteAccount(ByteAccountRule(limit=10_000, small_bytes=2_000))
    reply = await world.ask("/book/1", method="POST", body=LARGE_BODY)
    assert reply.status == 503
    assert not world.count("memory.waits")


async def test_small_requests_are_served_beside_large_ones(world, memory):
    """Guards against small requests that are refused as large ones take the room."""
    holding = fill(memory)
    for number in range(20):
        body = b"x" * 1_000
        reply = await world.ask(f"/book/{number}", method="POST", body=body)
        assert reply.status == 200
    holding.release()


async def test_caller_that_leaves_does_not_wait_on(world, memory):
    """Guards against room that is granted to a request that is gone."""
    holding = fill(memory)
    asked = asyncio.create_task(world.ask("/book/1", method="POST", body=LARGE_BODY))
    await world.wait_for(memory._account.count_pending)
    asked.cancel()
    await world.wait_for(lambda: not memory._account.count_pending())
    holding.release()
    assert memory._account.total == 0


async def test_body_that_waits_is_not_read_on(world, memory):
    """Guards against connections whose unread bytes take up the memory together."""
    configuration = create_configuration(9, timeout_ms=20_000)
    configuration["limits"]["max-body-bytes"] = 4_000_000
    world.store.put("op/config", configuration)
    await world.wait_for(lambda: find_limits(world).max_body_bytes == 4_000_000)
    memory._account = ByteAccount(ByteAccountRule(limit=4_000_000, small_share=0.1))
    holding = memory.open(HoldingKind.RESPONSES)
    assert holding.try_grow(3_000_000)
    body = b"x" * 2_000_000
    asked = asyncio.create_task(world.ask("/book/1", method="POST", body=body))
    await world.wait_for(memory._account.count_pending)
    # the caller sends on meanwhile
    await asyncio.sleep(0.3)
    (connection,) = world.parts.front._connections._server.connections
    assert connection._current_request.content._size <= MAX_UNREAD_BYTES
    holding.release()
    await asked


async def limit_bodies(world, size: int) -> None:
    """Configure the maximum size of a body, and long timeouts."""
    configuration = create_configuration(9, timeout_ms=20_000)
    configuration["limits"]["max-body-bytes"] = size
    world.store.put("op/config", configuration)
    await world.wait_for(lambda: find_limits(world).max_body_bytes == size)


async def test_bodies_without_a_length_do_not_keep_each_other_from_their_rest(
    world, memory
):
    """Guards against bodies that each hold a part and wait for room for the rest."""
    await limit_bodies(world, 200_000)
    memory._account = ByteAccount(ByteAccountRule(limit=600_000, small_share=0.0))
    replies = await asyncio.gather(
        *(
            world.ask(f"/book/{number}", method="POST", body=send_slowly(150_000))
            for number in range(6)
        )
    )
    assert [one.status for one in replies] == [200] * 6


async def send_slowly(size: int):
    """Yield a body in parts with pauses, so that its length is not stated."""
    for _ in range(0, size, 10_000):
        yield b"x" * 10_000
        await asyncio.sleep(0.005)


async def test_caller_that_sends_no_body_takes_up_no_room(world, memory):
    """Guards against requests that are refused for bodies that never come."""
    address = ("127.0.0.1", world.parts.front.port)
    _, writer = await asyncio.open_connection(*address)
    writer.write(b"POST /book/1 HTTP/1.1\r\nHost: x\r\nContent-Length: 50000\r\n\r\n")
    front = world.parts.front
    await world.wait_for(lambda: front.in_flight == 1)
    assert memory._account.total == 0
    reply = await world.ask("/book/2", method="POST", body=LARGE_BODY)
    assert reply.status == 200
    writer.close()


async def test_target_is_not_blamed_for_an_answer_that_was_passed_on(
    world, memory, monkeypatch
):
    """Guards against breakers that open as this instance is short of memory."""
    memory._account = ByteAccount(
        ByteAccountRule(limit=100_000, small_bytes=2_000, small_share=0.4)
    )
    failures = []
    balancer = world.parts.close.__self__.targets.load_balancer
    monkeypatch.setattr(balancer, "record_failure", lambda *row: failures.append(row))
    for target in world.targets.values():
        target.fault = TargetFault.TRUNCATE
    await world.ask("/book/1", method="POST", body=LARGE_BODY)
    assert world.count("memory.passed_on") == 1
    assert failures == []


async def test_shortage_of_room_is_logged_once(world, memory):
    holding = fill(memory)
    for number in range(3):
        await world.ask(f"/book/{number}", method="POST", body=LARGE_BODY)
    assert world.count("beliefs.memory-full") == 1
    assert world.count("decisions.memory-refused") == 3
    assert world.describe()["memory"]["full"]
    holding.release()
    await world.wait_for(lambda: world.count("beliefs.memory-relieved") == 1)
    assert not world.describe()["memory"]["full"]


@pytest.mark.parametrize("unframed", [False, True])
async def test_answer_without_room_is_passed_on_whole(world, memory, unframed):
    """Guards against sound answers that are lost as there is no room for them."""
    for target in world.targets.values():
        target.unframed = unframed
    memory._account = ByteAccount(
        ByteAccountRule(limit=100_000, small_bytes=2_000, small_share=0.4)
    )
    for number in range(3):
        reply = await world.ask(f"/book/{number}", method="POST", body=LARGE_BODY)
        assert reply.status == 200
        assert reply.body.endswith(LARGE_BODY)
        length = reply.headers.get("Content-Length")
        assert length == (None if unframed else str(len(reply.body)))
    assert world.count("memory.passed_on") == 3
    assert memory._account.total == 0


async def test_answer_that_breaks_while_it_is_passed_on_is_cut(world, memory):
    """Guards against a part of an answer that looks like all of it."""
    holding = fill(memory)
    for target in world.targets.values():
        target.endless = EndlessPart.CHUNKS
    reply = await world.ask("/look/1")
    assert reply.error
    assert world.count("memory.passed_on") == 1
    assert count_runs(world) == 1
    holding.release()


async def test_error_without_room_is_not_passed_on(world, memory):
    """Guards against an error that reaches the caller while a target would serve."""
    holding = fill(memory)
    first, second = (world.targets[f"desk-{number}"] for number in (1, 2))
    first.endless, first.endless_status = EndlessPart.BODY, 500
    second.endless, second.endless_status = EndlessPart.BODY, 500
    reply = await world.ask("/look/1")
    assert reply.status in (502, 504)
    assert not world.count("memory.passed_on")
    holding.release()


async def test_target_that_cuts_an_answer_passed_on_is_not_taken_for_crashed(
    world, memory, monkeypatch
):
    """Guards against crashes that are seen where a target gave up a slow reader."""
    detector = world.parts.close.__self__.crashes.detector
    disconnects = []
    monkeypatch.setattr(
        detector, "record_disconnect", lambda *fields: disconnects.append(fields)
    )
    memory._account = ByteAccount(
        ByteAccountRule(limit=100_000, small_bytes=2_000, small_share=0.4)
    )
    for target in world.targets.values():
        target.fault = TargetFault.TRUNCATE
    reply = await world.ask("/book/1", method="POST", body=LARGE_BODY)
    assert reply.error
    assert world.count("memory.passed_on") == 1
    assert not disconnects


@pytest.mark.parametrize("part", [EndlessPart.BODY, EndlessPart.CHUNKS])
async def test_answers_to_calls_for_stages_are_counted(pipeline, part):
    """Guards against makers whose answers take up memory that nobody counts."""
    memory = pipeline.find("memory")
    memory._account = ByteAccount(RULE)
    makers = [one for one in pipeline.targets.values() if one.service == "portal"]
    for maker in makers:
        maker.endless = part
    reply = await pipeline.stream("draft")
    assert reply.status in (502, 503, 504)
    assert pipeline.count("memory.refused.answers") >= 1
    await pipeline.wait_for(lambda: memory._account.total == 0)


async def test_error_of_a_stream_is_counted(pipeline):
    """Guards against error responses that take up memory that nobody counts."""
    memory = pipeline.find("memory")
    memory._account = ByteAccount(RULE)
    engines = [one for one in pipeline.targets.values() if one.service == "llm"]
    for engine in engines:
        engine.endless, engine.endless_status = EndlessPart.BODY, 500
    reply = await pipeline.stream("scan")
    assert reply.status in (502, 503, 504)
    assert pipeline.count("memory.refused.answers") >= 1
    await pipeline.wait_for(lambda: memory._account.total == 0)


async def test_incomplete_events_of_streams_are_counted(pipeline):
    """Guards against events without an end that take up memory that nobody counts."""
    memory = pipeline.find("memory")
    memory._account = ByteAccount(RULE)
    for engine in pipeline.targets.values():
        engine.endless = EndlessPart.CHUNKS if engine.service == "llm" else None
    reply = await pipeline.stream("scan")
    assert reply.status == 502
    assert pipeline.count("memory.refused.events") >= 1
    await pipeline.wait_for(lambda: memory._account.total == 0)


async def ask_at_random(world, source: random.Random) -> None:
    """Send a request that may be large, and may be given up."""
    body = b"x" * source.choice((0, 500, 10_000, 40_000, 60_000))
    path = source.choice(("/book/1", "/look/1", "/none/1"))
    sent = send_chunks(body) if source.random() < 0.3 else body
    try:
        async with asyncio.timeout(source.choice((0.01, 0.05, 5.0))):
            await world.ask(path, method="POST", body=sent)
    except (TimeoutError, aiohttp.ClientError):
        return


async def test_all_bytes_are_given_back_in_the_end(world, memory):
    """Guards against bytes that count as held after their request has ended."""
    source = random.Random(MIX_SEED)
    tasks = []
    for _ in range(MIX_REQUESTS):
        for target in world.targets.values():
            target.fault = source.choice(
                (
                    TargetFault.NONE,
                    TargetFault.NONE,
                    TargetFault.FAIL,
                    TargetFault.TRUNCATE,
                    TargetFault.LOSE_ANSWER,
                )
            )
        tasks.append(asyncio.create_task(ask_at_random(world, source)))
        await asyncio.sleep(source.uniform(0, 0.02))
    await asyncio.gather(*tasks)
    await world.wait_for(lambda: memory._account.total == 0)
    assert not memory._account.count_pending()
