"""Reading of callers' request bodies with size and time limits."""

from __future__ import annotations

import asyncio
import sys
from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

from aiohttp.web_protocol import RequestPayloadError

from greengagelatch.errors import Refusal, RefusalCode

from .bounded_connections import READ_BYTES
from .socket_options import limit_read_size

if TYPE_CHECKING:
    from aiohttp import StreamReader
    from aiohttp.web_request import BaseRequest

__all__ = ("CLOSING_STATUSES", "BodyError", "BodyRoom", "read_body")

STATUS_TIMEOUT = 408
STATUS_TOO_LARGE = 413
STATUS_UNAVAILABLE = 503
#: statuses after which the connection is closed, as the rest of the body is unread
CLOSING_STATUSES = frozenset({STATUS_TIMEOUT, STATUS_TOO_LARGE})
#: the same while a body is read
BODY_READ_BYTES = 128 * 1024
#: size in bytes up to which a body without a stated length gets its room step by step
SMALL_BODY_BYTES = 64 * 1024
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


class BodyRoom(ABC):
    """Memory for one request body."""

    #: size in bytes of the largest body that could have room
    largest: int

    @abstractmethod
    async def reserve(self, size: int) -> bool:
        """Reserve ``size`` bytes more; return whether there is room for them."""

    @abstractmethod
    def give_back(self, size: int) -> None:
        """Give back ``size`` bytes that are not needed."""


class UnlimitedRoom(BodyRoom):
    """Room for any body."""

    largest = sys.maxsize

    async def reserve(self, size: int) -> bool:
        return True

    def give_back(self, size: int) -> None:
        pass


async def read_body(
    request: BaseRequest,
    *,
    limit: int,
    timeout: float,
    room: BodyRoom | None = None,
) -> bytes | bytearray:
    """Read the body of a request.

    :param limit: maximum size in bytes
    :param timeout: seconds within which the whole body must arrive
    :param room: memory that is reserved for it; ``None``: there is always enough
    :raises BodyError: if the body is too large, late or malformed, or has no room
    """
    room = room or UnlimitedRoom()
    length = request.content_length or 0
    if length > limit:
        raise BodyError(STATUS_TOO_LARGE, _refuse_size(limit, str(length)))
    content = request.content
    if content.is_eof():
        # common case: the body arrived together with the headers
        body = content.read_nowait()
        if len(body) > limit:
            raise BodyError(STATUS_TOO_LARGE, _refuse_size(limit, str(len(body))))
        await _reserve(room, len(body))
        return body
    reserved = 0
    if _expects_continue(request):
        await _reserve(room, length)
        reserved = length
        await _send_continue(request)
    try:
        async with asyncio.timeout(timeout):
            return await _BodyReader(request, limit, length, room).read(reserved)
    except TimeoutError:
        message = f"request body not received within {timeout:g} s"
        raise BodyError(STATUS_TIMEOUT, _refuse_body(message)) from None
    except RequestPayloadError as error:
        message = f"request body can't be read: {str(error)[:MAX_SHOWN]}"
        raise BodyError(400, _refuse_body(message)) from None
    finally:
        limit_read_size(request.transport, READ_BYTES)


async def _reserve(room: BodyRoom, size: int) -> None:
    if size > 0 and not await room.reserve(size):
        raise BodyError(STATUS_UNAVAILABLE, _refuse_room(size))


class _BodyReader:
    """Reads a body that arrives in parts into one block."""

    def __init__(
        self, request: BaseRequest, limit: int, length: int, room: BodyRoom
    ) -> None:
        self._request = request
        self._content: StreamReader = request.content
        self._limit = limit
        self._length = length
        self._room = room

    async def read(self, reserved: int) -> bytearray:
        """Return the body.

        Room is reserved once the first part has arrived, so that callers that send
        nothing take none up.

        :param reserved: size in bytes that is reserved already
        """
        # one block from the beginning, as joined parts would be held twice
        body = bytearray(reserved)
        size = 0
        while chunk := await self._content.readany():
            start = size
            size += len(chunk)
            if size > self._limit:
                shown = f"over {self._limit}"
                raise BodyError(STATUS_TOO_LARGE, _refuse_size(self._limit, shown))
            if size > reserved:
                wanted = self._find_room(size)
                await _reserve(self._room, wanted - reserved)
                reserved = wanted
                body.extend(bytes(max(0, self._length - len(body))))
                # what is read from here on has room
                limit_read_size(self._request.transport, BODY_READ_BYTES)
            body[start:size] = chunk
        del body[size:]
        self._room.give_back(reserved - size)
        return body

    def _find_room(self, size: int) -> int:
        """Return the size in bytes to be reserved, as ``size`` bytes have arrived.

        A body that states no length gets room for the largest once it is not small: if
        several grew step by step, none would have room for its rest.
        """
        if self._length:
            return self._length
        if size <= SMALL_BODY_BYTES:
            return size
        return max(size, min(self._limit, self._room.largest))


def _expects_continue(request: BaseRequest) -> bool:
    return request.headers.get("Expect", "").lower() == "100-continue"


async def _send_continue(request: BaseRequest) -> None:
    """Send ``100 Continue`` (RFC 9110, section 10.1.1)."""
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
