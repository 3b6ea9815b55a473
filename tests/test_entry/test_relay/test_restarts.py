"""Tests of targets that restart under the same id, on an instance."""

from __future__ import annotations

import asyncio
import json
from dataclasses import replace

import pytest

from greengagelatch.relay.incarnations import Incarnation
from greengagelatch.relay.pieces import Bundle, Piece, PieceFailure
from greengagelatch.store import Entry
from greengagelatch.store.ranges import Changes
from greengagelatch_entry.relay.local_stage_executor import LocalStageExecutor
from greengagelatch_lab.platform_standins.targets import TargetFault


def find_listed(world, target_id: str):
    return world.find("news")._target_table.find_listed(target_id)


def is_known(world, target) -> bool:
    """Return whether the instance knows the current incarnation of a target."""
    return (
        find_listed(world, target.target_id).incarnation.started_ms == target.started_ms
    )


async def restart(world, target_id: str, *, cut: bool = True) -> None:
    """Restart a target and wait until the instance knows."""
    target = world.targets[target_id]
    await target.restart(world.store, cut=cut)
    await world.wait_for(lambda: world.accepts(target_id) and is_known(world, target))


async def restart_known(world, targets, *, cut: bool = True) -> None:
    """Restart targets and notify the instance immediately.

    Requests in flight are abandoned within half a second, and a notification through
    the store may take longer.
    """
    for target in targets:
        await target.restart(world.store, cut=cut)
        key = f"servers/{target.target_id}"
        value = json.dumps(target.describe()).encode()
        revision = world.store.put_bytes(key, value)
        entry = Entry(key, value, revision)
        listing = world.find("news")._listing
        listing.apply_changes(Changes((entry,), (), listing.revision))


async def test_restart_is_logged_once_and_discards_former_state(world):
    """Guards against a restarted target that gets no requests for seconds.

    The target fails, is terminated and restarts under its id. The fault is to key its
    circuit breaker and other state by the id alone.
    """
    target = world.targets["desk-1"]
    former = find_listed(world, "desk-1").incarnation
    target.fault = TargetFault.LOSE_ANSWER
    await world.wait_for_breaker(former, "open")
    target.fault = TargetFault.NONE
    await restart(world, "desk-1")
    for _ in range(6):
        assert (await world.ask("/look/1")).status == 200
    believed = world.describe()["targets"]
    assert str(former) not in believed
    later = find_listed(world, "desk-1").incarnation
    assert believed[str(later)]["breaker"] == "closed"
    assert world.count("targets.restarted") == 1


async def test_target_that_left_and_restarts_is_used(world):
    """Guards against a target that is excluded permanently after a drain.

    The target drains, leaves and restarts under its id. The fault is to remember by id
    alone that it has left.
    """
    world.targets["desk-1"].register(world.store, state="draining")
    await world.wait_for(lambda: not world.accepts("desk-1"))
    world.store.remove("servers/desk-1")
    await world.wait_for(lambda: find_listed(world, "desk-1") is None)
    await restart(world, "desk-1")
    world.store.remove("servers/desk-2")
    await world.wait_for(lambda: not world.accepts("desk-2"))
    assert (await world.ask("/look/1")).status == 200


async def test_entry_of_a_former_incarnation_is_ignored(world):
    """Guards against late writes of a former incarnation.

    A target has restarted, and an entry of its former incarnation is written after the
    new one. The fault is to accept the last write, which discards the state of the new
    incarnation and requests results that it does not hold.
    """
    target = world.targets["desk-1"]
    old = target.describe()
    await restart(world, "desk-1")
    known = find_listed(world, "desk-1").incarnation
    for slots in (3, 5):
        revision = world.store.put("servers/desk-1", {**old, "slots": slots})
        await world.wait_for_revision(revision)
    assert find_listed(world, "desk-1").incarnation == known
    assert world.accepts("desk-1")
    assert world.count("targets.outdated") == 2
    # one line per incarnation, not per read
    assert world.count("beliefs.target-outdated") == 1


async def test_connections_of_a_former_incarnation_are_not_reused(world):
    """Guards against requests on connections to a terminating process.

    A target restarts while connections to its old process are pooled. The fault is to
    pool connections by the id of the target.
    """
    world.store.remove("servers/desk-2")
    await world.wait_for(lambda: not world.accepts("desk-2"))
    target = world.targets["desk-1"]
    await world.ask("/look/1")
    before = target.connections
    await world.ask("/look/1")
    assert target.connections == before
    await restart(world, "desk-1", cut=False)
    await world.ask("/look/1")
    assert target.connections == before + 1


