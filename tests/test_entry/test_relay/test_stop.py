"""Tests of a planned stop, from callers that go on using their connections."""

from __future__ import annotations

import asyncio
import os

from greengagelatch.relay.groups import MakerGroup
from greengagelatch_entry.controllers.drain import DrainState
from greengagelatch_lab.platform_standins.deployment import (
    HOST,
    KEY,
    create_configuration,
)

#: bound of every wait, in seconds
WAIT_SECONDS = 20


def encode_request(request_id: str, path: str = "/look/1", *more: str) -> bytes:
    lines = [
        f"GET {path} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Attempt-Id: {request_id}",
        "X-Deadline-Ms: 15000",
        f"Authorization: Bearer {KEY}",
        *more,
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


async def read_answer(reader: asyncio.StreamReader) -> tuple[int, str]:
    """Return status and head of the next answer; status 0 if there is none."""
    async with asyncio.timeout(WAIT_SECONDS):
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
        except (asyncio.IncompleteReadError, ConnectionError):
            return 0, ""
        length = head.partition("content-length:")[2].split("\r\n")[0]
        await reader.readexactly(int(length))
    return int(head.split(" ")[1]), head


async def connect(world) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    return await asyncio.open_connection("127.0.0.1", world.parts.front.port)


def hold_targets(world) -> asyncio.Event:
    """Have all targets wait with their answers; return what lets them go on."""
    gate = asyncio.Event()
    for target in world.targets.values():
        target.gate = gate
    return gate


def count_runs(world, request_id: str) -> int:
    return sum(target.runs[request_id] for target in world.targets.values())


async def test_connection_busy_at_the_stop_accepts_no_further_request(world):
    """An instance was told to stop, served on for 2.6 s, closed its listener and the
    connections that were idle then, and waited 4.9 s for what was in flight. A
    connection that served a request in that instant stayed open: whether to keep it
    had been decided as its request came, before the stop. Callers sent their next
    requests on it and these were taken up to 4.1 s after the listener was closed;
    some were still waiting for stage work, or in the middle of their stream, when
    the process was killed. In four days of restarts 42 requests came so, each on a
    connection whose request before came ahead of the signal and ended after the
    close; none came on a connection that was new:

    no new connections: 11 idle ones closed, 3 kept, 3 requests in flight
    request … "connection_request":4,"since_stop_ms":4414
    """
    gate = hold_targets(world)
    reader, writer = await connect(world)
    writer.write(encode_request("before"))
    await world.wait_for(lambda: count_runs(world, "before") == 1)
    world.parts.drain.request_stop()
    await world.parts.front.close_listener()
    gate.set()
    status, _ = await read_answer(reader)
    assert status == 200
    writer.write(encode_request("after"))
    status, head = await read_answer(reader)
    assert count_runs(world, "after") == 0
    # closed, or refused as not run and closed
    assert status == 0 or (status == 503 and "connection: close" in head)
    writer.close()


async def test_connection_is_closed_after_a_stream_that_began_before_the_stop(world):
    """The head of the stream has said that the connection is kept, so that only its
    close can tell the caller to send its next request elsewhere.
    """
    engine = await world.add("llm-1", "llm")
    engine.pause = asyncio.Event()
    await world.wait_until_synced(3)
    reader, writer = await connect(world)
    writer.write(encode_request("streamed", "/scan/1", "X-Prefix-Hash: aa:100"))
    async with asyncio.timeout(WAIT_SECONDS):
        head = await reader.readuntil(b"\r\n\r\n")
    assert b"connection: close" not in head.lower()
    world.parts.drain.request_stop()
    await world.parts.front.close_listener()
    engine.pause.set()
    async with asyncio.timeout(WAIT_SECONDS):
        rest = await reader.read()
    assert rest.endswith(b"\r\n0\r\n\r\n")
    writer.close()


async def test_request_read_while_idle_connections_close_is_answered(world):
    """A process that had been kept from running for 50 ms read a request and, in the
    same turn of its loop, found the time come to close idle connections. A
    connection counted as idle until the request's handler had begun, two turns
    later. So the connection was closed and the request went on to a target all the
    same; it ran 3 ms after the close, and its caller got neither an answer nor a
    refusal:

    50.653 s  the instance is told to stop
    53.256 s  a target runs the request, 2.603 s later
    53.257 s  its caller's connection is closed
    """
    reader, writer = await connect(world)
    writer.write(encode_request("first"))
    assert (await read_answer(reader))[0] == 200
    front = world.parts.front
    (connection,) = front._connections._server.connections
    connection.data_received(encode_request("second"))
    await front.close_listener()
    status, head = await read_answer(reader)
    assert status in (200, 503)
    assert "connection: close" in head
    assert count_runs(world, "second") == (status == 200)
    writer.close()


async def test_requests_in_flight_at_the_end_of_a_stop_are_answered(pipeline):
    """Two scans waited for a maker of their stages when the time for requests in
    flight was over, 7.5 s after the signal. Nothing refused them, although nothing
    of them had run: the server waited 1 s for its handlers, and the process was
    killed 0.5 s later. In a day of 27 restarts 8 to 15 processes were killed so.

    43.964 s  [^RelayFront]: Stopping...
    44.461 s  the connection is closed with no answer
    """
    await pipeline.add("desk-1", "desk")
    # longer than the test may take: only the end of the stop can end the requests
    pipeline.store.put("op/config", create_configuration(4, timeout_ms=60_000))
    await pipeline.wait_until_synced(7)
    configuration = pipeline.find("news")._configuration
    await pipeline.wait_for(lambda: configuration.deployment.version == 4)
    gate = hold_targets(pipeline)
    waits = {"X_Deadline_Ms": "60000"}
    staged = asyncio.create_task(pipeline.stream(**waits))
    booked = asyncio.create_task(
        pipeline.ask("/book/1", method="POST", request_id="booking", **waits)
    )
    pool = pipeline.find("stages").find_pool(MakerGroup("portal"))
    await pipeline.wait_for(lambda: pool.describe()["bundles"] == 1)
    await pipeline.wait_for(lambda: count_runs(pipeline, "booking") == 1)
    drain = pipeline.parts.drain
    drain.request_stop()
    async with asyncio.timeout(WAIT_SECONDS):
        assert not await drain.wait()
        # the stop itself answers: the process may be killed right after it
        refused, unsettled = await asyncio.gather(staged, booked)
    gate.set()
    assert (refused.status, refused.error) == (503, "")
    assert "Retry-After" in refused.headers
    # it may have run, and no answer may promise that it has not
    assert (unsettled.status, unsettled.error) == (502, "")
    engines = [one for one in pipeline.targets.values() if one.service == "llm"]
    assert not any(engine.runs for engine in engines)


async def test_deadline_of_a_request_is_capped_by_the_end_of_a_stop(world):
    """Symptom: requests taken while the balancer lags are broken off at the end.

    Sequence: an instance that is to stop takes a request whose deadline lies after
    the end of the stop, and begins work that can't be finished by then.
    Cause: the request's own deadline alone decided what was begun, and for how long.
    """
    drain = world.parts.drain
    drain._longest = 2.0
    drain.request_stop()
    reply = await world.ask("/look/1", X_Deadline_Ms="60000")
    assert reply.status == 200
    assert reply.headers["Connection"] == "close"
    (seen,) = [one for target in world.targets.values() for one in target.seen]
    assert int(seen.headers["x-deadline-ms"]) <= 2000


async def test_request_refused_for_lack_of_time_before_a_stop_may_retry_at_once(
    pipeline,
):
    """Symptom: callers wait before they turn to an instance that has time for them.

    Sequence: a request comes during a stop, and its stages can't be made before the
    end of it; it is refused, with the time after which the queue may be shorter.
    Cause: the refusal spoke of a queue, although it was the stop that left no time.
    """
    drain = pipeline.parts.drain
    drain._longest = 0.05
    drain.request_stop()
    reply = await pipeline.stream(X_Deadline_Ms="15000")
    assert reply.status == 503
    assert float(reply.headers["Retry-After"]) == 0.0
    assert not any(target.pieces for target in pipeline.targets.values())


async def stop_instance(world) -> bool:
    """Carry out a stop that was requested as the application does."""
    async with asyncio.timeout(WAIT_SECONDS):
        finished = await world.parts.drain.wait()
        await world.parts.front.stop()
    return finished


async def test_stop_waits_for_a_request_read_as_the_listener_closes(world):
    """Symptom: an idle instance is told to stop, and a request that it passed on is
    cut at the end of the balancer's lag.

    Sequence: the loop stands still for a moment; the request's bytes and the end of
    the lag fall due in the same turn; the connection is kept, as it is busy, but
    nothing counts as in flight yet, and the stop goes on to its end.
    Cause: a request was in flight only once its handler had begun, two turns later.
    """
    drain, front = world.parts.drain, world.parts.front
    drain._longest = WAIT_SECONDS
    reader, writer = await connect(world)
    writer.write(encode_request("first"))
    assert (await read_answer(reader))[0] == 200
    gate = hold_targets(world)
    (connection,) = front._connections._server.connections
    close_listener = drain._close_listener

    async def read_and_close() -> None:
        connection.data_received(encode_request("second"))
        await close_listener()

    drain._close_listener = read_and_close
    drain.request_stop()
    stopping = asyncio.create_task(stop_instance(world))
    await world.wait_for(lambda: count_runs(world, "second") == 1)
    # time enough for a stop that waits for nothing
    await asyncio.sleep(0.05)
    assert drain.state is DrainState.FINISHING
    gate.set()
    assert (await read_answer(reader))[0] == 200
    assert await stopping
    writer.close()


async def test_late_request_is_refused_before_its_body_arrives(world):
    """Symptom: a stop takes longer than its requests in flight.

    Sequence: a request whose first byte is late sends its body slowly; it is refused
    once the body is whole, or cut at the end.
    Cause: the body was read before the request was known to come too late.
    """
    gate = hold_targets(world)
    _, writer = await connect(world)
    writer.write(encode_request("first"))
    await world.wait_for(lambda: count_runs(world, "first") == 1)
    other_reader, other_writer = await connect(world)
    await world.wait_for(lambda: len(world.parts.front._connections) == 2)
    world.parts.drain.request_stop()
    (late,) = [
        one
        for one in world.parts.front._connections._server.connections
        if not one.busy
    ]
    # its bytes are on their way, so that it is not closed as idle
    other_writer.write(encode_request("late", "/book/1", "Content-Length: 5"))
    await other_writer.drain()
    await world.parts.front.close_listener()
    assert late.transport is not None
    status, head = await read_answer(other_reader)
    assert status == 503
    assert "connection: close" in head
    gate.set()
    writer.close()
    other_writer.close()


async def test_connection_with_an_unread_request_is_not_reset(world):
    """Symptom: callers see resets when an instance closes its idle connections.

    Sequence: a request arrives while the loop stands still, and its connection is
    closed before the bytes are read.
    Cause: a connection without a request in the process's own hands was idle.
    """
    reader, writer = await connect(world)
    await world.wait_for(lambda: len(world.parts.front._connections) == 1)
    # straight to the kernel, and no turn of the loop before the close
    os.write(
        writer.get_extra_info("socket").fileno(),
        encode_request("unread"),
    )
    await world.parts.front.close_listener()
    status, head = await read_answer(reader)
    assert status == 503
    assert "connection: close" in head
    assert count_runs(world, "unread") == 0
    writer.close()


async def test_request_sent_during_a_stream_is_refused_after_it(world):
    """Symptom: a request that was read while the one before was answered is cut.

    Sequence: it comes on a connection whose stream began before the stop and ends
    after the listener is closed; its bytes have been read by then.
    Cause: a connection was idle between two requests, whatever had been read.
    """
    engine = await world.add("llm-1", "llm")
    engine.pause = asyncio.Event()
    await world.wait_until_synced(3)
    reader, writer = await connect(world)
    writer.write(encode_request("streamed", "/scan/1", "X-Prefix-Hash: aa:100"))
    async with asyncio.timeout(WAIT_SECONDS):
        await reader.readuntil(b"\r\n\r\n")
    (connection,) = world.parts.front._connections._server.connections
    connection.data_received(encode_request("next"))
    world.parts.drain.request_stop()
    await world.parts.front.close_listener()
    engine.pause.set()
    async with asyncio.timeout(WAIT_SECONDS):
        await reader.readuntil(b"\r\n0\r\n\r\n")
    status, head = await read_answer(reader)
    assert status == 503
    assert "connection: close" in head
    assert count_runs(world, "next") == 0
    writer.close()
