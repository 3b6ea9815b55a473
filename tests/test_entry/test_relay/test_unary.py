"""Tests of greengagelatch_entry.relay.unary on an instance."""

from __future__ import annotations

import asyncio
import gzip
import json

import pytest

from greengagelatch_entry.relay.brittle_admission import BrittleAdmission
from greengagelatch_entry.relay.route_latencies import RouteLatencies
from greengagelatch_entry.relay.target_dialers import DirectDialer
from greengagelatch_lab.platform_standins.deployment import create_configuration
from greengagelatch_lab.platform_standins.targets import SimulatedTarget, TargetFault


def set_fault(world, fault: TargetFault) -> None:
    for target in world.targets.values():
        target.fault = fault


def count_runs(world, request_id: str) -> int:
    return sum(target.runs[request_id] for target in world.targets.values())


def list_breakers(world) -> list[str]:
    return [one["breaker"] for one in world.describe()["targets"].values()]


async def test_response_is_forwarded_unchanged(world):
    reply = await world.ask("/look/1?a=%2F&&b", request_id="r-1")
    assert reply.status == 200
    assert reply.body == b"answer to r-1 "
    assert reply.headers["X-Replica-Signature"].startswith("signed-by-desk-")
    seen = [one for target in world.targets.values() for one in target.received]
    assert seen[0].target == "/look/1?a=%2F&&b"


@pytest.mark.parametrize(
    ("encoding", "body"),
    [
        ("gzip", gzip.compress(b"prompt", mtime=0)),
        ("gzip", b"not gzip"),
        ("br", b"prompt"),
    ],
    ids=["gzip", "invalid", "unknown"],
)
async def test_encoded_request_body_is_forwarded_unchanged(world, encoding, body):
    """Guards against bodies that are decompressed on the way to a target.

    Their header still announces the encoding. Bodies in an encoding that the HTTP
    library does not know would be refused.
    """
    headers = {"Content_Encoding": encoding, "Content_Length": str(len(body))}
    reply = await world.ask("/book/1", method="POST", body=body, **headers)
    assert reply.status == 200
    (seen,) = [one for target in world.targets.values() for one in target.received]
    assert seen.headers["content-encoding"] == encoding
    assert seen.body == body


async def test_system_sets_its_own_headers(world):
    """Guards against callers that set headers reserved for the system.

    Forwarded as received, these would select another workspace or control the memory
    of a target.
    """
    await world.ask(
        "/look/1",
        X_Tenant="south",
        X_Hold="h-1",
        X_Pin_Ms="100",
        Kv_From="10.0.0.1:80/h",
        X_Expected_Replica="other",
        Connection="keep-alive, X-Private",
        X_Private="1",
        X_Other="kept",
    )
    headers = next(one for t in world.targets.values() for one in t.received).headers
    assert headers["x-tenant"] == "north"
    assert headers["x-expected-replica"] in world.targets
    assert headers["x-other"] == "kept"
    assert 0 < int(headers["x-deadline-ms"]) <= 2000
    for name in ("authorization", "x-hold", "x-pin-ms", "kv-from", "x-private"):
        assert name not in headers


@pytest.mark.parametrize(
    "fault",
    [
        TargetFault.LOSE_ANSWER,
        TargetFault.TRUNCATE,
        TargetFault.UNFRAMED_RESET,
        TargetFault.FOREIGN,
    ],
)
async def test_non_idempotent_request_with_a_lost_response_runs_once(world, fault):
    """Guards against running a non-idempotent request twice.

    The target runs the request, but its response is lost, truncated, or belongs to
    another request. The fault is to take this for proof that it did not run and to
    retry at the other target.
    """
    set_fault(world, fault)
    reply = await world.ask("/book/1", method="POST", body=b"x", request_id="b-1")
    assert reply.status == 502
    assert "Retry-After" not in reply.headers
    assert count_runs(world, "b-1") == 1


