"""Tests of how the load generator's client classifies incomplete responses."""

from __future__ import annotations

import asyncio
import random
from contextlib import asynccontextmanager

import pytest
from aiohttp import web

from greengagelatch_lab.load.arrivals import Arrival
from greengagelatch_lab.load.balancer import Balancer, EntryInstance
from greengagelatch_lab.load.client import CallerClient
from greengagelatch_lab.load.observations import Observation, RequestOutcome
from greengagelatch_lab.load.run import LoadRun
from greengagelatch_lab.waiting import wait_until

TOKEN = b'event: token\ndata: {"offset":0,"text":"one "}\n\n'
END = b'event: end\ndata: {"request":"r","verdict":"ran","result":"one "}\n\n'
REFUSAL = b'event: refusal\ndata: {"request":"r","verdict":"ran","code":"x"}\n\n'


def create_arrival(index=0, **values):
    defaults = {"offset": 0.0, "workspace": "w", "pipeline": "p", "deadline_ms": 400}
    return Arrival(index=index, input={}, marker=f"m{index}", **(defaults | values))


@asynccontextmanager
async def serve(handle, ready=lambda: 200):
    """Serve requests with ``handle`` and readiness with ``ready`` at one address."""

    async def answer_ready(request):
        return web.Response(status=ready())

    app = web.Application()
    app.router.add_post("/v1/pipelines/{name}", handle)
    app.router.add_get("/readyz", answer_ready)
    runner = web.AppRunner(app, shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    address = f"127.0.0.1:{runner.addresses[0][1]}"
    try:
        yield EntryInstance(
            instance_id="entry", caller_address=address, operator_address=address
        )
    finally:
        await runner.cleanup()


async def send(handle, **values):
    async with serve(handle) as instance, CallerClient(grace=0.1) as client:
        now = asyncio.get_running_loop().time()
        return await client.send(create_arrival(**values), instance, now)


def stream(*chunks, abort=False):
    async def handle(request):
        headers = {"Content-Type": "text/event-stream"}
        response = web.StreamResponse(headers=headers)
        await response.prepare(request)
        for chunk in chunks:
            await response.write(chunk)
        if abort:
            request.transport.abort()
        return response

    return handle


@pytest.mark.parametrize(
    ("handle", "outcome"),
    [
        (stream(TOKEN, END), RequestOutcome.RESULT),
        (stream(TOKEN, REFUSAL), RequestOutcome.REFUSAL),
        (stream(TOKEN), RequestOutcome.DISCONNECTED),
        (stream(TOKEN, abort=True), RequestOutcome.DISCONNECTED),
        (stream(TOKEN, END, TOKEN), RequestOutcome.DISCONNECTED),
    ],
    ids=["complete", "refused", "no-end-event", "aborted", "event-after-the-end"],
)
async def test_stream_outcomes(handle, outcome):
    observation = await send(handle, stream=True)
    assert observation.outcome is outcome


async def test_missing_response_times_out():
    """Guards against waiting forever on a connection that stays silent."""
    hold = asyncio.Event()

    async def handle(request):
        await hold.wait()

    observation = await send(handle, deadline_ms=50)
    assert observation.outcome is RequestOutcome.TIMED_OUT


async def test_refused_connection_counts_as_disconnected():
    async with serve(stream()) as instance:
        pass
    async with CallerClient() as client:
        now = asyncio.get_running_loop().time()
        observation = await client.send(create_arrival(), instance, now)
    assert observation.outcome is RequestOutcome.DISCONNECTED


async def test_headers_state_repeatability_and_first_attempt():
    received = []

    async def handle(request):
        received.append(request.headers)
        return web.json_response({"request": "r", "verdict": "ran", "result": 1})

    await send(handle, idempotency_key="k", repeatable=False)
    await send(handle, idempotency_key="k", repeatable=False, retry_of=0)
    first, retry = received
    assert first["Idempotency-Key"] == retry["Idempotency-Key"] == "k"
    assert first["X-Repeatable"] == retry["X-Repeatable"] == "no"
    assert first["X-First-Attempt"] == "yes"
    assert "X-First-Attempt" not in retry


async def test_balancer_follows_readiness():
    status = 200
    async with (
        serve(stream(), lambda: status) as instance,
        Balancer(random_source=random.Random(1), interval=0.01) as balancer,
    ):
        balancer.add(instance)
        await wait_until(lambda: balancer.pick() == instance)
        status = 503
        await wait_until(lambda: balancer.pick() is None)


class BlockingClient:
    """Holds all responses back until it is released."""

    def __init__(self):
        self.sent = []
        self.released = asyncio.Event()

    async def send(self, arrival, instance, due):
        self.sent.append((arrival.index, instance))
        await self.released.wait()
        return Observation(arrival=arrival, outcome=RequestOutcome.RESULT)


class FixedBalancer:
    def __init__(self, *names):
        self.names = names
        self.ready = frozenset(names)

    def pick(self, avoid=""):
        for name in self.names:
            if name != avoid:
                return EntryInstance(
                    instance_id=name, caller_address="", operator_address=""
                )
        return None


async def test_open_loop_arrivals_and_retries_through_another_instance():
    """Guards against latencies that look too low on a slow fleet.

    A client that waits for a response before it sends the next request (closed loop)
    sends less to a slow fleet, and never observes the queueing delay of callers.
    """
    first = create_arrival(0, idempotency_key="k")
    arrivals = [
        first,
        create_arrival(1),
        create_arrival(2, idempotency_key="k", retry_of=0),
    ]
    client = BlockingClient()
    balancer = FixedBalancer("one", "other")
    run = LoadRun(arrivals=arrivals, balancer=balancer, client=client)
    task = asyncio.create_task(run.run())
    await wait_until(lambda: len(client.sent) == 3)
    assert run.in_flight == 3
    assert [item.instance_id for _, item in client.sent] == ["one", "one", "other"]
    client.released.set()
    assert len(await task) == 3


@pytest.mark.parametrize(("end", "expected"), [(True, 0), (False, 1)])
async def test_arrivals_without_a_ready_instance(end, expected):
    run = LoadRun(
        arrivals=[create_arrival()],
        balancer=FixedBalancer(),
        client=BlockingClient(),
        stop_when_unavailable=end,
    )
    observations = await run.run()
    assert [item.outcome for item in observations] == [RequestOutcome.UNSENT] * expected
