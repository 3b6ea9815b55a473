"""Tests of the callers' server: invalid requests, slow and disconnected callers."""

from __future__ import annotations

import asyncio
import json
import os
import random
from contextlib import asynccontextmanager
from dataclasses import replace

import aiohttp
import pytest
import xxhash

from greengagelatch.clock import SystemClock
from greengagelatch.config.objects import Pipeline, Workspace
from greengagelatch.config.snapshot import Snapshot
from greengagelatch.errors import Refusal, RefusalCode
from greengagelatch.request import Answer
from greengagelatch.verdict import Verdict
from greengagelatch_entry.adapters.callers import CallerLimits, CallersServer
from greengagelatch_entry.filters import chain
from greengagelatch_entry.filters.lookup import LookupFilter
from greengagelatch_entry.filters.observe import ObserveFilter
from greengagelatch_entry.filters.request_parser import RequestParser
from greengagelatch_entry.logs import LogLevel, RequestLog
from greengagelatch_entry.metrics import Metrics
from greengagelatch_lab.waiting import wait_until

HOST = "127.0.0.1"
LIMITS = CallerLimits(
    max_body_bytes=10_000, body_timeout=0.2, write_timeout=0.3, idle_timeout=5.0
)
SNAPSHOT = Snapshot(
    generation=1,
    pipelines={
        "booking": Pipeline(name="booking", stages=(), default_deadline_ms=2000),
        "status": Pipeline(name="status", stages=()),
    },
    workspaces={"metro-east": Workspace(name="metro-east")},
)
HEADERS = {"X-Workspace": "metro-east", "X-Deadline-Ms": "5000"}
BODY = b'{"input":1}'


class Harness:
    """A callers' server whose requests are executed by ``handler``."""

    def __init__(self, handler, limits):
        self.ran = []
        self.draining = False
        self.metrics = Metrics("127.0.0.1:9")
        self._handler = handler
        clock = SystemClock()
        filters = (
            ObserveFilter(
                clock=clock, metrics=self.metrics, log=RequestLog(LogLevel.ERRORS)
            ),
            LookupFilter(snapshot=lambda: SNAPSHOT),
        )
        self.server = CallersServer(
            listen=f"{HOST}:0",
            handler=chain(filters, self._run),
            identifier=RequestParser(
                clock=clock,
                random_source=random.Random(5),
                snapshot=lambda: SNAPSHOT,
            ),
            clock=clock,
            metrics=self.metrics,
            draining=lambda: self.draining,
            limits=limits,
        )

    async def _run(self, exchange):
        self.ran.append(exchange)
        return await self._handler(exchange)

    def url(self, pipeline="booking"):
        return f"http://{HOST}:{self.server.port}/v1/pipelines/{pipeline}"

    async def connect(self):
        return await asyncio.open_connection(HOST, self.server.port)


@asynccontextmanager
async def open_harness(handler=None, limits=LIMITS):
    harness = Harness(handler or answer, limits)
    await harness.server.start()
    try:
        yield harness
    finally:
        await harness.server.stop()


async def answer(exchange, result="done"):
    return Answer(
        request_id=exchange.request.request_id, verdict=Verdict.RAN, result=result
    )


async def hang(exchange):
    await asyncio.Event().wait()


def refuse(**fields):
    async def handler(exchange):
        refusal = Refusal(code=RefusalCode.OVERLOADED, message="busy", **fields)
        return Answer(
            request_id=exchange.request.request_id,
            verdict=refusal.verdict,
            refusal=refusal,
        )

    return handler


