"""Tests of greengagelatch_entry.adapters.target_pool."""

from __future__ import annotations

import random

import pytest

from greengagelatch.clock import SystemClock
from greengagelatch_entry.adapters.target_pool import TargetPool
from greengagelatch_lab.standins.scripted_server import ScriptedServer

from ..test_relay.conftest import read_rule

#: seconds: two silences of a sound target with a lost probe between them
SOUND_SILENCE = 4.0
#: seconds within which a target that vanished without a reset is found
VANISHED_SECONDS = 5.0


async def read_bounds(session, address):
    """Return the bounds on a connection of a session."""
    async with session.post(f"http://{address}/call", json={}) as response:
        transport = response.connection.transport
        return read_rule(transport.get_extra_info("socket"))


@pytest.fixture
async def pool():
    created = TargetPool(
        clock=SystemClock(),
        random_source=random.Random(1),
        idle_timeout=15.0,
        max_age=60.0,
    )
    yield created
    await created.close()


async def hold_back(connection):
    """Send the head of an answer, so that its connection stays in use."""
    await connection.read_request()
    await connection.send(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{")
    await connection.hold()


@pytest.mark.parametrize("pooled", [True, False])
async def test_kernel_drops_vanished_targets_and_keeps_silent_ones(pool, pooled):
    """Guards against calls that wait for a vanished target until their deadline.

    A connection without traffic is probed by the kernel only if its socket says so. A
    call that may run once leaves no target by itself.
    """
    async with ScriptedServer(hold_back) as server:
        if pooled:
            with pool.use(server.address) as session:
                rule = await read_bounds(session, server.address)
        else:
            rule = await read_bounds(pool.get_fresh(), server.address)
    assert rule.find_survived_silence() >= SOUND_SILENCE
    assert rule.count_losable_probes() >= 1
    assert rule.find_drop_time() <= VANISHED_SECONDS
