"""Connections to targets, through a peer where there is no direct path."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from greengagelatch.peers import MemberState
from greengagelatch.relay.reachability import Approach

from .target_dialers import DialError, DialFailure, TargetDialer
from .target_probers import PeerFinding, TargetProber
from .tunnel_dialer import TunnelError, TunnelFailure

if TYPE_CHECKING:
    from collections.abc import Callable

    from greengagelatch.clock import Clock
    from greengagelatch.peers import PeerNetwork
    from greengagelatch.relay.incarnations import Incarnation
    from greengagelatch.relay.reachability import Reachability

    from ..metrics import Metrics
    from .decisions import DecisionLog
    from .target_dialers import Destination
    from .tunnel_dialer import TunnelDialer

__all__ = ("DIRECT_TIMEOUT", "RoutedDialer")

#: seconds for a direct attempt. Targets are milliseconds away and the kernel repeats a
#: lost SYN only after a second
DIRECT_TIMEOUT = 0.3
#: seconds for one peer to open a tunnel. Peers under load are slow, and a tunnel that
#: is given up and tried again elsewhere adds to their load
TUNNEL_TIMEOUT = 1.0
#: the same, and for all peers together, while it is not known whether this instance is
#: partitioned: a target that is down must not hold up requests for long
FIRST_TUNNEL_TIMEOUT, FIRST_TUNNELS_TIMEOUT = 0.2, 0.4
#: seconds from which on a tunnel that is given up shows that the peer is slow
MIN_UNANSWERED = 0.1
#: seconds for which a direct attempt is alone before a tunnel is tried beside it
HEAD_START = 0.05
#: log lines on changes of belief: in a period of so many seconds, at most so many
LOG_PERIOD, LOG_LINES = 10.0, 200


@dataclass(frozen=True, slots=True)
class _Tunnel:
    protocol: asyncio.Protocol
    peer_id: str


class _ProbeProtocol(asyncio.Protocol):
    """A connection that is closed as soon as it is open."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport


