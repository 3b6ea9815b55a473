"""Tunnels that this instance carries for its peers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from mode import Service
from result import Ok
from websockets.exceptions import ConnectionClosed
from websockets.protocol import State

from greengagelatch.peers.codec import Envelope, decode, encode
from greengagelatch.relay.incarnations import Incarnation
from greengagelatch.relay.tunnels import (
    TunnelOpened,
    TunnelRefusal,
    TunnelRefused,
    TunnelRequest,
)

from ..controllers import Controller
from .target_dialers import Destination, DialError, DialFailure
from .target_streams import TargetStream
from .tunnel_frames import (
    CHUNK_BYTES,
    HEARTBEAT_SECONDS,
    SILENCE_SECONDS,
    TunnelCloseCode,
    was_paused,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from greengagelatch.relay.targets import ListedTarget, TargetTable

    from ..adapters.peer_sockets import AcceptedConnection
    from ..metric_totals import MetricTotals
    from .decisions import DecisionLog
    from .target_dialers import TargetDialer

__all__ = ("TunnelServer",)

#: maximum file descriptors that tunnels use; each takes one to the peer and one to the
#: target
MAX_DESCRIPTORS = 512
DESCRIPTORS_PER_TUNNEL = 2
#: seconds within which the first message must be received
IDENTIFICATION_SECONDS = 1.0
#: maximum seconds of a connect to a target
MAX_DIAL_SECONDS = 1.0
#: seconds for the closing handshakes when the controller stops
CLOSE_SECONDS = 1.0


class _Tunnel:
    """Carries bytes between a peer's connection and one to a target."""

    def __init__(
        self,
        connection: AcceptedConnection,
        stream: TargetStream,
        metrics: MetricTotals,
    ) -> None:
        self._connection = connection
        self._stream = stream
        self._metrics = metrics
        self._loop = asyncio.get_running_loop()
        #: whether nothing is read from the peer, as the target accepts no more
        self._blocked = False
        #: loop time since which frames of the peer are read without interruption
        self._reading_since = self._loop.time()

    async def run(self) -> None:
        """Carry bytes until either side ends."""
        upstream = asyncio.create_task(self._forward_to_target())
        try:
            await self._forward_to_peer()
            await upstream
        finally:
            upstream.cancel()
            self._stream.abort()

    def abort(self) -> None:
        """Cut both connections immediately."""
        self._connection.abort()
        self._stream.abort()

    def reset_silence(self) -> None:
        """Restart the measurement of silence after a pause of this process."""
        self._reading_since = self._loop.time()

    async def keep_alive(self) -> None:
        """Send a heartbeat, and drop the connection if the peer sends none."""
        if self._is_abandoned():
            # the reader does not notice while the target accepts nothing
            self._stream.abort()
            return
        since = max(self._connection.last_received, self._reading_since)
        if not self._blocked and self._loop.time() - since > SILENCE_SECONDS:
            self._connection.abort()
            return
        unsent = self._connection.transport.get_write_buffer_size()
        if self._connection.state is not State.OPEN or unsent:
            return
        try:
            await self._connection.pong()
        except ConnectionClosed:
            return

    def _is_abandoned(self) -> bool:
        """Return whether the peer left other than in good order."""
        closed = self._connection.state is State.CLOSED
        return closed and self._connection.close_code != TunnelCloseCode.END

    async def _forward_to_target(self) -> None:
        try:
            async for data in self._connection:
                if isinstance(data, str):
                    self._connection.abort()
                    break
                self._metrics.count("tunnels.bytes_out", len(data))
                self._blocked = True
                await self._stream.write(data)
                self._blocked = False
                self._reading_since = self._loop.time()
        except ConnectionClosed:
            self._stream.abort()
            return
        if self._connection.close_code == TunnelCloseCode.END:
            self._stream.close()
            # lets the stream send what is left, within the time-out of its socket
            await self._stream.wait_closed()
        else:
            self._stream.abort()

    async def _forward_to_peer(self) -> None:
        try:
            while data := await self._stream.read():
                self._metrics.count("tunnels.bytes_in", len(data))
                for start in range(0, len(data), CHUNK_BYTES):
                    await self._connection.send(data[start : start + CHUNK_BYTES])
        except ConnectionClosed:
            return
        reset = self._stream.error is not None
        # what is on its way to a slow reader would be lost if the handshake timed out;
        # the connection is dropped only if the peer falls silent
        self._connection.close_timeout = None
        await self._connection.close(
            TunnelCloseCode.RESET if reset else TunnelCloseCode.END
        )


