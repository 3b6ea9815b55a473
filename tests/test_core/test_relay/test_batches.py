"""Tests of greengagelatch.relay.batches."""

from __future__ import annotations

from greengagelatch.relay.batches import (
    CrossRequestBatching,
    MakerView,
    PerRequestBatching,
    find_infeasible,
)
from greengagelatch.relay.bundle_orders import (
    DEADLINE_MARGIN_SECONDS,
    EXPIRY_MARGIN_SECONDS,
)
from greengagelatch.relay.deployment import MakerProfile
from greengagelatch.relay.incarnations import Incarnation
from greengagelatch.relay.pieces import Bundle, Piece

PROFILE = MakerProfile(
    slots=1,
    queue=2,
    batch=17,
    call_seconds=0.2,
    item_seconds=0.01,
    result_memory_bytes=2_295_000,
    retention_seconds=4.0,
)
NOW = 100.0


def create_bundle(
    name: str,
    count: int,
    *,
    aim: float = NOW + 5.0,
    latest: float = NOW + 20.0,
    size: int = 1000,
    moved_bytes: int = 0,
    data_centre: str = "north",
    rank: float = 0.0,
    inputs_until: float = float("inf"),
    begun: bool = True,
) -> tuple[Bundle, list[Piece]]:
    pieces = tuple(
        Piece(request_id=name, stage=0, segment=number, key="k")
        for number in range(count)
    )
    bundle = Bundle(
        bundle_id=name,
        service="s",
        pieces=pieces,
        result_bytes=size,
        soft_deadline=aim,
        hard_deadline=latest,
        moved_bytes=moved_bytes,
        data_centre=data_centre,
        rank=rank,
        inputs_expire_at=inputs_until,
        begun=begun,
    )
    return bundle, list(pieces)


def create_maker(
    name: str = "m-1",
    *,
    free_at: float = 0.0,
    free_bytes: float = 2_000_000,
    data_centre: str = "north",
    slowness: float = 1.0,
) -> MakerView:
    return MakerView(
        incarnation=Incarnation(name),
        data_centre=data_centre,
        free_at=free_at,
        free_bytes=free_bytes,
        slowness=slowness,
    )


def plan(bundles, makers, policy=None):
    calls = (policy or CrossRequestBatching()).plan(bundles, makers, PROFILE, NOW)
    return {
        call.incarnation.target_id: [bundle.bundle_id for bundle, _ in call.pieces]
        for call in calls
    }


def test_requests_share_a_call_if_makers_are_scarce():
    calls = plan([create_bundle("a", 6), create_bundle("b", 6)], [create_maker()])
    assert calls == {"m-1": ["a"] * 6 + ["b"] * 6}


def test_baseline_makes_a_call_for_each_request():
    """Three requests and two makers: the baseline leaves one request waiting."""
    bundles = [create_bundle(name, 6) for name in "abc"]
    makers = [create_maker("m-1"), create_maker("m-2")]
    assert plan(bundles, makers, PerRequestBatching()) == {
        "m-1": ["a"] * 6,
        "m-2": ["b"] * 6,
    }
    bundles = [create_bundle(name, 6) for name in "abc"]
    served = plan(bundles, makers)
    ready = [name for names in served.values() for name in names]
    assert sorted(ready) == ["a"] * 6 + ["b"] * 6 + ["c"] * 6


def test_each_bundle_has_its_own_call_if_makers_are_idle():
    makers = [create_maker("m-1"), create_maker("m-2")]
    calls = plan([create_bundle("a", 6), create_bundle("b", 6)], makers)
    assert sorted(calls.values()) == [["a"] * 6, ["b"] * 6]


def test_bundle_is_not_split_if_memory_is_short():
    """Guards against makers full of results of incomplete requests.

    Calls were filled with parts of bundles; their results stayed in the maker's memory
    while the remaining pieces waited for memory.
    """
    size = 60_000
    bundles = [create_bundle("a", 6, size=size), create_bundle("b", 6, size=size)]
    calls = plan(bundles, [create_maker(free_bytes=size * 8)])
    assert calls == {"m-1": ["a"] * 6}


def test_bundle_larger_than_a_call_is_split():
    calls = plan([create_bundle("a", 30)], [create_maker()])
    assert calls == {"m-1": ["a"] * 17}


def test_result_memory_is_never_exceeded():
    size = 60_000
    bundle = create_bundle("a", 30, size=size)
    calls = plan([bundle], [create_maker(free_bytes=size * 5 + 1)])
    assert len(calls.get("m-1", [])) <= 5


def test_bundles_that_meet_the_soft_deadline_precede_late_ones():
    """Guards against an overload in which every answer misses its objective.

    The queue was served in order of arrival, so that each request reached the makers
    just after its objective, though half of them could have met it.
    """
    late = create_bundle("late", 10, aim=NOW + 0.1)
    on_time = create_bundle("fresh", 10, aim=NOW + 0.6)
    calls = plan([late, on_time], [create_maker()])
    assert calls["m-1"][:10] == ["fresh"] * 10


def test_late_bundle_goes_first_before_its_hard_deadline():
    """Guards against starvation of late requests.

    An admitted retry was overtaken by all requests that could meet their objective,
    and was never answered.
    """
    latest = NOW + DEADLINE_MARGIN_SECONDS - 0.01
    late = create_bundle("late", 10, aim=NOW - 1.0, latest=latest)
    on_time = create_bundle("fresh", 10, aim=NOW + 0.6)
    calls = plan([on_time, late], [create_maker()])
    assert calls["m-1"][:10] == ["late"] * 10


