"""Callers that send nonsense, leave, stay silent or read slowly."""

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


class Bench:
    """A callers' server whose requests end in ``handler``."""

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
async def open_bench(handler=None, limits=LIMITS):
    bench = Bench(handler or answer, limits)
    await bench.server.start()
    try:
        yield bench
    finally:
        await bench.server.stop()


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
    """A caller was told nothing but "bad request" and asked the operators."""
    headers = HEADERS | change
    headers = {name: value for name, value in headers.items() if value is not None}
    async with open_bench() as bench, aiohttp.ClientSession() as session:
        async with session.post(bench.url(), data=body, headers=headers) as response:
            fields = await response.json()
        assert response.status == status
        assert fields["field"] == field
        assert fields["verdict"] == "not-run"
        assert fields["request"]
        assert len(fields["value"]) <= 64
        assert not bench.ran


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
async def test_unknown_way_in_is_refused(method, path, status, field):
    async with open_bench() as bench:
        reader, writer = await bench.connect()
        headers = HEADERS | {"Content-Length": len(BODY)}
        writer.write(encode_head(headers, method=method, path=path) + BODY)
        found, headers, fields = await read_answer(reader)
        assert (found, fields["field"]) == (status, field)
        assert fields["verdict"] == "not-run"
        assert ("allow" in headers) == (status == 405)
        assert not bench.ran
        writer.close()


async def test_pipeline_without_default_needs_a_deadline():
    async with open_bench() as bench, aiohttp.ClientSession() as session:
        headers = {"X-Workspace": "metro-east"}
        url = bench.url("status")
        async with session.post(url, data=BODY, headers=headers) as response:
            assert (await response.json())["field"] == "X-Deadline-Ms"
        async with session.post(bench.url(), data=BODY, headers=headers) as response:
            assert response.status == 200
        request = bench.ran[0].request
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
async def test_what_is_no_http_request_is_refused_as_one(data):
    async with open_bench() as bench:
        reader, writer = await bench.connect()
        writer.write(data)
        status, _, fields = await read_answer(reader)
        assert 400 <= status < 500
        assert fields["verdict"] == "not-run"
        assert await reader.read() == b""
        assert not bench.ran
        writer.close()


async def test_half_sent_body_is_not_waited_for():
    """Open connections ran out: callers that had stalled held them for ever."""
    async with open_bench() as bench:
        reader, writer = await bench.connect()
        writer.write(encode_request()[:-3])
        status, _, fields = await read_answer(reader)
        assert status == 408
        assert (fields["field"], fields["verdict"]) == ("body", "not-run")
        assert not bench.ran
        writer.close()


async def test_half_sent_head_is_not_waited_for():
    limits = replace(LIMITS, idle_timeout=0.2)
    async with open_bench(limits=limits) as bench:
        reader, writer = await bench.connect()
        writer.write(encode_request()[:40])
        assert await reader.read() == b""
        writer.close()


async def test_body_is_asked_for_where_the_caller_waits():
    async with open_bench() as bench:
        reader, writer = await bench.connect()
        whole = encode_request(Expect="100-continue")
        writer.write(whole[: -len(BODY)])
        assert b" 100 " in await reader.readuntil(b"\r\n\r\n")
        writer.write(BODY)
        status, _, _ = await read_answer(reader)
        assert status == 200
        writer.close()


async def test_connection_beyond_the_bound_is_told_so():
    limits = replace(LIMITS, max_connections=1)
    async with open_bench(hang, limits) as bench:
        _, first = await bench.connect()
        first.write(encode_request())
        await wait_until(lambda: bench.server.in_flight == 1, what="first runs")
        reader, second = await bench.connect()
        status, headers, fields = await read_answer(reader)
        assert (status, fields["code"]) == (503, "overloaded")
        assert fields["verdict"] == "not-run"
        assert headers["retry-after"] == "1"
        first.close()
        second.close()


@pytest.mark.parametrize(
    ("retry_after_ms", "header"), [(1, "1"), (1001, "2"), (None, None)]
)
async def test_refusal_says_when_to_come_back(retry_after_ms, header):
    handler = refuse(retry_after_ms=retry_after_ms, verdict=Verdict.MAY_HAVE_RUN)
    async with open_bench(handler) as bench, aiohttp.ClientSession() as session:
        async with session.post(bench.url(), data=BODY, headers=HEADERS) as response:
            fields = await response.json()
        assert response.status == 503
        assert response.headers.get("Retry-After") == header
        assert fields["retry_after_ms"] == retry_after_ms
        assert fields["verdict"] == "may-have-run"


@pytest.mark.parametrize("stream", [b"false", b"true"])
async def test_caller_that_leaves_has_its_request_cancelled(stream):
    """A draft was written to its end for a broker who had hung up.

    Sequence: the caller closes its connection while its request runs. Cause: a
    whole answer touches the connection only at its end.
    """
    cancelled = asyncio.Event()

    async def handler(exchange):
        try:
            await hang(exchange)
        except asyncio.CancelledError:
            cancelled.set()
            raise

    async with open_bench(handler) as bench:
        _, writer = await bench.connect()
        writer.write(encode_request(b'{"input":1,"stream":' + stream + b"}"))
        await wait_until(lambda: bench.server.in_flight == 1, what="request runs")
        writer.close()
        async with asyncio.timeout(5):
            await cancelled.wait()
        assert await bench.server.wait_idle(5)
        assert bench.metrics.value("requests.caller_gone") == 1


