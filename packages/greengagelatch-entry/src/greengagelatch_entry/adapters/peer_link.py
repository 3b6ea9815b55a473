"""Open link to a peer, with its send queues, reader and writer."""

from __future__ import annotations

import asyncio
from collections import deque
from contextlib import suppress
from dataclasses import dataclass, field
from enum import IntEnum
from typing import TYPE_CHECKING

from websockets.exceptions import ConnectionClosed

if TYPE_CHECKING:
    from collections.abc import Callable

    from greengagelatch.peers.messages import Hello

    from .peer_sockets import Connection, Traffic

__all__ = ("CloseCode", "Link", "OutgoingFrame")

#: maximum queued messages without an answer; above it, the oldest is dropped
MAX_DROPPABLE = 256

#: maximum queued calls and answers; above it, further ones are rejected
MAX_UNDROPPABLE = 1024

#: maximum queued bytes of both kinds
MAX_QUEUED_BYTES = 4 * 1024 * 1024

#: close reason of a link without pending work: its sender has answered every call
#: that it handled, and handles no further ones
ALL_ANSWERED = "all answered"


class CloseCode(IntEnum):
    """WebSocket close codes of links, from the range for applications."""

    DUPLICATE = 4001
    IDENTITY = 4002
    FULL = 4003
    IDLE = 4004


@dataclass(slots=True, eq=False)
class OutgoingFrame:
    """Encoded message in a send queue."""

    frame: bytes
    kind: str
    #: set right before the first byte may reach the socket, never reset
    handed_over: bool = False
    #: whether the sender has withdrawn it
    cancelled: bool = False
    done: Callable[[], None] | None = field(default=None, repr=False)


#: empty frame that shows that its sender is alive
HEARTBEAT = b""


