"""Instances that learn the configuration from the store and from each other."""

from __future__ import annotations

import random
from contextlib import asynccontextmanager

from greengagelatch.clock import SystemClock
from greengagelatch.config.gossip import choose_watchers
from greengagelatch.config.head import HEAD_KEY
from greengagelatch.config.ini import parse_objects
from greengagelatch.config.messages import ConfigAdvert
from greengagelatch.config.requests import ChangeMode, ChangeRequest, Settled
from greengagelatch.events import EventBus
from greengagelatch.settings import parse
from greengagelatch_entry.configuration import serving
from greengagelatch_entry.controllers.configuration import (
    CONFIGURATION_CHANGED,
    ConfigurationController,
)
from greengagelatch_entry.metrics import Metrics
from greengagelatch_lab.standins.memory import MemoryStore
from greengagelatch_lab.standins.peers import Switchboard
from greengagelatch_lab.standins.store_view import StoreView
from greengagelatch_lab.waiting import wait_until

CLOCK = SystemClock()

SETTINGS = """
[instance]
id = {name}
data_centre = {place}
[platform]
store = 127.0.0.1:1
instances = 127.0.0.1:1
[configuration]
watch_wait = 0.2
gossip_interval = 0.05
stale_after = 0.3
fetch_timeout = 0.3
change_timeout = 2
"""


class View(StoreView):
    """A view of the store that can also show an entry of the past."""

    def __init__(self, store):
        super().__init__(store)
        self.stale = None

    async def watch(self, key, after, wait):
        answer = await super().watch(key, after, wait)
        return answer.map(lambda entry: self.stale or entry)


class Fleet:
    """Instances by name, each with its own way to one store."""

    def __init__(self):
        self.store = MemoryStore(clock=CLOCK)
        self.switchboard = Switchboard()
        self.views = {}
        self.instances = {}
        self.seen = {}

    async def start(self, name, place="north", switchboard=None):
        self.views.setdefault(name, View(self.store))
        events = EventBus()
        controller = ConfigurationController(
            store=self.views[name],
            peers=(switchboard or self.switchboard).join(name, place),
            clock=CLOCK,
            random_source=random.Random(name),
            events=events,
            settings=parse(SETTINGS.format(name=name, place=place)).unwrap(),
            metrics=Metrics("127.0.0.1:9"),
            data_centre=place,
        )
        seen = self.seen[name] = []
        events.connect(
            CONFIGURATION_CHANGED, lambda snapshot: seen.append(snapshot.generation)
        )
        self.instances[name] = controller
        await controller.start()
        return controller

    async def wait_for(self, generation, names=None):
        for name in names or self.instances:
            controller = self.instances[name]
            await wait_until(
                lambda one=controller: one.snapshot.generation >= generation,
                what=f"generation {generation} at {name}",
            )

    def cut_off(self, names):
        for name in names:
            self.views.setdefault(name, View(self.store)).faults.outage = True


@asynccontextmanager
async def run_fleet():
    fleet = Fleet()
    try:
        yield fleet
    finally:
        for controller in fleet.instances.values():
            await controller.stop()


async def label(controller, change_id, value, count=1):
    text = "".join(
        f"[workspace:w{number}]\nlabels = v={value}\n" for number in range(count)
    )
    request = ChangeRequest(
        change_id=change_id,
        mode=ChangeMode.APPLY,
        objects=parse_objects(text).unwrap(),
    )
    outcome = await controller.change(request)
    assert isinstance(outcome, Settled)
    return outcome


def get_value(controller):
    return controller.snapshot.workspaces["w0"].labels["v"]


async def test_a_change_is_in_force_everywhere_and_few_watch():
    """Each instance watches the head, and the store's limit is the fleet's limit."""
    async with run_fleet() as fleet:
        for place in ("north", "south", "west"):
            for number in range(4):
                await fleet.start(f"{place}-{number}", place)
        assert not any(one.ready for one in fleet.instances.values())
        await label(fleet.instances["west-0"], "c1", 1)
        await fleet.wait_for(1)
        await label(fleet.instances["north-1"], "c2", 2)
        await fleet.wait_for(2)
        assert {get_value(one) for one in fleet.instances.values()} == {"2"}
        assert all(seen in ([1, 2], [2]) for seen in fleet.seen.values())
        watching = [name for name, view in fleet.views.items() if view.calls["watch"]]
        assert len(watching) == 6
        asked = await fleet.instances["south-1"].list_generations(refresh=True)
        assert [one.generation for one in asked] == [2] * 12


async def test_an_instance_that_starts_during_an_outage():
    """A replaced instance is not ready for as long as the store is down.

    The store goes down, and an instance starts that knows no configuration.
    """
    async with run_fleet() as fleet:
        await fleet.start("a")
        await label(fleet.instances["a"], "c1", 1)
        fleet.cut_off(["a", "b"])
        await fleet.start("b")
        await fleet.wait_for(1)
        assert fleet.instances["b"].ready
        assert get_value(fleet.instances["b"]) == "1"


