"""Tests of greengagelatch_entry.relay.target_connections on an instance."""

from __future__ import annotations

import socket

from greengagelatch.relay.connection_loss import ConnectionLossRule

#: seconds: two silences of a sound target with a lost probe between them
SOUND_SILENCE = 4.0


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


def read_rule(connection: socket.socket) -> ConnectionLossRule:
    def read(option: int) -> int:
        return connection.getsockopt(socket.IPPROTO_TCP, option)

    assert connection.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
    return ConnectionLossRule(
        user_timeout=read(socket.TCP_USER_TIMEOUT) / 1000,
        probe_idle=read(socket.TCP_KEEPIDLE),
        probe_interval=read(socket.TCP_KEEPINTVL),
        probe_count=read(socket.TCP_KEEPCNT),
    )


async def test_connection_survives_the_silence_of_a_sound_target(world):
    """Guards against a kernel that ends requests at targets that would go on.

    The user timeout also decides when keepalive probes give up, so that a single lost
    probe may end a request that waits for its first byte.
    """
    for _ in range(2):
        await world.ask("/look/1")
    idle = world.find("crash-watch")._connections._idle
    (connection,) = next(iter(idle.values()))
    rule = read_rule(connection.transport.get_extra_info("socket"))
    assert rule.find_survived_silence() >= SOUND_SILENCE
    assert rule.count_losable_probes() >= 1
