"""Tests of greengagelatch.relay.evacuations."""

from __future__ import annotations

import random

import pytest

from greengagelatch.relay.evacuations import Evacuation, EvacuationTable
from greengagelatch.relay.incarnations import Incarnation
from greengagelatch.relay.targets import ListedTarget, TargetTable


def create_target(target_id: str, data_centre: str) -> ListedTarget:
    return ListedTarget(
        incarnation=Incarnation(target_id, 1),
        service="desk",
        address="10.0.0.1:80",
        data_centre=data_centre,
        revision=1,
    )


def test_targets_of_an_evacuated_data_centre_accept_nothing():
    table = TargetTable()
    for target_id, data_centre in (("a", "north"), ("b", "south")):
        table.put(create_target(target_id, data_centre))
    table.set_evacuated(frozenset({"north"}))
    assert [one.target_id for one in table.list_service("desk")] == ["b"]
    assert not table.is_available(Incarnation("a", 1))
    assert table.is_available(Incarnation("b", 1))
    table.put(create_target("c", "north"))
    assert not table.is_available(Incarnation("c", 1))
    table.set_evacuated(frozenset())
    assert [one.target_id for one in table.list_service("desk")] == ["a", "b", "c"]


def test_evacuation_that_was_ended_and_ordered_again_is_active():
    table = EvacuationTable()
    assert table.put(Evacuation("north", 5))
    assert table.put(Evacuation("north", 6, active=False))
    assert table.put(Evacuation("north", 7))
    assert table.data_centres == {"north"}


def test_scan_ends_the_evacuations_that_it_lacks():
    table = EvacuationTable()
    table.put(Evacuation("north", 5))
    changed = table.replace([Evacuation("south", 8)], 9)
    assert {(one.data_centre, one.active) for one in changed} == {
        ("north", False),
        ("south", True),
    }
    assert table.revision == 9


def test_stale_scan_neither_ends_nor_restores_an_evacuation():
    """Guards against sending into a data centre after a read of a lagging replica."""
    table = EvacuationTable()
    table.put(Evacuation("north", 5))
    table.put(Evacuation("south", 6, active=False))
    assert table.replace([Evacuation("south", 2)], 4) == []
    assert table.data_centres == {"north"}


@pytest.mark.parametrize("seed", range(200))
def test_state_is_that_of_the_newest_news_in_any_order(seed):
    """Guards against watches, scans and peers that overtake each other."""
    rng = random.Random(seed)
    active: dict[str, int] = {}
    news = []
    for revision in range(1, 30):
        data_centre = rng.choice(("north", "south", "east"))
        if data_centre in active:
            del active[data_centre]
        else:
            active[data_centre] = revision
        news.append((Evacuation(data_centre, revision, data_centre in active), None))
        rows = [Evacuation(name, at) for name, at in active.items()]
        news.append((rows, revision))
    # the last scan arrives at some time, any other news may be lost
    kept = [one for one in news[:-1] if rng.random() < 0.7] + [news[-1]]
    rng.shuffle(kept)
    table = EvacuationTable()
    for what, revision in kept:
        if revision is None:
            table.put(what)
        else:
            table.replace(what, revision)
    assert table.data_centres == set(active)
