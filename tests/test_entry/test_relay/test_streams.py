"""Tests of greengagelatch_entry.relay.streams on an instance."""

from __future__ import annotations

import asyncio

import pytest

from greengagelatch_entry.relay import stages, streams
from greengagelatch_entry.relay.input_fetch_timer import FETCH_SECONDS
from greengagelatch_entry.relay.route_latencies import RouteLatencies
from greengagelatch_lab.platform_standins.targets import EVENTS, TargetFault

WHOLE = b"".join(
    f"id: {number}\ndata: piece {number}\n\n".encode()
    for number in range(1, EVENTS + 1)
)


def engines(world):
    return [world.targets["llm-1"], world.targets["llm-2"]]


def makers(world):
    return [one for one in world.targets.values() if one.service != "llm"]


def is_busy(pool) -> bool:
    return pool["bundles"] > 0 or any(one["calls"] for one in pool["makers"].values())


async def test_stream_is_forwarded_completely(pipeline):
    reply = await pipeline.stream()
    assert reply.status == 200
    assert reply.body == WHOLE


async def test_stages_run_once_and_their_results_are_read(pipeline):
    await pipeline.stream(X_Attempt_Id="r-1")
    seen = [one for engine in engines(pipeline) for one in engine.received]
    inputs = seen[0].headers["x-inputs"].split(",")
    assert len(inputs) == 3
    made = {place: n for maker in makers(pipeline) for place, n in maker.pieces.items()}
    assert made == {
        ("r-1", 0, 0): 1,
        ("r-1", 0, 1): 1,
        ("r-1", 1, 0): 1,
        ("r-1", 1, 1): 1,
        ("r-1", 1, 2): 1,
    }


async def test_results_are_released_at_their_makers(pipeline):
    """Guards against makers that run out of memory under light load.

    Results that are not released when their request ends stay until they expire.
    """
    await pipeline.stream()
    await pipeline.wait_for(
        lambda: sum(len(maker.freed_handles) for maker in makers(pipeline)) == 5
    )


def count_freed(world) -> int:
    return sum(len(maker.freed_handles) for maker in makers(world))


async def start_held_stream(pipeline, load: str) -> asyncio.Task:
    """Start a stream at engines that report ``load`` and block their responses."""
    for engine in engines(pipeline):
        engine.load = load
    for _ in range(4):
        await pipeline.stream()
    await pipeline.wait_for(lambda: count_freed(pipeline) == 20)
    for engine in engines(pipeline):
        engine.gate = asyncio.Event()
    runs = sum(engine.runs.total() for engine in engines(pipeline))
    held = asyncio.create_task(pipeline.stream())
    await pipeline.wait_for(
        lambda: sum(engine.runs.total() for engine in engines(pipeline)) > runs
    )
    return held


async def release(pipeline, held: asyncio.Task) -> None:
    for engine in engines(pipeline):
        engine.gate.set()
    assert (await held).body == WHOLE


async def test_results_are_released_once_an_engine_has_fetched_them(pipeline):
    """Guards against makers without memory while engines have free slots.

    An engine schedules a request, fetches its inputs, and spends half a second on
    prefill before the first event. Inputs released only at the first event occupy the
    memory of their makers for that time.
    """
    held = await start_held_stream(pipeline, "1,0,4")
    await pipeline.wait_for(lambda: count_freed(pipeline) == 25)
    assert not held.done()
    await release(pipeline, held)


async def test_results_are_kept_for_an_engine_with_a_queue(pipeline):
    held = await start_held_stream(pipeline, "4,2,4")
    # results of the last stage, which only the engine fetches, are kept
    await pipeline.wait_for(lambda: count_freed(pipeline) == 20 + 2)
    await asyncio.sleep(2 * FETCH_SECONDS)
    assert count_freed(pipeline) == 20 + 2
    await release(pipeline, held)


