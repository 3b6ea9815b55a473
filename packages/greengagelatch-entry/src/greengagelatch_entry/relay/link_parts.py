"""Composition of the connections to targets, directly or through peers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from greengagelatch.relay.idle_connections import count_idle_connections
from greengagelatch.relay.reachability import Reachability

from .reachability_probes import ReachabilityController
from .routed_dialer import RoutedDialer
from .target_connections import TargetConnectionPool
from .target_dialers import DirectDialer
from .tunnel_dialer import PeerTunnelDialer
from .tunnel_frames import TUNNEL_PATH
from .tunnel_server import TunnelServer

if TYPE_CHECKING:
    from collections.abc import Callable

    from greengagelatch.relay.deployment import RoutedService
    from greengagelatch.relay.incarnations import Incarnation
    from greengagelatch.relay.target_rests import TargetRests

    from .parts import SharedParts
    from .target_notices import TargetNotices

__all__ = ("LinkParts", "compose_link_parts")


@dataclass(frozen=True, slots=True, kw_only=True)
class LinkParts:
    """Components that connect this instance, and its peers through it, to targets."""

    reachability: Reachability
    tunnel_dialer: PeerTunnelDialer
    tunnels: TunnelServer
    dialer: RoutedDialer
    probes: ReachabilityController
    connections: TargetConnectionPool


def compose_link_parts(
    shared: SharedParts,
    *,
    notices: TargetNotices,
    rests: TargetRests,
    is_stopping: Callable[[], bool],
    find_service: Callable[[str], RoutedService],
    count_instances: Callable[[], int],
) -> LinkParts:
    """Build and wire the components without starting them.

    :param is_stopping: returns whether this instance accepts no more tunnels
    :param count_instances: returns how many instances share the connections of targets
    """
    direct = DirectDialer(shared.metrics)
    reachability = Reachability(
        instance_id=shared.settings.instance_id,
        data_centre=shared.settings.data_centre,
        random_source=shared.random_source,
    )
    tunnel_dialer = PeerTunnelDialer(peers=shared.peers, metrics=shared.metrics)
    tunnels = TunnelServer(
        target_table=shared.target_table,
        dialer=direct,
        is_stopping=is_stopping,
        is_reachable=reachability.is_reachable,
        find_rest=lambda incarnation: rests.find_seconds(
            incarnation, shared.clock.now()
        ),
        metrics=shared.metrics,
        decisions=shared.decisions,
    )
    shared.peers.serve_path(TUNNEL_PATH, tunnels.accept)
    dialer = RoutedDialer(
        direct=direct,
        tunnels=tunnel_dialer,
        reachability=reachability,
        peers=shared.peers,
        on_bypassed=lambda incarnation: connections.close_idle(incarnation),
        on_resting=lambda incarnation, seconds: rests.record(
            incarnation, seconds, shared.clock.now()
        ),
        clock=shared.clock,
        metrics=shared.metrics,
        decisions=shared.decisions,
    )
    probes = ReachabilityController(
        dialer=dialer,
        reachability=reachability,
        target_table=shared.target_table,
        clock=shared.clock,
    )

    def find_idle_limit(incarnation: Incarnation) -> int:
        """Return the maximum number of idle connections to a target."""
        target = shared.target_table.find_listed(incarnation.target_id)
        service = find_service(target.service) if target else None
        return count_idle_connections(
            service.max_connections if service else 0,
            count_instances(),
            shared.settings.instance_id,
            incarnation.target_id,
        )

    connections = TargetConnectionPool(
        dialer=dialer,
        find_idle_limit=find_idle_limit,
        is_reachable=reachability.is_reachable,
        on_response=notices.record,
        memory=shared.memory,
        clock=shared.clock,
        metrics=shared.metrics,
    )
    return LinkParts(
        reachability=reachability,
        tunnel_dialer=tunnel_dialer,
        tunnels=tunnels,
        dialer=dialer,
        probes=probes,
        connections=connections,
    )
