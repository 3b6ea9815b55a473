"""Calls to targets that answer late, crossed, in part or not at all."""

from __future__ import annotations

import asyncio
import random
from contextlib import asynccontextmanager
from dataclasses import replace

import pytest
from result import Ok

from greengagelatch.clock import ManualClock, SystemClock
from greengagelatch.config.objects import StageKind
from greengagelatch.targets import FailureKind, StageCall, Target
from greengagelatch.verdict import Verdict
from greengagelatch_entry.adapters.targets import HttpTargetClient, TargetLimits
from greengagelatch_entry.metrics import Metrics
from greengagelatch_lab.standins.raw import (
    STREAM_HEAD,
    RawServer,
    encode_answer,
    encode_end,
    encode_token,
)
from greengagelatch_lab.waiting import wait_until

LIMITS = TargetLimits(connect_timeout=5.0, gap_timeout=0.2, stall_timeout=0.2)
TOKENS = ("spindle ", "two ", "at ", "nine")


@asynccontextmanager
async def open_client(limits=LIMITS, clock=None):
    client = HttpTargetClient(
        clock=clock or SystemClock(),
        random_source=random.Random(3),
        metrics=Metrics("127.0.0.1:9"),
        limits=limits,
    )
    try:
        yield client
    finally:
        await client.close()


def create_call(number=1, **fields):
    values = {
        "attempt_id": f"attempt-{number}",
        "request_id": f"request-{number}",
        "workspace": "metro-east",
        "pipeline": "booking",
        "stage": "book",
        "kind": StageKind.PLAIN,
        "input": {"set": 4},
        "repeatable": True,
        "deadline": SystemClock().now() + 10,
    }
    return StageCall(**values | fields)


def find_target(server):
    return Target("target-0", "lathe-desk", "tutuban-hall", server.address)


def describe(call, **fields):
    ids = {name: call[name] for name in ("attempt", "request", "stage")}
    return ids | {"output": call["attempt"], "cost_ms": 3} | fields


async def serve(connection):
    """Answer every call as it should be."""
    while True:
        call = await connection.read_request()
        await connection.send(encode_answer(describe(call)))


async def run_one(script, call=None, limits=LIMITS):
    """Return the result of one call to a server with ``script``, and the server."""
    async with RawServer(script) as server, open_client(limits) as client:
        result = await client.call(find_target(server), call or create_call())
        return result, server


async def test_call_on_a_dropped_kept_connection_is_not_sent_twice():
    """A coach set was listed on two lathes at once.

    Sequence: a connection is kept alive; the target takes the next call from it
    and drops it without an answer. Cause: the HTTP client sent the call again.
    """
    received = []

    async def script(connection):
        call = await connection.read_request()
        received.append(call["attempt"])
        await connection.send(encode_answer(describe(call)))
        call = await connection.read_request()
        received.append(call["attempt"])
        connection.reset()

    async with RawServer(script) as server, open_client() as client:
        target = find_target(server)
        first = await client.call(target, create_call(1))
        assert first.ok_value.output == "attempt-1"
        second = await client.call(target, create_call(2))
        assert second.err_value.kind is FailureKind.DISCONNECTED
        assert second.err_value.verdict is Verdict.MAY_HAVE_RUN
        assert server.accepted == 1
    assert received == ["attempt-1", "attempt-2"]


async def test_redirect_is_not_followed():
    """A hold reached a target that nobody had chosen, beside the one chosen."""
    received = []

    async def script(connection):
        received.append(await connection.read_request())
        headers = "Location: /call\r\n"
        await connection.send(
            encode_answer({}, status="307 Temporary Redirect", headers=headers)
        )
        await serve(connection)

    result, _ = await run_one(script)
    assert result.err_value.kind is FailureKind.TARGET_ERROR
    assert len(received) == 1


async def test_refused_connection_proves_that_nothing_ran():
    async with RawServer(serve) as server:
        target = find_target(server)
    async with open_client() as client:
        result = await client.call(target, create_call(repeatable=False))
    assert result.err_value.kind is FailureKind.CONNECT
    assert result.err_value.verdict is Verdict.NOT_RUN


