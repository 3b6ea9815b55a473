"""Tests of greengagelatch_entry.relay.maker_calls on an instance."""

from __future__ import annotations

import asyncio

from greengagelatch_entry.relay import maker_calls
from greengagelatch_lab.platform_standins.targets import TargetFault

from .conftest import WAIT_SECONDS

#: requests of two stages each, one after the other
REQUESTS = 10


def list_makers(world):
    return [one for one in world.targets.values() if one.service != "llm"]


def count_calls(world) -> int:
    return sum(len(maker.batches) for maker in list_makers(world))


def count_connections(world) -> int:
    return sum(maker.connections for maker in list_makers(world))


async def stream_one_after_another(world) -> None:
    for _ in range(REQUESTS):
        assert (await world.stream()).status == 200


async def test_calls_share_connections(pipeline):
    """Guards against a connection for each call, most of all that an owner opens."""
    await stream_one_after_another(pipeline)
    assert count_calls(pipeline) == 2 * REQUESTS
    # one for calls and one for the freeing of results beside them
    assert count_connections(pipeline) <= 2 * len(list_makers(pipeline))
    assert pipeline.count("links.reused") >= REQUESTS


async def test_call_uses_no_connection_that_was_idle_for_long(pipeline, monkeypatch):
    """Guards against calls that wait at a maker which was cut off meanwhile."""
    monkeypatch.setattr(maker_calls, "MAX_IDLE_SECONDS", 0.0)
    await stream_one_after_another(pipeline)
    assert count_connections(pipeline) >= count_calls(pipeline)
    assert pipeline.count("links.opened_for.idle_too_long") > 0


async def test_repeated_answer_is_not_taken_for_that_of_the_next_call(pipeline):
    """Guards against engines that read the results of another request.

    A faulty maker sends an answer twice. On a connection that is used again, the second
    arrives where the answer to the next call is due, and carries no id.
    """
    for maker in list_makers(pipeline):
        maker.fault = TargetFault.REPEAT
    async with asyncio.timeout(WAIT_SECONDS):
        replies = [await pipeline.stream() for _ in range(REQUESTS)]
    assert pipeline.count("stages.crossed") > 0
    assert any(reply.status == 200 for reply in replies)
    for target in pipeline.targets.values():
        for request in target.received:
            request_id = request.headers["x-attempt-id"]
            for handle in request.headers["x-inputs"].split(","):
                assert handle.partition("/")[2].startswith(f"{request_id}-")


async def test_rejected_call_leaves_no_connection_to_the_next(pipeline):
    """Guards against an answer without results that is taken for the next call's."""
    portal = [one for one in list_makers(pipeline) if one.service == "portal"]
    for maker in portal:
        maker.fault = TargetFault.FULL
    await pipeline.stream(X_Deadline_Ms="500")
    await pipeline.wait_for(lambda: not any(m.has_open_connections() for m in portal))
