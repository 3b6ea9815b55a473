"""HTTP server for callers."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from aiohttp import web
from result import Err

from greengagelatch.connection_limits import ConnectionLimits
from greengagelatch.errors import Refusal, RefusalCode
from greengagelatch.request import Answer
from greengagelatch.verdict import Verdict

from ..filters import Exchange
from ..filters.request_parser import ReceivedRequest
from ..filters.stop import STOPPING_RETRY_MS
from .caller_answers import create_headers, encode_answer, find_status
from .caller_bodies import CLOSING_STATUSES, BodyError, read_body
from .caller_connections import CallerConnections, find_position
from .caller_listener import CallerListener
from .caller_stream import CallerStream

if TYPE_CHECKING:
    from collections.abc import Callable

    from greengagelatch.clock import Clock

    from ..filters import Handler
    from ..filters.request_parser import RequestParser
    from ..metrics import Metrics

__all__ = ("CallerLimits", "CallersServer")

PATH_PREFIX = "/v1/pipelines/"
METHOD = "POST"
STATUS_METHOD_NOT_ALLOWED = 405
EVENT_STREAM = "text/event-stream"
#: maximum bytes of a response that the connection's buffer takes without blocking
MAX_UNTIMED_RESPONSE = 32 * 1024
#: maximum characters of an invalid value in an error message
MAX_SHOWN = 64


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerLimits:
    """Limits on callers' connections and requests; times in seconds."""

    max_body_bytes: int = 4 * 1024 * 1024
    max_header_bytes: int = 8190
    max_connections: int = 4096
    idle_timeout: float = 75.0
    body_timeout: float = 10.0
    write_timeout: float = 10.0
    #: maximum unwritten bytes of a streamed response to a slow reader
    max_unwritten_bytes: int = 256 * 1024