async def test_no_byte_is_sent_before_the_call_counts_as_sent(monkeypatch):
    """A request was refused as "not run" although its target had it.

    Sequence: the connection opens, the call is cut. Cause: the HTTP client wrote
    the headers before it asked for the body, whose writing marks the call as sent.
    """
    received = bytearray()
    ended = asyncio.Event()

    async def script(connection):
        while data := await connection.reader.read(1000):
            received.extend(data)
        ended.set()

    def refuse(attempt):
        raise ConnectionError("stopped before the first byte")

    monkeypatch.setattr(
        "greengagelatch_entry.adapters.targets._Attempt.record_sending", refuse
    )
    async with RawServer(script) as server, open_client() as client:
        result = await client.call(find_target(server), create_call())
        await ended.wait()
    assert result.err_value.verdict is Verdict.NOT_RUN
    assert not received


@pytest.mark.parametrize("field", ["attempt", "request", "stage"])
async def test_answer_of_another_call_is_not_taken(field):
    """A member read another member's booking.

    Sequence: the target mixes up two answers. Cause: whatever came back on the
    connection was taken for the answer.
    """

    async def script(connection):
        call = await connection.read_request()
        answer = describe(call, **{field: "other"})
        await connection.send(encode_answer(answer))
        await connection.hold()

    result, _ = await run_one(script)
    assert result.err_value.kind is FailureKind.MISMATCHED
    assert result.err_value.verdict is Verdict.MAY_HAVE_RUN


async def test_late_answer_left_on_a_connection_reaches_nobody():
    """A caller was given the answer to the call before its own.

    Sequence: a target sends a second answer to a call whose first one was taken;
    it waits in the kept connection and is read as the answer to the next call.
    Cause: the connection was used again after bytes that belong to no call.
    """

    async def script(connection):
        if connection.number > 0:
            await serve(connection)
        call = await connection.read_request()
        await connection.send(encode_answer(describe(call)))
        await asyncio.sleep(0.05)
        await connection.send(encode_answer(describe(call)))
        late.set()
        await connection.hold()

    late = asyncio.Event()
    async with RawServer(script) as server, open_client() as client:
        target = find_target(server)
        await client.call(target, create_call(1))
        await late.wait()
        second = await client.call(target, create_call(2))
        if not isinstance(second, Ok):
            assert second.err_value.kind is FailureKind.MISMATCHED
            second = await client.call(target, create_call(2))
        assert second.ok_value.output == "attempt-2"
        assert server.accepted == 2


@pytest.mark.parametrize(
    ("fields", "kind", "verdict"),
    [
        ({"attempt": "attempt-1"}, FailureKind.TARGET_REFUSED, Verdict.NOT_RUN),
        ({"attempt": "attempt-9"}, FailureKind.MISMATCHED, Verdict.MAY_HAVE_RUN),
        ({}, FailureKind.TARGET_ERROR, Verdict.MAY_HAVE_RUN),
    ],
)
async def test_only_a_refusal_of_this_very_attempt_proves_not_run(
    fields, kind, verdict
):
    """A hold was doubled after a refusal that was meant for another call."""

    async def script(connection):
        await connection.read_request()
        refusal = {"not_run": True, "retry_after_ms": 40} | fields
        await connection.send(encode_answer(refusal, status="503 Service Unavailable"))
        await connection.hold()

    result, _ = await run_one(script)
    assert result.err_value.kind is kind
    assert result.err_value.verdict is verdict


