"""Leases and orders controllers of one data centre in one process, on loop time."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING
from unittest import mock

from greengagelatch.clock import Clock
from greengagelatch.config.objects import Policy, PolicyEffect, Service, StageKind
from greengagelatch.config.snapshot import Snapshot
from greengagelatch.events import EventBus
from greengagelatch.orders import OrderClient
from greengagelatch.peers import Member, MemberState
from greengagelatch.settings import parse
from greengagelatch.targets import Target
from greengagelatch.targets.directory import Candidate, LoadReport
from greengagelatch_entry.controllers.leases import LeasesController
from greengagelatch_entry.controllers.orders import OrdersController
from greengagelatch_entry.metrics import Metrics

from .engines import MemoryEngines
from .memory import MemoryStore

if TYPE_CHECKING:
    from result import Result

    from greengagelatch.orders import EngineReport, Order, OrderAnswer, OrderGuard

__all__ = ("GROUP", "LoopClock", "OrdersFleet", "OrdersInstance")

#: placement group of the engines: data centre and service
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
    """Clock on event loop time; ``lead`` seconds are added to the wall clock only."""

    def __init__(self) -> None:
        self.wall_offset = 0.0

    def now(self) -> float:
        return asyncio.get_running_loop().time()

    def wall(self) -> float:
        return self.now() + self.wall_offset


class Directory:
    """Target directory with the targets of a test."""

    def __init__(self) -> None:
        self.targets: list[Target] = []
        #: calls in flight by target id; targets not listed have no load report
        self.loads: dict[str, int] = {}
        self.leaving: set[str] = set()

    def list_targets(self) -> tuple[tuple[Target, bool], ...]:
        """Return the targets that are not leaving; none is quarantined."""
        return tuple(
            (target, False)
            for target in self.targets
            if target.target_id not in self.leaving
        )

    def accepts(self, target_id: str) -> bool:
        """Return whether a target may receive calls."""
        return target_id not in self.leaving

    def candidates(self, service: str) -> tuple[Candidate, ...]:
        """Return the targets that may receive calls."""
        found = []
        for target, _ in self.list_targets():
            load = self.loads.get(target.target_id)
            report = None
            if load is not None:
                report = LoadReport(in_flight=load, queued=0, capacity=10, taken=0.0)
            found.append(Candidate(target, report))
        return tuple(found)


class _Peers:
    """Membership view of one instance."""

    def __init__(self, fleet: OrdersFleet, name: str) -> None:
        self.instance_id = name
        self._fleet = fleet

    def members(self) -> tuple[Member, ...]:
        """Return all members."""
        return tuple(
            Member(instance_id=name, data_centre="north", address="", state=state)
            for name, state in sorted(self._fleet.states.items())
        )


class _Recorder(OrderClient):
    """Order client that records when orders are sent."""

    def __init__(self, engines: OrderClient, sent_at: list[float]) -> None:
        self._engines = engines
        self._sent_at = sent_at

    async def send(
        self, target: Target, order: Order, guard: OrderGuard
    ) -> OrderAnswer:
        def record_if_allowed() -> bool:
            allowed = guard()
            if allowed:
                self._sent_at.append(asyncio.get_running_loop().time())
            return allowed

        return await self._engines.send(target, order, record_if_allowed)

    async def read(self, target: Target) -> Result[EngineReport, str]:
        return await self._engines.read(target)


class OrdersInstance:
    """Leases and orders controllers of one entry instance."""

    def __init__(self, fleet: OrdersFleet, name: str) -> None:
        self.clock = LoopClock()
        self.metrics = Metrics("127.0.0.1:9")
        self.events = EventBus()
        self.snapshot = fleet.snapshot
        #: seconds since the configuration was last confirmed as newest; ``None``: never
        self.store_age: float | None = 0.0
        #: loop times at which orders were sent
        self.sent_at: list[float] = []
        settings = parse(SETTINGS.format(name=name)).unwrap()
        self.leases = LeasesController(
            store=fleet.store,
            peers=_Peers(fleet, name),
            clock=self.clock,
            settings=settings,
            metrics=self.metrics,
            longest_action=settings["orders.timeout"],
        )
        self.orders = OrdersController(
            leases=self.leases,
            client=_Recorder(fleet.engines, self.sent_at),
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
    def fence(self) -> int:
        """Fencing token of the held lease; 0 if none is held."""
        lease_state = self.leases.find(GROUP)
        return 0 if lease_state is None or not lease_state.held else lease_state.fence

    async def start(self) -> None:
        """Start both controllers."""
        await self.leases.start()
        await self.orders.start()

    async def crash(self) -> None:
        """Stop without releasing the leases."""
        with mock.patch.object(self.leases, "on_stop", mock.AsyncMock()):
            await self.stop()

    async def stop(self) -> None:
        """Stop both controllers, releasing the leases."""
        await self.orders.stop()
        await self.leases.stop()


class OrdersFleet:
    """Entry instances of one data centre, its engines and the store.

    :param checks: whether the engines reject stale fencing tokens, with the service
        labelled accordingly
    :param engines: number of engines in the data centre
    :param placement: parameters of the placement policy
    """

    def __init__(
        self, *, checks: bool = False, engines: int = 1, **placement: str
    ) -> None:
        self.store = MemoryStore(clock=LoopClock())
        self.engines = MemoryEngines(checks=checks)
        self.directory = Directory()
        #: state of each member, as seen by every instance
        self.states: dict[str, MemberState] = {}
        self.instances: list[OrdersInstance] = []
        fencing = {"fencing": "checked"} if checks else {}
        self.service = Service(name="writer", kind=StageKind.GENERATE, labels=fencing)
        self.snapshot = self.create_snapshot(**(placement or {"models": "draft-1"}))
        for number in range(engines):
            self.add_target(f"engine-{number}", "north")

    def create_snapshot(self, **values: str) -> Snapshot:
        """Create a configuration with that placement policy, or none if no values."""
        policy = Policy(name="place", effect=PolicyEffect.PLACEMENT, values=values)
        policies = {"place": policy} if values else {}
        return Snapshot(
            generation=1, services={"writer": self.service}, policies=policies
        )

    def add_target(self, target_id: str, data_centre: str) -> None:
        """Add an engine."""
        target = Target(target_id, "writer", data_centre, "127.0.0.1:1")
        self.directory.targets.append(target)

    async def add(self, name: str) -> OrdersInstance:
        """Start an entry instance."""
        self.states[name] = MemberState.ALIVE
        instance = OrdersInstance(self, name)
        self.instances.append(instance)
        await instance.start()
        return instance

    def find_models(self, target_id: str = "engine-0") -> tuple[str, ...]:
        """Return the models that an engine has loaded."""
        return self.engines.find_executor(target_id).state.models

    def list_orders(
        self, target_id: str = "engine-0"
    ) -> list[tuple[int, tuple[str, ...]]]:
        """Return fencing token and models of the orders that an engine has finished."""
        return [
            (order.fence, order.wanted.models)
            for order in self.engines.find_executor(target_id).orders
        ]

    async def __aenter__(self) -> OrdersFleet:
        return self

    async def __aexit__(self, *failure: object) -> None:
        for instance in self.instances:
            await instance.stop()
