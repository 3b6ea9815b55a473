"""Tests of greengagelatch_entry.stage_quarantine with scripted targets."""

from __future__ import annotations

import asyncio
import random

import pytest
from result import Err, Ok

from greengagelatch.clock import SystemClock
from greengagelatch.config.objects import Pipeline, Stage, StageKind
from greengagelatch.errors import RefusalCode
from greengagelatch.load.round_robin import RoundRobinDispatcher
from greengagelatch.relay.quarantine import Quarantine
from greengagelatch.request import Request
from greengagelatch.targets import CallFailure, FailureKind, StageAnswer, Target
from greengagelatch.verdict import Verdict
from greengagelatch_entry.controllers.crash_report_gossip import CrashReportGossip
from greengagelatch_entry.filters import Exchange
from greengagelatch_entry.metrics import Metrics
from greengagelatch_entry.pipeline_runner import PipelineRunner
from greengagelatch_entry.relay.crash_detector import CrashDetector
from greengagelatch_entry.relay.crash_evidence import PortEvidence
from greengagelatch_entry.relay.decisions import DecisionLog
from greengagelatch_entry.stage_caller import StageCaller
from greengagelatch_entry.stage_quarantine import (
    DirectoryAvailability,
    SharedStageQuarantine,
)
from greengagelatch_lab.scripted import FixedDirectory, ScriptedClient
from greengagelatch_lab.standins.peers import MemoryNetwork
from greengagelatch_lab.waiting import wait_until

SERVICE = "reranker"
PIPELINE = Pipeline(
    name="booking",
    stages=(
        Stage(
            name="book",
            kind=StageKind.PLAIN,
            service=SERVICE,
            repeatable=True,
            inputs=(),
        ),
    ),
)
BAD = "bad"
#: crashes that are enough to quarantine a request, and targets that it may still reach
#: after that
MAX_CRASHES, MAX_STRAYS = 3, 3


class Service:
    """Targets of one service, which a request crashes; a new one follows each."""

    def __init__(self) -> None:
        self.targets: list[Target] = []
        self.crashed: set[str] = set()
        self.arrivals = 0
        self.crashing_input = BAD
        #: whether targets break off calls and go on running
        self.loses_answers = False
        for _ in range(3):
            self._add()

    def _add(self) -> None:
        number = len(self.targets)
        target = Target(f"t{number}", SERVICE, "hall", f"10.0.0.{number}:1")
        self.targets.append(target)

    def list_running(self) -> list[Target]:
        return [one for one in self.targets if one.target_id not in self.crashed]

    async def is_port_closed(self, address: str) -> bool:
        crashed = [one for one in self.targets if one.target_id in self.crashed]
        return address in [one.address for one in crashed]

    async def answer(self, target, call, on_token):
        self.arrivals += call.input == BAD
        await asyncio.sleep(0.01)
        if target.target_id in self.crashed:
            return _fail(FailureKind.DISCONNECTED, Verdict.MAY_HAVE_RUN)
        if call.input == self.crashing_input:
            self.crashed.add(target.target_id)
            self._add()
            return _fail(FailureKind.DISCONNECTED, Verdict.MAY_HAVE_RUN)
        if self.loses_answers:
            return _fail(FailureKind.DISCONNECTED, Verdict.MAY_HAVE_RUN)
        return Ok(StageAnswer(output="done"))


class Directory(FixedDirectory):
    def __init__(self, service: Service) -> None:
        super().__init__(())
        self._service = service

    @property
    def _targets(self):
        return tuple(self._service.list_running())

    @_targets.setter
    def _targets(self, value) -> None:
        pass


def _fail(kind: FailureKind, verdict: Verdict) -> Err:
    return Err(CallFailure(kind=kind, verdict=verdict, message="scripted"))


def join(network: MemoryNetwork, name: str):
    """Return the peers of an instance that has links to all others."""
    peers = network.join(name)
    peers.neighbours = lambda: tuple(
        one.instance_id for one in peers.members() if one.instance_id != name
    )
    return peers


