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
from greengagelatch_entry.peer_assisted_prober import PeerAssistedProber
from greengagelatch_entry.pipeline_runner import PipelineRunner
from greengagelatch_entry.relay.crash_detector import CrashDetector
from greengagelatch_entry.relay.crash_evidence import RefusalEvidence
from greengagelatch_entry.relay.decisions import DecisionLog
from greengagelatch_entry.relay.target_dialers import DialFailure
from greengagelatch_entry.request_digests import compute_digest
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
        #: whether a new target follows each that has crashed
        self.replaces = True
        #: seconds that a call takes
        self.seconds = 0.01
        #: whether targets break off calls and go on running
        self.loses_answers = False
        for _ in range(3):
            self.add()

    def add(self) -> None:
        number = len(self.targets)
        target = Target(f"t{number}", SERVICE, "hall", f"10.0.0.{number}:1")
        self.targets.append(target)

    def find_target(self, target_id: str) -> Target | None:
        return next((t for t in self.targets if t.target_id == target_id), None)

    def list_running(self) -> list[Target]:
        return [one for one in self.targets if one.target_id not in self.crashed]

    async def probe(self, address: str) -> DialFailure | None:
        crashed = [one for one in self.targets if one.target_id in self.crashed]
        if address in [one.address for one in crashed]:
            return DialFailure.REFUSED
        return None

    async def answer(self, target, call, on_token):
        self.arrivals += call.input == BAD
        await asyncio.sleep(self.seconds)
        if target.target_id in self.crashed:
            return _fail(FailureKind.DISCONNECTED, Verdict.MAY_HAVE_RUN)
        if call.input == self.crashing_input:
            self.crashed.add(target.target_id)
            if self.replaces:
                self.add()
            return _fail(FailureKind.DISCONNECTED, Verdict.MAY_HAVE_RUN)
        if self.loses_answers:
            return _fail(FailureKind.DISCONNECTED, Verdict.MAY_HAVE_RUN)
        return Ok(StageAnswer(output="done"))


class Links:
    """One instance's connections to the targets, which may be reset."""

    def __init__(self, service: Service) -> None:
        self._service = service
        #: set once the links are cut
        self.cut = asyncio.Event()

    async def probe(self, address: str) -> DialFailure | None:
        if self.cut.is_set():
            return DialFailure.REFUSED
        return await self._service.probe(address)

    async def answer(self, target, call, on_token):
        if self.cut.is_set():
            return _fail(FailureKind.CONNECT, Verdict.NOT_RUN)
        answering = asyncio.ensure_future(self._service.answer(target, call, on_token))
        cutting = asyncio.ensure_future(self.cut.wait())
        try:
            await asyncio.wait(
                (answering, cutting), return_when=asyncio.FIRST_COMPLETED
            )
            if cutting.done():
                return _fail(FailureKind.DISCONNECTED, Verdict.MAY_HAVE_RUN)
            return answering.result()
        finally:
            answering.cancel()
            cutting.cancel()


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
        self.links = Links(service)
        self.client = ScriptedClient(self.links.answer)
        self.quarantine = Quarantine()
        target_table = DirectoryAvailability(directory)
        decisions = DecisionLog(clock=self.clock, metrics=metrics)
        peers = join(network, name)
        self._gossip = CrashReportGossip(
            quarantine=self.quarantine,
            peers=peers,
            clock=self.clock,
            metrics=metrics,
        )
        self.detector = CrashDetector(
            replicator=self._gossip,
            quarantine=self.quarantine,
            target_table=target_table,
            evidence=RefusalEvidence(
                prober=PeerAssistedProber(
                    port_probe=self.links,
                    peers=peers,
                    find_target=service.find_target,
                    random_source=random.Random(8),
                ),
                target_table=target_table,
                random_source=random.Random(9),
            ),
            clock=self.clock,
            metrics=metrics,
            decisions=decisions,
        )
        self.caller = StageCaller(
            dispatcher=RoundRobinDispatcher(directory=directory, clock=self.clock),
            directory=directory,
            client=self.client,
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

    def count_blamed(self) -> int:
        """Return how many crashes this instance knows of the crashing request."""
        digest = compute_digest("north", "booking", BAD)
        return self.quarantine.count_crashed(f"{digest}/book")

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


async def test_links_of_one_instance_that_are_reset_blame_no_request(world):
    """Guards against sound requests refused for the lost links of one instance.

    Its connections are reset while one request runs on three targets, and all of them
    refuse it afterwards. They run on, and other instances reach them.
    """
    cut_off, *others = world.instances
    world.service.seconds = 1.0
    asked = [asyncio.create_task(cut_off.ask("good")) for _ in range(3)]
    await wait_until(lambda: len(cut_off.client.calls) == 3)
    cut_off.links.cut.set()
    await asyncio.gather(*asked)
    await asyncio.sleep(0.2)
    world.service.seconds = 0.01
    for instance in others:
        assert (await instance.ask("good")).result == "done"
        assert not instance.quarantine.has_crashes()
    assert not cut_off.quarantine.has_crashes()


async def test_crash_of_all_targets_is_blamed_if_peers_confirm_it(world):
    """Guards against crashes that are taken for the lost links of an instance.

    No target of the service is left that could be reached in place of the others.
    """
    world.service.replaces = False
    await world.crash_targets()
    world.service.replaces = True
    world.service.add()
    for instance in world.instances:
        await wait_until(lambda one=instance: one.count_blamed() == MAX_CRASHES)


async def test_crash_is_blamed_by_the_only_instance(world):
    """Guards against an instance without peers that waits for their word."""
    world.network.states = {
        name: state for name, state in world.network.states.items() if name == "e-0"
    }
    world.service.replaces = False
    await world.crash_targets()
    only = world.instances[0]
    await wait_until(lambda: only.count_blamed() == MAX_CRASHES)
