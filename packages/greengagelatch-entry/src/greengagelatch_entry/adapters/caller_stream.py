"""Streamed response to one caller."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import xxhash
from aiohttp import web

from .bounded_connections import WRITE_BUFFER_BYTES
from .caller_answers import describe_end, describe_refusal
from .event_stream import encode_event, encode_token

if TYPE_CHECKING:
    from collections.abc import Callable

    from greengagelatch.request import Answer

__all__ = ("CallerStream",)

#: maximum bytes of a write to an empty buffer that is made without a timer: it never
#: blocks, as writers are paused only from twice as many on
MAX_UNTIMED_WRITE = WRITE_BUFFER_BYTES // 2


class CallerStream:
    """Writes tokens as they arrive, followed by exactly one closing event.

    The engine produces tokens regardless of how fast the caller reads. If more than
    ``limit`` bytes are unwritten, or a write takes longer than ``write_timeout``
    seconds, the caller is considered gone.

    :param on_abandoned: called if the caller does not read; cancels the request
    """

    def __init__(
        self,
        request: web.BaseRequest,
        response: web.StreamResponse,
        *,
        limit: int,
        write_timeout: float,
        on_abandoned: Callable[[], None],
    ) -> None:
        self._request = request
        self._response = response
        self._limit = limit
        self._write_timeout = write_timeout
        self._on_abandoned = on_abandoned
        self._pending: list[bytes] = []
        self._unwritten_bytes = 0
        self._count = 0
        self._digest = xxhash.xxh64()
        self._data_ready = asyncio.Event()
        self._finished = False
        self._abandoned = False
        self._writer: asyncio.Task[None] | None = None

    @property
    def started(self) -> bool:
        """Whether the response was started."""
        return self._writer is not None

    def send_token(self, offset: int, text: str) -> None:
        """Queue a token event."""
        if self._writer is None:
            self._writer = asyncio.create_task(self._write())
        self._digest.update(text.encode("utf-8", "surrogatepass"))
        self._count += 1
        self._queue(encode_token(offset, text))

    async def finish(self, answer: Answer) -> None:
        """Write the closing event and wait until all events are written."""
        if self._writer is None:
            self._writer = asyncio.create_task(self._write())
        if answer.refusal is not None:
            fields = describe_refusal(answer.request_id, answer.refusal)
            event = encode_event("refusal", fields)
        else:
            self._send_unstreamed_result(answer.result)
            fields = describe_end(
                answer, count=self._count, digest=self._digest.hexdigest()
            )
            event = encode_event("end", fields)
        self._finished = True
        self._queue(event)
        await self._writer

    async def close(self) -> None:
        """Stop writing; a stream without a closing event is treated as truncated."""
        if self._writer is None:
            return
        self._writer.cancel()
        # also retrieves an error that was raised before the request was cancelled
        await asyncio.gather(self._writer, return_exceptions=True)

    def _send_unstreamed_result(self, result: Any) -> None:
        # a replayed result, or one of a target that does not stream, has no tokens:
        # the caller gets it as a single one
        if self._count == 0 and isinstance(result, str) and result:
            self.send_token(0, result)

    def _queue(self, event: bytes) -> None:
        if self._abandoned:
            self._data_ready.set()
            return
        self._pending.append(event)
        self._unwritten_bytes += len(event)
        self._data_ready.set()
        if self._unwritten_bytes > self._limit and not self._finished:
            self._abandon()

    def _abandon(self) -> None:
        self._abandoned = True
        self._pending.clear()
        self._on_abandoned()

    async def _write(self) -> None:
        try:
            async with asyncio.timeout(self._write_timeout):
                await self._response.prepare(self._request)
            while not (self._finished and not self._pending):
                await self._data_ready.wait()
                self._data_ready.clear()
                chunk = b"".join(self._pending)
                self._pending.clear()
                if self._fits_write_buffer(chunk):
                    await self._response.write(chunk)
                else:
                    async with asyncio.timeout(self._write_timeout):
                        await self._response.write(chunk)
                self._unwritten_bytes -= len(chunk)
            async with asyncio.timeout(self._write_timeout):
                await self._response.write_eof()
        except (TimeoutError, ConnectionError):
            self._abandon()
            raise

    def _fits_write_buffer(self, chunk: bytes) -> bool:
        """Whether a write can't block, so that it needs no timer.

        A timer for each token would cost as much as the write.
        """
        transport = self._request.transport
        if transport is None or len(chunk) > MAX_UNTIMED_WRITE:
            return False
        return transport.get_write_buffer_size() == 0
