"""Composition of what is known of targets, and of the choice among them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from greengagelatch.relay.brittle_services import BrittleServices, BrittleSource
from greengagelatch.relay.brittle_targets import BrittleTargets
from greengagelatch.relay.cold_targets import ColdTargets
from greengagelatch.relay.load_balancer import LoadBalancer
from greengagelatch.relay.permits import Permits
from greengagelatch.relay.rate_limits import RateLimits
from greengagelatch.relay.send_limits import SendLimits
from greengagelatch.relay.slot_lending import SlotLending
from greengagelatch.relay.target_rests import TargetRests
from greengagelatch.relay.target_speeds import TargetSpeeds

from .brittle_news import BrittleNewsController
from .permit_exchange import PermitExchange
from .rate_limit_news import RateLimitNewsController
from .rest_news import RestNewsController
from .slot_loans import SlotLoansController

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from greengagelatch.peers import Member
    from greengagelatch.relay.deployment import RoutedService
    from greengagelatch.relay.incarnations import Incarnation
    from greengagelatch.relay.rate_limits import RateSource
    from greengagelatch.relay.target_speeds import SpeedBelief
    from greengagelatch.relay.targets import ListedTarget

    from .known_instances import KnownInstances
    from .parts import SharedParts

__all__ = ("TargetParts", "compose_target_parts")


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetParts:
    """Components that keep the state of targets and choose among them."""

    cold: ColdTargets
    brittle: BrittleTargets
    rests: TargetRests
    rest_news: RestNewsController
    #: limits on calls to makers
    maker_limits: SendLimits
    permit_exchange: PermitExchange
    rate_limit_news: RateLimitNewsController
    brittle_news: BrittleNewsController
    slot_loans: SlotLoansController
    load_balancer: LoadBalancer

    def forget(self, incarnation: Incarnation, *, may_return: bool) -> None:
        """Discard the state of a target that is gone.

        :param may_return: whether it may be listed again as the same process
        """
        self.load_balancer.forget(incarnation, may_return=may_return)
        self.cold.forget(incarnation)
        self.maker_limits.forget(incarnation, may_return=may_return)
        self.permit_exchange.forget(incarnation)


def compose_target_parts(
    shared: SharedParts,
    *,
    known_instances: KnownInstances,
    find_service: Callable[[str], RoutedService],
    list_candidates: Callable[[], tuple[Member, ...]],
    min_instances: int,
) -> TargetParts:
    """Build and wire the components.

    :param list_candidates: returns the instances that are alive
    :param min_instances: how many may exist at least while they are not all known
    """
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

    def handle_brittle_service(service: str, limit: int, source: BrittleSource) -> None:
        shared.decisions.log_state_change(
            "brittle-service",
            service=service,
            brittle=True,
            limit=limit,
            source=source.value,
        )
        brittle_news.handle_change()

    def log_brittle_service_ended(service: str) -> None:
        shared.decisions.log_state_change(
            "brittle-service", service=service, brittle=False, limit=0, source="lapse"
        )

    def count_instances() -> int:
        known = known_instances.find_addresses()
        if known is not None:
            return len(known)
        return max(min_instances, len(known_instances.addresses))

    def handle_rate_limit(
        incarnation: Incarnation, rate: float | None, source: RateSource
    ) -> None:
        # the rate may change with each answer, so that the lines are limited
        shared.decisions.log_decision(
            "target-limit",
            target=str(incarnation),
            limited=rate is not None,
            rate=rate or 0.0,
            source=source.value,
        )
        rate_limit_news.handle_change()

    def handle_rest(incarnation: Incarnation, seconds: float) -> None:
        shared.decisions.log_decision(
            "target-rest", target=str(incarnation), rest_ms=round(seconds * 1000)
        )
        rest_news.announce(incarnation, seconds)

    def log_target_speed(
        target: ListedTarget, belief: SpeedBelief, slowness: float
    ) -> None:
        shared.decisions.log_state_change(
            "target-speed",
            target=str(target.incarnation),
            service=target.service,
            speed=belief.value,
            slowness=round(slowness, 2),
        )

    cold = ColdTargets(
        own=settings.peers_listen,
        rule=settings.cold_targets,
        find_instances=known_instances.find_addresses,
        find_rate=lambda service: find_service(service).cold_rate,
    )
    brittle_services = BrittleServices(
        on_begun=handle_brittle_service, on_ended=log_brittle_service_ended
    )
    brittle_news = BrittleNewsController(
        peers=shared.peers,
        services=brittle_services,
        clock=shared.clock,
        metrics=shared.metrics,
    )
    lending = SlotLending(
        services=brittle_services,
        on_wanted=lambda service: slot_loans.handle_need(service),
    )
    brittle = BrittleTargets(
        own=settings.peers_listen,
        find_instances=find_sharing_instances,
        find_wall_seconds=shared.clock.wall,
        services=brittle_services,
        lending=lending,
        started_at=shared.clock.now(),
        on_changed=log_brittle_target,
    )
    rests = TargetRests(handle_rest)
    rest_news = RestNewsController(
        peers=shared.peers,
        rests=rests,
        target_table=shared.target_table,
        clock=shared.clock,
        metrics=shared.metrics,
    )
    rate_limits = RateLimits(on_changed=handle_rate_limit)
    rate_limit_news = RateLimitNewsController(
        peers=shared.peers,
        limits=rate_limits,
        clock=shared.clock,
        metrics=shared.metrics,
    )
    permits = Permits(
        rate_limits,
        lambda wanted, patience: permit_exchange.handle_wanted(wanted, patience),
    )
    permit_exchange = PermitExchange(
        peers=shared.peers,
        permits=permits,
        news=rate_limit_news,
        list_candidates=list_candidates,
        count_instances=count_instances,
        clock=shared.clock,
        random_source=shared.random_source,
        metrics=shared.metrics,
    )
    load_balancer = LoadBalancer(
        target_table=shared.target_table,
        data_centre=settings.data_centre,
        random_source=shared.random_source,
        limits=SendLimits(cold=cold, brittle=brittle, permits=permits, rests=rests),
        speeds=TargetSpeeds(settings.measured_speeds, log_target_speed),
        own=settings.peers_listen,
    )
    slot_loans = SlotLoansController(
        own=settings.peers_listen,
        peers=shared.peers,
        lending=lending,
        brittle_targets=brittle,
        load_balancer=load_balancer,
        target_table=shared.target_table,
        clock=shared.clock,
        metrics=shared.metrics,
        decisions=shared.decisions,
    )
    return TargetParts(
        cold=cold,
        brittle=brittle,
        rests=rests,
        rest_news=rest_news,
        maker_limits=SendLimits(
            # the owner of a group of makers sends all calls to them
            brittle=BrittleTargets(
                services=brittle_services, on_changed=log_brittle_target
            ),
            permits=permits,
            rests=rests,
        ),
        permit_exchange=permit_exchange,
        rate_limit_news=rate_limit_news,
        brittle_news=brittle_news,
        slot_loans=slot_loans,
        load_balancer=load_balancer,
    )