@pytest.mark.parametrize(
    "fault",
    [
        TargetFault.LOSE_ANSWER,
        TargetFault.TRUNCATE,
        TargetFault.UNFRAMED_RESET,
        TargetFault.FOREIGN,
        TargetFault.MUTE,
        TargetFault.FULL,
        TargetFault.FAIL,
    ],
)
async def test_idempotent_request_fails_over_to_the_other_target(world, fault):
    world.targets["desk-1"].fault = fault
    for number in range(4):
        reply = await world.ask("/look/1", request_id=f"s-{number}")
        assert reply.status == 200
        assert reply.body == f"answer to s-{number} ".encode()


async def test_rejection_by_all_targets_is_reported_as_not_run(world):
    set_fault(world, TargetFault.FULL)
    reply = await world.ask("/book/1", method="POST", request_id="b-1")
    assert reply.status == 503
    assert float(reply.headers["Retry-After"]) > 0
    assert count_runs(world, "b-1") == 0


async def test_error_of_a_target_is_forwarded(world):
    set_fault(world, TargetFault.FAIL)
    reply = await world.ask("/book/1", method="POST", request_id="b-1")
    assert (reply.status, reply.body) == (500, b"failed")
    assert "X-Replica-Signature" in reply.headers
    assert count_runs(world, "b-1") == 1


async def test_surplus_response_is_discarded(world):
    """Guards against returning the response of another request.

    A target sends a surplus response after a complete one. The next request on the
    connection would read it, unless leftover data prevents reuse.
    """
    set_fault(world, TargetFault.EXTRA)
    for number in range(8):
        reply = await world.ask("/look/1", request_id=f"s-{number}")
        assert reply.body == f"answer to s-{number} ".encode()


async def test_request_to_a_reused_address_is_not_run(world):
    """Guards against requests run by the wrong service.

    A target ends and its address is reassigned to a target of another service, while
    the entry of the first is still listed.
    """
    other = await world.add("other-1", "other")
    world.store.put("servers/desk-3", {**other.describe(), "service": "desk"})
    await world.wait_until_synced(4)
    for number in range(12):
        reply = await world.ask("/look/1", request_id=f"s-{number}")
        assert reply.status == 200
    assert other.runs.total() == 0


async def test_leaving_target_gets_no_requests(world):
    world.targets["desk-1"].register(world.store, state="draining")
    await world.wait_for(lambda: not world.accepts("desk-1"))
    before = world.targets["desk-1"].runs.total()
    for _ in range(6):
        assert (await world.ask("/look/1")).status == 200
    assert world.targets["desk-1"].runs.total() == before


@pytest.mark.parametrize("key", [None, "wrong", ""])
async def test_unknown_key_is_refused(world, key):
    reply = await world.ask("/look/1", key=key)
    assert reply.status == 401
    assert json.loads(reply.body)["code"] == "unauthorized"


async def test_public_route_needs_no_key(world):
    assert (await world.ask("/open/1", key=None)).status == 200


async def test_unknown_path_is_not_found(world):
    assert (await world.ask("/nowhere/1")).status == 404


async def test_revoked_key_is_refused(world):
    configuration = world.find("news")._configuration
    before = configuration.revision
    world.store.put("op/config", create_configuration(9, keys=("another",)))
    await world.wait_for(lambda: configuration.revision > before)
    assert (await world.ask("/look/1")).status == 401
    assert (await world.ask("/look/1", key="another")).status == 200


async def test_oversized_body_is_refused(world):
    reply = await world.ask("/book/1", method="POST", body=b"x" * 70_000)
    assert reply.status == 413
    assert json.loads(reply.body)["field"] == "body"


@pytest.mark.parametrize(
    ("name", "value"),
    [("X-Deadline-Ms", "soon"), ("X-Deadline-Ms", "nan"), ("Last-Event-Id", "x")],
)
async def test_malformed_header_is_named(world, name, value):
    reply = await world.ask("/look/1", **{name.replace("-", "_"): value})
    fields = json.loads(reply.body)
    assert reply.status == 400
    assert (fields["field"], fields["value"]) == (name.lower(), value)


