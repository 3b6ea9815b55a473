"""Targets that start again under the id that they had, on a whole instance."""

from __future__ import annotations

import asyncio
import json
from dataclasses import replace

import pytest

from greengagelatch.relay.incarnations import Incarnation
from greengagelatch.relay.pieces import Bundle, Piece, PieceFailure
from greengagelatch.store import Entry
from greengagelatch.store.ranges import Changes
from greengagelatch_entry.relay.desk import LocalDesk
from greengagelatch_lab.platform_standins.targets import TargetFault


def find_listed(world, target_id: str):
    return world.find("news")._book.find_listed(target_id)


def is_known(world, target) -> bool:
    """Whether the instance knows the start that a target tells."""
    return find_listed(world, target.target_id).incarnation.started_ms == target.born


async def restart(world, target_id: str, *, cut: bool = True) -> None:
    """Start a target again and wait until the instance knows."""
    target = world.targets[target_id]
    await target.restart(world.store, cut=cut)
    await world.wait_for(lambda: world.accepts(target_id) and is_known(world, target))


async def restart_known(world, targets, *, cut: bool = True) -> None:
    """Start targets again and let the instance know at that moment.

    What is in work is given up within half a second; the store would tell of each
    restart later than that at times.
    """
    for target in targets:
        await target.restart(world.store, cut=cut)
        key = f"servers/{target.target_id}"
        value = json.dumps(target.describe()).encode()
        revision = world.store.put_bytes(key, value)
        entry = Entry(key, value, revision)
        listing = world.find("news")._listing
        listing.take_changes(Changes((entry,), (), listing.revision))


async def test_restart_is_told_once_and_everything_of_before_is_dropped(world):
    """Symptom: a target that is back and well gets no work for seconds.

    Sequence: it fails, is ended, and starts again under its id.
    Cause: beliefs about it were kept under the id alone.
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


async def test_target_that_left_and_starts_again_is_used(world):
    """Symptom: a service is short of a target until the instance is restarted.

    Sequence: a target drains and leaves, and starts again under its id.
    Cause: that it had left was remembered under its id.
    """
    world.targets["desk-1"].register(world.store, state="draining")
    await world.wait_for(lambda: not world.accepts("desk-1"))
    world.store.remove("servers/desk-1")
    await world.wait_for(lambda: find_listed(world, "desk-1") is None)
    await restart(world, "desk-1")
    world.store.remove("servers/desk-2")
    await world.wait_for(lambda: not world.accepts("desk-2"))
    assert (await world.ask("/look/1")).status == 200


async def test_entry_of_the_former_one_changes_nothing(world):
    """Symptom: each late write of a target that has ended has its successor's state
    forgotten, and what it holds asked for in vain.

    Sequence: a target has started again; an entry of before is written after its own.
    Cause: the entry written last was believed.
    """
    target = world.targets["desk-1"]
    old = target.describe()
    await restart(world, "desk-1")
    known = find_listed(world, "desk-1").incarnation
    for slots in (3, 5):
        revision = world.store.put("servers/desk-1", {**old, "slots": slots})
        await world.wait_heard(revision)
    assert find_listed(world, "desk-1").incarnation == known
    assert world.accepts("desk-1")
    assert world.count("targets.outdated") == 2
    # one line for the incarnation, and not for each reading
    assert world.count("beliefs.target-outdated") == 1


async def test_connections_of_the_former_one_are_not_used(world):
    """Symptom: the first requests after a restart fail, or are answered by a process
    that is about to end.

    Sequence: a target starts again while connections to it are kept; the old process
    still has them.
    Cause: connections were kept under the target's id.
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


async def test_booking_that_may_have_run_before_is_not_sent_again(world):
    """Symptom: a booking is made twice.

    Sequence: a target has a booking when it is ended; it starts again at once, and
    there is no other.
    Cause: the new start was taken for a target that has not had the booking.
    """
    world.store.remove("servers/desk-2")
    await world.wait_for(lambda: not world.accepts("desk-2"))
    target = world.targets["desk-1"]
    target.gate = asyncio.Event()
    asking = asyncio.create_task(
        world.ask("/book/1", method="POST", request_id="b-1", X_Deadline_Ms="5000")
    )
    await world.wait_for(lambda: target.runs["b-1"] == 1)
    # known to have started again before the connection breaks
    await restart(world, "desk-1", cut=False)
    target.abort_connections()
    target.gate.set()
    reply = await asking
    assert reply.status == 502
    assert target.runs["b-1"] == 1


async def test_request_that_may_be_repeated_goes_to_the_new_start(world):
    """Symptom: a request that may be repeated fails, though its only target is back.

    Sequence: the target that has it starts again.
    Cause: the new start was passed over for having had the request.
    """
    world.store.remove("servers/desk-2")
    await world.wait_for(lambda: not world.accepts("desk-2"))
    target = world.targets["desk-1"]
    target.gate = asyncio.Event()
    asking = asyncio.create_task(
        world.ask("/look/1", request_id="s-1", X_Deadline_Ms="5000")
    )
    await world.wait_for(lambda: target.runs["s-1"] == 1)
    await restart(world, "desk-1", cut=False)
    target.abort_connections()
    target.gate.set()
    reply = await asking
    assert reply.status == 200
    assert target.runs["s-1"] == 2


