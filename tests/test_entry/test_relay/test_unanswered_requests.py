"""Tests that each request that was read gets a complete response."""

from __future__ import annotations

import asyncio

import pytest

from greengagelatch_entry.relay import front
from greengagelatch_lab.platform_standins.deployment import create_configuration

from .test_stop import WAIT_SECONDS, connect, encode_request, read_answer


async def configure(world, version: int, **changes) -> None:
    """Write a configuration and wait until it is in force."""
    world.store.put("op/config", create_configuration(version, **changes))
    configuration = world.find("news")._configuration
    await world.wait_for(lambda: configuration.deployment.version == version)


def create_limits(idle_ms: int) -> dict[str, int]:
    return {
        "max-header-bytes": 16384,
        "max-body-bytes": 65536,
        "header-timeout-ms": 3000,
        "idle-timeout-ms": idle_ms,
    }


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


async def test_raised_idle_timeout_applies_to_open_connections(world, monkeypatch):
    """Guards against requests sent on connections that the server is closing.

    A configuration raises the idle timeout, and callers keep their connections open
    for longer. The fault is to close them after the timeout that was in force when the
    listener was opened or when they were last used.
    """
    monkeypatch.setattr(front, "IDLE_MARGIN_SECONDS", 0.0)
    await configure(world, 4, limits=create_limits(1500))
    await world.parts.front.on_stop()
    await world.parts.front.on_start()
    first, first_writer = await connect(world)
    used, used_writer = await connect(world)
    used_writer.write(encode_request("before"))
    assert (await read_answer(used))[0] == 200
    await configure(world, 5, limits=create_limits(60_000))
    # longer than the former timeout
    await asyncio.sleep(1.6)
    for reader, writer in ((first, first_writer), (used, used_writer)):
        writer.write(encode_request("after"))
        assert (await read_answer(reader))[0] == 200
        writer.close()
    await configure(world, 6, limits=create_limits(50))
    reader, writer = await connect(world)
    async with asyncio.timeout(WAIT_SECONDS):
        assert await reader.read() == b""
    writer.close()
