"""Tests of permits for limited targets, over whole fleets in virtual time."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field
from types import SimpleNamespace

import pytest

from greengagelatch.peers import MemberState
from greengagelatch.relay.incarnations import Incarnation
from greengagelatch.relay.load_balancer import LoadBalancer
from greengagelatch.relay.permits import Permits
from greengagelatch.relay.rate_limits import NamedRate, RateLimits
from greengagelatch.relay.send_limits import SendLimits
from greengagelatch.relay.targets import ListedTarget, TargetTable
from greengagelatch.verdict import Verdict
from greengagelatch_entry.relay.brittle_admission import BrittleAdmission
from greengagelatch_entry.relay.permit_exchange import PermitExchange
from greengagelatch_entry.relay.rate_limit_news import RateLimitNewsController
from greengagelatch_lab.platform_standins.announced_rates import (
    CONTACT_SECONDS,
    AnnouncedRate,
    count_allowed,
)
from greengagelatch_lab.stage_load.instances import NullTelemetry
from greengagelatch_lab.stage_load.virtual_time import LoopClock, run_in_virtual_time
from greengagelatch_lab.standins.peers import MemoryNetwork, MemoryPeers

SERVICE = "llm"
#: seconds after an answer that named a rate from which it binds the instance
TOLD_SECONDS = 0.5
#: bounds of latencies in seconds: of a message, of a connection, and of an answer
MESSAGE_SECONDS = (0.001, 0.02)
CONNECT_SECONDS = (0.0, 0.3)
ANSWER_SECONDS = (0.05, 0.4)
#: the same until an instance has detected that another is dead
DETECTION_SECONDS = (0.5, 2.5)
#: seconds within which callers of refused requests are served or refused
CALLER_SECONDS = 6.0
NEIGHBOURS = 8
RUN_SECONDS = 12.0


class DelayedPeers(MemoryPeers):
    """Peers whose messages take some time, and are lost where they are blocked."""

    def __init__(self, network, instance_id, random_source) -> None:
        super().__init__(network, instance_id)
        self._random = random_source
        self.linked: tuple[str, ...] = ()

    def neighbours(self):
        return self.linked

    async def ask(self, instance_id, message, timeout):
        await asyncio.sleep(self._random.uniform(*MESSAGE_SECONDS))
        return await super().ask(instance_id, message, timeout)

    async def receive(self, sender, message):
        await asyncio.sleep(self._random.uniform(*MESSAGE_SECONDS))
        return await super().receive(sender, message)


@dataclass(slots=True)
class Target:
    """A target, and when each of its requests arrived, by instance."""

    listed: ListedTarget
    rate: str | None
    arrivals: list[tuple[float, str]] = field(default_factory=list)
    #: when each instance first got an answer that named the rate
    told: dict[str, float] = field(default_factory=dict)
    named_at: float | None = None

    def find_peak(self) -> int:
        """Return the most requests in a window from instances that were told."""
        counted = AnnouncedRate()
        for at, name in self.arrivals:
            if self.told.get(name, float("inf")) + TOLD_SECONDS <= at:
                counted.record_arrival(at)
        return counted.find_peak(self.named_at + CONTACT_SECONDS)


class Fleet:
    """Instances, targets of one service and callers."""

    def __init__(self, *, instances: int, rates: list[str | None], seed: int) -> None:
        self.random = random.Random(seed)
        self.network = MemoryNetwork()
        self.names = [f"entry-{n}" for n in range(instances)]
        self.alive = set(self.names)
        self.targets = [
            Target(
                ListedTarget(
                    incarnation=Incarnation(f"t-{number}", 1),
                    service=SERVICE,
                    address=f"10.0.0.{number}:80",
                    data_centre="",
                ),
                rate,
            )
            for number, rate in enumerate(rates)
        ]
        self.served = self.refused = self.asked = 0
        self.tasks: set[asyncio.Task] = set()
        self.parts = {name: self.create_instance(name) for name in self.names}

    def create_instance(self, name: str) -> SimpleNamespace:
        peers = DelayedPeers(self.network, name, self.random)
        self.network.join(name)
        self.network._peers[name] = peers
        others = [one for one in self.names if one != name]
        count = len(others) if len(others) <= 2 * NEIGHBOURS else NEIGHBOURS
        peers.linked = tuple(self.random.sample(others, count))
        table = TargetTable()
        for target in self.targets:
            table.put(target.listed)
        clock, metrics = LoopClock(), NullTelemetry()
        limits = RateLimits(on_changed=lambda *_: news.handle_change())
        news = RateLimitNewsController(
            peers=peers, limits=limits, clock=clock, metrics=metrics
        )
        permits = Permits(limits, lambda *wanted: exchange.handle_wanted(*wanted))
        exchange = PermitExchange(
            peers=peers,
            permits=permits,
            news=news,
            list_candidates=lambda: tuple(
                one for one in peers.members() if one.state is MemberState.ALIVE
            ),
            count_instances=lambda: len(self.names),
            clock=clock,
            random_source=self.random,
            metrics=metrics,
        )
        balancer = LoadBalancer(
            target_table=table,
            data_centre="",
            random_source=self.random,
            limits=SendLimits(permits=permits),
        )
        admission = BrittleAdmission(
            load_balancer=balancer,
            clock=clock,
            random_source=self.random,
            metrics=metrics,
            permits=exchange,
        )
        return SimpleNamespace(
            name=name,
            balancer=balancer,
            admission=admission,
            controllers=(news, exchange),
        )

    def now(self) -> float:
        return asyncio.get_running_loop().time()

    async def run(self, seconds: float, requests_per_second: float) -> None:
        for part in self.parts.values():
            for controller in part.controllers:
                await controller.start()
        end = self.now() + seconds
        while self.now() < end:
            await asyncio.sleep(self.random.expovariate(requests_per_second))
            name = self.random.choice(sorted(self.alive))
            self.spawn(self.ask(self.parts[name]))
        await asyncio.gather(*tuple(self.tasks))
        # what was asked for ends
        await asyncio.sleep(2.0)
        for part in self.parts.values():
            for controller in part.controllers:
                await controller.stop()

    def spawn(self, work) -> None:
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def ask(self, part: SimpleNamespace) -> None:
        """Send one request of a caller, which does not return if it is refused."""
        self.asked += 1
        exchange = SimpleNamespace(
            service=SERVICE,
            data_centres=None,
            rank=1.0,
            deadline=self.now() + CALLER_SECONDS,
            verdict=Verdict.NOT_RUN,
        )
        refusal = await part.admission.wait(exchange, frozenset())
        chosen = part.balancer.choose_least_loaded(SERVICE, frozenset(), self.now())
        if refusal is not None or chosen is None:
            self.refused += 1
            return
        await self.send(part, chosen)

    async def send(self, part: SimpleNamespace, chosen: ListedTarget) -> None:
        target = next(one for one in self.targets if one.listed is chosen)
        part.balancer.start(chosen.incarnation)
        await asyncio.sleep(self.random.uniform(*CONNECT_SECONDS))
        target.arrivals.append((self.now(), part.name))
        self.served += 1
        rate = target.rate
        await asyncio.sleep(self.random.uniform(*ANSWER_SECONDS))
        part.balancer.finish(chosen.incarnation)
        if rate is not None:
            if target.named_at is None:
                target.named_at = self.now()
            target.told.setdefault(part.name, self.now())
        named = NamedRate(None if rate is None else float(rate))
        part.balancer.record_rate(chosen.incarnation, named, self.now())

    # disturbances

    def kill(self, name: str) -> None:
        """End an instance, of which each other one hears at its time."""
        self.alive.discard(name)
        self.network._peers.pop(name, None)
        for other in self.alive:
            self.spawn(self.see(other, name, MemberState.DEAD))

    async def see(self, viewer: str, name: str, state: MemberState) -> None:
        """Let an instance notice that it no longer reaches another one, or does."""
        await asyncio.sleep(self.random.uniform(*DETECTION_SECONDS))
        self.network.state_overrides.setdefault(viewer, {})[name] = state

    async def cut(self, names: set[str], seconds: float) -> None:
        """Cut instances off from the others, not from the targets, for some time."""
        others = self.alive - names
        blocked = {(one, other) for one in names for other in others}
        blocked |= {(other, one) for one, other in blocked}
        self.network.blocked |= blocked
        for one, other in blocked:
            self.spawn(self.see(one, other, MemberState.DEAD))
        await asyncio.sleep(seconds)
        self.network.blocked -= blocked
        for one, other in blocked:
            self.spawn(self.see(one, other, MemberState.ALIVE))


def check_limits(fleet: Fleet) -> None:
    for target in fleet.targets:
        if target.rate is not None and target.named_at is not None:
            assert target.find_peak() <= count_allowed(float(target.rate))


@pytest.mark.parametrize(
    ("count", "rates"),
    [
        (7, ["1"] * 5),
        (7, ["0.5", "2.5", "20"]),
        (7, ["0", "0.1", "4"]),
        (89, ["0.5", "2.5", "20"]),
        (300, ["1"] * 5),
    ],
)
def test_rates_are_kept_and_used_by_all_instances_together(count, rates):
    """Guards against instances that each use up a rate, and against rates unused."""
    fleet = Fleet(instances=count, rates=rates, seed=count)
    total = sum(map(float, rates))
    run_in_virtual_time(fleet.run(RUN_SECONDS, max(10.0, 3 * total)))
    check_limits(fleet)
    assert fleet.served >= 0.9 * total * RUN_SECONDS


@pytest.mark.parametrize("count", [7, 89])
def test_rates_are_kept_while_instances_that_issue_permits_are_killed(count):
    """Guards against a new issuer that issues what the one before has issued."""
    fleet = Fleet(instances=count, rates=["1", "3", "10"], seed=1)

    async def run() -> None:
        work = asyncio.create_task(fleet.run(30.0, 60.0))
        for _ in range(3):
            await asyncio.sleep(6.0)
            for name in fleet.random.sample(sorted(fleet.alive), count // 5):
                fleet.kill(name)
        await work

    run_in_virtual_time(run())
    check_limits(fleet)
    assert fleet.served >= 0.6 * 14.0 * 30.0


@pytest.mark.parametrize(("count", "share"), [(7, 0.15), (7, 0.5), (89, 0.35)])
def test_rates_are_kept_while_instances_are_cut_off_from_each_other(count, share):
    """Guards against both sides of a partition that issue the whole rate."""
    fleet = Fleet(instances=count, rates=["1", "3", "10"], seed=2)

    async def run() -> None:
        work = asyncio.create_task(fleet.run(20.0, 60.0))
        await asyncio.sleep(5.0)
        size = max(1, int(count * share))
        await fleet.cut(set(fleet.random.sample(fleet.names, size)), 8.0)
        await work

    run_in_virtual_time(run())
    check_limits(fleet)


@pytest.mark.parametrize("count", [7, 30])
def test_rates_that_change_are_followed_down_and_up(count):
    """Guards against a limit that outlives what the target says."""
    fleet = Fleet(instances=count, rates=["4", "4"], seed=3)
    peaks, counts = [], []

    async def run() -> None:
        work = asyncio.create_task(fleet.run(36.0, 60.0))
        for rate in ("1", None, "4"):
            await asyncio.sleep(12.0)
            peaks.append([one.find_peak() for one in fleet.targets])
            counts.append(sum(len(one.arrivals) for one in fleet.targets))
            for target in fleet.targets:
                target.rate, target.arrivals[:] = rate, []
                target.told.clear()
                target.named_at = fleet.now()
        await work

    run_in_virtual_time(run())
    assert max(peaks[0]) <= count_allowed(4.0)
    assert max(peaks[1]) <= count_allowed(1.0)
    # all that arrive but in the first seconds after the limit
    assert counts[2] >= 0.6 * 12.0 * 60.0


@pytest.mark.parametrize("count", [7, 89])
def test_requests_are_served_soon_after_the_end_of_all_limits(count):
    """Guards against callers refused while all targets take any rate again."""
    fleet = Fleet(instances=count, rates=["2", "2"], seed=4)

    async def run() -> int:
        work = asyncio.create_task(fleet.run(12.0, 60.0))
        await asyncio.sleep(8.0)
        for target in fleet.targets:
            target.rate = None
        # until the next permit, its answer, and what waited before
        await asyncio.sleep(1 / 2 + CONNECT_SECONDS[1] + ANSWER_SECONDS[1] + 1.2)
        refused = fleet.refused
        await work
        return fleet.refused - refused

    assert run_in_virtual_time(run()) == 0


def test_last_instance_issues_permits_while_it_stops():
    """Guards against errors for requests at a stopping instance without a successor."""
    fleet = Fleet(instances=3, rates=["20"], seed=5)
    last, *others = fleet.names

    async def run() -> int:
        work = asyncio.create_task(fleet.run(16.0, 40.0))
        await asyncio.sleep(2.0)
        for name in others:
            fleet.kill(name)
        await asyncio.sleep(DETECTION_SECONDS[1])
        states = fleet.network.state_overrides.setdefault(last, {})
        states[last] = MemberState.LEAVING
        await asyncio.sleep(2.0)
        served = fleet.served
        await work
        return fleet.served - served

    assert run_in_virtual_time(run()) > 0
    check_limits(fleet)
