"""Replica of the configuration with stale, partial and corrupt sources."""

from __future__ import annotations

import random

import cbor2
import pytest

from greengagelatch.config.gossip import (
    GenerationTable,
    choose_recipients,
    choose_watchers,
)
from greengagelatch.config.head import (
    Head,
    ShardRef,
    append_change,
    apply_delta,
    encode_delta,
)
from greengagelatch.config.objects import Workspace
from greengagelatch.config.records import (
    Record,
    compute_bucket,
    compute_digest,
    encode_body,
    encode_shard,
)
from greengagelatch.config.replica import Replica, load_shard
from greengagelatch.peers import Member, MemberState
from greengagelatch.peers.codec import PROTOCOL_VERSION, decode


def build_generation(head, number):
    """Return the next head, which changes one workspace, and its new shard."""
    body = encode_body(Workspace(name="a", labels={"v": str(number)}))
    change_id = f"c{number}"
    data = encode_shard({"workspace/a": Record(number, change_id, body)})
    ref = ShardRef(compute_digest(data), salt=number, revision=number)
    bucket = compute_bucket("workspace/a")
    next_head = append_change(
        head, change_id=change_id, digest=b"", shards={bucket: ref}, now=number
    )
    return next_head.unwrap(), {ref: load_shard(ref, data)}


@pytest.fixture
def generations():
    built = []
    head = Head()
    for number in range(1, 6):
        head, new_shards = build_generation(head, number)
        built.append((head, new_shards))
    return built


def test_a_stale_watch_or_peer_reverts_nothing(generations):
    """Guards against reverting an active change on some instances.

    A watch or a peer answers late, with an earlier generation.
    """
    replica = Replica()
    assert replica.adopt(*generations[2])
    assert not replica.adopt(*generations[1])
    assert not replica.adopt(*generations[2])
    assert replica.generation == 3
    assert replica.snapshot.workspaces["a"].labels == {"v": "3"}


def test_a_generation_without_all_its_shards_is_not_activated(generations):
    """Guards against activating a change partially.

    The head has been read, but the store becomes unavailable before its shards are.
    """
    replica = Replica()
    replica.adopt(*generations[0])
    assert not replica.adopt(generations[1][0], {})
    assert replica.snapshot.workspaces["a"].labels == {"v": "1"}


def test_a_shard_with_another_digest_is_rejected(generations):
    """Guards against serving objects that are not part of the configuration.

    A peer sends other bytes than the requested shard.
    """
    [(_, other)] = [generations[0]]
    [ref] = generations[1][1]
    [loaded] = other.values()
    assert load_shard(ref, loaded.data) is None


def test_a_delta_leads_to_the_same_generation_as_the_head(generations):
    first, last = generations[0][0], generations[4][0]
    delta = encode_delta(last, 1)
    result = apply_delta(first, delta).unwrap()
    assert (result.generation, result.shards, result.changes) == (
        5,
        last.shards,
        last.changes,
    )
    assert apply_delta(generations[1][0], delta).is_err()
    assert encode_delta(last, 5) is None


def test_a_delta_with_another_digest_is_rejected(generations):
    """Guards against different configurations under the same generation.

    The receiver's earlier generation differs from the sender's.
    """
    first, last = generations[0][0], generations[4][0]
    frame = cbor2.loads(encode_delta(last, 1))
    frame["shards"] = {bucket + 1: row for bucket, row in frame["shards"].items()}
    assert apply_delta(first, cbor2.dumps(frame)).is_err()


def create_members(count):
    return [
        Member(
            instance_id=f"i-{number}",
            data_centre="north" if number % 2 else "south",
            address="",
            state=MemberState.ALIVE,
        )
        for number in range(count)
    ]


def test_watchers_and_recipients_do_not_grow_with_the_fleet():
    """Guards against load on store and instances that grows with the fleet."""
    for count in (4, 40, 400):
        members = create_members(count)
        assert len(choose_watchers(members, "north")) == 2
        recipients = choose_recipients(members, (), "i-0", "south", random.Random(1))
        assert len(recipients) <= 4
        assert "i-0" not in recipients
    assert choose_watchers(create_members(4), "nowhere") == ()


def test_a_relayed_generation_does_not_lower_a_reported_one():
    """Guards against showing an active change as inactive on some instance.

    A relayed older generation arrives after the instance's own newer report.
    """
    table = GenerationTable()
    table.record("a", "north", 5, 10.0)
    table.record_relayed("a", "north", 4, 10.2)
    assert table.find("a").generation == 5
    # a restarted process under the same id has no generation yet and reports that
    table.record("a", "north", 0, 11.0)
    assert table.find("a").generation == 0


@pytest.mark.parametrize(
    ("kind", "body"),
    [
        ("config-advert", {"generation": "7"}),
        ("config-advert", {"seen": [["a", "north", 1]]}),
        ("config-advert", {"seen": [["a", "north", "1", 0.0]]}),
        ("config-chunk", {"data": "text"}),
        ("config-fetch", {"offset": None}),
    ],
)
def test_a_message_with_invalid_field_types_is_rejected(kind, body):
    """Guards against one malformed message ending the task that receives generations.

    A peer sends a field of another type than this release expects.
    """
    frame = cbor2.dumps({"v": PROTOCOL_VERSION, "t": kind, "b": body})
    assert decode(frame).is_err()
