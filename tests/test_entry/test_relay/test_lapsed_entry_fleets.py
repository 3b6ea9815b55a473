"""Tests of entries that end and come back, at fleets of instances in virtual time."""

from __future__ import annotations

import json
import random
from dataclasses import dataclass, field

import pytest

from greengagelatch.clock import ManualClock
from greengagelatch.relay.cold_targets import ColdTargets
from greengagelatch.relay.incarnations import Incarnation
from greengagelatch.relay.targets import TargetTable
from greengagelatch.store import Entry
from greengagelatch.store.ranges import Changes, Scan
from greengagelatch_entry.relay.decisions import DecisionLog
from greengagelatch_entry.relay.listing import ListingFollower
from greengagelatch_entry.relay.prometheus import PrometheusMetrics
from greengagelatch_platform.listing import PlatformListingCodec

#: seconds between two steps
STEP_SECONDS = 0.25
#: seconds after its listing from which a target has to be used
BOUND_SECONDS = 2.0
SERVICES = ("desk", "llm", "portal")
TARGETS_PER_SERVICE = 3


@dataclass
class Target:
    """A target as it is: what its entries are to say."""

    target_id: str
    service: str
    address: str
    started_ms: int | None
    #: whether it has said that it leaves
    has_left: bool = False

    @property
    def incarnation(self) -> Incarnation:
        return Incarnation(self.target_id, self.started_ms or 0)

    def encode(self) -> bytes:
        fields = {
            "service": self.service,
            "address": self.address,
            "zone": "north",
            "version": "v1",
            "slots": 4,
            "state": "ready",
            "cold-left-ms": 0,
            "seq-no": 1,
        }
        if self.started_ms is not None:
            fields["born"] = self.started_ms
        return json.dumps(fields).encode()


@dataclass
class Store:
    """All events of the listing, in order; a value of ``None`` is a removal."""

    events: list[tuple[str, bytes | None]] = field(default_factory=list)

    def write(self, target_id: str, value: bytes | None) -> None:
        self.events.append((f"servers/{target_id}", value))

    def read_items(self) -> dict[str, Entry]:
        items = {}
        for revision, (key, value) in enumerate(self.events, start=1):
            items.pop(key, None)
            if value is not None:
                items[key] = Entry(key, value, revision)
        return items

    def read_changes(self, after: int) -> Changes:
        written, removed = {}, {}
        for revision, (key, value) in enumerate(self.events, start=1):
            if revision <= after:
                continue
            written.pop(key, None)
            removed.pop(key, None)
            if value is None:
                removed[key] = revision
            else:
                written[key] = Entry(key, value, revision)
        return Changes(
            tuple(written.values()), tuple(removed.items()), len(self.events)
        )


class Instance:
    """The listing of one instance, fed by the store or by peers."""

    def __init__(self, clock: ManualClock) -> None:
        metrics = PrometheusMetrics()
        self.table = TargetTable()
        self.after = 0
        #: whether the store reaches it
        self.is_connected = True
        self.listing = ListingFollower(
            codec=PlatformListingCodec(),
            target_table=self.table,
            cold_targets=ColdTargets(),
            on_removed=lambda incarnation: None,
            find_services=lambda: SERVICES,
            find_cold_seconds=lambda service: 0.0,
            clock=clock,
            metrics=metrics,
            decisions=DecisionLog(clock=clock, metrics=metrics),
        )
        self.metrics = metrics

    def watch(self, store: Store) -> None:
        self.listing.apply_changes(store.read_changes(self.after))
        self.after = len(store.events)

    def scan(self, store: Store) -> None:
        items = tuple(store.read_items().values())
        self.listing.apply_scan(Scan(items, len(store.events)))
        self.after = len(store.events)

    def ask(self, peer: Instance) -> None:
        listing = peer.listing
        if listing.revision > self.listing.revision:
            self.listing.apply_peer_listing(peer.table.list_all(), listing.revision)