async def test_non_idempotent_request_is_not_resent_after_a_restart(world):
    """Guards against running a non-idempotent request twice.

    The only target restarts while it runs the request. The fault is to treat the new
    incarnation as a target that the request has not been sent to.
    """
    world.store.remove("servers/desk-2")
    await world.wait_for(lambda: not world.accepts("desk-2"))
    target = world.targets["desk-1"]
    target.gate = asyncio.Event()
    pending = asyncio.create_task(
        world.ask("/book/1", method="POST", request_id="b-1", X_Deadline_Ms="5000")
    )
    await world.wait_for(lambda: target.runs["b-1"] == 1)
    # the restart is known before the connection breaks
    await restart(world, "desk-1", cut=False)
    target.abort_connections()
    target.gate.set()
    reply = await pending
    assert reply.status == 502
    assert target.runs["b-1"] == 1


async def test_idempotent_request_is_retried_at_the_new_incarnation(world):
    """Guards against failed idempotent requests after a restart of the only target.

    The fault is to exclude the new incarnation because the request had been sent to the
    former one.
    """
    world.store.remove("servers/desk-2")
    await world.wait_for(lambda: not world.accepts("desk-2"))
    target = world.targets["desk-1"]
    target.gate = asyncio.Event()
    pending = asyncio.create_task(
        world.ask("/look/1", request_id="s-1", X_Deadline_Ms="5000")
    )
    await world.wait_for(lambda: target.runs["s-1"] == 1)
    await restart(world, "desk-1", cut=False)
    target.abort_connections()
    target.gate.set()
    reply = await pending
    assert reply.status == 200
    assert target.runs["s-1"] == 2


@pytest.mark.parametrize("cut", [True, False])
async def test_stream_resumes_after_a_restart_of_its_engine(pipeline, cut):
    """Guards against resumable streams that fail when their only engine restarts."""
    pipeline.store.remove("servers/llm-2")
    await pipeline.wait_for(lambda: not pipeline.accepts("llm-2"))
    engine = pipeline.targets["llm-1"]
    engine.stream_gate = asyncio.Event()
    pending = asyncio.create_task(
        pipeline.stream(X_Attempt_Id="r-1", X_Deadline_Ms="6000")
    )
    await pipeline.wait_for(lambda: engine.runs["r-1"] == 1)
    await restart(pipeline, "llm-1", cut=False)
    if cut:
        engine.abort_connections()
    engine.stream_gate.set()
    reply = await pending
    assert (reply.status, reply.error) == (200, "")
    assert reply.body.count(b"id: ") == 5


def read_inputs(engine, request_id: str) -> list[str]:
    """Return the handles sent to an engine with the last attempt at a request."""
    seen = [one for one in engine.received if one.headers["x-attempt-id"] == request_id]
    return seen[-1].headers["x-inputs"].split(",")


def list_targets(world, service: str):
    return [one for one in world.targets.values() if one.service == service]


async def test_results_lost_before_the_next_stage_are_recomputed(pipeline):
    """Guards against passing on handles of lost results.

    A stage completes, and its makers restart while the next stage waits for capacity.
    With the old handles, makers would reject the pieces after the wait.
    """
    for maker in list_targets(pipeline, "ledger"):
        maker.fault = TargetFault.FULL
    pending = asyncio.create_task(
        pipeline.stream(X_Attempt_Id="r-1", X_Deadline_Ms="6000")
    )
    portals = list_targets(pipeline, "portal")
    await pipeline.wait_for(lambda: sum(one.pieces.total() for one in portals) == 2)
    former = set().union(*(one.held_handles for one in portals))
    await restart_known(pipeline, portals)
    for maker in list_targets(pipeline, "ledger"):
        maker.fault = TargetFault.NONE
    assert (await pending).status == 200
    read = [
        one for maker in list_targets(pipeline, "ledger") for one in maker.input_handles
    ]
    assert read
    assert not former & set(read)
    assert not former & set().union(*(one.freed_handles for one in portals))


