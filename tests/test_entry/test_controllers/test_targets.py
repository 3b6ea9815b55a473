"""Tests of the target directory against targets over loopback."""

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
from greengagelatch_lab.standins.peers import MemoryPeers, Switchboard
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
class Desk:
    """A target's load page."""

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
class Directory:
    directory: TargetsController
    events: EventBus
    metrics: Metrics
    left: list[str]

    def list_ids(self) -> list[str]:
        candidates = self.directory.candidates("stockdesk")
        return [candidate.target.target_id for candidate in candidates]


@pytest.fixture
async def serve():
    runners = []

    async def start(desk: Desk, port: int = 0) -> web.AppRunner:
        application = web.Application()
        application.router.add_get("/load", desk.answer)
        runner = web.AppRunner(application)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", port).start()
        host, port = runner.addresses[0]
        desk.address = f"{host}:{port}"
        runners.append(runner)
        return runner

    yield start
    for runner in runners:
        await runner.cleanup()


@pytest.fixture
async def begin():
    started = []

    async def create(peers: MemoryPeers, seed: int = 1) -> Directory:
        events, metrics, left = EventBus(), Metrics("127.0.0.1:9"), []
        directory = TargetsController(
            peers=peers,
            clock=SystemClock(),
            random_source=random.Random(seed),
            events=events,
            settings=parse(SETTINGS).unwrap(),
            metrics=metrics,
        )
        events.connect(TARGET_LEAVING, left.append)
        await directory.start()
        started.append(directory)
        return Directory(directory, events, metrics, left)

    yield create
    for directory in started:
        await directory.stop()


def make_listing(as_of: int, *desks: Desk) -> Listing:
    rows = [
        Instance(
            instance_id=f"t-{number}",
            kind=InstanceKind.TARGET,
            data_centre="fukuoka-a",
            address=desk.address,
            state=InstanceState.LIVE,
            service="stockdesk",
        )
        for number, desk in enumerate(desks, start=1)
    ]
    return Listing(as_of, tuple(rows))


async def test_load_report_is_polled_and_tells_of_leaving(serve, begin):
    desk = Desk()
    await serve(desk)
    one = await begin(Switchboard().join("e-1"))
    one.events.emit(LISTING_RECEIVED, make_listing(1, desk))
    await wait_until(lambda: one.directory.candidates("stockdesk")[0].report)
    assert one.directory.candidates("stockdesk")[0].report.in_flight == 3
    desk.state = "leaving"
    await wait_until(lambda: one.left == ["t-1"])
    assert one.list_ids() == []


async def test_targets_that_nobody_uses_are_polled_seldom(serve, begin):
    """Load reports of targets in use are too old to choose by.

    Others, which no request needs, are polled as often, and take up the common rate.
    """
    used, unused = Desk(), Desk()
    await serve(used)
    await serve(unused)
    rows = make_listing(1, used, unused).instances
    rows = (rows[0], dataclasses.replace(rows[1], service="notify"))
    one = await begin(Switchboard().join("e-1"))
    one.events.emit(LISTING_RECEIVED, Listing(1, rows))
    await wait_until(lambda: one.list_ids() and used.polls >= 20)
    assert 1 <= unused.polls < used.polls / 2
    assert one.directory.candidates("notify")
    before = unused.polls
    await wait_until(lambda: unused.polls >= before + 10)


async def test_header_of_a_failed_poll_tells_of_leaving(serve, begin):
    desk = Desk(status=503, headers={"X-Target-State": "leaving"})
    await serve(desk)
    one = await begin(Switchboard().join("e-1"))
    one.events.emit(LISTING_RECEIVED, make_listing(1, desk))
    await wait_until(lambda: one.left == ["t-1"])


async def test_leaving_is_passed_on_and_sticks_everywhere(begin):
    """
    Symptom: one instance goes on using a target that told another that it leaves.
    Sequence: the word comes on an answer to one of twelve instances; the lists of
    the others show the target as live for as long as they like. Cause: what one
    instance learns stays with it.
    """
    switchboard = Switchboard()
    fleet = [await begin(switchboard.join(f"e-{n}"), seed=n) for n in range(12)]
    desks = [Desk(address="127.0.0.1:1"), Desk(address="127.0.0.1:1")]
    for one in fleet:
        one.events.emit(LISTING_RECEIVED, make_listing(1, *desks))
    fleet[0].directory.mark_leaving("t-1")
    assert fleet[0].list_ids() == ["t-2"]
    await wait_until(lambda: all(one.left == ["t-1"] for one in fleet))
    for one in fleet:
        one.events.emit(LISTING_RECEIVED, make_listing(2, *desks))
        assert one.list_ids() == ["t-2"]
        assert not one.directory.accepts("t-1")


async def test_reminders_repair_what_was_lost(begin):
    """
    Symptom: one instance of many goes on using a leaving target. Sequence: it is
    out of reach when the word goes round, and back a moment later. Cause: each
    instance passes a word on just once.
    """
    switchboard = Switchboard()
    fleet = [await begin(switchboard.join(f"e-{n}"), seed=n) for n in range(3)]
    await wait_until(lambda: switchboard.asked["leaving-query"] == 3)
    switchboard.cut = {("e-0", "e-2"), ("e-1", "e-2")}
    fleet[0].directory.mark_leaving("t-1")
    await wait_until(lambda: fleet[1].left == ["t-1"])
    await wait_until(lambda: not any(fleet[1].directory._pending_gossip.values()))
    switchboard.cut = set()
    await wait_until(lambda: fleet[2].left == ["t-1"])


async def test_new_instance_asks_what_is_leaving(begin):
    """
    Symptom: a fresh instance sends work to a target that left its peers' books
    long ago. Sequence: it starts from a list that lags. Cause: it was not there
    when the word was passed on.
    """
    switchboard = Switchboard()
    old = await begin(switchboard.join("e-1"))
    old.directory.mark_leaving("t-1")
    await wait_until(lambda: not any(old.directory._pending_gossip.values()))
    old.directory._gossip_repeats.clear()
    new = await begin(switchboard.join("e-2"), seed=2)
    new.events.emit(LISTING_RECEIVED, make_listing(1, Desk(address="127.0.0.1:1")))
    await wait_until(lambda: new.left == ["t-1"])
    assert new.list_ids() == []


async def test_unreachable_target_is_set_aside_and_comes_back(serve, begin):
    """
    Symptom: a target that was out of reach for a moment gets no work for good.
    Sequence: nothing listens on its port; then something does again. Cause: no
    call is ever made to find out, as calls are what it is kept from.
    """
    lost, kept = Desk(), Desk()
    runner = await serve(lost)
    await serve(kept)
    one = await begin(Switchboard().join("e-1"))
    one.events.emit(LISTING_RECEIVED, make_listing(1, lost, kept))
    await runner.cleanup()
    await wait_until(lambda: one.list_ids() == ["t-2"])
    assert one.left == []
    failures = one.metrics.value("targets.poll_failures")
    await wait_until(
        lambda: one.metrics.value("targets.poll_failures") >= failures + 12
    )
    await serve(lost, port=int(lost.address.rpartition(":")[2]))
    await wait_until(lambda: one.list_ids() == ["t-1", "t-2"])


async def test_list_is_read_less_often_in_a_large_fleet():
    switchboard = Switchboard()
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
    # a hundred instances may make ten calls a second together
    assert listing.compute_interval() == 10.0
