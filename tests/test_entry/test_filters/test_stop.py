"""Tests of greengagelatch_entry.filters.stop."""

from __future__ import annotations

import asyncio
from dataclasses import replace

from greengagelatch.errors import RefusalCode
from greengagelatch.request import Answer, Request
from greengagelatch.verdict import Verdict
from greengagelatch_entry.filters import Exchange, chain
from greengagelatch_entry.filters.stop import StopFilter
from greengagelatch_entry.in_flight_requests import InFlightRequests

REQUEST = Request(
    request_id="r-1",
    workspace="north",
    pipeline="ask",
    input=1,
    received=0.0,
    deadline=10.0,
)


def create_handler(
    in_flight: InFlightRequests, verdict: Verdict, started: asyncio.Event
):
    """Return a chain whose last handler never answers."""

    async def wait_forever(exchange: Exchange) -> Answer:
        exchange.raise_verdict(verdict)
        started.set()
        await asyncio.Event().wait()

    return chain((StopFilter(in_flight=in_flight),), wait_forever)


async def abort_request(verdict: Verdict) -> Answer:
    in_flight, started = InFlightRequests(), asyncio.Event()
    handler = create_handler(in_flight, verdict, started)
    answering = asyncio.create_task(handler(Exchange(request=REQUEST)))
    await started.wait()
    in_flight.abort_all()
    answer = await answering
    assert len(in_flight) == 0
    return answer


async def test_aborted_request_that_has_not_run_is_answered_not_run():
    """Guards against connections closed without an answer at the end of a stop.

    The time of the stop is over while a request waits for a stage. If the process
    just exited, its caller would not know that nothing has run.
    """
    answer = await abort_request(Verdict.NOT_RUN)
    assert answer.refusal.code is RefusalCode.NOT_READY
    assert answer.refusal.verdict is Verdict.NOT_RUN
    assert answer.refusal.retry_after_ms == 0


async def test_aborted_request_that_may_have_run_is_not_answered_not_run():
    answer = await abort_request(Verdict.MAY_HAVE_RUN)
    assert answer.verdict is Verdict.MAY_HAVE_RUN
    assert answer.refusal.verdict is Verdict.MAY_HAVE_RUN


async def test_request_that_starts_after_the_abort_is_refused():
    in_flight = InFlightRequests()
    in_flight.abort_all()
    handler = create_handler(in_flight, Verdict.NOT_RUN, asyncio.Event())
    answer = await handler(Exchange(request=REQUEST))
    assert answer.refusal.code is RefusalCode.NOT_READY


async def test_request_that_starts_after_the_abort_does_not_run():
    in_flight, started = InFlightRequests(), asyncio.Event()
    in_flight.abort_all()
    handler = create_handler(in_flight, Verdict.NOT_RUN, started)
    await handler(Exchange(request=REQUEST))
    assert not started.is_set()


async def test_disconnected_caller_is_not_answered():
    """A disconnected caller cancels its request, which is not the end of a stop."""
    in_flight, started = InFlightRequests(), asyncio.Event()
    handler = create_handler(in_flight, Verdict.NOT_RUN, started)
    answering = asyncio.create_task(handler(Exchange(request=REQUEST)))
    await started.wait()
    answering.cancel()
    (result,) = await asyncio.gather(answering, return_exceptions=True)
    assert isinstance(result, asyncio.CancelledError)
    assert len(in_flight) == 0


async def test_aborted_request_with_a_key_is_not_answered_not_run():
    """Guards against an answer "not run" to a request that runs later.

    A stop cancels a request with an idempotency key while its target processes it.
    The run continues detached from its caller, so that a retry finds its outcome,
    and raises the verdict only when it ends.
    """
    in_flight, started = InFlightRequests(), asyncio.Event()
    runs: list[asyncio.Task[None]] = []

    async def shield_run(exchange: Exchange) -> Answer:
        run = asyncio.create_task(asyncio.sleep(60))
        runs.append(run)
        started.set()
        await asyncio.shield(run)

    handler = chain((StopFilter(in_flight=in_flight),), shield_run)
    exchange = Exchange(request=replace(REQUEST, key="k-1"))
    answering = asyncio.create_task(handler(exchange))
    await started.wait()
    in_flight.abort_all()
    answer = await answering
    assert answer.refusal.verdict is Verdict.MAY_HAVE_RUN
    assert exchange.verdict is Verdict.MAY_HAVE_RUN
    assert not runs[0].done()
    runs[0].cancel()
