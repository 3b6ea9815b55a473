"""HTTP client for orders to engines, with at-most-once delivery."""

from __future__ import annotations

import json
import socket
import struct
from typing import TYPE_CHECKING, Any

import aiohttp
from aiohttp import payload
from result import Err, Ok, Result

from greengagelatch.orders import (
    EngineReport,
    EngineState,
    Order,
    OrderAnswer,
    OrderClient,
    OrderGuard,
    OrderOutcome,
)

if TYPE_CHECKING:
    from aiohttp.abc import AbstractStreamWriter

    from greengagelatch.targets import Target

    from ..metrics import Metrics

__all__ = ("HttpOrderClient",)

#: maximum size of a response; a larger one is discarded
MAX_ANSWER_BYTES = 262_144

STATUS_OK = 200
STATUS_OLD_FENCE = 409
#: statuses with which an engine rejects an order without any effect
REFUSALS = frozenset({400, 404, 405, 413, 415, 422})

#: share of the timeout that is allowed for connecting
CONNECT_SHARE = 0.4

#: SO_LINGER with a time of zero, so that closing discards unsent data
ZERO_LINGER = struct.pack("ii", 1, 0)


class _ForbiddenError(Exception):
    """The guard denied an order right before it was sent."""


class HttpOrderClient(OrderClient):
    """Sends orders by ``POST /orders`` and reads engine state by ``GET /orders``.

    Orders use POST, as aiohttp resends GET, PUT and DELETE by itself when a
    kept-alive connection drops. Redirects are not followed, as they would send the
    order to an engine that was not chosen. Each call uses a new connection: a
    kept-alive one may be unresponsive, and an order lost on it delays its group.

    While the network is down, an order can stay in the kernel's send buffer and
    arrive after the lease has expired. The connection is therefore dropped after
    ``timeout`` without an acknowledgement, and closing it, also by the exit of the
    process, discards unsent data.

    :param timeout: seconds allowed for a call.
    """

    def __init__(self, *, timeout: float, metrics: Metrics) -> None:
        self._timeout = timeout
        self._metrics = metrics
        self._session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Close all connections."""
        session, self._session = self._session, None
        if session is not None:
            await session.close()

    async def send(
        self, target: Target, order: Order, guard: OrderGuard
    ) -> OrderAnswer:
        body = _GuardedBody(_encode_order(order), guard)
        try:
            async with self._open_session().post(
                _create_url(target), data=body, allow_redirects=False
            ) as response:
                data = await _read_body(response)
                status = response.status
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return _create_failure(body, error)
        return _parse_answer(status, data)

    async def read(self, target: Target) -> Result[EngineReport, str]:
        # reads are idempotent, so that a retry by aiohttp itself is harmless
        self._metrics.count("orders.reads")
        try:
            async with self._open_session().get(
                _create_url(target), allow_redirects=False
            ) as response:
                data = await _read_body(response)
                status = response.status
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return Err(f"{type(error).__name__}: {error}")
        if status != STATUS_OK:
            return Err(f"status {status}")
        return _parse_report(data)

    def _open_session(self) -> aiohttp.ClientSession:
        # created on first use, as it needs the running loop
        if self._session is None:
            connector = aiohttp.TCPConnector(
                limit=0, force_close=True, socket_factory=self._create_socket
            )
            self._session = aiohttp.ClientSession(
                connector=connector,
                cookie_jar=aiohttp.DummyCookieJar(),
                timeout=aiohttp.ClientTimeout(
                    total=self._timeout, connect=self._timeout * CONNECT_SHARE
                ),
                trust_env=False,
            )
        return self._session

    def _create_socket(self, info: aiohttp.AddrInfoType) -> socket.socket:
        family, kind, protocol, _, _ = info
        created = socket.socket(family, kind, protocol)
        limit = int(self._timeout * 1000)
        created.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, limit)
        created.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ZERO_LINGER)
        return created


class _GuardedBody(payload.BytesPayload):
    """Request body that checks the guard right before its first byte is written.

    aiohttp buffers the headers until the body is written, so that no byte of the
    order reaches the socket if the guard denies it. A check before the connection
    is made would be too early: the process can be paused while it connects, and its
    lease can expire meanwhile.
    """

    def __init__(self, body: bytes, guard: OrderGuard) -> None:
        super().__init__(body, content_type="application/json")
        self._guard = guard
        self.sent = False

    async def write_with_length(
        self, writer: AbstractStreamWriter, content_length: int | None
    ) -> None:
        if not self._guard():
            raise _ForbiddenError
        self.sent = True
        await super().write_with_length(writer, content_length)


def _create_url(target: Target) -> str:
    return f"http://{target.address}/orders"


async def _read_body(response: aiohttp.ClientResponse) -> bytes:
    body = bytearray()
    async for chunk in response.content.iter_any():
        body += chunk
        if len(body) > MAX_ANSWER_BYTES:
            return b""
    return bytes(body)


def _encode_order(order: Order) -> bytes:
    desired = {
        "models": order.desired.models,
        "adapters": order.desired.adapters,
        "role": order.desired.role,
    }
    return json.dumps({"fence": order.fence, "wanted": desired}).encode()


def _create_failure(body: _GuardedBody, error: Exception) -> OrderAnswer:
    outcome = OrderOutcome.UNKNOWN if body.sent else OrderOutcome.NOT_SENT
    return OrderAnswer(outcome=outcome, message=f"{type(error).__name__}: {error}")


def _parse_answer(status: int, data: bytes) -> OrderAnswer:
    if status == STATUS_OLD_FENCE:
        return OrderAnswer(outcome=OrderOutcome.OLD_FENCE, message=_shorten(data))
    if status in REFUSALS:
        message = f"status {status}: {_shorten(data)}"
        return OrderAnswer(outcome=OrderOutcome.REFUSED, message=message)
    if status == STATUS_OK:
        return OrderAnswer(outcome=OrderOutcome.DONE)
    # any other error may have occurred after the order took effect
    return OrderAnswer(outcome=OrderOutcome.UNKNOWN, message=f"status {status}")


def _shorten(data: bytes) -> str:
    return data[:100].decode(errors="replace")


def _parse_report(data: bytes) -> Result[EngineReport, str]:
    try:
        fields = json.loads(data)
        state = fields["state"]
        report = EngineReport(
            state=EngineState(
                models=_read_names(state["models"]),
                adapters=_read_names(state["adapters"]),
                role=str(state["role"]),
            ),
            fence=int(fields["fence"]),
        )
    except (KeyError, TypeError, ValueError, RecursionError) as error:
        return Err(f"invalid engine report: {type(error).__name__}: {error}")
    return Ok(report)


def _read_names(names: Any) -> tuple[str, ...]:
    if not isinstance(names, list):
        raise TypeError(f"names must be a list, got {type(names).__name__}")
    return tuple(str(name) for name in names)
