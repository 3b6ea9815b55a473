"""Tests that each request that was read gets a complete response."""

from __future__ import annotations

import asyncio
import json

import pytest

from greengagelatch_entry.relay import front
from greengagelatch_entry.relay.decisions import DecisionLog
from greengagelatch_lab.platform_standins.deployment import create_configuration
from greengagelatch_lab.platform_standins.targets import EVENTS, TargetFault
from greengagelatch_platform.targets import PlatformTargetCodec

from .test_stop import WAIT_SECONDS, connect, encode_request, hold_targets, read_answer

#: headers of a request for a stream
PROMPT = {"X_Prefix_Hash": "aa:60,bb:40", "X_Token_Counts": "100,20"}
#: header of a request that a test holds
PATIENT = {"X_Deadline_Ms": "60000"}


async def configure(world, version: int, **changes) -> None:
    """Write a configuration and wait until it is in force."""
    world.store.put("op/config", create_configuration(version, **changes))
    configuration = world.find("news")._configuration
    await world.wait_for(lambda: configuration.deployment.version == version)


async def allow_time(world) -> None:
    """Configure routes whose requests are not given up while a test holds them."""
    routes = create_configuration(timeout_ms=60_000)["routes"]
    for route in routes:
        route |= {"slo-ms": 10_000, "itl-target-ms": 10_000}
    await configure(world, 4, routes=routes)


def create_limits(
    idle_ms: int = 15_000, *, header_bytes: int = 16_384
) -> dict[str, int]:
    return {
        "max-header-bytes": header_bytes,
        "max-body-bytes": 65536,
        "header-timeout-ms": 3000,
        "idle-timeout-ms": idle_ms,
    }


@pytest.mark.parametrize("path", ["/look/1", "/book/1", "/scan/1"])
@pytest.mark.parametrize("part", ["reason", "header"])
async def test_control_characters_in_a_response_head_are_replaced(world, path, part):
    """Guards against connections that are closed without a response.

    A target answers with a control character in its reason phrase or in a header. The
    HTTP library refuses to write such a head. The fault is to take the response for
    partly sent although no byte of it was.
    """
    engine = await world.add("llm-1", "llm")
    await world.wait_until_synced(3)
    for target in (*world.targets.values(), engine):
        if part == "reason":
            target.reason = "all\x00well"
        else:
            target.more_headers["X-Note"] = "all\x01well\x7f"
    headers = {"X_Prefix_Hash": "aa:1"} if path == "/scan/1" else {}
    reply = await world.ask(path, **headers)
    assert (reply.status, reply.error) == (200, "")
    if part == "header":
        assert reply.headers["X-Note"].strip() == "all well"


async def test_raised_idle_timeout_applies_to_open_connections(world, monkeypatch):
    """Guards against requests sent on connections that the server is closing.

    A configuration raises the idle timeout, and callers keep their connections open
    for longer. The fault is to close them after the timeout that was in force when the
    listener was opened or when they were last used.
    """
    monkeypatch.setattr(front, "IDLE_MARGIN_SECONDS", 0.0)
    await configure(world, 4, limits=create_limits(1500))
    await world.parts.front.on_stop()
    await world.parts.front.on_start()
    first, first_writer = await connect(world)
    used, used_writer = await connect(world)
    used_writer.write(encode_request("before"))
    assert (await read_answer(used))[0] == 200
    await configure(world, 5, limits=create_limits(60_000))
    # longer than the former timeout
    await asyncio.sleep(1.6)
    for reader, writer in ((first, first_writer), (used, used_writer)):
        writer.write(encode_request("after"))
        assert (await read_answer(reader))[0] == 200
        writer.close()
    await configure(world, 6, limits=create_limits(50))
    reader, writer = await connect(world)
    async with asyncio.timeout(WAIT_SECONDS):
        assert await reader.read() == b""
    writer.close()


