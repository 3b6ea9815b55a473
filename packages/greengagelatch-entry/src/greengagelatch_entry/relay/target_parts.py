"""Composition of what is known of targets, and of the choice among them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from greengagelatch.relay.brittle_targets import BrittleTargets
from greengagelatch.relay.cold_targets import ColdTargets
from greengagelatch.relay.load_balancer import LoadBalancer

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from greengagelatch.relay.deployment import RoutedService
    from greengagelatch.relay.incarnations import Incarnation

    from .known_instances import KnownInstances
    from .parts import SharedParts

__all__ = ("TargetParts", "compose_target_parts")


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetParts:
    """Components that keep the state of targets and choose among them."""

    cold: ColdTargets
    brittle: BrittleTargets
    brittle_makers: BrittleTargets
    load_balancer: LoadBalancer

    def forget(self, incarnation: Incarnation) -> None:
        """Discard the state of a target that is gone."""
        self.load_balancer.forget(incarnation)
        self.cold.forget(incarnation)
        self.brittle.forget(incarnation)
        self.brittle_makers.forget(incarnation)


def compose_target_parts(
    shared: SharedParts,
    *,
    known_instances: KnownInstances,
    find_service: Callable[[str], RoutedService],
) -> TargetParts:
    """Build and wire the components."""
    settings = shared.settings

    def find_sharing_instances() -> Collection[str]:
        """Return the instances that share the limits of brittle targets.

        Until all that may exist are known, those known are taken for all: requests
        would not be sent at all otherwise.
        """
        return known_instances.find_addresses() or known_instances.addresses

    def log_brittle_target(incarnation: Incarnation, limit: int | None) -> None:
        shared.decisions.log_state_change(
            "brittle-target",
            target=str(incarnation),
            brittle=limit is not None,
            limit=limit or 0,
        )

    cold = ColdTargets(
        own=settings.peers_listen,
        rule=settings.cold_targets,
        find_instances=known_instances.find_addresses,
        find_rate=lambda service: find_service(service).cold_rate,
    )
    brittle = BrittleTargets(
        own=settings.peers_listen,
        find_instances=find_sharing_instances,
        find_wall_seconds=shared.clock.wall,
        on_changed=log_brittle_target,
    )
    return TargetParts(
        cold=cold,
        brittle=brittle,
        # the owner of a group of makers sends all calls to them
        brittle_makers=BrittleTargets(on_changed=log_brittle_target),
        load_balancer=LoadBalancer(
            target_table=shared.target_table,
            cold_targets=cold,
            data_centre=settings.data_centre,
            random_source=shared.random_source,
            brittle_targets=brittle,
        ),
    )
