"""Tests of greengagelatch.relay.groups."""

from __future__ import annotations

import random
from collections import Counter

import pytest

from greengagelatch.relay.deployment import MakerProfile
from greengagelatch.relay.groups import (
    CapacityBasedOwnership,
    GroupView,
    MakerGroup,
    ServiceView,
    choose_group,
    estimate_load,
    find_owning_data_centre,
)
from greengagelatch.relay.pieces import Bundle, Piece
from greengagelatch.relay.queue_waits import QueueWait

SERVICE = "ledger"
DATA_CENTRES = ("east", "north", "west")
PROFILE = MakerProfile(
    slots=1,
    queue=2,
    batch=20,
    call_seconds=0.2,
    item_seconds=0.01,
    result_memory_bytes=8_000_000,
    retention_seconds=4.0,
)
NOW = 100.0


def view(load: float, capacity: int, *makers: int) -> ServiceView:
    counts = dict(zip(DATA_CENTRES, makers, strict=False))
    return ServiceView(makers=counts, load=load, capacity=capacity)


def create_bundle(moved_bytes: int = 0, aim: float = NOW + 5) -> Bundle:
    return Bundle(
        bundle_id="r-1/1",
        service=SERVICE,
        pieces=(Piece(request_id="r-1", stage=1, segment=0),),
        result_bytes=6000,
        soft_deadline=aim,
        hard_deadline=aim + 5,
        data_centre="north",
        moved_bytes=moved_bytes,
    )


def create_views(**waits: float) -> list[GroupView]:
    return [
        GroupView(
            MakerGroup(SERVICE, data_centre),
            QueueWait(waits.get(data_centre, 0.0), waits.get(data_centre, 0.0)),
        )
        for data_centre in DATA_CENTRES
    ]


def choose(bundle: Bundle, views: list[GroupView], times: int = 200) -> Counter[str]:
    source = random.Random(1)
    chosen = (
        choose_group(bundle, views, PROFILE, NOW, source).data_centre
        for _ in range(times)
    )
    return Counter(chosen)


def test_makers_are_divided_where_nobody_could_gather_for_all():
    rule = CapacityBasedOwnership()
    assert rule.is_partitioned(view(400, 200, 3, 3, 3), before=False)
    assert not rule.is_partitioned(view(400, 800, 3, 3, 3), before=False)


@pytest.mark.parametrize("makers", [(1, 1, 1), (3,)])
def test_few_makers_keep_one_owner(makers):
    assert not CapacityBasedOwnership().is_partitioned(
        view(400, 200, *makers), before=False
    )


def test_capacity_that_nobody_tells_divides_nothing():
    assert not CapacityBasedOwnership().is_partitioned(
        view(400, 0, 3, 3, 3), before=False
    )


def test_maker_that_comes_and_goes_changes_no_division():
    """Guards against owners that change with each maker that is lost for a moment."""
    rule = CapacityBasedOwnership()
    assert rule.is_partitioned(view(400, 200, 2, 1, 1), before=True)
    assert not rule.is_partitioned(view(400, 200, 2, 1, 1), before=False)


def test_load_grows_with_the_makers():
    assert estimate_load(PROFILE, 8) == pytest.approx(2 * estimate_load(PROFILE, 4))


def test_makers_of_a_place_without_instances_have_an_owner_elsewhere():
    """Guards against makers that nobody calls."""
    assert find_owning_data_centre("north", DATA_CENTRES) == "north"
    homes = {
        find_owning_data_centre(f"place-{number}", DATA_CENTRES) for number in range(50)
    }
    assert homes == set(DATA_CENTRES)


def test_bundle_goes_to_the_near_makers_unless_they_are_behind():
    assert choose(create_bundle(), create_views()) == {"north": 200}
    assert choose(create_bundle(), create_views(north=2.0, west=2.0)) == {"east": 200}


def test_small_difference_of_queues_moves_few_bundles():
    """Guards against a queue that all instances leave for the same other one."""
    chosen = choose(create_bundle(), create_views(north=0.15, west=0.15))
    assert 0 < chosen["east"] < chosen["north"]


def test_inputs_cross_data_centres_only_where_the_near_makers_are_too_late():
    large = create_bundle(moved_bytes=4_000_000, aim=NOW + 2.0)
    assert choose(large, create_views(north=1.0)) == {"north": 200}
    chosen = choose(large, create_views(north=1.9))
    assert chosen["north"] == 0
