"""Transport of asyncio over a WebSocket connection to the peer of a tunnel."""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from typing import TYPE_CHECKING

from websockets.exceptions import ConnectionClosed

from .target_dialers import TunnelLostError
from .tunnel_frames import (
    CHUNK_BYTES,
    HEARTBEAT_SECONDS,
    SILENCE_SECONDS,
    TunnelCloseCode,
    was_paused,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..adapters.peer_sockets import Connection

__all__ = ("CARRIER", "TUNNELLED", "TunnelTransport")

logger = logging.getLogger(__name__)

#: key of the extra information that is true for transports of this module only
TUNNELLED = "tunnelled"
#: key of the id of the peer that carries the bytes
CARRIER = "carrier"
#: queued bytes above which the protocol is told to pause, and at or below which it is
#: told to resume
HIGH_WATER_BYTES = 65_536
LOW_WATER_BYTES = 16_384


class TunnelTransport(asyncio.Transport):
    """Carries the bytes of one protocol.

    As with a socket, an orderly end of the stream is reported without an error, and
    the reset of the connection behind the tunnel as an error. The loss of the tunnel
    itself is a :class:`TunnelLostError`.

    :param on_closed: called once the protocol has been told that the connection is lost
    :param carrier: id of the peer
    """

    def __init__(
        self,
        connection: Connection,
        protocol: asyncio.Protocol,
        on_closed: Callable[[TunnelTransport], None],
        *,
        carrier: str = "",
    ) -> None:
        super().__init__(
            {
                "socket": connection.transport.get_extra_info("socket"),
                "peername": connection.remote_address,
                TUNNELLED: True,
                CARRIER: carrier,
            }
        )
        self._connection = connection
        self._protocol = protocol
        self._on_closed = on_closed
        self._loop = asyncio.get_running_loop()
        self._chunks: deque[memoryview] = deque()
        self._queued = 0
        self._queue_changed = asyncio.Event()
        self._may_read = asyncio.Event()
        self._may_read.set()
        #: loop time since which frames are read without interruption
        self._reading_since = self._loop.time()
        self._writing_paused = False
        self._closing = False
        self._lost = False
        self._tasks: tuple[asyncio.Task[None], ...] = ()

    def start(self) -> None:
        """Connect the protocol and begin to carry bytes.

        :raises OSError: if the connection has broken already
        """
        self._protocol.connection_made(self)
        self._tasks = (
            asyncio.create_task(self._read_forever()),
            asyncio.create_task(self._write_forever()),
        )

    # asyncio transport

    def get_protocol(self) -> asyncio.BaseProtocol:
        return self._protocol

    def set_protocol(self, protocol: asyncio.BaseProtocol) -> None:
        assert isinstance(protocol, asyncio.Protocol)
        self._protocol = protocol

    def is_closing(self) -> bool:
        return self._closing

    def is_reading(self) -> bool:
        return self._may_read.is_set() and not self._closing

    def pause_reading(self) -> None:
        self._may_read.clear()

    def resume_reading(self) -> None:
        if not self._may_read.is_set():
            self._reading_since = self._loop.time()
            self._may_read.set()

    def get_write_buffer_size(self) -> int:
        return self._queued + self._connection.transport.get_write_buffer_size()

    def get_write_buffer_limits(self) -> tuple[int, int]:
        return LOW_WATER_BYTES, HIGH_WATER_BYTES

    def can_write_eof(self) -> bool:
        return False

    def write(self, data: bytes | bytearray | memoryview) -> None:
        if self._closing or not data:
            return
        # a copy, as the caller may change a buffer after the call
        view = memoryview(bytes(data))
        for start in range(0, len(view), CHUNK_BYTES):
            self._chunks.append(view[start : start + CHUNK_BYTES])
        self._queued += len(view)
        self._queue_changed.set()
        if self._queued > HIGH_WATER_BYTES and not self._writing_paused:
            self._writing_paused = True
            self._protocol.pause_writing()

    def close(self) -> None:
        """Close after everything that was written has been sent."""
        self._closing = True
        self._may_read.set()
        self._queue_changed.set()

    def abort(self) -> None:
        """Close immediately; the peer aborts its connection to the target."""
        self._closing = True
        self._connection.abort()
        self._loop.call_soon(self._lose, None)

    # tasks

    async def _read_forever(self) -> None:
        try:
            async for data in self._connection:
                await self._may_read.wait()
                # frames are read on while closing: the reply to the closing handshake
                # is behind them
                if self._closing:
                    continue
                if isinstance(data, str):
                    self._connection.abort()
                    break
                self._protocol.data_received(data)
            await self._may_read.wait()
        except ConnectionClosed:
            await self._may_read.wait()
        except Exception as error:
            logger.exception("the protocol of a tunnel failed")
            self._connection.abort()
            self._lose(error)
        self._finish_reading()

    def _finish_reading(self) -> None:
        if self._closing:
            self._lose(None)
            return
        match self._connection.close_code:
            case TunnelCloseCode.END:
                self._protocol.eof_received()
                self._lose(None)
            case TunnelCloseCode.RESET:
                self._lose(ConnectionResetError("the target reset the connection"))
            case code:
                self._lose(TunnelLostError(f"the peer was lost, close code {code}"))

    async def _write_forever(self) -> None:
        try:
            while self._chunks or not self._closing:
                if self._chunks:
                    await self._write_next()
                    continue
                self._queue_changed.clear()
                began = self._loop.time()
                try:
                    async with asyncio.timeout(HEARTBEAT_SECONDS):
                        await self._queue_changed.wait()
                except TimeoutError:
                    if was_paused(self._loop.time() - began):
                        self._reading_since = self._loop.time()
                    await self._keep_alive()
            await self._connection.close(TunnelCloseCode.END)
        except ConnectionClosed:
            # the reader tells the protocol
            return

    async def _write_next(self) -> None:
        chunk = self._chunks[0]
        await self._connection.send(chunk)
        self._chunks.popleft()
        self._queued -= len(chunk)
        if self._writing_paused and self._queued <= LOW_WATER_BYTES:
            self._writing_paused = False
            self._protocol.resume_writing()

    async def _keep_alive(self) -> None:
        """Send a heartbeat, and drop the tunnel if the peer sends none."""
        since = max(self._connection.last_received, self._reading_since)
        silent = self._loop.time() - since > SILENCE_SECONDS
        if silent and self._may_read.is_set():
            self._connection.abort()
            return
        await self._connection.pong()

    def _lose(self, error: Exception | None) -> None:
        """Tell the protocol once that the connection is lost."""
        if self._lost:
            return
        self._lost = True
        self._closing = True
        current = asyncio.current_task()
        for task in self._tasks:
            if task is not current:
                task.cancel()
        self._chunks.clear()
        self._queued = 0
        try:
            self._protocol.connection_lost(error)
        finally:
            self._on_closed(self)