def create_changes() -> dict[str, dict]:
    """Return the fields of configurations that leave little as it was."""
    replaced = create_configuration(timeout_ms=900)
    del replaced["version"]
    kinds = {"safe": "streaming", "unsafe": "safe", "streaming": "unsafe"}
    for route in replaced["routes"]:
        route["route-kind"] = kinds[route["route-kind"]]
        route["service"] = "nobody"
        route.pop("stages", None)
    for service in replaced["services"]:
        service.pop("segments", None)
    limits = {**create_limits(100), "max-body-bytes": 1, "header-timeout-ms": 100}
    return {
        "emptied": {"routes": [], "services": [], "tenants": [], "limits": {}},
        "replaced": {**replaced, "limits": limits},
    }


def find_held(world, service: str) -> list:
    """Return the targets of a service that have received a request or a call."""
    targets = [one for one in world.targets.values() if one.service == service]
    return [one for one in targets if one.runs or one.batches]


@pytest.mark.parametrize("change", ["emptied", "replaced"])
@pytest.mark.parametrize(
    ("path", "service"),
    [
        ("/look/1", "desk"),
        ("/book/1", "desk"),
        ("/scan/1", "llm"),
        ("/draft/1", "llm"),
        ("/draft/1", "portal"),
        ("/draft/1", "ledger"),
    ],
)
async def test_request_at_a_target_is_answered_after_a_change(
    pipeline, path, service, change
):
    """Guards against requests interrupted by a new configuration.

    The request waits for a target, or for a maker of one of its stages. Meanwhile its
    route, service, workspace and key are removed, or its route is of another kind and
    leads to another service.
    """
    await pipeline.add("desk-1", "desk")
    await pipeline.wait_until_synced(7)
    await allow_time(pipeline)
    gate = hold_targets(pipeline)
    for target in pipeline.targets.values():
        if target.service != service:
            target.gate = None
    headers = dict(PATIENT)
    if service != "desk":
        headers |= PROMPT | {"X_Pieces": "1,2", "X_Piece_Key": "k"}
    pending = asyncio.create_task(pipeline.ask(path, method="POST", **headers))
    await pipeline.wait_for(lambda: find_held(pipeline, service))
    await configure(pipeline, 5, **create_changes()[change])
    gate.set()
    reply = await pending
    assert reply.error == ""
    # stages of a service without makers are refused
    assert reply.status == 200 or (reply.status == 503 and service == "portal")


@pytest.mark.parametrize("change", ["emptied", "replaced"])
async def test_stream_is_completed_after_a_change(pipeline, change):
    """Guards against streams interrupted by a new configuration."""
    await allow_time(pipeline)
    gate = asyncio.Event()
    for target in pipeline.targets.values():
        target.stream_gate = gate
    headers = PROMPT | PATIENT
    pending = asyncio.create_task(pipeline.ask("/scan/1", method="POST", **headers))
    await pipeline.wait_for(lambda: find_held(pipeline, "llm"))
    await configure(pipeline, 5, **create_changes()[change])
    gate.set()
    reply = await pending
    assert (reply.status, reply.error) == (200, "")
    assert reply.body.count(b"id: ") == EVENTS


@pytest.mark.parametrize("change", ["emptied", "replaced"])
@pytest.mark.parametrize("framing", ["length", "chunked", "continue"])
async def test_request_being_read_is_answered_after_a_change(world, change, framing):
    """Guards against a request without a response if it arrives across a change.

    Its body arrives in parts, one of them after a configuration that no longer has its
    route, and whose limits it exceeds.
    """
    head = {
        "length": "Content-Length: 6",
        "chunked": "Transfer-Encoding: chunked",
        "continue": "Expect: 100-continue\r\nContent-Length: 6",
    }[framing]
    parts = [b"abc", b"def"]
    if framing == "chunked":
        parts = [b"3\r\nabc\r\n", b"3\r\ndef\r\n0\r\n\r\n"]
    reader, writer = await connect(world)
    writer.write(encode_request("r-1", "/book/1", head))
    if framing == "continue":
        async with asyncio.timeout(WAIT_SECONDS):
            assert b" 100 " in await reader.readuntil(b"\r\n\r\n")
    writer.write(parts[0])
    await world.wait_for(lambda: world.parts.front.in_flight == 1)
    await configure(world, 4, **create_changes()[change])
    writer.write(parts[1])
    status, _ = await read_answer(reader)
    assert status in (401, 404, 503)
    writer.close()


