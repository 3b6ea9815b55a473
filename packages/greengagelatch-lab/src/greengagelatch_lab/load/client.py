"""HTTP client that sends requests as a caller and records the responses."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import aiohttp

from greengagelatch_entry.adapters.event_stream import EventParser

from .observations import Observation, RequestOutcome

if TYPE_CHECKING:
    from types import TracebackType

    from greengagelatch_entry.adapters.event_stream import Event

    from .arrivals import Arrival
    from .balancer import EntryInstance

__all__ = ("CallerClient",)

#: limit on open connections to all instances together
MAX_CONNECTIONS = 256
#: seconds beyond the deadline after which a request counts as unanswered
GRACE = 5.0
#: maximum size of a server-sent event in bytes
MAX_EVENT = 1024 * 1024
EVENT_STREAM = "text/event-stream"


@dataclass(slots=True)
class _Reading:
    """The part of a response received so far."""

    fields: dict[str, Any] = field(default_factory=dict)
    outcome: RequestOutcome = RequestOutcome.DISCONNECTED
    status: int = 0
    tokens: list[tuple[int, str]] = field(default_factory=list)
    token_seconds: list[float] = field(default_factory=list)
    message: str = ""


class CallerClient:
    """Sends requests over a bounded pool of persistent connections.

    The client itself never retries, since missing responses are to be measured.

    :param grace: seconds beyond its deadline after which a request counts as
        unanswered
    """

    def __init__(
        self, *, max_connections: int = MAX_CONNECTIONS, grace: float = GRACE
    ) -> None:
        self._max_connections = max_connections
        self._grace = grace
        self._session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> CallerClient:
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=self._max_connections),
            timeout=aiohttp.ClientTimeout(total=None),
        )
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        if self._session is not None:
            await self._session.close()

    async def send(
        self, arrival: Arrival, instance: EntryInstance, due: float
    ) -> Observation:
        """Send a request and wait for the complete response.

        :param due: event loop time at which the request was scheduled
        """
        reading = _Reading()
        limit = due + arrival.deadline_ms / 1000 + self._grace
        try:
            async with asyncio.timeout_at(limit):
                await self._exchange(arrival, instance, due, reading)
        except TimeoutError:
            reading.outcome = RequestOutcome.TIMED_OUT
            reading.message = (
                f"response incomplete {self._grace:g} s after the deadline"
            )
        except (aiohttp.ClientError, OSError, ValueError) as error:
            reading.outcome = RequestOutcome.DISCONNECTED
            reading.message = repr(error)
        return _observe(arrival, instance, reading, _get_time() - due)

    async def _exchange(
        self,
        arrival: Arrival,
        instance: EntryInstance,
        due: float,
        reading: _Reading,
    ) -> None:
        async with self._session.post(
            f"http://{instance.callers}/v1/pipelines/{arrival.pipeline}",
            json={"input": arrival.input, "stream": arrival.stream},
            headers=_create_headers(arrival),
        ) as response:
            reading.status = response.status
            if response.content_type == EVENT_STREAM:
                await _read_stream(response, due, reading)
                return
            reading.fields = json.loads(await response.read())
            refused = response.status >= 400
            reading.outcome = (
                RequestOutcome.REFUSAL if refused else RequestOutcome.RESULT
            )


def _create_headers(arrival: Arrival) -> dict[str, str]:
    headers = {
        "X-Workspace": arrival.workspace,
        "X-Deadline-Ms": str(arrival.deadline_ms),
    }
    if not arrival.repeatable:
        headers["X-Repeatable"] = "no"
    if arrival.key:
        headers["Idempotency-Key"] = arrival.key
        if arrival.retry_of is None:
            headers["X-First-Attempt"] = "yes"
    return headers


async def _read_stream(
    response: aiohttp.ClientResponse, due: float, reading: _Reading
) -> None:
    parser = EventParser(MAX_EVENT)
    async for chunk in response.content.iter_any():
        for event in parser.feed(chunk):
            _take_event(event, _get_time() - due, reading)
    if reading.outcome is RequestOutcome.DISCONNECTED:
        reading.message = (
            f"stream ended without a final event after {len(reading.tokens)} tokens"
        )


def _take_event(event: Event, seconds: float, reading: _Reading) -> None:
    if reading.outcome is not RequestOutcome.DISCONNECTED:
        raise ValueError(f"event {event.name!r} after the final event of the stream")
    fields = json.loads(event.data)
    if event.name == "token":
        reading.tokens.append((fields["offset"], fields["text"]))
        reading.token_seconds.append(seconds)
        return
    reading.fields = fields
    reading.outcome = (
        RequestOutcome.RESULT if event.name == "end" else RequestOutcome.REFUSAL
    )


def _observe(
    arrival: Arrival, instance: EntryInstance, reading: _Reading, seconds: float
) -> Observation:
    fields = reading.fields
    return Observation(
        arrival=arrival,
        outcome=reading.outcome,
        instance=instance.instance_id,
        status=reading.status,
        request_id=fields.get("request", ""),
        verdict=fields.get("verdict", ""),
        code=fields.get("code", ""),
        message=reading.message or fields.get("message", ""),
        result=fields.get("result"),
        replayed=fields.get("replayed", False),
        tokens=tuple(reading.tokens),
        count=fields.get("count"),
        digest=fields.get("digest", ""),
        seconds=seconds,
        token_seconds=tuple(reading.token_seconds),
    )


def _get_time() -> float:
    return asyncio.get_running_loop().time()
