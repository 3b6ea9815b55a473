"""HTTP server for callers whose requests are passed on unchanged."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from greengagelatch.errors import Refusal, RefusalCode
from greengagelatch.relay.requests import RefusedError
from greengagelatch.verdict import Verdict

from ..adapters.caller_bodies import CLOSING_STATUSES, BodyError, read_body
from ..adapters.caller_connections import CallerConnections, find_use
from ..adapters.caller_listener import CallerListener
from .exchange import AnswerWriter, CallerGoneError, RelayExchange
from .refusals import describe, find_refusal_status

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from aiohttp import web

    from greengagelatch.clock import Clock
    from greengagelatch.relay.deployment import CallerLimits

    from ..metrics import Metrics
    from .codecs import CallerCodec

__all__ = ("RelayFront",)

logger = logging.getLogger(__name__)

#: connections of callers; the instances' descriptors are shared with targets
MAX_CONNECTIONS = 2400
#: seconds beyond the callers' own bound for which an idle connection is kept, so
#: that none is closed while a request is on its way
IDLE_MARGIN = 5.0
#: seconds allowed for writing to a caller before the kernel gives it up
WRITE_TIMEOUT = 5.0


class RelayFront(CallerListener):
    """Reads a request, has it handled, and sees to it that it is answered once."""

    name = "front"
    # a burst of new connections beyond it would wait for seconds to be let in
    backlog = 1024

    def __init__(
        self,
        *,
        listen: str,
        codec: CallerCodec,
        handler: Callable[[RelayExchange], Awaitable[None]],
        bounds: Callable[[], CallerLimits],
        draining: Callable[[], bool],
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        super().__init__(listen)
        self._codec = codec
        self._handler = handler
        self._bounds = bounds
        self._draining = draining
        self._clock = clock
        self._metrics = metrics

    def create_connections(self) -> CallerConnections:
        bounds = self._bounds()
        return CallerConnections(
            self.handle,
            max_connections=MAX_CONNECTIONS,
            max_header_bytes=bounds.max_header_bytes,
            idle_timeout=bounds.idle_timeout + IDLE_MARGIN,
            write_timeout=WRITE_TIMEOUT,
        )

    async def serve(self, request: web.BaseRequest) -> web.StreamResponse:
        received = self._clock.now()
        writer = AnswerWriter(
            request, keep=self._keeps_connections, note_sent=self._note_sent
        )
        use = find_use(request)
        request_id = ""
        try:
            # a late one is refused, whatever its body
            body = b"" if use.late else await self._read_body(request)
            opaque = self._codec.decode(
                method=request.method,
                target=request.raw_path,
                headers=request.raw_headers,
                body=body,
                received=received,
            )
            request_id = opaque.request_id
            await self._handler(RelayExchange(request=opaque, writer=writer, use=use))
        except BodyError as error:
            await self._refuse(writer, request_id, error.refusal, error.status)
        except RefusedError as error:
            await self._refuse(writer, request_id, error.refusal, error.status)
        except CallerGoneError:
            self._metrics.count("front.gone")
        except Exception:
            logger.exception("request %s failed", request_id)
            self._metrics.count("front.errors")
            refusal = Refusal(
                code=RefusalCode.INTERNAL,
                message="error of this instance",
                verdict=Verdict.MAY_HAVE_RUN,
            )
            await self._refuse(writer, request_id, refusal, 0)
        return writer.response

    async def _read_body(self, request: web.BaseRequest) -> bytes:
        bounds = self._bounds()
        return await read_body(
            request, limit=bounds.max_body_bytes, timeout=bounds.header_timeout
        )

    def _note_sent(self, size: int) -> None:
        self._metrics.count("front.bytes_out", size)

    def _keeps_connections(self) -> bool:
        return not self._draining() and not self.closing

    async def _refuse(
        self, writer: AnswerWriter, request_id: str, refusal: Refusal, status: int
    ) -> None:
        if writer.started:
            # a part of another answer is out: only a cut is honest
            writer.abort()
            return
        status = status or find_refusal_status(refusal)
        headers, body = describe(request_id, refusal)
        try:
            await writer.send(status, headers, body, close=status in CLOSING_STATUSES)
        except CallerGoneError:
            self._metrics.count("front.gone")
