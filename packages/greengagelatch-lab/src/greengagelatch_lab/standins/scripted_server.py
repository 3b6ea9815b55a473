"""TCP server that runs a test's script on each connection."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any

import xxhash

__all__ = (
    "STREAM_HEAD",
    "ScriptedConnection",
    "ScriptedServer",
    "encode_answer",
    "encode_end",
    "encode_token",
)

HOST = "127.0.0.1"
#: head of a streamed response whose body ends when the connection closes
STREAM_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"


class ScriptedConnection:
    """One accepted connection."""

    def __init__(
        self, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        #: index among the accepted connections, from zero
        self.number = number
        self.reader = reader
        self.writer = writer

    async def read_request(self) -> dict[str, Any]:
        """Read one HTTP request and return its JSON body.

        :raises asyncio.IncompleteReadError: if the connection closes too early
        """
        head = await self.reader.readuntil(b"\r\n\r\n")
        length = 0
        for line in head.split(b"\r\n"):
            name, _, value = line.partition(b":")
            if name.lower() == b"content-length":
                length = int(value)
        body = await self.reader.readexactly(length)
        return json.loads(body) if body else {}

    async def send(self, data: bytes) -> None:
        """Send ``data`` unmodified."""
        self.writer.write(data)
        await self.writer.drain()

    async def hold(self) -> None:
        """Discard received data until the client closes the connection."""
        while await self.reader.read(65_536):
            pass

    def reset(self) -> None:
        """Abort the connection."""
        self.writer.transport.abort()


Script = Callable[[ScriptedConnection], Awaitable[None]]


class ScriptedServer:
    """Runs ``script`` on each connection and closes the connection afterwards."""

    def __init__(self, script: Script) -> None:
        self._script = script
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._errors: list[Exception] = []
        #: number of connections accepted so far
        self.accepted = 0
        self.port = 0

    @property
    def address(self) -> str:
        """``host:port`` to connect to."""
        return f"{HOST}:{self.port}"

    async def __aenter__(self) -> ScriptedServer:
        self._server = await asyncio.start_server(self._accept, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *_error: object) -> None:
        assert self._server is not None
        self._server.close()
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._errors:
            # a failing script would let a test pass for the wrong reason
            raise self._errors[0]

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        connection = ScriptedConnection(self.accepted, reader, writer)
        self.accepted += 1
        try:
            await self._script(connection)
        except (asyncio.IncompleteReadError, ConnectionError):
            # the client disconnected, which scripts need not handle
            pass
        except Exception as error:
            self._errors.append(error)
        finally:
            writer.close()
            self._tasks.discard(task)


def encode_answer(
    fields: dict[str, Any], *, status: str = "200 OK", headers: str = ""
) -> bytes:
    """Encode an HTTP response with a JSON body that keeps the connection open."""
    body = json.dumps(fields).encode()
    head = (
        f"HTTP/1.1 {status}\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\n{headers}\r\n"
    )
    return head.encode() + body


def encode_token(call: dict[str, Any], offset: int, text: str) -> bytes:
    """Encode the event of one token of ``call``."""
    fields = {"attempt": call["attempt"], "offset": offset, "text": text}
    return f"event: token\ndata: {json.dumps(fields)}\n\n".encode()


def encode_end(call: dict[str, Any], tokens: tuple[str, ...]) -> bytes:
    """Encode the final event of a stream of ``tokens``."""
    fields = {
        "attempt": call["attempt"],
        "request": call["request"],
        "stage": call["stage"],
        "count": len(tokens),
        "digest": xxhash.xxh64_hexdigest("".join(tokens).encode()),
        "cost_ms": 1,
    }
    return f"event: end\ndata: {json.dumps(fields)}\n\n".encode()
