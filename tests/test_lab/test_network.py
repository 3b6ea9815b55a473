"""Tests of the network paths between data centres."""

from __future__ import annotations

import asyncio

import pytest

from greengagelatch_lab.fleets.network import Network, PathKind, redirect_host
from greengagelatch_lab.fleets.routed import RoutedLoop

NORTH, SOUTH = "north", "south"
#: maximum seconds to wait for an expected answer
TIMEOUT = 5.0


@pytest.mark.parametrize(
    ("host", "expected"),
    [
        ("127.1.0.7", "127.1.2.7"),
        ("127.2.0.7", "127.2.0.7"),
        ("127.0.0.1", "127.0.0.1"),
        ("127.1.3.7", "127.1.3.7"),
        ("10.1.0.7", "10.1.0.7"),
        ("localhost", "localhost"),
    ],
)
def test_only_other_data_centres_are_redirected(host, expected):
    assert redirect_host(2, host) == expected


def ask(number: int, address: str) -> bytes:
    """Query a server from a data centre; return nothing if it is unreachable."""

    async def ask() -> bytes:
        host, _, port = address.rpartition(":")
        async with asyncio.timeout(TIMEOUT):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"x")
            answer = await reader.read(1)
            writer.close()
            return answer

    with asyncio.Runner(loop_factory=lambda: RoutedLoop(number)) as runner:
        try:
            return runner.run(ask())
        except OSError:
            return b""


async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    writer.write(await reader.read(1))
    writer.close()


async def test_partition_affects_only_its_two_data_centres():
    """A partition must block exactly the traffic between its two data centres.

    Otherwise the server is unreachable from its own data centre as well, or still
    reachable from the other one on another path.
    """
    async with Network((NORTH, SOUTH)) as network:
        host = network.assign_host(SOUTH)
        server = await asyncio.start_server(answer, host, 0)
        address = f"{host}:{server.sockets[0].getsockname()[1]}"
        async with server:
            await network.open_paths(SOUTH, address, PathKind.PEER)
            north, south = map(network.get_number, (NORTH, SOUTH))
            (path,) = network.find_paths(NORTH, PathKind.PEER)
            assert await asyncio.to_thread(ask, north, address) == b"x"
            assert path.link.accepted == 1
            await path.link.disconnect()
            assert await asyncio.to_thread(ask, north, address) == b""
            assert await asyncio.to_thread(ask, south, address) == b"x"
            await path.link.heal()
            assert await asyncio.to_thread(ask, north, address) == b"x"
            assert path.link.accepted == 2
