"""Orders to engines that refuse, stay silent, redirect or hang up."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager

import pytest
from result import Err, Ok

from greengagelatch.orders import EngineReport, EngineState, Order, OrderOutcome
from greengagelatch.targets import Target
from greengagelatch_entry.adapters.orders import HttpOrderClient
from greengagelatch_entry.metrics import Metrics
from greengagelatch_lab.standins.raw import RawServer, encode_answer

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


async def give(script, *, guard=lambda: True, timeout=5.0):
    """Give an order to an engine; return the answer and the bodies it got."""
    got = []

    async def record(connection):
        got.append(await connection.read_request())
        await script(connection)

    async with RawServer(record) as server, open_client(timeout) as client:
        target = Target("engine", "writer", "north", server.address)
        answer = await client.send(target, ORDER, guard)
        # whatever is on its way has arrived once another call has been answered
        await client.read(target)
    return answer, [body for body in got if body]


async def answer_state(connection):
    await connection.send(encode_answer(REPORT))


async def test_order_is_given_and_read_back():
    answer, got = await give(answer_state)
    assert answer.outcome is OrderOutcome.DONE
    wanted = {"models": ["draft-1"], "adapters": [], "role": "mixed"}
    assert got == [{"fence": 7, "wanted": wanted}]
    async with RawServer(answer_after_request) as server, open_client() as client:
        target = Target("engine", "writer", "north", server.address)
        assert await client.read(target) == Ok(EngineReport(ORDER.desired, 7))


async def answer_after_request(connection):
    await connection.read_request()
    await answer_state(connection)


async def test_nothing_is_sent_when_the_guard_forbids_it():
    """An order arrives although its lease is over.

    The lease lapses while the connection to the engine is made. The cause would be
    a check that is made before the connection, and not right before the first byte.
    """
    got = []
    ended = asyncio.Event()

    async def accept(connection):
        try:
            got.append(await connection.reader.read())
        finally:
            ended.set()

    async with RawServer(accept) as server, open_client() as client:
        target = Target("engine", "writer", "north", server.address)
        answer = await client.send(target, ORDER, lambda: False)
        async with asyncio.timeout(5):
            await ended.wait()
    assert answer.outcome is OrderOutcome.NOT_SENT
    assert not any(got)


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
async def test_an_order_is_sent_once_whatever_the_answer(script, outcome):
    """An engine gets one order twice, or a lost answer passes for a refusal.

    The engine hangs up, stays silent or answers something else. The cause would be
    a client that sends again by itself, or an error that is taken to say that
    nothing was done.
    """
    answer, got = await give(script, timeout=0.3)
    assert answer.outcome is outcome
    assert len(got) == 1


async def test_an_engine_out_of_reach_was_not_sent_the_order():
    async with RawServer(answer_state) as server:
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
async def test_a_report_that_cannot_be_read_is_an_error(report):
    async def script(connection):
        await connection.read_request()
        await connection.send(encode_answer(report))

    async with RawServer(script) as server, open_client() as client:
        target = Target("engine", "writer", "north", server.address)
        assert isinstance(await client.read(target), Err)
