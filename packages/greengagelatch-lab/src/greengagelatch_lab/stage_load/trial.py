"""One trial: a modelled fleet under load, scheduled by the real code."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass
from typing import TYPE_CHECKING

from looptime import LoopTimeEventLoop

from greengagelatch.clock import Clock
from greengagelatch.relay.admission import DeadlineAdmission, RouteAdmission
from greengagelatch.relay.batches import BatchPolicy, CrossRequestBatching
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

from .arrivals import draw_arrivals
from .instances import ENGINES, InstanceFactory, ModelledInstance
from .models import Engine, Maker, ModelLinks, Results
from .outcomes import ClassOutcome, Outcome

if TYPE_CHECKING:
    from collections.abc import Callable

    from greengagelatch.relay.pieces import Piece

    from .arrivals import Arrival
    from .shapes import CallerClass, FleetShape, Scenario, StageShape

__all__ = ("Policies", "run_trial")

#: maximum delay of a caller's retry, as a share of the time left to its deadline
RETURN_SHARE = 1 / 3
#: seconds for which a trial continues after the last request, so that work drains
TAIL = 8.0


class _VirtualLoop(LoopTimeEventLoop, asyncio.SelectorEventLoop):
    """An event loop in virtual time, which never sleeps."""


class LoopClock(Clock):
    """Reads the virtual time of the running event loop."""

    def now(self) -> float:
        return asyncio.get_running_loop().time()

    def wall(self) -> float:
        return self.now()


@dataclass(frozen=True, slots=True, kw_only=True)
class Policies:
    """The policies under which a trial runs."""

    create_batches: Callable[[], BatchPolicy] = CrossRequestBatching
    create_admission: Callable[[], RouteAdmission] = DeadlineAdmission
    create_division: Callable[[], OwnershipPolicy] = CapacityBasedOwnership
    #: whether a single instance knows that it has exclusive use of the makers
    sole: bool = True


class _Trial:
    def __init__(
        self, shape: FleetShape, scenario: Scenario, policies: Policies, seed: int
    ) -> None:
        self.shape = shape
        self.scenario = scenario
        self.seed = seed
        self.random = random.Random(seed)
        self.clock = LoopClock()
        self.results = Results()
        self.outcome = Outcome()
        self.book = TargetTable()
        self.makers: dict[str, Maker] = {}
        self.engines: dict[str, Engine] = {}
        self.centres = [f"dc-{number}" for number in range(shape.data_centres)]
        self.classes = {one.name: one for one in shape.classes}
        self.routes = {one.name: _create_route(one) for one in shape.classes}
        self.deployment = _create_deployment(shape, tuple(self.routes.values()))
        self._list_targets()
        self.instances = self._create_instances(policies)
        #: assigns callers to instances; a separate source, as its draws must not depend
        #: on the policies
        self.balancer = random.Random(f"{seed} balancer")
        self.number = 0

    async def run(self) -> Outcome:
        losses = [self._lose(loss) for loss in self.scenario.losses]
        desks = [one.desk for one in self.instances if one.desk is not None]
        for desk in desks:
            await desk.start()
        await asyncio.gather(self._send_all(), *losses)
        await asyncio.sleep(TAIL)
        for desk in desks:
            await desk.stop()
        self.outcome.maker_seconds = sum(
            maker.busy_seconds for maker in self.makers.values()
        )
        self.outcome.unread_share = self.results.unread / max(1, self.results.made)
        self.outcome.moved_bytes = self.results.moved_bytes
        self.outcome.read_tokens = sum(
            engine.read_tokens for engine in self.engines.values()
        )
        machines = [one.machine for one in self.instances if one.machine is not None]
        self.outcome.busiest_link = max(
            (machine.busiest_link for machine in machines), default=0.0
        )
        return self.outcome

    def _list_targets(self) -> None:
        for shape in self.shape.makers:
            for number in range(shape.count):
                address = f"{shape.name}-{number}"
                place = self.centres[number % len(self.centres)]
                self.makers[address] = Maker(
                    shape, address, place, self.results, self.random
                )
                self._list_target(address, shape.name, place)
        for number in range(self.shape.engines):
            target_id = f"engine-{number}"
            place = self.centres[number % len(self.centres)]
            self.engines[target_id] = Engine(target_id, place, self.results)
            self._list_target(target_id, ENGINES, place)

    def _list_target(self, target_id: str, service: str, place: str) -> None:
        self.book.put(
            ListedTarget(
                incarnation=Incarnation(target_id),
                service=service,
                address=target_id,
                data_centre=place,
                revision=1,
            )
        )

    def _create_instances(self, policies: Policies) -> list[ModelledInstance]:
        factory = InstanceFactory(
            clock=self.clock,
            book=self.book,
            deployment=self.deployment,
            engines=self.engines,
            links=ModelLinks(self.makers, self.results, self._find_stage),
            centres=self.centres,
            random_source=self.random,
            create_batches=policies.create_batches,
            create_admission=policies.create_admission,
            create_division=policies.create_division,
        )
        if not self.shape.instances:
            return [factory.create_single(sole=policies.sole)]
        return factory.create_all(self.shape)

    def _find_stage(self, piece: Piece) -> StageShape:
        name = piece.request_id.partition("/")[0]
        return self.classes[name].stages[piece.stage]

    async def _lose(self, loss) -> None:
        """Take a maker down for a while; ``:N`` is the N-th service, counted from 0."""
        service = self.shape.makers[int(loss.service[1:])].name
        maker = self.makers[f"{service}-1"]
        await asyncio.sleep(loss.begin)
        maker.lost = True
        await asyncio.sleep(loss.seconds)
        maker.lost = False

    async def _send_all(self) -> None:
        loop = asyncio.get_running_loop()
        tasks = []
        for arrival in draw_arrivals(self.shape, self.scenario, self.seed):
            await asyncio.sleep(max(0.0, arrival.at - loop.time()))
            tasks.append(asyncio.create_task(self._ask(arrival)))
        await asyncio.gather(*tasks)

    async def _ask(self, arrival: Arrival) -> None:
        """Simulate one caller, which retries once after a refusal."""
        caller_class = arrival.caller_class
        outcome = self.outcome.classes.setdefault(caller_class.name, ClassOutcome())
        outcome.asked += 1
        self.outcome.owed += caller_class.worth
        began = self.clock.now()
        for attempt in range(2):
            left = caller_class.deadline - (self.clock.now() - began)
            retry = await self._try(arrival, left)
            if retry is None:
                seconds = self.clock.now() - began
                outcome.times.append(seconds)
                if seconds <= caller_class.objective:
                    outcome.in_time += 1
                    self.outcome.earned += caller_class.worth
                elif seconds <= caller_class.deadline:
                    outcome.late += 1
                    self.outcome.earned += caller_class.late_worth
                return
            outcome.refused += 1
            outcome.refused_again += attempt
            if not attempt:
                left = caller_class.deadline - (self.clock.now() - began)
                await asyncio.sleep(max(0.0, min(retry, left * RETURN_SHARE)))

    async def _try(self, arrival: Arrival, left: float) -> float | None:
        """Send a request once.

        :return: ``None`` if it was answered, else seconds to wait before a retry.
        """
        now = self.clock.now()
        instance = self.balancer.choice(self.instances)
        name = arrival.caller_class.name
        route = self.routes[name]
        request = OpaqueRequest(
            request_id=f"{name}/{self.number}",
            method="POST",
            host="",
            target="/",
            headers=(),
            body=b"",
            received=now,
            timeout=left,
            prompt=arrival.prompt,
            piece_counts=arrival.piece_counts,
            piece_key="key",
        )
        self.number += 1
        exchange = RelayExchange(
            request=request,
            writer=None,
            deployment=self.deployment,
            route=route,
            service=ENGINES,
            rank=compute_rank(route.priority, arrival.workspace_priority),
            deadline=now + left,
        )
        try:
            async with asyncio.timeout(left):
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
    loop = _VirtualLoop(start=0.0, noop_cycles=0)
    asyncio.set_event_loop(loop)
    try:
        return loop.run_until_complete(_create_and_run(shape, scenario, policies, seed))
    finally:
        loop.close()
        asyncio.set_event_loop(None)


async def _create_and_run(
    shape: FleetShape, scenario: Scenario, policies: Policies, seed: int
) -> Outcome:
    return await _Trial(shape, scenario, policies, seed).run()
