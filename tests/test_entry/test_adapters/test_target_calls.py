"""Tests of calls to targets with late, mismatched, partial or missing answers."""

from __future__ import annotations

import asyncio
import random
from contextlib import asynccontextmanager
from dataclasses import replace

import aiohttp
import pytest
from result import Ok

from greengagelatch.clock import ManualClock
from greengagelatch.config.objects import StageKind
from greengagelatch.targets import FailureKind, StageCall, Target
from greengagelatch.verdict import Verdict
from greengagelatch_entry.adapters.targets import HttpTargetClient, TargetLimits
from greengagelatch_entry.metrics import Metrics
from greengagelatch_lab.stage_load.virtual_time import LoopClock
from greengagelatch_lab.standins.scripted_server import (
    STREAM_HEAD,
    ScriptedServer,
    encode_answer,
    encode_end,
    encode_token,
)
from greengagelatch_lab.waiting import wait_until

#: longer than any pause of a busy machine: tests in which time passes advance it
LIMITS = TargetLimits(connect_timeout=60.0, gap_timeout=20.0, stall_timeout=30.0)
#: seconds until the deadline of a call
DEADLINE_SECONDS = 60.0
TOKENS = ("spindle ", "two ", "at ", "nine")


class LoopTime:
    """The time of the running event loop, which tests can advance."""

    def __init__(self, loop):
        self._read = loop.time
        self._advanced = 0.0

    def __call__(self):
        return self._read() + self._advanced

    def advance(self, seconds):
        self._advanced += seconds


@pytest.fixture
async def loop_time(monkeypatch):
    loop = asyncio.get_running_loop()
    adjustable = LoopTime(loop)
    monkeypatch.setattr(loop, "time", adjustable)
    return adjustable


@asynccontextmanager
async def open_client(limits=LIMITS, clock=None):
    client = HttpTargetClient(
        clock=clock or LoopClock(),
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
        "deadline": asyncio.get_running_loop().time() + DEADLINE_SECONDS,
    }
    return StageCall(**values | fields)


def create_target(server):
    return Target("target-0", "lathe-desk", "tutuban-hall", server.address)


def create_answer(call, **fields):
    ids = {name: call[name] for name in ("attempt", "request", "stage")}
    return ids | {"output": call["attempt"], "cost_ms": 3} | fields


class Recorder:
    """A script that records what it receives until the client disconnects."""

    def __init__(self):
        self.received = bytearray()
        self.ended = asyncio.Event()

    async def __call__(self, connection):
        while data := await connection.reader.read(1000):
            self.received.extend(data)
        self.ended.set()


async def serve(connection):
    """Answer every call correctly."""
    while True:
        call = await connection.read_request()
        await connection.send(encode_answer(create_answer(call)))


async def call_once(script, call=None, limits=LIMITS):
    """Return the result of one call to a server with ``script``, and the server."""
    async with ScriptedServer(script) as server, open_client(limits) as client:
        result = await client.call(create_target(server), call or create_call())
        return result, server


async def test_call_on_a_dropped_pooled_connection_is_not_resent():
    """Guards against a call that is executed twice.

    The target reads a call from a pooled connection and drops the connection without
    an answer. The HTTP client must not resend the call.
    """
    received = []

    async def script(connection):
        call = await connection.read_request()
        received.append(call["attempt"])
        await connection.send(encode_answer(create_answer(call)))
        call = await connection.read_request()
        received.append(call["attempt"])
        connection.reset()

    async with ScriptedServer(script) as server, open_client() as client:
        target = create_target(server)
        first = await client.call(target, create_call(1))
        assert first.ok_value.output == "attempt-1"
        second = await client.call(target, create_call(2))
        assert second.err_value.kind is FailureKind.DISCONNECTED
        assert second.err_value.verdict is Verdict.MAY_HAVE_RUN
        assert server.accepted == 1
    assert received == ["attempt-1", "attempt-2"]


async def test_redirect_is_not_followed():
    """Guards against calls that are redirected to a target that was not chosen."""
    received = []

    async def script(connection):
        received.append(await connection.read_request())
        headers = "Location: /call\r\n"
        await connection.send(
            encode_answer({}, status="307 Temporary Redirect", headers=headers)
        )
        await serve(connection)

    result, _ = await call_once(script)
    assert result.err_value.kind is FailureKind.TARGET_ERROR
    assert len(received) == 1


async def test_refused_connection_proves_that_nothing_ran():
    async with ScriptedServer(serve) as server:
        target = create_target(server)
    async with open_client() as client:
        result = await client.call(target, create_call(repeatable=False))
    assert result.err_value.kind is FailureKind.CONNECT
    assert result.err_value.verdict is Verdict.NOT_RUN


