"""One opaque request on its way, and the writing of its answer."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from aiohttp import web

from greengagelatch.verdict import Verdict

from ..adapters.caller_connections import ConnectionUse

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from greengagelatch.relay.deployment import Deployment, Route
    from greengagelatch.relay.incarnations import Incarnation
    from greengagelatch.relay.requests import OpaqueRequest

    from .messages import AnswerHead

__all__ = ("AnswerWriter", "CallerGoneError", "RelayExchange")

#: seconds for which a caller that does not read may hold up an answer
WRITE_TIMEOUT = 10.0


class CallerGoneError(Exception):
    """The caller can't be written to any more."""


class AnswerWriter:
    """Writes one answer to a caller, whole or event by event.

    :param keep: whether the connection is kept after an answer that begins now
    :param note_sent: called with the bytes of each part of a body
    """

    def __init__(
        self,
        request: web.BaseRequest,
        *,
        keep: Callable[[], bool],
        note_sent: Callable[[int], None] = lambda _: None,
    ) -> None:
        self._request = request
        self._keep = keep
        self._note_sent = note_sent
        self._stream: web.StreamResponse | None = None
        #: what the connection's handler has to return
        self.response: web.StreamResponse | None = None

    @property
    def started(self) -> bool:
        """Whether a part of the answer has been written."""
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
        """Write a whole answer."""
        response = web.Response(status=status, reason=reason, body=body)
        _copy(headers, response)
        if close or not self._keep():
            response.force_close()
        self.response = response
        self._note_sent(len(body))
        await self._guard(self._write_whole(response))

    async def begin(self, head: AnswerHead) -> None:
        """Write the head of a stream."""
        response = web.StreamResponse(status=head.status, reason=head.reason)
        _copy(head.headers, response)
        if not self._keep():
            response.force_close()
        self.response = self._stream = response
        await self._guard(response.prepare(self._request))

    async def write(self, data: bytes) -> None:
        """Write a part of a stream."""
        self._note_sent(len(data))
        await self._guard(self._stream.write(data))

    async def finish(self) -> None:
        """End a stream as complete."""
        await self._guard(self._stream.write_eof())

    def abort(self) -> None:
        """Break off: what was written must not look like a whole answer."""
        transport = self._request.transport
        if transport is not None:
            transport.abort()

    async def _write_whole(self, response: web.Response) -> None:
        await response.prepare(self._request)
        await response.write_eof()

    async def _guard(self, writing: Awaitable[object]) -> None:
        try:
            async with asyncio.timeout(WRITE_TIMEOUT):
                await writing
        except (TimeoutError, ConnectionError) as error:
            self.abort()
            raise CallerGoneError(str(error)) from error


@dataclass(slots=True, kw_only=True)
class RelayExchange:
    """One request on its way through the filters; the only record that changes."""

    request: OpaqueRequest
    writer: AnswerWriter
    use: ConnectionUse = field(default_factory=ConnectionUse)
    #: set by the filter that looks the route up
    deployment: Deployment | None = None
    route: Route | None = None
    service: str = ""
    workspace: str = ""
    #: the same for all attempts that carry the same request
    digest: str = ""
    #: 0 is the most urgent
    rank: float = 0.0
    #: monotonic seconds by which the answer must be out
    deadline: float = 0.0
    verdict: Verdict = Verdict.NOT_RUN
    #: targets that have had the request, in order
    targets: list[Incarnation] = field(default_factory=list)
    #: sends that reached no target
    unsent: int = 0
    stage_seconds: float = 0.0
    outcome: str = ""
    status: int = 0

    @property
    def waited(self) -> float:
        """Seconds for which the caller has waited before this attempt, it seems.

        A caller that comes back after a refusal has less time left than its route
        would give it.
        """
        return max(0.0, self.route.timeout - self.request.timeout)

    @property
    def first_deadline(self) -> float:
        """Monotonic seconds by which the first part of a stream must be out."""
        limit = self.request.received + self.route.silence_limit
        return min(self.deadline, limit)

    def raise_verdict(self, verdict: Verdict) -> None:
        """Raise the verdict; a lower one changes nothing."""
        self.verdict = self.verdict.raise_to(verdict)


def _copy(headers: tuple[tuple[str, str], ...], response: web.StreamResponse) -> None:
    for name, value in headers:
        response.headers.add(name, value)