async def test_stream_completes_after_failover_from_an_engine_that_had_fetched(
    pipeline,
):
    """Guards against failing over with handles of released inputs.

    An engine fetches the inputs of a request and hangs after they were released. With
    the old handles, the engine that the request fails over to would reject it.
    """
    for engine in engines(pipeline):
        engine.load = "1,0,4"
    for _ in range(4):
        await pipeline.stream()
    silent, other = engines(pipeline)
    silent.fault = TargetFault.MUTE
    count = len(silent.received)
    number = 0
    # each request may go to either engine
    while len(silent.received) == count:
        reply = await pipeline.stream(X_Attempt_Id=f"left-{number}")
        assert (reply.status, reply.body) == (200, WHOLE)
        number += 1
    left = {one.headers["x-attempt-id"]: one for one in silent.received}
    moved = [one for one in other.received if one.headers["x-attempt-id"] in left]
    assert moved
    for one in moved:
        before = left[one.headers["x-attempt-id"]].headers["x-inputs"].split(",")
        assert not set(before) & set(one.headers["x-inputs"].split(","))


async def test_requests_share_calls_to_makers(pipeline):
    """Guards against small batches that exhaust the call slots of makers.

    Concurrent requests each find the same maker idle if a call is counted only once its
    task runs.
    """
    replies = await asyncio.gather(*(pipeline.stream() for _ in range(12)))
    assert [reply.body for reply in replies] == [WHOLE] * 12
    batches = [size for maker in makers(pipeline) for size in maker.batches]
    assert sum(batches) == 12 * 5
    assert max(batches) > 3


async def test_stream_fails_over_after_a_break_within_an_event(pipeline):
    """Guards against duplicated or truncated events.

    An engine crashes in the middle of an event and another one resumes after the last
    complete event. The fault is to forward the beginning of the event.
    """
    for engine in engines(pipeline):
        engine.break_after = 2
    first = engines(pipeline)[0]
    await pipeline.stream()
    first.break_after = None
    engines(pipeline)[1].break_after = None
    reply = await pipeline.stream()
    assert reply.body == WHOLE


@pytest.mark.parametrize("broken", ["llm-1", "llm-2"])
async def test_resumed_stream_is_complete(pipeline, broken):
    pipeline.targets[broken].break_after = 2
    for _ in range(3):
        reply = await pipeline.stream()
        assert (reply.status, reply.body) == (200, WHOLE)


async def test_interrupted_stream_does_not_look_complete(pipeline):
    """Guards against partial streams that look complete.

    The engine crashes in mid-stream on a route that is not resumable. The fault is to
    terminate the response properly all the same.
    """
    for engine in engines(pipeline):
        engine.break_after = 2
    reply = await pipeline.stream("scan", X_Attempt_Id="r-1")
    assert reply.error
    assert sum(engine.runs["r-1"] for engine in engines(pipeline)) == 1


async def test_stream_fails_over_from_a_hung_engine(pipeline):
    engines(pipeline)[0].fault = TargetFault.MUTE
    for _ in range(2):
        reply = await pipeline.stream()
        assert (reply.status, reply.body) == (200, WHOLE)


async def test_rejected_stream_is_refused_as_not_run(pipeline):
    for engine in engines(pipeline):
        engine.fault = TargetFault.FULL
    reply = await pipeline.stream("scan")
    assert reply.status == 503
    assert "Retry-After" in reply.headers
    assert sum(engine.runs.total() for engine in engines(pipeline)) == 0


async def test_pieces_of_a_failed_maker_are_computed_by_the_other(pipeline):
    """Guards against requests that fail while one maker is down.

    A maker crashes and stays listed. The fault is to bind pieces to one maker.
    """
    await pipeline.targets["portal-1"].stop()
    for _ in range(3):
        reply = await pipeline.stream()
        assert (reply.status, reply.body) == (200, WHOLE)


async def test_full_maker_is_retried(pipeline):
    for maker in makers(pipeline):
        maker.fault = TargetFault.FULL
    waiting = asyncio.create_task(pipeline.stream())
    await asyncio.sleep(0.2)
    for maker in makers(pipeline):
        maker.fault = TargetFault.NONE
    assert (await waiting).body == WHOLE


