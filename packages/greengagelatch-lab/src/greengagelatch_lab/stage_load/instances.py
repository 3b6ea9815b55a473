"""Entry instances of a trial: real scheduling code, modelled targets and links."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from greengagelatch.relay.engine_costs import EngineDemand
from greengagelatch.relay.load_balancer import LoadBalancer
from greengagelatch.relay.retry_budget import RetryBudgetRule
from greengagelatch_entry.relay.brittle_admission import BrittleAdmission
from greengagelatch_entry.relay.bundle_quarantine import DisabledBundleQuarantine
from greengagelatch_entry.relay.forwarding_stage_executor import ForwardingStageExecutor
from greengagelatch_entry.relay.local_stage_executor import LocalStageExecutor
from greengagelatch_entry.relay.ownership import Ownership
from greengagelatch_entry.relay.retry_budgets import RetryBudgets
from greengagelatch_entry.relay.route_latencies import RouteLatencies
from greengagelatch_entry.relay.stage_groups import MakerGroups
from greengagelatch_entry.relay.stage_pool import StagePool
from greengagelatch_entry.relay.stages import StageRunner
from greengagelatch_entry.relay.stream_admission import StreamAdmission
from greengagelatch_entry.relay.stream_version_exchange import StreamVersionExchange
from greengagelatch_entry.relay.streams import StreamRunner
from greengagelatch_entry.relay.version_history import VersionHistory

from ..standins.peers import MemoryNetwork
from .models import ModelCodec
from .network import ModelHost, ModelNetwork

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from greengagelatch.clock import Clock
    from greengagelatch.relay.admission import RouteAdmission
    from greengagelatch.relay.batches import BatchPolicy
    from greengagelatch.relay.bundle_orders import BundleOrder
    from greengagelatch.relay.deployment import Deployment, MakerProfile
    from greengagelatch.relay.groups import MakerGroup, OwnershipPolicy
    from greengagelatch.relay.targets import TargetTable
    from greengagelatch_entry.relay.exchange import RelayExchange
    from greengagelatch_entry.relay.stages import StageResults, StageRun

    from .models import Engine, ModelConnections
    from .shapes import FleetShape

__all__ = ("ENGINES", "InstanceFactory", "ModelledInstance", "NullTelemetry")

#: service name of all engines
ENGINES = "engines"


class NullTelemetry:
    """Discard decision logs and metrics."""

    def log_decision(self, kind: str, **fields) -> None:
        pass

    def log_state_change(self, kind: str, **fields) -> None:
        pass

    def count(self, name: str, number: float = 1) -> None:
        pass


class ModelledStreams(StreamRunner):
    """Runs requests on modelled engines instead of sending them over the network."""

    def __init__(self, *, engines: dict[str, Engine], **parts) -> None:
        super().__init__(**parts)
        self._engines = engines

    async def pass_on(
        self, exchange: RelayExchange, run: StageRun, results: StageResults
    ) -> None:
        prompt = exchange.request.prompt
        demand = EngineDemand(prompt, results.bytes_by_data_centre)
        started = self.clock.now()
        target = self.load_balancer.choose_engine(ENGINES, demand, frozenset(), started)
        tokens = self.load_balancer.count_tokens(target.incarnation, prompt, started)
        self.load_balancer.start(target.incarnation, tokens)
        shared, own = prompt.parts
        engine = self._engines[target.target_id]
        prefilled = await engine.prefill(
            results.inputs or (), shared.part_id, shared.tokens, own.tokens
        )
        now = self.clock.now()
        self.load_balancer.finish_prefill(target.incarnation, tokens)
        if prefilled:
            self.times.record_first_part(exchange, now - started)
            self.load_balancer.record_cached_parts(target.incarnation, prompt, now)
            exchange.outcome = "answered"
        run.free()
        self.load_balancer.finish(target.incarnation)


@dataclass(frozen=True, slots=True)
class ModelledInstance:
    """The request path of one entry instance."""

    streams: ModelledStreams
    #: ``None`` for a single instance, which executes all stages locally
    executor: ForwardingStageExecutor | None = None
    host: ModelHost | None = None


class InstanceFactory:
    """Creates the entry instances of a trial, which share all targets."""

    def __init__(
        self,
        *,
        clock: Clock,
        target_table: TargetTable,
        deployment: Deployment,
        engines: dict[str, Engine],
        connections: ModelConnections,
        data_centres: list[str],
        random_source: random.Random,
        create_order: Callable[[str, Callable], BundleOrder],
        create_batch_policy: Callable[[BundleOrder], BatchPolicy],
        create_admission: Callable[[], RouteAdmission],
        create_ownership_policy: Callable[[], OwnershipPolicy],
    ) -> None:
        self._clock = clock
        self._target_table = target_table
        self._deployment = deployment
        self._engines = engines
        self._connections = connections
        self._data_centres = data_centres
        self._random = random_source
        self._create_order = create_order
        self._create_batch_policy = create_batch_policy
        self._create_admission = create_admission
        self._create_ownership_policy = create_ownership_policy

    def create_single(self, *, exclusive: bool) -> ModelledInstance:
        """Create an instance that executes all stages locally.

        :param exclusive: whether it has exclusive use of the makers and knows it
        """
        groups = self._create_groups(tuple)
        executor = self._create_local_executor(
            self._connections, groups, lambda group: exclusive
        )
        return ModelledInstance(
            self._create_streams(executor, self._data_centres[0], "")
        )

    def create_all(self, shape: FleetShape) -> list[ModelledInstance]:
        """Create the instances of a fleet, connected to each other as peers."""
        network = ModelNetwork()
        return [
            self._create_connected(
                network, f"{data_centre}-{size}-{number}", data_centre, host
            )
            for data_centre in self._data_centres
            for size, instances in enumerate(shape.instances)
            for number, host in enumerate(
                ModelHost(instances) for _ in range(instances.count)
            )
        ]

    def _create_connected(
        self, network: ModelNetwork, instance_id: str, data_centre: str, host: ModelHost
    ) -> ModelledInstance:
        peers = network.join(instance_id, data_centre, host)
        ownership = Ownership(peers=peers, clock=self._clock, decisions=NullTelemetry())
        groups = self._create_groups(peers.members)
        local = self._create_local_executor(
            self._connections.on_host(host), groups, ownership.is_exclusive
        )
        executor = ForwardingStageExecutor(
            local=local,
            groups=groups,
            ownership=ownership,
            peers=peers,
            data_centre=data_centre,
            find_profile=self._find_profile,
            clock=self._clock,
            random_source=self._random,
            metrics=NullTelemetry(),
            decisions=NullTelemetry(),
        )
        streams = self._create_streams(executor, data_centre, data_centre)
        return ModelledInstance(streams, executor, host)

    def _create_groups(self, list_members) -> MakerGroups:
        return MakerGroups(
            rule=self._create_ownership_policy(),
            target_table=self._target_table,
            list_members=list_members,
            find_profile=self._find_profile,
        )

    def _find_profile(self, service: str) -> MakerProfile | None:
        return self._deployment.services[service].maker

    def _create_local_executor(
        self,
        connections,
        groups: MakerGroups,
        is_exclusive: Callable[[MakerGroup], bool],
    ) -> LocalStageExecutor:
        def create_pool(group: MakerGroup) -> StagePool:
            order = self._create_order(group.service, lambda: self._deployment.routes)
            return StagePool(
                group,
                list_makers=lambda: groups.list_makers(group),
                find_profile=lambda: self._find_profile(group.service),
                is_exclusive=lambda: is_exclusive(group),
                quarantine=DisabledBundleQuarantine(),
                policy=self._create_batch_policy(order),
                order=order,
                target_table=self._target_table,
                connections=connections,
                codec=ModelCodec(),
                budgets=self._create_budgets(),
                clock=self._clock,
                decisions=NullTelemetry(),
                metrics=NullTelemetry(),
            )

        return LocalStageExecutor(find_group=groups.find_group, create_pool=create_pool)

    def _create_budgets(self) -> RetryBudgets:
        return RetryBudgets(
            rule=RetryBudgetRule(slack=1e6),
            clock=self._clock,
            count_instances=lambda: 1,
        )

    def _create_streams(
        self, executor, data_centre: str, balancer_data_centre: str
    ) -> ModelledStreams:
        load_balancer = LoadBalancer(
            target_table=self._target_table,
            data_centre=balancer_data_centre,
            random_source=self._random,
        )
        stages = StageRunner(
            executor=executor,
            clock=self._clock,
            decisions=NullTelemetry(),
            data_centre=data_centre,
            load_balancer=load_balancer,
            target_table=self._target_table,
            random_source=self._random,
        )
        peers = MemoryNetwork().join("")
        telemetry = {"metrics": NullTelemetry(), "decisions": NullTelemetry()}
        return ModelledStreams(
            engines=self._engines,
            stages=stages,
            codec=ModelCodec(),
            target_table=self._target_table,
            # the modelled callers take up no stream
            versions=StreamVersionExchange(
                peers=peers,
                target_table=self._target_table,
                history=VersionHistory(
                    store=None,
                    peers=peers,
                    target_table=self._target_table,
                    list_services=tuple,
                    list_instances=tuple,
                    find_confirmed_at=self._clock.now,
                    is_first_start=True,
                    clock=self._clock,
                    random_source=self._random,
                    **telemetry,
                ),
                clock=self._clock,
                **telemetry,
            ),
            times=RouteLatencies(),
            admission=StreamAdmission(
                policy=self._create_admission(),
                clock=self._clock,
                random_source=self._random,
                decisions=NullTelemetry(),
            ),
            sender=None,
            suspects=None,
            brittle=BrittleAdmission(
                load_balancer=load_balancer,
                clock=self._clock,
                random_source=self._random,
                metrics=NullTelemetry(),
                # the modelled engines name no rate
                permits=None,
            ),
            find_stop_deadline=lambda: float("inf"),
            is_closing=lambda: False,
            load_balancer=load_balancer,
            budgets=self._create_budgets(),
            clock=self._clock,
            decisions=NullTelemetry(),
        )
