"""Tests of targets whose responses have no end."""

from __future__ import annotations

import asyncio

import pytest

from greengagelatch_lab.platform_standins.targets import EndlessPart

#: bytes of a response that an instance may take, by how it reads the response; the rest
#: of its memory has to serve other requests
MAX_HEAD_BYTES = 8 * 1024 * 1024
MAX_BODY_BYTES = 64 * 1024 * 1024
#: seconds after which other requests must have been answered
OTHERS_SECONDS = 5.0

IN_HEAD = [EndlessPart.HEADER, EndlessPart.HEADERS, EndlessPart.INFORMATIONAL]
IN_BODY = [
    EndlessPart.BODY,
    EndlessPart.CHUNKS,
    EndlessPart.CHUNK_EXTENSION,
    EndlessPart.TRAILERS,
]


def make_endless(world, part: EndlessPart, *services: str, status: int = 200) -> list:
    targets = [one for one in world.targets.values() if one.service in services]
    for target in targets:
        target.endless, target.endless_status = part, status
    return targets


def list_bytes(targets) -> list[int]:
    return [size for target in targets for size in target.endless_bytes]


async def check_closed(world, targets) -> None:
    """Check that the instance has closed the connections of endless responses."""
    await world.wait_for(
        lambda: not any(target.has_open_connections() for target in targets)
    )


@pytest.mark.parametrize("part", IN_HEAD, ids=lambda one: one.value)
@pytest.mark.parametrize("kind", ["book", "scan"])
async def test_endless_head_is_given_up(pipeline, part, kind):
    """Guards against memory taken up by a head that does not end."""
    await pipeline.add("desk-1", "desk")
    await pipeline.wait_for(lambda: pipeline.accepts("desk-1"))
    await pipeline.extend_timeouts()
    targets = make_endless(pipeline, part, "desk", "llm")
    if kind == "book":
        asked = pipeline.ask("/book/1", method="POST")
    else:
        asked = pipeline.stream("scan")
    reply = await asked
    assert reply.status == 502
    assert max(list_bytes(targets)) <= MAX_HEAD_BYTES
    await check_closed(pipeline, targets)


@pytest.mark.parametrize("part", IN_BODY, ids=lambda one: one.value)
async def test_endless_body_of_a_stream_is_given_up(pipeline, part):
    """Guards against memory taken up by an event that does not end."""
    await pipeline.extend_timeouts()
    targets = make_endless(pipeline, part, "llm")
    reply = await pipeline.stream("scan")
    assert reply.status == 502
    assert max(list_bytes(targets)) <= MAX_HEAD_BYTES
    await check_closed(pipeline, targets)


@pytest.mark.parametrize("part", IN_BODY, ids=lambda one: one.value)
@pytest.mark.parametrize("status", [200, 500])
async def test_endless_body_is_given_up(world, part, status):
    """Guards against memory taken up by a body that does not end."""
    await world.extend_timeouts()
    targets = make_endless(world, part, "desk", status=status)
    reply = await world.ask("/book/1", method="POST")
    assert reply.status == 502
    assert max(list_bytes(targets)) <= MAX_BODY_BYTES
    await check_closed(world, targets)


@pytest.mark.parametrize("part", IN_BODY, ids=lambda one: one.value)
async def test_endless_error_of_a_stream_is_given_up(pipeline, part):
    await pipeline.extend_timeouts()
    targets = make_endless(pipeline, part, "llm", status=500)
    reply = await pipeline.stream("scan")
    assert reply.status == 502
    assert max(list_bytes(targets)) <= MAX_HEAD_BYTES
    await check_closed(pipeline, targets)


@pytest.mark.parametrize("part", list(EndlessPart), ids=lambda one: one.value)
async def test_endless_response_to_a_stage_call_is_given_up(pipeline, part):
    """Guards against makers whose responses take up the memory of their owner."""
    targets = make_endless(pipeline, part, "portal")
    await pipeline.stream("draft")
    assert max(list_bytes(targets)) <= MAX_BODY_BYTES
    for target in targets:
        target.endless = None
    await check_closed(pipeline, targets)


@pytest.mark.parametrize("part", list(EndlessPart), ids=lambda one: one.value)
async def test_other_requests_are_served_meanwhile(pipeline, part):
    """Guards against an event loop that one endless response keeps busy."""
    await pipeline.add("desk-1", "desk")
    await pipeline.wait_for(lambda: pipeline.accepts("desk-1"))
    make_endless(pipeline, part, "llm")
    streams = [asyncio.create_task(pipeline.stream("scan")) for _ in range(3)]
    async with asyncio.timeout(OTHERS_SECONDS):
        for number in range(10):
            assert (await pipeline.ask(f"/look/{number}")).status == 200
    for stream in streams:
        assert (await stream).status in (502, 503, 504)