class TunnelServer(Controller):
    """Connects peers to targets that they can't reach themselves.

    Targets are looked up by their incarnation, so that a peer can reach no other
    address through this instance. A tunnel always leads directly to the target.

    :param dialer: opens the connections to targets; must be direct
    :param is_stopping: returns whether this instance is being stopped
    :param is_reachable: returns whether this instance expects to reach a target now
    :param find_rest: returns the seconds for which a target wants no requests of this
        instance, which it takes for the sender of all that comes through it
    """

    name = "tunnels"

    def __init__(
        self,
        *,
        target_table: TargetTable,
        dialer: TargetDialer,
        is_stopping: Callable[[], bool],
        is_reachable: Callable[[Incarnation], bool],
        find_rest: Callable[[Incarnation], float] = lambda _: 0.0,
        metrics: MetricTotals,
        decisions: DecisionLog,
    ) -> None:
        super().__init__()
        self._target_table = target_table
        self._dialer = dialer
        self._is_stopping = is_stopping
        self._is_reachable = is_reachable
        self._find_rest = find_rest
        self._metrics = metrics
        self._decisions = decisions
        self._unidentified: set[AcceptedConnection] = set()
        #: connections of tunnels that are open, or whose target is being dialled
        self._active: set[AcceptedConnection] = set()
        self._tunnels: set[_Tunnel] = set()
        self._idle = asyncio.Event()
        self._idle.set()

    def dump(self) -> dict[str, Any]:
        return {
            "active": len(self._active),
            "open": len(self._tunnels),
            "unidentified": len(self._unidentified),
        }

    async def accept(self, connection: AcceptedConnection) -> None:
        """Serve a peer's connection until it ends."""
        if self.should_stop:
            self._metrics.count("tunnels.refused.stopping")
            await connection.close(TunnelCloseCode.REFUSED, "stopping")
            return
        request = await self._read_request(connection)
        if request is None:
            self._metrics.count("tunnels.refused.invalid")
            await connection.close(TunnelCloseCode.REFUSED, "no valid request")
            return
        target = self._find_target(request)
        if isinstance(target, TunnelRefusal):
            await self._refuse(connection, request, target)
            return
        connection.end_handshake()
        self._active.add(connection)
        self._idle.clear()
        self._report_active()
        try:
            await self._serve(connection, request, target)
        finally:
            self._active.discard(connection)
            self._report_active()
            if not self._active:
                self._idle.set()

    def is_idle(self) -> bool:
        """Return whether no tunnel is open."""
        return self._idle.is_set()

    async def wait_idle(self, timeout: float) -> bool:
        """Wait up to ``timeout`` seconds until no tunnel is open."""
        try:
            async with asyncio.timeout(timeout):
                await self._idle.wait()
        except TimeoutError:
            return False
        return True

    def abort_all(self) -> None:
        """Cut all tunnels immediately."""
        for connection in (*self._active, *self._unidentified):
            connection.abort()
        for tunnel in self._tunnels:
            tunnel.abort()

    async def on_stop(self) -> None:
        connections = (*self._active, *self._unidentified)
        closing = [
            asyncio.create_task(connection.close(1001, "stopping"))
            for connection in connections
        ]
        if closing:
            await asyncio.wait(closing, timeout=CLOSE_SECONDS)
        self.abort_all()

    @Service.task
    async def _keep_alive_forever(self) -> None:
        while not self.should_stop:
            began = asyncio.get_running_loop().time()
            await asyncio.sleep(HEARTBEAT_SECONDS)
            paused = was_paused(asyncio.get_running_loop().time() - began)
            for tunnel in tuple(self._tunnels):
                if paused:
                    tunnel.reset_silence()
                await tunnel.keep_alive()

    async def _read_request(
        self, connection: AcceptedConnection
    ) -> TunnelRequest | None:
        self._unidentified.add(connection)
        try:
            async with asyncio.timeout(IDENTIFICATION_SECONDS):
                data = await connection.recv()
        except (TimeoutError, ConnectionClosed):
            return None
        finally:
            self._unidentified.discard(connection)
        if isinstance(data, str):
            return None
        match decode(data):
            case Ok(Envelope(message=TunnelRequest() as request)):
                return request
        return None

    def _find_target(self, request: TunnelRequest) -> ListedTarget | TunnelRefusal:
        """Return the requested target, or why no tunnel to it is opened."""
        if self.should_stop or self._is_stopping():
            return TunnelRefusal.STOPPING
        used = len(self._active) * DESCRIPTORS_PER_TUNNEL
        if used + DESCRIPTORS_PER_TUNNEL > MAX_DESCRIPTORS:
            return TunnelRefusal.FULL
        incarnation = Incarnation(request.target_id, request.started_ms)
        target = self._target_table.find_listed(request.target_id)
        if target is None or not self._target_table.is_available(incarnation):
            return TunnelRefusal.UNKNOWN_TARGET
        if not self._is_reachable(incarnation):
            return TunnelRefusal.UNREACHABLE
        if self._find_rest(incarnation):
            return TunnelRefusal.RESTING
        return target

    async def _serve(
        self,
        connection: AcceptedConnection,
        request: TunnelRequest,
        target: ListedTarget,
    ) -> None:
        destination = Destination(
            incarnation=target.incarnation,
            address=target.address,
            service=target.service,
            data_centre=target.data_centre,
        )
        timeout = min(request.timeout, MAX_DIAL_SECONDS)
        try:
            stream = await self._dialer.dial(destination, TargetStream, timeout)
        except DialError as error:
            refused = error.failure is DialFailure.REFUSED
            await self._refuse(
                connection, request, TunnelRefusal.UNREACHABLE, target_refused=refused
            )
            return
        assert isinstance(stream, TargetStream)
        tunnel = _Tunnel(connection, stream, self._metrics)
        self._tunnels.add(tunnel)
        try:
            await connection.send(encode(Envelope(TunnelOpened())))
            self._metrics.count("tunnels.opened")
            self._log(request, "opened")
            await tunnel.run()
        except ConnectionClosed:
            self._log(request, "abandoned")
        finally:
            self._tunnels.discard(tunnel)
            stream.abort()

    async def _refuse(
        self,
        connection: AcceptedConnection,
        request: TunnelRequest,
        refusal: TunnelRefusal,
        *,
        target_refused: bool = False,
    ) -> None:
        self._metrics.count(f"tunnels.refused.{refusal.value}")
        self._log(request, refusal.value, target_refused=target_refused)
        rest = 0.0
        if refusal is TunnelRefusal.RESTING:
            rest = self._find_rest(Incarnation(request.target_id, request.started_ms))
        answer = TunnelRefused(refusal.value, target_refused, rest)
        try:
            await connection.send(encode(Envelope(answer)))
        except ConnectionClosed:
            return
        await connection.close(TunnelCloseCode.REFUSED, refusal.value)

    def _log(self, request: TunnelRequest, outcome: str, **fields: Any) -> None:
        self._decisions.log_decision(
            "tunnel",
            target=str(Incarnation(request.target_id, request.started_ms)),
            peer=request.instance_id,
            outcome=outcome,
            **fields,
        )

    def _report_active(self) -> None:
        self._metrics.gauge("tunnels.active", len(self._active))
