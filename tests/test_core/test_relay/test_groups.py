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


def create_bundle(
    moved_bytes: int = 0, aim: float = NOW + 5, *, begun: bool = True
) -> Bundle:
    return Bundle(
        bundle_id="r-1/1",
        service=SERVICE,
        pieces=(Piece(request_id="r-1", stage=1, segment=0),),
        result_bytes=6000,
        soft_deadline=aim,
        hard_deadline=aim + 5,
        data_centre="north",
        moved_bytes=moved_bytes,
        begun=begun,
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


def test_ownership_is_partitioned_if_no_instance_has_the_capacity():
    rule = CapacityBasedOwnership()
    assert rule.is_partitioned(view(400, 200, 3, 3, 3), before=False)
    assert not rule.is_partitioned(view(400, 800, 3, 3, 3), before=False)


@pytest.mark.parametrize("makers", [(1, 1, 1), (3,)])
def test_few_makers_keep_one_owner(makers):
    assert not CapacityBasedOwnership().is_partitioned(
        view(400, 200, *makers), before=False
    )


def test_unknown_capacity_keeps_one_owner():
    assert not CapacityBasedOwnership().is_partitioned(
        view(400, 0, 3, 3, 3), before=False
    )


def test_partitioning_has_hysteresis():
    """Guards against owners that change with each maker that is lost for a moment."""
    rule = CapacityBasedOwnership()
    assert rule.is_partitioned(view(400, 200, 2, 1, 1), before=True)
    assert not rule.is_partitioned(view(400, 200, 2, 1, 1), before=False)


def test_load_is_proportional_to_the_makers():
    assert estimate_load(PROFILE, 8) == pytest.approx(2 * estimate_load(PROFILE, 4))


def test_makers_in_a_data_centre_without_instances_have_a_remote_owner():
    """Guards against makers that no instance calls."""
    assert find_owning_data_centre("north", DATA_CENTRES) == "north"
    homes = {
        find_owning_data_centre(f"place-{number}", DATA_CENTRES) for number in range(50)
    }
    assert homes == set(DATA_CENTRES)


def test_bundle_goes_to_local_makers_unless_their_queue_is_long():
    assert choose(create_bundle(), create_views()) == {"north": 200}
    assert choose(create_bundle(), create_views(north=2.0, west=2.0)) == {"east": 200}


def test_small_difference_of_queues_moves_few_bundles():
    """Guards against oscillation: all instances moving to the same shorter queue."""
    chosen = choose(create_bundle(), create_views(north=0.15, west=0.15))
    assert 0 < chosen["east"] < chosen["north"]


def test_inputs_cross_data_centres_only_if_local_makers_are_too_late():
    large = create_bundle(moved_bytes=4_000_000, aim=NOW + 2.0)
    assert choose(large, create_views(north=1.0)) == {"north": 200}
    chosen = choose(large, create_views(north=1.9))
    assert chosen["north"] == 0


def test_large_results_stay_local_within_half_of_the_slack():
    """A first stage leaves the other half to later stages and the engine."""
    large = create_bundle(moved_bytes=4_000_000, aim=NOW + 2.0, begun=False)
    assert choose(large, create_views(north=0.6)) == {"north": 200}
    chosen = choose(large, create_views(north=1.0))
    assert chosen["north"] == 0
