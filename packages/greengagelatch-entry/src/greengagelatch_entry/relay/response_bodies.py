"""Bodies of responses, held as far as they are received and not sent yet."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from greengagelatch.relay.byte_account import HoldingKind

from .target_responses import TargetResponseError

if TYPE_CHECKING:
    from collections.abc import Iterator

    from greengagelatch.relay.byte_account import ByteHolding

    from .memory import MemoryController
    from .target_responses import TargetResponse

__all__ = ("ResponseBodies", "ResponseBody")

#: maximum size in bytes of a forwarded response
MAX_RESPONSE_BYTES = 32 * 1024 * 1024


class ResponseBody:
    """Body of one response; its parts are held until they are taken."""

    def __init__(
        self, response: TargetResponse, holding: ByteHolding, memory: MemoryController
    ) -> None:
        #: length in bytes that the head states; ``None``: it states none
        self.stated_length = response.stated_length
        self._holding = holding
        self._memory = memory
        self._chunks = response.iterate()
        self._parts: deque[bytes] = deque()
        #: bytes received
        self.size = 0

    async def read(self, *, may_wait: bool) -> bool:
        """Read on until the end; return whether there was room for all of it.

        :param may_wait: whether to wait for room before anything is read
        :raises TargetResponseError: if the body is truncated or too large
        """
        if not await self._reserve(self._find_expected_bytes(), may_wait):
            return False
        while part := await self.read_part():
            self._parts.append(part)
            # one that has to wait in the middle could keep others from their rest
            if not await self._reserve(self.size - self._holding.size, False):
                return False
        return True

    async def read_part(self) -> bytes:
        """Return the next part as it arrives; empty at the end.

        :raises TargetResponseError: if the body is truncated or too large
        """
        part = await anext(self._chunks, b"")
        self.size += len(part)
        if self.size > MAX_RESPONSE_BYTES:
            raise TargetResponseError(f"response exceeds {MAX_RESPONSE_BYTES} bytes")
        return part

    def take_parts(self) -> Iterator[bytes]:
        """Yield the parts that are held, and give back each after its use."""
        while self._parts:
            part = self._parts.popleft()
            yield part
            self._holding.shrink(len(part))

    def release(self) -> None:
        """Drop the parts that are held."""
        self._parts.clear()
        self._holding.release()

    def _find_expected_bytes(self) -> int:
        length = self.stated_length or 0
        # one that is too large is given up as it exceeds the limit
        return length if length <= MAX_RESPONSE_BYTES else 0

    async def _reserve(self, size: int, may_wait: bool) -> bool:
        if size <= 0:
            return True
        if may_wait:
            return await self._memory.reserve(self._holding, size)
        return self._memory.try_reserve(self._holding, size)


class ResponseBodies:
    """Bodies of the responses to one request; they are released together."""

    def __init__(self, memory: MemoryController) -> None:
        self._memory = memory
        self._bodies: list[ResponseBody] = []

    def open(self, response: TargetResponse) -> ResponseBody:
        """Return the body of a response, of which nothing is read yet."""
        holding = self._memory.open(HoldingKind.RESPONSES)
        body = ResponseBody(response, holding, self._memory)
        self._bodies.append(body)
        return body

    def release(self) -> None:
        """Drop what is held of all of them."""
        for body in self._bodies:
            body.release()
