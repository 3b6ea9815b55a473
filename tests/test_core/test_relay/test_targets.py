"""Tests of greengagelatch.relay.targets."""

from __future__ import annotations

from dataclasses import replace

from greengagelatch.relay.incarnations import Incarnation
from greengagelatch.relay.targets import ListedTarget, TargetTable


def create(target_id: str, revision: int, *, leaving: bool = False) -> ListedTarget:
    return ListedTarget(
        incarnation=Incarnation(target_id),
        service="desk",
        address="10.0.0.1:80",
        data_centre="north",
        leaving=leaving,
        revision=revision,
    )


def test_targets_are_listed_by_service():
    table = TargetTable()
    assert table.put(create("t-2", 1))
    assert table.put(create("t-1", 2))
    assert [one.target_id for one in table.list_service("desk")] == ["t-1", "t-2"]
    assert table.list_service("other") == ()


def test_draining_target_gets_no_requests():
    table = TargetTable()
    table.put(create("t-1", 1))
    assert table.put(create("t-1", 2, leaving=True))
    assert not table.is_available(Incarnation("t-1"))
    assert table.list_service("desk") == ()


def test_stale_entry_does_not_restore_a_draining_target():
    """Guards against requests interrupted by the planned end of their target.

    After a target had started to drain, a stale entry with any revision was read from a
    lagging store or peer; the entry read last won.
    """
    table = TargetTable()
    table.put(create("t-1", 5))
    table.put(create("t-1", 7, leaving=True))
    assert not table.put(create("t-1", 6))
    assert not table.put(create("t-1", 8))
    table.remove(Incarnation("t-1"), 9)
    assert not table.put(create("t-1", 10))
    assert not table.is_available(Incarnation("t-1"))


def test_expired_entry_may_be_restored():
    """Guards against a service without targets after an outage of the store.

    Entries expired while targets could not renew them and were written again later; a
    target whose entry had expired was taken to have left for good.
    """
    table = TargetTable()
    table.put(create("t-1", 5))
    assert table.remove(Incarnation("t-1"), 6)
    assert not table.is_available(Incarnation("t-1"))
    assert table.put(create("t-1", 7))
    assert table.is_available(Incarnation("t-1"))


def test_stale_removal_is_ignored():
    table = TargetTable()
    table.put(create("t-1", 5))
    assert not table.remove(Incarnation("t-1"), 4)
    assert table.is_available(Incarnation("t-1"))


def test_entry_does_not_restore_a_target_that_has_said_it_leaves():
    """Guards against an entry that is older than the word of its target."""
    table = TargetTable()
    table.put(create("t-1", 5))
    assert table.mark_leaving(Incarnation("t-1"))
    assert not table.mark_leaving(Incarnation("t-1"))
    assert not table.is_available(Incarnation("t-1"))
    assert not table.put(create("t-1", 8))
    table.remove(Incarnation("t-1"), 9)
    assert not table.put(create("t-1", 10))
    assert table.list_service("desk") == ()


def test_leaving_that_is_known_before_the_entry_counts():
    """Guards against the word of a peer that is lost for want of an entry."""
    table = TargetTable()
    assert table.mark_leaving(Incarnation("t-1", 7))
    assert not table.put(replace(create("t-1", 5), incarnation=Incarnation("t-1", 7)))
    assert table.list_service("desk") == ()


def test_target_that_starts_again_is_used_after_the_former_one_has_left():
    table = TargetTable()
    table.put(replace(create("t-1", 5), incarnation=Incarnation("t-1", 7)))
    table.mark_leaving(Incarnation("t-1", 7))
    assert table.put(replace(create("t-1", 6), incarnation=Incarnation("t-1", 8)))
    assert table.is_available(Incarnation("t-1", 8))