async def test_requests_read_as_a_configuration_is_replaced_are_answered(world):
    """Guards against requests lost in the loop iteration of a change."""
    configuration = world.find("news")._configuration
    connections = [await connect(world) for _ in range(4)]
    front = world.parts.front
    await world.wait_for(lambda: len(front._connections) == len(connections))
    for version, fields in enumerate(create_changes().values(), start=4):
        value = json.dumps(create_configuration(version, **fields)).encode()
        for number, connection in enumerate(front._connections._server.connections):
            if number == 2:
                configuration.apply(value, configuration.revision + 1, "store")
            # two requests on each connection
            connection.data_received(encode_request("r-1") + encode_request("r-2"))
        for reader, _ in connections:
            for _ in range(2):
                assert (await read_answer(reader))[0] in (200, 404, 503)
    for _, writer in connections:
        writer.close()


@pytest.mark.parametrize("event", ["drain", "leave", "evacuate", "reuse", "restart"])
@pytest.mark.parametrize("path", ["/look/1", "/book/1", "/scan/1", "/draft/1"])
async def test_request_is_completed_by_a_target_that_leaves(pipeline, path, event):
    """Guards against requests interrupted because their target is no longer listed.

    It drains, is removed, is evacuated, restarts under its id, or its address is given
    to a target of another service. The process goes on until the request is complete.
    """
    await pipeline.add("desk-1", "desk")
    await pipeline.wait_until_synced(7)
    await allow_time(pipeline)
    gate = asyncio.Event()
    service = "desk" if path in ("/look/1", "/book/1") else "llm"
    for target in pipeline.targets.values():
        if target.service == "desk":
            target.gate = gate
        target.stream_gate = gate
    headers = PATIENT | ({} if service == "desk" else PROMPT)
    pending = asyncio.create_task(pipeline.ask(path, method="POST", **headers))
    await pipeline.wait_for(lambda: find_held(pipeline, service))
    (target,) = find_held(pipeline, service)
    store, name = pipeline.store, target.target_id
    match event:
        case "drain":
            target.register(store, state="draining")
        case "leave":
            store.remove(f"servers/{name}")
        case "evacuate":
            pipeline.evacuate("north")
        case "reuse":
            store.remove(f"servers/{name}")
            store.put("servers/other", {**target.describe(), "service": "portal"})
        case "restart":
            await target.restart(store, cut=False)
    revision = store.put("op/other", {})
    await pipeline.wait_for_revision(revision)
    gate.set()
    reply = await pending
    assert (reply.status, reply.error) == (200, "")
    if service == "llm":
        assert reply.body.count(b"id: ") == EVENTS


async def test_raised_header_limit_applies_to_new_connections(world):
    """Guards against refusals of requests that are within the limits.

    The fault is to apply the limit that was in force when the listener was opened.
    """
    long_header = "X-Note: " + 20_000 * "a"
    for version, limit in ((4, 16_384), (5, 32_768)):
        await configure(world, version, limits=create_limits(header_bytes=limit))
        reader, writer = await connect(world)
        writer.write(encode_request("r-1", "/look/1", long_header))
        expected = 400 if limit < len(long_header) else 200
        assert (await read_answer(reader))[0] == expected
        writer.close()


@pytest.mark.parametrize("path", ["/look/1", "/book/1", "/scan/1", "/draft/1"])
async def test_target_that_hangs_in_an_error_response(pipeline, path):
    """Guards against requests without a response after their deadline.

    A target sends the head of an error response and only a part of its body. The fault
    is to read the body without a timeout.
    """
    await pipeline.add("desk-1", "desk")
    await pipeline.wait_until_synced(7)
    for target in pipeline.targets.values():
        target.fault = TargetFault.HANG_IN_ERROR
    headers = PROMPT if path in ("/scan/1", "/draft/1") else {}
    async with asyncio.timeout(WAIT_SECONDS):
        reply = await pipeline.ask(path, method="POST", X_Deadline_Ms="500", **headers)
    assert (reply.status, reply.error) in ((502, ""), (504, ""))


