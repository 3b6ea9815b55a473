"""Base class of HTTP listeners for callers, with a count of requests in flight."""

from __future__ import annotations

import asyncio
import logging
import socket
from abc import abstractmethod
from typing import TYPE_CHECKING, Any, ClassVar

from ..controllers import Controller
from .bounded_server import listen
from .caller_connections import CallerConnections, begin_request, end_request

if TYPE_CHECKING:
    from aiohttp import web

__all__ = ("CallerListener",)

logger = logging.getLogger(__name__)


#: seconds between two checks for requests in flight during a stop
IDLE_POLL = 0.01


class CallerListener(Controller):
    """Accepts connections and counts requests until their responses are complete.

    :param listen: ``host:port``; port 0 selects a free port, see :attr:`port`
    """

    abstract: ClassVar[bool] = True

    #: connections that the kernel queues until this process accepts them
    backlog: ClassVar[int] = 100

    def __init__(self, listen: str) -> None:
        super().__init__()
        self._listen = listen
        self._connections: CallerConnections | None = None
        self._listener: asyncio.Server | None = None
        self._in_flight = 0
        self.port = 0

    @property
    def in_flight(self) -> int:
        """Number of requests whose responses are not complete."""
        return self._in_flight

    @property
    def closing(self) -> bool:
        """Whether connections are closed once they become idle."""
        return self._listener is None

    @abstractmethod
    def create_connections(self) -> CallerConnections:
        """Create the protocol factory for accepted connections."""

    @abstractmethod
    async def serve(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handle one request and return its response."""

    async def on_start(self) -> None:
        """Bind the address and start serving."""
        self._connections = self.create_connections()
        host, _, port = self._listen.rpartition(":")
        self._listener = await listen(
            self._connections.create, host.strip("[]"), int(port), self.backlog
        )
        self.port = self._listener.sockets[0].getsockname()[1]

    async def close_listener(self) -> None:
        """Stop accepting connections; close the open ones once they become idle."""
        if self._listener is None:
            return
        listener, self._listener = self._listener, None
        # a listening socket stays open while it has a descriptor
        sockets = [one.dup() for one in listener.sockets]
        listener.close()
        for one in sockets:
            await self._accept_queued(one)
        closed = self._connections.close_idle()
        logger.info(
            "no new connections: %d idle ones closed, %d kept, %d requests in flight",
            closed,
            len(self._connections) - closed,
            self._in_flight,
        )

    async def _accept_queued(self, listening: socket.socket) -> None:
        """Accept the connections queued by the kernel, and close the socket.

        Closing it alone would reset them, and callers may have sent requests on them.
        """
        loop = asyncio.get_running_loop()
        with listening:
            for _ in range(self.backlog):
                try:
                    connection, _ = listening.accept()
                except OSError:
                    return
                connection.setblocking(False)
                await loop.connect_accepted_socket(self._connections.create, connection)

    def is_idle(self) -> bool:
        """Return whether no request is in flight.

        This includes requests that are being read and have no handler yet: a stop
        that went on would abort them after they were forwarded.
        """
        return not self._in_flight and not self._count_busy()

    async def wait_idle(self, timeout: float) -> bool:
        """Wait at most ``timeout`` seconds until no request is in flight."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout
        while not self.is_idle():
            remaining = deadline - loop.time()
            if remaining <= 0:
                return False
            await asyncio.sleep(min(IDLE_POLL, remaining))
        return True

    def _count_busy(self) -> int:
        return self._connections.count_busy() if self._connections is not None else 0

    async def on_stop(self) -> None:
        """Close the listener and every connection."""
        await self.close_listener()
        if self._connections is not None:
            await self._connections.close()

    def dump(self) -> dict[str, Any]:
        open_now = len(self._connections) if self._connections is not None else 0
        return {
            "port": self.port,
            "in_flight": self._in_flight,
            "connections": open_now,
        }

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serve one request and count it as in flight meanwhile."""
        begin_request(request)
        self._in_flight += 1
        try:
            return await self.serve(request)
        finally:
            end_request(request)
            self._in_flight -= 1