class Instance:
    """One entry instance that runs the pipeline."""

    def __init__(self, name: str, service: Service, network: MemoryNetwork) -> None:
        self.clock = SystemClock()
        metrics = Metrics("127.0.0.1:9")
        directory = Directory(service)
        self.quarantine = Quarantine()
        decisions = DecisionLog(clock=self.clock, metrics=metrics)
        self._gossip = CrashReportGossip(
            quarantine=self.quarantine,
            peers=join(network, name),
            clock=self.clock,
            metrics=metrics,
        )
        self.detector = CrashDetector(
            replicator=self._gossip,
            quarantine=self.quarantine,
            target_table=DirectoryAvailability(directory),
            evidence=PortEvidence(service),
            clock=self.clock,
            metrics=metrics,
            decisions=decisions,
        )
        self.caller = StageCaller(
            dispatcher=RoundRobinDispatcher(directory=directory, clock=self.clock),
            directory=directory,
            client=ScriptedClient(service.answer),
            clock=self.clock,
            random_source=random.Random(7),
            metrics=metrics,
            quarantine=SharedStageQuarantine(
                quarantine=self.quarantine,
                crash_detector=self.detector,
                clock=self.clock,
            ),
        )
        self._runner = PipelineRunner(
            stage_caller=self.caller, clock=self.clock, metrics=metrics
        )

    async def ask(self, text: str, budget: float = 5.0):
        now = self.clock.now()
        request = Request(
            request_id="request-1",
            workspace="north",
            pipeline="booking",
            input=text,
            received=now,
            deadline=now + budget,
        )
        return await self._runner.run(Exchange(request=request), PIPELINE)


class World:
    def __init__(self) -> None:
        self.service = Service()
        self.network = MemoryNetwork()
        self.instances = [self.start(f"e-{number}") for number in range(3)]

    def start(self, name: str) -> Instance:
        return Instance(name, self.service, self.network)

    async def crash_targets(self) -> None:
        """Send the crashing request until it has crashed three targets."""
        while len(self.service.crashed) < MAX_CRASHES:
            await self.instances[0].ask(BAD)
        await asyncio.sleep(0.2)


@pytest.fixture
async def world():
    created = World()
    yield created
    for instance in created.instances:
        await instance.caller.close()
        await instance.detector.on_stop()


async def test_request_that_crashes_targets_is_kept_from_them(world):
    """Guards against a request that crashes one target after the other."""
    await world.crash_targets()
    before = world.service.arrivals
    answers = [
        await instance.ask(BAD) for _ in range(4) for instance in world.instances
    ]
    assert world.service.arrivals - before <= MAX_STRAYS
    refusals = [one.refusal for one in answers[MAX_STRAYS:]]
    assert {one.code for one in refusals} == {RefusalCode.QUARANTINED}
    assert {one.verdict for one in refusals} == {Verdict.NOT_RUN}
    assert all(one.retry_after_ms > 60_000 for one in refusals)


async def test_other_requests_are_served_afterwards(world):
    """Guards against harmless requests refused for the crashes of another."""
    await world.crash_targets()
    for instance in world.instances:
        assert (await instance.ask("good")).result == "done"


async def test_answer_is_shared_between_instances(world):
    """Guards against refusal of a request that another instance has found harmless."""
    while len(world.service.crashed) < MAX_CRASHES - 1:
        await world.instances[0].ask(BAD)
    world.service.crashing_input = ""
    assert (await world.instances[1].ask(BAD)).result == "done"
    await wait_until(
        lambda: not any(one.quarantine.has_crashes() for one in world.instances)
    )


async def test_attempts_at_once_crash_targets_one_after_the_other(world):
    """Guards against several targets crashed before the next crash is known."""
    while len(world.service.crashed) < MAX_CRASHES - 1:
        await world.instances[0].ask(BAD)
    await asyncio.sleep(0.1)
    for instance in world.instances:
        await asyncio.gather(*(instance.ask(BAD) for _ in range(4)))
    assert len(world.service.crashed) <= MAX_CRASHES + MAX_STRAYS


async def test_lost_answers_are_not_blamed(world):
    """Guards against refusal of a request because its answers were lost."""
    world.service.loses_answers = True
    for _ in range(4):
        await world.instances[0].ask("good")
    assert not world.instances[0].quarantine.has_crashes()
    world.service.loses_answers = False
    assert (await world.instances[0].ask("good")).result == "done"


async def test_reports_reach_instances_that_are_no_neighbours(world):
    """Guards against instances that learn of crashes by crashing targets themselves."""
    world.network.blocked |= {("e-0", "e-2"), ("e-2", "e-0")}
    await world.crash_targets()
    answer = await world.instances[2].ask(BAD)
    assert answer.refusal.code is RefusalCode.QUARANTINED
