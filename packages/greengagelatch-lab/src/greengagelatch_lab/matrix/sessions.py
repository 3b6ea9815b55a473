"""Sessions towards the bench's targets, in the place of those of aiohttp."""

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

#: beginning of the subject of steps of orders; the data centre follows
ORDERS = "orders"
#: share of a session's time limit that may pass until a connection is made
CONNECT_SHARE = 0.4
#: stage whose calls are announced
WATCHED_STAGE = "book"


class SimulatedSession:
    """Connections to targets, kept for the next call or not.

    :param timeout: seconds for a whole exchange; ``None``: no limit here
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
        """Make a call, which may be awaited or entered."""
        place = URL(url)
        address = f"{place.host}:{place.port}"
        if place.path == "/orders":
            return _Exchange(self._order(address, data))
        if data is None:
            return _Exchange(self._cancel(address, json["attempt"]))
        return _Exchange(self._call(address, data))

    def get(self, url: URL | str, **_options: Any) -> _Exchange:
        """Read an engine's state."""
        place = URL(url)
        return _Exchange(self._read_state(f"{place.host}:{place.port}"))

    async def close(self) -> None:
        """Close the connections that are not in use."""
        for connection in self._idle:
            connection.close()
        self._idle.clear()

    def keep(self, connection: Connection) -> None:
        """Take a connection back."""
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

    async def _order(self, address: str, data: Any) -> SimulatedResponse:
        order = json.loads(data.decode())
        target = self._dialer.targets[address]
        group = f"{ORDERS}/{target.data_centre}"
        steps = (Step.ORDER_SENDING, Step.ORDER_SENT)
        async with asyncio.timeout(self._timeout):
            return await self._exchange(
                address,
                lambda target, answer: target.engine.carry_out(order, answer),
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
                await announcer.reach(Step.ORDER_READ_BACK, group, self._dialer.process)
            return await self._exchange(address, read)

    async def _exchange(
        self,
        address: str,
        request: Request,
        data: Any = None,
        subject: str = "",
        steps: tuple[Step | None, Step | None] = (None, None),
    ) -> SimulatedResponse:
        """Make one request; ``steps`` are announced before and after it is sent."""
        dialer = self._dialer
        connection = await self._open(address)
        if steps[0] is not None:
            await dialer.announcer.reach(steps[0], subject, dialer.process)
        response = SimulatedResponse(self, connection)
        try:
            await _write(data)
            connection.send(request, response)
            if steps[1] is not None:
                await dialer.announcer.reach(steps[1], subject, dialer.process)
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
        # such sessions are those for orders, whose sockets drop what is not sent
        async with asyncio.timeout(self._timeout * CONNECT_SHARE):
            return await self._dialer.open(address, lingers_off=True)


async def _write(data: Any) -> None:
    """Have a body written; whatever it raises reaches the caller as aiohttp has it."""
    if data is None:
        return
    try:
        await data.write_with_length(_Sink(), None)
    except Exception as error:
        raise aiohttp.ClientConnectionError("failed to send") from error


class _Exchange:
    """A call under way, as aiohttp gives it: to be awaited or entered."""

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
    """Takes the bytes of a body; the call itself is carried as a message."""

    async def write(self, _data: bytes) -> None:
        return


class SimulatedPool(TargetPool):
    """The real pool of connections, with sessions of the bench."""

    def __init__(self, *, dialer: Dialer, **rules: Any) -> None:
        super().__init__(**rules)
        self._dialer = dialer

    def _open(self, *, keep: bool) -> Any:
        return SimulatedSession(self._dialer, keep=keep)