async def test_instances_that_start_learn_from_peers():
    """The store answers nobody in time while a data centre comes back.

    All its instances start at once, and each reads every shard from the store.
    """
    async with run_fleet() as fleet:
        await fleet.start("a")
        await label(fleet.instances["a"], "c1", 1, count=60)
        for number in range(6):
            await fleet.start(f"b-{number}")
        await fleet.wait_for(1)
        for number in range(6):
            calls = fleet.views[f"b-{number}"].calls
            # at most the head, by the watch and at the start
            assert calls["get"] + calls["watch"] < 10


async def test_a_lone_instance_that_starts_reads_the_store():
    """An instance waits for peers for good, as it is the only one."""
    async with run_fleet() as fleet:
        first = await fleet.start("a")
        await label(first, "c1", 1, count=60)
        await fleet.start("apart", switchboard=Switchboard())
        await fleet.wait_for(1)


async def test_a_data_centre_cut_off_from_the_platform():
    """A data centre goes on with an old configuration for as long as it is cut off.

    None of its instances reaches the store; those of other data centres do.
    """
    async with run_fleet() as fleet:
        north = ["north-0", "north-1", "north-2"]
        fleet.cut_off(north)
        for name in north:
            await fleet.start(name, "north")
        await fleet.start("south-0", "south")
        await label(fleet.instances["south-0"], "c1", 1)
        await fleet.wait_for(1)


async def test_the_watchers_alone_are_cut_off():
    """No instance learns of a change, though most could read the store.

    Those that the choice has watch the head are cut off from the store; the change
    is made where none of the instances hears of it.
    """
    async with run_fleet() as fleet:
        for number in range(5):
            await fleet.start(f"n-{number}")
        apart = await fleet.start("apart", "east", Switchboard())
        members = fleet.switchboard.join("x").members()
        fleet.switchboard.leave("x")
        watchers = choose_watchers(members, "north")
        await label(apart, "c1", 1)
        await fleet.wait_for(1)
        fleet.cut_off(watchers)
        await label(apart, "c2", 2)
        await fleet.wait_for(2)


async def test_a_stale_watch_and_a_stale_peer_revert_nothing():
    """A change that was in force is gone, and comes back a little later.

    A watch answers with the head before, and a peer says that it has a generation
    that is long past.
    """
    async with run_fleet() as fleet:
        await fleet.start("a")
        await label(fleet.instances["a"], "c1", 1)
        old = (await fleet.store.get(HEAD_KEY)).unwrap()
        await label(fleet.instances["a"], "c2", 2)
        fleet.views["a"].stale = old
        peer = fleet.switchboard.join("p", "north")
        peer.handle(ConfigAdvert, lambda sender, advert: None)
        peer.send("a", ConfigAdvert(generation=1, data_centre="north"))
        calls = fleet.views["a"].calls
        before = calls["watch"]
        await wait_until(lambda: calls["watch"] >= before + 3, what="stale watches")
        assert fleet.seen["a"] == [1, 2]
        fleet.views["a"].stale = None
        apart = await fleet.start("apart", "east", Switchboard())
        await label(apart, "c3", 3)
        await fleet.wait_for(3)
        assert fleet.seen["a"] == [1, 2, 3]


async def test_a_peer_that_never_answers_is_not_waited_for_again():
    """An instance stays behind, as it fetches from a peer that has gone silent.

    Two peers have the newer generation; the answers of one of them are lost.
    """
    async with run_fleet() as fleet:
        await fleet.start("a")
        await fleet.start("b")
        await label(fleet.instances["a"], "c1", 1)
        await fleet.wait_for(1)
        fleet.cut_off(["a", "b", "c"])
        fleet.switchboard.mute.add(("c", "a"))
        await fleet.start("c")
        await fleet.wait_for(1)


async def test_a_generation_is_fetched_in_chunks(monkeypatch):
    """A large head or shard holds up the heartbeats of a link, or is never sent."""
    monkeypatch.setattr(serving, "CHUNK_BYTES", 64)
    async with run_fleet() as fleet:
        await fleet.start("a")
        await label(fleet.instances["a"], "c1", 1, count=40)
        fleet.cut_off(["b"])
        await fleet.start("b")
        await fleet.wait_for(1)
        snapshot = fleet.instances["b"].snapshot
        assert len(snapshot.workspaces) == 40
        # the next generation comes as a delta
        await label(fleet.instances["a"], "c2", 2)
        await fleet.wait_for(2)
        assert fleet.instances["b"].head.changes == fleet.instances["a"].head.changes