@pytest.mark.parametrize("repeatable", [True, False])
async def test_silent_connection_is_left_at_once(repeatable):
    """Call after call was lost to one target that answered others at once.

    Sequence: something between the two ends forgets the open connections. Cause:
    each call was put on the next silent one. A call that may not be repeated must
    not be put on a kept connection at all.
    """
    silent = 3

    async def script(connection):
        while True:
            call = await connection.read_request()
            if call["input"] == "warm":
                await gate.wait()
            elif connection.number < silent:
                await connection.hold()
            await connection.send(encode_answer(describe(call)))

    gate = asyncio.Event()
    limits = replace(LIMITS, stall_timeout=0.6)
    async with RawServer(script) as server, open_client(limits) as client:
        target = find_target(server)
        warm = [
            asyncio.create_task(client.call(target, create_call(n, input="warm")))
            for n in range(silent)
        ]
        await wait_until(lambda: server.accepted == silent, what="connections open")
        gate.set()
        await asyncio.gather(*warm)
        first = await client.call(target, create_call(7, repeatable=repeatable))
        if repeatable:
            assert first.err_value.kind is FailureKind.STALLED
            assert first.err_value.verdict is Verdict.MAY_HAVE_RUN
            first = await client.call(target, create_call(8))
        assert isinstance(first, Ok)
        assert server.accepted == silent + 1


async def test_kept_connections_are_replaced_by_age():
    clock = ManualClock()
    limits = replace(LIMITS, max_age=60.0)
    async with RawServer(serve) as server, open_client(limits, clock) as client:
        target = find_target(server)
        for _ in range(3):
            call = create_call(deadline=clock.now() + 10)
            assert isinstance(await client.call(target, call), Ok)
        assert server.accepted == 1
        clock.advance(60.0 * 1.3)
        call = create_call(deadline=clock.now() + 10)
        assert isinstance(await client.call(target, call), Ok)
        assert server.accepted == 2


async def test_answer_without_end_is_bounded():
    """The process ran out of memory on one broken target."""

    async def script(connection):
        await connection.read_request()
        await connection.send(b"HTTP/1.1 200 OK\r\n\r\n")
        while True:
            await connection.send(b"x" * 65_536)

    limits = replace(LIMITS, max_answer_bytes=1_000_000)
    result, _ = await run_one(script, limits=limits)
    assert result.err_value.kind is FailureKind.TARGET_ERROR
    assert result.err_value.message == "answer exceeds 1000000 bytes"


@pytest.mark.parametrize(
    "body",
    [
        b"not json",
        b"[]",
        b"[" * 5000,
        b'{"attempt":"attempt-1","request":"request-1","stage":"book"}',
    ],
)
async def test_unreadable_answer_is_a_failure_of_the_target(body):
    async def script(connection):
        await connection.read_request()
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
        await connection.send(head.encode() + body)

    result, _ = await run_one(script)
    assert result.err_value.kind in (FailureKind.TARGET_ERROR, FailureKind.MISMATCHED)
    assert result.err_value.verdict is Verdict.MAY_HAVE_RUN


def encode_stream(call):
    """Return the events of a whole stream from where it is to be resumed."""
    events = []
    for offset in range(call["resume_at"], len(TOKENS)):
        events.append(encode_token(call, offset, TOKENS[offset]))
    return [*events, encode_end(call, TOKENS)]


def create_stream_call(**fields):
    return create_call(kind=StageKind.GENERATE, stream=True, **fields)


async def run_stream(change, call=None):
    """Return the result of a stream whose events ``change`` may alter, and tokens."""
    given = []

    async def script(connection):
        request = await connection.read_request()
        await connection.send(STREAM_HEAD)
        for event in change(request, encode_stream(request)):
            if event is None:
                await connection.hold()
            await connection.send(event)

    async with RawServer(script) as server, open_client() as client:
        result = await client.call(
            find_target(server),
            call or create_stream_call(),
            lambda *token: given.append(token),
        )
    return result, given


async def test_whole_stream_in_pieces():
    def split(request, events):
        whole = b"".join(events)
        return [whole[at : at + 7] for at in range(0, len(whole), 7)]

    result, given = await run_stream(split)
    assert result.ok_value.output == "".join(TOKENS)
    assert given == list(enumerate(TOKENS))