@pytest.mark.parametrize("cut", [True, False])
async def test_stream_goes_on_after_a_restart_of_its_engine(pipeline, cut):
    """Symptom: a stream that can be resumed breaks off as its only engine restarts."""
    pipeline.store.remove("servers/llm-2")
    await pipeline.wait_for(lambda: not pipeline.accepts("llm-2"))
    engine = pipeline.targets["llm-1"]
    engine.pause = asyncio.Event()
    asking = asyncio.create_task(
        pipeline.stream(X_Attempt_Id="r-1", X_Deadline_Ms="6000")
    )
    await pipeline.wait_for(lambda: engine.runs["r-1"] == 1)
    await restart(pipeline, "llm-1", cut=False)
    if cut:
        engine.abort_connections()
    engine.pause.set()
    reply = await asking
    assert (reply.status, reply.error) == (200, "")
    assert reply.body.count(b"id: ") == 5


def read_inputs(engine, request_id: str) -> list[str]:
    """Return the handles that an engine was sent last with a request."""
    seen = [one for one in engine.seen if one.headers["x-attempt-id"] == request_id]
    return seen[-1].headers["x-inputs"].split(",")


def list_targets(world, service: str):
    return [one for one in world.targets.values() if one.service == service]


async def test_results_lost_before_the_next_stage_are_made_again(pipeline):
    """Symptom: makers turn pieces away as what they read is gone, after all waiting.

    Sequence: a stage is made; its makers start again while the next stage waits for a
    maker with room.
    Cause: the handles of before were sent on.
    """
    for maker in list_targets(pipeline, "ledger"):
        maker.fault = TargetFault.FULL
    asking = asyncio.create_task(
        pipeline.stream(X_Attempt_Id="r-1", X_Deadline_Ms="6000")
    )
    portals = list_targets(pipeline, "portal")
    await pipeline.wait_for(lambda: sum(one.pieces.total() for one in portals) == 2)
    former = set().union(*(one.made for one in portals))
    await restart_known(pipeline, portals)
    for maker in list_targets(pipeline, "ledger"):
        maker.fault = TargetFault.NONE
    assert (await asking).status == 200
    read = [one for maker in list_targets(pipeline, "ledger") for one in maker.read]
    assert read
    assert not former & set(read)
    assert not former & set().union(*(one.freed for one in portals))


async def test_results_lost_before_a_further_engine_reads_them_are_made_again(pipeline):
    """Symptom: an engine refuses a request as its inputs are gone, after all stages.

    Sequence: an engine is mute, so that the request goes to another one; meanwhile
    the makers of what it reads have started again.
    Cause: the handles of before were sent to the other engine.
    """
    engines = list_targets(pipeline, "llm")
    for engine in engines:
        engine.fault = TargetFault.MUTE
    asking = asyncio.create_task(
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
    assert (await asking).status == 200
    again = set(read_inputs(other, "r-1"))
    assert len(again) == len(former) == 3
    assert not former & again
    # no freeing is sent for what has been lost anyway
    await pipeline.wait_for(
        lambda: again <= set().union(*(one.freed for one in makers))
    )
    assert not former & set().union(*(one.freed for one in makers))
    assert pipeline.count("stages.lost_by_restart") >= len(former)


async def test_owner_that_knows_of_a_restart_says_that_inputs_are_gone(pipeline):
    """Symptom: makers are asked for pieces whose inputs nobody holds.

    Sequence: an instance that has not heard of a restart asks an owner that has.
    Cause: the owner went by the handles alone.
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
    results = await pipeline.find("stages").make(bundle, lambda: None)
    assert [one.failure for one in results] == [PieceFailure.GONE]


async def test_owner_that_does_not_know_of_a_restart_fails_no_engine(pipeline):
    """Symptom: engines that are well get no work for a second.

    Sequence: the owner of a service names results by a former start of their maker
    for as long as it has not heard of the restart; this instance has.
    Cause: requests that could not be sent for that were counted against engines.
    """
    make_in = LocalDesk.make_in
    former = Incarnation("ledger-1", 1)
    engines = [find_listed(pipeline, one).incarnation for one in ("llm-1", "llm-2")]

    async def make_unaware(self, group, bundle, note_read):
        results = await make_in(self, group, bundle, note_read)
        if bundle.service != "ledger":
            return results
        return tuple(replace(one, maker=former) for one in results)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(LocalDesk, "make_in", make_unaware)
        reply = await pipeline.stream(X_Attempt_Id="r-1")
    assert reply.status in (502, 503)
    assert not any(one.runs["r-1"] for one in list_targets(pipeline, "llm"))
    believed = pipeline.describe()["targets"]
    assert all(
        believed.get(str(one), {}).get("breaker", "closed") == "closed"
        for one in engines
    )
    assert (await pipeline.stream()).status == 200


async def test_answer_of_a_former_maker_is_not_used(pipeline):
    """Symptom: as above, though the maker was known to have started again.

    Sequence: a maker starts again with a call in work; the old process, which is slow
    to end, still answers it.
    Cause: its results were taken for those of the new one.
    """
    portals = list_targets(pipeline, "portal")
    gate = asyncio.Event()
    for portal in portals:
        portal.gate = gate
    asking = asyncio.create_task(
        pipeline.stream(X_Attempt_Id="r-1", X_Deadline_Ms="6000")
    )
    await pipeline.wait_for(lambda: any(one.batches for one in portals))
    await restart_known(pipeline, portals, cut=False)
    gate.set()
    assert (await asking).status == 200
    read = [one for maker in list_targets(pipeline, "ledger") for one in maker.read]
    assert read
    # the second making of each piece
    assert {one.rpartition("-")[2] for one in read} == {"2"}