async def test_call_is_recorded_as_sent_before_its_first_byte(monkeypatch):
    """Guards against the verdict "not run" for a call that its target has received.

    Writing the body marks the call as sent, so the HTTP client must not write the
    headers before it starts to write the body.
    """
    recorder = Recorder()

    def refuse(attempt):
        raise ConnectionError("stopped before the first byte")

    monkeypatch.setattr(
        "greengagelatch_entry.adapters.targets._Attempt.record_sending", refuse
    )
    async with ScriptedServer(recorder) as server, open_client() as client:
        result = await client.call(create_target(server), create_call())
        await recorder.ended.wait()
    assert result.err_value.verdict is Verdict.NOT_RUN
    assert not recorder.received


@pytest.mark.parametrize("field", ["attempt", "request", "stage"])
async def test_answer_of_another_call_is_rejected(field):
    """Guards against callers that get the result of another request.

    The target mixes up two answers.
    """

    async def script(connection):
        call = await connection.read_request()
        answer = create_answer(call, **{field: "other"})
        await connection.send(encode_answer(answer))
        await connection.hold()

    result, _ = await call_once(script)
    assert result.err_value.kind is FailureKind.MISMATCHED
    assert result.err_value.verdict is Verdict.MAY_HAVE_RUN


async def test_late_answer_on_a_pooled_connection_is_discarded():
    """Guards against callers that get the answer to the previous call.

    A target sends a second answer to a call. It stays unread on the pooled connection
    and must not be read as the answer to the next call.
    """

    async def script(connection):
        if connection.number > 0:
            await serve(connection)
        call = await connection.read_request()
        await connection.send(encode_answer(create_answer(call)))
        await answered.wait()
        await connection.send(encode_answer(create_answer(call)))
        late.set()
        await connection.hold()

    answered, late = asyncio.Event(), asyncio.Event()
    async with ScriptedServer(script) as server, open_client() as client:
        target = create_target(server)
        await client.call(target, create_call(1))
        answered.set()
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
async def test_only_a_refusal_with_the_attempt_id_proves_not_run(fields, kind, verdict):
    """Guards against a call executed twice after the refusal of another call."""

    async def script(connection):
        await connection.read_request()
        refusal = {"not_run": True, "retry_after_ms": 40} | fields
        await connection.send(encode_answer(refusal, status="503 Service Unavailable"))
        await connection.hold()

    result, _ = await call_once(script)
    assert result.err_value.kind is kind
    assert result.err_value.verdict is verdict


@pytest.mark.parametrize("repeatable", [True, False])
async def test_unresponsive_connections_are_replaced_at_once(loop_time, repeatable):
    """Guards against a series of lost calls to a healthy target.

    A middlebox drops the state of the open connections. The next call must not use
    another of them, and one that is not repeatable must use no pooled connection.
    """
    silent = 3

    async def script(connection):
        while True:
            call = await connection.read_request()
            if call["input"] == "warm":
                await gate.wait()
            elif connection.number < silent:
                loop_time.advance(LIMITS.stall_timeout)
                await connection.hold()
            await connection.send(encode_answer(create_answer(call)))

    gate = asyncio.Event()
    async with ScriptedServer(script) as server, open_client() as client:
        target = create_target(server)
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


async def test_pooled_connections_are_replaced_by_age():
    clock = ManualClock()
    limits = replace(LIMITS, max_age=60.0)
    async with ScriptedServer(serve) as server, open_client(limits, clock) as client:
        target = create_target(server)
        for _ in range(3):
            call = create_call(deadline=clock.now() + 10)
            assert isinstance(await client.call(target, call), Ok)
        assert server.accepted == 1
        clock.advance(60.0 * 1.3)
        call = create_call(deadline=clock.now() + 10)
        assert isinstance(await client.call(target, call), Ok)
        assert server.accepted == 2


async def test_endless_answer_is_bounded():
    """Guards against a faulty target that exhausts the memory."""

    async def script(connection):
        await connection.read_request()
        await connection.send(b"HTTP/1.1 200 OK\r\n\r\n")
        while True:
            await connection.send(b"x" * 65_536)

    limits = replace(LIMITS, max_answer_bytes=1_000_000)
    result, _ = await call_once(script, limits=limits)
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
async def test_invalid_answer_is_a_target_error(body):
    async def script(connection):
        await connection.read_request()
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
        await connection.send(head.encode() + body)

    result, _ = await call_once(script)
    assert result.err_value.kind in (FailureKind.TARGET_ERROR, FailureKind.MISMATCHED)
    assert result.err_value.verdict is Verdict.MAY_HAVE_RUN


def encode_stream(call):
    """Return the events of a complete stream from its resume offset."""
    events = []
    for offset in range(call["resume_at"], len(TOKENS)):
        events.append(encode_token(call, offset, TOKENS[offset]))
    return [*events, encode_end(call, TOKENS)]


