"""What one instance is composed from, and what comes of it."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from greengagelatch.relay.capacity import Capacity

if TYPE_CHECKING:
    from greengagelatch.relay.retry_budget import RetryBudgetRule
    from greengagelatch.store.ranges import RangeStore

    from ..controllers import Controller
    from ..controllers.drain import DrainController
    from .codecs import CallerCodec, DeploymentCodec, ListingCodec, TargetCodec
    from .front import RelayFront
    from .prometheus import PrometheusMetrics

__all__ = ("RelayAdapters", "RelayParts", "RelayRules")


@dataclass(frozen=True, slots=True, kw_only=True)
class RelayRules:
    """What an instance is told at its start; times in seconds."""

    instance_id: str
    data_centre: str
    callers_listen: str
    #: where other instances connect
    peers_listen: str
    #: addresses of some of these, with commas between them
    peers_seeds: str
    readiness_listen: str
    readiness_path: str
    #: empty: no metrics are served
    metrics_listen: str
    metrics_path: str
    #: time for which the balancer may still send connections after a stop signal
    balancer_lag: float
    #: time that requests in flight get after that
    longest_drain: float
    repeats: RetryBudgetRule
    capacity: Capacity = field(default_factory=Capacity)


@dataclass(frozen=True, slots=True, kw_only=True)
class RelayAdapters:
    """What speaks the platform's protocols."""

    create_store: Callable[[PrometheusMetrics], RangeStore]
    callers: CallerCodec
    targets: TargetCodec
    deployments: DeploymentCodec
    listings: ListingCodec


@dataclass(frozen=True, slots=True, kw_only=True)
class RelayParts:
    """The parts of one instance."""

    #: in the order in which they start
    controllers: tuple[Controller, ...]
    front: RelayFront
    drain: DrainController
    close: Callable[[], Awaitable[None]]
    #: what is done on signals, by number
    signals: dict[int, Callable[[], None]] = field(default_factory=dict)

    def list_addresses(self) -> dict[str, str]:
        """Return what this instance listens on."""
        return {"callers": str(self.front.port)}
