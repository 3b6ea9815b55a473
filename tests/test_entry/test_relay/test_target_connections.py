"""Tests of greengagelatch_entry.relay.target_connections on a whole instance."""

from __future__ import annotations


def count_idle(world) -> int:
    return world.describe()["links"]["idle"]


async def test_no_connection_is_pooled_that_no_request_may_use(world):
    """Symptom: targets reset connections of instances that need one.

    Sequence: requests that run only once, each over a connection of its own, are
    answered; their connections stay open although the next one opens another.
    Cause: connections were kept whatever they had carried.
    """
    for number in range(4):
        await world.ask("/book/1", method="POST", request_id=f"b-{number}")
    assert count_idle(world) == 0


async def test_idempotent_requests_reuse_a_connection(world):
    for _ in range(6):
        await world.ask("/look/1")
    assert world.count("links.opened") <= 2
    assert count_idle(world) > 0
