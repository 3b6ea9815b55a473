"""Tests of greengagelatch_entry.relay.listing with invalid and outdated entries."""

from __future__ import annotations

import asyncio
import json

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from greengagelatch.clock import ManualClock
from greengagelatch.peers.codec import Envelope, decode, encode
from greengagelatch.relay.cold_targets import ColdTargets
from greengagelatch.relay.messages import PeerSyncAnswer
from greengagelatch.relay.target_rows import (
    decode_targets,
    encode_target,
    encode_versions,
)
from greengagelatch.relay.targets import TargetTable
from greengagelatch.store import Entry
from greengagelatch.store.ranges import Changes, Scan
from greengagelatch_entry.relay.decisions import DecisionLog
from greengagelatch_entry.relay.listing import ListingFollower
from greengagelatch_entry.relay.prometheus import PrometheusMetrics
from greengagelatch_lab.platform_standins.deployment import create_configuration
from greengagelatch_platform.listing import PlatformListingCodec

GOOD = {
    "service": "desk",
    "address": "10.0.0.1:8080",
    "zone": "north",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "cold-left-ms": 0,
    "seq-no": 1,
    "born": 1_700_000_000_000,
}


class Listing:
    """A listing follower that receives changes directly, without a store."""

    def __init__(self) -> None:
        clock = ManualClock()
        self.metrics = PrometheusMetrics()
        self.book = TargetTable()
        self.cold_targets = ColdTargets()
        self.gone: list[str] = []
        self.services = {"desk"}
        self.follower = ListingFollower(
            codec=PlatformListingCodec(),
            target_table=self.book,
            cold_targets=self.cold_targets,
            on_removed=lambda incarnation: self.gone.append(str(incarnation)),
            find_services=lambda: self.services,
            find_cold_seconds=lambda service: 3.0,
            clock=clock,
            metrics=self.metrics,
            decisions=DecisionLog(clock=clock, metrics=self.metrics),
        )

    def write(self, revision: int, **values: bytes) -> None:
        """Apply writes of entries, given by target id."""
        entries = tuple(
            Entry(f"servers/{name}", value, revision) for name, value in values.items()
        )
        self.follower.apply_changes(Changes(entries, (), revision))

    def accepts(self, target_id: str) -> bool:
        listed = self.book.find_listed(target_id)
        return listed is not None and self.book.is_available(listed.incarnation)


def write_fields(**changes: object) -> bytes:
    return json.dumps({**GOOD, **changes}).encode()


@pytest.mark.parametrize(
    "value", [b"\xff\xfe", b"", b"[]", write_fields(state="resting"), b'{"service":']
)
def test_target_with_an_invalid_entry_is_excluded_until_it_is_valid(value):
    """Guards against requests to a target whose entry has become invalid.

    Another writer replaces the entry of a ready target by one that can't be decoded or
    has an unknown state. The fault is to ignore such an entry, or to read the state as
    ready.
    """
    listing = Listing()
    listing.write(1, one=write_fields(), two=write_fields())
    listing.write(2, one=value)
    assert not listing.accepts("one")
    assert listing.accepts("two")
    listing.write(3, one=write_fields())
    assert listing.accepts("one")
    # only the exclusion is reported; the target itself has not ended
    assert listing.gone == ["one@1700000000000"]


def test_invalid_entry_is_logged_once_per_content():
    """Guards against a log flooded by one invalid entry.

    The listing is read again after each store outage, and each read would log a line.
    """
    listing = Listing()
    bad = Entry("servers/bad", b"{}", 3)
    for _ in range(3):
        listing.follower.apply_scan(Scan((bad,), 9))
    count = listing.metrics.value
    assert count("beliefs.target-unreadable") == 1
    assert count("targets.unreadable") == 3
    listing.write(10, bad=b"[]")
    assert count("beliefs.target-unreadable") == 2
    assert set(listing.follower.dump()["bad_entries"]) == {"servers/bad"}
    listing.follower.apply_scan(Scan((), 12))
    assert listing.follower.dump()["bad_entries"] == {}


def test_entry_without_a_start_time_at_another_address_is_excluded():
    listing = Listing()
    listing.write(1, one=write_fields())
    fields = {**GOOD, "address": "10.0.0.2:80"}
    del fields["born"]
    listing.write(2, one=json.dumps(fields).encode())
    assert not listing.accepts("one")
    assert listing.metrics.value("beliefs.target-unreadable") == 1


def test_unknown_service_is_logged_once_and_used_once_configured():
    listing = Listing()
    listing.write(1, one=write_fields(service="new"))
    listing.write(2, one=write_fields(service="new", slots=5))
    assert listing.metrics.value("beliefs.target-unknown-service") == 1
    assert listing.book.list_service("desk") == ()
    listing.services = {"desk", "new"}
    listing.follower.check_services()
    assert listing.follower.dump()["unknown_services"] == {}
    assert len(listing.book.list_service("new")) == 1


def test_target_that_moves_to_an_unknown_service_leaves_the_known_one():
    listing = Listing()
    listing.write(1, one=write_fields())
    listing.write(2, one=write_fields(service="new"))
    assert listing.book.list_service("desk") == ()


