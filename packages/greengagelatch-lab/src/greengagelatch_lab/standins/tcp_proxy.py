"""TCP proxy that partitions, disconnects, blackholes, pauses and delays."""

from __future__ import annotations

import asyncio
import socket
from dataclasses import dataclass
from enum import Flag, auto
from types import TracebackType

__all__ = ("HOST", "Direction", "TcpProxy")

CHUNK_BYTES = 64 * 1024
HOST = "127.0.0.1"
#: connections that fill the accept queue of a socket without a backlog
QUEUE_FILLERS = 1


class Direction(Flag):
    """Direction of traffic; ``FORWARD`` is from the client to the target."""

    FORWARD = auto()
    BACKWARD = auto()
    BOTH = FORWARD | BACKWARD


NO_DIRECTION = Direction(0)


@dataclass(slots=True, eq=False)
class _Connection:
    task: asyncio.Task[None]
    client_writer: asyncio.StreamWriter
    target_writer: asyncio.StreamWriter | None = None
    #: directions in which this connection permanently discards its data
    blackholed: Direction = NO_DIRECTION


class TcpProxy:
    """Forwards TCP connections from a local port to ``target``.

    A connection that has discarded a byte in one direction discards everything
    that follows in it, also after :meth:`heal`: forwarding later bytes would leave
    a gap in the stream, which TCP rules out.

    :param listen: ``host:port`` to listen on; port 0 selects a free port
    :param source: host from which ``target`` is connected to
    """

    def __init__(
        self, target: str, *, listen: str = f"{HOST}:0", source: str = HOST
    ) -> None:
        self._target = target
        self._source = source
        self._host, _, port = listen.rpartition(":")
        self._port = int(port)
        self._server: asyncio.Server | None = None
        self._connections: set[_Connection] = set()
        self._blackholed = NO_DIRECTION
        self._open = {
            Direction.FORWARD: asyncio.Event(),
            Direction.BACKWARD: asyncio.Event(),
        }
        self.resume()
        self._delays = {Direction.FORWARD: 0.0, Direction.BACKWARD: 0.0}
        #: sockets that hold the port while no connection is accepted
        self._holding: list[socket.socket] = []
        #: number of connections accepted so far
        self.accepted = 0

    @property
    def address(self) -> str:
        """``host:port`` to connect to; the same after a disconnect."""
        return f"{self._host}:{self._port}"

    async def start(self) -> None:
        """Start listening."""
        self._server = await asyncio.start_server(self._accept, self._host, self._port)
        self._port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Close the listening socket and all connections."""
        await self.disconnect()
        self._close_holding()

    async def disconnect(self) -> None:
        """Close all connections and refuse new ones until :meth:`heal`."""
        self.refuse_new()
        await self.close_connections()

    def refuse_new(self) -> None:
        """Refuse new connections until :meth:`heal`; open ones live on."""
        self._close_holding()
        if self._server is not None:
            self._server.close()
            self._server = None
        # a bound socket that does not listen refuses connections, and keeps the port
        # from others
        holder = socket.socket()
        holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        holder.bind((self._host, self._port))
        self._holding.append(holder)

    def hang_new(self) -> None:
        """Answer no attempt to connect until :meth:`heal`; open ones live on.

        The kernel drops the SYN of a connection that finds the accept queue full.
        """
        self.refuse_new()
        self._holding[0].listen(0)
        for _ in range(QUEUE_FILLERS):
            self._holding.append(socket.create_connection((self._host, self._port)))

    async def close_connections(self) -> None:
        """Close all connections; new ones are still accepted."""
        tasks = [connection.task for connection in self._connections]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def blackhole(
        self, direction: Direction = Direction.BOTH, *, only_open: bool = False
    ) -> None:
        """Discard data and end-of-stream, while connections stay open.

        :param only_open: affect the connections open now, permanently, and no others
        """
        if not only_open:
            self._blackholed |= direction
            return
        for connection in self._connections:
            connection.blackholed |= direction

    def pause(self, direction: Direction = Direction.BOTH) -> None:
        """Stop reading and writing until :meth:`resume`, without losing a byte."""
        for single, event in self._open.items():
            if single in direction:
                event.clear()

    def resume(self) -> None:
        """Go on with all data that was held back."""
        for event in self._open.values():
            event.set()

    def delay(self, seconds: float, direction: Direction = Direction.BOTH) -> None:
        """Delay each chunk of data by ``seconds``."""
        for single in self._delays:
            if single in direction:
                self._delays[single] = seconds

    async def heal(self) -> None:
        """Clear all faults; connections that have lost data keep discarding it."""
        self._blackholed = NO_DIRECTION
        self.delay(0.0)
        self.resume()
        self._close_holding()
        if self._server is None:
            await self.start()

    async def __aenter__(self) -> TcpProxy:
        await self.start()
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self.stop()

    def _close_holding(self) -> None:
        for one in reversed(self._holding):
            one.close()
        self._holding.clear()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.accepted += 1
        connection = _Connection(asyncio.current_task(), writer)
        self._connections.add(connection)
        try:
            await self._forward(connection, reader)
        except* OSError:
            # the target is unreachable or one side closed: the other side is closed too
            pass
        except* asyncio.CancelledError:
            # closed by ``close_connections``; asyncio would log it as an error
            pass
        finally:
            writer.transport.abort()
            if connection.target_writer is not None:
                connection.target_writer.transport.abort()
            self._connections.discard(connection)

    async def _forward(
        self, connection: _Connection, reader: asyncio.StreamReader
    ) -> None:
        host, _, port = self._target.rpartition(":")
        target_reader, target_writer = await asyncio.open_connection(
            host, int(port), local_addr=(self._source, 0)
        )
        connection.target_writer = target_writer
        forward = self._pump(connection, reader, target_writer, Direction.FORWARD)
        backward = self._pump(
            connection, target_reader, connection.client_writer, Direction.BACKWARD
        )
        async with asyncio.TaskGroup() as group:
            group.create_task(forward)
            group.create_task(backward)

    async def _pump(
        self,
        connection: _Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        direction: Direction,
    ) -> None:
        while True:
            data = await self._read(connection, reader, direction)
            await self._open[direction].wait()
            if self._delays[direction]:
                await asyncio.sleep(self._delays[direction])
            if direction in self._blackholed:
                connection.blackholed |= direction
            if direction in connection.blackholed and data:
                continue
            if direction in connection.blackholed:
                await asyncio.Event().wait()
            if not data:
                break
            writer.write(data)
            await writer.drain()
        writer.write_eof()

    async def _read(
        self,
        connection: _Connection,
        reader: asyncio.StreamReader,
        direction: Direction,
    ) -> bytes:
        """Read the next chunk; empty if that side closed the connection."""
        try:
            return await reader.read(CHUNK_BYTES)
        except OSError:
            # a link that discards data hides a reset as well
            if direction in self._blackholed | connection.blackholed:
                return b""
            raise