async def test_resumed_stream_is_checked_as_a_whole():
    call = create_stream_call(resume_at=2, received=TOKENS[:2])
    result, given = await run_stream(lambda request, events: events, call)
    assert result.ok_value.tokens == TOKENS
    assert given == list(enumerate(TOKENS))[2:]
    wrong = create_stream_call(resume_at=2, received=("spindle ", "three "))
    result, _ = await run_stream(lambda request, events: events, wrong)
    assert result.err_value.kind is FailureKind.DISCONNECTED


@pytest.mark.parametrize(
    ("change", "kind"),
    [
        pytest.param(lambda r, e: e[:-1], FailureKind.DISCONNECTED, id="no end"),
        pytest.param(lambda r, e: [e[0], *e[2:]], FailureKind.DISCONNECTED, id="gap"),
        pytest.param(lambda r, e: [e[0], *e], FailureKind.DISCONNECTED, id="repeated"),
        pytest.param(
            lambda r, e: [*e[:4], encode_end(r, (*TOKENS, ""))],
            FailureKind.DISCONNECTED,
            id="count",
        ),
        pytest.param(
            lambda r, e: [*e[:4], encode_end(r, ("x",) * 4)],
            FailureKind.DISCONNECTED,
            id="digest",
        ),
        pytest.param(
            lambda r, e: [*e[:2], encode_token(r | {"attempt": "attempt-9"}, 2, "x")],
            FailureKind.MISMATCHED,
            id="crossed",
        ),
        pytest.param(lambda r, e: [*e[:2], None], FailureKind.STALLED, id="silent"),
        pytest.param(lambda r, e: [None], FailureKind.STALLED, id="only a head"),
    ],
)
async def test_broken_stream_is_not_taken_for_a_whole_one(change, kind):
    """A draft that ended in the middle of a sentence was delivered as whole.

    Sequence: the stream ends, skips, repeats or goes silent. Cause: the end of the
    connection was taken for the end of the answer.
    """
    result, given = await run_stream(change)
    assert result.err_value.kind is kind
    ran = Verdict.RAN if given else Verdict.MAY_HAVE_RUN
    assert result.err_value.verdict is ran
    assert given == list(enumerate(TOKENS))[: len(given)]
    assert result.err_value.tokens == TOKENS[: len(given)]


async def test_deadline_is_kept_while_the_target_works():
    async def script(connection):
        await connection.read_request()
        await connection.hold()

    limits = replace(LIMITS, stall_timeout=60.0)
    call = create_call(deadline=SystemClock().now() + 0.1)
    result, _ = await run_one(script, call, limits)
    assert result.err_value.kind is FailureKind.DEADLINE
    assert result.err_value.verdict is Verdict.MAY_HAVE_RUN


async def test_patience_ends_a_call_before_its_deadline():
    """A draft stayed with a silent engine until its deadline.

    Sequence: the engine takes the call and gives no token. Cause: only the client's
    own limit on silence was heeded, which is longer than most deadlines.
    """

    async def script(connection):
        await connection.read_request()
        await connection.hold()

    limits = replace(LIMITS, stall_timeout=60.0)
    call = create_stream_call(first_byte_timeout=0.1)
    result, _ = await run_one(script, call, limits)
    assert result.err_value.kind is FailureKind.STALLED


async def test_leaving_is_heard_from_answers_and_refusals():
    async def script(connection):
        call = await connection.read_request()
        headers = "X-Target-State: leaving\r\n"
        status = "200 OK" if call["attempt"] == "attempt-1" else "500 Broken"
        await connection.send(
            encode_answer(describe(call), status=status, headers=headers)
        )

    result, _ = await run_one(script)
    assert result.ok_value.leaving
    result, _ = await run_one(script, create_call(2))
    assert result.err_value.leaving


async def test_cancel_is_sent_on_a_connection_of_its_own():
    received = []

    async def script(connection):
        received.append(await connection.read_request())
        await connection.send(encode_answer({"cancelled": True}))

    async with RawServer(script) as server, open_client() as client:
        assert await client.cancel(find_target(server), "attempt-1")
        assert received == [{"attempt": "attempt-1"}]
    async with open_client() as client:
        assert not await client.cancel(find_target(server), "attempt-1")
