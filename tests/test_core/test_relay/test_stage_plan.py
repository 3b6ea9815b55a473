"""Tests of greengagelatch.relay.stage_plan."""

from __future__ import annotations

import dataclasses

import pytest

from greengagelatch.relay.deployment import (
    Deployment,
    MakerProfile,
    Route,
    RoutedService,
    RouteKind,
    RouteStage,
)
from greengagelatch.relay.queue_waits import QueueWait
from greengagelatch.relay.requests import OpaqueRequest
from greengagelatch.relay.stage_plan import StagePlan, TargetDeadlines

MAKER = MakerProfile(
    slots=1,
    queue=2,
    batch=10,
    call_seconds=0.2,
    item_seconds=0.01,
    result_memory_bytes=1000,
    retention_seconds=4.0,
)
DEPLOYMENT = Deployment(
    version=1,
    services={name: RoutedService(name=name, maker=MAKER) for name in "abc"},
)
ROUTE = Route(
    name="r",
    host="h",
    prefix="/",
    kind=RouteKind.STREAMING,
    timeout=6.0,
    objective=1.9,
    stages=(
        RouteStage(service="a"),
        RouteStage(service="a"),
        RouteStage(service="b", after=(1,)),
        RouteStage(service="c", after=(2,)),
    ),
)


def create_plan(*counts: int, route: Route = ROUTE) -> StagePlan:
    request = OpaqueRequest(
        request_id="r-1",
        method="POST",
        host="h",
        target="/",
        headers=(),
        body=b"",
        received=0.0,
        timeout=6.0,
        piece_counts=counts,
        piece_key="key",
    )
    return StagePlan(request, route, DEPLOYMENT)


def test_final_stages_have_no_dependents():
    assert create_plan(2, 1, 6, 10).final == (0, 3)


def test_dependent_stages_share_a_component():
    assert sorted(map(sorted, create_plan(2, 1, 6, 10).list_components())) == [
        [0],
        [1, 2, 3],
    ]


def test_stages_with_a_common_dependent_share_a_component():
    stages = (
        RouteStage(service="a"),
        RouteStage(service="a"),
        RouteStage(service="a"),
        RouteStage(service="b", after=(0, 2)),
        RouteStage(service="c", after=(1,)),
    )
    route = dataclasses.replace(ROUTE, stages=stages)
    parts = create_plan(1, 1, 1, 1, 1, route=route).list_components()
    assert sorted(map(sorted, parts)) == [[0, 2, 3], [1, 4]]
    assert sorted(
        map(sorted, create_plan(1, 1, 1, 0, 1, route=route).list_components())
    ) == [
        [0],
        [1, 4],
        [2],
    ]


def test_stage_without_pieces_is_skipped():
    plan = create_plan(0, 1, 6, 10)
    assert sorted(plan.stages) == [1, 2, 3]
    assert plan.final == (3,)


def test_pieces_read_all_results_of_their_dependencies():
    plan = create_plan(2, 1, 2, 10)
    pieces = plan.create_pieces(plan.stages[3], {2: ("h-1", "h-2")})
    assert len(pieces) == 10
    assert {piece.inputs for piece in pieces} == {("h-1", "h-2")}
    assert {piece.key for piece in pieces} == {""}


def test_first_stages_get_the_requests_key():
    plan = create_plan(2, 1, 6, 10)
    pieces = plan.create_pieces(plan.stages[0], {})
    assert [(piece.segment, piece.key) for piece in pieces] == [(0, "key"), (1, "key")]


def test_estimate_is_that_of_the_longest_chain():
    plan = create_plan(2, 1, 6, 10)
    chain = plan.estimate(lambda service: QueueWait())
    assert chain.work == pytest.approx(0.21 + 0.26 + 0.3)
    assert (chain.urgent_wait, chain.total_wait) == (0.0, 0.0)
    rests = {
        number: plan.estimate_rest(work, lambda service: QueueWait())
        for number, work in plan.stages.items()
    }
    assert rests[1] == pytest.approx(0.26 + 0.3)
    assert rests[3] == 0.0


