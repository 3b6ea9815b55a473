"""Tests of a planned stop with callers on persistent connections."""

from __future__ import annotations

import asyncio
import os
import socket

import pytest

from greengagelatch.relay.groups import MakerGroup
from greengagelatch_entry.adapters import caller_connections
from greengagelatch_entry.controllers.drain import DrainState
from greengagelatch_entry.relay.route_latencies import INITIAL_TOTAL_SECONDS
from greengagelatch_lab.platform_standins.deployment import (
    API_KEY,
    HOST,
    create_configuration,
)

#: timeout of every wait in seconds
WAIT_SECONDS = 20


def encode_request(request_id: str, path: str = "/look/1", *more: str) -> bytes:
    lines = [
        f"GET {path} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Attempt-Id: {request_id}",
        "X-Deadline-Ms: 15000",
        f"Authorization: Bearer {API_KEY}",
        *more,
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


async def read_answer(reader: asyncio.StreamReader) -> tuple[int, str]:
    """Return status and head of the next response; status 0 if there is none."""
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
    """Block the responses of all targets; return the event that releases them."""
    gate = asyncio.Event()
    for target in world.targets.values():
        target.gate = gate
    return gate


def list_connections(front) -> list:
    return list(front._connections._server.connections)


def count_runs(world, request_id: str) -> int:
    return sum(target.runs[request_id] for target in world.targets.values())


async def test_connection_busy_at_the_stop_accepts_no_further_request(world):
    """Guards against requests accepted after the listener has closed.

    A connection that is busy when idle connections are closed stays open, because
    keep-alive was decided when its request arrived, before the stop. Further requests
    on it, up to 4.1 s after the close of the listener, would still wait for stages or
    be streaming when the process is killed. New connections are not affected.
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
    # either closed, or refused as not run and then closed
    assert status == 0 or (status == 503 and "connection: close" in head)
    writer.close()


async def test_connection_is_closed_after_a_stream_that_began_before_the_stop(world):
    """Guards against requests sent after a stream that began before the stop.

    The head of the stream announced keep-alive, so that only closing the connection
    makes the caller send its next request elsewhere.
    """
    engine = await world.add("llm-1", "llm")
    engine.stream_gate = asyncio.Event()
    await world.wait_until_synced(3)
    reader, writer = await connect(world)
    writer.write(encode_request("streamed", "/scan/1", "X-Prefix-Hash: aa:100"))
    async with asyncio.timeout(WAIT_SECONDS):
        head = await reader.readuntil(b"\r\n\r\n")
    assert b"connection: close" not in head.lower()
    world.parts.drain.request_stop()
    await world.parts.front.close_listener()
    engine.stream_gate.set()
    async with asyncio.timeout(WAIT_SECONDS):
        rest = await reader.read()
    assert rest.endswith(b"\r\n0\r\n\r\n")
    writer.close()


async def test_request_read_while_idle_connections_close_is_answered(world):
    """Guards against closing a connection whose request has just been read.

    If the process stalls, for example for 50 ms, it may read a request and close idle
    connections in the same iteration of the event loop. The handler begins two
    iterations later. A connection that counts as idle until then is closed, while the
    request still runs at a target and its caller gets no response.
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
    """Guards against requests without a response at the end of a stop.

    Requests still wait for stages when the time for requests in flight is over, 7.5 s
    after the signal. Unless they are refused as not run at that point, the server waits
    1 s for its handlers and the process is killed 0.5 s into that wait.
    """
    await pipeline.add("desk-1", "desk")
    # exceeds the test timeout, so that only the end of the stop ends the requests
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
        # responses come from the stop itself: the process may be killed right after it
        refused, unsettled = await asyncio.gather(staged, booked)
    gate.set()
    assert (refused.status, refused.error) == (503, "")
    assert "Retry-After" in refused.headers
    # it may have run, so the response must not claim the opposite
    assert (unsettled.status, unsettled.error) == (502, "")
    engines = [one for one in pipeline.targets.values() if one.service == "llm"]
    assert not any(engine.runs for engine in engines)


async def test_second_stop_request_answers_the_requests_in_flight(world):
    """Guards against connections closed without an answer by a second signal."""
    gate = hold_targets(world)
    asked = asyncio.create_task(
        world.ask("/book/1", method="POST", request_id="booking")
    )
    await world.wait_for(lambda: count_runs(world, "booking") == 1)
    drain = world.parts.drain
    drain._balancer_lag = WAIT_SECONDS
    drain.request_stop()
    drain.request_stop()
    assert not await stop_instance(world)
    gate.set()
    reply = await asked
    assert (reply.status, reply.error) == (502, "")


async def test_deadline_of_a_request_is_capped_by_the_end_of_a_stop(world):
    """Guards against cancelling requests accepted during the balancer lag.

    During a stop, an instance accepts a request whose deadline lies after the end of
    the stop. By that deadline alone, it would begin work that can't finish in time.
    """
    drain = world.parts.drain
    drain._max_drain_seconds = 2.0
    drain.request_stop()
    reply = await world.ask("/look/1", X_Deadline_Ms="60000")
    assert reply.status == 200
    assert reply.headers["Connection"] == "close"
    (seen,) = [one for target in world.targets.values() for one in target.received]
    assert int(seen.headers["x-deadline-ms"]) <= 2000


async def test_request_refused_for_lack_of_time_before_a_stop_may_retry_at_once(
    pipeline,
):
    """Guards against needless waiting after a refusal during a stop.

    The stages of a request can't complete before the end of the stop. The fault is a
    ``Retry-After`` computed from the queue, although another instance could serve the
    request at once.
    """
    drain = pipeline.parts.drain
    drain._max_drain_seconds = 0.05
    drain.request_stop()
    reply = await pipeline.stream(X_Deadline_Ms="15000")
    assert reply.status == 503
    assert float(reply.headers["Retry-After"]) == 0.0
    assert not any(target.pieces for target in pipeline.targets.values())


async def test_request_that_a_stop_would_interrupt_is_not_passed_on(world):
    """Guards against unsafe requests that are passed on just before they are aborted.

    The last bytes of a request come when what is left of a stop is shorter than
    requests of its route usually take. The fault is to pass it on, so that its caller
    never learns whether it has run.
    """
    drain, front = world.parts.drain, world.parts.front
    drain._max_drain_seconds = INITIAL_TOTAL_SECONDS * 0.9
    reader, writer = await connect(world)
    writer.write(encode_request("late", "/book/1", "Content-Length: 5"))
    await world.wait_for(lambda: front.in_flight == 1)
    drain.request_stop()
    await front.close_listener()
    writer.write(b"order")
    status, head = await read_answer(reader)
    assert status == 503
    assert "retry-after: 0" in head
    assert count_runs(world, "late") == 0
    writer.close()


async def test_stream_that_a_stop_would_interrupt_is_not_passed_on_after_its_stages(
    pipeline,
):
    """Guards against streams that are passed on just before they are aborted.

    A stream came before the stop and has waited for its stages. The fault is to ask
    whether it can still end where it comes in only.
    """
    drain = pipeline.parts.drain
    drain._max_drain_seconds = INITIAL_TOTAL_SECONDS * 0.9
    await pipeline.extend_timeouts()
    gate = hold_targets(pipeline)
    asked = asyncio.create_task(pipeline.stream())
    pool = pipeline.find("stages").find_pool(MakerGroup("portal"))
    await pipeline.wait_for(lambda: pool.describe()["bundles"] == 1)
    drain.request_stop()
    await pipeline.parts.front.close_listener()
    gate.set()
    reply = await asked
    assert (reply.status, reply.error) == (503, "")
    assert float(reply.headers["Retry-After"]) == 0.0
    engines = [one for one in pipeline.targets.values() if one.service == "llm"]
    assert not any(engine.runs for engine in engines)


async def stop_instance(world) -> bool:
    """Complete a requested stop in the same way as the application."""
    async with asyncio.timeout(WAIT_SECONDS):
        finished = await world.parts.drain.wait()
        await world.parts.front.stop()
    return finished


async def test_stop_waits_for_a_request_read_as_the_listener_closes(world):
    """Guards against a stop that does not wait for a request that was just read.

    After a stall of the event loop, the bytes of a request and the end of the balancer
    lag are processed in the same iteration. The connection stays open because it is
    busy. The fault is to count a request as in flight only when its handler has begun,
    two iterations later, so that the stop completes and interrupts it.
    """
    drain, front = world.parts.drain, world.parts.front
    drain._max_drain_seconds = WAIT_SECONDS
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
    # long enough for a stop that does not wait to complete
    await asyncio.sleep(0.05)
    assert drain.state is DrainState.FINISHING
    gate.set()
    assert (await read_answer(reader))[0] == 200
    assert await stopping
    writer.close()


async def test_late_request_is_refused_before_its_body_arrives(world):
    """Guards against a stop that is delayed by the body of a late request.

    A request whose first byte arrives after the close sends its body slowly. The fault
    is to read the body before the request is refused as late.
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
    # unread bytes keep the connection from being closed as idle
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
    """Guards against resets when an instance closes its idle connections.

    A request arrives while the event loop is stalled. The fault is to treat a
    connection as idle although unread bytes are in the kernel's receive buffer.
    """
    reader, writer = await connect(world)
    await world.wait_for(lambda: len(world.parts.front._connections) == 1)
    # written directly to the socket, so that the loop does not run before the close
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


async def test_queued_connections_are_accepted_before_the_listener_closes(world):
    """Guards against resets of connections that the kernel has accepted.

    Callers have connected and sent requests, but the event loop has not accepted their
    connections yet. The fault is to close the listening socket, which resets them.
    """
    front = world.parts.front
    queued = []
    for number in range(3):
        # blocking, so that the loop does not run before the close
        connection = socket.create_connection(("127.0.0.1", front.port))
        connection.sendall(encode_request(f"queued-{number}"))
        connection.setblocking(False)
        queued.append(connection)
    await front.close_listener()
    for connection in queued:
        reader, writer = await asyncio.open_connection(sock=connection)
        status, head = await read_answer(reader)
        assert status in (200, 503)
        assert "connection: close" in head
        writer.close()
    with pytest.raises(ConnectionRefusedError):
        await connect(world)


async def test_request_sent_during_a_stream_is_refused_after_it(world):
    """Guards against dropping a request that was read during a stream.

    The stream began before the stop and ends after the listener has closed. The fault
    is to treat the connection as idle between two requests although the next one has
    been read.
    """
    engine = await world.add("llm-1", "llm")
    engine.stream_gate = asyncio.Event()
    await world.wait_until_synced(3)
    reader, writer = await connect(world)
    writer.write(encode_request("streamed", "/scan/1", "X-Prefix-Hash: aa:100"))
    async with asyncio.timeout(WAIT_SECONDS):
        await reader.readuntil(b"\r\n\r\n")
    (connection,) = world.parts.front._connections._server.connections
    connection.data_received(encode_request("next"))
    world.parts.drain.request_stop()
    await world.parts.front.close_listener()
    engine.stream_gate.set()
    async with asyncio.timeout(WAIT_SECONDS):
        await reader.readuntil(b"\r\n0\r\n\r\n")
    status, head = await read_answer(reader)
    assert status == 503
    assert "connection: close" in head
    assert count_runs(world, "next") == 0
    writer.close()


async def test_request_behind_an_answer_that_closes_is_not_passed_on(world):
    """Guards against running a request whose connection is closed before its answer.

    A caller has sent two requests at once while the balancer lags. The first answer
    says that the connection closes, so that the second must not run.
    """
    world.parts.drain.request_stop()
    reader, writer = await connect(world)
    writer.write(encode_request("one", "/book/1") + encode_request("two", "/book/1"))
    status, head = await read_answer(reader)
    assert status == 200
    assert "connection: close" in head
    async with asyncio.timeout(WAIT_SECONDS):
        assert await reader.read() == b""
    assert (count_runs(world, "one"), count_runs(world, "two")) == (1, 0)
    writer.close()


async def test_expected_body_that_comes_after_the_close_is_answered(world):
    """Guards against a caller that waits for ``100 Continue`` in vain.

    The head of a request comes before the listener is closed, and its body after it.
    """
    drain, front = world.parts.drain, world.parts.front
    drain._max_drain_seconds = WAIT_SECONDS
    reader, writer = await connect(world)
    lines = "Content-Length: 5", "Expect: 100-continue"
    writer.write(encode_request("expected", "/book/1", *lines))
    async with asyncio.timeout(WAIT_SECONDS):
        head = await reader.readuntil(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 100 ")
    drain.request_stop()
    await front.close_listener()
    writer.write(b"order")
    status, head = await read_answer(reader)
    assert status == 200
    assert "connection: close" in head
    assert count_runs(world, "expected") == 1
    writer.close()


async def test_request_whose_headers_are_complete_after_a_stop_is_refused(world):
    """Guards against requests that are forwarded by a process that is exiting.

    The first bytes of a request arrive before the stop, and the rest once no request
    is in flight. Its headers were incomplete for too long to be waited for. The fault
    is to forward it, although the server is closed a moment later.
    """
    drain, front = world.parts.drain, world.parts.front
    drain._max_drain_seconds = WAIT_SECONDS
    gate = hold_targets(world)
    reader, writer = await connect(world)
    data = encode_request("slow")
    writer.write(data[:40])
    (connection,) = front._connections._server.connections
    await world.wait_for(lambda: connection.busy)
    drain.request_stop()
    async with asyncio.timeout(WAIT_SECONDS):
        assert await drain.wait()
    connection.data_received(data[40:])
    await front.stop()
    status, head = await read_answer(reader)
    gate.set()
    assert status == 503
    assert "connection: close" in head
    assert count_runs(world, "slow") == 0
    writer.close()


async def test_request_taken_while_a_stop_waits_for_tunnels_is_not_aborted(
    world, monkeypatch
):
    """Guards against aborting a request because peers' requests have just ended.

    The first bytes of a request arrive before the stop, and the rest while the stop
    waits for a tunnel of a peer. The fault is to take all callers' requests as ended
    since none was in flight before.
    """
    monkeypatch.setattr(caller_connections, "HEADER_SECONDS", 0.0)
    drain, front = world.parts.drain, world.parts.front
    drain._max_drain_seconds = WAIT_SECONDS
    tunnels = world.find("tunnels")
    tunnel = object()
    tunnels._active.add(tunnel)
    tunnels._idle.clear()
    gate = hold_targets(world)
    reader, writer = await connect(world)
    data = encode_request("slow", "/book/1")
    writer.write(data[:40])
    await world.wait_for(lambda: any(one.busy for one in list_connections(front)))
    drain.request_stop()
    stopping = asyncio.create_task(stop_instance(world))
    await world.wait_for(lambda: front.closing)
    # long enough for a stop that waits for callers only once
    await asyncio.sleep(0.05)
    writer.write(data[40:])
    await world.wait_for(lambda: count_runs(world, "slow") == 1)
    tunnels._active.discard(tunnel)
    tunnels._idle.set()
    await asyncio.sleep(0.05)
    gate.set()
    assert (await read_answer(reader))[0] == 200
    assert await stopping
    writer.close()


@pytest.mark.parametrize("path", ["/look/1", "/book/1", "/draft/1"])
async def test_stop_waits_for_requests_at_silent_targets(pipeline, monkeypatch, path):
    """Guards against a planned stop that ends what silent targets would have answered.

    All targets of the service fall silent before or after the signal.
    """
    await pipeline.add("desk-1", "desk")
    await pipeline.wait_until_synced(7)
    await pipeline.extend_timeouts()
    monkeypatch.setattr(pipeline.parts.drain, "_max_drain_seconds", WAIT_SECONDS)
    for target in pipeline.targets.values():
        target.silences = [2 if target.service == "llm" else 0]
    headers = {"X_Prefix_Hash": "aa:60"} if path == "/draft/1" else {}
    held = asyncio.create_task(pipeline.ask(path, method="POST", **headers))
    await pipeline.wait_for(lambda: any(one.runs for one in pipeline.targets.values()))
    stop = asyncio.create_task(pipeline.parts.drain.wait())
    pipeline.parts.drain.start_drain()
    await pipeline.wait_for(
        lambda: any(one.silent for one in pipeline.targets.values())
    )
    await asyncio.sleep(1.5)
    for target in pipeline.targets.values():
        target.silences.clear()
        target.resume()
    reply = await held
    assert (reply.status, reply.error) == (200, "")
    assert await stop
