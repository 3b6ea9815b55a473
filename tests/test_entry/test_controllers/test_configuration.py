"""Tests of the replication of the configuration from the store and from peers."""

from __future__ import annotations

import random
from contextlib import asynccontextmanager

from greengagelatch.clock import SystemClock
from greengagelatch.config.gossip import choose_watchers
from greengagelatch.config.head import HEAD_KEY
from greengagelatch.config.ini import parse_objects
from greengagelatch.config.messages import ConfigAdvert
from greengagelatch.config.requests import (
    ChangeMode,
    ChangeRequest,
    NotApplied,
    Settled,
)
from greengagelatch.events import EventBus
from greengagelatch.settings import parse
from greengagelatch_entry.configuration import serving
from greengagelatch_entry.controllers.configuration import (
    CONFIGURATION_CHANGED,
    ConfigurationController,
)
from greengagelatch_entry.metrics import Metrics
from greengagelatch_lab.standins.fault_injecting_store import FaultInjectingStore
from greengagelatch_lab.standins.memory import MemoryStore
from greengagelatch_lab.standins.peers import MemoryNetwork
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


class FaultyStoreView(FaultInjectingStore):
    """A view of the store whose watch can return a stale entry."""

    def __init__(self, store):
        super().__init__(store)
        self.stale = None

    async def watch(self, key, after, wait):
        answer = await super().watch(key, after, wait)
        return answer.map(lambda entry: self.stale or entry)


class Fleet:
    """Instances by name, each with its own view of a shared store."""

    def __init__(self):
        self.store = MemoryStore(clock=CLOCK)
        self.switchboard = MemoryNetwork()
        self.views = {}
        self.instances = {}
        self.generations = {}

    async def start(self, name, data_centre="north", switchboard=None):
        self.views.setdefault(name, FaultyStoreView(self.store))
        events = EventBus()
        controller = ConfigurationController(
            store=self.views[name],
            peers=(switchboard or self.switchboard).join(name, data_centre),
            clock=CLOCK,
            random_source=random.Random(name),
            events=events,
            settings=parse(SETTINGS.format(name=name, place=data_centre)).unwrap(),
            metrics=Metrics("127.0.0.1:9"),
            data_centre=data_centre,
        )
        generations = self.generations[name] = []
        events.connect(
            CONFIGURATION_CHANGED,
            lambda snapshot: generations.append(snapshot.generation),
        )
        self.instances[name] = controller
        await controller.start()
        return controller

    async def wait_for(self, generation, names=None):
        for name in names or self.instances:
            controller = self.instances[name]
            await wait_until(
                lambda instance=controller: instance.snapshot.generation >= generation,
                what=f"generation {generation} at {name}",
            )

    def partition(self, names):
        for name in names:
            self.views.setdefault(
                name, FaultyStoreView(self.store)
            ).faults.outage = True


@asynccontextmanager
async def run_fleet():
    fleet = Fleet()
    try:
        yield fleet
    finally:
        for controller in fleet.instances.values():
            await controller.stop()


def create_request(change_id, value, count=1):
    text = "".join(
        f"[workspace:w{number}]\nlabels = v={value}\n" for number in range(count)
    )
    return ChangeRequest(
        change_id=change_id,
        mode=ChangeMode.APPLY,
        objects=parse_objects(text).unwrap(),
    )


async def apply_labels(controller, change_id, value, count=1):
    outcome = await controller.change(create_request(change_id, value, count))
    assert isinstance(outcome, Settled)
    return outcome


def get_label(controller):
    return controller.snapshot.workspaces["w0"].labels["v"]


async def test_change_is_adopted_everywhere_with_few_watchers():
    """Every instance would watch the head, so that the store limits the fleet size.

    Only two watchers in each data centre call the store; the others learn of a change
    from peers.
    """
    async with run_fleet() as fleet:
        for data_centre in ("north", "south", "west"):
            for number in range(4):
                await fleet.start(f"{data_centre}-{number}", data_centre)
        assert not any(instance.ready for instance in fleet.instances.values())
        await apply_labels(fleet.instances["west-0"], "c1", 1)
        await fleet.wait_for(1)
        await apply_labels(fleet.instances["north-1"], "c2", 2)
        await fleet.wait_for(2)
        assert {get_label(instance) for instance in fleet.instances.values()} == {"2"}
        assert all(
            generations in ([1, 2], [2]) for generations in fleet.generations.values()
        )
        watchers = [name for name, view in fleet.views.items() if view.calls["watch"]]
        assert len(watchers) == 6
        reported = await fleet.instances["south-1"].list_generations(refresh=True)
        assert [instance.generation for instance in reported] == [2] * 12


async def test_change_after_the_store_was_put_back_is_not_applied():
    """Guards against a change that is reported as applied and never becomes active.

    The store is restored from an earlier state, and instances never move to a lower
    generation.
    """
    async with run_fleet() as fleet:
        controller = await fleet.start("a")
        await apply_labels(controller, "c1", 1)
        earlier = (await fleet.store.get(HEAD_KEY)).unwrap()
        await apply_labels(controller, "c2", 2)
        await apply_labels(controller, "c3", 3)
        await fleet.wait_for(3)
        current = (await fleet.store.get(HEAD_KEY)).unwrap()
        await fleet.store.swap(HEAD_KEY, earlier.value, current.revision)
        outcome = await controller.change(create_request("c4", 4))
        assert isinstance(outcome, NotApplied)
        assert "generation 1" in outcome.message
        assert get_label(controller) == "3"


