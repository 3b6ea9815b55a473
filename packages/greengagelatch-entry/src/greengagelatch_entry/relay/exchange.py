"""State of one opaque request and the writer of its response."""

from __future__ import annotations

import asyncio
import re
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from aiohttp import HttpVersion11
from aiohttp.web_response import Response, StreamResponse

from greengagelatch.relay.crash_reports import MAX_PARTS, shorten_part_id
from greengagelatch.relay.part_crashes import SharedPart
from greengagelatch.verdict import Verdict

from ..adapters.caller_connections import RequestPosition
from ..adapters.socket_options import reset_on_close

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from aiohttp.web_request import BaseRequest

    from greengagelatch.relay.deployment import Deployment, Route
    from greengagelatch.relay.incarnations import Incarnation
    from greengagelatch.relay.requests import OpaqueRequest
    from greengagelatch.relay.targets import ListedTarget

    from .messages import ResponseHead
    from .suspect_locks import Lock

__all__ = ("ResponseWriter", "CallerDisconnectedError", "RelayExchange")

#: seconds after which a write is abandoned because the caller does not read
WRITE_TIMEOUT = 10.0
#: size in bytes of the slices in which a large chunk is written
SLICE_BYTES = 32 * 1024
#: maximum number of prompt parts in one log entry
MAX_LOGGED_PARTS = 8
#: control characters that must not occur in a response head (RFC 9110, 5.5)
_CONTROL_CHARACTERS = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")


class CallerDisconnectedError(Exception):
    """The caller has disconnected or does not read its response."""


class ResponseWriter:
    """Writes one response to a caller, in one piece or as a stream.

    :param keep_alive: returns whether the connection stays open after a response that
        begins now
    :param on_bytes_sent: called with the size in bytes of each part of a body
    """

    def __init__(
        self,
        request: BaseRequest,
        *,
        keep_alive: Callable[[], bool],
        on_bytes_sent: Callable[[int], None] = lambda _: None,
    ) -> None:
        self._request = request
        self._keep_alive = keep_alive
        self._on_bytes_sent = on_bytes_sent
        self._stream: StreamResponse | None = None
        #: response object that the connection handler must return
        self.response: StreamResponse | None = None
        #: whether the whole response was written
        self.complete = False

    @property
    def started(self) -> bool:
        """Whether writing the response has begun."""
        return self.response is not None

    async def send(
        self,
        status: int,
        headers: tuple[tuple[str, str], ...],
        body: bytes,
        *,
        reason: str | None = None,
        close: bool = False,
    ) -> None:
        """Write a complete response."""
        if reason is not None:
            reason = _replace_control_characters(reason)
        response = Response(status=status, reason=reason, body=body)
        _copy_headers(headers, response)
        if close or not self._keep_alive():
            response.force_close()
        self.response = response
        self._on_bytes_sent(len(body))
        await self._write_with_timeout(self._write_whole(response))
        self.complete = True

    async def begin(self, head: ResponseHead, length: int | None = None) -> None:
        """Write the head of a streamed response.

        :param length: size in bytes of its body; ``None``: not known
        """
        response = StreamResponse(
            status=head.status, reason=_replace_control_characters(head.reason)
        )
        _copy_headers(head.headers, response)
        response.content_length = length
        if not self._keep_alive():
            response.force_close()
        self.response = self._stream = response
        await self._write_with_timeout(response.prepare(self._request))

    async def write(self, data: bytes | memoryview) -> None:
        """Write a chunk of a streamed response."""
        self._on_bytes_sent(len(data))
        await self._write_with_timeout(self._stream.write(data))

    async def write_slices(self, data: bytes) -> None:
        """Write a large chunk in slices, as fast as the caller reads them."""
        view = memoryview(data)
        for start in range(0, len(view), SLICE_BYTES):
            await self.write(view[start : start + SLICE_BYTES])

    async def finish(self) -> None:
        """Terminate a streamed response as complete."""
        await self._write_with_timeout(self._stream.write_eof())
        self.complete = True

    def abort(self) -> None:
        """Abort the connection, so that a partial response does not look complete."""
        transport = self._request.transport
        if transport is None:
            return
        if self._request.version < HttpVersion11:
            # without chunks, an orderly close is the end of the response
            reset_on_close(transport.get_extra_info("socket"))
        transport.abort()

    async def _write_whole(self, response: Response) -> None:
        await response.prepare(self._request)
        await response.write_eof()

    async def _write_with_timeout(self, writing: Awaitable[object]) -> None:
        try:
            async with asyncio.timeout(WRITE_TIMEOUT):
                await writing
        except (TimeoutError, ConnectionError) as error:
            self.abort()
            raise CallerDisconnectedError(str(error)) from error


