"""Responses of targets, and the connections on which they arrive."""

from __future__ import annotations

import asyncio
import contextlib
import errno
from dataclasses import dataclass
from typing import TYPE_CHECKING

from aiohttp import ClientError
from aiohttp.client_proto import ResponseHandler
from aiohttp.http_exceptions import BadHttpMessage, HttpProcessingError
from aiohttp.streams import EMPTY_PAYLOAD

from greengagelatch.relay.byte_account import HoldingKind

from ..adapters.socket_options import LOSS_RULE, configure_socket, limit_read_size
from .target_dialers import TunnelLostError
from .tunnel_transport import CARRIER, TUNNELLED

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable, Iterable

    from aiohttp import StreamReader
    from aiohttp.http import RawResponseMessage

    from .memory import MemoryController

__all__ = (
    "EventHolding",
    "TargetConnection",
    "TargetResponse",
    "TargetResponseError",
    "create_response_error",
)

#: size in bytes of the read buffer for a response
READ_BUFFER_BYTES = 16 * 1024
#: maximum size in bytes of one read
MAX_READ_BYTES = 32 * 1024
MAX_HEADER_BYTES = 32_768
#: size in bytes of the parts in which the body of a request is written
WRITE_BYTES = 128 * 1024
#: maximum number of informational responses before a response
MAX_INFORMATIONAL = 32
#: maximum size in bytes of what arrives without any part of a head or body, such as the
#: extension of a chunk's size
MAX_OVERHEAD_BYTES = 256 * 1024
#: status codes of responses that never have a body
BODILESS_STATUSES = frozenset({204, 304})
#: results in the answers on one connection from which on it is not reused, as the
#: handles of all of them are kept
MAX_RESULTS = 4096


class TargetResponseError(Exception):
    """A response is missing or incomplete; the request may have run.

    :param broken: whether the target closed or reset the connection
    :param path_lost: whether the connection was direct and the target is reached
        through peers only now, so that it may be well
    :param silent: whether it was given up as the target was silent
    :param endured: whether that silence is recorded, as the request waited on before
    :param own: whether this instance has caused it, so that the target may be well
    """

    def __init__(
        self,
        message: str,
        *,
        broken: bool = False,
        path_lost: bool = False,
        silent: bool = False,
        endured: bool = False,
        own: bool = False,
    ) -> None:
        super().__init__(message)
        self.own = own
        self.broken = broken
        self.path_lost = path_lost
        self.silent = silent
        self.endured = endured