def encode_head(headers, *, method="POST", path="/v1/pipelines/booking"):
    lines = [f"{method} {path} HTTP/1.1", "Host: greengagelatch"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def encode_request(body=BODY, **headers):
    return encode_head(HEADERS | {"Content-Length": len(body)} | headers) + body


async def read_answer(reader):
    """Return status, headers by lower-case name, and body of one answer."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode().split("\r\n")
    headers = dict(line.lower().split(": ", 1) for line in lines[1:] if line)
    body = await reader.readexactly(int(headers["content-length"]))
    return int(lines[0].split()[1]), headers, json.loads(body)


def nest(levels):
    return b'{"input":' + b"[" * levels + b"]" * levels + b"}"


@pytest.mark.parametrize(
    ("change", "body", "status", "field"),
    [
        ({"X-Workspace": None}, BODY, 400, "X-Workspace"),
        ({"X-Workspace": "nobody"}, BODY, 404, "X-Workspace"),
        ({"X-Deadline-Ms": "-5"}, BODY, 400, "X-Deadline-Ms"),
        ({"X-Deadline-Ms": "0"}, BODY, 400, "X-Deadline-Ms"),
        ({"X-Deadline-Ms": "nan"}, BODY, 400, "X-Deadline-Ms"),
        ({"X-Deadline-Ms": "1e3"}, BODY, 400, "X-Deadline-Ms"),
        ({"X-Deadline-Ms": "9" * 5000}, BODY, 400, "X-Deadline-Ms"),
        ({"X-Deadline-Ms": "86400000"}, BODY, 400, "X-Deadline-Ms"),
        ({"X-Repeatable": "maybe"}, BODY, 400, "X-Repeatable"),
        ({"X-First-Attempt": ""}, BODY, 400, "X-First-Attempt"),
        ({"Idempotency-Key": ""}, BODY, 400, "Idempotency-Key"),
        ({"Idempotency-Key": "k" * 300}, BODY, 400, "Idempotency-Key"),
        ({}, b'{"input":1,"stream":"yes"}', 400, "stream"),
        ({}, b'{"input":1,"stream":1}', 400, "stream"),
        ({}, b'{"input":1,"priority":9}', 400, "priority"),
        ({}, b"{}", 400, "input"),
        ({}, b'{"input":NaN}', 400, "body"),
        ({}, b'{"input":' + b"9" * 6000 + b"}", 400, "body"),
        ({}, b"[1]", 400, "body"),
        ({}, b"", 400, "body"),
        ({}, b'{"input":"\xff"}', 400, "body"),
        ({}, nest(65), 400, "body"),
        ({}, nest(4000), 400, "body"),
        ({}, b'{"input":"' + b"x" * 20_000 + b'"}', 413, "body"),
    ],
)
async def test_bad_request_is_refused_with_its_field(change, body, status, field):
    """Guards against refusals that do not name the invalid field."""
    headers = HEADERS | change
    headers = {name: value for name, value in headers.items() if value is not None}
    async with open_harness() as harness, aiohttp.ClientSession() as session:
        async with session.post(harness.url(), data=body, headers=headers) as response:
            fields = await response.json()
        assert response.status == status
        assert fields["field"] == field
        assert fields["verdict"] == "not-run"
        assert fields["request"]
        assert len(fields["value"]) <= 64
        assert not harness.ran


@pytest.mark.parametrize(
    ("method", "path", "status", "field"),
    [
        ("PUT", "/v1/pipelines/booking", 405, "method"),
        ("GET", "/v1/pipelines/booking", 405, "method"),
        ("POST", "/v1/pipelines/", 404, "path"),
        ("POST", "/v1/pipelines/booking/more", 404, "path"),
        ("POST", "/v2/pipelines/booking", 404, "path"),
        ("POST", "/v1/pipelines/unheard-of", 404, "pipeline"),
    ],
)
async def test_unknown_path_or_method_is_refused(method, path, status, field):
    async with open_harness() as harness:
        reader, writer = await harness.connect()
        headers = HEADERS | {"Content-Length": len(BODY)}
        writer.write(encode_head(headers, method=method, path=path) + BODY)
        found, headers, fields = await read_answer(reader)
        assert (found, fields["field"]) == (status, field)
        assert fields["verdict"] == "not-run"
        assert ("allow" in headers) == (status == 405)
        assert not harness.ran
        writer.close()


async def test_pipeline_without_default_needs_a_deadline():
    async with open_harness() as harness, aiohttp.ClientSession() as session:
        headers = {"X-Workspace": "metro-east"}
        url = harness.url("status")
        async with session.post(url, data=BODY, headers=headers) as response:
            assert (await response.json())["field"] == "X-Deadline-Ms"
        async with session.post(harness.url(), data=BODY, headers=headers) as response:
            assert response.status == 200
        request = harness.ran[0].request
        assert request.deadline - request.received == pytest.approx(2.0)


@pytest.mark.parametrize(
    "data",
    [
        pytest.param(encode_request(**{"X-Long": "x" * 20_000}), id="long header"),
        pytest.param(encode_head({f"X-{n}": n for n in range(200)}), id="many"),
        pytest.param(b"nonsense\r\n\r\n", id="no http"),
        pytest.param(encode_request(**{"X-Workspace": "a\x01b"}), id="control"),
        pytest.param(
            encode_request(**{"Transfer-Encoding": "chunked"}), id="two lengths"
        ),
    ],
)
async def test_invalid_http_request_is_refused(data):
    async with open_harness() as harness:
        reader, writer = await harness.connect()
        writer.write(data)
        status, _, fields = await read_answer(reader)
        assert 400 <= status < 500
        assert fields["verdict"] == "not-run"
        assert await reader.read() == b""
        assert not harness.ran
        writer.close()


async def test_incomplete_body_times_out():
    """Guards against stalled callers that occupy connections indefinitely."""
    async with open_harness() as harness:
        reader, writer = await harness.connect()
        writer.write(encode_request()[:-3])
        status, _, fields = await read_answer(reader)
        assert status == 408
        assert (fields["field"], fields["verdict"]) == ("body", "not-run")
        assert not harness.ran
        writer.close()


async def test_incomplete_headers_time_out():
    limits = replace(LIMITS, idle_timeout=0.2)
    async with open_harness(limits=limits) as harness:
        reader, writer = await harness.connect()
        writer.write(encode_request()[:40])
        assert await reader.read() == b""
        writer.close()


async def test_expect_header_gets_an_interim_response():
    async with open_harness() as harness:
        reader, writer = await harness.connect()
        whole = encode_request(Expect="100-continue")
        writer.write(whole[: -len(BODY)])
        assert b" 100 " in await reader.readuntil(b"\r\n\r\n")
        writer.write(BODY)
        status, _, _ = await read_answer(reader)
        assert status == 200
        writer.close()


async def test_connection_above_the_limit_gets_a_refusal():
    limits = replace(LIMITS, max_connections=1)
    async with open_harness(hang, limits) as harness:
        _, first = await harness.connect()
        first.write(encode_request())
        await wait_until(lambda: harness.server.in_flight == 1, what="first runs")
        reader, second = await harness.connect()
        status, headers, fields = await read_answer(reader)
        assert (status, fields["code"]) == (503, "overloaded")
        assert fields["verdict"] == "not-run"
        assert headers["retry-after"] == "1"
        first.close()
        second.close()


@pytest.mark.parametrize(
    ("retry_after_ms", "header"), [(1, "1"), (1001, "2"), (None, None)]
)
async def test_refusal_has_a_retry_after_header(retry_after_ms, header):
    handler = refuse(retry_after_ms=retry_after_ms, verdict=Verdict.MAY_HAVE_RUN)
    async with open_harness(handler) as harness, aiohttp.ClientSession() as session:
        async with session.post(harness.url(), data=BODY, headers=HEADERS) as response:
            fields = await response.json()
        assert response.status == 503
        assert response.headers.get("Retry-After") == header
        assert fields["retry_after_ms"] == retry_after_ms
        assert fields["verdict"] == "may-have-run"


@pytest.mark.parametrize("stream", [b"false", b"true"])
async def test_request_of_a_disconnected_caller_is_cancelled(stream):
    """Guards against requests that keep running after their caller disconnected.

    A response that is not streamed uses the connection only at its end, so that a
    write does not detect the disconnect.
    """
    cancelled = asyncio.Event()

    async def handler(exchange):
        try:
            await hang(exchange)
        except asyncio.CancelledError:
            cancelled.set()
            raise

    async with open_harness(handler) as harness:
        _, writer = await harness.connect()
        writer.write(encode_request(b'{"input":1,"stream":' + stream + b"}"))
        await wait_until(lambda: harness.server.in_flight == 1, what="request runs")
        writer.close()
        async with asyncio.timeout(5):
            await cancelled.wait()
        assert await harness.server.wait_idle(5)
        assert harness.metrics.value("requests.caller_gone") == 1


async def test_error_of_a_handler_is_an_internal_error():
    async def handler(exchange):
        exchange.raise_verdict(Verdict.MAY_HAVE_RUN)
        raise ValueError("broken")

    async with open_harness(handler) as harness, aiohttp.ClientSession() as session:
        async with session.post(harness.url(), data=BODY, headers=HEADERS) as response:
            fields = await response.json()
        assert (response.status, fields["code"]) == (500, "internal")
        assert fields["verdict"] == "may-have-run"


async def test_unread_response_is_dropped():
    """Guards against responses that fill the memory if callers stop reading.

    If the caller neither reads nor closes its connection, the response must not stay
    in the connection's buffer.
    """

    async def handler(exchange):
        return await answer(exchange, "x" * 30_000_000)

    async with open_harness(handler) as harness:
        _, writer = await harness.connect()
        writer.transport.pause_reading()
        writer.write(encode_request())
        await wait_until(lambda: harness.ran, what="request runs")
        assert await harness.server.wait_idle(5)
        await wait_until(
            lambda: harness.server.dump()["connections"] == 0, what="connection dropped"
        )
        writer.close()


async def test_unread_stream_is_abandoned():
    """Guards against unbounded buffering for a slow reader.

    The engine produces tokens faster than the caller reads them.
    """
    cancelled = asyncio.Event()

    async def handler(exchange):
        try:
            for offset in range(1_000_000):
                exchange.on_token(offset, "x" * 1000)
                await asyncio.sleep(0)
        except asyncio.CancelledError:
            cancelled.set()
            raise
        return await answer(exchange)

    # only the limit on unwritten bytes can end this, as writes may take long
    limits = replace(LIMITS, write_timeout=60.0, max_unwritten_bytes=100_000)
    async with open_harness(handler, limits) as harness:
        _, writer = await harness.connect()
        writer.transport.pause_reading()
        writer.write(encode_request(b'{"input":1,"stream":true}'))
        async with asyncio.timeout(20):
            await cancelled.wait()
        assert harness.metrics.value("callers.abandoned") == 1
        writer.close()


async def read_events(response):
    events = []
    for block in (await response.text()).split("\n\n"):
        if not block:
            continue
        name, data = block.split("\n", 1)
        events.append((name.removeprefix("event: "), json.loads(data[6:])))
    return events


@pytest.mark.parametrize("refused", [False, True])
async def test_stream_ends_with_one_closing_event(refused):
    """Guards against truncated streams that look complete."""

    async def handler(exchange):
        for offset, text in enumerate(("Set ", "4\n", "\ud800")):
            exchange.on_token(offset, text)
            await asyncio.sleep(0)
        if refused:
            return await refuse(verdict=Verdict.RAN)(exchange)
        return await answer(exchange)

    async with open_harness(handler) as harness, aiohttp.ClientSession() as session:
        body = b'{"input":1,"stream":true}'
        async with session.post(harness.url(), data=body, headers=HEADERS) as response:
            events = await read_events(response)
    assert response.status == 200
    assert [name for name, _ in events[:-1]] == ["token"] * 3
    assert [fields["offset"] for _, fields in events[:-1]] == [0, 1, 2]
    name, fields = events[-1]
    if refused:
        assert (name, fields["verdict"]) == ("refusal", "ran")
        return
    whole = "Set 4\n\ud800".encode("utf-8", "surrogatepass")
    assert (name, fields["count"]) == ("end", 3)
    assert fields["digest"] == xxhash.xxh64_hexdigest(whole)


async def test_replayed_text_is_streamed_as_one_token():
    """Guards against empty streams for replayed results.

    Callers that read tokens use the result in the closing event only for comparison,
    so the stored result must be sent as a token too.
    """

    async def handler(exchange):
        return replace(await answer(exchange, "draft"), replayed=True)

    async with open_harness(handler) as harness, aiohttp.ClientSession() as session:
        body = b'{"input":1,"stream":true}'
        async with session.post(harness.url(), data=body, headers=HEADERS) as response:
            token, end = await read_events(response)
    assert token == ("token", {"offset": 0, "text": "draft"})
    assert (end[1]["result"], end[1]["count"]) == ("draft", 1)


async def test_stream_refused_before_its_first_token_has_a_status():
    async with open_harness(refuse()) as harness, aiohttp.ClientSession() as session:
        body = b'{"input":1,"stream":true}'
        async with session.post(harness.url(), data=body, headers=HEADERS) as response:
            assert (await response.json())["code"] == "overloaded"
        assert response.status == 503


async def test_drain_finishes_requests_and_closes_connections():
    """Guards against a drain that resets requests in progress.

    Load balancers keep connections open. If these stay alive until the process exits,
    they are closed while a request is in progress.
    """
    proceed = asyncio.Event()

    async def handler(exchange):
        await proceed.wait()
        return await answer(exchange)

    # longer than the test timeout, so that only the drain closes the idle connection
    limits = replace(LIMITS, idle_timeout=600.0)
    async with open_harness(handler, limits) as harness:
        idle_reader, idle_writer = await harness.connect()
        reader, writer = await harness.connect()
        writer.write(encode_request())
        await wait_until(lambda: harness.server.in_flight == 1, what="request runs")
        harness.draining = True
        await harness.server.close_listener()
        assert not await harness.server.wait_idle(0.01)
        assert await idle_reader.read() == b""
        proceed.set()
        status, headers, _ = await read_answer(reader)
        assert (status, headers["connection"]) == (200, "close")
        assert await harness.server.wait_idle(5)
        with pytest.raises(ConnectionError):
            await harness.connect()
        writer.close()
        idle_writer.close()


async def test_request_after_the_listener_is_closed_is_refused():
    """Guards against lost requests that arrive while idle connections are closed.

    Such a request must not be started, as the process may be killed before its end.
    Its connection must not be closed with unread data either, as that resets it.
    """
    async with open_harness(answer) as harness:
        reader, writer = await harness.connect()
        await wait_until(lambda: len(harness.server._connections) == 1, what="accepted")
        # write directly to the kernel, without a loop iteration before the close
        os.write(writer.get_extra_info("socket").fileno(), encode_request())
        harness.draining = True
        await harness.server.close_listener()
        status, headers, body = await read_answer(reader)
        assert (status, body["code"]) == (503, "not-ready")
        assert headers["connection"] == "close"
        assert harness.ran == []
        assert await harness.server.wait_idle(5)
        writer.close()
