"""Tests of greengagelatch_entry.relay.front on an instance."""

from __future__ import annotations

from .conftest import read_rule

#: seconds within which a caller that vanished without a reset is found
VANISHED_SECONDS = 5.0


async def test_caller_that_waits_survives_a_lost_probe(world):
    """Guards against a kernel that drops a caller who only waits for an answer.

    The user timeout was shorter than the time until the first probe, so that one lost
    probe ended the connection when the second was due.
    """
    await world.ask("/look/1")
    (connection,) = world.parts.front._connections._server.connections
    rule = read_rule(connection.transport.get_extra_info("socket"))
    assert rule.count_losable_probes() >= 1
    assert rule.find_drop_time() <= VANISHED_SECONDS
