"""Tests of polling the list of instances and of fetching it from peers."""

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
from greengagelatch_lab.standins.peers import MemoryNetwork

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
    """The platform's list as seen by one instance; unreachable if ``None``."""

    listing: Listing | None = None

    async def fetch(self):
        return DOWN if self.listing is None else Ok(self.listing)


class OffsetClock(SystemClock):
    """A clock that can be advanced."""

    offset = 0.0

    def now(self) -> float:
        return super().now() + self.offset


@dataclass
class Reader:
    controller: ListingController
    clock: OffsetClock
    source: FakeList
    metrics: Metrics
    received: list[Listing] = field(default_factory=list)


@pytest.fixture
def switchboard():
    return MemoryNetwork()


def join(switchboard: MemoryNetwork, name: str, listing: Listing | None) -> Reader:
    events, metrics, source = EventBus(), Metrics("127.0.0.1:9"), FakeList(listing)
    clock = OffsetClock()
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


async def test_unreachable_list_is_fetched_from_a_peer(switchboard):
    """Without the platform, an instance would find no new targets.

    The instance starts during an outage of the platform, or is partitioned from it,
    while its peers have a listing.
    """
    newest = make_listing(5, rows=2 * PAGE_ROWS + 1)
    old = join(switchboard, "e-1", newest)
    await old.controller.refresh()
    new = join(switchboard, "e-2", None)
    await new.controller.refresh()
    assert new.received == [newest]
    assert new.controller.listing == newest
    # no peer has a newer listing
    queries = switchboard.call_counts["listing-query"]
    await new.controller.refresh()
    assert new.received == [newest]
    old.source.listing = make_listing(6)
    await old.controller.refresh()
    # the transfer budget has to recover before the next query
    await new.controller.refresh()
    assert switchboard.call_counts["listing-query"] == queries
    new.clock.offset = 1000.0
    await new.controller.refresh()
    assert new.received[-1] == make_listing(6)
    assert switchboard.call_counts["listing-query"] == queries + 1


async def test_older_listing_of_a_peer_is_ignored(switchboard):
    """Removed targets would come back with an older listing.

    An instance that has read the list receives an older listing from a peer.
    """
    reader = join(switchboard, "e-1", make_listing(5))
    await reader.controller.refresh()
    older = join(switchboard, "e-2", make_listing(4))
    await older.controller.refresh()
    reader.source.listing = None
    await reader.controller.refresh()
    assert reader.controller.listing == make_listing(5)
    assert len(reader.received) == 1


async def test_peers_are_not_queried_while_the_list_is_reachable(switchboard):
    join(switchboard, "e-1", make_listing(9))
    reader = join(switchboard, "e-2", make_listing(1))
    await reader.controller.refresh()
    assert switchboard.call_counts["listing-query"] == 0


@pytest.mark.parametrize(
    "answers",
    [
        # the second page belongs to another listing than the first
        [ListingPage(5, 3, 0, (("t-0",),)), ListingPage(6, 3, 1, (("t-1",),))],
        # the pages make no progress
        [ListingPage(5, 3, 0, (("t-0",),)), ListingPage(5, 3, 1, ())],
        [ListingPage(5, 3, 0, (("t-0",),)), ListingPage(5, 3, 0, (("t-0",),))],
        # the announced size exceeds any listing
        [ListingPage(5, 10**9, 0, (("t-0",),))],
    ],
)
async def test_inconsistent_pages_are_discarded(switchboard, answers):
    """Unvalidated pages would yield an incomplete listing or an endless query.

    The peer reads a newer listing between two pages, or sends invalid pages.
    """
    peer = switchboard.join("e-1")
    remaining = iter(answers)
    peer.handle(ListingQuery, lambda sender, message: next(remaining))
    reader = join(switchboard, "e-2", None)
    await reader.controller.refresh()
    assert reader.received == []
    assert list(remaining) == []
    assert reader.metrics.value("instances.failed_questions") == 1