async def test_instance_starts_during_a_store_outage():
    """A replaced instance would not become ready during an outage of the store.

    An instance without a configuration starts while the store is down.
    """
    async with run_fleet() as fleet:
        await fleet.start("a")
        await apply_labels(fleet.instances["a"], "c1", 1)
        fleet.partition(["a", "b"])
        await fleet.start("b")
        await fleet.wait_for(1)
        assert fleet.instances["b"].ready
        assert get_label(fleet.instances["b"]) == "1"


async def test_starting_instances_fetch_from_peers():
    """The store would be overloaded while a data centre restarts.

    All its instances start at the same time, and each would read every shard.
    """
    async with run_fleet() as fleet:
        await fleet.start("a")
        await apply_labels(fleet.instances["a"], "c1", 1, count=60)
        for number in range(6):
            await fleet.start(f"b-{number}")
        await fleet.wait_for(1)
        for number in range(6):
            calls = fleet.views[f"b-{number}"].calls
            # at most the head, by the watch and at the start
            assert calls["get"] + calls["watch"] < 10


async def test_single_instance_reads_the_store_at_start():
    """The only instance of a fleet would wait for peers for ever."""
    async with run_fleet() as fleet:
        first = await fleet.start("a")
        await apply_labels(first, "c1", 1, count=60)
        await fleet.start("apart", switchboard=MemoryNetwork())
        await fleet.wait_for(1)


async def test_data_centre_partitioned_from_the_store():
    """A partitioned data centre would keep an old configuration.

    None of its instances reaches the store; those of other data centres do.
    """
    async with run_fleet() as fleet:
        north = ["north-0", "north-1", "north-2"]
        fleet.partition(north)
        for name in north:
            await fleet.start(name, "north")
        await fleet.start("south-0", "south")
        await apply_labels(fleet.instances["south-0"], "c1", 1)
        await fleet.wait_for(1)


async def test_only_the_watchers_are_partitioned():
    """A change would go unnoticed although most instances reach the store.

    Only the watchers are partitioned from the store, and the change is made by an
    instance that is not in their peer network.
    """
    async with run_fleet() as fleet:
        for number in range(5):
            await fleet.start(f"n-{number}")
        isolated = await fleet.start("apart", "east", MemoryNetwork())
        members = fleet.switchboard.join("x").members()
        fleet.switchboard.leave("x")
        watchers = choose_watchers(members, "north")
        await apply_labels(isolated, "c1", 1)
        await fleet.wait_for(1)
        fleet.partition(watchers)
        await apply_labels(isolated, "c2", 2)
        await fleet.wait_for(2)


async def test_stale_watch_and_stale_peer_are_ignored():
    """A change in force would be reverted and reapplied later.

    A watch returns the previous head, and a peer advertises an older generation.
    """
    async with run_fleet() as fleet:
        await fleet.start("a")
        await apply_labels(fleet.instances["a"], "c1", 1)
        old = (await fleet.store.get(HEAD_KEY)).unwrap()
        await apply_labels(fleet.instances["a"], "c2", 2)
        fleet.views["a"].stale = old
        peer = fleet.switchboard.join("p", "north")
        peer.handle(ConfigAdvert, lambda sender, advert: None)
        peer.send("a", ConfigAdvert(generation=1, data_centre="north"))
        calls = fleet.views["a"].calls
        before = calls["watch"]
        await wait_until(lambda: calls["watch"] >= before + 3, what="stale watches")
        assert fleet.generations["a"] == [1, 2]
        fleet.views["a"].stale = None
        isolated = await fleet.start("apart", "east", MemoryNetwork())
        await apply_labels(isolated, "c3", 3)
        await fleet.wait_for(3)
        assert fleet.generations["a"] == [1, 2, 3]


async def test_fetch_falls_back_from_a_mute_peer():
    """An instance would stay on an old generation while it fetches from a mute peer.

    Two peers have the newer generation; the answers of one of them are lost.
    """
    async with run_fleet() as fleet:
        await fleet.start("a")
        await fleet.start("b")
        await apply_labels(fleet.instances["a"], "c1", 1)
        await fleet.wait_for(1)
        fleet.partition(["a", "b", "c"])
        fleet.switchboard.lost_answers.add(("c", "a"))
        await fleet.start("c")
        await fleet.wait_for(1)


async def test_a_generation_is_fetched_in_chunks(monkeypatch):
    """A large head or shard would delay the heartbeats of a link, or never be sent."""
    monkeypatch.setattr(serving, "CHUNK_BYTES", 64)
    async with run_fleet() as fleet:
        await fleet.start("a")
        await apply_labels(fleet.instances["a"], "c1", 1, count=40)
        fleet.partition(["b"])
        await fleet.start("b")
        await fleet.wait_for(1)
        snapshot = fleet.instances["b"].snapshot
        assert len(snapshot.workspaces) == 40
        # the next generation is fetched as a delta
        await apply_labels(fleet.instances["a"], "c2", 2)
        await fleet.wait_for(2)
        assert fleet.instances["b"].head.changes == fleet.instances["a"].head.changes
