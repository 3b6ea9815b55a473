"""Composition of the execution of stages."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from greengagelatch.relay.batches import CrossRequestBatching
from greengagelatch.relay.configured_order import ConfiguredOrder
from greengagelatch.relay.groups import CapacityBasedOwnership
from greengagelatch.relay.placed_batches import PlacedBatching

from .bundle_quarantine import SharedBundleQuarantine
from .forwarding_stage_executor import ForwardingStageExecutor
from .local_stage_executor import LocalStageExecutor
from .retry_budgets import RetryBudgets
from .stage_groups import MakerGroups
from .stage_pool import StagePool
from .stages import StageRunner

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from greengagelatch.relay.deployment import MakerProfile, Route
    from greengagelatch.relay.groups import MakerGroup
    from greengagelatch.relay.load_balancer import LoadBalancer
    from greengagelatch.relay.send_limits import SendLimits

    from .crash_parts import CrashParts
    from .ownership import Ownership
    from .parts import SharedParts
    from .target_connections import TargetConnectionPool

__all__ = ("StageParts", "compose_stage_parts")

#: lower bound on the instances assumed to own the same service at a time: several
#: may batch its pieces while their views of the membership differ
ASSUMED_OWNERS = 3


@dataclass(frozen=True, slots=True, kw_only=True)
class StageParts:
    """Components that execute stages, here or at the owners of their makers."""

    local_executor: LocalStageExecutor
    executor: ForwardingStageExecutor
    runner: StageRunner


def compose_stage_parts(
    shared: SharedParts,
    *,
    find_profile: Callable[[str], MakerProfile | None],
    list_routes: Callable[[], Sequence[Route]],
    connections: TargetConnectionPool,
    crashes: CrashParts,
    load_balancer: LoadBalancer,
    limits: SendLimits,
    ownership: Ownership,
) -> StageParts:
    """Build and wire the components without starting them.

    :param find_profile: returns the configured profile of a service's makers
    :param list_routes: returns the configured routes
    :param limits: limits on calls to makers
    """
    settings = shared.settings
    groups = MakerGroups(
        rule=CapacityBasedOwnership(),
        target_table=shared.target_table,
        list_members=shared.peers.members,
        find_profile=find_profile,
    )
    quarantine = SharedBundleQuarantine(
        quarantine=crashes.quarantine,
        locks=crashes.locks,
        crash_detector=crashes.detector,
        clock=shared.clock,
    )
    budgets = RetryBudgets(
        rule=settings.retry_budget,
        clock=shared.clock,
        # how many instances share them
        count_instances=lambda: max(ASSUMED_OWNERS, groups.count_max_groups()),
    )

    def create_pool(group: MakerGroup) -> StagePool:
        order = ConfiguredOrder(group.service, list_routes)
        return StagePool(
            group,
            list_makers=lambda: groups.list_makers(group),
            find_profile=lambda: find_profile(group.service),
            is_exclusive=lambda: ownership.is_exclusive(group),
            quarantine=quarantine,
            policy=PlacedBatching(CrossRequestBatching(order)),
            order=order,
            target_table=shared.target_table,
            connections=connections,
            codec=shared.adapters.targets,
            budgets=budgets,
            limits=limits,
            clock=shared.clock,
            metrics=shared.metrics,
            decisions=shared.decisions,
        )

    local_executor = LocalStageExecutor(
        create_pool=create_pool, find_group=groups.find_group
    )
    executor = ForwardingStageExecutor(
        local=local_executor,
        groups=groups,
        ownership=ownership,
        peers=shared.peers,
        data_centre=settings.data_centre,
        find_profile=find_profile,
        clock=shared.clock,
        random_source=shared.random_source,
        metrics=shared.metrics,
        decisions=shared.decisions,
    )
    runner = StageRunner(
        executor=executor,
        clock=shared.clock,
        decisions=shared.decisions,
        data_centre=settings.data_centre,
        load_balancer=load_balancer,
        target_table=shared.target_table,
        random_source=shared.random_source,
    )
    return StageParts(local_executor=local_executor, executor=executor, runner=runner)
