"""Tests of greengagelatch.relay.batches."""

from __future__ import annotations

from greengagelatch.relay.batches import (
    DEADLINE_MARGIN_SECONDS,
    EXPIRY_MARGIN_SECONDS,
    CrossRequestBatching,
    MakerView,
    PerRequestBatching,
    find_infeasible,
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


def test_requests_share_a_call_where_makers_are_few():
    calls = plan([create_bundle("a", 6), create_bundle("b", 6)], [create_maker()])
    assert calls == {"m-1": ["a"] * 6 + ["b"] * 6}


def test_baseline_makes_a_call_for_each_request():
    """The load that sharing answers: three requests, two makers, one call each."""
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


def test_each_bundle_has_its_own_call_where_makers_are_idle():
    makers = [create_maker("m-1"), create_maker("m-2")]
    calls = plan([create_bundle("a", 6), create_bundle("b", 6)], makers)
    assert sorted(calls.values()) == [["a"] * 6, ["b"] * 6]


def test_bundle_is_not_split_where_room_is_short():
    """Symptom: makers are full of results, and hardly any request is whole.

    Sequence: a call takes some pieces of a bundle; their results wait at the maker
    for the others, which wait for room.
    Cause: calls were filled up to the last piece.
    """
    size = 60_000
    bundles = [create_bundle("a", 6, size=size), create_bundle("b", 6, size=size)]
    calls = plan(bundles, [create_maker(free_bytes=size * 8)])
    assert calls == {"m-1": ["a"] * 6}


def test_bundle_larger_than_a_call_is_split():
    calls = plan([create_bundle("a", 30)], [create_maker()])
    assert calls == {"m-1": ["a"] * 17}


def test_room_is_never_overrun():
    size = 60_000
    bundle = create_bundle("a", 30, size=size)
    calls = plan([bundle], [create_maker(free_bytes=size * 5 + 1)])
    assert len(calls.get("m-1", [])) <= 5


def test_what_can_be_on_time_goes_before_what_can_not():
    """Symptom: in a burst every answer is late, though half could be on time.

    Sequence: more requests come than makers can do; the queue is served in order,
    so that each request reaches the makers just after its objective.
    Cause: the oldest went first, although nothing was to be won by it any more.
    """
    late = create_bundle("late", 10, aim=NOW + 0.1)
    on_time = create_bundle("fresh", 10, aim=NOW + 0.6)
    calls = plan([late, on_time], [create_maker()])
    assert calls["m-1"][:10] == ["fresh"] * 10


def test_late_request_has_its_last_chance():
    """Symptom: a caller that came back is begun and then never answered.

    Sequence: newcomers that can be on time go first, one after the other.
    Cause: what is late waited without a bound.
    """
    latest = NOW + DEADLINE_MARGIN_SECONDS - 0.01
    late = create_bundle("late", 10, aim=NOW - 1.0, latest=latest)
    on_time = create_bundle("fresh", 10, aim=NOW + 0.6)
    calls = plan([on_time, late], [create_maker()])
    assert calls["m-1"][:10] == ["late"] * 10


def test_late_request_goes_on_before_what_it_reads_lapses():
    """Symptom: stages are made a second time for requests that nothing happened to.

    Sequence: a request becomes late between two stages and waits behind all that can
    be on time; after four seconds the maker drops the results that it was to read.
    Cause: only the request's own last moment was looked at.
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


def test_maker_that_has_become_slow_is_left_alone():
    """Symptom: requests are late by seconds while other makers idle a moment later.

    Sequence: a maker works five times as long; it is free when the others are busy,
    gets the next call, and holds it for two seconds.
    Cause: being idle was all that was asked of a maker.
    """
    makers = [create_maker("slow", slowness=5.0), create_maker("m", free_at=NOW + 0.1)]
    assert plan([create_bundle("a", 6)], makers) == {}


def test_only_maker_is_used_however_slow():
    calls = plan([create_bundle("a", 6)], [create_maker("slow", slowness=5.0)])
    assert calls == {"slow": ["a"] * 6}


def test_bundle_that_reads_much_waits_for_a_near_maker():
    makers_by_data_centre = create_maker("near", free_at=NOW + 0.2)
    far = create_maker("far", data_centre="south")
    bundle = create_bundle("a", 6, moved_bytes=2_000_000)
    assert plan([bundle], [makers_by_data_centre, far]) == {}


def test_bundle_that_reads_much_does_not_wait_beyond_its_aim():
    makers_by_data_centre = create_maker("near", free_at=NOW + 0.2)
    far = create_maker("far", data_centre="south")
    bundle = create_bundle("a", 6, moved_bytes=2_000_000, aim=NOW + 0.3)
    assert plan([bundle], [makers_by_data_centre, far]) == {"far": ["a"] * 6}


def test_near_bundle_goes_first_at_a_maker():
    large = 2_000_000
    far = create_bundle(
        "far", 16, data_centre="south", aim=NOW + 5.0, moved_bytes=large
    )
    makers_by_data_centre = create_bundle("near", 16, aim=NOW + 5.1, moved_bytes=large)
    calls = plan([far, makers_by_data_centre], [create_maker()])
    assert calls["m-1"][0] == "near"


def find_names(bundles, makers) -> list[str]:
    return [one.bundle_id for one in find_infeasible(bundles, makers, PROFILE, NOW)]


def test_bundles_behind_too_much_are_given_up_at_once():
    """Symptom: callers hear "too late" after three seconds, and can't come back.

    Sequence: a burst of twice what the makers can do; those at the end of the queue
    wait there until their last moment is over.
    Cause: only the time of one's own call was looked at.
    """
    bundles = [
        create_bundle(f"r-{number:03}", 17, aim=NOW + number / 100, latest=NOW + 2.0)
        for number in range(12)
    ]
    infeasible = find_names(bundles, [create_maker()])
    assert infeasible == [f"r-{number:03}" for number in range(4, 12)]
    assert find_names(bundles, [create_maker(f"m-{n}") for n in range(4)]) == []


def test_urgent_bundles_are_kept_before_late_ones():
    late = create_bundle("late", 17, aim=NOW, latest=NOW + 0.9)
    urgent = [create_bundle(name, 17, latest=NOW + 2.0) for name in "abc"]
    assert find_names([late, *urgent], [create_maker()]) == ["late"]


def test_calm_queue_has_no_hopeless_bundle():
    assert find_names([create_bundle("a", 6)], [create_maker(free_at=NOW + 0.2)]) == []
