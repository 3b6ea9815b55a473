"""Entry instances of a trial: real scheduling code, modelled targets and links."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from greengagelatch.relay.load_balancer import EngineDemand, LoadBalancer
from greengagelatch.relay.quarantine import Quarantine
from greengagelatch.relay.retry_budget import RetryBudgetRule
from greengagelatch_entry.relay.bundle_quarantine import DisabledBundleQuarantine
from greengagelatch_entry.relay.forwarding_stage_executor import ForwardingStageExecutor
from greengagelatch_entry.relay.local_stage_executor import LocalStageExecutor
from greengagelatch_entry.relay.ownership import Ownership
from greengagelatch_entry.relay.retry_budgets import RetryBudgets
from greengagelatch_entry.relay.route_latencies import RouteLatencies
from greengagelatch_entry.relay.stage_groups import MakerGroups
from greengagelatch_entry.relay.stage_pool import StagePool
from greengagelatch_entry.relay.stages import StageRunner
from greengagelatch_entry.relay.streams import StreamRunner

from .models import ModelCodec
from .network import Machine, ModelNetwork

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from greengagelatch.clock import Clock
    from greengagelatch.relay.admission import RouteAdmission
    from greengagelatch.relay.batches import BatchPolicy
    from greengagelatch.relay.deployment import Deployment, MakerProfile
    from greengagelatch.relay.groups import MakerGroup, OwnershipPolicy
    from greengagelatch.relay.targets import TargetTable
    from greengagelatch_entry.relay.exchange import RelayExchange
    from greengagelatch_entry.relay.stages import StageResults, StageRun

    from .models import Engine, ModelLinks
    from .shapes import FleetShape

__all__ = ("ENGINES", "InstanceFactory", "ModelledInstance", "Silent")

#: service name of all engines
ENGINES = "engines"


class Silent:
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
        need = EngineDemand(prompt, results.bytes_by_data_centre)
        started = self.clock.now()
        target = self.load_balancer.choose_engine(ENGINES, need, frozenset(), started)
        tokens = self.load_balancer.count_tokens(target.incarnation, prompt, started)
        self.load_balancer.start(target.incarnation, tokens)
        shared, own = prompt.parts
        engine = self._engines[target.target_id]
        read = await engine.read(
            results.inputs or (), shared.part_id, shared.tokens, own.tokens
        )
        now = self.clock.now()
        self.load_balancer.finish_prefill(target.incarnation, tokens)
        if read:
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
    desk: ForwardingStageExecutor | None = None
    machine: Machine | None = None


class InstanceFactory:
    """Creates the entry instances of a trial, which share all targets."""

    def __init__(
        self,
        *,
        clock: Clock,
        book: TargetTable,
        deployment: Deployment,
        engines: dict[str, Engine],
        links: ModelLinks,
        centres: list[str],
        random_source: random.Random,
        create_batches: Callable[[], BatchPolicy],
        create_admission: Callable[[], RouteAdmission],
        create_division: Callable[[], OwnershipPolicy],
    ) -> None:
        self._clock = clock
        self._book = book
        self._deployment = deployment
        self._engines = engines
        self._links = links
        self._centres = centres
        self._random = random_source
        self._create_batches = create_batches
        self._create_admission = create_admission
        self._create_division = create_division

    def create_single(self, *, sole: bool) -> ModelledInstance:
        """Create an instance that executes all stages locally.

        :param sole: whether it has exclusive use of the makers and knows it
        """
        groups = self._create_groups(tuple)
        desk = self._create_local(self._links, groups, lambda group: sole)
        return ModelledInstance(self._create_streams(desk, self._centres[0], ""))

    def create_all(self, shape: FleetShape) -> list[ModelledInstance]:
        """Create the instances of a fleet, connected to each other as peers."""
        network = ModelNetwork()
        return [
            self._create_linked(network, f"{centre}-{size}-{number}", centre, machine)
            for centre in self._centres
            for size, instances in enumerate(shape.instances)
            for number, machine in enumerate(
                Machine(instances) for _ in range(instances.count)
            )
        ]

    def _create_linked(
        self, network: ModelNetwork, instance_id: str, centre: str, machine: Machine
    ) -> ModelledInstance:
        peers = network.join(instance_id, centre, machine)
        ownership = Ownership(peers=peers, clock=self._clock, decisions=Silent())
        groups = self._create_groups(peers.members)
        local = self._create_local(
            self._links.through(machine), groups, ownership.is_exclusive
        )
        desk = ForwardingStageExecutor(
            local=local,
            groups=groups,
            ownership=ownership,
            peers=peers,
            data_centre=centre,
            find_profile=self._find_profile,
            clock=self._clock,
            random_source=self._random,
            metrics=Silent(),
            decisions=Silent(),
        )
        streams = self._create_streams(desk, centre, centre)
        return ModelledInstance(streams, desk, machine)

    def _create_groups(self, list_members) -> MakerGroups:
        return MakerGroups(
            rule=self._create_division(),
            target_table=self._book,
            list_members=list_members,
            find_profile=self._find_profile,
        )

    def _find_profile(self, service: str) -> MakerProfile | None:
        return self._deployment.services[service].maker

    def _create_local(
        self, links, groups: MakerGroups, is_exclusive: Callable[[MakerGroup], bool]
    ) -> LocalStageExecutor:
        return LocalStageExecutor(
            find_group=groups.find_group,
            create_pool=lambda group: StagePool(
                group,
                list_makers=lambda: groups.list_makers(group),
                find_profile=lambda: self._find_profile(group.service),
                is_exclusive=lambda: is_exclusive(group),
                quarantine=DisabledBundleQuarantine(),
                policy=self._create_batches(),
                target_table=self._book,
                connections=links,
                codec=ModelCodec(),
                budgets=self._create_budgets(),
                clock=self._clock,
                metrics=Silent(),
                decisions=Silent(),
            ),
        )

    def _create_budgets(self) -> RetryBudgets:
        return RetryBudgets(
            rule=RetryBudgetRule(slack=1e6),
            clock=self._clock,
            count_instances=lambda: 1,
        )

    def _create_streams(self, desk, centre: str, near: str) -> ModelledStreams:
        fleet = LoadBalancer(
            target_table=self._book, data_centre=near, random_source=self._random
        )
        stages = StageRunner(
            executor=desk,
            clock=self._clock,
            decisions=Silent(),
            data_centre=centre,
            load_balancer=fleet,
            target_table=self._book,
        )
        return ModelledStreams(
            engines=self._engines,
            stages=stages,
            codec=ModelCodec(),
            times=RouteLatencies(),
            admission=self._create_admission(),
            sender=None,
            quarantine=Quarantine(),
            load_balancer=fleet,
            budgets=self._create_budgets(),
            clock=self._clock,
        )
