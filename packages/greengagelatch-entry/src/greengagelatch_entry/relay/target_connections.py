"""Connection pool for targets; each request is written at most once."""

from __future__ import annotations

import asyncio
import math
from collections import defaultdict
from typing import TYPE_CHECKING

from aiohttp import ClientError
from aiohttp.http_exceptions import HttpProcessingError

from ..soft_timeout import SoftTimeoutScope
from .target_dialers import DialError
from .target_responses import (
    TargetConnection,
    TargetResponse,
    TargetResponseError,
    create_response_error,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from aiohttp.http import RawResponseMessage

    from greengagelatch.clock import Clock
    from greengagelatch.relay.incarnations import Incarnation

    from ..metrics import Metrics
    from ..soft_timeout import SoftTimeout
    from .memory import MemoryController
    from .messages import OutboundRequest
    from .target_dialers import Destination, TargetDialer

__all__ = ("NotSentError", "TargetConnectionPool")

#: seconds for opening a connection, directly or through peers. Without the timeout, a
#: target behind a partition holds a request until its deadline
DIAL_TIMEOUT = 1.5
#: seconds of a dial after which the deadline in the request is brought up to date
SLOW_DIAL_SECONDS = 0.05
#: seconds for which an idle connection is reused if the target announces no timeout
MAX_IDLE_SECONDS = 3.0
#: fraction of the idle timeout announced by a target that is used
KEEP_ALIVE_FRACTION = 0.5
#: targets for which the time of the last request for an idle connection is kept
MAX_TRACKED_TARGETS = 1024


class NotSentError(Exception):
    """No byte of the request was sent to the target."""


class TargetConnectionPool:
    """Pools connections by the incarnation of their target.

    The client of the HTTP library resends a request by itself when a pooled connection
    drops. Here each request is written once, so that requests that are not idempotent
    run at most once.

    :param dialer: opens the connections
    :param find_idle_limit: returns the maximum number of idle connections to a target
    :param is_reachable: returns whether a direct connection to a target may succeed
    :param on_response: called with each target that responds, and the response
    """

    def __init__(
        self,
        *,
        dialer: TargetDialer,
        find_idle_limit: Callable[[Incarnation], int],
        memory: MemoryController,
        clock: Clock,
        metrics: Metrics,
        is_reachable: Callable[[Incarnation], bool] = lambda _: True,
        on_response: Callable[[Incarnation, TargetResponse], None] = lambda *_: None,
    ) -> None:
        self._is_reachable = is_reachable
        self._on_response = on_response
        self._dialer = dialer
        self._memory = memory
        self._find_idle_limit = find_idle_limit
        self._clock = clock
        self._metrics = metrics
        self._idle: dict[Incarnation, list[TargetConnection]] = defaultdict(list)
        #: monotonic time in seconds at which an idle connection was last requested
        self._last_requested: dict[Incarnation, float] = {}

    async def send(
        self,
        destination: Destination,
        outbound: OutboundRequest,
        *,
        fresh: bool,
        timeout: float,
        encode_again: Callable[[], OutboundRequest] | None = None,
        soft_timeout: SoftTimeout | None = None,
        may_send: Callable[[], bool] | None = None,
        max_idle: float = math.inf,
    ) -> TargetResponse:
        """Write a request and wait for the head of its response.

        :param fresh: whether to open a new connection; a pooled one may drop the
            request without evidence of whether it ran
        :param timeout: seconds until the head must have arrived
        :param encode_again: returns the request as of now; called after a slow dial, as
            the deadline that the request states is closer by then
        :param soft_timeout: when a target that is silent may be left before that
        :param may_send: checked once connected, and again before pooling the connection
        :param max_idle: seconds for which a pooled connection may have been idle
        :raises NotSentError: if no byte was sent
        :raises TargetResponseError: if the request was written without a response
        """
        incarnation = destination.incarnation
        loop = asyncio.get_running_loop()
        started = loop.time()
        end = started + timeout
        if fresh:
            connection = None
            self._metrics.count("links.opened_for.unrepeatable")
        else:
            connection = self._checkout(incarnation, max_idle)
        reused = connection is not None
        if connection is None:
            connection = await self._open(destination, min(timeout, DIAL_TIMEOUT))
        if encode_again is not None and loop.time() - started > SLOW_DIAL_SECONDS:
            outbound = encode_again()
        if may_send is not None and not may_send():
            connection.abort()
            raise NotSentError(
                "the target takes no requests now, or inputs of the request are lost"
            )
        # a new connection may be lost before this task runs again
        if not connection.is_connected():
            raise NotSentError("the connection was lost before the request was sent")
        connection.expect_response(outbound.method)

        def is_path_lost() -> bool:
            return not connection.tunnelled and not self._is_reachable(incarnation)

        try:
            head = _serialize_head(outbound, destination.address)
            self._metrics.count("links.bytes_out", len(head) + len(outbound.body))
            connection.write_request(head, outbound.body)
            async with SoftTimeoutScope(end, soft_timeout, is_path_lost):
                message, content = await connection.read_head()
        except TimeoutError:
            connection.abort()
            raise TargetResponseError(
                "timed out waiting for the response head",
                path_lost=is_path_lost(),
                silent=True,
                endured=soft_timeout is not None and soft_timeout.endured,
            ) from None
        except (ClientError, HttpProcessingError, OSError) as error:
            connection.abort()
            raise create_response_error(
                "no response", error, connection.loss, is_path_lost()
            ) from error
        except BaseException:
            connection.abort()
            raise
        response = TargetResponse(
            message,
            content,
            connection,
            lambda one, head: self._release(incarnation, one, head, may_send),
            is_path_lost,
            self._memory,
            reused=reused,
        )
        self._on_response(incarnation, response)
        return response

    def close_idle(self, incarnation: Incarnation) -> None:
        """Close the idle connections to a target."""
        self._last_requested.pop(incarnation, None)
        for connection in self._idle.pop(incarnation, ()):
            connection.abort()

    def close_all_idle(self) -> None:
        """Close all idle connections."""
        for incarnation in tuple(self._idle):
            self.close_idle(incarnation)

    def count_idle(self) -> int:
        """Return the number of idle connections."""
        return sum(len(connections) for connections in self._idle.values())

    async def _open(self, destination: Destination, timeout: float) -> TargetConnection:
        try:
            return await self._dial(destination, timeout)
        except DialError as error:
            raise NotSentError(str(error)) from error

    async def _dial(self, destination: Destination, timeout: float) -> TargetConnection:
        loop = asyncio.get_running_loop()
        connection = await self._dialer.dial(
            destination, lambda: TargetConnection(loop), timeout
        )
        assert isinstance(connection, TargetConnection)
        return connection

    def _checkout(
        self, incarnation: Incarnation, max_idle: float
    ) -> TargetConnection | None:
        connections = self._idle.get(incarnation)
        now = self._clock.now()
        self._record_demand(incarnation, now)
        reason = "none_idle"
        while connections:
            connection = connections[-1]
            if not connection.reusable or now >= connection.reusable_until:
                connections.pop().abort()
                reason = "expired"
                continue
            if now - connection.idle_since > max_idle:
                # the others have been idle for longer
                reason = "idle_too_long"
                break
            self._metrics.count("links.reused")
            return connections.pop()
        self._metrics.count(f"links.opened_for.{reason}")
        return None

    def _keep_idle(
        self,
        incarnation: Incarnation,
        connection: TargetConnection,
        seconds: float = MAX_IDLE_SECONDS,
    ) -> None:
        connections = self._idle[incarnation]
        now = self._clock.now()
        in_demand = self._is_in_demand(incarnation, now)
        if len(connections) >= (self._find_idle_limit(incarnation) if in_demand else 0):
            connection.abort()
            return
        connection.idle_since = now
        connection.reusable_until = now + seconds
        connections.append(connection)

    def _record_demand(self, incarnation: Incarnation, now: float) -> None:
        # reinsert at the end, so that eviction removes the least recent target
        self._last_requested.pop(incarnation, None)
        self._last_requested[incarnation] = now
        if len(self._last_requested) > MAX_TRACKED_TARGETS:
            del self._last_requested[next(iter(self._last_requested))]

    def _is_in_demand(self, incarnation: Incarnation, now: float) -> bool:
        """Return whether a coming request might use an idle connection.

        Requests that are not idempotent never do. If connections were pooled after
        these alone, they would take up the connection limit of the target, to the
        disadvantage of instances that need one.
        """
        return (
            now - self._last_requested.get(incarnation, float("-inf"))
            < MAX_IDLE_SECONDS
        )

    def _release(
        self,
        incarnation: Incarnation,
        connection: TargetConnection,
        message: RawResponseMessage,
        may_send: Callable[[], bool] | None,
    ) -> None:
        seconds = _parse_idle_seconds(message.headers.get("Keep-Alive", ""))
        if may_send is not None and not may_send():
            # the target has left or restarted: a pooled connection would neither be
            # used nor closed, and each restart would leak some
            connection.abort()
            return
        if message.should_close or not connection.reusable or seconds <= 0:
            connection.abort()
            return
        self._keep_idle(incarnation, connection, seconds)


def _parse_idle_seconds(text: str) -> float:
    """Return for how many seconds the connection may be reused after a response."""
    for part in text.split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.strip().isdecimal():
            return min(MAX_IDLE_SECONDS, int(value) * KEEP_ALIVE_FRACTION)
    return MAX_IDLE_SECONDS


def _serialize_head(outbound: OutboundRequest, address: str) -> bytes:
    lines = [f"{outbound.method} {outbound.target} HTTP/1.1".encode()]
    if not any(name.lower() == b"host" for name, _ in outbound.headers):
        lines.append(b"Host: " + address.encode())
    lines.extend(name + b": " + value for name, value in outbound.headers)
    if outbound.body or outbound.method in ("POST", "PUT", "PATCH"):
        lines.append(f"Content-Length: {len(outbound.body)}".encode())
    return b"\r\n".join(lines) + b"\r\n\r\n"
