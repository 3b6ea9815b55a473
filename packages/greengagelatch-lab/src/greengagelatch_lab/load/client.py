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
GRACE_SECONDS = 5.0
#: maximum size of a server-sent event in bytes
MAX_EVENT_BYTES = 1024 * 1024
EVENT_STREAM = "text/event-stream"


@dataclass(slots=True)
class _PartialResponse:
    """The part of a response received so far."""

    fields: dict[str, Any] = field(default_factory=dict)
    outcome: RequestOutcome = RequestOutcome.DISCONNECTED
    status: int = 0
    tokens: list[tuple[int, str]] = field(default_factory=list)
    token_latencies: list[float] = field(default_factory=list)
    message: str = ""


class CallerClient:
    """Sends requests over a bounded pool of persistent connections.

    The client itself never retries, since missing responses are to be measured.

    :param grace: seconds beyond its deadline after which a request counts as
        unanswered
    """

    def __init__(
        self, *, max_connections: int = MAX_CONNECTIONS, grace: float = GRACE_SECONDS
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
        partial = _PartialResponse()
        limit = due + arrival.deadline_ms / 1000 + self._grace
        try:
            async with asyncio.timeout_at(limit):
                await self._exchange(arrival, instance, due, partial)
        except TimeoutError:
            partial.outcome = RequestOutcome.TIMED_OUT
            partial.message = (
                f"response incomplete {self._grace:g} s after the deadline"
            )
        except (aiohttp.ClientError, OSError, ValueError) as error:
            partial.outcome = RequestOutcome.DISCONNECTED
            partial.message = repr(error)
        return _create_observation(arrival, instance, partial, _get_time() - due)

    async def _exchange(
        self,
        arrival: Arrival,
        instance: EntryInstance,
        due: float,
        partial: _PartialResponse,
    ) -> None:
        async with self._session.post(
            f"http://{instance.caller_address}/v1/pipelines/{arrival.pipeline}",
            json={"input": arrival.input, "stream": arrival.stream},
            headers=_create_headers(arrival),
        ) as response:
            partial.status = response.status
            if response.content_type == EVENT_STREAM:
                await _read_stream(response, due, partial)
                return
            partial.fields = json.loads(await response.read())
            refused = response.status >= 400
            partial.outcome = (
                RequestOutcome.REFUSAL if refused else RequestOutcome.RESULT
            )


def _create_headers(arrival: Arrival) -> dict[str, str]:
    headers = {
        "X-Workspace": arrival.workspace,
        "X-Deadline-Ms": str(arrival.deadline_ms),
    }
    if not arrival.repeatable:
        headers["X-Repeatable"] = "no"
    if arrival.idempotency_key:
        headers["Idempotency-Key"] = arrival.idempotency_key
        if arrival.retry_of is None:
            headers["X-First-Attempt"] = "yes"
    return headers


async def _read_stream(
    response: aiohttp.ClientResponse, due: float, partial: _PartialResponse
) -> None:
    parser = EventParser(MAX_EVENT_BYTES)
    async for chunk in response.content.iter_any():
        for event in parser.feed(chunk):
            _handle_event(event, _get_time() - due, partial)
    if partial.outcome is RequestOutcome.DISCONNECTED:
        partial.message = (
            f"stream ended without a final event after {len(partial.tokens)} tokens"
        )


def _handle_event(event: Event, seconds: float, partial: _PartialResponse) -> None:
    if partial.outcome is not RequestOutcome.DISCONNECTED:
        raise ValueError(f"event {event.name!r} after the final event of the stream")
    fields = json.loads(event.data)
    if event.name == "token":
        partial.tokens.append((fields["offset"], fields["text"]))
        partial.token_latencies.append(seconds)
        return
    partial.fields = fields
    partial.outcome = (
        RequestOutcome.RESULT if event.name == "end" else RequestOutcome.REFUSAL
    )


def _create_observation(
    arrival: Arrival, instance: EntryInstance, partial: _PartialResponse, seconds: float
) -> Observation:
    fields = partial.fields
    return Observation(
        arrival=arrival,
        outcome=partial.outcome,
        instance=instance.instance_id,
        status=partial.status,
        request_id=fields.get("request", ""),
        verdict=fields.get("verdict", ""),
        code=fields.get("code", ""),
        message=partial.message or fields.get("message", ""),
        result=fields.get("result"),
        replayed=fields.get("replayed", False),
        tokens=tuple(partial.tokens),
        count=fields.get("count"),
        digest=fields.get("digest", ""),
        latency_seconds=seconds,
        token_latencies=tuple(partial.token_latencies),
    )


def _get_time() -> float:
    return asyncio.get_running_loop().time()