async def test_request_outlasts_the_silence_of_a_target_without_a_retry(frugal_world):
    """Guards against requests given up at a silent target that would have answered.

    A safe request was given up after its latency objective, before it was known that
    the retry budget was spent.
    """
    world = frugal_world
    await world.extend_timeouts()
    for target in world.targets.values():
        target.silences = [0, 0]
    # there is one retry for both
    requests = {
        name: asyncio.create_task(world.ask("/look/1", request_id=name))
        for name in ("s-1", "s-2")
    }
    await world.wait_for(
        lambda: (
            world.count("decisions.silence") >= 2
            or any(one.done() for one in requests.values())
        )
    )
    for target in world.targets.values():
        target.silences.clear()
        target.resume()
    for name, request in requests.items():
        reply = await request
        assert (reply.status, reply.body) == (200, f"answer to {name} ".encode())
    assert sum(count_runs(world, name) for name in requests) == 3


async def test_request_stays_at_a_silent_target_if_a_retry_would_be_late(
    world, monkeypatch
):
    """Guards against requests that leave a silent target for a retry cut short.

    More time is left than any send needs, but less than answers of the route take.
    """
    monkeypatch.setattr(RouteLatencies, "estimate", lambda *_: (1.0, 1.0))
    for target in world.targets.values():
        target.silences = [0]
    held = asyncio.create_task(
        world.ask("/look/1", request_id="s-1", X_Deadline_Ms="1300")
    )
    await world.wait_for(lambda: count_runs(world, "s-1"))
    (first,) = [one for one in world.targets.values() if one.runs]
    await world.wait_for_silence(held)
    first.resume()
    reply = await held
    assert (reply.status, reply.body) == (200, b"answer to s-1 ")
    assert count_runs(world, "s-1") == 1


async def leave_one_target(world):
    """Return the only target that is left of two."""
    left, other = world.targets.values()
    other.register(world.store, state="draining")
    await world.wait_for(lambda: not world.accepts(other.target_id))
    return left


async def test_request_at_a_target_that_never_answers_ends_at_its_deadline(world):
    target = await leave_one_target(world)
    target.fault = TargetFault.MUTE
    reply = await world.ask("/look/1", request_id="s-1", X_Deadline_Ms="1200")
    assert reply.status == 504
    assert json.loads(reply.body)["verdict"] == "may-have-run"
    assert world.count("decisions.silence") == 1
    assert count_runs(world, "s-1") == 1


async def test_silent_target_is_left_by_a_request_whose_caller_leaves(world):
    """Guards against requests that wait for a silent target on behalf of nobody."""
    target = await leave_one_target(world)
    target.silences = [0]
    await world.extend_timeouts()
    held = asyncio.create_task(world.ask("/look/1"))
    await world.wait_for_silence(held)
    held.cancel()
    await world.wait_for(lambda: world.count("requests.cancelled") == 1)
    target.resume()
    assert (await world.ask("/look/1")).status == 200


async def test_target_is_set_aside_for_new_requests_while_others_wait_for_it(world):
    """Guards against new requests sent to a target that is known to be silent."""
    silent = await leave_one_target(world)
    silent.silences = [0, 0]
    await world.extend_timeouts()
    held = [asyncio.create_task(world.ask("/look/1")) for _ in range(2)]
    await world.wait_for(lambda: world.count("decisions.silence") >= 2)
    assert "open" in list_breakers(world) or "probing" in list_breakers(world)
    silent.silences.clear()
    silent.resume()
    for request in held:
        assert (await request).status == 200


async def test_ejected_target_that_is_full_is_used_again(world):
    """Guards against a sound target that stays ejected as its probes find it full.

    A target that rejects a request has answered. The next probe would be sent only
    after another ejection time, and at a busy target find it full again.
    """
    full = await leave_one_target(world)
    full.silences = [0, 0]
    await world.extend_timeouts()
    held = [asyncio.create_task(world.ask("/look/1")) for _ in range(2)]
    await world.wait_for(lambda: world.count("decisions.silence") >= 2)
    full.silences.clear()
    full.resume()
    await asyncio.gather(*held)
    await world.wait_for(lambda: "probing" in list_breakers(world))
    full.fault = TargetFault.FULL
    assert (await world.ask("/look/1")).status == 503
    assert list_breakers(world) == ["closed"]