class RoutedDialer(TargetDialer, TargetProber):
    """Connects to targets directly, or through a peer if only that one reaches them.

    The protocols that are created must keep their transport as ``transport``.

    :param direct: opens direct connections
    :param on_bypassed: called for a target that turned out to be unreachable directly,
        so that its idle connections can be closed
    :param on_resting: called with a target that a peer could not connect to as it has
        asked the peer for rest, and the seconds
    """

    def __init__(
        self,
        *,
        direct: TargetDialer,
        tunnels: TunnelDialer,
        reachability: Reachability,
        peers: PeerNetwork,
        on_bypassed: Callable[[Incarnation], None],
        on_resting: Callable[[Incarnation, float], None] = lambda *_: None,
        clock: Clock,
        metrics: Metrics,
        decisions: DecisionLog,
    ) -> None:
        self._direct = direct
        self._tunnels = tunnels
        self._reachability = reachability
        self._peers = peers
        self._on_bypassed = on_bypassed
        self._on_resting = on_resting
        self._clock = clock
        self._metrics = metrics
        self._decisions = decisions
        self._log_period_start = float("-inf")
        self._logged = 0

    async def dial(
        self,
        destination: Destination,
        create_protocol: Callable[[], asyncio.Protocol],
        timeout: float,
    ) -> asyncio.Protocol:
        end = self._clock.now() + timeout
        match self._reachability.find_approach(
            destination.incarnation, destination.service, self._clock.now()
        ):
            case Approach.DIRECT:
                return await self._dial_directly(destination, create_protocol, timeout)
            case Approach.RACE:
                return await self._race(destination, create_protocol, end)
            case Approach.TUNNEL:
                tunnel = await self._dial_around(destination, create_protocol, end)
                return self._use(tunnel, destination, "bypassed")
            case Approach.NONE:
                raise DialError("no peer reaches the target", DialFailure.FAILED)
        try:
            return await self._dial_directly(destination, create_protocol, timeout)
        except DialError as error:
            return await self._dial_after(error, destination, create_protocol, end)

    async def probe(self, destination: Destination) -> DialFailure | None:
        self._metrics.count("reachability.probes")
        try:
            protocol = await self._dial_directly(
                destination, _ProbeProtocol, DIRECT_TIMEOUT
            )
        except DialError as error:
            return error.failure
        _abort(protocol)
        return None

    async def probe_by_peers(self, destination: Destination) -> PeerFinding:
        if not self._has_peers():
            return PeerFinding.NO_PEERS
        finding = PeerFinding.UNKNOWN
        for peer_id in self._choose_peers(destination):
            try:
                protocol = await self._tunnels.dial_through(
                    peer_id, destination, _ProbeProtocol, TUNNEL_TIMEOUT
                )
            except TunnelError as error:
                if error.target_refused:
                    finding = PeerFinding.REFUSED
                continue
            _abort(protocol)
            self._record_bypass(destination, peer_id, "probe")
            return PeerFinding.REACHED
        return finding

    async def _dial_directly(
        self,
        destination: Destination,
        create_protocol: Callable[[], asyncio.Protocol],
        timeout: float,
    ) -> asyncio.Protocol:
        protocol = await self._direct.dial(
            destination, create_protocol, min(timeout, DIRECT_TIMEOUT)
        )
        if self._reachability.record_direct(
            destination.incarnation, destination.service, self._clock.now()
        ):
            self._log(destination, "direct", evidence="connected")
        return protocol

    async def _dial_after(
        self,
        failed: DialError,
        destination: Destination,
        create_protocol: Callable[[], asyncio.Protocol],
        end: float,
    ) -> asyncio.Protocol:
        """Open a tunnel after a direct attempt has failed.

        :raises DialError: the failure of the direct attempt if there is no tunnel
        """
        try:
            tunnel = await self._dial_around(destination, create_protocol, end)
        except DialError as error:
            raise failed from error
        return self._use(tunnel, destination, failed.failure.value)

    async def _race(
        self,
        destination: Destination,
        create_protocol: Callable[[], asyncio.Protocol],
        end: float,
    ) -> asyncio.Protocol:
        """Try a tunnel beside a direct attempt that takes long.

        Nothing is written before one of them is chosen; the other is closed.
        """
        direct = asyncio.create_task(
            self._dial_directly(destination, create_protocol, end - self._clock.now())
        )
        tunnel: asyncio.Task[_Tunnel] | None = None
        chosen: asyncio.Task[Any] | None = None
        try:
            await asyncio.wait({direct}, timeout=HEAD_START)
            if not direct.done():
                tunnel = asyncio.create_task(
                    self._dial_around(destination, create_protocol, end)
                )
                await _wait_for_success(direct, tunnel)
            if _has_succeeded(direct):
                chosen = direct
                return direct.result()
            if tunnel is None:
                error = direct.exception()
                if not isinstance(error, DialError):
                    raise error
                return await self._dial_after(error, destination, create_protocol, end)
            if not _has_succeeded(tunnel):
                raise direct.exception()
            chosen = tunnel
            return self._use(tunnel.result(), destination, "slower than a tunnel")
        finally:
            for task in (direct, tunnel):
                if task is not None and task is not chosen:
                    task.cancel()
                    task.add_done_callback(_close_result)

    async def _dial_around(
        self,
        destination: Destination,
        create_protocol: Callable[[], asyncio.Protocol],
        end: float,
    ) -> _Tunnel:
        """Open a tunnel through the first of several peers that can.

        :raises DialError: if none of them can
        """
        longest = TUNNEL_TIMEOUT
        service, now = destination.service, self._clock.now()
        if not self._reachability.may_be_partitioned(service, now):
            longest = FIRST_TUNNEL_TIMEOUT
            end = min(end, now + FIRST_TUNNELS_TIMEOUT)
        unreached = []
        for peer_id in self._choose_peers(destination):
            began = self._clock.now()
            timeout = min(end - began, longest)
            if timeout <= 0:
                break
            self._metrics.count("reachability.tunnels_tried")
            try:
                protocol = await self._tunnels.dial_through(
                    peer_id, destination, create_protocol, timeout
                )
            except asyncio.CancelledError:
                self._record_unanswered(service, began)
                raise
            except TunnelError as error:
                self._metrics.count(f"reachability.tunnel_{error.failure.value}")
                if error.failure is TunnelFailure.RESTING:
                    self._on_resting(destination.incarnation, error.rest_seconds)
                    raise DialError(str(error), DialFailure.FAILED) from error
                if error.failure is TunnelFailure.PEER_UNREACHABLE:
                    self._record_unanswered(service, began)
                if error.failure is TunnelFailure.TARGET_UNREACHABLE:
                    unreached.append(peer_id)
                elif timeout < longest:
                    # too little time was left to blame the peer
                    break
                if self._record_tunnel_failure(destination, peer_id, error):
                    unreached.clear()
                    break
                continue
            return _Tunnel(protocol, peer_id)
        if unreached:
            self._record_all_failed(destination, unreached)
        raise DialError("no peer reaches the target", DialFailure.FAILED)

    def _has_peers(self) -> bool:
        return any(
            member.state in (MemberState.ALIVE, MemberState.SUSPECT)
            and member.instance_id != self._peers.instance_id
            for member in self._peers.members()
        )

    def _choose_peers(self, destination: Destination) -> tuple[str, ...]:
        return self._reachability.choose_peers(
            destination.service,
            self._peers.members(),
            self._clock.now(),
            data_centre=destination.data_centre,
            data_centres=destination.data_centres,
        )

    def _use(
        self, tunnel: _Tunnel, destination: Destination, evidence: str
    ) -> asyncio.Protocol:
        self._metrics.count("reachability.tunnels")
        self._record_bypass(destination, tunnel.peer_id, evidence)
        return tunnel.protocol

    def _record_bypass(
        self, destination: Destination, peer_id: str, evidence: str
    ) -> None:
        incarnation = destination.incarnation
        if not self._reachability.record_tunnel(
            peer_id, incarnation, destination.service, self._clock.now()
        ):
            return
        self._on_bypassed(incarnation)
        self._log(destination, "bypassed", evidence=evidence, peer=peer_id)

    def _record_tunnel_failure(
        self, destination: Destination, peer_id: str, error: TunnelError
    ) -> bool:
        """Record a failed tunnel; return whether the target counts as down."""
        now = self._clock.now()
        service = destination.service
        match error.failure:
            case TunnelFailure.PEER_UNREACHABLE:
                self._reachability.record_lost_peer(peer_id, now)
            case TunnelFailure.DENIED:
                self._reachability.record_denied(peer_id, service, now)
            case TunnelFailure.TARGET_UNREACHABLE:
                if self._reachability.record_unreachable(
                    peer_id, destination.incarnation, service, now
                ):
                    self._log(destination, "down", evidence=str(error), peer=peer_id)
                    return True
        return False

    def _record_unanswered(self, service: str, began: float) -> None:
        now = self._clock.now()
        if now - began >= MIN_UNANSWERED:
            self._reachability.record_unanswered(service, began, now)

    def _record_all_failed(self, destination: Destination, peer_ids: list[str]) -> None:
        if self._reachability.record_all_failed(
            peer_ids, destination.incarnation, destination.service, self._clock.now()
        ):
            self._log(destination, "down", evidence="peers", peer=",".join(peer_ids))

    def _log(
        self, destination: Destination, state: str, *, evidence: str, peer: str = ""
    ) -> None:
        self._metrics.count(f"reachability.{state}")
        now = self._clock.now()
        if now - self._log_period_start >= LOG_PERIOD:
            self._log_period_start = now
            self._logged = 0
        self._logged += 1
        if self._logged > LOG_LINES:
            self._metrics.count("reachability.unlogged")
            return
        self._decisions.log_state_change(
            "reachability",
            target=str(destination.incarnation),
            service=destination.service,
            address=destination.address,
            state=state,
            evidence=evidence,
            peer=peer,
        )


async def _wait_for_success(
    direct: asyncio.Task[asyncio.Protocol], tunnel: asyncio.Task[_Tunnel]
) -> None:
    """Wait until one of two attempts has succeeded, or both have failed."""
    pending: set[asyncio.Task[Any]] = {direct, tunnel}
    while pending and not any(map(_has_succeeded, (direct, tunnel))):
        _, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)


def _has_succeeded(task: asyncio.Task[Any]) -> bool:
    return task.done() and not task.cancelled() and task.exception() is None


def _close_result(task: asyncio.Task[Any]) -> None:
    """Close the connection of an attempt that was not chosen."""
    if not _has_succeeded(task):
        return
    result = task.result()
    _abort(result.protocol if isinstance(result, _Tunnel) else result)


def _abort(protocol: asyncio.Protocol) -> None:
    protocol.transport.abort()
