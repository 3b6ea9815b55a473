"""Tests of the target directory with targets on the loopback interface."""

from __future__ import annotations

import dataclasses
import random
from dataclasses import dataclass, field

import pytest
from aiohttp import web

from greengagelatch.clock import SystemClock
from greengagelatch.events import EventBus
from greengagelatch.instances import Instance, InstanceKind, InstanceState, Listing
from greengagelatch.settings import parse
from greengagelatch_entry.controllers.listing import (
    LISTING_RECEIVED,
    ListingController,
)
from greengagelatch_entry.controllers.targets import (
    TARGET_LEAVING,
    TargetsController,
)
from greengagelatch_entry.metrics import Metrics
from greengagelatch_lab.standins.memory import MemoryInstanceList
from greengagelatch_lab.standins.peers import MemoryNetwork, MemoryPeers
from greengagelatch_lab.waiting import wait_until

SETTINGS = """
[instance]
id = e-1
data_centre = fukuoka-a
[targets]
load_interval = 0.1
load_timeout = 2
probe_longest = 0.2
failures = 2
[platform]
store = 127.0.0.1:1
instances = 127.0.0.1:1
instances_interval = 0.5
instances_rate = 10
"""


@dataclass
class LoadEndpoint:
    """The load report endpoint of a target."""

    address: str = ""
    state: str = "live"
    headers: dict[str, str] = field(default_factory=dict)
    status: int = 200
    polls: int = 0

    async def answer(self, request: web.Request) -> web.Response:
        self.polls += 1
        report = {"in_flight": 3, "queued": 0, "capacity": 4, "state": self.state}
        return web.json_response(report, status=self.status, headers=self.headers)


@dataclass
class ObservedDirectory:
    directory: TargetsController
    events: EventBus
    metrics: Metrics
    left_ids: list[str]

    def list_ids(self) -> list[str]:
        candidates = self.directory.candidates("stockdesk")
        return [candidate.target.target_id for candidate in candidates]


@pytest.fixture
async def serve():
    runners = []

    async def start(endpoint: LoadEndpoint, port: int = 0) -> web.AppRunner:
        application = web.Application()
        application.router.add_get("/load", endpoint.answer)
        runner = web.AppRunner(application)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", port).start()
        host, port = runner.addresses[0]
        endpoint.address = f"{host}:{port}"
        runners.append(runner)
        return runner

    yield start
    for runner in runners:
        await runner.cleanup()


@pytest.fixture
async def create_directory():
    started = []

    async def create(peers: MemoryPeers, seed: int = 1) -> ObservedDirectory:
        events, metrics, left_ids = EventBus(), Metrics("127.0.0.1:9"), []
        directory = TargetsController(
            peers=peers,
            clock=SystemClock(),
            random_source=random.Random(seed),
            events=events,
            settings=parse(SETTINGS).unwrap(),
            metrics=metrics,
        )
        events.connect(TARGET_LEAVING, left_ids.append)
        await directory.start()
        started.append(directory)
        return ObservedDirectory(directory, events, metrics, left_ids)

    yield create
    for directory in started:
        await directory.stop()


def make_listing(as_of: int, *endpoints: LoadEndpoint) -> Listing:
    rows = [
        Instance(
            instance_id=f"t-{number}",
            kind=InstanceKind.TARGET,
            data_centre="fukuoka-a",
            address=endpoint.address,
            state=InstanceState.LIVE,
            service="stockdesk",
        )
        for number, endpoint in enumerate(endpoints, start=1)
    ]
    return Listing(as_of, tuple(rows))


async def test_polled_load_report_shows_leaving(serve, create_directory):
    endpoint = LoadEndpoint()
    await serve(endpoint)
    instance = await create_directory(MemoryNetwork().join("e-1"))
    instance.events.emit(LISTING_RECEIVED, make_listing(1, endpoint))
    await wait_until(lambda: instance.directory.candidates("stockdesk")[0].report)
    assert instance.directory.candidates("stockdesk")[0].report.in_flight == 3
    endpoint.state = "leaving"
    await wait_until(lambda: instance.left_ids == ["t-1"])
    assert instance.list_ids() == []


async def test_unused_targets_are_polled_less_often(serve, create_directory):
    """Load reports of targets in use would be too old for load balancing.

    Targets of unused services would be polled as often and use up the shared rate.
    """
    used, unused = LoadEndpoint(), LoadEndpoint()
    await serve(used)
    await serve(unused)
    rows = make_listing(1, used, unused).instances
    rows = (rows[0], dataclasses.replace(rows[1], service="notify"))
    instance = await create_directory(MemoryNetwork().join("e-1"))
    instance.events.emit(LISTING_RECEIVED, Listing(1, rows))
    await wait_until(lambda: instance.list_ids() and used.polls >= 20)
    assert 1 <= unused.polls < used.polls / 2
    assert instance.directory.candidates("notify")
    before = unused.polls
    await wait_until(lambda: unused.polls >= before + 10)