class TargetConnection(ResponseHandler):
    """One connection; records whether it was reset."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        #: error that ended it; ``None`` while it is open and after an orderly close
        self.loss: BaseException | None = None
        #: monotonic times in seconds since which it is idle, and until which it may be
        #: reused
        self.idle_since = self.reusable_until = 0.0
        #: handles of the results in the answers that arrived on it
        self._handles: set[str] = set()
        #: whether a peer carries it, and the id of that peer
        self.tunnelled, self.carrier = False, ""
        #: bytes received since the last part of a head or body
        self._overhead_bytes = 0
        #: what was received of the current body by then
        self._body: StreamReader | None = None
        self._body_bytes = 0
        #: writes the rest of a request's body, while the response may arrive already
        self._writing: asyncio.Task[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.tunnelled = bool(transport.get_extra_info(TUNNELLED))
        self.carrier = transport.get_extra_info(CARRIER) or ""
        limit_read_size(transport, MAX_READ_BYTES)
        configure_socket(transport.get_extra_info("socket"), LOSS_RULE)

    def connection_lost(self, exc: BaseException | None) -> None:
        # the parser takes the end of the connection for the end of a response without
        # a length, even if a reset truncated it
        self.loss = exc
        self._stop_writing()
        super().connection_lost(exc)

    def abort(self) -> None:
        self._stop_writing()
        super().abort()

    def data_received(self, data: bytes) -> None:
        super().data_received(data)
        error = self.exception()
        if error is not None:
            self._fail_body(error)
            return
        body, received = self._payload, getattr(self._payload, "total_bytes", 0)
        if body is not self._body or received != self._body_bytes:
            self._body, self._body_bytes = body, received
            self._overhead_bytes = 0
            return
        self._overhead_bytes += len(data)
        if self._overhead_bytes > MAX_OVERHEAD_BYTES:
            self._reject(f"more than {MAX_OVERHEAD_BYTES} bytes without head or body")

    def _reject(self, reason: str) -> None:
        """Close the connection, as its data is no response."""
        error = BadHttpMessage(reason)
        self._fail_body(error)
        self.set_exception(error)
        self.abort()

    def _fail_body(self, error: BaseException) -> None:
        """Tell the reader of the current body, unless the body is complete.

        The parser does not, and forgets the body.
        """
        if self._payload is not None and not self._payload.is_eof():
            self._payload.set_exception(error)

    @property
    def reusable(self) -> bool:
        """Whether it is direct and no data of an earlier request is left on it."""
        if not self.is_connected() or self.should_close:
            return False
        # once idle, a tunnel would hold up a planned stop of the peer that carries it
        if self.tunnelled or len(self._handles) >= MAX_RESULTS:
            return False
        if self._writing is not None and not self._writing.done():
            return False
        return self.transport.get_write_buffer_size() == 0

    def record_results(self, handles: Iterable[str]) -> bool:
        """Record the results in an answer; return whether all of them are new."""
        handles = set(handles)
        is_new = self._handles.isdisjoint(handles)
        self._handles |= handles
        return is_new

    def expect_response(self, method: str) -> None:
        """Prepare for the response to a request that is about to be written."""
        self.set_response_params(
            skip_payload=method == "HEAD",
            read_until_eof=True,
            auto_decompress=False,
            read_bufsize=READ_BUFFER_BYTES,
            max_line_size=MAX_HEADER_BYTES,
            max_field_size=MAX_HEADER_BYTES,
        )

    def write_request(self, head: bytes, body: bytes) -> None:
        """Write a request, the rest of a large body as the target reads it."""
        view = memoryview(body)
        self.transport.write(head + view[:WRITE_BYTES])
        self._writing = None
        if len(view) > WRITE_BYTES:
            self._writing = asyncio.create_task(self._write(view[WRITE_BYTES:]))

    async def _write(self, body: memoryview) -> None:
        # a lost connection is reported to whoever reads the response
        with contextlib.suppress(ConnectionError):
            for start in range(0, len(body), WRITE_BYTES):
                await self._drain_helper()
                if self.transport is None:
                    return
                self.transport.write(body[start : start + WRITE_BYTES])

    def _stop_writing(self) -> None:
        if self._writing is not None:
            self._writing.cancel()
            self._writing = None

    async def read_head(self) -> tuple[RawResponseMessage, StreamReader]:
        """Return the head of the response and the reader of its body."""
        for _ in range(MAX_INFORMATIONAL + 1):
            message, content = await self.read()
            # skip informational responses such as 100
            if message.code >= 200:
                return message, content
        raise BadHttpMessage(f"more than {MAX_INFORMATIONAL} informational responses")


@dataclass(slots=True)
class TargetResponse:
    """A response whose head was received; it must be released or aborted."""

    message: RawResponseMessage
    content: StreamReader
    _connection: TargetConnection
    _release: Callable[[TargetConnection, RawResponseMessage], None]
    #: returns whether the connection is direct although its target is reached through
    #: peers only
    is_path_lost: Callable[[], bool]
    _memory: MemoryController
    #: whether other responses arrived on the connection before
    reused: bool = False

    @property
    def carrier(self) -> str:
        """Id of the peer that carries the connection; empty: it is direct."""
        return self._connection.carrier

    @property
    def is_framed(self) -> bool:
        """Whether its end is known without that of its connection."""
        message = self.message
        has_length = "Content-Length" in message.headers
        return message.chunked or has_length or message.code in BODILESS_STATUSES

    @property
    def stated_length(self) -> int | None:
        """Length in bytes of the body that follows; ``None``: it isn't stated."""
        if self.message.chunked or self.content is EMPTY_PAYLOAD:
            return None
        length = self.message.headers.get("Content-Length", "")
        return int(length) if length.isdecimal() else None

    async def iterate(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives.

        :raises TargetResponseError: if the body is truncated
        """
        try:
            while chunk := await self.content.readany():
                yield chunk
        except (ClientError, HttpProcessingError, OSError) as error:
            raise create_response_error(
                "response truncated", error, self._connection.loss, self.is_path_lost()
            ) from error
        if self._connection.loss is not None and not self.is_framed:
            raise TargetResponseError(
                "connection reset during a response without a length",
                broken=not isinstance(self._connection.loss, TunnelLostError),
                path_lost=self.is_path_lost(),
            )

    def open_events(self) -> EventHolding:
        """Return the room for the incomplete events of the body."""
        return EventHolding(self._memory)

    async def read(self, limit: int) -> bytes:
        """Return the complete body.

        :raises TargetResponseError: if it is truncated or exceeds ``limit`` bytes, or
            if there is no memory for it
        """
        holding = self._memory.open(HoldingKind.ANSWERS)
        body = bytearray()
        expected = self.stated_length or 0
        try:
            if expected <= limit and not await self._memory.reserve(holding, expected):
                raise TargetResponseError("no memory for the response", own=True)
            async for chunk in self.iterate():
                size = len(body) + len(chunk)
                if size > limit:
                    raise TargetResponseError(f"response exceeds {limit} bytes")
                # one that has to wait in the middle could keep others from their rest
                if size > holding.size and not self._memory.try_resize(holding, size):
                    raise TargetResponseError("no memory for the response", own=True)
                body += chunk
        finally:
            holding.release()
        return bytes(body)

    def record_results(self, handles: Iterable[str]) -> bool:
        """Record the results in the response; return whether they are new.

        Those in an earlier answer on the same connection belong to its call.
        """
        return self._connection.record_results(handles)

    def release(self) -> None:
        """Return the connection to the pool if it is reusable."""
        self._release(self._connection, self.message)

    def abort(self) -> None:
        """Close the connection immediately; the target may cancel its work."""
        self._connection.abort()


class EventHolding:
    """Room for the incomplete event of one stream; it must be released."""

    def __init__(self, memory: MemoryController) -> None:
        self._memory = memory
        self._holding = memory.open(HoldingKind.EVENTS)

    def resize(self, size: int) -> None:
        """Hold ``size`` bytes.

        :raises TargetResponseError: if there is no memory for them
        """
        if not self._memory.try_resize(self._holding, size):
            raise TargetResponseError("no memory for an event", own=True)

    def release(self) -> None:
        """Give the room back."""
        self._holding.release()


def create_response_error(
    what: str, error: Exception, loss: BaseException | None, path_lost: bool
) -> TargetResponseError:
    """Create the error of a lost response.

    :param loss: error that ended the connection; ``None`` if there was none
    """
    # malformed data comes from a live process, and the loss of a peer that carried the
    # connection says nothing about the target
    malformed = isinstance(error, HttpProcessingError)
    broken = not malformed and not isinstance(loss, TunnelLostError)
    reason = f"{what}: {type(error).__name__}"
    code = getattr(loss, "errno", None)
    if code in errno.errorcode:
        reason += f" ({errno.errorcode[code]})"
    return TargetResponseError(reason, broken=broken, path_lost=path_lost)