class Fleet:
    """Instances and targets, whose entries lapse and return at random."""

    def __init__(self, count: int, seed: int, *, with_start: bool) -> None:
        self.clock = ManualClock()
        self.random = random.Random(seed)
        self.store = Store()
        self.instances = [Instance(self.clock) for _ in range(count)]
        self.targets = [
            Target(
                f"{service}-{number}",
                service,
                f"10.0.{index}.{number}:80",
                1000 if with_start else None,
            )
            for index, service in enumerate(SERVICES)
            for number in range(1, TARGETS_PER_SERVICE + 1)
        ]
        for target in self.targets:
            self.store.write(target.target_id, target.encode())
        for instance in self.instances:
            instance.scan(self.store)

    def lapse(self, targets: list[Target]) -> None:
        for target in targets:
            self.store.write(target.target_id, None)

    def renew(self, targets: list[Target]) -> None:
        for target in targets:
            self.store.write(target.target_id, target.encode())

    def leave(self, target: Target) -> None:
        """Let a target say in an answer to one instance that it leaves."""
        target.has_left = True
        for instance in self.random.sample(self.instances, 1):
            instance.listing.record_leaving(target.incarnation, "answer")

    def step(self) -> None:
        """Let each instance hear of the store or of a peer; the news spread."""
        for instance in self.instances:
            if instance.is_connected:
                if self.random.random() < 0.1:
                    instance.scan(self.store)
                else:
                    instance.watch(self.store)
            else:
                instance.ask(self.random.choice(self.instances))
        for target in self.targets:
            if not target.has_left:
                continue
            for instance in self.instances:
                instance.listing.record_leaving(target.incarnation, "peer")
        self.clock.advance(STEP_SECONDS)

    def find_wrong(self) -> list[str]:
        """Return the targets that an instance excludes or uses although it must not."""
        listed = self.store.read_items()
        wrong = []
        for target in self.targets:
            is_listed = f"servers/{target.target_id}" in listed
            expected = is_listed and not target.has_left
            for number, instance in enumerate(self.instances):
                if instance.table.is_available(target.incarnation) is not expected:
                    wrong.append(f"{target.target_id} at {number}: not {expected}")
        return wrong

    def count_returned(self) -> float:
        return sum(one.metrics.value("targets.returned") for one in self.instances)

    def settle(self) -> None:
        """Let all instances reach the store, until the bound has passed."""
        for instance in self.instances:
            instance.is_connected = True
        for _ in range(round(BOUND_SECONDS / STEP_SECONDS)):
            self.step()


@pytest.mark.parametrize("with_start", [True, False])
@pytest.mark.parametrize("count", [2, 9, 89, 300])
def test_live_targets_are_used_within_the_bound_whatever_came_before(count, with_start):
    """Guards against live targets that an instance excludes after entries lapsed.

    One, a service's, or all entries end and are written again, some targets say that
    they leave while their entries go on, and part of the instances hear of the store
    through peers only.
    """
    returned = 0
    seeds = range(20) if count < 50 else range(2)
    for seed in seeds:
        fleet = Fleet(count, seed, with_start=with_start)
        source = fleet.random
        for _ in range(12):
            alive = [one for one in fleet.targets if not one.has_left]
            service = source.choice(SERVICES)
            chosen = source.choice(
                [
                    [source.choice(fleet.targets)],
                    [one for one in fleet.targets if one.service == service],
                    fleet.targets,
                ]
            )
            match source.choice(["lapse", "lapse", "renew", "leave", "cut", "blink"]):
                case "lapse":
                    fleet.lapse(chosen)
                case "renew":
                    # late writers of targets that have left among them
                    fleet.renew(chosen)
                case "blink":
                    fleet.lapse(chosen)
                    fleet.renew(chosen)
                case "leave" if len(alive) > 1:
                    fleet.leave(source.choice(alive))
                case "cut":
                    for instance in fleet.instances:
                        instance.is_connected = source.random() < 0.5
            fleet.step()
        fleet.renew(fleet.targets)
        fleet.settle()
        assert fleet.find_wrong() == [], f"seed {seed}"
        returned += fleet.count_returned()
    assert returned


@pytest.mark.parametrize("count", [2, 300])
def test_no_peer_brings_back_a_target_whose_entry_is_gone(count):
    """Guards against requests to a target that is gone, by peers that lag."""
    fleet = Fleet(count, 5, with_start=False)
    lagging, *others = fleet.instances
    lagging.is_connected = False
    gone = fleet.targets[0]
    fleet.lapse([gone])
    for instance in others:
        instance.watch(fleet.store)
        instance.listing.apply_peer_listing(
            lagging.table.list_all(), len(fleet.store.events) + 5
        )
    used = [one.table.is_available(gone.incarnation) for one in others]
    assert not any(used)
