"""Tests of greengagelatch_entry.relay.target_connections on an instance."""

from __future__ import annotations


def count_idle(world) -> int:
    return world.describe()["links"]["idle"]


async def test_no_connection_is_pooled_that_no_request_may_use(world):
    """Guards against idle connections that exhaust the limits of targets.

    Each non-idempotent request opens a new connection. If these were pooled, none would
    be reused, and targets would reset connections of other instances.
    """
    for number in range(4):
        await world.ask("/book/1", method="POST", request_id=f"b-{number}")
    assert count_idle(world) == 0


async def test_idempotent_requests_reuse_a_connection(world):
    for _ in range(6):
        await world.ask("/look/1")
    assert world.count("links.opened") <= 2
    assert count_idle(world) > 0
