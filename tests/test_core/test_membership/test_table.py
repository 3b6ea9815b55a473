"""Tests of greengagelatch.membership.table."""

from __future__ import annotations

import dataclasses

from greengagelatch.instances import Instance, InstanceKind, Listing
from greengagelatch.membership.records import MemberUpdate
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
    alive = MemberUpdate(
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
    """
    Guards against ``change wait`` timing out for ten minutes after each crash. The
    platform has replaced the killed instance and dropped it from the list, so it must
    not count as an unreachable member on which the change is not yet in force.
    """
    table = create_table(listed=True)
    table.apply_listing(create_listing(2, "e3"), "e1", SOON)
    assert table.find("e2").is_gone(LATER)


def test_dead_instance_that_is_still_listed_is_not_gone():
    """
    Guards against reporting a change as in force everywhere while a partitioned data
    centre lacks it. Its instances are unreachable but still listed, so they are not
    gone.
    """
    assert not create_table(listed=True).find("e2").is_gone(LATER)


def test_dead_instance_that_was_never_listed_is_not_gone():
    """
    Guards against the same fault while the platform's list is unavailable: without any
    listing, an unreachable instance cannot have been dropped from the list.
    """
    assert not create_table(listed=False).find("e2").is_gone(LATER)


def test_instance_that_comes_back_is_not_gone():
    table = create_table(listed=True)
    table.apply_listing(create_listing(2, "e3"), "e1", SOON)
    back = MemberUpdate(instance_id="e2", incarnation=2, state=MemberState.ALIVE)
    table.merge(back, LATER)
    assert not table.find("e2").is_gone(2 * LATER)
