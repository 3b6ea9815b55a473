"""Tests of the fault-injecting TCP proxy."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator

import pytest

from greengagelatch_lab.standins.tcp_proxy import Direction, TcpProxy

#: seconds without an answer after which the data counts as lost
LOSS_TIMEOUT = 0.1
#: maximum seconds to wait for an expected answer
TIMEOUT = 5.0


async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    try:
        while data := await reader.read(100):
            writer.write(data)
    except ConnectionError:
        pass
    finally:
        writer.close()


@pytest.fixture
async def proxy() -> AsyncIterator[TcpProxy]:
    server = await asyncio.start_server(echo, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    async with server, TcpProxy(f"127.0.0.1:{port}") as proxy:
        yield proxy


class Client:
    """One connection through the proxy."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer

    async def ask(self, text: bytes, timeout: float = TIMEOUT) -> bytes:
        self.writer.write(text)
        async with asyncio.timeout(timeout):
            return await self.reader.read(100)

    async def ask_closed(self) -> bytes:
        try:
            return await self.ask(b"x")
        except ConnectionError:
            return b""


async def connect(proxy: TcpProxy) -> Client:
    host, _, port = proxy.address.rpartition(":")
    return Client(*await asyncio.open_connection(host, int(port)))


async def test_disconnect_refuses_until_healed(proxy: TcpProxy) -> None:
    client = await connect(proxy)
    assert await client.ask(b"a") == b"a"
    await proxy.disconnect()
    assert await client.ask_closed() == b""
    with pytest.raises(ConnectionRefusedError):
        await connect(proxy)
    await proxy.heal()
    assert await (await connect(proxy)).ask(b"d") == b"d"


async def test_open_connections_are_blackholed_permanently(proxy: TcpProxy) -> None:
    """Open connections discard their data without an error; new ones work.

    This reproduces a pooled connection whose state was lost on the path. A proxy
    that resumed forwarding on it after ``heal`` would hide the fault.
    """
    old = await connect(proxy)
    assert await old.ask(b"a") == b"a"
    proxy.blackhole(only_open=True)
    with pytest.raises(TimeoutError):
        await old.ask(b"b", LOSS_TIMEOUT)
    new = await connect(proxy)
    assert await new.ask(b"c") == b"c"
    await proxy.heal()
    with pytest.raises(TimeoutError):
        await old.ask(b"d", LOSS_TIMEOUT)


async def test_blackhole_in_one_direction(proxy: TcpProxy) -> None:
    client = await connect(proxy)
    idle = await connect(proxy)
    assert await idle.ask(b"a") == b"a"
    proxy.blackhole(Direction.BACKWARD)
    with pytest.raises(TimeoutError):
        await client.ask(b"b", LOSS_TIMEOUT)
    await proxy.heal()
    # the idle connection has lost no data, so it continues to work
    assert await idle.ask(b"c") == b"c"


async def test_delay_delivers_late(proxy: TcpProxy) -> None:
    client = await connect(proxy)
    proxy.delay(1.0, Direction.FORWARD)
    with pytest.raises(TimeoutError):
        await client.ask(b"a", LOSS_TIMEOUT)
    proxy.delay(0.0)
    assert await client.ask(b"b") in (b"a", b"ab")


@pytest.mark.parametrize("direction", list(Direction))
async def test_paused_link_loses_nothing(proxy: TcpProxy, direction) -> None:
    """Guards against pauses that would pass for a lost connection."""
    client = await connect(proxy)
    assert await client.ask(b"a") == b"a"
    for sent in (b"b", b"c"):
        proxy.pause(direction)
        with pytest.raises(TimeoutError):
            await client.ask(sent, LOSS_TIMEOUT)
        proxy.resume()
        async with asyncio.timeout(TIMEOUT):
            assert await client.reader.read(100) == sent


async def test_paused_link_stops_reading(proxy: TcpProxy) -> None:
    """The sender's buffers fill up, as at a process that is stopped."""
    client = await connect(proxy)
    proxy.pause(Direction.FORWARD)
    connection = client.writer.get_extra_info("socket")
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 64 * 1024)
    size = 2 * 1024 * 1024
    client.writer.write(bytes(size))
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(LOSS_TIMEOUT):
            await client.writer.drain()
    proxy.resume()
    async with asyncio.timeout(TIMEOUT):
        assert len(await client.reader.readexactly(size)) == size


async def test_open_connections_live_on_while_new_ones_are_refused(
    proxy: TcpProxy,
) -> None:
    client = await connect(proxy)
    proxy.refuse_new()
    with pytest.raises(ConnectionRefusedError):
        await connect(proxy)
    assert await client.ask(b"a") == b"a"
    await proxy.heal()
    assert await (await connect(proxy)).ask(b"b") == b"b"


async def test_attempts_to_connect_hang_until_healed(proxy: TcpProxy) -> None:
    client = await connect(proxy)
    proxy.hang_new()
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(LOSS_TIMEOUT):
            await connect(proxy)
    assert await client.ask(b"a") == b"a"
    await proxy.heal()
    assert await (await connect(proxy)).ask(b"b") == b"b"


async def test_form_of_a_partition_can_change(proxy: TcpProxy) -> None:
    proxy.hang_new()
    await proxy.disconnect()
    with pytest.raises(ConnectionRefusedError):
        await connect(proxy)
    await proxy.heal()
    assert await (await connect(proxy)).ask(b"b") == b"b"
