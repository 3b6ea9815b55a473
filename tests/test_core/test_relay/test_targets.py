"""Tests of greengagelatch.relay.targets."""

from __future__ import annotations

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


def test_listed_targets_are_given_by_service():
    table = TargetTable()
    assert table.put(create("t-2", 1))
    assert table.put(create("t-1", 2))
    assert [one.target_id for one in table.list_service("desk")] == ["t-1", "t-2"]
    assert table.list_service("other") == ()


def test_leaving_target_gets_nothing():
    table = TargetTable()
    table.put(create("t-1", 1))
    assert table.put(create("t-1", 2, leaving=True))
    assert not table.is_available(Incarnation("t-1"))
    assert table.list_service("desk") == ()


def test_older_entry_does_not_bring_a_leaving_target_back():
    """Symptom: requests are cut by a target that ended as planned.

    Sequence: a target says that it leaves; then an older entry of it is read, from a
    store that lags or from a peer that is behind, with any revision it may claim.
    Cause: the entry read last was believed.
    """
    table = TargetTable()
    table.put(create("t-1", 5))
    table.put(create("t-1", 7, leaving=True))
    assert not table.put(create("t-1", 6))
    assert not table.put(create("t-1", 8))
    table.remove(Incarnation("t-1"), 9)
    assert not table.put(create("t-1", 10))
    assert not table.is_available(Incarnation("t-1"))


def test_lapsed_entry_may_come_back():
    """Symptom: a service has no target for good after an outage of the store.

    Sequence: entries lapse while targets can't renew them, and are written again.
    Cause: a target whose entry had lapsed was taken to have left.
    """
    table = TargetTable()
    table.put(create("t-1", 5))
    assert table.remove(Incarnation("t-1"), 6, lapsed=True)
    assert not table.is_available(Incarnation("t-1"))
    assert table.put(create("t-1", 7))
    assert table.is_available(Incarnation("t-1"))


def test_removal_that_is_older_than_the_entry_is_ignored():
    table = TargetTable()
    table.put(create("t-1", 5))
    assert not table.remove(Incarnation("t-1"), 4)
    assert table.is_available(Incarnation("t-1"))
