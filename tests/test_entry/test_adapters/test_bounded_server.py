"""Tests of HTTP connections that are bounded by themselves and in sum."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from functools import partial

import pytest
from aiohttp.web_response import Response

from greengagelatch.connection_limits import (
    MIN_UNREAD_SECONDS,
    ConnectionLimit,
    ConnectionLimits,
)
from greengagelatch_entry.adapters.bounded_connections import MAX_DROPPED_BYTES
from greengagelatch_entry.adapters.bounded_server import BoundedServer, listen

HOST = "127.0.0.1"
#: timeout of every wait in seconds
WAIT_SECONDS = 20
REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
MAX_LINE = 1000
#: more than the kernel's buffers of both ends
LARGE_BODY = bytes(32 * 1024 * 1024)


class Harness:
    """A server whose requests wait for a gate."""

    def __init__(self, **limits: int) -> None:
        self.gate = asyncio.Event()
        self.served: list[str] = []
        self.limits: list[str] = []
        self.held = 0
        self.server = BoundedServer(
            self._handle,
            limits=ConnectionLimits(**{"max_connections": 3, **limits}),
            on_limit=lambda limit, _: self.limits.append(limit),
            on_held=self._record_held,
            access_log=None,
            handler_cancellation=True,
            max_line_size=MAX_LINE,
            max_field_size=MAX_LINE,
        )

    async def _handle(self, request):
        self.served.append(request.path)
        if request.path.startswith("/held"):
            await self.gate.wait()
        if request.path == "/body":
            await request.read()
        if request.path == "/large":
            response = Response(body=LARGE_BODY)
            await response.prepare(request)
            await response.write_eof()
            return response
        return Response(text="done")

    def _record_held(self, size: int) -> None:
        self.held = size

    def has_unread(self, count: int) -> bool:
        return len(self.server._unread) >= count

    async def connect(self):
        return await asyncio.open_connection(HOST, self.port)


@asynccontextmanager
async def open_harness(**limits: int):
    harness = Harness(**limits)
    listener = await listen(harness.server, HOST, 0, 100)
    harness.port = listener.sockets[0].getsockname()[1]
    try:
        yield harness
    finally:
        harness.gate.set()
        listener.close()
        await harness.server.shutdown(1.0)


def encode(path: str, *lines: str) -> bytes:
    head = [f"GET {path} HTTP/1.1", "Host: a", *lines]
    return "\r\n".join(head).encode() + b"\r\n\r\n"


async def read_status(reader) -> int:
    """Return the status of the next response; 0 if the connection is closed."""
    async with asyncio.timeout(WAIT_SECONDS):
        try:
            head = await reader.readuntil(b"\r\n\r\n")
        except (asyncio.IncompleteReadError, ConnectionError):
            return 0
        length = head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0]
        await reader.readexactly(int(length))
    return int(head.split()[1])


async def wait_for(condition) -> None:
    async with asyncio.timeout(WAIT_SECONDS):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.01)


async def test_longest_idle_connection_yields_to_a_new_one():
    """Guards against idle connections that keep others out."""
    async with open_harness() as harness:
        opened = [await harness.connect() for _ in range(3)]
        # the first one is no longer the longest idle
        opened[0][1].write(REQUEST)
        assert await read_status(opened[0][0]) == 200
        reader, writer = await harness.connect()
        writer.write(REQUEST)
        assert await read_status(reader) == 200
        # it has sent no request that a response could be for
        assert await opened[1][0].read() == b""
        opened[0][1].write(REQUEST)
        assert await read_status(opened[0][0]) == 200
        assert harness.limits == [ConnectionLimit.NUMBER]
        for _, one in [*opened, (reader, writer)]:
            one.close()


async def test_connection_with_a_part_of_a_head_is_refused_for_a_new_one():
    """Guards against clients that keep others out by heads that never end."""
    async with open_harness() as harness:
        opened = [await harness.connect() for _ in range(3)]
        for _, writer in opened:
            writer.write(REQUEST[:-2])
        await wait_for(lambda: harness.held == 3 * len(REQUEST[:-2]))
        reader, writer = await harness.connect()
        writer.write(REQUEST)
        assert await read_status(reader) == 200
        assert await read_status(opened[0][0]) == 503
        opened[1][1].write(REQUEST[-2:])
        assert await read_status(opened[1][0]) == 200


async def test_connection_with_a_part_of_a_body_is_refused_for_a_new_one():
    """Guards against clients that keep others out by bodies that never end."""
    async with open_harness() as harness:
        opened = [await harness.connect() for _ in range(3)]
        for _, writer in opened:
            writer.write(encode("/body", "Content-Length: 2") + b"a")
        await wait_for(lambda: len(harness.served) == 3)
        reader, writer = await harness.connect()
        writer.write(REQUEST)
        assert await read_status(reader) == 200
        assert await read_status(opened[0][0]) == 503
        opened[1][1].write(b"b")
        assert await read_status(opened[1][0]) == 200


async def test_new_connection_is_rejected_while_all_others_are_served():
    async with open_harness() as harness:
        opened = [await harness.connect() for _ in range(3)]
        for _, writer in opened:
            writer.write(encode("/held"))
        await wait_for(lambda: len(harness.served) == 3)
        reader, writer = await harness.connect()
        assert await read_status(reader) == 503
        harness.gate.set()
        for reader, _ in opened:
            assert await read_status(reader) == 200


async def test_connection_with_requests_ahead_yields_where_all_are_served():
    """Guards against clients that keep others out by requests that are never read."""
    async with open_harness() as harness:
        opened = [await harness.connect() for _ in range(3)]
        for _, writer in opened:
            writer.write(encode("/held"))
        opened[1][1].write(encode("/held/ahead") * 8)
        await wait_for(lambda: len(harness.served) == 3 and harness.held > 200)
        reader, writer = await harness.connect()
        writer.write(REQUEST)
        assert await read_status(reader) == 200
        assert await read_status(opened[1][0]) == 0
        assert "/held/ahead" not in harness.served


async def test_requests_ahead_of_a_client_that_has_left_are_not_served():
    """Guards against requests that reach a target after their caller has gone."""
    async with open_harness() as harness:
        _, writer = await harness.connect()
        writer.write(encode("/held") + encode("/ahead") * 2000)
        await wait_for(lambda: harness.served and harness.held > 0)
        writer.close()
        await asyncio.sleep(0.1)
        harness.gate.set()
        await wait_for(lambda: not harness.held)
        assert set(harness.served) == {"/held"}


async def test_requests_ahead_within_the_limits_are_answered_in_order():
    async with open_harness() as harness:
        reader, writer = await harness.connect()
        for number in range(40):
            writer.write(encode(f"/{number}"))
        for _ in range(40):
            assert await read_status(reader) == 200
        assert harness.served == [f"/{number}" for number in range(40)]
        writer.close()
        await wait_for(lambda: harness.held == 0)


async def test_head_that_is_too_large_as_a_whole_is_refused():
    """Guards against heads that are bounded by the line only."""
    async with open_harness() as harness:
        reader, writer = await harness.connect()
        writer.write(b"GET / HTTP/1.1\r\nHost: a\r\n")
        for number in range(3):
            writer.write(f"X-{number}: ".encode() + b"a" * 900 + b"\r\n")
            await writer.drain()
            await asyncio.sleep(0.02)
        assert await read_status(reader) == 431
        assert harness.limits == [ConnectionLimit.HEAD]


async def test_bytes_after_an_invalid_head_are_dropped():
    """Guards against bytes that are kept as further invalid requests."""
    async with open_harness() as harness:
        reader, writer = await harness.connect()
        # the response to the first request holds back that to the invalid one
        writer.write(encode("/held"))
        await wait_for(lambda: harness.served == ["/held"])
        (connection,) = harness.server.connections
        writer.write(b"GET / HTTP/1.1\r\nX-Long: " + b"a" * MAX_DROPPED_BYTES)
        await wait_for(lambda: connection._dropped_bytes)
        assert len(connection._messages) <= 1
        harness.gate.set()
        assert await read_status(reader) == 200
        assert await read_status(reader) == 400
        writer.close()


@pytest.mark.parametrize("is_served", [False, True])
async def test_largest_connection_is_closed_at_the_limit_of_all(is_served):
    """Guards against requests read ahead that are bounded by connection only."""
    async with open_harness(max_read_ahead=8000) as harness:
        small, large, other = [await harness.connect() for _ in range(3)]
        path = "/held" if is_served else "/quick"
        small[1].write(encode("/held"))
        large[1].write(encode(path) + b"GET / HTTP/1.1\r\nX-A: " + b"a" * 900)
        await wait_for(lambda: len(harness.served) == 2)
        other[1].write(encode("/held") + encode("/ahead") * 400)
        await wait_for(lambda: harness.limits == [ConnectionLimit.READ_AHEAD])
        harness.gate.set()
        assert await read_status(small[0]) == 200
        assert await read_status(large[0]) == 200
        # what is served is answered, what was ahead is not run
        assert await read_status(other[0]) in (200, 503)
        assert "/ahead" not in harness.served
        for _, writer in (small, large, other):
            writer.close()


async def open_unread(harness, count: int):
    """Open connections whose clients do not read their responses."""
    opened = []
    for number in range(1, count + 1):
        opened.append(await harness.connect())
        opened[-1][1].write(encode("/large"))
        await wait_for(partial(harness.has_unread, number))
    return opened


async def is_whole(reader) -> bool:
    """Read a response; return whether it is complete."""
    try:
        return await read_status(reader) == 200
    except (asyncio.IncompleteReadError, ConnectionError):
        return False


async def test_connection_whose_response_is_unread_for_longest_yields():
    """Guards against clients that take up all connections and do not read."""
    async with open_harness() as harness:
        opened = await open_unread(harness, 3)
        await wait_for(
            lambda: all(
                one.describe_use().unread_seconds >= MIN_UNREAD_SECONDS
                for one in harness.server._unread
            )
        )
        reader, writer = await harness.connect()
        writer.write(REQUEST)
        assert await read_status(reader) == 200
        assert harness.limits == [ConnectionLimit.NUMBER]
        assert [await is_whole(one) for one, _ in opened] == [False, True, True]
        for _, one in [*opened, (reader, writer)]:
            one.close()


async def test_unread_responses_are_limited():
    """Guards against the memory that responses of all slow clients take up."""
    async with open_harness(max_connections=10, max_unread=2) as harness:
        opened = await open_unread(harness, 2)
        opened.append(await harness.connect())
        opened[2][1].write(encode("/large"))
        await wait_for(lambda: harness.limits)
        assert harness.limits == [ConnectionLimit.UNREAD]
        assert [await is_whole(one) for one, _ in opened] == [False, True, True]
        for _, one in opened:
            one.close()