@pytest.mark.parametrize("path", ["/look/1", "/book/1", "/scan/1", "/draft/1"])
async def test_connection_header_of_a_target_is_not_text(pipeline, path):
    """Guards against requests that wait for ever for the result of a stage.

    A response to a call for a stage has a ``Connection`` header that is not UTF-8, and
    the error in decoding it ends the call without a result.
    """
    await pipeline.add("desk-1", "desk")
    await pipeline.wait_until_synced(7)
    for target in pipeline.targets.values():
        target.more_headers["Connection"] = "\udcff"
    headers = PROMPT | {"X_Pieces": "1,2", "X_Piece_Key": "k"}
    async with asyncio.timeout(WAIT_SECONDS):
        reply = await pipeline.ask(
            path, method="POST", **(headers if path in ("/scan/1", "/draft/1") else {})
        )
    assert (reply.status, reply.error) == (200, "")


@pytest.mark.parametrize("path", ["/scan/1", "/draft/1"])
async def test_stream_whose_event_id_is_very_long(pipeline, path):
    """Guards against streams that are interrupted by an id that is not a number.

    Python decodes no number of more than 4,300 digits.
    """
    first = b"id: " + 5000 * b"9" + b"\ndata: piece 1\n\n"
    for target in pipeline.targets.values():
        target.first_event = first
    reply = await pipeline.ask(path, method="POST", **PROMPT)
    assert (reply.status, reply.error) == (200, "")
    assert reply.body.startswith(first)
    assert reply.body.count(b"id: ") == EVENTS


async def test_unexpected_error_in_a_call_for_a_stage(pipeline, monkeypatch):
    """Guards against requests that wait for ever for the result of a stage.

    The fault is to let an error end the task of a call, so that its pieces are neither
    made nor failed.
    """
    read_pieces = PlatformTargetCodec.read_pieces
    errors = iter([RuntimeError("first"), RuntimeError("second")])

    def fail_at_first(self, *arguments):
        error = next(errors, None)
        if error is not None:
            raise error
        return read_pieces(self, *arguments)

    monkeypatch.setattr(PlatformTargetCodec, "read_pieces", fail_at_first)
    async with asyncio.timeout(WAIT_SECONDS):
        reply = await pipeline.stream(X_Deadline_Ms="15000")
    assert (reply.status, reply.error) == (200, "")


async def test_error_after_a_response_does_not_abort_the_connection(world, monkeypatch):
    """Guards against responses that are cut off by an error after they were written.

    Logging a request fails while the end of its response may still be buffered. The
    fault is to abort the connection, as if the response were incomplete.
    """
    log_decision = DecisionLog.log_decision

    def fail_for_requests(self, kind, **fields):
        if kind == "request":
            raise RuntimeError("not a field")
        log_decision(self, kind, **fields)

    monkeypatch.setattr(DecisionLog, "log_decision", fail_for_requests)
    reader, writer = await connect(world)
    for number in range(2):
        writer.write(encode_request(f"r-{number}"))
        assert (await read_answer(reader))[0] == 200
    writer.close()


#: requests that wait for silent targets at the same time
CROWD = 8


async def endure_silence(world, requests: list[asyncio.Task]) -> None:
    """Wait until each request has outlasted its soft timeout, then end all silences."""
    count = world.count("decisions.silence")
    await world.wait_for(
        lambda: (
            world.count("decisions.silence") >= count + len(requests)
            or any(one.done() for one in requests)
        )
    )
    for target in world.targets.values():
        target.silences.clear()
        target.resume()


@pytest.mark.parametrize("path", ["/look/1", "/draft/1"])
async def test_requests_outlast_silences_of_all_targets_of_a_service(pipeline, path):
    """Guards against requests given up as no target of their service answers.

    The targets fall silent twice, before their answers and in the middle of streams.
    """
    await pipeline.add("desk-1", "desk")
    await pipeline.add("desk-2", "desk")
    await pipeline.wait_until_synced(8)
    await pipeline.extend_timeouts()
    for target in pipeline.targets.values():
        target.silences = [0] * 4 * CROWD
    headers = PROMPT if path == "/draft/1" else {}
    requests = [
        asyncio.create_task(pipeline.ask(path, method="POST", **headers))
        for _ in range(CROWD)
    ]
    await endure_silence(pipeline, requests)
    if path == "/draft/1":
        for target in pipeline.targets.values():
            target.silences = [2] * 4 * CROWD
        await endure_silence(pipeline, requests)
    for request in requests:
        reply = await request
        assert (reply.status, reply.error) == (200, "")
        if path == "/draft/1":
            assert reply.body.count(b"id: ") == EVENTS


