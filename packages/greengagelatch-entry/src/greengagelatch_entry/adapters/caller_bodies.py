"""Reading of callers' request bodies with size and time limits."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from aiohttp.web_protocol import RequestPayloadError

from greengagelatch.errors import Refusal, RefusalCode

if TYPE_CHECKING:
    from aiohttp import StreamReader
    from aiohttp.web_request import BaseRequest

__all__ = ("CLOSING_STATUSES", "BodyError", "read_body")

STATUS_TIMEOUT = 408
STATUS_TOO_LARGE = 413
#: statuses after which the connection is closed, as the rest of the body is unread
CLOSING_STATUSES = frozenset({STATUS_TIMEOUT, STATUS_TOO_LARGE})
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


async def read_body(request: BaseRequest, *, limit: int, timeout: float) -> bytes:
    """Read the body of a request.

    :param limit: maximum size in bytes
    :param timeout: seconds within which the whole body must arrive
    :raises BodyError: if the body is too large, late or malformed
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
        return body
    await _send_continue(request)
    try:
        async with asyncio.timeout(timeout):
            return await _read_chunks(content, limit)
    except TimeoutError:
        message = f"request body not received within {timeout:g} s"
        raise BodyError(STATUS_TIMEOUT, _refuse_body(message)) from None
    except RequestPayloadError as error:
        message = f"request body can't be read: {str(error)[:MAX_SHOWN]}"
        raise BodyError(400, _refuse_body(message)) from None


async def _read_chunks(content: StreamReader, limit: int) -> bytes:
    chunks: list[bytes] = []
    size = 0
    while chunk := await content.readany():
        size += len(chunk)
        if size > limit:
            raise BodyError(STATUS_TOO_LARGE, _refuse_size(limit, f"over {limit}"))
        chunks.append(chunk)
    return b"".join(chunks)


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


def _refuse_body(message: str) -> Refusal:
    return Refusal(
        code=RefusalCode.BAD_REQUEST,
        message=message,
        field="body",
        value="",
        retry_after_ms=RETRY_MS,
    )