def test_late_bundle_goes_first_before_its_inputs_expire():
    """Guards against stages that are run again without any failure.

    A request became late between two stages and waited behind those on time, until
    after four seconds the maker evicted its inputs; only its hard deadline counted.
    """
    late = create_bundle(
        "late",
        10,
        aim=NOW - 1.0,
        latest=NOW + 9.0,
        inputs_until=NOW + EXPIRY_MARGIN_SECONDS - 0.01,
    )
    on_time = create_bundle("fresh", 10, aim=NOW + 0.6)
    calls = plan([on_time, late], [create_maker()])
    assert calls["m-1"][:10] == ["late"] * 10


def test_slow_maker_is_avoided():
    """Guards against requests that are late by seconds because of one slow maker.

    A maker that was five times slower was idle while the others were busy, got the next
    call and took two seconds, though another maker would have finished sooner.
    """
    makers = [create_maker("slow", slowness=5.0), create_maker("m", free_at=NOW + 0.1)]
    assert plan([create_bundle("a", 6)], makers) == {}


def test_only_maker_is_used_even_if_slow():
    calls = plan([create_bundle("a", 6)], [create_maker("slow", slowness=5.0)])
    assert calls == {"slow": ["a"] * 6}


def test_bundle_with_large_inputs_waits_for_a_local_maker():
    makers_by_data_centre = create_maker("near", free_at=NOW + 0.2)
    far = create_maker("far", data_centre="south")
    bundle = create_bundle("a", 6, moved_bytes=2_000_000)
    assert plan([bundle], [makers_by_data_centre, far]) == {}


def test_bundle_with_large_inputs_does_not_wait_past_its_soft_deadline():
    makers_by_data_centre = create_maker("near", free_at=NOW + 0.2)
    far = create_maker("far", data_centre="south")
    bundle = create_bundle("a", 6, moved_bytes=2_000_000, aim=NOW + 0.3)
    assert plan([bundle], [makers_by_data_centre, far]) == {"far": ["a"] * 6}


def test_first_stage_waits_for_a_local_maker_within_half_of_its_slack():
    near = create_maker("near", free_at=NOW + 0.2)
    far = create_maker("far", data_centre="south")
    bundle = create_bundle("a", 6, moved_bytes=9_000_000, aim=NOW + 1.0, begun=False)
    assert plan([bundle], [near, far]) == {}


def test_first_stage_keeps_half_of_its_slack_for_later_stages():
    """With less time it came too late once the engine was slower than expected."""
    near = create_maker("near", free_at=NOW + 0.2)
    far = create_maker("far", data_centre="south")
    bundle = create_bundle("a", 6, moved_bytes=9_000_000, aim=NOW + 0.8, begun=False)
    assert plan([bundle], [near, far]) == {"far": ["a"] * 6}


def test_idle_local_maker_is_preferred_to_a_slightly_faster_one():
    """Guards against large results made elsewhere for a tenth of a call's time."""
    near = create_maker("near", slowness=1.2)
    far = create_maker("far", data_centre="south")
    large = create_bundle("a", 6, moved_bytes=9_000_000)
    small = create_bundle("b", 6)
    assert plan([large], [near, far]) == {"near": ["a"] * 6}
    assert plan([small], [near, far]) == {"far": ["b"] * 6}


def test_slow_local_maker_is_not_preferred():
    near = create_maker("near", slowness=1.9)
    far = create_maker("far", data_centre="south")
    bundle = create_bundle("a", 6, moved_bytes=9_000_000)
    assert plan([bundle], [near, far]) == {"far": ["a"] * 6}


def test_local_bundle_goes_first_at_a_maker():
    large = 2_000_000
    far = create_bundle(
        "far", 16, data_centre="south", aim=NOW + 5.0, moved_bytes=large
    )
    makers_by_data_centre = create_bundle("near", 16, aim=NOW + 5.1, moved_bytes=large)
    calls = plan([far, makers_by_data_centre], [create_maker()])
    assert calls["m-1"][0] == "near"


def find_names(bundles, makers) -> list[str]:
    return [one.bundle_id for one in find_infeasible(bundles, makers, PROFILE, NOW)]


def test_bundles_too_far_back_in_the_queue_are_infeasible():
    """Guards against refusals that come too late for a retry.

    In a burst of twice the makers' capacity, requests at the end of the queue waited
    there for three seconds until their deadline, as the queue ahead did not count.
    """
    bundles = [
        create_bundle(f"r-{number:03}", 17, aim=NOW + number / 100, latest=NOW + 2.0)
        for number in range(12)
    ]
    infeasible = find_names(bundles, [create_maker()])
    assert infeasible == [f"r-{number:03}" for number in range(4, 12)]
    assert find_names(bundles, [create_maker(f"m-{n}") for n in range(4)]) == []


def test_late_bundles_become_infeasible_before_urgent_ones():
    late = create_bundle("late", 17, aim=NOW, latest=NOW + 0.9)
    urgent = [create_bundle(name, 17, latest=NOW + 2.0) for name in "abc"]
    assert find_names([late, *urgent], [create_maker()]) == ["late"]


def test_short_queue_has_no_infeasible_bundle():
    assert find_names([create_bundle("a", 6)], [create_maker(free_at=NOW + 0.2)]) == []
