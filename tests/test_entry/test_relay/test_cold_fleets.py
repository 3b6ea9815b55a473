"""Tests of the limit on requests to cold targets, over whole simulated fleets."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

import pytest

from greengagelatch.clock import ManualClock
from greengagelatch.instances import Instance, InstanceKind, Listing
from greengagelatch.peers import Member, MemberState
from greengagelatch.relay.cold_targets import ColdTargetRule, ColdTargets
from greengagelatch.relay.incarnations import Incarnation
from greengagelatch.relay.targets import ListedTarget
from greengagelatch_entry.relay.known_instances import KnownInstances

STEP = 0.1
SECONDS = 40.0
RATE = 11.0
RULE = ColdTargetRule(overshoot=1.5, slack=5)
#: requests within one second that a cold target must not receive more of
BOUND = RATE * 1.5 + 5
COLD_SECONDS = 3.0
LEASE_SECONDS = 12.0
#: seconds until news of the store arrive by a watch, and by peers
NEWS_DELAY = (0.1, 2.5)
PEER_DELAY = (0.3, 4.0)
CONNECT_SECONDS = 0.3
#: error of a clock's rate
DRIFT = 0.01


@dataclass
class Process:
    """One process of an instance, with its view of the fleet."""

    address: str
    data_centre: str
    clock: ManualClock
    #: rate of its clock
    pace: float
    known: KnownInstances = None
    targets: ColdTargets = None
    members: tuple[Member, ...] = ()
    registered_at: float | None = None
    confirmed_at: float = 0.0
    next_news: float = 0.0
    #: incarnations that it will hear of, with the time
    news: list[tuple[float, ListedTarget, float]] = field(default_factory=list)


class Fleet:
    """Instances before one target that restarts again and again.

    Each instance sends whenever it may. Instances are killed, restarted and added,
    and data centres and single instances lose the store for a while.
    """

    def __init__(self, seed: int, count: int, *, troubled: bool = True) -> None:
        self.random = random.Random(seed)
        self.troubled = troubled
        self.now = 0.0
        self.processes: dict[str, Process] = {}
        #: end of each registration by address
        self.leases: dict[str, float] = {}
        #: addresses that the store does not reach until a time
        self.cut: dict[str, float] = {}
        self.restarts: list[tuple[float, str]] = []
        #: pairs of sending and arrival time
        self.sent: list[tuple[float, float]] = []
        self.target = self.create_target(0)
        self.cold_until = 0.0
        self.total_cold = 0.0
        for number in range(count):
            self.start(f"10.0.0.{number}:7", number)
        self.added = count

    def create_target(self, number: int) -> ListedTarget:
        return ListedTarget(
            incarnation=Incarnation(f"t-{number}", 1),
            service="llm",
            address="10.9.0.1:80",
            data_centre="north",
        )

    def start(self, address: str, number: int) -> None:
        clock = ManualClock()
        process = Process(
            address=address,
            data_centre=("north", "south", "east")[number % 3],
            clock=clock,
            pace=1 + self.random.uniform(-DRIFT, DRIFT),
            next_news=self.now + self.random.uniform(0.0, 0.3),
        )
        process.known = KnownInstances(
            own=address,
            list_members=lambda: process.members,
            find_registration=lambda: self.find_registration(process),
            find_confirmation=lambda: process.confirmed_at,
            clock=clock,
        )
        process.targets = ColdTargets(
            own=address,
            rule=RULE,
            find_instances=process.known.find_addresses,
            find_rate=lambda service: RATE,
        )
        self.processes[address] = process

    def run(self) -> None:
        while self.now < SECONDS:
            self.now += STEP
            if self.troubled:
                self.disturb()
            if self.now > self.cold_until + 1 and self.random.random() < 0.1:
                self.restart_target()
            for process in self.random.sample(
                list(self.processes.values()), len(self.processes)
            ):
                self.step(process)

    def disturb(self) -> None:
        draw = self.random.random()
        addresses = list(self.processes)
        if draw < 0.006:
            # many are killed at once, and some start at new addresses
            for address in self.random.sample(addresses, len(addresses) * 2 // 3):
                self.kill(address)
        elif draw < 0.05 and addresses:
            self.kill(self.random.choice(addresses))
        elif draw < 0.07:
            self.start(f"10.0.1.{self.added}:7", self.added)
            self.added += 1
        elif draw < 0.09 and addresses:
            until = self.now + self.random.uniform(2.0, 10.0)
            data_centre = self.processes[self.random.choice(addresses)].data_centre
            for one in self.processes.values():
                if one.data_centre == data_centre:
                    self.cut[one.address] = until
        elif draw < 0.14:
            until = self.now + self.random.uniform(2.0, 10.0)
            for address in self.random.sample(addresses, len(addresses) // 4):
                self.cut[address] = until
        due = [one for one in self.restarts if one[0] <= self.now]
        self.restarts = [one for one in self.restarts if one[0] > self.now]
        for _, address in due:
            self.start(address, self.random.randrange(3))

    def kill(self, address: str) -> None:
        del self.processes[address]
        self.restarts.append((self.now + self.random.uniform(0.3, 4.0), address))

    def restart_target(self) -> None:
        """Replace the target by a cold one, of which instances hear at their time."""
        self.target = self.create_target(int(self.now * 10))
        self.cold_until = self.now + COLD_SECONDS
        self.total_cold += COLD_SECONDS
        for process in self.processes.values():
            is_cut = self.cut.get(process.address, 0.0) > self.now
            delay = self.random.uniform(*(PEER_DELAY if is_cut else NEWS_DELAY))
            # the entry tells how long it was cold as it was written
            process.news.append((self.now + delay, self.target, COLD_SECONDS))

    def step(self, process: Process) -> None:
        process.clock.advance(STEP * process.pace)
        clock_now = process.clock.now()
        if self.cut.get(process.address, 0.0) <= self.now:
            if process.registered_at is None or not self.is_listed(process.address):
                process.registered_at = clock_now
            self.leases[process.address] = self.now + LEASE_SECONDS
            if process.next_news <= self.now:
                self.read_registry(process)
        heard = [one for one in process.news if one[0] <= self.now]
        process.news = [one for one in process.news if one[0] > self.now]
        for _, target, seconds in heard:
            process.targets.record(target.incarnation, seconds, clock_now)
        if self.now >= self.cold_until:
            return
        knows_target = process.targets._cold.get(self.target.incarnation)
        while knows_target and process.targets.may_send(self.target, clock_now):
            process.targets.record_send(self.target.incarnation, clock_now)
            arrival = self.now + self.random.uniform(0.0, CONNECT_SECONDS)
            self.sent.append((arrival, arrival))

    def is_listed(self, address: str) -> bool:
        return self.leases.get(address, 0.0) > self.now

    def find_registration(self, process: Process) -> float:
        if process.registered_at is None or not self.is_listed(process.address):
            return float("inf")
        return process.registered_at

    def read_registry(self, process: Process) -> None:
        process.confirmed_at = process.clock.now()
        process.next_news = self.now + self.random.uniform(*NEWS_DELAY)
        addresses = [one for one in self.leases if self.is_listed(one)]
        instances = tuple(map(create_instance, addresses))
        # the membership keeps the instances that it has seen
        seen = {one.address for one in process.members} | set(addresses)
        if len(seen) != len(process.members):
            process.members = tuple(map(create_member, sorted(seen)))
        process.known.apply_listing(Listing(1, instances))

    def find_peak(self) -> int:
        """Return the most requests that arrived within one second."""
        times = sorted(arrival for _, arrival in self.sent)
        peak = start = 0
        for end, time in enumerate(times):
            while times[start] <= time - 1.0:
                start += 1
            peak = max(peak, end - start + 1)
        return peak


def create_member(address: str) -> Member:
    return Member(
        instance_id=address,
        data_centre="north",
        address=address,
        state=MemberState.ALIVE,
    )


def create_instance(address: str) -> Instance:
    return Instance(
        instance_id=address,
        kind=InstanceKind.ENTRY,
        data_centre="north",
        address=address,
    )


@pytest.mark.parametrize("count", [9, 89, 300])
@pytest.mark.parametrize("seed", range(4))
def test_cold_target_is_not_overloaded_by_all_instances_together(seed, count):
    """Guards against a target that returns and crashes again under all at once.

    Instances that can't talk to each other, or start at that moment, each took the
    target's tolerance for their own.
    """
    fleet = Fleet(seed, count)
    fleet.run()
    assert fleet.sent
    assert fleet.find_peak() <= BOUND


@pytest.mark.parametrize("count", [9, 89, 300])
def test_cold_target_is_used_while_the_fleet_is_calm(count):
    """Guards against callers who wait or are refused while cold targets are idle."""
    fleet = Fleet(1, count, troubled=False)
    fleet.run()
    assert fleet.find_peak() <= BOUND
    assert len(fleet.sent) / fleet.total_cold >= RATE / 3