async def test_stages_without_a_maker_are_refused_at_once(pipeline):
    for number in (1, 2):
        pipeline.store.remove(f"servers/portal-{number}")
    book = pipeline.find("news")._target_table
    await pipeline.wait_for(lambda: not book.list_service("portal"))
    reply = await pipeline.stream()
    assert reply.status == 503


async def test_results_of_a_disconnected_caller_are_released(pipeline):
    """Guards against work and results held for disconnected callers.

    A caller closes its connection while its stages are running.
    """
    task = asyncio.create_task(pipeline.stream(X_Attempt_Id="gone"))
    await pipeline.wait_for(lambda: any(maker.pieces for maker in makers(pipeline)))
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    desk = pipeline.find("stages")
    await pipeline.wait_for(
        lambda: all(
            pool["bundles"] == 0
            and not any(m["calls"] for m in pool["makers"].values())
            for pool in desk.dump().values()
        )
    )
    made = sum(maker.pieces.total() for maker in makers(pipeline))
    await pipeline.wait_for(
        lambda: sum(len(maker.freed_handles) for maker in makers(pipeline)) >= made
    )
    assert sum(engine.runs["gone"] for engine in engines(pipeline)) <= 1


async def stream_with_silences(world, engine, places: list[int]):
    """Return the reply to a stream that outlasts the soft timeout at each place."""
    engine.silences = list(places)
    held = asyncio.create_task(world.stream())
    for _ in places:
        await world.wait_for(lambda: engine.silent or held.done())
        await world.wait_for_silence(held)
        engine.resume()
    return await held


async def test_stream_outlasts_the_silence_of_an_engine_without_another(pipeline):
    """Guards against streams cut off at a silent engine that would have gone on.

    The stream was given up before it was known that no other engine could resume it,
    and its caller's connection was aborted.
    """
    await pipeline.extend_timeouts()
    silent, other = engines(pipeline)
    other.register(pipeline.store, state="draining")
    await pipeline.wait_for(lambda: not pipeline.accepts(other.target_id))
    # twice, one event apart, in the middle, and before the first event
    for places in ([2, 3], [0]):
        reply = await stream_with_silences(pipeline, silent, places)
        assert (reply.status, reply.error, reply.body) == (200, "", WHOLE)


async def test_stream_leaves_a_silent_engine_once_another_is_there(
    pipeline, monkeypatch
):
    """A stream that waits for a silent engine moves on as soon as it can."""
    # the time left for its stages is short
    monkeypatch.setattr(streams, "MIN_RERUN_TIMEOUT", streams.MIN_EVENT_GAP_TIMEOUT)
    await pipeline.extend_timeouts()
    silent, other = engines(pipeline)
    other.register(pipeline.store, state="draining")
    await pipeline.wait_for(lambda: not pipeline.accepts(other.target_id))
    silent.silences = [2]
    held = asyncio.create_task(pipeline.stream(X_Attempt_Id="r-1"))
    await pipeline.wait_for(lambda: silent.silent)
    await pipeline.wait_for_silence(held)
    assert not held.done()
    added = await pipeline.add("llm-3", "llm")
    reply = await held
    assert (reply.status, reply.body) == (200, WHOLE)
    assert added.runs["r-1"] == 1


async def test_short_silence_does_not_make_stages_run_again(pipeline, monkeypatch):
    """Guards against streams that are cut off as their stages can't be made again.

    The engine has read the results of the stages, which are released by then. Another
    engine would need new ones, although the silent one is about to go on.
    """
    await pipeline.extend_timeouts()
    monkeypatch.setattr(streams, "MIN_EVENT_GAP_TIMEOUT", 0.01)
    monkeypatch.setattr(streams, "EVENT_GAP_FACTOR", 0.01)
    for engine in engines(pipeline):
        engine.silences = [2]
    held = asyncio.create_task(pipeline.stream())
    await pipeline.wait_for(lambda: any(one.silent for one in engines(pipeline)))
    made = sum(maker.pieces.total() for maker in makers(pipeline))
    # longer than the soft timeout for a stream without stages
    await asyncio.sleep(0.2)
    for engine in engines(pipeline):
        engine.resume()
    assert (await held).body == WHOLE
    assert sum(maker.pieces.total() for maker in makers(pipeline)) == made


