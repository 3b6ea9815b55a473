"""Tests of leases and orders over an in-process store, in injected time."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from unittest.mock import AsyncMock

import pytest

from greengagelatch.clock import Clock
from greengagelatch.config.objects import Policy, PolicyEffect, Service, StageKind
from greengagelatch.config.snapshot import Snapshot
from greengagelatch.events import EventBus
from greengagelatch.orders import OrderClient
from greengagelatch.peers import Member, MemberState
from greengagelatch.settings import parse
from greengagelatch.targets import Target
from greengagelatch.targets.directory import Candidate, LoadReport
from greengagelatch_entry.controllers.drain import DRAIN_STARTED
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


class Recorder(OrderClient):
    """Notes when orders are sent."""

    def __init__(self, engines, sent_at) -> None:
        self._engines = engines
        self._sent_at = sent_at

    async def give(self, target, order, guard):
        def note():
            allowed = guard()
            if allowed:
                self._sent_at.append(asyncio.get_running_loop().time())
            return allowed

        return await self._engines.give(target, order, note)

    async def read(self, target):
        return await self._engines.read(target)


class Instance:
    """Leases and orders of one entry instance."""

    def __init__(self, fleet, name) -> None:
        self.name = name
        self.clock = LoopClock()
        self.metrics = Metrics("127.0.0.1:9")
        self.events = EventBus()
        self.snapshot = fleet.snapshot
        self.store_age = 0.0
        #: loop times at which orders were sent
        self.sent_at = []
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
            client=Recorder(fleet.engines, self.sent_at),
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

    async def crash(self):
        """End without giving anything up."""
        self.leases.want = lambda *_, **__: None
        self.leases.on_stop = AsyncMock()
        await self.stop()

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


async def test_a_new_holder_waits_for_what_the_former_one_began():
    """An engine that ignores numbers goes back to a former holder's state.

    The holder dies with an order under way, which the engine carries out after the
    next holder's. The cause would be a holder that begins as soon as it has the lease.
    """
    async with Fleet() as fleet:
        fleet.engines.duration = 19.0
        first = await fleet.add("a")
        await wait_for(lambda: first.metrics.value("orders.sent") == 1)
        await first.crash()
        second = await fleet.add("b")
        second.snapshot = fleet.place(models="draft-2")
        await wait_for(lambda: fleet.find_models() == ("draft-2",))
        acquired = second.leases.find(GROUP).acquired
        assert second.sent_at[0] >= acquired + 20
        assert [models for _, models in fleet.list_orders()] == [
            ("draft-1",),
            ("draft-2",),
        ]


async def test_engines_that_check_need_no_wait():
    async with Fleet(checks=True) as fleet:
        holder = await fleet.add("a")
        await wait_for(lambda: fleet.find_models() == ("draft-1",))
        assert holder.sent_at[0] < holder.leases.find(GROUP).acquired + 20


async def test_an_order_is_withheld_after_a_halt():
    """An order is sent under a lease that is long over.

    The whole instance is halted while the connection is made, as when the platform
    moves it: its monotonic clock stands still, and only the wall clock shows it. The
    cause would be a lease that is counted by one clock alone.
    """
    async with Fleet() as fleet:
        holder = await fleet.add("a")

        async def halt(order):
            holder.clock.lead += 60

        fleet.engines.before_send = halt
        await wait_for(lambda: holder.metrics.value("orders.withheld") > 0)
        assert fleet.list_orders() == []
        fleet.engines.before_send = None
        await wait_for(lambda: fleet.find_models() == ("draft-1",))


async def test_no_order_is_given_while_the_store_is_out_of_reach():
    """A holder goes on ordering while another data centre's view has moved on.

    The store is down or cut off for longer than the lease lasts. The cause would be
    a holder that takes silence for consent.
    """
    async with Fleet() as fleet:
        holder = await fleet.add("a")
        await wait_for(lambda: fleet.find_models() == ("draft-1",))
        fleet.store.faults.outage = True
        await asyncio.sleep(30)
        holder.snapshot = fleet.place(models="draft-2")
        await asyncio.sleep(600)
        assert fleet.find_models() == ("draft-1",)
        group = holder.leases.dump()["groups"][GROUP]
        assert group["seconds_left"] == 0
        assert "unreachable" in group["last_error"]
        fleet.store.faults.outage = False
        await wait_for(lambda: fleet.find_models() == ("draft-2",))


@pytest.mark.parametrize("fault", ["lose_answers", "drop_writes", "lose_lease_answers"])
async def test_a_lost_answer_of_the_store_is_settled(fault):
    """Two instances hold one lease, or none ever does.

    The answer to the write that takes the lease, or to the grant before, is lost.
    The cause would be an outcome that is guessed instead of read.
    """
    async with Fleet() as fleet:
        setattr(fleet.store.faults, fault, 1)
        holder = await fleet.add("a")
        await wait_for(lambda: fleet.find_models() == ("draft-1",))
        entry = (await fleet.store.get(f"leases/{GROUP}")).unwrap()
        assert holder.fence == entry.revision


async def test_an_order_without_an_answer_is_read_back_and_not_repeated():
    """An engine loads the same weights twice, or an older order wins.

    The answer to an order is lost while the engine carries it out. The cause would
    be an order that is repeated before it is known to be over.
    """
    async with Fleet() as fleet:
        fleet.engines.duration = 15.0
        fleet.engines.lose_answers = 1
        holder = await fleet.add("a")
        await wait_for(lambda: holder.metrics.value("orders.outcome.unknown") == 1)
        holder.snapshot = fleet.place(models="draft-2")
        await wait_for(lambda: fleet.find_models() == ("draft-2",))
        assert [models for _, models in fleet.list_orders()] == [
            ("draft-1",),
            ("draft-2",),
        ]


async def test_a_refused_number_makes_the_holder_stop():
    """A former holder goes on although an engine tells it of a newer one.

    The engine has had an order with a higher number. The cause would be a refusal
    that is taken for a failure of that engine alone.
    """
    async with Fleet(checks=True) as fleet:
        book = fleet.engines.find("engine-0")
        book.duration = 0.0
        newer = 1000
        await book.carry_out(newer, book.state)
        holder = await fleet.add("a")
        await wait_for(lambda: holder.metrics.value("leases.given_up") == 1)
        refused = fleet.list_orders()[-1][0]
        await wait_for(lambda: holder.fence > refused)
        assert fleet.find_models() == ()


async def test_a_leaving_target_gets_no_order():
    """A target that is leaving is told to load weights.

    It begins to leave while the connection for the order is made. The cause would be
    a check when the order is planned only.
    """
    async with Fleet(engines=2) as fleet:
        holder = await fleet.add("a")

        async def leave(order):
            fleet.directory.leaving.add("engine-0")

        fleet.engines.before_send = leave
        await wait_for(lambda: fleet.find_models("engine-1") == ("draft-1",))
        assert fleet.list_orders("engine-0") == []
        assert holder.metrics.value("orders.withheld") == 1


async def test_a_stop_gives_the_lease_up_once_the_order_has_ended():
    """The next holder of a stopped instance's lease begins too early, or too late.

    The instance is drained with an order under way. The causes would be a lease that
    is given up before the order has ended, or kept until it lapses.
    """
    async with Fleet() as fleet:
        fleet.engines.duration = 4.0
        first = await fleet.add("a")
        await wait_for(lambda: first.metrics.value("orders.sent") == 1)
        carried_out = []

        async def note_revoke(kind, key):
            if kind == "revoke":
                carried_out.append(fleet.find_models())

        fleet.store.faults.before_call = note_revoke
        first.events.emit(DRAIN_STARTED)
        await wait_for(lambda: carried_out)
        assert carried_out == [("draft-1",)]
        await wait_for(lambda: not first.leases.dump()["groups"])


async def test_a_lease_is_kept_until_the_order_under_way_has_ended():
    """As above, but the policy is deleted instead."""
    async with Fleet() as fleet:
        fleet.engines.duration = 4.0
        holder = await fleet.add("a")
        await wait_for(lambda: holder.metrics.value("orders.sent") == 1)
        holder.snapshot = fleet.place()
        await asyncio.sleep(3.0)
        assert holder.fence
        assert fleet.find_models() == ()
        await wait_for(lambda: not holder.fence)
        assert fleet.find_models() == ("draft-1",)


async def test_no_order_is_given_on_a_configuration_that_may_be_old():
    """Engines go back to a model that an operator has replaced.

    The former holder acted on a newer generation than the new one knows as yet. The
    cause would be a holder that does not make sure it knows the newest.
    """
    async with Fleet() as fleet:
        holder = await fleet.add("a")
        holder.store_age = None
        await asyncio.sleep(100)
        assert holder.fence
        assert fleet.list_orders() == []
        holder.store_age = 0.0
        await wait_for(lambda: fleet.find_models() == ("draft-1",))


async def test_orders_keep_to_the_rate_of_the_weight_store():
    async with Fleet(engines=6, models="a, b", adapters="c") as fleet:
        holder = await fleet.add("a")
        await wait_for(lambda: fleet.find_models("engine-5"))
        begun = holder.sent_at[0]
        # three loads each, one a second: the sixth has to wait for fifteen others
        assert holder.sent_at[5] - begun >= 14


async def test_an_engine_out_of_reach_does_not_hold_up_the_others():
    async with Fleet(engines=2) as fleet:
        fleet.engines.unreachable.add("engine-0")
        await fleet.add("a")
        await wait_for(lambda: fleet.find_models("engine-1") == ("draft-1",))
        fleet.engines.unreachable.clear()
        await wait_for(lambda: fleet.find_models("engine-0") == ("draft-1",))


async def test_few_instances_call_the_store_for_one_lease():
    async with Fleet() as fleet:
        for number in range(8):
            fleet.states[f"i{number}"] = MemberState.ALIVE
        for number in range(8):
            await fleet.add(f"i{number}")
        await asyncio.sleep(60)
        fleet.store.calls.clear()
        await asyncio.sleep(300)
        # one renews and one looks, each every few seconds
        assert set(fleet.store.calls) <= {"keep", "get"}
        assert sum(fleet.store.calls.values()) <= 2 * 300 / (30 * 0.25)
        assert sum(instance.fence > 0 for instance in fleet.instances) == 1


async def test_engines_elsewhere_follow_when_work_overflows():
    placement = {"models": "draft-1", "data_centres": "south"}
    async with Fleet(**placement) as fleet:
        fleet.add_target("far-engine", "south")
        fleet.directory.loads["far-engine"] = 5
        await fleet.add("a")
        await asyncio.sleep(300)
        assert fleet.store.calls == Counter()
        fleet.directory.loads["far-engine"] = 15
        await wait_for(lambda: fleet.find_models() == ("draft-1",))
        assert fleet.list_orders("far-engine") == []
