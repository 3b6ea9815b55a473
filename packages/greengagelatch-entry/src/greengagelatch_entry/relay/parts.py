"""Inputs and result of the composition of one instance."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from greengagelatch.relay.capacity import Capacity
from greengagelatch.relay.cold_targets import ColdTargetRule
from greengagelatch.relay.target_speeds import SpeedMode

if TYPE_CHECKING:
    import random

    from greengagelatch.clock import Clock
    from greengagelatch.relay.retry_budget import RetryBudgetRule
    from greengagelatch.relay.targets import TargetTable
    from greengagelatch.store.ranges import RangeStore

    from ..adapters.peers import PeerHub
    from ..controllers import Controller
    from ..controllers.drain import DrainController
    from .codecs import (
        CallerCodec,
        DeploymentCodec,
        EvacuationCodec,
        ListingCodec,
        TargetCodec,
    )
    from .decisions import DecisionLog
    from .front import RelayFront
    from .memory import MemoryController
    from .prometheus import PrometheusMetrics

__all__ = ("RelayAdapters", "RelayParts", "RelaySettings", "SharedParts")


@dataclass(frozen=True, slots=True, kw_only=True)
class RelaySettings:
    """Start-up settings of an instance; times in seconds."""

    instance_id: str
    data_centre: str
    callers_listen: str
    #: address on which connections of other instances are accepted
    peers_listen: str
    #: comma-separated addresses of some other instances, to join the fleet
    peers_seeds: str
    readiness_listen: str
    readiness_path: str
    #: address of metrics and state; empty: not served
    metrics_listen: str
    metrics_path: str
    #: time after a stop signal in which the balancer may still open connections
    balancer_lag: float
    #: time after that in which requests in flight may finish
    longest_drain: float
    retry_budget: RetryBudgetRule
    #: region of each data centre
    regions: Mapping[str, str] = field(default_factory=dict)
    cold_targets: ColdTargetRule = field(default_factory=ColdTargetRule)
    capacity: Capacity = field(default_factory=Capacity)
    #: for which services targets are chosen by their measured speed
    measured_speeds: SpeedMode = SpeedMode.REPORTED
    #: whether no instance has served before
    is_first_start: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class RelayAdapters:
    """Adapters for the protocols of the platform."""

    create_store: Callable[[PrometheusMetrics], RangeStore]
    callers: CallerCodec
    targets: TargetCodec
    deployments: DeploymentCodec
    listings: ListingCodec
    evacuations: EvacuationCodec


@dataclass(frozen=True, slots=True, kw_only=True)
class SharedParts:
    """Inputs and components that the groups of components have in common."""

    settings: RelaySettings
    adapters: RelayAdapters
    clock: Clock
    random_source: random.Random
    metrics: PrometheusMetrics
    decisions: DecisionLog
    memory: MemoryController
    store: RangeStore
    peers: PeerHub
    target_table: TargetTable


@dataclass(frozen=True, slots=True, kw_only=True)
class RelayParts:
    """Components of one instance."""

    #: in start order
    controllers: tuple[Controller, ...]
    front: RelayFront
    drain: DrainController
    close: Callable[[], Awaitable[None]]
    #: handlers by signal number
    signals: dict[int, Callable[[], None]] = field(default_factory=dict)

    def list_addresses(self) -> dict[str, str]:
        """Return the ports on which this instance listens."""
        return {"callers": str(self.front.port)}
