"""Tests of reading the list, and of learning it from peers."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

import pytest
from result import Err, Ok

from greengagelatch.clock import SystemClock
from greengagelatch.events import EventBus
from greengagelatch.instances import Instance, InstanceKind, InstanceList, Listing
from greengagelatch.instances.messages import ListingPage, ListingQuery
from greengagelatch.instances.rows import PAGE_ROWS
from greengagelatch.settings import parse
from greengagelatch.store import StoreError, StoreErrorKind
from greengagelatch_entry.controllers.listing import (
    LISTING_RECEIVED,
    ListingController,
)
from greengagelatch_entry.metrics import Metrics
from greengagelatch_lab.standins.peers import Switchboard

SETTINGS = """
[instance]
id = e-1
data_centre = kumamoto
[platform]
store = 127.0.0.1:1
instances = 127.0.0.1:1
"""

DOWN = Err(StoreError(StoreErrorKind.UNREACHABLE, "down"))


def make_listing(as_of: int, rows: int = 2) -> Listing:
    instances = tuple(
        Instance(
            instance_id=f"t-{number}",
            kind=InstanceKind.TARGET,
            data_centre="kumamoto",
            address=f"127.0.0.1:{number + 1}",
            service="stockdesk",
        )
        for number in range(rows)
    )
    return Listing(as_of, instances)


@dataclass
class FakeList(InstanceList):
    """The platform's list as one instance can read it; ``None``: it can't."""

    listing: Listing | None = None

    async def fetch(self):
        return DOWN if self.listing is None else Ok(self.listing)


class JumpClock(SystemClock):
    """A clock that can be put forward."""

    offset = 0.0

    def now(self) -> float:
        return super().now() + self.offset


@dataclass
class Reader:
    controller: ListingController
    clock: JumpClock
    source: FakeList
    metrics: Metrics
    received: list[Listing] = field(default_factory=list)


@pytest.fixture
def switchboard():
    return Switchboard()


def join(switchboard: Switchboard, name: str, listing: Listing | None) -> Reader:
    events, metrics, source = EventBus(), Metrics("127.0.0.1:9"), FakeList(listing)
    clock = JumpClock()
    controller = ListingController(
        instance_list=source,
        peers=switchboard.join(name),
        clock=clock,
        random_source=random.Random(1),
        events=events,
        settings=parse(SETTINGS).unwrap(),
        metrics=metrics,
    )
    reader = Reader(controller, clock, source, metrics)
    events.connect(LISTING_RECEIVED, reader.received.append)
    return reader


async def test_list_out_of_reach_is_learnt_from_a_peer(switchboard):
    """
    Symptom: instances started while the platform is down never become ready, and a
    data centre cut off from it sees no new targets. Sequence: the list can't be
    read; the peers have read it, or learnt it from others. Cause: nobody passed a
    listing on.
    """
    newest = make_listing(5, rows=2 * PAGE_ROWS + 1)
    old = join(switchboard, "e-1", newest)
    await old.controller.refresh()
    new = join(switchboard, "e-2", None)
    await new.controller.refresh()
    assert new.received == [newest]
    assert new.controller.listing == newest
    # nothing newer is known to anybody
    asked = switchboard.asked["listing-query"]
    await new.controller.refresh()
    assert new.received == [newest]
    old.source.listing = make_listing(6)
    await old.controller.refresh()
    # what was sent is paid off first
    await new.controller.refresh()
    assert switchboard.asked["listing-query"] == asked
    new.clock.offset = 1000.0
    await new.controller.refresh()
    assert new.received[-1] == make_listing(6)
    assert switchboard.asked["listing-query"] == asked + 1


async def test_older_word_of_a_peer_is_ignored(switchboard):
    """
    Symptom: targets that are gone come back. Sequence: one instance has read the
    list, another only an older one, which it tells. Cause: whoever spoke last was
    believed.
    """
    reader = join(switchboard, "e-1", make_listing(5))
    await reader.controller.refresh()
    older = join(switchboard, "e-2", make_listing(4))
    await older.controller.refresh()
    reader.source.listing = None
    await reader.controller.refresh()
    assert reader.controller.listing == make_listing(5)
    assert len(reader.received) == 1


async def test_peers_are_not_asked_while_the_list_answers(switchboard):
    join(switchboard, "e-1", make_listing(9))
    reader = join(switchboard, "e-2", make_listing(1))
    await reader.controller.refresh()
    assert switchboard.asked["listing-query"] == 0


@pytest.mark.parametrize(
    "answers",
    [
        # it goes on with another listing than it began
        [ListingPage(5, 3, 0, (("t-0",),)), ListingPage(6, 3, 1, (("t-1",),))],
        # it never ends
        [ListingPage(5, 3, 0, (("t-0",),)), ListingPage(5, 3, 1, ())],
        [ListingPage(5, 3, 0, (("t-0",),)), ListingPage(5, 3, 0, (("t-0",),))],
        # it is larger than any listing
        [ListingPage(5, 10**9, 0, (("t-0",),))],
    ],
)
async def test_pages_that_do_not_fit_are_dropped(switchboard, answers):
    """
    Symptom: a listing that never was, of which targets are missing, or an instance
    that asks for ever. Sequence: the peer reads a newer listing between two pages,
    or is of another mind. Cause: pages were joined without a look.
    """
    peer = switchboard.join("e-1")
    rest = iter(answers)
    peer.handle(ListingQuery, lambda sender, message: next(rest))
    reader = join(switchboard, "e-2", None)
    await reader.controller.refresh()
    assert reader.received == []
    assert list(rest) == []
    assert reader.metrics.value("instances.failed_questions") == 1
