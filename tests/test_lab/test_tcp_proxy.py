"""Tests of the link between two processes."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import pytest

from greengagelatch_lab.standins.tcp_proxy import Direction, TcpProxy

#: seconds after which an answer counts as missing
SHORT = 0.1
#: seconds within which what is expected must happen
LONG = 5.0


async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    try:
        while data := await reader.read(100):
            writer.write(data)
    except ConnectionError:
        pass
    finally:
        writer.close()


@pytest.fixture
async def link() -> AsyncIterator[TcpProxy]:
    server = await asyncio.start_server(echo, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    async with server, TcpProxy(f"127.0.0.1:{port}") as link:
        yield link


class Client:
    """One connection over the link."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer

    async def ask(self, text: bytes, timeout: float = LONG) -> bytes:
        self.writer.write(text)
        async with asyncio.timeout(timeout):
            return await self.reader.read(100)

    async def ask_closed(self) -> bytes:
        try:
            return await self.ask(b"x")
        except ConnectionError:
            return b""


async def connect(link: TcpProxy) -> Client:
    host, _, port = link.address.rpartition(":")
    return Client(*await asyncio.open_connection(host, int(port)))


async def test_cut_refuses_and_heals(link: TcpProxy) -> None:
    client = await connect(link)
    assert await client.ask(b"a") == b"a"
    await link.disconnect()
    assert await client.ask_closed() == b""
    with pytest.raises(ConnectionRefusedError):
        await connect(link)
    await link.heal()
    assert await (await connect(link)).ask(b"d") == b"d"


async def test_open_connections_go_silent_for_good(link: TcpProxy) -> None:
    """A pooled connection swallows its request and raises nothing.

    The link loses track of the connections open at that moment; new ones work.
    A stand-in that let the old ones speak again would hide the fault.
    """
    old = await connect(link)
    assert await old.ask(b"a") == b"a"
    link.blackhole(only_open=True)
    with pytest.raises(TimeoutError):
        await old.ask(b"b", SHORT)
    new = await connect(link)
    assert await new.ask(b"c") == b"c"
    await link.heal()
    with pytest.raises(TimeoutError):
        await old.ask(b"d", SHORT)


async def test_silence_in_one_direction(link: TcpProxy) -> None:
    client = await connect(link)
    idle = await connect(link)
    assert await idle.ask(b"a") == b"a"
    link.blackhole(Direction.BACKWARD)
    with pytest.raises(TimeoutError):
        await client.ask(b"b", SHORT)
    await link.heal()
    # nothing of the idle connection was swallowed, so it goes on
    assert await idle.ask(b"c") == b"c"


async def test_slow_link_delivers_late(link: TcpProxy) -> None:
    client = await connect(link)
    link.delay(1.0, Direction.FORWARD)
    with pytest.raises(TimeoutError):
        await client.ask(b"a", SHORT)
    link.delay(0.0)
    assert await client.ask(b"b") in (b"a", b"ab")
