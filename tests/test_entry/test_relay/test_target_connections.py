"""Tests of greengagelatch_entry.relay.target_connections on an instance."""

from __future__ import annotations

import asyncio
import socket
import struct

import pytest

from greengagelatch.relay.incarnations import Incarnation
from greengagelatch_entry.relay.messages import OutboundRequest
from greengagelatch_entry.relay.target_dialers import Destination, TargetDialer
from greengagelatch_entry.relay.target_responses import TargetResponseError

from .conftest import read_rule

#: seconds: two silences of a sound target with a lost probe between them
SOUND_SILENCE = 4.0
#: seconds within which a target that vanished without a reset is found
VANISHED_SECONDS = 5.0
#: seconds for which a target stands still, as a process that is stopped
HALT_SECONDS = 3.0
#: size in bytes of a body for which the buffers of both ends have no room
LARGE_BODY = 4 * 1024 * 1024
SMALL_BUFFER = 4096


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


async def test_connection_survives_the_silence_of_a_sound_target(world):
    """Guards against a kernel that ends requests at targets that would go on.

    The user timeout also decides when keepalive probes give up, so that a single lost
    probe may end a request that waits for its first byte.
    """
    for _ in range(2):
        await world.ask("/look/1")
    idle = world.find_connections()._idle
    (connection,) = next(iter(idle.values()))
    rule = read_rule(connection.transport.get_extra_info("socket"))
    assert rule.find_survived_silence() >= SOUND_SILENCE
    assert rule.count_losable_probes() >= 1
    assert rule.find_drop_time() <= VANISHED_SECONDS


async def start_halted_target() -> asyncio.Server:
    """Start a target that reads nothing at first, then responds to one request."""

    async def serve(reader, writer) -> None:
        writer.transport.pause_reading()
        await asyncio.sleep(HALT_SECONDS)
        writer.transport.resume_reading()
        await reader.readuntil(b"\r\n\r\n")
        await reader.readexactly(LARGE_BODY)
        writer.write(b"HTTP/1.1 200 Said\r\nContent-Length: 4\r\n\r\nread")
        await writer.drain()
        writer.close()

    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
    listener.bind(("127.0.0.1", 0))
    return await asyncio.start_server(serve, sock=listener)


def create_destination(target_id: str, port: int) -> Destination:
    """Return the destination of a target that is not listed."""
    return Destination(incarnation=Incarnation(target_id), address=f"127.0.0.1:{port}")


async def test_request_outlasts_a_target_that_stops_reading(world):
    """Guards against a kernel that drops a connection with a zero window.

    A user timeout ends it even though the target's kernel answers the probes.
    """
    pool = world.find_connections()
    async with await start_halted_target() as server:
        _, port = server.sockets[0].getsockname()
        response = await pool.send(
            create_destination("halted", port),
            OutboundRequest(method="POST", target="/", body=bytes(LARGE_BODY)),
            fresh=True,
            timeout=20,
        )
        assert await response.read(SMALL_BUFFER) == b"read"
        response.abort()


@pytest.mark.parametrize(
    "answer", [b"", b"HTTP/1.1 200 Said\r\nContent-Length: 10\r\n\r\npart"]
)
async def test_lost_response_names_the_error_of_the_system(world, answer):
    """Guards against a log in which the kernel's timeout looks like a reset."""
    received = asyncio.Event()

    async def serve(reader, writer) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(answer)
        if answer:
            await received.wait()
        connection = writer.get_extra_info("socket")
        linger = struct.pack("ii", 1, 0)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        writer.transport.abort()

    pool = world.find_connections()
    async with await asyncio.start_server(serve, "127.0.0.1", 0) as server:
        _, port = server.sockets[0].getsockname()
        with pytest.raises(TargetResponseError, match="ECONNRESET") as lost:
            response = await pool.send(
                create_destination("resetting", port),
                OutboundRequest(method="GET", target="/"),
                fresh=True,
                timeout=20,
            )
            received.set()
            await response.read(SMALL_BUFFER)
    assert lost.value.broken


class SlowDialer(TargetDialer):
    """Opens connections after a delay."""

    def __init__(self, dialer: TargetDialer, seconds: float) -> None:
        self._dialer = dialer
        self._seconds = seconds

    async def dial(self, destination, create_protocol, timeout):
        await asyncio.sleep(self._seconds)
        return await self._dialer.dial(destination, create_protocol, timeout)


async def test_deadline_in_a_request_is_that_after_a_slow_dial(world):
    """Guards against targets that work on requests whose callers have given up.

    The time that a dial takes, as through a peer that is slow, counted twice: it was
    still in the deadline that the target received.
    """
    connections = world.find_connections()
    connections._dialer = SlowDialer(connections._dialer, 0.3)
    reply = await world.ask("/book/1", method="POST", X_Deadline_Ms="2000")
    assert reply.status == 200
    (seen,) = [one for target in world.targets.values() for one in target.received]
    assert int(seen.headers["x-deadline-ms"]) <= 1700


async def test_connection_is_not_reused_before_the_body_is_written(world):
    """Guards against a target that reads the next request as the rest of a body.

    It may respond before it has read the body, and keep the connection.
    """
    pool = world.find_connections()
    requests = []
    checked = asyncio.Event()

    async def serve(reader, writer) -> None:
        requests.append(await reader.readuntil(b"\r\n\r\n"))
        writer.write(b"HTTP/1.1 200 Said\r\nContent-Length: 4\r\n\r\nread")
        await checked.wait()
        writer.transport.abort()

    async with await asyncio.start_server(serve, "127.0.0.1", 0) as server:
        _, port = server.sockets[0].getsockname()
        for _ in range(2):
            response = await pool.send(
                create_destination("hasty", port),
                OutboundRequest(method="POST", target="/", body=bytes(16 * LARGE_BODY)),
                fresh=False,
                timeout=20,
            )
            assert await response.read(SMALL_BUFFER) == b"read"
            response.release()
        assert len(requests) == 2
        assert pool._idle[Incarnation("hasty")] == []
        checked.set()
        await asyncio.sleep(0.1)


class LostDialer(TargetDialer):
    """Opens connections that are lost some turns of the event loop later."""

    def __init__(self, dialer: TargetDialer, turns: int) -> None:
        self._dialer = dialer
        self._turns = turns

    async def dial(self, destination, create_protocol, timeout):
        connection = await self._dialer.dial(destination, create_protocol, timeout)
        connection.transport.abort()
        for _ in range(self._turns):
            await asyncio.sleep(0)
        return connection


@pytest.mark.parametrize("turns", [0, 2])
async def test_request_is_not_sent_on_a_connection_that_was_lost(world, turns):
    """Guards against an error for a request of which no byte was sent."""
    connections = world.find_connections()
    connections._dialer = LostDialer(connections._dialer, turns)
    reply = await world.ask("/book/1", method="POST")
    assert reply.status == 503
    assert not [one for target in world.targets.values() for one in target.received]
