"""Tests of tunnels to targets through a peer, over loopback."""

from __future__ import annotations

import asyncio
import math
import random
import socket
import struct
import time
from contextlib import AsyncExitStack
from dataclasses import replace
from types import SimpleNamespace
from typing import TYPE_CHECKING

import cbor2
import pytest
from websockets.asyncio.client import connect
from websockets.exceptions import ConnectionClosed
from websockets.protocol import State

from greengagelatch.clock import SystemClock
from greengagelatch.events import EventBus
from greengagelatch.peers import Member, MemberState
from greengagelatch.peers.codec import PROTOCOL_VERSION, Envelope, encode
from greengagelatch.peers.messages import Hello
from greengagelatch.relay.byte_account import create_account_rule
from greengagelatch.relay.incarnations import Incarnation
from greengagelatch.relay.targets import ListedTarget, TargetTable
from greengagelatch.relay.tunnels import TunnelOpened
from greengagelatch.settings import parse
from greengagelatch_entry.adapters.peer_sockets import SocketOptions, Traffic, listen
from greengagelatch_entry.adapters.peers import PeerHub
from greengagelatch_entry.relay import (
    target_streams,
    tunnel_frames,
    tunnel_server,
    tunnel_transport,
)
from greengagelatch_entry.relay.decisions import DecisionLog
from greengagelatch_entry.relay.memory import MemoryController
from greengagelatch_entry.relay.messages import OutboundRequest
from greengagelatch_entry.relay.prometheus import PrometheusMetrics
from greengagelatch_entry.relay.target_connections import TargetConnectionPool
from greengagelatch_entry.relay.target_dialers import (
    Destination,
    DialError,
    DialFailure,
    DirectDialer,
    TargetDialer,
    TunnelLostError,
)
from greengagelatch_entry.relay.target_responses import TargetResponseError
from greengagelatch_entry.relay.target_streams import MAX_BUFFERED_BYTES
from greengagelatch_entry.relay.tunnel_dialer import (
    PeerTunnelDialer,
    TunnelError,
    TunnelFailure,
)
from greengagelatch_entry.relay.tunnel_frames import (
    CHUNK_BYTES,
    TUNNEL_PATH,
    TunnelCloseCode,
)
from greengagelatch_entry.relay.tunnel_server import TunnelServer
from greengagelatch_lab.standins.tcp_proxy import TcpProxy
from greengagelatch_lab.waiting import wait_until

if TYPE_CHECKING:
    from collections.abc import Callable

HOST = "127.0.0.1"
TARGET = Incarnation("desk-1", 7)
#: seconds in which a tunnel must be open
TIMEOUT = 5.0
#: connections in their handshake at a time
MAX_HANDSHAKES = 8
#: more than the buffers of all sockets and processes on the way
LARGE_BYTES = 64 * 1024 * 1024
#: most bytes received by one call of asyncio
RECEIVE_BYTES = 256 * 1024
PEER_SETTINGS = """
[instance]
id = entry-2
data_centre = north
[peers]
listen = 127.0.0.1:0
seeds =
[platform]
store = 127.0.0.1:1
instances = 127.0.0.1:1
"""


