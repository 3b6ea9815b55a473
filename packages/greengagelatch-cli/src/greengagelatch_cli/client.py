"""HTTP client for the operators' servers."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, Any

import aiohttp
from result import Err, Ok, Result

if TYPE_CHECKING:
    from types import TracebackType

__all__ = ("CallFailure", "Client", "FailureKind", "Reply", "Server", "parse_servers")

#: seconds allowed for a call, and for opening its connection
CALL_TIMEOUT = 15.0
CONNECT_TIMEOUT = 3.0

MAX_PORT = 65535

MIN_SERVER_ERROR = 500


@dataclass(frozen=True, slots=True)
class Server:
    """The operators' address of one entry instance."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class FailureKind(Enum):
    """Reason why a call has no reply."""

    #: no connection was made, so the server did not receive the call
    NOT_SENT = "not-sent"
    #: the server may have received and executed the call
    NO_REPLY = "no-reply"


@dataclass(frozen=True, slots=True)
class CallFailure:
    """A call that got no reply."""

    server: Server
    kind: FailureKind
    message: str

    def __str__(self) -> str:
        return f"{self.server}: {self.message}"


@dataclass(frozen=True, slots=True)
class Reply:
    """A server's reply; ``body`` is empty if the text is not a JSON object."""

    server: Server
    status: int
    body: Mapping[str, Any]
    text: str

    @property
    def state(self) -> str:
        """The ``state`` field, present in every reply about a change."""
        return str(self.body.get("state", ""))


def parse_servers(text: str) -> Result[tuple[Server, ...], str]:
    """Parse ``host:port[,host:port]``; the error is an error message."""
    servers = []
    for part in text.split(","):
        address = part.strip()
        host, _, port = address.rpartition(":")
        if not host or not port.isdecimal() or not 0 < int(port) <= MAX_PORT:
            return Err(f"server {address!r}: must be host:port")
        servers.append(Server(host, int(port)))
    return Ok(tuple(servers))


class Client:
    """Calls operators' servers; to be used as an asynchronous context manager.

    Every call opens its own connection. If a server had closed a reused connection,
    aiohttp would silently retry a GET, and a POST that was never received could not
    be told from one whose reply was lost.
    """

    def __init__(self, servers: tuple[Server, ...]) -> None:
        self.servers = servers
        self._session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> Client:
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(force_close=True),
            timeout=aiohttp.ClientTimeout(
                total=CALL_TIMEOUT,
                connect=CONNECT_TIMEOUT,
                sock_connect=CONNECT_TIMEOUT,
            ),
        )
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        if self._session is not None:
            await self._session.close()

    async def call(
        self,
        server: Server,
        method: str,
        path: str,
        *,
        query: Mapping[str, str] | None = None,
        body: Mapping[str, Any] | None = None,
    ) -> Result[Reply, CallFailure]:
        """Send one call to one server, without retries."""
        assert self._session is not None
        url = f"http://{server}{path}"
        try:
            async with self._session.request(
                method, url, params=query, json=body
            ) as response:
                text = await response.text()
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            return Err(CallFailure(server, FailureKind.NOT_SENT, _describe(error)))
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            return Err(CallFailure(server, FailureKind.NO_REPLY, _describe(error)))
        return Ok(Reply(server, response.status, _parse_object(text), text))

    async def read(
        self, path: str, query: Mapping[str, str] | None = None
    ) -> Result[Reply, tuple[CallFailure, ...]]:
        """Read from the first server that replies without a server error.

        The first server error (status 500 or above) is returned only if no other
        server replies without one.
        """
        failures = []
        error_reply: Reply | None = None
        for server in self.servers:
            match await self.call(server, "GET", path, query=query):
                case Err(failure):
                    failures.append(failure)
                case Ok(reply):
                    if reply.status < MIN_SERVER_ERROR:
                        return Ok(reply)
                    error_reply = error_reply or reply
        if error_reply is not None:
            return Ok(error_reply)
        return Err(tuple(failures))

    async def read_all(
        self, path: str, query: Mapping[str, str] | None = None
    ) -> list[Result[Reply, CallFailure]]:
        """Read from all servers concurrently; results are in the order of servers."""
        calls = [self.call(server, "GET", path, query=query) for server in self.servers]
        return list(await asyncio.gather(*calls))


def _describe(error: BaseException) -> str:
    if isinstance(error, TimeoutError):
        return "no reply in time"
    if isinstance(error, aiohttp.ClientConnectorError) and error.strerror:
        return error.strerror
    return str(error) or type(error).__name__


def _parse_object(text: str) -> Mapping[str, Any]:
    try:
        value = json.loads(text)
    except (ValueError, RecursionError):
        return {}
    return value if isinstance(value, dict) else {}