async def test_results_lost_before_failover_to_another_engine_are_recomputed(pipeline):
    """Guards against failing over with handles of lost results.

    An engine hangs, so that the request fails over to another one; meanwhile the makers
    of its inputs have restarted. With the old handles, the other engine would reject
    the request.
    """
    engines = list_targets(pipeline, "llm")
    for engine in engines:
        engine.fault = TargetFault.MUTE
    pending = asyncio.create_task(
        pipeline.stream(X_Attempt_Id="r-1", X_Deadline_Ms="6000")
    )
    await pipeline.wait_for(lambda: any(one.runs["r-1"] for one in engines))
    for engine in engines:
        engine.fault = TargetFault.NONE
    mute = next(one for one in engines if one.runs["r-1"])
    other = next(one for one in engines if one is not mute)
    former = set(read_inputs(mute, "r-1"))
    makers = list_targets(pipeline, "ledger")
    await restart_known(pipeline, makers)
    assert (await pending).status == 200
    again = set(read_inputs(other, "r-1"))
    assert len(again) == len(former) == 3
    assert not former & again
    # no release is sent for results that are already lost
    await pipeline.wait_for(
        lambda: again <= set().union(*(one.freed_handles for one in makers))
    )
    assert not former & set().union(*(one.freed_handles for one in makers))
    assert pipeline.count("stages.lost_by_restart") >= len(former)


async def test_owner_aware_of_a_restart_reports_inputs_as_gone(pipeline):
    """Guards against computing pieces whose inputs are lost.

    An instance that does not know of a restart sends a bundle to an owner that does.
    The fault is that the owner checks the handles alone, not the incarnations.
    """
    former = find_listed(pipeline, "portal-1").incarnation
    await restart_known(pipeline, [pipeline.targets["portal-1"]])
    bundle = Bundle(
        bundle_id="r-1/1",
        service="ledger",
        pieces=(Piece(request_id="r-1", stage=1, segment=0, inputs=("h",)),),
        result_bytes=1000,
        soft_deadline=1e9,
        hard_deadline=1e9,
        input_makers=(former,),
    )
    results = await pipeline.find("stages").execute(bundle, lambda: None)
    assert [one.failure for one in results] == [PieceFailure.GONE]


async def test_owner_unaware_of_a_restart_does_not_penalize_engines(pipeline):
    """Guards against tripping the circuit breakers of healthy engines.

    The owner of a service does not know of a restart yet and returns results of the
    former incarnation of a maker. This instance knows of it and sends nothing. The
    fault is to count these unsent requests as failures of engines.
    """
    execute_in = LocalStageExecutor.execute_in
    former = Incarnation("ledger-1", 1)
    engines = [find_listed(pipeline, one).incarnation for one in ("llm-1", "llm-2")]

    async def make_unaware(self, group, bundle, note_read):
        results = await execute_in(self, group, bundle, note_read)
        if bundle.service != "ledger":
            return results
        return tuple(replace(one, maker=former) for one in results)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(LocalStageExecutor, "execute_in", make_unaware)
        reply = await pipeline.stream(X_Attempt_Id="r-1")
    assert reply.status in (502, 503)
    assert not any(one.runs["r-1"] for one in list_targets(pipeline, "llm"))
    believed = pipeline.describe()["targets"]
    assert all(
        believed.get(str(one), {}).get("breaker", "closed") == "closed"
        for one in engines
    )
    assert (await pipeline.stream()).status == 200


async def test_response_of_a_former_maker_incarnation_is_discarded(pipeline):
    """Guards against using results of a former incarnation.

    A maker restarts during a call, and its old process, which terminates slowly, still
    responds. The fault is to attribute these results to the new incarnation.
    """
    portals = list_targets(pipeline, "portal")
    gate = asyncio.Event()
    for portal in portals:
        portal.gate = gate
    pending = asyncio.create_task(
        pipeline.stream(X_Attempt_Id="r-1", X_Deadline_Ms="6000")
    )
    await pipeline.wait_for(lambda: any(one.batches for one in portals))
    await restart_known(pipeline, portals, cut=False)
    gate.set()
    assert (await pending).status == 200
    read = [
        one for maker in list_targets(pipeline, "ledger") for one in maker.input_handles
    ]
    assert read
    # the second computation of each piece
    assert {one.rpartition("-")[2] for one in read} == {"2"}
