"""One open link to a peer: its queue, its reader and its writer."""

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

__all__ = ("CloseCode", "Link", "Outgoing")

#: messages without an answer that may wait; the oldest is dropped beyond that
MAX_GOSSIP = 256

#: questions and answers that may wait; a question beyond that is not taken
MAX_URGENT = 1024

#: bytes of both that may wait
MAX_QUEUED_BYTES = 4 * 1024 * 1024

#: seconds after its last use for which a link counts as in use: longer than most
#: questions wait
USE_LIFE = 2.0


#: reason with which a link is closed once nothing is under way on it: its sender's
#: word that it has answered all it took up, and takes up nothing more
ALL_ANSWERED = "all answered"


class CloseCode(IntEnum):
    """Codes with which links are closed, from the range for applications."""

    DUPLICATE = 4001
    IDENTITY = 4002
    FULL = 4003
    IDLE = 4004


@dataclass(slots=True, eq=False)
class Outgoing:
    """A message on its way to the socket."""

    frame: bytes
    kind: str
    #: set right before the first byte may reach the socket, never taken back
    handed_over: bool = False
    #: whoever sent it no longer wants it sent
    cancelled: bool = False
    done: Callable[[], None] | None = field(default=None, repr=False)


#: a frame that says nothing but that its sender is there
HEARTBEAT = b""


class Link:
    """A link whose other end has told who it is."""

    def __init__(
        self,
        *,
        connection: Connection,
        peer: Hello,
        initiated: bool,
        traffic: Traffic,
        number: int = 0,
    ) -> None:
        self._connection = connection
        self._traffic = traffic
        self._gossip: deque[Outgoing] = deque()
        self._urgent: deque[Outgoing] = deque()
        self._queued_bytes = 0
        self._filled = asyncio.Event()
        self.peer = peer
        self.initiated = initiated
        #: number of the hello that this side sent on it
        self.number = number
        self.opened = asyncio.get_running_loop().time()
        #: seconds of the loop's clock at which a message other than probes passed
        self.last_used = self.opened
        #: the same, of the first one after a rest
        self.used_since = self.opened
        #: seconds of the loop's clock at which a frame was last handed over
        self.last_sent = self.opened
        self.dropped = 0
        #: not used for anything new
        self.retired = False
        #: own questions on it that wait for their answers
        self.questions = 0
        #: messages of the peer that are being handled
        self.calls = 0
        #: dropped because not a byte came
        self.silent = False
        #: closed with the word that all is answered
        self.finished = False
        #: neither reads nor writes any more
        self.ended = False

    @property
    def instance_id(self) -> str:
        """Id of the instance at the other end."""
        return self.peer.instance_id

    @property
    def last_received(self) -> float:
        """Seconds of the loop's clock at which the last byte came."""
        return max(self._connection.last_received, self.opened)

    @property
    def ended_in_order(self) -> bool:
        """Whether either side closed it as no longer needed."""
        needless = (CloseCode.DUPLICATE, CloseCode.IDLE)
        return self.retired or self._connection.close_code in needless

    @property
    def under_way(self) -> bool:
        """Whether anything on it is neither answered nor sent."""
        return bool(self.questions or self.calls or self._urgent or self._gossip)

    @property
    def peer_finished(self) -> bool:
        """Whether the peer closed it with its word that all is answered.

        What it has not answered, it has not looked at.
        """
        return self._connection.close_reason == ALL_ANSWERED

    def note_use(self) -> None:
        """Take in that a message other than probes passes."""
        now = asyncio.get_running_loop().time()
        if not self.is_used(now):
            self.used_since = now
        self.last_used = now

    def is_used(self, now: float) -> bool:
        """Whether messages other than probes passed of late."""
        return now - self.last_used < USE_LIFE

    def find_silence(self, now: float) -> float:
        """Return the seconds without a byte.

        Those of a rest don't count once the link is used: heartbeats were rare.
        """
        heard = self.last_received
        if self.is_used(now):
            heard = max(heard, self.used_since)
        return now - heard

    def send_heartbeat(self, now: float, interval: float) -> None:
        """Say that this end is there, if it has sent nothing for ``interval``."""
        if now - self.last_sent >= interval and not self._urgent and not self._gossip:
            self.last_sent = now
            self.offer(Outgoing(HEARTBEAT, "heartbeat"), droppable=True)

    def excuse_silence(self) -> None:
        """Count silence from now, after this process itself stood still."""
        self._connection.last_received = asyncio.get_running_loop().time()

    def offer(self, outgoing: Outgoing, *, droppable: bool) -> bool:
        """Queue a message; ``False`` if there is no room for it.

        Messages that want no answer make room for newer ones; questions and answers
        are never dropped once they are taken.
        """
        size = len(outgoing.frame)
        if droppable:
            while self._gossip and self._lacks_room(size):
                self._drop_oldest()
        if self._queued_bytes + size > MAX_QUEUED_BYTES:
            return False
        if droppable:
            self._gossip.append(outgoing)
        elif len(self._urgent) >= MAX_URGENT:
            return False
        else:
            self._urgent.append(outgoing)
        self._queued_bytes += size
        self._filled.set()
        return True

    async def run(
        self, receive: Callable[[Link, bytes], None], greeting: bytes = b""
    ) -> None:
        """Send ``greeting``, if any; read and write until the connection is closed."""
        writer = asyncio.create_task(self._write_forever(greeting))
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

    async def finish(self, code: int) -> None:
        """Close the connection, on which nothing is under way.

        Questions that come while it closes must not be handled: the peer takes them
        for untouched and asks them again elsewhere.
        """
        self.finished = True
        await self.close(code, ALL_ANSWERED)

    async def close(self, code: int, reason: str) -> None:
        """Close the connection; returns within the closing timeout."""
        await self._connection.close(code, reason)

    def abort(self) -> None:
        """Drop the connection at once, without a word to a peer that is silent."""
        self._connection.transport.abort()

    async def _write_forever(self, greeting: bytes) -> None:
        if greeting:
            with suppress(ConnectionClosed):
                await self._connection.send(greeting)
        while True:
            await self._filled.wait()
            outgoing = self._take()
            if outgoing is None:
                self._filled.clear()
                continue
            if not outgoing.cancelled:
                await self._write(outgoing)
            if outgoing.done is not None:
                outgoing.done()

    async def _write(self, outgoing: Outgoing) -> None:
        outgoing.handed_over = True
        self.last_sent = asyncio.get_running_loop().time()
        self._traffic.count_frame(outgoing.kind, len(outgoing.frame))
        try:
            if outgoing.frame == HEARTBEAT:
                # nobody answers a pong, so that a heartbeat costs one frame
                await self._connection.pong()
            else:
                await self._connection.send(outgoing.frame)
        except ConnectionClosed:
            # the reader notices as well and ends the link
            await asyncio.sleep(0)

    def _take(self) -> Outgoing | None:
        queue = self._urgent or self._gossip
        if not queue:
            return None
        outgoing = queue.popleft()
        self._queued_bytes -= len(outgoing.frame)
        return outgoing

    def _lacks_room(self, size: int) -> bool:
        if len(self._gossip) >= MAX_GOSSIP:
            return True
        return self._queued_bytes + size > MAX_QUEUED_BYTES

    def _drop_oldest(self) -> None:
        oldest = self._gossip.popleft()
        self._queued_bytes -= len(oldest.frame)
        self.dropped += 1
