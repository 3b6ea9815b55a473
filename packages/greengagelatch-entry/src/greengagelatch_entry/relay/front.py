"""HTTP server for callers of opaque requests."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from greengagelatch.errors import Refusal, RefusalCode
from greengagelatch.relay.byte_account import HEAD_COPIES, HoldingKind
from greengagelatch.relay.requests import RefusedError
from greengagelatch.verdict import Verdict

from ..adapters.caller_bodies import (
    CLOSING_STATUSES,
    BodyError,
    BodyRoom,
    read_body,
)
from ..adapters.caller_connections import CallerConnections, find_position
from ..adapters.caller_listener import CallerListener
from .exchange import CallerDisconnectedError, RelayExchange, ResponseWriter
from .refusals import encode_refusal, find_refusal_status

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from aiohttp import web

    from greengagelatch.clock import Clock
    from greengagelatch.connection_limits import ConnectionLimits
    from greengagelatch.relay.byte_account import ByteHolding
    from greengagelatch.relay.deployment import CallerLimits

    from ..metrics import Metrics
    from .codecs import CallerCodec
    from .memory import MemoryController

__all__ = ("RelayFront",)

logger = logging.getLogger(__name__)

#: seconds added to the callers' own idle timeout, so that the server closes no
#: connection on which a request is in transit
IDLE_MARGIN_SECONDS = 5.0
#: seconds without an acknowledgement after which the kernel drops a connection
WRITE_TIMEOUT = 5.0


class _HeldRoom(BodyRoom):
    """Room for a request body in the account of the instance."""

    def __init__(self, memory: MemoryController, holding: ByteHolding) -> None:
        self._memory = memory
        self._holding = holding
        self.largest = memory.largest

    async def reserve(self, size: int) -> bool:
        return await self._memory.reserve(self._holding, size)

    def give_back(self, size: int) -> None:
        self._holding.shrink(size)


class RelayFront(CallerListener):
    """Reads each request, runs the handler and ensures exactly one response.

    :param on_limit: called with the listener, the name of a limit, and the address of
        the client whose connection is closed or rejected by it
    """

    name = "front"
    # accept queue: connections of a burst beyond it are delayed by seconds
    backlog = 1024

    def __init__(
        self,
        *,
        listen: str,
        codec: CallerCodec,
        handler: Callable[[RelayExchange], Awaitable[None]],
        find_limits: Callable[[], CallerLimits],
        is_draining: Callable[[], bool],
        connection_limits: ConnectionLimits,
        on_limit: Callable[[str, str, str], None],
        memory: MemoryController,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        super().__init__(listen)
        self._connection_limits = connection_limits
        self._on_limit = on_limit
        self._heads = memory.open(HoldingKind.HEADS)
        self._codec = codec
        self._handler = handler
        self._find_limits = find_limits
        self._is_draining = is_draining
        self._memory = memory
        self._clock = clock
        self._metrics = metrics

    def create_connections(self) -> CallerConnections:
        return CallerConnections(
            self.handle,
            limits=self._connection_limits,
            on_limit=self._record_limit,
            on_held=self._hold_heads,
            find_max_header_bytes=lambda: self._find_limits().max_header_bytes,
            find_idle_timeout=self._find_idle_timeout,
            write_timeout=WRITE_TIMEOUT,
            # targets receive bodies as they are, with their Content-Encoding
            decompress_bodies=False,
        )

    async def serve(self, request: web.BaseRequest) -> web.StreamResponse:
        received = self._clock.now()
        writer = ResponseWriter(
            request,
            keep_alive=self._keeps_connections,
            on_bytes_sent=self._count_bytes_sent,
        )
        use = find_position(request)
        request_id = ""
        holding = self._memory.open(HoldingKind.REQUESTS)
        try:
            # a late request is refused without reading its body
            body = b""
            if not use.received_while_closing:
                body = await self._read_body(request, holding)
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
            await self._refuse(
                writer, request_id, error.refusal, error.status, close=error.closes
            )
        except RefusedError as error:
            await self._refuse(writer, request_id, error.refusal, error.status)
        except CallerDisconnectedError:
            self._metrics.count("front.gone")
        except Exception:
            logger.exception("unhandled exception while serving request %s", request_id)
            self._metrics.count("front.errors")
            refusal = Refusal(
                code=RefusalCode.INTERNAL,
                message="internal error of this instance",
                verdict=Verdict.MAY_HAVE_RUN,
            )
            await self._refuse(writer, request_id, refusal, 0)
        finally:
            holding.release()
        return writer.response

    async def _read_body(self, request: web.BaseRequest, holding: ByteHolding) -> bytes:
        limits = self._find_limits()
        return await read_body(
            request,
            limit=limits.max_body_bytes,
            timeout=limits.header_timeout,
            room=_HeldRoom(self._memory, holding),
        )

    def _record_limit(self, limit: str, peer: str) -> None:
        self._on_limit(self.name, limit, peer)

    def _hold_heads(self, size: int) -> None:
        self._heads.resize(size * HEAD_COPIES)

    def _find_idle_timeout(self) -> float:
        return self._find_limits().idle_timeout + IDLE_MARGIN_SECONDS

    def _count_bytes_sent(self, size: int) -> None:
        self._metrics.count("front.bytes_out", size)

    def _keeps_connections(self) -> bool:
        return not self._is_draining() and not self.closing

    async def _refuse(
        self,
        writer: ResponseWriter,
        request_id: str,
        refusal: Refusal,
        status: int,
        *,
        close: bool = False,
    ) -> None:
        if writer.complete:
            # an abort would discard the bytes that are still buffered
            return
        if writer.started:
            # a partial response has been sent; only an abort marks it as incomplete
            writer.abort()
            return
        status = status or find_refusal_status(refusal)
        headers, body = encode_refusal(request_id, refusal)
        try:
            await writer.send(
                status, headers, body, close=close or status in CLOSING_STATUSES
            )
        except CallerDisconnectedError:
            self._metrics.count("front.gone")