class CallersServer(CallerListener):
    """HTTP server that runs callers' requests through the filter chain.

    :param listen: ``host:port``; port 0 selects a free port, see :attr:`port`
    :param handler: the filter chain
    :param draining: whether this instance is leaving; connections are then closed
        after their current request
    """

    name = "callers"

    def __init__(
        self,
        *,
        listen: str,
        handler: Handler,
        identifier: RequestParser,
        clock: Clock,
        metrics: Metrics,
        draining: Callable[[], bool],
        limits: CallerLimits | None = None,
    ) -> None:
        super().__init__(listen)
        self._handler = handler
        self._identifier = identifier
        self._clock = clock
        self._metrics = metrics
        self._draining = draining
        self._limits = limits or CallerLimits()

    def create_connections(self) -> CallerConnections:
        limits = self._limits
        return CallerConnections(
            self.handle,
            limits=ConnectionLimits(max_connections=limits.max_connections),
            find_max_header_bytes=lambda: limits.max_header_bytes,
            find_idle_timeout=lambda: limits.idle_timeout,
            write_timeout=limits.write_timeout,
        )

    def dump(self) -> dict[str, Any]:
        return {**super().dump(), "draining": self._draining()}

    async def serve(self, request: web.BaseRequest) -> web.StreamResponse:
        received = self._clock.now()
        request_id = self._identifier.create_request_id()
        if find_position(request).received_while_closing:
            # it might not be finished before the process is killed
            return await self._refuse(request, request_id, 0, _refuse_stopping())
        refusal, status = _check_request_line(request)
        if refusal is not None:
            return await self._refuse(request, request_id, status, refusal)
        try:
            body = await read_body(
                request,
                limit=self._limits.max_body_bytes,
                timeout=self._limits.body_timeout,
            )
        except BodyError as error:
            return await self._refuse(request, request_id, error.status, error.refusal)
        arrival = ReceivedRequest(
            request_id=request_id,
            pipeline=request.path[len(PATH_PREFIX) :],
            headers=request.headers,
            body=body,
            received=received,
        )
        result = self._identifier.parse(arrival)
        if isinstance(result, Err):
            return await self._refuse(request, request_id, 0, result.err_value)
        exchange = Exchange(request=result.ok_value)
        if exchange.request.stream:
            return await self._answer_stream(request, exchange)
        answer = await self._handler(exchange)
        return await self._deliver(request, answer, find_status(answer))

    async def _refuse(
        self,
        request: web.BaseRequest,
        request_id: str,
        status: int,
        refusal: Refusal,
    ) -> web.StreamResponse:
        self._metrics.count(f"requests.{refusal.code.value}")
        answer = Answer(request_id=request_id, verdict=Verdict.NOT_RUN, refusal=refusal)
        return await self._deliver(request, answer, status or find_status(answer))

    async def _deliver(
        self, request: web.BaseRequest, answer: Answer, status: int
    ) -> web.StreamResponse:
        body = encode_answer(answer)
        response = web.Response(
            body=body,
            status=status,
            headers=create_headers(answer.refusal),
        )
        if status == STATUS_METHOD_NOT_ALLOWED:
            response.headers["Allow"] = METHOD
        if self._draining() or status in CLOSING_STATUSES:
            response.force_close()
        try:
            # a small response goes to the buffer without blocking; if the caller
            # does not read it, TCP_USER_TIMEOUT closes the connection
            if (
                len(body) <= MAX_UNTIMED_RESPONSE
                and not request.protocol.writing_paused
            ):
                await _write(request, response)
                return response
            async with asyncio.timeout(self._limits.write_timeout):
                await _write(request, response)
        except (TimeoutError, ConnectionError):
            self._abandon(request)
        return response

    async def _answer_stream(
        self, request: web.BaseRequest, exchange: Exchange
    ) -> web.StreamResponse:
        response = web.StreamResponse(
            headers={"Content-Type": EVENT_STREAM, "Cache-Control": "no-store"}
        )
        if self._draining():
            response.force_close()
        stream = CallerStream(
            request,
            response,
            limit=self._limits.max_unwritten_bytes,
            write_timeout=self._limits.write_timeout,
            on_abandoned=lambda: self._abandon(request),
        )
        exchange.on_token = stream.send_token
        try:
            answer = await self._handler(exchange)
            if answer.refusal is not None and not stream.started:
                return await self._deliver(request, answer, find_status(answer))
            await stream.finish(answer)
        except (TimeoutError, ConnectionError):
            self._abandon(request)
        finally:
            await stream.close()
        return response

    def _abandon(self, request: web.BaseRequest) -> None:
        # abort instead of close, which would first wait until the caller reads what
        # is buffered; the loss of the connection cancels the request
        transport = request.transport
        if transport is None or transport.is_closing():
            return
        self._metrics.count("callers.abandoned")
        transport.abort()


async def _write(request: web.BaseRequest, response: web.Response) -> None:
    await response.prepare(request)
    await response.write_eof()


def _refuse_stopping() -> Refusal:
    return Refusal(
        code=RefusalCode.NOT_READY,
        message="this instance is stopping",
        retry_after_ms=STOPPING_RETRY_MS,
    )


def _check_request_line(request: web.BaseRequest) -> tuple[Refusal | None, int]:
    path = request.path
    name = path[len(PATH_PREFIX) :]
    if not path.startswith(PATH_PREFIX) or not name or "/" in name:
        refusal = Refusal(
            code=RefusalCode.BAD_REQUEST,
            message=f"unknown path; send requests to {PATH_PREFIX}{{pipeline}}",
            field="path",
            value=path[:MAX_SHOWN],
        )
        return refusal, 404
    if request.method != METHOD:
        refusal = Refusal(
            code=RefusalCode.BAD_REQUEST,
            message=f"method not allowed; use {METHOD}",
            field="method",
            value=request.method[:MAX_SHOWN],
        )
        return refusal, STATUS_METHOD_NOT_ALLOWED
    return None, 0
