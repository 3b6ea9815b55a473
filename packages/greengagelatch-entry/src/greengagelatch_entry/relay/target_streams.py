"""Raw connections to targets, with backpressure in both directions."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import cast

from .socket_options import LOSS_RULE, configure_socket

__all__ = ("TargetStream",)

#: received bytes above which reading from the target is paused
MAX_BUFFERED_BYTES = 65_536


class TargetStream(asyncio.Protocol):
    """Bytes to and from a target.

    In contrast to the streams of asyncio, what was received before a reset can still
    be read: a complete response may precede it.
    """

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._chunks: deque[bytes] = deque()
        self._buffered = 0
        self._readable = asyncio.Event()
        self._writable = asyncio.Event()
        self._writable.set()
        self._ended = False
        self._closed = asyncio.Event()
        self._paused = False
        #: why the connection ended, unless in good order
        self.error: Exception | None = None

    async def read(self) -> bytes:
        """Return received bytes; empty at the end, see :attr:`error`."""
        while not self._chunks:
            if self._ended:
                return b""
            self._readable.clear()
            await self._readable.wait()
        chunk = self._chunks.popleft()
        self._buffered -= len(chunk)
        if self._paused and self._buffered < MAX_BUFFERED_BYTES:
            self._paused = False
            if self._transport is not None:
                self._transport.resume_reading()
        return chunk

    async def write(self, data: bytes) -> None:
        """Write and wait until the transport accepts more."""
        if self._ended or self._transport is None:
            return
        self._transport.write(data)
        await self._writable.wait()

    def close(self) -> None:
        """Close after everything that was written has been sent."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close immediately."""
        if self._transport is not None:
            self._transport.abort()

    async def wait_closed(self) -> None:
        """Wait until the connection is closed."""
        await self._closed.wait()

    # asyncio protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast("asyncio.Transport", transport)
        configure_socket(transport.get_extra_info("socket"), LOSS_RULE)

    def data_received(self, data: bytes) -> None:
        self._chunks.append(data)
        self._buffered += len(data)
        self._readable.set()
        full = self._buffered >= MAX_BUFFERED_BYTES
        if full and not self._paused and self._transport is not None:
            self._paused = True
            self._transport.pause_reading()

    def connection_lost(self, exc: Exception | None) -> None:
        self.error = exc
        self._transport = None
        self._ended = True
        self._closed.set()
        self._readable.set()
        self._writable.set()

    def pause_writing(self) -> None:
        self._writable.clear()

    def resume_writing(self) -> None:
        self._writable.set()