async def test_slow_dial_is_no_silence_of_the_target(world, monkeypatch):
    """Guards against targets that are left as soon as a request was sent to them.

    Opening the connection takes longer than the soft timeout of the request.
    """
    gate = asyncio.Event()
    for target in world.targets.values():
        target.gate = gate
    dial = DirectDialer.dial

    async def dial_slowly(*arguments):
        await asyncio.sleep(0.6)
        return await dial(*arguments)

    monkeypatch.setattr(DirectDialer, "dial", dial_slowly)
    await world.extend_timeouts()
    held = asyncio.create_task(world.ask("/look/1", request_id="s-1"))
    await world.wait_for(lambda: count_runs(world, "s-1"))
    # shorter than the soft timeout
    await asyncio.sleep(0.1)
    gate.set()
    assert (await held).status == 200
    assert count_runs(world, "s-1") == 1
    assert world.count("decisions.send") == 0


async def hold_at_silent_target(world) -> tuple[asyncio.Task, SimulatedTarget]:
    """Send a request to the first of several silent targets; return both."""
    for target in world.targets.values():
        target.silences = [0]
    held = asyncio.create_task(world.ask("/look/1", request_id="s-1"))
    await world.wait_for(lambda: count_runs(world, "s-1"))
    (silent,) = [one for one in world.targets.values() if one.silent]
    return held, silent


async def test_request_goes_back_to_a_silent_target_if_no_other_is_reached(world):
    """Guards against leaving a silent target for one that turns out to be gone."""
    await world.extend_timeouts()
    held, silent = await hold_at_silent_target(world)
    (other,) = [one for one in world.targets.values() if one is not silent]
    await other.stop()
    await world.wait_for(lambda: held.done() or silent.runs["s-1"] == 2)
    silent.resume()
    assert (await held).status == 200


async def test_request_goes_back_to_a_silent_target_once(world):
    """Guards against a request sent to the same target again and again."""
    await world.extend_timeouts()
    held, silent = await hold_at_silent_target(world)
    (other,) = [one for one in world.targets.values() if one is not silent]
    await other.stop()
    silent.fault = TargetFault.FULL
    # its first send may have run
    assert (await held).status == 502
    assert len(silent.received) == 2


async def test_request_stays_at_a_silent_target_if_a_stop_leaves_no_time(
    world, monkeypatch
):
    """Guards against retries that are cut short by a planned stop."""
    monkeypatch.setattr(RouteLatencies, "estimate", lambda *_: (8.0, 8.0))
    monkeypatch.setattr(world.parts.drain, "_max_drain_seconds", 5.0)
    await world.extend_timeouts()
    held, silent = await hold_at_silent_target(world)
    world.parts.drain.start_drain()
    await world.wait_for_silence(held)
    silent.resume()
    assert (await held).status == 200
    assert count_runs(world, "s-1") == 1


async def test_request_stays_at_a_silent_target_if_it_had_to_wait_for_room(
    world, monkeypatch
):
    """Guards against leaving a silent target to be refused for want of room.

    The other target is brittle, and further requests wait for it.
    """
    monkeypatch.setattr(
        BrittleAdmission, "_lacks_room", lambda _, exchange, excluded: bool(excluded)
    )
    await world.extend_timeouts()
    held, silent = await hold_at_silent_target(world)
    await world.wait_for_silence(held)
    silent.resume()
    assert (await held).status == 200
    assert count_runs(world, "s-1") == 1


async def test_request_that_waits_in_vain_is_one_failure(world):
    """Guards against one request that opens the breaker of its target.

    The silence counted as a failure, and the end of the request as another one.
    """
    target = await leave_one_target(world)
    target.fault = TargetFault.MUTE
    for breaker in ("closed", "open"):
        assert (await world.ask("/look/1", X_Deadline_Ms="1200")).status == 504
        assert list_breakers(world) == [breaker]


async def test_request_leaves_a_lost_path_with_little_time_left(world, monkeypatch):
    """Guards against requests that wait for an answer on a path that is lost.

    At a silent target that can be reached they wait rather than be late elsewhere.
    """
    monkeypatch.setattr(RouteLatencies, "estimate", lambda *_: (5.0, 5.0))
    held, silent = await hold_at_silent_target(world)
    for target in world.targets.values():
        target.silences.clear()
    monkeypatch.setattr(world.find_connections(), "_is_reachable", lambda _: False)
    assert (await held).status == 200
    assert silent.silent
