"""Tests of orders to engines that reject, stall, redirect or disconnect."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager

import pytest
from result import Err, Ok

from greengagelatch.orders import EngineReport, EngineState, Order, OrderOutcome
from greengagelatch.targets import Target
from greengagelatch_entry.adapters.orders import HttpOrderClient
from greengagelatch_entry.metrics import Metrics
from greengagelatch_lab.standins.scripted_server import ScriptedServer, encode_answer

ORDER = Order(7, EngineState(models=("draft-1",), role="mixed"))
STATE = {"models": ["draft-1"], "adapters": [], "role": "mixed"}
REPORT = {"state": STATE, "fence": 7}


@asynccontextmanager
async def open_client(timeout=5.0):
    client = HttpOrderClient(timeout=timeout, metrics=Metrics("127.0.0.1:9"))
    try:
        yield client
    finally:
        await client.close()


async def send_order(script, *, guard=lambda: True, timeout=5.0):
    """Send an order to an engine; return the answer and the bodies received."""
    received = []

    async def record(connection):
        received.append(await connection.read_request())
        await script(connection)

    async with ScriptedServer(record) as server, open_client(timeout) as client:
        target = Target("engine", "writer", "north", server.address)
        answer = await client.send(target, ORDER, guard)
        # a further call ensures that everything sent before has arrived
        await client.read(target)
    return answer, [body for body in received if body]


async def answer_state(connection):
    await connection.send(encode_answer(REPORT))


async def test_order_is_sent_and_state_is_read():
    answer, received = await send_order(answer_state)
    assert answer.outcome is OrderOutcome.DONE
    wanted = {"models": ["draft-1"], "adapters": [], "role": "mixed"}
    assert received == [{"fence": 7, "wanted": wanted}]
    async with ScriptedServer(answer_after_request) as server, open_client() as client:
        target = Target("engine", "writer", "north", server.address)
        assert await client.read(target) == Ok(EngineReport(ORDER.desired, 7))


async def answer_after_request(connection):
    await connection.read_request()
    await answer_state(connection)


async def test_nothing_is_sent_if_the_guard_denies_it():
    """Guards against orders that arrive after their lease has expired.

    The lease can expire while the connection to the engine is made, so the guard must
    be checked right before the first byte and not before the connection.
    """
    received = []
    ended = asyncio.Event()

    async def accept(connection):
        try:
            received.append(await connection.reader.read())
        finally:
            ended.set()

    async with ScriptedServer(accept) as server, open_client() as client:
        target = Target("engine", "writer", "north", server.address)
        answer = await client.send(target, ORDER, lambda: False)
        async with asyncio.timeout(5):
            await ended.wait()
    assert answer.outcome is OrderOutcome.NOT_SENT
    assert not any(received)


async def refuse_old(connection):
    await connection.send(encode_answer({"fence": 9}, status="409 Conflict"))


async def refuse_wrong(connection):
    await connection.send(encode_answer({}, status="404 Not Found"))


async def fail(connection):
    await connection.send(encode_answer({}, status="500 Internal Server Error"))


async def redirect(connection):
    location = f"Location: http://127.0.0.1:{connection.number}/orders\r\n"
    await connection.send(
        encode_answer({}, status="307 Temporary Redirect", headers=location)
    )


async def hang_up(connection):
    connection.reset()


async def stay_silent(connection):
    await connection.hold()


@pytest.mark.parametrize(
    ("script", "outcome"),
    [
        (refuse_old, OrderOutcome.OLD_FENCE),
        (refuse_wrong, OrderOutcome.REFUSED),
        (fail, OrderOutcome.UNKNOWN),
        (redirect, OrderOutcome.UNKNOWN),
        (hang_up, OrderOutcome.UNKNOWN),
        (stay_silent, OrderOutcome.UNKNOWN),
    ],
)
async def test_an_order_is_sent_at_most_once(script, outcome):
    """Guards against duplicate orders, and against lost answers taken for refusals.

    If the engine disconnects, stalls or responds with an error, the client must not
    resend the order, nor report that it had no effect.
    """
    answer, received = await send_order(script, timeout=0.3)
    assert answer.outcome is outcome
    assert len(received) == 1


async def test_an_order_to_an_unreachable_engine_is_not_sent():
    async with ScriptedServer(answer_state) as server:
        address = server.address
    async with open_client() as client:
        target = Target("engine", "writer", "north", address)
        answer = await client.send(target, ORDER, lambda: True)
        assert answer.outcome is OrderOutcome.NOT_SENT
        assert isinstance(await client.read(target), Err)


@pytest.mark.parametrize(
    "report",
    [
        [],
        {"state": STATE},
        {"state": STATE, "fence": None},
        {"state": {**STATE, "models": "draft-1"}, "fence": 1},
    ],
)
async def test_an_invalid_report_is_an_error(report):
    async def script(connection):
        await connection.read_request()
        await connection.send(encode_answer(report))

    async with ScriptedServer(script) as server, open_client() as client:
        target = Target("engine", "writer", "north", server.address)
        assert isinstance(await client.read(target), Err)