async def test_error_of_a_handler_is_answered_as_one():
    async def handler(exchange):
        exchange.raise_verdict(Verdict.MAY_HAVE_RUN)
        raise ValueError("broken")

    async with open_bench(handler) as bench, aiohttp.ClientSession() as session:
        async with session.post(bench.url(), data=BODY, headers=HEADERS) as response:
            fields = await response.json()
        assert (response.status, fields["code"]) == (500, "internal")
        assert fields["verdict"] == "may-have-run"


async def test_whole_answer_that_is_not_read_does_not_stay():
    """Memory filled up with answers to connections that had gone silent.

    Sequence: the caller stops reading without closing. Cause: the answer waited
    in the connection's buffer for good.
    """

    async def handler(exchange):
        return await answer(exchange, "x" * 30_000_000)

    async with open_bench(handler) as bench:
        _, writer = await bench.connect()
        writer.transport.pause_reading()
        writer.write(encode_request())
        await wait_until(lambda: bench.ran, what="request runs")
        assert await bench.server.wait_idle(5)
        await wait_until(
            lambda: bench.server.dump()["connections"] == 0, what="connection dropped"
        )
        writer.close()


async def test_stream_that_is_not_read_is_given_up():
    """One slow reader made the process run out of memory.

    Sequence: the engine gives tokens faster than the caller reads. Cause: they
    were all kept until they could be written.
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

    # only the bound on what waits can end this: a write may take long
    limits = replace(LIMITS, write_timeout=60.0, max_unwritten_bytes=100_000)
    async with open_bench(handler, limits) as bench:
        _, writer = await bench.connect()
        writer.transport.pause_reading()
        writer.write(encode_request(b'{"input":1,"stream":true}'))
        async with asyncio.timeout(20):
            await cancelled.wait()
        assert bench.metrics.value("callers.abandoned") == 1
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
    """A cut draft was taken for a whole one."""

    async def handler(exchange):
        for offset, text in enumerate(("Set ", "4\n", "\ud800")):
            exchange.on_token(offset, text)
            await asyncio.sleep(0)
        if refused:
            return await refuse(verdict=Verdict.RAN)(exchange)
        return await answer(exchange)

    async with open_bench(handler) as bench, aiohttp.ClientSession() as session:
        body = b'{"input":1,"stream":true}'
        async with session.post(bench.url(), data=body, headers=HEADERS) as response:
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


async def test_text_found_whole_is_streamed_as_one_token():
    """A caller that asked again for its draft was given an empty one.

    Sequence: the request's answer is found under its key, whole. Cause: callers
    that read tokens look at the result of the closing event only to compare.
    """

    async def handler(exchange):
        return replace(await answer(exchange, "draft"), replayed=True)

    async with open_bench(handler) as bench, aiohttp.ClientSession() as session:
        body = b'{"input":1,"stream":true}'
        async with session.post(bench.url(), data=body, headers=HEADERS) as response:
            token, end = await read_events(response)
    assert token == ("token", {"offset": 0, "text": "draft"})
    assert (end[1]["result"], end[1]["count"]) == ("draft", 1)


async def test_stream_refused_before_its_first_token_has_a_status():
    async with open_bench(refuse()) as bench, aiohttp.ClientSession() as session:
        body = b'{"input":1,"stream":true}'
        async with session.post(bench.url(), data=body, headers=HEADERS) as response:
            assert (await response.json())["code"] == "overloaded"
        assert response.status == 503


async def test_drain_lets_requests_end_and_connections_go():
    """A rollout reset requests that were under way.

    Sequence: the instance leaves; balancers keep connections open. Cause: they
    were kept alive to the end, and then closed under a request.
    """
    proceed = asyncio.Event()

    async def handler(exchange):
        await proceed.wait()
        return await answer(exchange)

    # longer than the test may take: only the drain can end the idle connection
    limits = replace(LIMITS, idle_timeout=600.0)
    async with open_bench(handler, limits) as bench:
        idle_reader, idle_writer = await bench.connect()
        reader, writer = await bench.connect()
        writer.write(encode_request())
        await wait_until(lambda: bench.server.in_flight == 1, what="request runs")
        bench.draining = True
        await bench.server.close_listener()
        assert not await bench.server.wait_idle(0.01)
        assert await idle_reader.read() == b""
        proceed.set()
        status, headers, _ = await read_answer(reader)
        assert (status, headers["connection"]) == (200, "close")
        assert await bench.server.wait_idle(5)
        with pytest.raises(ConnectionError):
            await bench.connect()
        writer.close()
        idle_writer.close()


async def test_request_that_comes_after_the_close_is_refused():
    """A rollout cut requests that came on connections that were being closed.

    Sequence: a request's bytes arrive while idle connections are closed. Cause: it
    was begun, though the process might be killed before its end, or its connection
    was closed with the bytes unread, which resets it.
    """
    async with open_bench(answer) as bench:
        reader, writer = await bench.connect()
        await wait_until(lambda: len(bench.server._connections) == 1, what="accepted")
        # straight to the kernel, and no turn of the loop before the close
        os.write(writer.get_extra_info("socket").fileno(), encode_request())
        bench.draining = True
        await bench.server.close_listener()
        status, headers, body = await read_answer(reader)
        assert (status, body["code"]) == (503, "not-ready")
        assert headers["connection"] == "close"
        assert bench.ran == []
        assert await bench.server.wait_idle(5)
        writer.close()
