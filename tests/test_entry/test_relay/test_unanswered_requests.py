"""Tests that each request that was read gets a complete response."""

from __future__ import annotations

import pytest


@pytest.mark.parametrize("path", ["/look/1", "/book/1", "/scan/1"])
@pytest.mark.parametrize("part", ["reason", "header"])
async def test_control_characters_in_a_response_head_are_replaced(world, path, part):
    """Guards against connections that are closed without a response.

    A target answers with a control character in its reason phrase or in a header. The
    HTTP library refuses to write such a head. The fault is to take the response for
    partly sent although no byte of it was.
    """
    engine = await world.add("llm-1", "llm")
    await world.wait_until_synced(3)
    for target in (*world.targets.values(), engine):
        if part == "reason":
            target.reason = "all\x00well"
        else:
            target.more_headers["X-Note"] = "all\x01well\x7f"
    headers = {"X_Prefix_Hash": "aa:1"} if path == "/scan/1" else {}
    reply = await world.ask(path, **headers)
    assert (reply.status, reply.error) == (200, "")
    if part == "header":
        assert reply.headers["X-Note"].strip() == "all well"
