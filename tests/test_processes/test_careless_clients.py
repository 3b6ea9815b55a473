"""Tests of a process whose clients send without end, ahead, or not at all."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import resource
import socket
import struct
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING

import aiohttp
import pytest

from greengagelatch_entry.relay.tunnel_frames import TUNNEL_PATH
from greengagelatch_lab.platform_standins.deployment import (
    API_KEY,
    HOST,
    create_configuration,
)
from greengagelatch_lab.platform_standins.fleet import PlatformFleet
from greengagelatch_lab.platform_standins.targets import EndlessPart

if TYPE_CHECKING:
    from collections.abc import Callable

pytestmark = [
    pytest.mark.processes,
    pytest.mark.alone,
    pytest.mark.timeout(180),
]

#: timeout of every wait in seconds
WAIT_SECONDS = 60
MEGABYTE = 1_048_576
#: memory of the process, and the share of it that must suffice
MEMORY_MB = 128
MAX_SHARE = 0.75
#: descriptors of the process
MAX_DESCRIPTORS = 400
MAX_HEADER_BYTES = 16_384
#: connections that send much, and connections that hold descriptors
CROWD = 100
IDLE_CROWD = 600
#: bytes that a connection sends at most, and size of its writes
MAX_SENT_BYTES = 2 * MEGABYTE
WRITE_BYTES = 64 * 1024
#: seconds after which a connection that is not read stops sending
UNREAD_SECONDS = 2.0
#: size in bytes of the kernel's buffer and of one read of a client that reads slowly,
#: and its pause in seconds
SLOW_BUFFER, SLOW_BYTES, SLOW_PAUSE = 4096, 1024, 0.2
#: seconds without progress after which responses are blocked
BLOCKED_SECONDS = 3.0
#: connections that are opened for one request each, and how many at a time
CLOSED_CROWD = 2000
CLOSED_AT_ONCE = 64
ENTRANCES = ("front", "readiness", "metrics", "control")
HTTP_ENTRANCES = ENTRANCES[:3]
#: begin a WebSocket connection at the address of links and tunnels
UPGRADES = {
    name: (
        f"GET {path} HTTP/1.1\r\nHost: instance\r\nUpgrade: websocket\r\n"
        "Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\n"
        "Sec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\n\r\n"
    ).encode()
    for name, path in (("link", "/"), ("tunnel", TUNNEL_PATH))
}
PATHS = {"front": "/scan/1", "readiness": "/v1/readyz", "metrics": "/metrics"}


@dataclass(slots=True)
class CarelessFleet(PlatformFleet):
    """One instance with little memory and few descriptors."""

    #: awaited by engines before they answer
    gate: asyncio.Event = field(default_factory=asyncio.Event)
    max_descriptors: int = 0
    #: limits in the configuration that differ from the usual ones
    limits: dict[str, int] = field(
        default_factory=lambda: {"max-header-bytes": MAX_HEADER_BYTES}
    )

    async def add_more_targets(self) -> None:
        configuration = create_configuration(timeout_ms=WAIT_SECONDS * 1000)
        configuration["limits"] |= self.limits
        self.store.put("op/config", configuration)
        for engine in self.find_targets("llm"):
            engine.gate = self.gate

    def create_instance(self, name, seeds):
        instance = PlatformFleet.create_instance(self, name, seeds)
        settings = json.loads(instance.settings.read_text())
        settings["limits"] = {"memory-mb": MEMORY_MB, "max-fds": MAX_DESCRIPTORS}
        instance.settings.write_text(json.dumps(settings))
        return instance

    @property
    def instance(self):
        return self.instances[0]

    @property
    def process_directory(self) -> Path:
        return Path(f"/proc/{self.instance.process.pid}")

    def read_peak_bytes(self) -> int:
        """Return the highest resident memory that the instance has had."""
        status = (self.process_directory / "status").read_text()
        (line,) = (one for one in status.splitlines() if one.startswith("VmHWM:"))
        return int(line.split()[1]) * 1024

    def record_descriptors(self) -> None:
        """Record the descriptors that the instance has open."""
        count = len(os.listdir(self.process_directory / "fd"))
        self.max_descriptors = max(self.max_descriptors, count)


class KernelLimitedFleet(CarelessFleet):
    """One instance whose descriptors are limited by the kernel only."""

    def create_instance(self, name, seeds):
        instance = CarelessFleet.create_instance(self, name, seeds)
        settings = json.loads(instance.settings.read_text())
        del settings["limits"]["max-fds"]
        instance.settings.write_text(json.dumps(settings))
        return instance

    async def launch(self, instance) -> None:
        limits = resource.getrlimit(resource.RLIMIT_NOFILE)
        resource.setrlimit(resource.RLIMIT_NOFILE, (MAX_DESCRIPTORS, limits[1]))
        try:
            await CarelessFleet.launch(self, instance)
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, limits)


@pytest.fixture
async def fleet(tmp_path):
    created = CarelessFleet(tmp_path, count=1)
    try:
        await created.start()
        yield created
    finally:
        created.gate.set()
        await created.stop()


async def connect(fleet, entrance: str):
    host, _, port = getattr(fleet.instance, entrance).rpartition(":")
    return await asyncio.open_connection(host, int(port))


def encode_head(entrance: str, number: int, *lines: str) -> bytes:
    """Return a request that a target holds back, where the entrance is for callers."""
    head = [
        f"GET {PATHS.get(entrance, '/')} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Attempt-Id: c-{number}",
        f"X-Deadline-Ms: {WAIT_SECONDS * 1000}",
        f"Authorization: Bearer {API_KEY}",
        "X-Prefix-Hash: aa:60",
        *lines,
    ]
    return "\r\n".join(head).encode() + b"\r\n"


async def send(fleet, entrance: str, number: int, first: bytes, again: bytes) -> None:
    """Send without reading until nothing is read, or the connection is closed."""
    writer = None
    try:
        _, writer = await connect(fleet, entrance)
        data = again * max(1, WRITE_BYTES // len(again))
        writer.write(first)
        for _ in range(MAX_SENT_BYTES // len(data)):
            writer.write(data)
            async with asyncio.timeout(UNREAD_SECONDS):
                await writer.drain()
    except (ConnectionError, TimeoutError):
        return
    finally:
        if writer is not None:
            fleet.record_descriptors()
            writer.transport.abort()


async def send_by_crowd(
    fleet, entrance: str, create: Callable[[int], tuple[bytes, bytes]]
) -> None:
    """Let a crowd send, each connection what ``create`` returns for its number."""
    sending = (
        send(fleet, entrance, number, *create(number)) for number in range(CROWD)
    )
    async with asyncio.timeout(WAIT_SECONDS):
        await asyncio.gather(*sending)


async def check(fleet) -> None:
    """Check that the process lives within its bounds, and answers others."""
    async with asyncio.timeout(WAIT_SECONDS), aiohttp.ClientSession() as session:
        headers = {
            "Host": HOST,
            "X-Attempt-Id": "ordinary",
            "X-Deadline-Ms": str(WAIT_SECONDS * 1000),
            "Authorization": f"Bearer {API_KEY}",
        }
        url = f"http://{fleet.instance.front}/look/1"
        async with session.get(url, headers=headers) as response:
            await response.read()
            assert response.status == 200
        async with session.get(f"http://{fleet.instance.readiness}/v1/readyz") as ready:
            assert ready.status == 200
    fleet.record_descriptors()
    peak = fleet.read_peak_bytes()
    print(f"peak {peak / MEGABYTE:.1f} MiB, {fleet.max_descriptors} descriptors")
    assert fleet.instance.process.returncode is None
    assert peak <= MEMORY_MB * 1_000_000 * MAX_SHARE
    assert fleet.max_descriptors <= MAX_DESCRIPTORS


@pytest.mark.parametrize("entrance", HTTP_ENTRANCES)
async def test_requests_sent_ahead_fit_into_memory(fleet, entrance):
    """Guards against requests with large heads that are read ahead of their turn."""

    def create(number: int) -> tuple[bytes, bytes]:
        lines = [f"X-More-{one}: " + "a" * 4000 for one in range(3)]
        request = encode_head(entrance, number, *lines) + b"\r\n"
        return request, request

    await send_by_crowd(fleet, entrance, create)
    await check(fleet)


@pytest.mark.parametrize("entrance", ENTRANCES)
async def test_header_line_without_end_fits_into_memory(fleet, entrance):
    """Guards against bytes that are kept after a head is found to be invalid."""
    await send_by_crowd(
        fleet, entrance, lambda one: (encode_head(entrance, one) + b"X-Long: ", b"a")
    )
    await check(fleet)


@pytest.mark.parametrize("entrance", ENTRANCES)
async def test_header_lines_without_end_fit_into_memory(fleet, entrance):
    """Guards against heads that are bounded by the line only."""
    line = b"X-More: " + b"a" * 4000 + b"\r\n"
    await send_by_crowd(fleet, entrance, lambda one: (encode_head(entrance, one), line))
    await check(fleet)


@pytest.mark.parametrize(
    "again",
    [
        pytest.param(b"1\r\na\r\n", id="chunks"),
        pytest.param(b"a", id="extension"),
        pytest.param(b"ffff\r\n" + b"a" * 65535 + b"\r\n", id="large-chunks"),
    ],
)
@pytest.mark.parametrize("entrance", HTTP_ENTRANCES)
async def test_body_without_end_fits_into_memory(fleet, entrance, again):
    """Guards against bodies that are kept by a server that does not read them."""
    end = b"1;a=" if again == b"a" else b""

    def create(number: int) -> tuple[bytes, bytes]:
        head = encode_head(entrance, number, "Transfer-Encoding: chunked")
        return head.replace(b"GET", b"POST", 1) + b"\r\n" + end, again

    await send_by_crowd(fleet, entrance, create)
    await check(fleet)


@pytest.mark.parametrize(
    "is_begun", [pytest.param(False, id="unused"), pytest.param(True, id="begun")]
)
@pytest.mark.parametrize("entrance", ENTRANCES)
async def test_connections_that_send_no_request_leave_descriptors(
    fleet, entrance, is_begun
):
    """Guards against clients that take up all descriptors and send no request."""
    writers = []
    try:
        async with asyncio.timeout(WAIT_SECONDS):
            for number in range(IDLE_CROWD):
                _, writer = await connect(fleet, entrance)
                writers.append(writer)
                if is_begun:
                    writer.write(encode_head(entrance, number))
                fleet.record_descriptors()
        await check(fleet)
    finally:
        for writer in writers:
            writer.transport.abort()


async def test_unused_connections_leave_descriptors_that_the_kernel_allows(tmp_path):
    """Guards against a limit of the process that its settings do not state."""
    limits = {"idle-timeout-ms": 10 * WAIT_SECONDS * 1000}
    fleet = KernelLimitedFleet(tmp_path, count=1, limits=limits)
    writers = []
    try:
        await fleet.start()
        async with asyncio.timeout(WAIT_SECONDS):
            for _ in range(IDLE_CROWD):
                _, writer = await connect(fleet, "front")
                writers.append(writer)
        await check(fleet)
    finally:
        for writer in writers:
            writer.transport.abort()
        await fleet.stop()


async def test_requests_whose_callers_leave_leave_descriptors(fleet):
    """Guards against requests of callers that have left, each with a descriptor."""
    numbers = iter(range(CLOSED_CROWD))

    async def send_and_close() -> None:
        for number in numbers:
            _, writer = await connect(fleet, "front")
            writer.write(encode_head("front", number) + b"\r\n")
            writer.close()
            fleet.record_descriptors()

    async with asyncio.timeout(WAIT_SECONDS):
        await asyncio.gather(*(send_and_close() for _ in range(CLOSED_AT_ONCE)))
    await check(fleet)


def encode_frame(opcode: int, payload: bytes, *, is_last: bool = True) -> bytes:
    """Return a WebSocket frame of a client, whose mask changes nothing."""
    first = opcode | (0x80 if is_last else 0)
    if len(payload) < 126:
        head = struct.pack("!BB", first, 0x80 | len(payload))
    elif len(payload) < 65536:
        head = struct.pack("!BBH", first, 0x80 | 126, len(payload))
    else:
        head = struct.pack("!BBQ", first, 0x80 | 127, len(payload))
    return head + bytes(4) + payload


PING = encode_frame(0x9, b"a" * 125)
#: what clients send on a WebSocket connection: first, and then again and again
FLOODS = {
    "pings": (PING, PING),
    "fragments": (
        encode_frame(0x2, b"a" * 60_000, is_last=False),
        encode_frame(0x0, b"a" * 60_000, is_last=False),
    ),
    "empty-fragments": (
        encode_frame(0x2, b"", is_last=False),
        encode_frame(0x0, b"", is_last=False),
    ),
    "large-frames": (b"", encode_frame(0x2, b"a" * 1_000_000)),
    "small-frames": (b"", encode_frame(0x2, b"a")),
}


@pytest.mark.parametrize("flood", FLOODS)
@pytest.mark.parametrize("upgrade", UPGRADES)
async def test_frames_of_strangers_fit_into_memory(fleet, upgrade, flood):
    """Guards against clients that never send the first message of a peer."""
    first, again = FLOODS[flood]
    first = UPGRADES[upgrade] + first
    await send_by_crowd(fleet, "control", lambda _: (first, again))
    await check(fleet)


@pytest.mark.parametrize("upgrade", UPGRADES)
async def test_strangers_that_send_no_message_leave_descriptors(fleet, upgrade):
    """Guards against clients that open WebSocket connections and send nothing."""
    writers = []
    try:
        async with asyncio.timeout(WAIT_SECONDS):
            for _ in range(IDLE_CROWD):
                _, writer = await connect(fleet, "control")
                writers.append(writer)
                writer.write(UPGRADES[upgrade])
                fleet.record_descriptors()
        await check(fleet)
    finally:
        for writer in writers:
            writer.transport.abort()


async def connect_slowly(fleet, number: int):
    """Send a request over a connection that takes little of its response at a time."""
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_BUFFER)
    connection.setblocking(False)
    host, _, port = fleet.instance.front.rpartition(":")
    await asyncio.get_running_loop().sock_connect(connection, (host, int(port)))
    reader, writer = await asyncio.open_connection(sock=connection, limit=SLOW_BYTES)
    head = encode_head("front", number).replace(b"/scan/1", b"/look/1")
    writer.write(head + b"\r\n")
    fleet.record_descriptors()
    return reader, writer


async def read_slowly(reader: asyncio.StreamReader) -> None:
    """Read until the connection is closed."""
    with contextlib.suppress(ConnectionError):
        while await reader.read(SLOW_BYTES):  # noqa: ASYNC110
            await asyncio.sleep(SLOW_PAUSE)


async def wait_until_blocked(targets) -> None:
    """Wait until nothing is taken of the responses without end."""
    before = -1
    async with asyncio.timeout(WAIT_SECONDS):
        while before != (taken := sum(sum(one.endless_bytes) for one in targets)):
            before = taken
            await asyncio.sleep(BLOCKED_SECONDS)


async def test_slow_readers_leave_room_for_others(fleet):
    """Guards against clients that take up all connections by reading slowly."""
    targets = fleet.find_targets("desk")
    for target in targets:
        target.endless = EndlessPart.CHUNKS
    opened = await asyncio.gather(*(connect_slowly(fleet, one) for one in range(CROWD)))
    reading = [asyncio.create_task(read_slowly(reader)) for reader, _ in opened]
    try:
        await wait_until_blocked(targets)
        for target in targets:
            target.endless = None
        await check(fleet)
    finally:
        for task in reading:
            task.cancel()
        await asyncio.gather(*reading, return_exceptions=True)
        for _, writer in opened:
            writer.transport.abort()
