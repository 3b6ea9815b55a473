"""What an instance holds of the configuration, whoever it hears from and when."""

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


def build(head, number):
    """Return the next head, which changes one workspace, with its new shard."""
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
        head, new_shards = build(head, number)
        built.append((head, new_shards))
    return built


def test_a_stale_watch_or_peer_reverts_nothing(generations):
    """A change that was in force is gone on some instances.

    A watch or a peer answers late, with the generation before.
    """
    replica = Replica()
    assert replica.adopt(*generations[2])
    assert not replica.adopt(*generations[1])
    assert not replica.adopt(*generations[2])
    assert replica.generation == 3
    assert replica.snapshot.workspaces["a"].labels == {"v": "3"}


def test_a_generation_without_all_its_shards_is_not_in_force(generations):
    """Some objects of a change are in force and others are not.

    The head was read, and the store goes away before its shards are.
    """
    replica = Replica()
    replica.adopt(*generations[0])
    assert not replica.adopt(generations[1][0], {})
    assert replica.snapshot.workspaces["a"].labels == {"v": "1"}


def test_a_shard_that_is_not_what_the_head_names_is_not_read(generations):
    """An instance serves objects that no operator has made.

    A peer sends other bytes than those asked for.
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


def test_a_delta_that_leads_elsewhere_is_refused(generations):
    """Two instances hold different configurations under one generation.

    What one of them has of the generation before is not what the sender had.
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


def test_few_watch_and_few_are_told_however_large_the_fleet():
    """The store is asked, and each instance told, more the larger the fleet is."""
    for count in (4, 40, 400):
        members = create_members(count)
        assert len(choose_watchers(members, "north")) == 2
        recipients = choose_recipients(members, (), "i-0", "south", random.Random(1))
        assert len(recipients) <= 4
        assert "i-0" not in recipients
    assert choose_watchers(create_members(4), "nowhere") == ()


def test_hearsay_does_not_lower_what_an_instance_said():
    """A change that is in force is shown as not in force somewhere.

    What another instance heard earlier arrives later than the instance's own word.
    """
    table = GenerationTable()
    table.record("a", "north", 5, 10.0)
    table.record_relayed("a", "north", 4, 10.2)
    assert table.find("a").generation == 5
    # a new process of the same name has nothing yet, and says so itself
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
def test_a_message_of_other_types_is_a_bad_frame(kind, body):
    """One odd message ends the task that all learning depends on.

    A peer sends a field of another type than this release expects.
    """
    frame = cbor2.dumps({"v": PROTOCOL_VERSION, "t": kind, "b": body})
    assert decode(frame).is_err()
