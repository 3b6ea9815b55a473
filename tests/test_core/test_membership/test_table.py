"""Tests of greengagelatch.membership.table."""

from __future__ import annotations

import dataclasses

from greengagelatch.instances import Instance, InstanceKind, Listing
from greengagelatch.membership.records import Update
from greengagelatch.membership.table import MemberTable
from greengagelatch.peers import MemberState

SOON, LATER = 1.0, 100.0


def create_listing(as_of, *instance_ids):
    rows = [
        Instance(
            instance_id=instance_id,
            kind=InstanceKind.ENTRY,
            data_centre="dc-a",
            address="127.0.0.1:1",
        )
        for instance_id in instance_ids
    ]
    return Listing(as_of, tuple(rows))


def create_table(*, listed):
    table = MemberTable()
    alive = Update(
        instance_id="e2",
        incarnation=1,
        state=MemberState.ALIVE,
        data_centre="dc-a",
        address="127.0.0.1:1",
    )
    table.merge(alive, 0.0)
    if listed:
        table.apply_listing(create_listing(1, "e2", "e3"), "e1", 0.0)
    table.merge(dataclasses.replace(alive, state=MemberState.DEAD), SOON)
    return table


def test_killed_instance_is_gone_once_the_list_drops_it():
    """Symptom: ``change wait`` times out for ten minutes after each crash.

    Sequence: an instance is killed, the platform replaces it and drops it from the
    list, an operator applies a change and waits until it is in force everywhere.
    Cause: the killed instance was still counted as a member out of reach.
    """
    table = create_table(listed=True)
    table.apply_listing(create_listing(2, "e3"), "e1", SOON)
    assert table.find("e2").is_gone(LATER)


def test_dead_instance_that_is_still_listed_is_not_gone():
    """Symptom: a change is called in force everywhere, yet half the fleet lacks it.

    Sequence: a data centre is cut off; the list shows its instances all the while.
    Cause: instances out of reach were taken for gone.
    """
    assert not create_table(listed=True).find("e2").is_gone(LATER)


def test_dead_instance_that_was_never_listed_is_not_gone():
    """Symptom: as before, while the platform's list is out of order.

    Sequence: no listing was ever received, and a data centre is cut off.
    Cause: an instance missing from no list was taken for dropped from it.
    """
    assert not create_table(listed=False).find("e2").is_gone(LATER)


def test_instance_that_comes_back_is_not_gone():
    table = create_table(listed=True)
    table.apply_listing(create_listing(2, "e3"), "e1", SOON)
    back = Update(instance_id="e2", incarnation=2, state=MemberState.ALIVE)
    table.merge(back, LATER)
    assert not table.find("e2").is_gone(2 * LATER)