class Link:
    """Link to a peer that has sent its hello."""

    def __init__(
        self,
        *,
        connection: Connection,
        peer: Hello,
        initiated: bool,
        traffic: Traffic,
        hello_number: int = 0,
    ) -> None:
        self._connection = connection
        self._traffic = traffic
        self._droppable: deque[OutgoingFrame] = deque()
        self._undroppable: deque[OutgoingFrame] = deque()
        self._queued_bytes = 0
        self._not_empty = asyncio.Event()
        self.peer = peer
        self.initiated = initiated
        #: sequence number of the hello that this instance sent on it
        self.hello_number = hello_number
        self.opened = asyncio.get_running_loop().time()
        #: loop time of the last message other than probes, in either direction
        self.last_used = self.opened
        #: loop time at which this instance began to wait for an answer on it
        self.waiting_since = self.opened
        #: loop time at which the last frame was handed to the socket
        self.last_sent = self.opened
        self.dropped = 0
        #: whether the link is no longer used for new messages
        self.retired = False
        #: own calls on the link that wait for their answers
        self.pending_calls = 0
        #: handler calls in progress for messages of the peer
        self.active_handlers = 0
        #: whether the link was dropped because no byte was received
        self.silent = False
        #: whether this instance closed the link with the reason ALL_ANSWERED
        self.drained = False
        #: whether the reader and the writer have stopped
        self.ended = False

    @property
    def instance_id(self) -> str:
        """Id of the peer instance."""
        return self.peer.instance_id

    @property
    def last_received(self) -> float:
        """Loop time at which the last byte was received."""
        return max(self._connection.last_received, self.opened)

    @property
    def closed_cleanly(self) -> bool:
        """Whether either side closed the link as no longer needed."""
        clean_codes = (CloseCode.DUPLICATE, CloseCode.IDLE)
        return self.retired or self._connection.close_code in clean_codes

    @property
    def has_pending_work(self) -> bool:
        """Whether the link has unanswered calls or unsent messages."""
        return bool(
            self.pending_calls
            or self.active_handlers
            or self._undroppable
            or self._droppable
        )

    @property
    def peer_drained(self) -> bool:
        """Whether the peer closed the link with the reason ALL_ANSWERED.

        The peer has then not handled the calls that it has not answered.
        """
        return self._connection.close_reason == ALL_ANSWERED

    def record_use(self) -> None:
        """Record that a message other than probes is sent or received."""
        self.last_used = asyncio.get_running_loop().time()
        if not self.pending_calls:
            self.waiting_since = self.last_used

    def find_silence(self, now: float) -> float:
        """Return the seconds without a received byte.

        While a call is pending, the time before it is not counted, as heartbeats are
        rare on links on which no answer is due.
        """
        last_received = self.last_received
        if self.pending_calls:
            last_received = max(last_received, self.waiting_since)
        return now - last_received

    def send_heartbeat(self, now: float, interval: float) -> None:
        """Send a heartbeat if nothing was sent for ``interval`` seconds."""
        if (
            now - self.last_sent >= interval
            and not self._undroppable
            and not self._droppable
        ):
            self.last_sent = now
            self.offer(OutgoingFrame(HEARTBEAT, "heartbeat"), droppable=True)

    def reset_silence(self) -> None:
        """Restart the measurement of silence after a pause of this process."""
        self._connection.last_received = asyncio.get_running_loop().time()

    def offer(self, outgoing: OutgoingFrame, *, droppable: bool) -> bool:
        """Queue a message; ``False`` if the queue is full.

        The oldest droppable messages make room for newer ones; calls and answers are
        never dropped once they are queued.
        """
        size = len(outgoing.frame)
        if droppable:
            while self._droppable and self._lacks_room(size):
                self._drop_oldest()
        if self._queued_bytes + size > MAX_QUEUED_BYTES:
            return False
        if droppable:
            self._droppable.append(outgoing)
        elif len(self._undroppable) >= MAX_UNDROPPABLE:
            return False
        else:
            self._undroppable.append(outgoing)
        self._queued_bytes += size
        self._not_empty.set()
        return True

    async def run(
        self, receive: Callable[[Link, bytes], None], hello_frame: bytes = b""
    ) -> None:
        """Send ``hello_frame`` if given, then read and write until closed."""
        writer = asyncio.create_task(self._write_forever(hello_frame))
        try:
            async for data in self._connection:
                if isinstance(data, str):
                    break
                receive(self, data)
        except ConnectionClosed:
            pass
        finally:
            writer.cancel()
            await asyncio.gather(writer, return_exceptions=True)
            await self.close(1000, "")
            self.ended = True

    async def close_drained(self, code: int) -> None:
        """Close a link without pending work.

        Calls that arrive while it closes must not be handled, as the peer treats them
        as not handled and retries them on another link.
        """
        self.drained = True
        await self.close(code, ALL_ANSWERED)

    async def close(self, code: int, reason: str) -> None:
        """Close the connection; returns within the close timeout."""
        await self._connection.close(code, reason)

    def abort(self) -> None:
        """Drop the connection without a closing handshake."""
        self._connection.transport.abort()

    async def _write_forever(self, hello_frame: bytes) -> None:
        if hello_frame:
            with suppress(ConnectionClosed):
                await self._connection.send(hello_frame)
        while True:
            await self._not_empty.wait()
            outgoing = self._pop()
            if outgoing is None:
                self._not_empty.clear()
                continue
            if not outgoing.cancelled:
                await self._write(outgoing)
            if outgoing.done is not None:
                outgoing.done()

    async def _write(self, outgoing: OutgoingFrame) -> None:
        outgoing.handed_over = True
        self.last_sent = asyncio.get_running_loop().time()
        self._traffic.count_frame(outgoing.kind, len(outgoing.frame))
        try:
            if outgoing.frame == HEARTBEAT:
                # unlike a ping, a pong is not answered: one frame per heartbeat
                await self._connection.pong()
            else:
                await self._connection.send(outgoing.frame)
        except ConnectionClosed:
            # the reader detects the closed connection too and ends the link
            await asyncio.sleep(0)

    def _pop(self) -> OutgoingFrame | None:
        queue = self._undroppable or self._droppable
        if not queue:
            return None
        outgoing = queue.popleft()
        self._queued_bytes -= len(outgoing.frame)
        return outgoing

    def _lacks_room(self, size: int) -> bool:
        if len(self._droppable) >= MAX_DROPPABLE:
            return True
        return self._queued_bytes + size > MAX_QUEUED_BYTES

    def _drop_oldest(self) -> None:
        oldest = self._droppable.popleft()
        self._queued_bytes -= len(oldest.frame)
        self.dropped += 1
