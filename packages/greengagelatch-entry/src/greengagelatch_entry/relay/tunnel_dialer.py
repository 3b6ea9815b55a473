"""Connections to targets that are tunnelled through a peer."""

from __future__ import annotations

from abc import ABC, abstractmethod
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

    from .target_dialers import Destination

__all__ = ("TunnelDialer", "TunnelError", "TunnelFailure")


class TunnelFailure(Enum):
    """Why no tunnel was opened."""

    #: no connection to the peer was opened, or it broke
    PEER_UNREACHABLE = "peer-unreachable"
    #: the peer can't connect to the target
    TARGET_UNREACHABLE = "target-unreachable"
    #: the peer is stopping, is at its limit or does not know the target
    DENIED = "denied"


class TunnelError(Exception):
    """No tunnel was opened; nothing was sent to the target.

    :param target_refused: whether the target's host refused the peer's connection
    """

    def __init__(
        self, message: str, failure: TunnelFailure, *, target_refused: bool = False
    ) -> None:
        super().__init__(message)
        self.failure = failure
        self.target_refused = target_refused


class TunnelDialer(ABC):
    """Interface for opening connections to targets through peers."""

    @abstractmethod
    async def dial_through(
        self,
        peer_id: str,
        destination: Destination,
        create_protocol: Callable[[], asyncio.Protocol],
        timeout: float,
    ) -> asyncio.Protocol:
        """Open a tunnel within ``timeout`` seconds and return its protocol.

        The protocol is created once the peer is connected to the target, so that a
        failure before that proves that nothing was sent.

        :raises TunnelError: if it can't be opened
        """
