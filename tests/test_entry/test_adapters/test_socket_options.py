"""Tests of greengagelatch_entry.adapters.socket_options."""

from __future__ import annotations

import asyncio
import socket

import pytest

from greengagelatch_entry.adapters.socket_options import limit_read_size

#: size in bytes of what is sent at once
SENT_BYTES = 1024 * 1024
#: limit in bytes of one read
MAX_READ_BYTES = 32 * 1024


class Receiver(asyncio.Protocol):
    """Records the sizes of what it receives."""

    def __init__(self, *, limited: bool) -> None:
        self._limited = limited
        self.sizes: list[int] = []
        self.complete = asyncio.Event()

    def connection_made(self, transport) -> None:
        if self._limited:
            limit_read_size(transport, MAX_READ_BYTES)

    def data_received(self, data: bytes) -> None:
        self.sizes.append(len(data))
        if sum(self.sizes) == SENT_BYTES:
            self.complete.set()


@pytest.mark.parametrize("limited", [False, True])
async def test_reads_are_not_larger_than_their_limit(limited):
    """Guards against connections that hold more than the limit of their buffer."""
    ours, theirs = socket.socketpair()
    for one in (ours, theirs):
        one.setblocking(False)
        one.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SENT_BYTES)
    loop = asyncio.get_running_loop()
    sending = asyncio.create_task(loop.sock_sendall(theirs, bytes(SENT_BYTES)))
    await asyncio.sleep(0)
    receiver = Receiver(limited=limited)
    transport, _ = await loop.create_connection(lambda: receiver, sock=ours)
    async with asyncio.timeout(20):
        await receiver.complete.wait()
        await sending
    assert (max(receiver.sizes) <= MAX_READ_BYTES) is limited
    transport.close()
    theirs.close()
