"""Exchange of hellos at the start of a link."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import TYPE_CHECKING

from result import Ok

from greengagelatch.peers.codec import PROTOCOL_VERSION, Envelope, decode
from greengagelatch.peers.messages import Hello

if TYPE_CHECKING:
    from collections.abc import Callable

    from .peer_sockets import Connection

__all__ = ("Handshake", "truncate_reason")

#: most bytes of the reason in a close frame
MAX_REASON_BYTES = 123


class Handshake:
    """Creates the hellos of this instance, and reads and checks those of peers.

    :param check_hello: returns why a peer's hello is invalid; empty if it is valid
    :param timeout: seconds within which a peer must have sent its hello
    :param last_number: sequence number before that of the first hello
    """

    def __init__(
        self,
        *,
        create_hello: Callable[[], Hello],
        check_hello: Callable[[Hello], str],
        timeout: float,
        last_number: int,
    ) -> None:
        self._create_hello = create_hello
        self._check_hello = check_hello
        self._timeout = timeout
        self._last_number = last_number

    def create_hello(self) -> Hello:
        """Return the hello of this instance, with the next sequence number."""
        self._last_number += 1
        return replace(self._create_hello(), number=self._last_number)

    async def read_hello(self, connection: Connection) -> Hello | None:
        """Return the hello of the peer; ``None`` if its first frame is none.

        :raises TimeoutError: if it has sent nothing in time
        """
        async with asyncio.timeout(self._timeout):
            data = await connection.recv()
        if isinstance(data, str):
            return None
        match decode(data):
            case Ok(Envelope(message=Hello() as hello)):
                return hello
        return None

    def check_hello(self, hello: Hello | None, dialled_id: str) -> str:
        """Return why a peer's hello is invalid; empty if it is valid.

        :param dialled_id: instance that was dialled; empty: any
        """
        if hello is None:
            return "no valid hello received"
        if hello.protocol != PROTOCOL_VERSION:
            return f"protocol version {hello.protocol!r}, expected {PROTOCOL_VERSION}"
        if dialled_id and hello.instance_id != dialled_id:
            return (
                f"dialled instance {dialled_id!r}, but {hello.instance_id!r} answered"
            )
        return self._check_hello(hello)


def truncate_reason(reason: str) -> str:
    """Return as much of a reason as fits into a close frame."""
    return reason.encode()[:MAX_REASON_BYTES].decode(errors="ignore")