class RawTarget:
    """Accepts connections and leaves their bytes to the test."""

    def __init__(self) -> None:
        self.accepted: asyncio.Queue[
            tuple[asyncio.StreamReader, asyncio.StreamWriter]
        ] = asyncio.Queue()
        self.count = 0
        self._server: asyncio.Server | None = None
        self._writers: list[asyncio.StreamWriter] = []

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._accept, HOST, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{HOST}:{port}"

    async def stop(self) -> None:
        self._server.close()
        for writer in self._writers:
            if not writer.is_closing():
                writer.transport.abort()

    async def take(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Return the next connection."""
        async with asyncio.timeout(TIMEOUT):
            return await self.accepted.get()

    def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.count += 1
        self._writers.append(writer)
        self.accepted.put_nowait((reader, writer))


class Recorder(asyncio.Protocol):
    """Records what its transport reports."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.received = bytearray()
        self.ended = False
        self.lost: list[Exception | None] = []
        self.may_write = True

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        assert not self.lost
        self.received += data

    def eof_received(self) -> None:
        self.ended = True

    def connection_lost(self, exc: Exception | None) -> None:
        self.lost.append(exc)

    def pause_writing(self) -> None:
        self.may_write = False

    def resume_writing(self) -> None:
        self.may_write = True

    async def wait_lost(self) -> Exception | None:
        await wait_until(lambda: self.lost, what="the loss of the connection")
        assert len(self.lost) == 1
        return self.lost[0]


class World:
    """A target, a peer that can reach it, and the dialer of an instance."""

    def __init__(self) -> None:
        self.target = RawTarget()
        self.table = TargetTable()
        self.stopping = False
        self.unreachable: set[Incarnation] = set()
        #: seconds for which targets want no requests of the peer
        self.rests: dict[Incarnation, float] = {}
        self.metrics = PrometheusMetrics()
        self.own_metrics = PrometheusMetrics()
        self.address = ""
        self._server = None

    async def start(self) -> None:
        await self.target.start()
        self.list_target(self.target.address)
        clock = SystemClock()
        self.tunnels = TunnelServer(
            target_table=self.table,
            dialer=DirectDialer(self.metrics),
            is_stopping=lambda: self.stopping,
            is_reachable=lambda incarnation: incarnation not in self.unreachable,
            find_rest=lambda incarnation: self.rests.get(incarnation, 0.0),
            metrics=self.metrics,
            decisions=DecisionLog(clock=clock, metrics=self.metrics),
        )
        await self.tunnels.start()
        self._server = await listen(
            HOST,
            0,
            self.tunnels.accept,
            Traffic(),
            SocketOptions(open_timeout=TIMEOUT, max_handshakes=MAX_HANDSHAKES),
        )
        port = next(iter(self._server.sockets)).getsockname()[1]
        self.address = f"{HOST}:{port}"
        self.dialer = PeerTunnelDialer(
            peers=SimpleNamespace(instance_id="entry-1", members=self._list_members),
            metrics=self.own_metrics,
        )

    async def stop(self) -> None:
        await self.dialer.close()
        await self.tunnels.stop()
        self._server.close()
        await self._server.wait_closed()
        await self.target.stop()

    def list_target(self, address: str) -> None:
        listed = ListedTarget(
            incarnation=TARGET, service="desk", address=address, data_centre="north"
        )
        self.table.put(listed)

    async def dial(
        self,
        incarnation: Incarnation = TARGET,
        peer_id: str = "entry-2",
        create_protocol: Callable[[], asyncio.Protocol] = Recorder,
        timeout: float = TIMEOUT,
    ) -> Recorder:
        # the address is another one: only the peer's own table may count
        destination = Destination(incarnation=incarnation, address="127.0.0.1:1")
        return await self.dialer.dial_through(
            peer_id, destination, create_protocol, timeout
        )

    async def fail(self, **details) -> TunnelError:
        with pytest.raises(TunnelError) as caught:
            await self.dial(**details)
        return caught.value

    async def open(
        self,
    ) -> tuple[Recorder, asyncio.StreamReader, asyncio.StreamWriter]:
        protocol = await self.dial()
        return protocol, *await self.target.take()

    def find_tunnel(self):
        (tunnel,) = self.tunnels._tunnels
        return tunnel

    async def wait_idle(self) -> None:
        await wait_until(lambda: not self.tunnels._active, what="the end of tunnels")

    def _list_members(self) -> tuple[Member, ...]:
        return (
            Member(
                instance_id="entry-2",
                data_centre="north",
                address=self.address,
                state=MemberState.ALIVE,
            ),
        )


class ThroughPeer(TargetDialer):
    """Opens every connection through the peer."""

    def __init__(self, world: World) -> None:
        self._world = world

    async def dial(self, destination, create_protocol, timeout):
        try:
            return await self._world.dialer.dial_through(
                "entry-2", destination, create_protocol, TIMEOUT
            )
        except TunnelError as error:
            raise DialError(str(error), DialFailure.FAILED) from error


@pytest.fixture
async def world():
    created = World()
    await created.start()
    yield created
    await created.stop()


@pytest.fixture
def short_silence(monkeypatch):
    """Shorten the detection of a lost peer."""
    for module in (tunnel_frames, tunnel_server, tunnel_transport):
        monkeypatch.setattr(module, "HEARTBEAT_SECONDS", 0.05)
        monkeypatch.setattr(module, "SILENCE_SECONDS", 0.5)


def reset(writer: asyncio.StreamWriter) -> None:
    """Send a TCP reset, which closing with a zero linger time does."""
    connection = writer.get_extra_info("socket")
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def read_all(reader: asyncio.StreamReader) -> bytes:
    async with asyncio.timeout(60):
        return await reader.read()


# what a tunnel carries


async def test_bytes_are_carried_both_ways_until_the_target_closes(world):
    protocol, reader, writer = await world.open()
    protocol.transport.write(b"question")
    assert await reader.readexactly(8) == b"question"
    writer.write(b"answer")
    await wait_until(lambda: protocol.received == b"answer")
    writer.write(b", its end")
    writer.close()
    assert await protocol.wait_lost() is None
    assert protocol.ended
    assert protocol.received == b"answer, its end"
    assert protocol.transport.is_closing()
    await world.wait_idle()
    assert world.dialer.count_open() == 0


async def test_reset_by_the_target_is_no_orderly_end(world):
    """Guard against truncated responses that are taken for complete ones.

    The end of a response without a length is the end of its connection. If a tunnel
    ended in the same way after a reset, part of a response would be passed on as whole.
    """
    protocol, _, writer = await world.open()
    writer.write(b"part")
    await wait_until(lambda: protocol.received == b"part")
    reset(writer)
    error = await protocol.wait_lost()
    assert isinstance(error, ConnectionResetError)
    assert not isinstance(error, TunnelLostError)
    assert not protocol.ended


async def test_bytes_before_a_reset_are_delivered(world):
    """Guard against complete responses that are lost with a reset behind them."""
    protocol, _, writer = await world.open()
    protocol.transport.pause_reading()
    writer.write(bytes(RECEIVE_BYTES))
    tunnel = world.find_tunnel()
    await wait_until(lambda: world.metrics.value("tunnels.bytes_in") == RECEIVE_BYTES)
    reset(writer)
    await wait_until(lambda: tunnel._stream.error is not None)
    protocol.transport.resume_reading()
    assert isinstance(await protocol.wait_lost(), ConnectionResetError)
    assert protocol.received == bytes(RECEIVE_BYTES)


async def test_loss_of_the_peer_is_told_apart_from_a_reset(world):
    """Guard against targets that are blamed for a crash of the peer.

    A reset shortly after a request counts as evidence that it crashed the target.
    """
    protocol, reader, _ = await world.open()
    world.tunnels.abort_all()
    assert isinstance(await protocol.wait_lost(), TunnelLostError)
    assert not protocol.ended
    assert await read_all(reader) == b""


async def test_abort_closes_the_connection_of_the_target(world):
    """Guard against work at targets for callers that have left."""
    protocol, reader, _ = await world.open()
    protocol.transport.write(b"question")
    assert await reader.readexactly(8) == b"question"
    protocol.transport.abort()
    assert await read_all(reader) == b""
    assert await protocol.wait_lost() is None
    await world.wait_idle()


async def test_abort_closes_the_connection_of_a_target_that_reads_nothing(
    world, short_silence, monkeypatch
):
    """Guard against work at targets for callers that left while a body was sent."""
    # the kernel would end the connection to the target as well, after some seconds
    patient = replace(target_streams.LOSS_RULE, user_timeout=120.0)
    monkeypatch.setattr(target_streams, "LOSS_RULE", patient)
    protocol, reader, _ = await world.open()
    protocol.transport.write(bytes(LARGE_BYTES))
    await wait_until(lambda: world.find_tunnel()._blocked, what="a full target")
    protocol.transport.abort()
    await world.wait_idle()
    assert len(await read_all(reader)) < LARGE_BYTES


async def test_close_sends_what_was_written_before(world):
    """Guard against requests that are cut off by an orderly close."""
    protocol, reader, _ = await world.open()
    data = random.Random(1).randbytes(4 * 1024 * 1024)
    protocol.transport.write(data)
    protocol.transport.close()
    assert await read_all(reader) == data
    assert await protocol.wait_lost() is None
    await world.wait_idle()


async def test_error_of_the_protocol_ends_the_tunnel(world):
    protocol, reader, writer = await world.open()
    protocol.data_received = None
    writer.write(b"answer")
    assert isinstance(await protocol.wait_lost(), TypeError)
    assert await read_all(reader) == b""


# backpressure


async def test_slow_reader_bounds_what_is_buffered_and_loses_nothing(
    world, short_silence
):
    """Guard against memory filled by, and cuts of, responses to slow callers.

    Neither the instance nor the peer may buffer a response without a bound, and a
    reader that takes longer than the detection of a lost peer is not lost.
    """
    protocol, _, writer = await world.open()
    protocol.transport.pause_reading()
    data = random.Random(1).randbytes(1024 * 1024) * (LARGE_BYTES // 1024 // 1024)
    writer.write(data)
    writer.close()
    stream = world.find_tunnel()._stream
    await wait_until(lambda: stream._paused, what="backpressure at the peer")
    await asyncio.sleep(3 * tunnel_server.SILENCE_SECONDS)
    assert stream._buffered <= MAX_BUFFERED_BYTES + RECEIVE_BYTES
    assert writer.transport.get_write_buffer_size() > 0
    frames = protocol.transport._connection.recv_messages.frames
    queued = sum(len(frame.data) for frame in frames.queue)
    assert queued <= RECEIVE_BYTES + 17 * CHUNK_BYTES
    assert not protocol.received
    protocol.transport.resume_reading()
    assert await protocol.wait_lost() is None
    assert protocol.received == data


async def test_end_of_a_response_reaches_a_reader_that_is_slower_than_the_closing(
    world,
):
    """Guard against truncated ends of responses to slow callers.

    The closing handshake of a WebSocket connection takes its turn behind the data; when
    it times out, what has not been sent is discarded.
    """
    protocol, _, writer = await world.open()
    protocol.transport.pause_reading()
    connection = world.find_tunnel()._connection
    connection.close_timeout = 0.01
    # whatever the sockets don't take stays where an early end would discard it
    connection.transport.set_write_buffer_limits(LARGE_BYTES)
    data = random.Random(1).randbytes(LARGE_BYTES // 2)
    writer.write(data)
    writer.close()
    await wait_until(lambda: connection.state is State.CLOSING)
    await asyncio.sleep(0.1)
    protocol.transport.resume_reading()
    assert await protocol.wait_lost() is None
    assert protocol.received == data


async def test_slow_target_bounds_what_is_buffered_and_loses_nothing(world):
    protocol, reader, _ = await world.open()
    data = random.Random(1).randbytes(1024 * 1024) * 16
    protocol.transport.write(data)
    assert not protocol.may_write
    assert protocol.transport.get_write_buffer_size() > 0
    received = b""
    async with asyncio.timeout(60):
        while len(received) < len(data):
            received += await reader.read(RECEIVE_BYTES)
    assert received == data
    await wait_until(lambda: protocol.may_write)
    await wait_until(lambda: protocol.transport.get_write_buffer_size() == 0)


async def test_quiet_tunnel_is_kept_open(world, short_silence):
    """Guard against requests that are cut as their target takes long to answer."""
    protocol, _, writer = await world.open()
    await asyncio.sleep(3 * tunnel_server.SILENCE_SECONDS)
    writer.write(b"answer")
    await wait_until(lambda: protocol.received == b"answer")


async def test_pause_of_the_process_drops_no_tunnel(world, short_silence):
    """Guard against requests that are cut after a process was not run for a while."""
    protocol, _, writer = await world.open()
    # the tunnel is idle when the pause begins
    await asyncio.sleep(2 * tunnel_server.HEARTBEAT_SECONDS)
    # blocks the loop, as a pause does
    time.sleep(2 * tunnel_server.SILENCE_SECONDS)  # noqa: ASYNC251
    await asyncio.sleep(tunnel_server.SILENCE_SECONDS)
    writer.write(b"answer")
    await wait_until(lambda: protocol.received == b"answer")


async def test_silent_peer_is_dropped_by_both_sides(world, short_silence):
    """Guard against requests, and tunnels, that wait for an instance that is gone."""
    direct = world.address
    async with TcpProxy(direct) as proxy:
        world.address = proxy.address
        protocol, reader, _ = await world.open()
        proxy.blackhole()
        assert isinstance(await protocol.wait_lost(), TunnelLostError)
        assert await read_all(reader) == b""
        await world.wait_idle()


# opening


async def test_stopping_peer_takes_no_tunnel_and_finishes_the_running_ones(world):
    protocol, _, writer = await world.open()
    world.stopping = True
    error = await world.fail()
    assert error.failure is TunnelFailure.DENIED
    assert world.target.count == 1
    assert not await world.tunnels.wait_idle(0.0)
    writer.write(b"answer")
    writer.close()
    assert await protocol.wait_lost() is None
    assert protocol.received == b"answer"
    assert await world.tunnels.wait_idle(TIMEOUT)


async def test_peer_at_its_limit_takes_no_tunnel(world, monkeypatch):
    monkeypatch.setattr(tunnel_server, "MAX_DESCRIPTORS", 5)
    first, _, _ = await world.open()
    second, _, _ = await world.open()
    error = await world.fail()
    assert error.failure is TunnelFailure.DENIED
    assert world.metrics.value("tunnels.refused.full") == 1
    first.transport.abort()
    await wait_until(lambda: len(world.tunnels._active) == 1)
    await world.open()
    assert not second.lost


@pytest.mark.parametrize(
    "incarnation",
    [Incarnation("desk-1", 6), Incarnation("desk-1"), Incarnation("desk-2", 7)],
)
async def test_peer_connects_to_listed_targets_only(world, incarnation):
    """Guard against peers that are used to reach other addresses."""
    error = await world.fail(incarnation=incarnation)
    assert error.failure is TunnelFailure.DENIED
    assert world.target.count == 0


async def test_peer_connects_to_no_target_that_leaves(world):
    """Guards against requests of others at a target that has told this instance."""
    world.tunnels._target_table.mark_leaving(TARGET)
    error = await world.fail()
    assert error.failure is TunnelFailure.DENIED
    assert world.target.count == 0


async def test_peer_that_a_target_has_asked_for_rest_says_so(world):
    world.rests[TARGET] = 2.5
    error = await world.fail()
    assert error.failure is TunnelFailure.RESTING
    assert error.rest_seconds == 2.5
    assert world.target.count == 0


async def test_peer_that_can_not_reach_the_target_says_so(world):
    world.unreachable.add(TARGET)
    error = await world.fail()
    assert error.failure is TunnelFailure.TARGET_UNREACHABLE
    assert not error.target_refused
    assert world.target.count == 0


async def test_refused_connection_to_the_target_is_reported(world):
    await world.target.stop()
    created = []
    error = await world.fail(create_protocol=lambda: created.append(Recorder()))
    assert error.failure is TunnelFailure.TARGET_UNREACHABLE
    assert error.target_refused
    # proves that nothing was sent
    assert not created
    await world.wait_idle()


async def test_unknown_or_unreachable_peer_is_reported(world):
    assert (await world.fail(peer_id="entry-9")).failure is (
        TunnelFailure.PEER_UNREACHABLE
    )
    world.address = f"{HOST}:1"
    assert (await world.fail()).failure is TunnelFailure.PEER_UNREACHABLE
    assert world.own_metrics.value("tunnels.failed.peer-unreachable") == 2


async def test_peer_that_does_not_answer_is_reported(world):
    silent = RawTarget()
    await silent.start()
    world.address = silent.address
    error = await world.fail(timeout=0.2)
    assert error.failure is TunnelFailure.PEER_UNREACHABLE
    _, writer = await silent.take()
    writer.close()
    await silent.stop()


async def test_cancelled_dial_leaves_no_connection(world):
    silent = RawTarget()
    await silent.start()
    world.address = silent.address
    task = asyncio.create_task(world.dial())
    reader, _ = await silent.take()
    assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"GET /tunnel")
    task.cancel()
    await asyncio.wait([task])
    assert task.cancelled()
    assert await read_all(reader) == b""
    await silent.stop()


async def test_earlier_release_fails_as_unreachable(world):
    """Guard against waiting on a peer that takes the connection for a link."""
    hub = create_hub()
    await hub.start()
    world.address = f"{HOST}:{hub.port}"
    error = await world.fail()
    assert error.failure is TunnelFailure.PEER_UNREACHABLE
    await hub.stop()


async def test_tunnels_are_served_on_the_listener_of_the_links(world):
    hub = create_hub()
    hub.serve_path(TUNNEL_PATH, world.tunnels.accept)
    await hub.start()
    direct, world.address = world.address, f"{HOST}:{hub.port}"
    protocol, reader, _ = await world.open()
    protocol.transport.write(b"question")
    assert await reader.readexactly(8) == b"question"
    protocol.transport.abort()
    await world.wait_idle()
    world.address = direct
    await hub.stop()


def create_frame(kind: str, **body) -> bytes:
    return cbor2.dumps({"v": PROTOCOL_VERSION, "t": kind, "b": body})


@pytest.mark.parametrize(
    "frame",
    [
        "text",
        b"",
        b"\xff\xff",
        encode(Envelope(Hello(instance_id="entry-1"))),
        create_frame("tunnel-request", target_id="desk-1", started_ms=7, timeout=0),
        create_frame("tunnel-request", target_id="desk-1", timeout=math.nan),
        create_frame("tunnel-request", target_id="desk-1", timeout="1"),
        create_frame("tunnel-request", target_id=["desk-1"], timeout=1.0),
        create_frame("tunnel-request", target_id="desk-1", started_ms=b"", timeout=1),
    ],
)
async def test_malformed_first_message_closes_the_connection(world, frame):
    async with connect(f"ws://{world.address}{TUNNEL_PATH}", proxy=None) as connection:
        await connection.send(frame)
        with pytest.raises(ConnectionClosed) as caught:
            await connection.recv()
    assert caught.value.rcvd.code == TunnelCloseCode.REFUSED
    assert world.metrics.value("tunnels.refused.invalid") == 1
    assert world.target.count == 0


async def test_connection_without_a_first_message_is_closed(world, monkeypatch):
    """Guard against connections that occupy the listener and never ask."""
    monkeypatch.setattr(tunnel_server, "IDENTIFICATION_SECONDS", 0.05)
    async with connect(f"ws://{world.address}{TUNNEL_PATH}", proxy=None) as connection:
        with pytest.raises(ConnectionClosed):
            await connection.recv()
    assert not world.tunnels._unidentified


async def test_oldest_connection_without_a_first_message_yields(world):
    """Guards against clients that send nothing and keep peers out."""
    url = f"ws://{world.address}{TUNNEL_PATH}"
    frame = create_frame("tunnel-request", target_id="desk-1", started_ms=7, timeout=1)
    async with AsyncExitStack() as stack:
        silent = [
            await stack.enter_async_context(connect(url, proxy=None))
            for _ in range(MAX_HANDSHAKES)
        ]
        peer = await stack.enter_async_context(connect(url, proxy=None))
        await peer.send(frame)
        assert await peer.recv() == encode(Envelope(TunnelOpened()))
        with pytest.raises(ConnectionClosed):
            await silent[0].recv()
        assert all(one.state is State.OPEN for one in silent[1:])


async def test_text_frame_after_the_opening_cuts_the_tunnel(world):
    url = f"ws://{world.address}{TUNNEL_PATH}"
    frame = create_frame("tunnel-request", target_id="desk-1", started_ms=7, timeout=1)
    async with connect(url, proxy=None) as connection:
        await connection.send(frame)
        await connection.recv()
        reader, _ = await world.target.take()
        await connection.send("text")
        assert await read_all(reader) == b""


async def test_stop_of_the_controller_cuts_what_is_left(world):
    protocol, reader, _ = await world.open()
    await world.tunnels.stop()
    assert isinstance(await protocol.wait_lost(), TunnelLostError)
    assert await read_all(reader) == b""
    await world.wait_idle()
    # as the listener is closed after it
    assert (await world.fail()).failure is TunnelFailure.PEER_UNREACHABLE


# the pool of connections


def create_pool(world: World) -> TargetConnectionPool:
    return TargetConnectionPool(
        dialer=ThroughPeer(world),
        find_idle_limit=lambda incarnation: 4,
        memory=MemoryController(
            rule=create_account_rule(0),
            metrics=world.own_metrics,
            decisions=DecisionLog(clock=SystemClock(), metrics=world.own_metrics),
        ),
        clock=SystemClock(),
        metrics=world.own_metrics,
    )


async def start_request(world: World, pool: TargetConnectionPool):
    """Send a request; return its task and the connection at the target."""
    task = asyncio.create_task(
        pool.send(
            Destination(incarnation=TARGET, address=world.target.address),
            OutboundRequest(method="GET", target="/"),
            fresh=False,
            timeout=TIMEOUT,
        )
    )
    reader, writer = await world.target.take()
    async with asyncio.timeout(TIMEOUT):
        await reader.readuntil(b"\r\n\r\n")
    return task, writer


async def start_response(world: World, head: bytes):
    """Let the target send the head of a response, or nothing.

    Return the target's connection, and what reads the rest of the response.
    """
    task, writer = await start_request(world, create_pool(world))
    writer.write(head)
    await wait_until(lambda: world.metrics.value("tunnels.bytes_in") == len(head))
    response = await task if head else None

    async def read() -> None:
        await (response.read(10) if response is not None else task)

    return writer, read


async def test_tunnel_is_not_pooled(world):
    """Guard against idle tunnels that hold up a planned stop of the peer."""
    pool = create_pool(world)
    task, writer = await start_request(world, pool)
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
    response = await task
    assert await response.read(10) == b"ok"
    response.release()
    assert pool.count_idle() == 0
    await world.wait_idle()


@pytest.mark.parametrize("head", [b"", b"HTTP/1.1 200 OK\r\n\r\npart"])
async def test_loss_of_the_peer_is_no_evidence_of_a_crash(world, head):
    _, read = await start_response(world, head)
    world.tunnels.abort_all()
    with pytest.raises(TargetResponseError) as caught:
        await read()
    assert not caught.value.broken


@pytest.mark.parametrize("head", [b"", b"HTTP/1.1 200 OK\r\n\r\npart"])
async def test_reset_by_the_target_is_reported_as_such(world, head):
    writer, read = await start_response(world, head)
    reset(writer)
    with pytest.raises(TargetResponseError) as caught:
        await read()
    assert caught.value.broken


def create_hub() -> PeerHub:
    return PeerHub(
        clock=SystemClock(),
        random_source=random.Random(1),
        events=EventBus(),
        settings=parse(PEER_SETTINGS).unwrap(),
        metrics=PrometheusMetrics(),
    )