def create_stream_call(**fields):
    return create_call(kind=StageKind.GENERATE, stream=True, **fields)


async def run_stream(change, call=None, loop_time=None):
    """Return the result and tokens of a stream with events altered by ``change``.

    :param loop_time: advanced in place of events that are ``None``
    """
    given = []

    async def script(connection):
        request = await connection.read_request()
        await connection.send(STREAM_HEAD)
        for number, event in enumerate(change(request, encode_stream(request))):
            if event is None:
                await wait_until(
                    lambda sent=number: len(given) == sent, what="events received"
                )
                loop_time.advance(LIMITS.stall_timeout)
                await connection.hold()
            await connection.send(event)

    async with ScriptedServer(script) as server, open_client() as client:
        result = await client.call(
            create_target(server),
            call or create_stream_call(),
            lambda *token: given.append(token),
        )
    return result, given


async def test_stream_in_small_chunks():
    def split(request, events):
        whole = b"".join(events)
        return [whole[at : at + 7] for at in range(0, len(whole), 7)]

    result, given = await run_stream(split)
    assert result.ok_value.output == "".join(TOKENS)
    assert given == list(enumerate(TOKENS))


async def test_resumed_stream_is_verified_with_its_earlier_tokens():
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
async def test_incomplete_stream_is_a_failure(loop_time, change, kind):
    """Guards against truncated streams that are delivered as complete.

    The stream ends early, skips or repeats tokens, or stalls. The end of the
    connection must not count as the end of the answer.
    """
    result, given = await run_stream(change, loop_time=loop_time)
    assert result.err_value.kind is kind
    ran = Verdict.RAN if given else Verdict.MAY_HAVE_RUN
    assert result.err_value.verdict is ran
    assert given == list(enumerate(TOKENS))[: len(given)]
    assert result.err_value.tokens == TOKENS[: len(given)]


async def test_call_ends_at_its_deadline(loop_time):
    async def script(connection):
        await connection.read_request()
        loop_time.advance(DEADLINE_SECONDS)
        await connection.hold()

    limits = replace(LIMITS, stall_timeout=2 * DEADLINE_SECONDS)
    result, _ = await call_once(script, limits=limits)
    assert result.err_value.kind is FailureKind.DEADLINE
    assert result.err_value.verdict is Verdict.MAY_HAVE_RUN


async def test_call_whose_deadline_passes_while_connecting_has_not_run(
    loop_time, monkeypatch
):
    """Guards against the verdict "not run" for a call that its target has received."""
    recorder = Recorder()

    connect = aiohttp.TCPConnector.connect

    async def connect_late(*args, **fields):
        connection = await connect(*args, **fields)
        loop_time.advance(DEADLINE_SECONDS)
        try:
            await asyncio.Event().wait()
        finally:
            connection.close()

    monkeypatch.setattr(aiohttp.TCPConnector, "connect", connect_late)
    async with ScriptedServer(recorder) as server:
        async with open_client() as client:
            result = await client.call(create_target(server), create_call())
        await recorder.ended.wait()
    assert result.err_value.kind is FailureKind.DEADLINE
    assert result.err_value.verdict is Verdict.NOT_RUN
    assert not recorder.received


async def test_first_byte_timeout_ends_a_call_before_its_deadline(loop_time):
    """Guards against calls to an unresponsive engine that last until their deadline.

    The engine accepts the call and sends no token. The client's general stall timeout
    is longer than most deadlines, so the timeout of the call must apply.
    """
    first_byte_timeout = LIMITS.stall_timeout / 3

    async def script(connection):
        await connection.read_request()
        loop_time.advance(first_byte_timeout)
        await connection.hold()

    call = create_stream_call(first_byte_timeout=first_byte_timeout)
    result, _ = await call_once(script, call)
    assert result.err_value.kind is FailureKind.STALLED


async def test_leaving_is_read_from_answers_and_refusals():
    async def script(connection):
        call = await connection.read_request()
        headers = "X-Target-State: leaving\r\n"
        status = "200 OK" if call["attempt"] == "attempt-1" else "500 Broken"
        await connection.send(
            encode_answer(create_answer(call), status=status, headers=headers)
        )

    result, _ = await call_once(script)
    assert result.ok_value.leaving
    result, _ = await call_once(script, create_call(2))
    assert result.err_value.leaving


async def test_cancel_uses_a_new_connection():
    received = []

    async def script(connection):
        received.append(await connection.read_request())
        await connection.send(encode_answer({"cancelled": True}))

    async with ScriptedServer(script) as server, open_client() as client:
        assert await client.cancel(create_target(server), "attempt-1")
        assert received == [{"attempt": "attempt-1"}]
    async with open_client() as client:
        assert not await client.cancel(create_target(server), "attempt-1")