async def test_stream_stays_at_a_silent_engine_when_stages_would_be_late(
    pipeline, monkeypatch
):
    """Guards against streams that leave an engine and then fail in their stages."""
    await pipeline.extend_timeouts()
    for name in ("MIN_EVENT_GAP_TIMEOUT", "EVENT_GAP_FACTOR", "MIN_RERUN_TIMEOUT"):
        monkeypatch.setattr(streams, name, 0.01)
    monkeypatch.setattr(stages.StageRun, "may_execute_again", lambda _: False)
    for engine in engines(pipeline):
        engine.silences = [2]
    held = asyncio.create_task(pipeline.stream())
    await pipeline.wait_for(lambda: any(one.silent for one in engines(pipeline)))
    await asyncio.sleep(0.2)
    for engine in engines(pipeline):
        engine.resume()
    assert (await held).body == WHOLE
    assert pipeline.count("requests.answered") == 1
    assert sum(len(engine.received) for engine in engines(pipeline)) == 1


async def test_stream_stays_at_a_silent_engine_if_another_would_be_late(
    pipeline, monkeypatch
):
    """Guards against streams that leave an engine and are cut off at their deadline."""
    monkeypatch.setattr(RouteLatencies, "estimate", lambda *_: (0.1, 5.0))
    for engine in engines(pipeline):
        engine.silences = [2]
    held = asyncio.create_task(pipeline.stream(X_Pieces="", X_Piece_Key=""))
    await pipeline.wait_for(lambda: any(one.silent for one in engines(pipeline)))
    (first,) = [one for one in engines(pipeline) if one.silent]
    await pipeline.wait_for_silence(held)
    first.resume()
    reply = await held
    assert (reply.status, reply.error, reply.body) == (200, "", WHOLE)
    assert sum(len(engine.received) for engine in engines(pipeline)) == 1


async def test_long_stream_with_stages_is_resumed(pipeline, monkeypatch):
    """Guards against streams cut off as their stages count as late.

    The time by which a caller must have the first event is over, but it has had it.
    """
    monkeypatch.setattr(streams, "MIN_RERUN_TIMEOUT", 30.0)
    await pipeline.extend_timeouts()
    engine, other = engines(pipeline)
    other.register(pipeline.store, state="draining")
    await pipeline.wait_for(lambda: not pipeline.accepts(other.target_id))
    engine.silences = [2]
    engine.break_after = 3
    held = asyncio.create_task(pipeline.stream())
    await pipeline.wait_for(lambda: engine.silent)
    await pipeline.add("llm-3", "llm")
    await pipeline.wait_for(lambda: pipeline.accepts("llm-3"))
    # longer than the time for the first event
    await asyncio.sleep(2.2)
    engine.resume()
    reply = await held
    assert (reply.status, reply.error, reply.body) == (200, "", WHOLE)


async def test_stream_goes_back_to_a_silent_engine_if_no_other_is_reached(pipeline):
    """Guards against streams cut off as the other engine turns out to be gone."""
    await pipeline.extend_timeouts()
    for engine in engines(pipeline):
        engine.silences = [2]
    held = asyncio.create_task(pipeline.stream(X_Pieces="", X_Piece_Key=""))
    await pipeline.wait_for(lambda: any(one.silent for one in engines(pipeline)))
    silent, other = sorted(engines(pipeline), key=lambda one: not one.silent)
    await other.stop()
    await pipeline.wait_for(lambda: held.done() or len(silent.received) == 2)
    silent.resume()
    reply = await held
    assert (reply.status, reply.error, reply.body) == (200, "", WHOLE)