def test_later_incarnation_wins_between_two_instances():
    """Guards against requests routed by the state of a former incarnation.

    Only one of two instances knows that a target has restarted, and both exchange
    their listings. The fault is to accept whatever a peer sent last.
    """
    ahead, behind = Listing(), Listing()
    ahead.write(1, one=write_fields())
    behind.write(1, one=write_fields())
    later = GOOD["born"] + 5
    ahead.write(2, one=write_fields(born=later))
    # regardless of the revision that the lagging peer claims
    ahead.follower.apply_peer_listing(behind.book.list_all(), 9)
    behind.follower.apply_peer_listing(ahead.book.list_all(), 9)
    for listing in (ahead, behind):
        assert listing.book.find_newest("one").started_ms == later
        assert listing.accepts("one")
        assert listing.gone == [f"one@{GOOD['born']}"]
    assert ahead.metrics.value("targets.outdated") == 1


_scalars = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(),
    st.floats(),
    st.text(max_size=12),
    st.sampled_from(["ready", "draining", "desk", "10.0.0.1:80", "[::1]:9", "\ud800"]),
)
_anything = st.recursive(
    _scalars,
    lambda inner: st.one_of(
        st.lists(inner, max_size=3), st.dictionaries(st.text(max_size=6), inner)
    ),
    max_leaves=6,
)
_changed = st.dictionaries(st.sampled_from(list(GOOD)), _anything, max_size=4).map(
    lambda changes: json.dumps({**GOOD, **changes}).encode()
)
_missing = st.sets(st.sampled_from(list(GOOD)), max_size=3).map(
    lambda names: json.dumps(
        {name: value for name, value in GOOD.items() if name not in names}
    ).encode()
)
_values = st.one_of(
    st.binary(max_size=40),
    _changed,
    _missing,
    _anything.map(lambda value: json.dumps(value).encode()),
    st.just(b"[" * 100_000),
)
_keys = st.one_of(
    st.sampled_from(["servers/one", "servers/two", "servers/"]),
    st.text(max_size=8).map(lambda text: f"servers/{text}"),
)
_steps = st.lists(
    st.tuples(st.sampled_from(["scan", "write", "remove"]), _keys, _values), max_size=8
)


@given(_steps)
@settings(suppress_health_check=[HealthCheck.too_slow])
def test_arbitrary_entries_never_raise_or_affect_others(steps):
    listing = Listing()
    good = Entry("servers/good", write_fields(), 1)
    listing.write(1, good=good.value)
    for revision, (step, key, value) in enumerate(steps, start=2):
        if key == good.key:
            continue
        entry = Entry(key, value, revision)
        match step:
            case "scan":
                listing.follower.apply_scan(Scan((good, entry), revision))
            case "write":
                listing.follower.apply_changes(Changes((entry,), (), revision))
            case "remove":
                listing.follower.apply_changes(
                    Changes((), ((key, revision),), revision)
                )
        assert listing.accepts("good")
    listed = listing.book.list_all()
    # listed targets can be encoded for peers and for requests
    rows = tuple(map(encode_target, listed))
    answer = PeerSyncAnswer(
        listed=True, targets=rows, target_versions=encode_versions(listed)
    )
    message = decode(encode(Envelope(answer))).unwrap().message
    decoded = decode_targets(message.targets, message.target_versions)
    assert tuple(decoded) == listed
    for target in listed:
        assert target.target_id.isascii()
        assert target.address.rpartition(":")[2].isdecimal()
        assert target.incarnation.started_ms >= 0


# tests on an instance


async def test_requests_in_flight_continue_while_the_entry_is_invalid(world):
    """Guards against lost requests when the entry of a busy target becomes invalid.

    The entry is overwritten by invalid bytes and restored later. The faults are to
    ignore the change, so that new requests are still sent to the target, or to take it
    for the end of the target, so that requests in flight are abandoned.
    """
    busy = world.targets["desk-1"]
    other = world.targets["desk-2"]
    busy.gate = asyncio.Event()
    pending = [
        asyncio.create_task(
            world.ask("/book/1", method="POST", request_id=f"b-{number}")
        )
        for number in range(4)
    ]
    await world.wait_for(lambda: busy.runs.total() >= 1)
    revision = world.store.put_bytes("servers/desk-1", b"\xff\x00")
    await world.wait_for(lambda: not world.accepts("desk-1"))
    await world.wait_for_revision(revision)
    before = busy.runs.total()
    for number in range(6):
        reply = await world.ask("/look/1", request_id=f"s-{number}")
        assert reply.status == 200
    assert busy.runs.total() == before
    assert other.runs.total() >= 6
    busy.gate.set()
    assert [reply.status for reply in await asyncio.gather(*pending)] == [200] * 4
    assert world.count("beliefs.target-unreadable") == 1
    busy.register(world.store)
    await world.wait_for(lambda: world.accepts("desk-1"))
    world.store.remove("servers/desk-2")
    await world.wait_for(lambda: not world.accepts("desk-2"))
    assert (await world.ask("/look/1")).status == 200


async def test_entry_for_an_unknown_service_is_used_once_it_is_configured(world):
    await world.add("new-1", "new")
    await world.wait_for(lambda: world.count("beliefs.target-unknown-service") == 1)
    fields = create_configuration(12)
    fields["services"].append({"name": "new", "health-path": "/h", "max-conns": 9})
    for route in fields["routes"]:
        if route["name"] == "look":
            route["service"] = "new"
    world.store.put("op/config", fields)
    configuration = world.find("news")._configuration
    await world.wait_for(lambda: configuration.deployment.version == 12)
    assert (await world.ask("/look/1", request_id="n-1")).status == 200
    assert world.targets["new-1"].runs["n-1"] == 1
