"""Tests of responses that have no length and end with their connection."""

from __future__ import annotations

import asyncio

import pytest

from greengagelatch_lab.platform_standins.targets import TargetFault

from .test_streams import WHOLE


def make_unframed(world, version: str = "1.1") -> None:
    for target in world.targets.values():
        target.unframed, target.http_version = True, version


def list_received(world, path: str) -> list:
    return [
        request
        for target in world.targets.values()
        for request in target.received
        if request.target == path
    ]


@pytest.mark.parametrize("version", ["1.0", "1.1"])
async def test_response_that_ends_with_its_connection_is_complete(world, version):
    make_unframed(world, version)
    for number in range(4):
        path = f"/look/{number}"
        reply = await world.ask(path, request_id=f"r-{number}")
        assert reply.status == 200
        assert reply.body == f"answer to r-{number} ".encode()
        assert len(list_received(world, path)) == 1


async def test_request_that_may_run_once_gets_such_a_response(world):
    make_unframed(world)
    reply = await world.ask("/book/1", method="POST", request_id="r-1")
    assert (reply.status, reply.body) == (200, b"answer to r-1 ")
    assert len(list_received(world, "/book/1")) == 1


async def test_error_that_ends_with_its_connection_is_forwarded(world):
    make_unframed(world)
    for target in world.targets.values():
        target.fault = TargetFault.FAIL
    reply = await world.ask("/book/1", method="POST")
    assert (reply.status, reply.body) == (500, b"failed")


@pytest.mark.parametrize("status", [204, 304])
async def test_response_that_has_no_body_needs_no_end(world, status):
    """Guards against a request that waits for the end of a body that never comes."""
    for target in world.targets.values():
        target.bodiless_status = status
    for number in range(4):
        reply = await world.ask(f"/look/{number}")
        assert (reply.status, reply.body) == (status, b"")
    # nothing is left on the connections
    connections = sum(target.connections for target in world.targets.values())
    assert connections <= len(world.targets)


async def test_length_in_the_response_to_head_is_not_waited_for(world):
    for number in range(4):
        reply = await world.ask(f"/look/{number}", method="HEAD")
        assert (reply.status, reply.body) == (200, b"")


async def test_connection_of_such_a_response_is_not_used_again(world):
    """Guards against a request sent on a connection that its target is closing."""
    make_unframed(world)
    count = 8
    for number in range(count):
        assert (await world.ask(f"/look/{number}")).status == 200
    assert sum(target.connections for target in world.targets.values()) >= count


@pytest.mark.parametrize("route", ["draft", "scan"])
@pytest.mark.parametrize("version", ["1.0", "1.1"])
async def test_stream_that_ends_with_its_connection_is_complete(
    pipeline, route, version
):
    make_unframed(pipeline, version)
    reply = await pipeline.stream(route)
    assert (reply.status, reply.body) == (200, WHOLE)


async def test_caller_may_use_its_connection_again(pipeline):
    """Guards against responses to callers that take over how a target frames its own.

    A response that ends with the caller's connection would look complete if the
    instance were killed.
    """
    make_unframed(pipeline)
    reply = await pipeline.stream("scan")
    assert reply.headers["Transfer-Encoding"] == "chunked"
    assert reply.headers.get("Connection", "keep-alive") == "keep-alive"


async def test_stream_that_ends_inside_an_event_is_resumed(pipeline):
    make_unframed(pipeline)
    breaks = [2]
    for target in pipeline.targets.values():
        target.breaks = breaks
    reply = await pipeline.stream("draft")
    assert (reply.status, reply.body) == (200, WHOLE)
    assert not breaks


async def test_stream_that_ends_inside_an_event_does_not_look_complete(pipeline):
    """Guards against a truncated stream that is taken for a complete one."""
    make_unframed(pipeline)
    for target in pipeline.targets.values():
        target.break_after = 2
    reply = await pipeline.stream("scan")
    assert reply.error == "ClientPayloadError"


async def test_stream_that_ends_inside_its_first_event_is_not_answered(pipeline):
    make_unframed(pipeline)
    for target in pipeline.targets.values():
        target.break_after = 0
    reply = await pipeline.stream("scan")
    assert reply.status == 502


async def test_reset_between_events_does_not_look_complete(pipeline):
    """Guards against a stream that a reset has truncated between two events."""
    make_unframed(pipeline)
    for target in pipeline.targets.values():
        target.stream_gate = asyncio.Event()
    asked = asyncio.create_task(pipeline.stream("scan"))
    await pipeline.wait_for(lambda: list_received(pipeline, "/scan/1"))
    await asyncio.sleep(0.1)
    for target in pipeline.targets.values():
        target.reset_connections()
    assert (await asked).error == "ClientPayloadError"


async def test_silence_before_the_end_is_no_truncation(pipeline):
    make_unframed(pipeline)
    for target in pipeline.targets.values():
        target.silences = [5]
    asked = asyncio.create_task(pipeline.stream("scan"))
    await pipeline.wait_for(
        lambda: any(target.silent for target in pipeline.targets.values())
    )
    await asyncio.sleep(0.3)
    for target in pipeline.targets.values():
        target.resume()
    assert (await asked).body == WHOLE
