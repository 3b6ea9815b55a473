"""Tests of streams whose engines fall silent during a planned stop."""

from __future__ import annotations

import asyncio

import pytest

from greengagelatch_entry.relay import streams
from greengagelatch_lab.platform_standins.targets import EVENTS, TargetFault

#: seconds of a stop, longer than the silences
STOP_SECONDS = 20.0
#: body of a complete stream
WHOLE = b"".join(
    f"id: {number}\ndata: piece {number}\n\n".encode()
    for number in range(1, EVENTS + 1)
)


def list_targets(pipeline, *services: str) -> list:
    return [one for one in pipeline.targets.values() if one.service in services]


def list_makers(pipeline) -> list:
    return list_targets(pipeline, "portal", "ledger")


def count_held(pipeline) -> int:
    return sum(len(one.held_handles) for one in list_makers(pipeline))


def count_received(pipeline) -> int:
    return sum(len(one.received) for one in list_targets(pipeline, "llm"))


async def hold_stages_made_again(pipeline) -> asyncio.Event:
    """Wait until a stage is made again; return the event that lets makers answer."""
    gate = asyncio.Event()
    for maker in list_makers(pipeline):
        maker.gate = gate
    calls = [len(one.batches) for one in list_makers(pipeline)]
    await pipeline.wait_for(
        lambda: [len(one.batches) for one in list_makers(pipeline)] != calls
    )
    return gate


@pytest.fixture
async def silenced(pipeline, monkeypatch):
    """A stream with stages whose engine is silent after its second event, in a stop."""
    monkeypatch.setattr(streams, "MIN_RERUN_TIMEOUT", streams.MIN_EVENT_GAP_TIMEOUT)
    monkeypatch.setattr(pipeline.parts.drain, "_max_drain_seconds", STOP_SECONDS)
    await pipeline.extend_timeouts()
    engines = list_targets(pipeline, "llm")
    for engine in engines:
        engine.silences = [2]
    held = asyncio.create_task(pipeline.stream())
    await pipeline.wait_for(lambda: any(one.silent for one in engines))
    for engine in engines:
        engine.silences.clear()
    stop = asyncio.create_task(pipeline.parts.drain.wait())
    pipeline.parts.drain.start_drain()
    yield held, next(one for one in engines if one.silent)
    await stop


@pytest.mark.parametrize("fault", [TargetFault.MUTE, TargetFault.FULL])
async def test_stream_stays_at_a_silent_engine_while_its_stages_are_not_made_again(
    pipeline, silenced, fault
):
    """Guards against streams that leave an engine for stages that fail or hang."""
    held, engine = silenced
    for maker in list_makers(pipeline):
        maker.fault = fault
    # longer than the soft timeout and the stages
    await asyncio.sleep(2.5)
    engine.resume()
    reply = await held
    assert (reply.status, reply.error, reply.body) == (200, "", WHOLE)
    assert count_received(pipeline) == 1


async def test_stages_made_again_in_vain_are_released(pipeline, silenced):
    """Guards against results that take up room as their engine has gone on."""
    held, engine = silenced
    gate = await hold_stages_made_again(pipeline)
    engine.resume()
    reply = await held
    assert (reply.status, reply.error, reply.body) == (200, "", WHOLE)
    assert count_received(pipeline) == 1
    gate.set()
    await pipeline.wait_for(lambda: count_held(pipeline) == 0)


async def test_stages_made_ahead_serve_a_stream_whose_engine_breaks(pipeline, silenced):
    """Guards against stages that are executed twice for one other attempt."""
    held, engine = silenced
    made = sum(one.pieces.total() for one in list_makers(pipeline))
    gate = await hold_stages_made_again(pipeline)
    engine.abort_connections()
    engine.resume()
    gate.set()
    reply = await held
    assert (reply.status, reply.error, reply.body) == (200, "", WHOLE)
    assert sum(one.pieces.total() for one in list_makers(pipeline)) == 2 * made
