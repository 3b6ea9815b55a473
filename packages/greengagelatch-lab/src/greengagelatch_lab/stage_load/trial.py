"""One trial: a fleet under a load, decided on by the real code."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from looptime import LoopTimeEventLoop

from greengagelatch.clock import Clock
from greengagelatch.relay.admission import EstimateRule, RouteAdmission
from greengagelatch.relay.batches import BatchPolicy, SharedCalls
from greengagelatch.relay.deployment import (
    Deployment,
    Route,
    RoutedService,
    RouteKind,
    RouteStage,
)
from greengagelatch.relay.fleet import EngineNeed, Fleet
from greengagelatch.relay.incarnations import Incarnation
from greengagelatch.relay.repeats import RepeatRule
from greengagelatch.relay.requests import (
    OpaqueRequest,
    RefusedError,
)
from greengagelatch.relay.targets import ListedTarget, TargetBook
from greengagelatch.relay.urgency import compute_rank
from greengagelatch_entry.relay.budgets import RepeatBudgets
from greengagelatch_entry.relay.desk import LocalDesk
from greengagelatch_entry.relay.exchange import RelayExchange
from greengagelatch_entry.relay.run_times import RunTimes
from greengagelatch_entry.relay.stage_pool import StagePool
from greengagelatch_entry.relay.stages import StageRunner
from greengagelatch_entry.relay.streams import StreamRunner

from .arrivals import draw_arrivals
from .models import Engine, Maker, ModelCodec, ModelLinks, Results

if TYPE_CHECKING:
    from collections.abc import Callable

    from greengagelatch.relay.pieces import Piece
    from greengagelatch_entry.relay.stages import StageResults, StageRun

    from .arrivals import Arrival
    from .shapes import CallerClass, FleetShape, Scenario, StageShape

__all__ = ("Outcome", "Policies", "run_trial")

ENGINES = "engines"
#: share of the time left within which callers come back after a refusal
RETURN_SHARE = 1 / 3
#: seconds after the last arrival for which the trial goes on
TAIL = 8.0


class _VirtualLoop(LoopTimeEventLoop, asyncio.SelectorEventLoop):
    """A loop that never waits in real time."""


class LoopClock(Clock):
    """The time of the running loop, which is a virtual one."""

    def now(self) -> float:
        return asyncio.get_running_loop().time()

    def wall(self) -> float:
        return self.now()


class _Silent:
    """Takes the place of logs and metrics."""

    def note(self, kind: str, **fields) -> None:
        pass

    def count(self, name: str, number: float = 1) -> None:
        pass


@dataclass(frozen=True, slots=True, kw_only=True)
class Policies:
    """The decisions that a trial is run with."""

    create_batches: Callable[[], BatchPolicy] = SharedCalls
    create_admission: Callable[[], RouteAdmission] = EstimateRule
    #: whether the instance knows that no other one calls the makers
    sole: bool = True


@dataclass(slots=True)
class ClassOutcome:
    """What became of one class's requests."""

    asked: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    refused_again: int = 0
    #: seconds until the first event, of those answered
    times: list[float] = field(default_factory=list)

    @property
    def unserved(self) -> int:
        """Requests that nobody answered."""
        return self.asked - self.in_time - self.late


@dataclass(slots=True)
class Outcome:
    """What a trial came to."""

    classes: dict[str, ClassOutcome] = field(default_factory=dict)
    earned: float = 0.0
    owed: float = 0.0
    #: seconds of makers' work, and the share of results that nobody read
    maker_seconds: float = 0.0
    unread_share: float = 0.0
    moved_bytes: float = 0.0
    read_tokens: float = 0.0

    @property
    def credit(self) -> float:
        """Share of the worth owed that was earned."""
        return self.earned / self.owed if self.owed else 1.0

    @property
    def unserved_share(self) -> float:
        """Share of the requests that nobody answered."""
        asked = sum(one.asked for one in self.classes.values())
        return sum(one.unserved for one in self.classes.values()) / max(1, asked)