async def test_header_of_a_failed_poll_shows_leaving(serve, create_directory):
    endpoint = LoadEndpoint(status=503, headers={"X-Target-State": "leaving"})
    await serve(endpoint)
    instance = await create_directory(MemoryNetwork().join("e-1"))
    instance.events.emit(LISTING_RECEIVED, make_listing(1, endpoint))
    await wait_until(lambda: instance.left_ids == ["t-1"])


async def test_leaving_is_gossiped_and_permanent(create_directory):
    """Other instances would keep using a target that one instance saw leaving.

    One of twelve instances learns it from a response, while the listings of all of
    them still show the target as live.
    """
    switchboard = MemoryNetwork()
    fleet = [
        await create_directory(switchboard.join(f"e-{n}"), seed=n) for n in range(12)
    ]
    endpoints = [
        LoadEndpoint(address="127.0.0.1:1"),
        LoadEndpoint(address="127.0.0.1:1"),
    ]
    for instance in fleet:
        instance.events.emit(LISTING_RECEIVED, make_listing(1, *endpoints))
    fleet[0].directory.mark_leaving("t-1")
    assert fleet[0].list_ids() == ["t-2"]
    await wait_until(lambda: all(instance.left_ids == ["t-1"] for instance in fleet))
    for instance in fleet:
        instance.events.emit(LISTING_RECEIVED, make_listing(2, *endpoints))
        assert instance.list_ids() == ["t-2"]
        assert not instance.directory.accepts("t-1")


async def test_repeated_gossip_reaches_an_instance_that_missed_it(create_directory):
    """An instance that missed the gossip would keep using a leaving target.

    It is unreachable while the others exchange the message, and reconnects a moment
    later.
    """
    switchboard = MemoryNetwork()
    fleet = [
        await create_directory(switchboard.join(f"e-{n}"), seed=n) for n in range(3)
    ]
    await wait_until(lambda: switchboard.call_counts["leaving-query"] == 3)
    switchboard.blocked = {("e-0", "e-2"), ("e-1", "e-2")}
    fleet[0].directory.mark_leaving("t-1")
    await wait_until(lambda: fleet[1].left_ids == ["t-1"])
    await wait_until(lambda: not any(fleet[1].directory._pending_gossip.values()))
    switchboard.blocked = set()
    await wait_until(lambda: fleet[2].left_ids == ["t-1"])


async def test_new_instance_queries_leaving_targets(create_directory):
    """A new instance would send calls to a target that its peers know as leaving.

    It starts from an outdated listing, after the leaving target was gossiped.
    """
    switchboard = MemoryNetwork()
    old = await create_directory(switchboard.join("e-1"))
    old.directory.mark_leaving("t-1")
    await wait_until(lambda: not any(old.directory._pending_gossip.values()))
    old.directory._gossip_repeats.clear()
    new = await create_directory(switchboard.join("e-2"), seed=2)
    new.events.emit(
        LISTING_RECEIVED, make_listing(1, LoadEndpoint(address="127.0.0.1:1"))
    )
    await wait_until(lambda: new.left_ids == ["t-1"])
    assert new.list_ids() == []


async def test_unreachable_target_is_ejected_and_recovers(serve, create_directory):
    """A target that was briefly unreachable would stay ejected for ever.

    Its port is closed and opened again. An ejected target gets no calls, so only
    polls can show that it has recovered.
    """
    unreachable, reachable = LoadEndpoint(), LoadEndpoint()
    runner = await serve(unreachable)
    await serve(reachable)
    instance = await create_directory(MemoryNetwork().join("e-1"))
    instance.events.emit(LISTING_RECEIVED, make_listing(1, unreachable, reachable))
    await runner.cleanup()
    await wait_until(lambda: instance.list_ids() == ["t-2"])
    assert instance.left_ids == []
    failures = instance.metrics.value("targets.poll_failures")
    await wait_until(
        lambda: instance.metrics.value("targets.poll_failures") >= failures + 12
    )
    await serve(unreachable, port=int(unreachable.address.rpartition(":")[2]))
    await wait_until(lambda: instance.list_ids() == ["t-1", "t-2"])


async def test_list_is_read_less_often_in_a_large_fleet():
    switchboard = MemoryNetwork()
    peers = switchboard.join("e-1")
    instances = MemoryInstanceList(clock=SystemClock())
    listing = ListingController(
        instance_list=instances,
        peers=peers,
        clock=SystemClock(),
        random_source=random.Random(1),
        events=EventBus(),
        settings=parse(SETTINGS).unwrap(),
        metrics=Metrics("127.0.0.1:9"),
    )
    assert listing.compute_interval() == 0.5
    for number in range(99):
        switchboard.join(f"f-{number}")
    # one hundred instances share ten calls per second
    assert listing.compute_interval() == 10.0
