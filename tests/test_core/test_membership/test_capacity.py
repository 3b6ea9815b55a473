"""Tests of the capacity in updates and listings."""

from __future__ import annotations

from greengagelatch.instances import Instance, InstanceKind, Listing
from greengagelatch.membership.records import MemberUpdate, decode_update, encode_update
from greengagelatch.membership.table import MemberTable
from greengagelatch.peers import MemberState


def create_update(**fields) -> MemberUpdate:
    defaults = {
        "instance_id": "e1",
        "incarnation": 3,
        "state": MemberState.ALIVE,
        "data_centre": "north",
        "address": "10.0.0.1:7",
    }
    return MemberUpdate(**{**defaults, **fields})


def test_update_keeps_its_capacity_on_the_wire():
    update = create_update(capacity=206)
    assert decode_update(encode_update(update)) == update


def test_update_of_an_earlier_release_has_no_capacity():
    row = encode_update(create_update())
    assert len(row) == 5
    assert decode_update(row).capacity == 0
    assert decode_update((*row, -1)) is None
    assert decode_update((*row, "many")) is None


def test_known_capacity_is_kept_if_a_later_update_lacks_it():
    table = MemberTable()
    table.merge(create_update(capacity=206), 0.0)
    table.merge(create_update(incarnation=4), 1.0)
    assert table.find("e1").capacity == 206


def test_listing_sets_the_capacity_of_unconfirmed_instances():
    table = MemberTable()
    row = Instance(
        instance_id="e2",
        kind=InstanceKind.ENTRY,
        data_centre="north",
        address="10.0.0.2:7",
        capacity=860,
    )
    table.apply_listing(Listing(1, (row,)), "e1", 0.0)
    assert table.find("e2").capacity == 860
