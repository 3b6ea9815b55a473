"""Simulated HTTP sessions to targets, in place of those of aiohttp."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING, Any

import aiohttp
from yarl import URL

from greengagelatch_entry.adapters.target_pool import TargetPool

from .connections import SimulatedResponse
from .steps import Step

if TYPE_CHECKING:
    from collections.abc import Generator

    from .connections import Answer, Connection, Dialer, Request
    from .fleet import FleetTarget

__all__ = ("ORDERS", "SimulatedPool", "SimulatedSession")

#: first part of the subject of order steps, followed by the data centre
ORDERS = "orders"
#: fraction of a session's timeout within which a connection must be open
CONNECT_SHARE = 0.4
#: stage whose calls are announced as steps
WATCHED_STAGE = "book"


class SimulatedSession:
    """A client session with optional reuse of connections.

    :param keep: whether connections are kept open for further calls
    :param timeout: timeout of a whole request in seconds, or ``None`` for no limit
    """

    def __init__(
        self, dialer: Dialer, *, keep: bool, timeout: float | None = None
    ) -> None:
        self._dialer = dialer
        self._keep = keep
        self._timeout = timeout
        self._idle: list[Connection] = []

    def post(
        self, url: URL | str, *, data: Any = None, json: Any = None, **_options: Any
    ) -> _Exchange:
        """Make a call; the result is awaitable and an asynchronous context manager."""
        place = URL(url)
        address = f"{place.host}:{place.port}"
        if place.path == "/orders":
            return _Exchange(self._send_order(address, data))
        if data is None:
            return _Exchange(self._cancel(address, json["attempt"]))
        return _Exchange(self._call(address, data))

    def get(self, url: URL | str, **_options: Any) -> _Exchange:
        """Read an engine's state."""
        place = URL(url)
        return _Exchange(self._read_state(f"{place.host}:{place.port}"))

    async def close(self) -> None:
        """Close the idle connections."""
        for connection in self._idle:
            connection.close()
        self._idle.clear()

    def keep(self, connection: Connection) -> None:
        """Return a connection to the idle ones, or close it."""
        if self._keep and connection.open:
            self._idle.append(connection)
        else:
            connection.close()

    async def _call(self, address: str, data: Any) -> SimulatedResponse:
        call = json.loads(data.decode())
        marker = self._dialer.markers.get(call["request"], "")
        watched = call["stage"] == WATCHED_STAGE
        steps = (Step.CONNECTING, Step.SENT) if watched else (None, None)
        return await self._exchange(
            address,
            lambda target, answer: target.serve(call, answer),
            data,
            marker,
            steps,
        )

    async def _cancel(self, address: str, attempt: str) -> SimulatedResponse:
        async def cancel(target: FleetTarget, answer: Answer) -> None:
            stopped = target.cancel(attempt)
            answer(200, json.dumps({"cancelled": stopped}).encode(), True)

        return await self._exchange(address, cancel)

    async def _send_order(self, address: str, data: Any) -> SimulatedResponse:
        order = json.loads(data.decode())
        target = self._dialer.targets[address]
        group = f"{ORDERS}/{target.data_centre}"
        steps = (Step.ORDER_SENDING, Step.ORDER_SENT)
        async with asyncio.timeout(self._timeout):
            return await self._exchange(
                address,
                lambda target, answer: target.engine.apply(order, answer),
                data,
                group,
                steps,
            )

    async def _read_state(self, address: str) -> SimulatedResponse:
        async def read(target: FleetTarget, answer: Answer) -> None:
            answer(200, target.engine.describe(), True)

        target = self._dialer.targets[address]
        group = f"{ORDERS}/{target.data_centre}"
        announcer = self._dialer.announcer
        async with asyncio.timeout(self._timeout):
            if (Step.ORDER_SENT, group) in announcer.reached:
                await announcer.announce_and_yield(
                    Step.ORDER_READ_BACK, group, self._dialer.process
                )
            return await self._exchange(address, read)

    async def _exchange(
        self,
        address: str,
        request: Request,
        data: Any = None,
        subject: str = "",
        steps: tuple[Step | None, Step | None] = (None, None),
    ) -> SimulatedResponse:
        """Make one request and announce ``steps`` before and after it is sent."""
        dialer = self._dialer
        connection = await self._open(address)
        if steps[0] is not None:
            await dialer.announcer.announce_and_yield(steps[0], subject, dialer.process)
        response = SimulatedResponse(self, connection)
        try:
            await _write(data)
            connection.send(request, response)
            if steps[1] is not None:
                await dialer.announcer.announce_and_yield(
                    steps[1], subject, dialer.process
                )
            await response.wait_for_head()
        except BaseException:
            connection.close()
            raise
        return response

    async def _open(self, address: str) -> Connection:
        if self._idle:
            return self._idle.pop()
        if self._timeout is None:
            return await self._dialer.open(address)
        # only sessions for orders have a timeout, and their sockets drop unsent bytes
        async with asyncio.timeout(self._timeout * CONNECT_SHARE):
            return await self._dialer.open(address, drops_unsent=True)


async def _write(data: Any) -> None:
    """Write a body, turning exceptions into connection errors as aiohttp does."""
    if data is None:
        return
    try:
        await data.write_with_length(_Sink(), None)
    except Exception as error:
        raise aiohttp.ClientConnectionError(
            f"failed to send request body: {error}"
        ) from error


class _Exchange:
    """A call in flight, awaitable or used as a context manager as in aiohttp."""

    def __init__(self, work: Any) -> None:
        self._work = work
        self._response: SimulatedResponse | None = None

    def __await__(self) -> Generator[Any, None, SimulatedResponse]:
        return self._work.__await__()

    async def __aenter__(self) -> SimulatedResponse:
        self._response = await self._work
        return self._response

    async def __aexit__(self, *_error: Any) -> None:
        if self._response is not None:
            self._response.close()


class _Sink:
    """Discards the written body; the call itself is passed as an object."""

    async def write(self, _data: bytes) -> None:
        return


class SimulatedPool(TargetPool):
    """The real connection pool, with simulated sessions."""

    def __init__(self, *, dialer: Dialer, **rules: Any) -> None:
        super().__init__(**rules)
        self._dialer = dialer

    def _open(self, *, keep: bool) -> Any:
        return SimulatedSession(self._dialer, keep=keep)
