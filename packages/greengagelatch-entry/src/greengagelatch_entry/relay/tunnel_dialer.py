"""Connections to targets that are tunnelled through a peer."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from enum import Enum
from typing import TYPE_CHECKING

from result import Ok
from websockets.exceptions import WebSocketException

from greengagelatch.peers.codec import Envelope, decode, encode
from greengagelatch.relay.tunnels import (
    TunnelOpened,
    TunnelRefusal,
    TunnelRefused,
    TunnelRequest,
)

from ..adapters.peer_sockets import SocketOptions, Traffic, open_connection
from .tunnel_frames import TUNNEL_PATH
from .tunnel_transport import TunnelTransport

if TYPE_CHECKING:
    from collections.abc import Callable

    from greengagelatch.peers import PeerNetwork
    from greengagelatch.peers.codec import Message

    from ..adapters.peer_sockets import Connection
    from ..metric_totals import MetricTotals
    from .target_dialers import Destination

__all__ = ("PeerTunnelDialer", "TunnelDialer", "TunnelError", "TunnelFailure")

#: fraction of the remaining time that the peer has to connect to the target; the rest
#: is for its answer
PEER_TIME_FRACTION = 0.8


class TunnelFailure(Enum):
    """Why no tunnel was opened."""

    #: no connection to the peer was opened, or it broke
    PEER_UNREACHABLE = "peer-unreachable"
    #: the peer can't connect to the target
    TARGET_UNREACHABLE = "target-unreachable"
    #: the peer is stopping, is at its limit or does not know the target
    DENIED = "denied"
    #: the target has asked the peer for rest
    RESTING = "resting"


#: by the reason of a refusal; any other one denies the tunnel
_FAILURES = {
    TunnelRefusal.UNREACHABLE.value: TunnelFailure.TARGET_UNREACHABLE,
    TunnelRefusal.RESTING.value: TunnelFailure.RESTING,
}


class TunnelError(Exception):
    """No tunnel was opened; nothing was sent to the target.

    :param target_refused: whether the target's host refused the peer's connection
    :param rest_seconds: seconds for which the target wants no requests of the peer
    """

    def __init__(
        self,
        message: str,
        failure: TunnelFailure,
        *,
        target_refused: bool = False,
        rest_seconds: float = 0.0,
    ) -> None:
        super().__init__(message)
        self.failure = failure
        self.target_refused = target_refused
        self.rest_seconds = rest_seconds


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


class PeerTunnelDialer(TunnelDialer):
    """Opens each tunnel as a WebSocket connection to the address of the peer."""

    def __init__(self, *, peers: PeerNetwork, metrics: MetricTotals) -> None:
        self._peers = peers
        self._metrics = metrics
        self._transports: set[TunnelTransport] = set()

    def count_open(self) -> int:
        """Return how many tunnels through peers are open."""
        return len(self._transports)

    async def dial_through(
        self,
        peer_id: str,
        destination: Destination,
        create_protocol: Callable[[], asyncio.Protocol],
        timeout: float,
    ) -> asyncio.Protocol:
        self._metrics.count("tunnels.dialled")
        try:
            connection = await self._open(peer_id, destination, timeout)
            return self._start(connection, create_protocol(), peer_id)
        except TunnelError as error:
            self._metrics.count(f"tunnels.failed.{error.failure.value}")
            raise

    async def close(self) -> None:
        """Close all tunnels immediately."""
        for transport in tuple(self._transports):
            transport.abort()
        # lets the protocols learn of it before the loop ends
        await asyncio.sleep(0)

    def _start(
        self, connection: Connection, protocol: asyncio.Protocol, peer_id: str
    ) -> asyncio.Protocol:
        transport = TunnelTransport(
            connection, protocol, self._transports.discard, carrier=peer_id
        )
        try:
            transport.start()
        except OSError as error:
            connection.abort()
            raise TunnelError(
                f"the connection to the peer broke: {type(error).__name__}",
                TunnelFailure.PEER_UNREACHABLE,
            ) from error
        self._transports.add(transport)
        return protocol

    async def _open(
        self, peer_id: str, destination: Destination, timeout: float
    ) -> Connection:
        address = self._find_address(peer_id)
        end = asyncio.get_running_loop().time() + timeout
        try:
            async with asyncio.timeout_at(end):
                connection = await open_connection(
                    address, Traffic(), SocketOptions(open_timeout=timeout), TUNNEL_PATH
                )
                try:
                    answer = await self._ask(connection, destination, end)
                except BaseException:
                    connection.abort()
                    raise
        except (OSError, TimeoutError, ValueError, WebSocketException) as error:
            reason = str(error) or type(error).__name__
            raise TunnelError(
                f"no tunnel through {peer_id}: {reason}", TunnelFailure.PEER_UNREACHABLE
            ) from error
        if isinstance(answer, TunnelOpened):
            return connection
        connection.abort()
        raise _create_error(peer_id, answer)

    async def _ask(
        self, connection: Connection, destination: Destination, end: float
    ) -> Message | None:
        remaining = end - asyncio.get_running_loop().time()
        incarnation = destination.incarnation
        request = TunnelRequest(
            target_id=incarnation.target_id,
            started_ms=incarnation.started_ms,
            timeout=remaining * PEER_TIME_FRACTION,
            instance_id=self._peers.instance_id,
        )
        await connection.send(encode(Envelope(request)))
        data = await connection.recv()
        if isinstance(data, str):
            return None
        match decode(data):
            case Ok(Envelope(message=message)):
                return message
        return None

    def _find_address(self, peer_id: str) -> str:
        for member in self._peers.members():
            if member.instance_id == peer_id and member.address:
                return member.address
        raise TunnelError(
            f"no address of instance {peer_id!r} is known",
            TunnelFailure.PEER_UNREACHABLE,
        )


def _create_error(peer_id: str, answer: Message | None) -> TunnelError:
    if not isinstance(answer, TunnelRefused):
        return TunnelError(
            f"{peer_id} sent no valid answer", TunnelFailure.PEER_UNREACHABLE
        )
    return TunnelError(
        f"{peer_id} refused: {answer.reason}",
        _FAILURES.get(answer.reason, TunnelFailure.DENIED),
        target_refused=answer.target_refused,
        rest_seconds=answer.rest_seconds,
    )