class _ModelledStreams(StreamRunner):
    """Runs requests at modelled engines instead of sending them."""

    def __init__(self, *, engines: dict[str, Engine], **parts) -> None:
        super().__init__(**parts)
        self._engines = engines

    async def pass_on(
        self, exchange: RelayExchange, run: StageRun, results: StageResults
    ) -> None:
        prompt = exchange.request.prompt
        need = EngineNeed(prompt, results.bytes_by_data_centre)
        started = self.clock.now()
        target = self.fleet.choose_engine(ENGINES, need, frozenset(), started)
        tokens = self.fleet.count_tokens(target.incarnation, prompt, started)
        self.fleet.start(target.incarnation, tokens)
        shared, own = prompt.parts
        engine = self._engines[target.target_id]
        read = await engine.read(
            results.inputs or (), shared.part_id, shared.tokens, own.tokens
        )
        now = self.clock.now()
        self.fleet.begin(target.incarnation, tokens)
        if read:
            self.times.note_first(exchange, now - started)
            self.fleet.note_parts(target.incarnation, prompt, now)
            exchange.outcome = "answered"
        run.free()
        self.fleet.finish(target.incarnation)


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
        self.book = TargetBook()
        self.makers: dict[str, Maker] = {}
        self.engines: dict[str, Engine] = {}
        self.centres = [f"dc-{number}" for number in range(shape.data_centres)]
        self.classes = {one.name: one for one in shape.classes}
        self.routes = {one.name: _create_route(one) for one in shape.classes}
        self.deployment = _create_deployment(shape, tuple(self.routes.values()))
        self._list_targets()
        self.runner = self._create_runner(policies)
        self.number = 0

    async def run(self) -> Outcome:
        losses = [self._lose(loss) for loss in self.scenario.losses]
        await asyncio.gather(self._send_all(), *losses)
        await asyncio.sleep(TAIL)
        self.outcome.maker_seconds = sum(
            maker.busy_seconds for maker in self.makers.values()
        )
        self.outcome.unread_share = self.results.unread / max(1, self.results.made)
        self.outcome.moved_bytes = self.results.moved_bytes
        self.outcome.read_tokens = sum(
            engine.read_tokens for engine in self.engines.values()
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

    def _create_runner(self, policies: Policies) -> _ModelledStreams:
        fleet = Fleet(book=self.book, data_centre="", random_source=self.random)
        budgets = RepeatBudgets(
            rule=RepeatRule(slack=1e6), clock=self.clock, count_instances=lambda: 1
        )
        links = ModelLinks(self.makers, self.results, self._find_stage)
        parts = {
            "book": self.book,
            "links": links,
            "codec": ModelCodec(),
            "budgets": budgets,
            "clock": self.clock,
            "metrics": _Silent(),
            "decisions": _Silent(),
        }
        services = self.deployment.services
        desk = LocalDesk(
            create_pool=lambda service: StagePool(
                service,
                find_profile=lambda: services[service].maker,
                is_sole=lambda: policies.sole,
                policy=policies.create_batches(),
                **parts,
            )
        )
        stages = StageRunner(
            desk=desk,
            clock=self.clock,
            decisions=_Silent(),
            data_centre=self.centres[0],
            fleet=fleet,
            book=self.book,
        )
        return _ModelledStreams(
            engines=self.engines,
            stages=stages,
            codec=parts["codec"],
            times=RunTimes(),
            admission=policies.create_admission(),
            sender=None,
            fleet=fleet,
            budgets=budgets,
            clock=self.clock,
        )

    def _find_stage(self, piece: Piece) -> StageShape:
        name = piece.request_id.partition("/")[0]
        return self.classes[name].stages[piece.stage]

    async def _lose(self, loss) -> None:
        """Lose a maker; ``:N`` names the service of the N-th stage of the chain."""
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
        """Play one caller, who comes back once after a refusal."""
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
        """Send once; ``None`` if it was answered, else when to come back."""
        now = self.clock.now()
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
            patience=left,
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
                await self.runner.run(exchange)
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
    """Run one trial in virtual time."""
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
