"""Reading of callers' request bodies with size and time limits."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from aiohttp.web_protocol import RequestPayloadError

from greengagelatch.errors import Refusal, RefusalCode

from .socket_options import limit_read_size

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from aiohttp import StreamReader
    from aiohttp.web_request import BaseRequest

__all__ = ("CLOSING_STATUSES", "BodyError", "read_body")

STATUS_TIMEOUT = 408
STATUS_TOO_LARGE = 413
STATUS_UNAVAILABLE = 503
#: statuses after which the connection is closed, as the rest of the body is unread
CLOSING_STATUSES = frozenset({STATUS_TIMEOUT, STATUS_TOO_LARGE})
#: size in bytes of one read from a caller, and of the buffer; there may be thousands of
#: connections whose bodies are not read
READ_BYTES = 32 * 1024
#: the same while a body is read
BODY_READ_BYTES = 128 * 1024
#: maximum characters of an invalid value in an error message
MAX_SHOWN = 64
#: milliseconds after which a caller may retry a request whose body was incomplete
RETRY_MS = 1000


class BodyError(Exception):
    """A request body can't be read; ``status`` is the HTTP status to respond with."""

    def __init__(self, status: int, refusal: Refusal) -> None:
        super().__init__(refusal.message)
        self.status = status
        self.refusal = refusal

    @property
    def closes(self) -> bool:
        """Whether the connection is closed, as the rest of the body is unread."""
        return self.status in CLOSING_STATUSES or self.status == STATUS_UNAVAILABLE


async def accept_size(size: int) -> bool:
    """Accept any size."""
    return True


async def read_body(
    request: BaseRequest,
    *,
    limit: int,
    timeout: float,
    reserve: Callable[[int], Awaitable[bool]] = accept_size,
) -> bytes | bytearray:
    """Read the body of a request.

    :param limit: maximum size in bytes
    :param timeout: seconds within which the whole body must arrive
    :param reserve: called with sizes in bytes before as much of the body is read;
        returns whether there is memory for it
    :raises BodyError: if the body is too large, late or malformed, or has no room
    """
    length = request.content_length or 0
    if length > limit:
        raise BodyError(STATUS_TOO_LARGE, _refuse_size(limit, str(length)))
    content = request.content
    if content.is_eof():
        # common case: the body arrived together with the headers
        body = content.read_nowait()
        if len(body) > limit:
            raise BodyError(STATUS_TOO_LARGE, _refuse_size(limit, str(len(body))))
        await _reserve(reserve, len(body))
        return body
    await _reserve(reserve, length)
    # what is read from here on has room
    limit_read_size(request.transport, BODY_READ_BYTES)
    await _send_continue(request)
    try:
        async with asyncio.timeout(timeout):
            return await _read_chunks(content, limit, length, reserve)
    except TimeoutError:
        message = f"request body not received within {timeout:g} s"
        raise BodyError(STATUS_TIMEOUT, _refuse_body(message)) from None
    except RequestPayloadError as error:
        message = f"request body can't be read: {str(error)[:MAX_SHOWN]}"
        raise BodyError(400, _refuse_body(message)) from None
    finally:
        limit_read_size(request.transport, READ_BYTES)


async def _reserve(reserve: Callable[[int], Awaitable[bool]], size: int) -> None:
    if size and not await reserve(size):
        raise BodyError(STATUS_UNAVAILABLE, _refuse_room(size))


async def _read_chunks(
    content: StreamReader,
    limit: int,
    reserved: int,
    reserve: Callable[[int], Awaitable[bool]],
) -> bytearray:
    # one block from the beginning, as joined chunks would be held twice for a moment
    body = bytearray(reserved)
    size = 0
    while chunk := await content.readany():
        start = size
        size += len(chunk)
        if size > limit:
            raise BodyError(STATUS_TOO_LARGE, _refuse_size(limit, f"over {limit}"))
        if size > reserved:
            await _reserve(reserve, size - reserved)
            reserved = size
        body[start:size] = chunk
    del body[size:]
    return body


async def _send_continue(request: BaseRequest) -> None:
    """Send ``100 Continue`` if the caller expects it (RFC 9110, section 10.1.1)."""
    if request.headers.get("Expect", "").lower() != "100-continue":
        return
    await request.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
    # the interim response must not count as the start of the final one
    request.writer.output_size = 0


def _refuse_size(limit: int, value: str) -> Refusal:
    return Refusal(
        code=RefusalCode.TOO_LARGE,
        message=f"request body exceeds the limit of {limit} bytes",
        field="body",
        value=value,
    )


def _refuse_room(size: int) -> Refusal:
    return Refusal(
        code=RefusalCode.OVERLOADED,
        message="this instance has no memory for the request body",
        field="body",
        value=str(size),
        retry_after_ms=RETRY_MS,
    )


def _refuse_body(message: str) -> Refusal:
    return Refusal(
        code=RefusalCode.BAD_REQUEST,
        message=message,
        field="body",
        value="",
        retry_after_ms=RETRY_MS,
    )
