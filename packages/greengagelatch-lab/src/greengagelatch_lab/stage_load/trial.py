"""One trial: a modelled fleet under load, scheduled by the real code."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass
from typing import TYPE_CHECKING

from greengagelatch.relay.admission import DeadlineAdmission, RouteAdmission
from greengagelatch.relay.batches import BatchPolicy, CrossRequestBatching
from greengagelatch.relay.bundle_orders import BundleOrder
from greengagelatch.relay.configured_order import ConfiguredOrder
from greengagelatch.relay.deployment import (
    Deployment,
    Route,
    RoutedService,
    RouteKind,
    RouteStage,
)
from greengagelatch.relay.groups import CapacityBasedOwnership, OwnershipPolicy
from greengagelatch.relay.incarnations import Incarnation
from greengagelatch.relay.requests import OpaqueRequest, RefusedError
from greengagelatch.relay.targets import ListedTarget, TargetTable
from greengagelatch.relay.urgency import compute_rank
from greengagelatch_entry.relay.exchange import RelayExchange

from .arrivals import generate_arrivals
from .instances import ENGINES, InstanceFactory, ModelledInstance
from .models import Engine, Maker, ModelConnections, ResultTable
from .outcomes import ClassOutcome, Outcome
from .virtual_time import LoopClock, run_in_virtual_time

if TYPE_CHECKING:
    from collections.abc import Callable

    from greengagelatch.relay.pieces import Piece

    from .arrivals import Arrival
    from .shapes import CallerClass, FleetShape, Scenario, StageShape

__all__ = ("Policies", "run_trial")

#: maximum delay of a caller's retry, as a share of the time left to its deadline
RETRY_DELAY_SHARE = 1 / 3
#: seconds for which a trial continues after the last request, so that work drains
DRAIN_SECONDS = 8.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Policies:
    """The policies under which a trial runs."""

    create_order: Callable[[str, Callable], BundleOrder] = ConfiguredOrder
    create_batch_policy: Callable[[BundleOrder], BatchPolicy] = CrossRequestBatching
    create_admission: Callable[[], RouteAdmission] = DeadlineAdmission
    create_ownership_policy: Callable[[], OwnershipPolicy] = CapacityBasedOwnership
    #: whether a single instance knows that it has exclusive use of the makers
    exclusive: bool = True


class _Trial:
    def __init__(
        self, shape: FleetShape, scenario: Scenario, policies: Policies, seed: int
    ) -> None:
        self.shape = shape
        self.scenario = scenario
        self.seed = seed
        self.random = random.Random(seed)
        self.clock = LoopClock()
        self.results = ResultTable()
        self.outcome = Outcome()
        self.target_table = TargetTable()
        self.makers: dict[str, Maker] = {}
        self.engines: dict[str, Engine] = {}
        self.data_centres = [f"dc-{number}" for number in range(shape.data_centres)]
        self.classes = {one.name: one for one in shape.classes}
        self.routes = {one.name: _create_route(one) for one in shape.classes}
        self.deployment = _create_deployment(shape, tuple(self.routes.values()))
        self._create_targets()
        self.instances = self._create_instances(policies)
        #: assigns callers to instances; a separate source, as its draws must not depend
        #: on the policies
        self.balancer = random.Random(f"{seed} balancer")
        self.request_number = 0

    async def run(self) -> Outcome:
        outages = [self._simulate_outage(outage) for outage in self.scenario.outages]
        executors = [one.executor for one in self.instances if one.executor is not None]
        for executor in executors:
            await executor.start()
        await asyncio.gather(self._send_all(), *outages)
        await asyncio.sleep(DRAIN_SECONDS)
        for executor in executors:
            await executor.stop()
        self.outcome.maker_seconds = sum(
            maker.busy_seconds for maker in self.makers.values()
        )
        self.outcome.unread_share = self.results.unread / max(1, self.results.produced)
        self.outcome.moved_bytes = self.results.moved_bytes
        self.outcome.prefilled_tokens = sum(
            engine.prefilled_tokens for engine in self.engines.values()
        )
        hosts = [one.host for one in self.instances if one.host is not None]
        self.outcome.busiest_link = max(
            (host.busiest_link for host in hosts), default=0.0
        )
        return self.outcome

    def _create_targets(self) -> None:
        for shape in self.shape.makers:
            for number in range(shape.count):
                address = f"{shape.name}-{number}"
                data_centre = self.data_centres[number % len(self.data_centres)]
                self.makers[address] = Maker(
                    shape, address, data_centre, self.results, self.random
                )
                self._register_target(address, shape.name, data_centre)
        for number in range(self.shape.engines):
            target_id = f"engine-{number}"
            data_centre = self.data_centres[number % len(self.data_centres)]
            self.engines[target_id] = Engine(target_id, data_centre, self.results)
            self._register_target(target_id, ENGINES, data_centre)

    def _register_target(self, target_id: str, service: str, data_centre: str) -> None:
        self.target_table.put(
            ListedTarget(
                incarnation=Incarnation(target_id),
                service=service,
                address=target_id,
                data_centre=data_centre,
                revision=1,
            )
        )

    def _create_instances(self, policies: Policies) -> list[ModelledInstance]:
        factory = InstanceFactory(
            clock=self.clock,
            target_table=self.target_table,
            deployment=self.deployment,
            engines=self.engines,
            connections=ModelConnections(self.makers, self.results, self._find_stage),
            data_centres=self.data_centres,
            random_source=self.random,
            create_order=policies.create_order,
            create_batch_policy=policies.create_batch_policy,
            create_admission=policies.create_admission,
            create_ownership_policy=policies.create_ownership_policy,
        )
        if not self.shape.instances:
            return [factory.create_single(exclusive=policies.exclusive)]
        return factory.create_all(self.shape)

    def _find_stage(self, piece: Piece) -> StageShape:
        name = piece.request_id.partition("/")[0]
        return self.classes[name].stages[piece.stage]

    async def _simulate_outage(self, outage) -> None:
        """Take a maker down for a while; ``:N`` is the N-th service, counted from 0."""
        service = self.shape.makers[int(outage.service[1:])].name
        maker = self.makers[f"{service}-1"]
        await asyncio.sleep(outage.begin)
        maker.lost = True
        await asyncio.sleep(outage.seconds)
        maker.lost = False

    async def _send_all(self) -> None:
        loop = asyncio.get_running_loop()
        tasks = []
        for arrival in generate_arrivals(self.shape, self.scenario, self.seed):
            await asyncio.sleep(max(0.0, arrival.at - loop.time()))
            tasks.append(asyncio.create_task(self._run_caller(arrival)))
        await asyncio.gather(*tasks)

    async def _run_caller(self, arrival: Arrival) -> None:
        """Simulate one caller, which retries once after a refusal."""
        caller_class = arrival.caller_class
        outcome = self.outcome.classes.setdefault(caller_class.name, ClassOutcome())
        outcome.request_count += 1
        self.outcome.offered_utility += caller_class.utility
        started_at = self.clock.now()
        for attempt in range(2):
            time_left = caller_class.deadline - (self.clock.now() - started_at)
            retry = await self._send_once(arrival, time_left)
            if retry is None:
                seconds = self.clock.now() - started_at
                outcome.latencies.append(seconds)
                if seconds <= caller_class.objective:
                    outcome.in_time += 1
                    self.outcome.earned_utility += caller_class.utility
                elif seconds <= caller_class.deadline:
                    outcome.late += 1
                    self.outcome.earned_utility += caller_class.late_utility
                return
            outcome.refused += 1
            outcome.refused_again += attempt
            if not attempt:
                time_left = caller_class.deadline - (self.clock.now() - started_at)
                await asyncio.sleep(max(0.0, min(retry, time_left * RETRY_DELAY_SHARE)))

    async def _send_once(self, arrival: Arrival, time_left: float) -> float | None:
        """Send a request once.

        :return: ``None`` if it was answered, else seconds to wait before a retry.
        """
        now = self.clock.now()
        instance = self.balancer.choice(self.instances)
        name = arrival.caller_class.name
        route = self.routes[name]
        request = OpaqueRequest(
            request_id=f"{name}/{self.request_number}",
            method="POST",
            host="",
            target="/",
            headers=(),
            body=b"",
            received=now,
            timeout=time_left,
            prompt=arrival.prompt,
            piece_counts=arrival.piece_counts,
            piece_key="key",
        )
        self.request_number += 1
        exchange = RelayExchange(
            request=request,
            writer=None,
            deployment=self.deployment,
            route=route,
            service=ENGINES,
            rank=compute_rank(route.priority, arrival.workspace_priority),
            deadline=now + time_left,
        )
        try:
            async with asyncio.timeout(time_left):
                await instance.streams.run(exchange)
        except RefusedError as error:
            return (error.refusal.retry_after_ms or 0) / 1000
        except TimeoutError:
            return 1.0
        return None if exchange.outcome == "answered" else 1.0


def _create_route(caller_class: CallerClass) -> Route:
    return Route(
        name=caller_class.name,
        host="",
        prefix="/",
        kind=RouteKind.STREAMING,
        timeout=caller_class.deadline,
        objective=caller_class.objective,
        priority=caller_class.priority,
        stages=tuple(
            RouteStage(
                service=stage.service,
                after=stage.after,
                result_bytes=stage.result_bytes,
            )
            for stage in caller_class.stages
        ),
        longest_pause=0.25,
    )


def _create_deployment(shape: FleetShape, routes: tuple[Route, ...]) -> Deployment:
    services = {
        one.name: RoutedService(
            name=one.name,
            maker=one.create_profile(),
        )
        for one in shape.makers
    }
    return Deployment(version=1, routes=routes, services=services)


def run_trial(
    shape: FleetShape, scenario: Scenario, policies: Policies, seed: int
) -> Outcome:
    """Run one trial in virtual time and return its outcome."""
    return run_in_virtual_time(_create_and_run(shape, scenario, policies, seed))


async def _create_and_run(
    shape: FleetShape, scenario: Scenario, policies: Policies, seed: int
) -> Outcome:
    return await _Trial(shape, scenario, policies, seed).run()
