"""Targets that start again under the id that they had, on a whole instance."""

from __future__ import annotations

import asyncio

import pytest

from greengagelatch_lab.platform_standins.targets import TargetFault


def find_listed(world, target_id: str):
    return world.find("news")._book.find_listed(target_id)


async def restart(world, target_id: str, *, cut: bool = True) -> None:
    """Start a target again and wait until the instance knows."""
    target = world.targets[target_id]
    await target.restart(world.store, cut=cut)
    await world.wait_for(
        lambda: (
            world.accepts(target_id)
            and find_listed(world, target_id).incarnation.born == target.born
        )
    )


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