@dataclass(slots=True, kw_only=True)
class RelayExchange:
    """Mutable state of one request as it passes through the filters."""

    request: OpaqueRequest
    writer: ResponseWriter
    use: RequestPosition = field(default_factory=RequestPosition)
    #: set by ``RouteFilter``
    deployment: Deployment | None = None
    route: Route | None = None
    service: str = ""
    workspace: str = ""
    #: data centres that it may be sent to; ``None``: all
    data_centres: frozenset[str] | None = None
    #: identifies the content of a request; equal for all attempts at it
    digest: str = ""
    #: priority rank; 0 is the most urgent
    rank: float = 0.0
    #: monotonic time in seconds by which the response must be complete
    deadline: float = 0.0
    #: software version of the targets that a resumed stream may go on at; ``None``: any
    software_version: str | None = None
    #: share of the route's timeout by which the timeouts of first attempts differ
    timeout_spread: float = 0.0
    verdict: Verdict = Verdict.NOT_RUN
    #: targets that the request was sent to, in order
    targets: list[Incarnation] = field(default_factory=list)
    #: versions of the software of these targets
    software_versions: list[str] = field(default_factory=list)
    #: attempts in which no target received the request
    unsent: int = 0
    #: whether its next retry is already charged to the retry budget
    retry_charged: bool = False
    #: held while the request is sent, if it is suspected of crashing targets
    suspect_lock: Lock | None = None
    #: held while it is sent on trial, as a part of its prompt is in quarantine
    part_lock: Lock | None = None
    stage_seconds: float = 0.0
    #: monotonic time in seconds of the last event that was sent to the caller
    sent_at: float | None = None
    #: what it waits for, or waited for as it ended: ``stages`` or ``target``
    step: str = ""
    outcome: str = ""
    status: int = 0

    @property
    def part_ids(self) -> tuple[str, ...]:
        """Ids of the prompt parts that other requests may share, each once."""
        prompt = self.request.prompt
        if prompt is None:
            return ()
        parts = prompt.shared_parts
        ids = dict.fromkeys(shorten_part_id(part.part_id) for part in parts)
        return tuple(ids)[:MAX_PARTS]

    @property
    def shared_parts(self) -> tuple[SharedPart, ...]:
        """Prompt parts that other requests to the service may share, each once."""
        return tuple(SharedPart(self.service, one) for one in self.part_ids)

    def describe_parts(self) -> dict[str, list[str]]:
        """Return the log field that names the shared prompt parts; empty if none."""
        ids = self.part_ids[:MAX_LOGGED_PARTS]
        return {"parts": list(ids)} if ids else {}

    def describe_resumption(self) -> dict[str, str | int]:
        """Return the log fields of a stream that goes on; empty if it begins."""
        if self.request.resume_after is None:
            return {}
        return {
            "resumes": self.request.resumes,
            "resume_after": self.request.resume_after,
        }

    @property
    def prior_wait(self) -> float:
        """Estimated seconds that the caller has waited before this attempt.

        A caller that retries after a refusal has less time left than callers of its
        route usually have.
        """
        usual = self.route.timeout * (1.0 - self.timeout_spread)
        return max(0.0, usual - self.request.timeout)

    @property
    def caller_deadline(self) -> float:
        """Monotonic time in seconds until which the caller waits or retries.

        A stop of this instance ends its requests earlier, but not a retry elsewhere.
        """
        return self.request.received + self.request.timeout

    @property
    def event_deadline(self) -> float:
        """Monotonic time in seconds by which a stream must send its next event."""
        since = self.request.received if self.sent_at is None else self.sent_at
        return min(self.deadline, since + self.route.silence_limit)

    def record_send(self, target: ListedTarget) -> None:
        """Record that a target may have received the request."""
        self.targets.append(target.incarnation)
        self.software_versions.append(target.software_version)

    def withdraw_send(self) -> None:
        """Record that the last target has not received the request after all."""
        self.targets.pop()
        self.software_versions.pop()

    def raise_verdict(self, verdict: Verdict) -> None:
        """Raise the verdict; a lower one has no effect."""
        self.verdict = self.verdict.raise_to(verdict)


def _copy_headers(
    headers: tuple[tuple[str, str], ...], response: StreamResponse
) -> None:
    for name, value in headers:
        response.headers.add(name, _replace_control_characters(value))


def _replace_control_characters(text: str) -> str:
    """Replace each control character by a space.

    Targets may send them, and the HTTP library refuses to write a head with one.
    """
    return _CONTROL_CHARACTERS.sub(" ", text)
