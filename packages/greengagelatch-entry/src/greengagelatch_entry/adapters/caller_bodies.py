"""Bodies of callers' requests, bounded in size and time."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from aiohttp import web

from greengagelatch.errors import Refusal, RefusalCode

if TYPE_CHECKING:
    from aiohttp import StreamReader

__all__ = ("CLOSING_STATUSES", "BodyError", "read_body")

STATUS_TIMEOUT = 408
STATUS_TOO_LARGE = 413
#: after these the rest of the body is not read, so the connection can't be kept
CLOSING_STATUSES = frozenset({STATUS_TIMEOUT, STATUS_TOO_LARGE})
#: characters of an offending value that are shown
MAX_SHOWN = 64
#: milliseconds after which a caller may ask again where its body was cut
RETRY_MS = 1000


class BodyError(Exception):
    """A body that can't be read; ``status`` is the answer's HTTP status."""

    def __init__(self, status: int, refusal: Refusal) -> None:
        super().__init__(refusal.message)
        self.status = status
        self.refusal = refusal


async def read_body(request: web.BaseRequest, *, limit: int, timeout: float) -> bytes:
    """Return a request's body.

    :param limit: most bytes
    :param timeout: seconds until it must be there
    :raises BodyError: if it is larger, later or not valid
    """
    length = request.content_length or 0
    if length > limit:
        raise BodyError(STATUS_TOO_LARGE, _refuse_size(limit, str(length)))
    content = request.content
    if content.is_eof():
        # the usual case: the body came with the head
        body = content.read_nowait()
        if len(body) > limit:
            raise BodyError(STATUS_TOO_LARGE, _refuse_size(limit, str(len(body))))
        return body
    await _invite_body(request)
    try:
        async with asyncio.timeout(timeout):
            return await _collect(content, limit)
    except TimeoutError:
        message = f"body not received within {timeout:g} s"
        raise BodyError(STATUS_TIMEOUT, _refuse_body(message)) from None
    except web.RequestPayloadError as error:
        message = f"body can't be read: {str(error)[:MAX_SHOWN]}"
        raise BodyError(400, _refuse_body(message)) from None


async def _collect(content: StreamReader, limit: int) -> bytes:
    chunks: list[bytes] = []
    size = 0
    while chunk := await content.readany():
        size += len(chunk)
        if size > limit:
            raise BodyError(STATUS_TOO_LARGE, _refuse_size(limit, f"over {limit}"))
        chunks.append(chunk)
    return b"".join(chunks)


async def _invite_body(request: web.BaseRequest) -> None:
    """Ask for the body where the caller waits to be asked (RFC 9110, 10.1.1)."""
    if request.headers.get("Expect", "").lower() != "100-continue":
        return
    await request.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
    # the answer proper has not begun
    request.writer.output_size = 0


def _refuse_size(limit: int, value: str) -> Refusal:
    return Refusal(
        code=RefusalCode.TOO_LARGE,
        message=f"the body exceeds {limit} bytes",
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
