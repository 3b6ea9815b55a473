"""Tests of leases and orders over an in-process store, in injected time."""

from __future__ import annotations

import asyncio
import random
from collections import Counter

import pytest

from greengagelatch.clock import Clock
from greengagelatch.config.objects import Policy, PolicyEffect, Service, StageKind
from greengagelatch.config.snapshot import Snapshot
from greengagelatch.events import EventBus
from greengagelatch.peers import Member, MemberState
from greengagelatch.settings import parse
from greengagelatch.targets import Target
from greengagelatch.targets.directory import Candidate, LoadReport
from greengagelatch_entry.controllers.leases import LeasesController
from greengagelatch_entry.controllers.orders import OrdersController
from greengagelatch_entry.metrics import Metrics
from greengagelatch_lab.standins.engines import MemoryEngines
from greengagelatch_lab.standins.memory import MemoryStore
from greengagelatch_lab.waiting import wait_until

pytestmark = pytest.mark.looptime

GROUP = "north/writer"
SETTINGS = """
[instance]
id = {name}
data_centre = north
[platform]
store = 127.0.0.1:1
instances = 127.0.0.1:1
[leases]
ttl = 30
margin = 2
[orders]
timeout = 5
longest = 20
interval = 4
loads_per_minute = 60
"""


class LoopClock(Clock):
    """The loop's time; ``lead`` is added to the wall clock only."""

    def __init__(self) -> None:
        self.lead = 0.0

    def now(self) -> float:
        return asyncio.get_running_loop().time()

    def wall(self) -> float:
        return self.now() + self.lead


class Directory:
    """Targets of a test."""

    def __init__(self) -> None:
        self.targets = []
        self.aside = set()
        self.loads = {}
        self.leaving = set()

    def list_targets(self):
        return tuple(
            (target, target.target_id in self.aside)
            for target in self.targets
            if target.target_id not in self.leaving
        )

    def accepts(self, target_id):
        return target_id not in self.leaving

    def candidates(self, service):
        found = []
        for target, _ in self.list_targets():
            load = self.loads.get(target.target_id)
            report = None
            if load is not None:
                report = LoadReport(in_flight=load, queued=0, capacity=10, taken=0.0)
            found.append(Candidate(target, report))
        return tuple(found)


class Peers:
    """What one instance knows of the members."""

    def __init__(self, fleet, name) -> None:
        self.instance_id = name
        self._fleet = fleet

    def members(self):
        return tuple(
            Member(instance_id=name, data_centre="north", address="", state=state)
            for name, state in sorted(self._fleet.states.items())
        )


class Instance:
    """Leases and orders of one entry instance."""

    def __init__(self, fleet, name) -> None:
        self.name = name
        self.clock = LoopClock()
        self.metrics = Metrics("127.0.0.1:9")
        self.events = EventBus()
        self.snapshot = fleet.snapshot
        self.store_age = 0.0
        settings = parse(SETTINGS.format(name=name)).unwrap()
        self.leases = LeasesController(
            store=fleet.store,
            peers=Peers(fleet, name),
            clock=self.clock,
            settings=settings,
            metrics=self.metrics,
            longest_action=settings["orders.timeout"],
        )
        self.orders = OrdersController(
            leases=self.leases,
            client=fleet.engines,
            targets=fleet.directory,
            snapshot=lambda: self.snapshot,
            get_store_age=lambda: self.store_age,
            clock=self.clock,
            random_source=random.Random(name),
            events=self.events,
            settings=settings,
            metrics=self.metrics,
        )

    @property
    def fence(self):
        tenure = self.leases.find(GROUP)
        return 0 if tenure is None or not tenure.held else tenure.fence

    async def start(self):
        await self.leases.start()
        await self.orders.start()

    async def stop(self):
        await self.orders.stop()
        await self.leases.stop()


class Fleet:
    """Instances of one data centre, its engines and the store."""

    def __init__(self, *, checks=False, engines=1, **placement) -> None:
        self.store = MemoryStore(clock=LoopClock())
        self.engines = MemoryEngines(checks=checks)
        self.directory = Directory()
        self.states = {}
        self.instances = []
        fencing = {"fencing": "checked"} if checks else {}
        self.service = Service(name="writer", kind=StageKind.GENERATE, labels=fencing)
        self.snapshot = self.place(**(placement or {"models": "draft-1"}))
        for number in range(engines):
            self.add_target(f"engine-{number}", "north")

    def place(self, **values):
        policy = Policy(name="place", effect=PolicyEffect.PLACEMENT, values=values)
        policies = {"place": policy} if values else {}
        return Snapshot(
            generation=1, services={"writer": self.service}, policies=policies
        )

    def add_target(self, target_id, data_centre):
        target = Target(target_id, "writer", data_centre, "127.0.0.1:1")
        self.directory.targets.append(target)

    async def add(self, name, *, state=MemberState.ALIVE):
        self.states[name] = state
        instance = Instance(self, name)
        self.instances.append(instance)
        await instance.start()
        return instance

    def find_models(self, target_id="engine-0"):
        return self.engines.find(target_id).state.models

    def list_orders(self, target_id="engine-0"):
        return [
            (order.fence, order.wanted.models)
            for order in self.engines.find(target_id).orders
        ]

    async def __aenter__(self):
        return self

    async def __aexit__(self, *failure):
        for instance in self.instances:
            await instance.stop()


async def wait_for(condition, seconds=200.0):
    """Wait in loop time, which costs next to nothing."""
    await wait_until(condition, timeout=seconds)


async def test_engines_reach_the_wanted_state_in_turn():
    async with Fleet(engines=3) as fleet:
        holder = await fleet.add("a")
        await wait_for(lambda: fleet.find_models("engine-2") == ("draft-1",))
        wanted = [(holder.fence, ("draft-1",))]
        for number in range(3):
            assert fleet.list_orders(f"engine-{number}") == wanted
        await asyncio.sleep(100)
        assert len(fleet.list_orders()) == 1
        assert fleet.engines.reads > 3 * 20
        assert holder.orders.dump()["groups"][GROUP]["engines"]["engine-0"]["as_wanted"]


async def test_without_placement_the_store_is_not_called():
    async with Fleet() as fleet:
        fleet.snapshot = fleet.place()
        await fleet.add("a")
        await asyncio.sleep(100)
        assert fleet.store.calls == Counter()
        assert fleet.engines.reads == 0