def test_shared_calls_lengthen_the_chain():
    """Guards against admission of requests that will be late.

    A call for six pieces alone takes 0.26 s, and a full one that it shares 0.4 s.
    """
    queues = {"b": QueueWait(urgent=0.1, total=0.5, call=0.4)}
    plan = create_plan(0, 1, 6, 10)
    alone = plan.estimate(lambda service: QueueWait())
    shared = plan.estimate(lambda service: queues.get(service, QueueWait()))
    assert shared.work == pytest.approx(alone.work - 0.26 + 0.4)
    assert shared.urgent_wait == pytest.approx(0.1)
    assert shared.total_wait == pytest.approx(0.5)
    assert shared.urgent_end == pytest.approx(shared.work + 0.1)


LARGE_ROUTE = dataclasses.replace(
    ROUTE,
    stages=(RouteStage(service="a", result_bytes=400), *ROUTE.stages[1:]),
)


#: deadlines that do not constrain a request
FAR_BOUNDS = TargetDeadlines(soft_deadline=100.0, hard_deadline=200.0)


def find_slack(
    plan: StagePlan,
    now: float,
    ends: dict[int, float],
    bounds: TargetDeadlines = FAR_BOUNDS,
    made: tuple[int, ...] = (),
    **waits: float,
):
    return plan.find_slack(
        plan.stages[0],
        now,
        ends,
        lambda name: QueueWait(urgent=waits.get(name, 0.0)),
        bounds,
        made,
    )


def test_large_results_are_not_made_before_they_are_needed():
    """Guards against makers that run out of memory at two thirds of their load.

    A request had a stage with large results and a chain of three others. All stages
    without inputs were started at once, so that the large results were made in the
    first call and occupied memory during the two calls that followed.
    """
    plan = create_plan(1, 1, 6, 10, route=LARGE_ROUTE)
    chain = sum(plan.stages[number].seconds for number in (1, 2, 3))
    own = plan.stages[0].seconds
    assert find_slack(plan, 5.0, {}) == pytest.approx(chain - own)
    ends = {1: 5.2, 2: 5.5}
    left = plan.stages[3].seconds
    assert find_slack(plan, 5.5, ends) == pytest.approx(left - own)


def test_slack_includes_queueing_time():
    plan = create_plan(1, 1, 6, 10, route=LARGE_ROUTE)
    bare = find_slack(plan, 5.0, {})
    assert find_slack(plan, 5.0, {}, c=0.4) == pytest.approx(bare + 0.4)
    # stage 0 waits in the same queue as the first stage of the chain
    assert find_slack(plan, 5.0, {}, a=0.4) == pytest.approx(bare)


def test_large_results_of_a_late_request_are_made_last():
    """Guards against memory filled by large results of late requests in a burst.

    The chain of a late request waits behind requests that can meet their objective,
    long past its expected end; results made at that expected end occupied memory for
    three seconds each.
    """
    plan = create_plan(1, 1, 6, 10, route=LARGE_ROUTE)
    bounds = TargetDeadlines(soft_deadline=6.0, hard_deadline=9.0)
    own = plan.stages[0].seconds
    overrun = {1: 5.2, 2: 5.5, 3: 5.9}
    assert find_slack(plan, 6.5, overrun, bounds) == pytest.approx(9.0 - 6.5 - own)
    assert find_slack(plan, 6.5, overrun, bounds, made=(1, 2, 3)) == 0.0
    # a request that can meet its objective does not wait for stages about to end
    assert find_slack(plan, 5.7, overrun, bounds) <= 0.0


def test_small_results_are_made_at_once():
    assert find_slack(create_plan(1, 1, 6, 10), 5.0, {}) == 0.0


def test_single_chain_has_no_slack():
    plan = create_plan(2, 0, 0, 0, route=LARGE_ROUTE)
    assert find_slack(plan, 5.0, {}) == 0.0