@pytest.mark.parametrize("path", ["/book/1", "/scan/1"])
async def test_requests_that_may_run_once_outlast_a_silence(pipeline, path):
    """Guards against requests that wait for a silent target, but not long enough."""
    await pipeline.add("desk-1", "desk")
    await pipeline.wait_until_synced(7)
    await pipeline.extend_timeouts()
    places = [0] if path == "/book/1" else [0, 2]
    for target in pipeline.targets.values():
        target.silences = list(places)
    headers = PROMPT if path == "/scan/1" else {}
    held = asyncio.create_task(pipeline.ask(path, method="POST", **headers))
    for _ in places:
        await pipeline.wait_for(
            lambda: any(one.silent for one in pipeline.targets.values())
        )
        await asyncio.sleep(1.5)
        for target in pipeline.targets.values():
            target.resume()
    reply = await held
    assert (reply.status, reply.error) == (200, "")
    received = sum(len(one.received) for one in pipeline.targets.values())
    assert received == 1


async def test_stream_outlasts_the_silence_of_all_makers(pipeline):
    """Guards against requests refused as calls to silent makers time out."""
    await pipeline.extend_timeouts()
    gate = asyncio.Event()
    makers = [one for one in pipeline.targets.values() if one.service != "llm"]
    for maker in makers:
        maker.gate = gate
    held = asyncio.create_task(pipeline.stream())
    await pipeline.wait_for(lambda: any(maker.batches for maker in makers))
    await asyncio.sleep(1.2)
    gate.set()
    reply = await held
    assert (reply.status, reply.error) == (200, "")


@pytest.mark.parametrize("path", ["/look/1", "/book/1"])
async def test_request_outlasts_a_silent_link_to_its_target(fleet, path):
    """Guards against requests on idle connections whose target has fallen silent."""
    instance = fleet.instances[0]
    await instance.extend_timeouts()
    for target in fleet.targets.values():
        if target.service == "desk" and target.target_id != "desk-north-1":
            target.register(fleet.store, state="draining")
    await instance.wait_for(lambda: not instance.accepts("desk-north-2"))
    for _ in range(2):
        assert (await instance.ask("/look/1")).status == 200
    assert instance.find_connections().count_idle()
    instance.links.pause("desk-north-1")
    held = asyncio.create_task(instance.ask(path, method="POST", body=b"x" * 50_000))
    await asyncio.sleep(1.5)
    instance.links.resume("desk-north-1")
    assert (await held).status == 200


@pytest.mark.parametrize("event", ["drain", "leave", "replaced"])
@pytest.mark.parametrize("path", ["/look/1", "/book/1", "/scan/1", "/draft/1"])
async def test_change_beside_a_silence_interrupts_no_request(pipeline, path, event):
    """Guards against requests that end as a target leaves while it is silent.

    The same for a new configuration, with another service for the route.
    """
    await pipeline.add("desk-1", "desk")
    await pipeline.wait_until_synced(7)
    await pipeline.extend_timeouts()
    service = "desk" if path in ("/look/1", "/book/1") else "llm"
    for target in pipeline.targets.values():
        target.silences = [0 if service == "desk" else 2]
    headers = {} if service == "desk" else PROMPT
    held = asyncio.create_task(pipeline.ask(path, method="POST", **headers))
    await pipeline.wait_for(lambda: find_held(pipeline, service))
    (target,) = find_held(pipeline, service)
    await pipeline.wait_for(lambda: target.silent)
    match event:
        case "drain":
            target.register(pipeline.store, state="draining")
        case "leave":
            pipeline.store.remove(f"servers/{target.target_id}")
        case "replaced":
            await configure(pipeline, 10, **create_changes()[event])
    revision = pipeline.store.put("op/other", {})
    await pipeline.wait_for_revision(revision)
    # longer than the soft timeouts
    await asyncio.sleep(1.7)
    for one in pipeline.targets.values():
        one.silences.clear()
        one.resume()
    reply = await held
    assert (reply.status, reply.error) == (200, "")
    if service == "llm":
        assert reply.body.count(b"id: ") == EVENTS
