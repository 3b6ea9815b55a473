"""Tests of the planned stop."""

from __future__ import annotations

import asyncio
import math

from greengagelatch.clock import ManualClock
from greengagelatch.events import EventBus
from greengagelatch_entry.controllers.drain import (
    DRAIN_STARTED,
    DrainController,
    DrainState,
)
from greengagelatch_entry.metrics import Metrics
from greengagelatch_lab.waiting import wait_until

#: bound of every wait in these tests, in seconds
PATIENCE = 10


class Listener:
    """Stands in for the callers' server and records the order of calls."""

    def __init__(self) -> None:
        self.steps: list[str] = []
        self.idle = asyncio.Event()
        #: what it says of the requests in flight
        self.finished = True

    async def close(self) -> None:
        self.steps.append("closed")

    def break_off(self) -> None:
        self.steps.append("broken off")

    async def wait_idle(self, seconds: float) -> bool:
        self.steps.append("waiting")
        await asyncio.wait_for(self.idle.wait(), PATIENCE)
        return self.finished


def create_drain(listener: Listener, lag: float = 0.0) -> DrainController:
    """Return a controller that drains ``listener``."""
    return DrainController(
        clock=ManualClock(),
        events=EventBus(),
        metrics=Metrics("127.0.0.1:9"),
        balancer_lag=lag,
        max_drain_seconds=PATIENCE,
        close_listener=listener.close,
        wait_idle=listener.wait_idle,
        abort_requests=listener.break_off,
    )


async def test_listener_stays_open_while_the_balancer_lags():
    """Symptom: connections refused during each rollout.

    Sequence: the instance is told to stop and closes its listener while the
    balancer, which polls readiness, still sends it new connections.
    Cause: closing came before the balancer could know.
    """
    listener = Listener()
    drain = create_drain(listener, lag=3600)
    stop = asyncio.create_task(drain.wait())
    drain.request_stop()
    await asyncio.sleep(0)
    assert drain.draining
    assert drain.state is DrainState.LEAVING
    assert listener.steps == []
    stop.cancel()
    await asyncio.gather(stop, return_exceptions=True)


async def test_requests_in_flight_are_finished():
    """Symptom: a stream ends without its end event whenever an instance stops.

    Sequence: a stream runs, the stop begins, the process exits.
    Cause: the stop did not wait for what was in flight.
    """
    listener = Listener()
    drain = create_drain(listener)
    stop = asyncio.create_task(drain.wait())
    drain.request_stop()
    await wait_until(lambda: listener.steps == ["closed", "waiting"])
    assert not stop.done()
    listener.idle.set()
    assert await asyncio.wait_for(stop, PATIENCE)
    assert drain.state is DrainState.STOPPED


async def test_second_request_ends_at_once():
    listener = Listener()
    drain = create_drain(listener, lag=3600)
    stop = asyncio.create_task(drain.wait())
    drain.request_stop()
    drain.request_stop()
    assert await asyncio.wait_for(stop, PATIENCE) is False


async def test_drain_by_an_operator_is_idempotent():
    """Symptom: an operator repeats ``drain`` and requests in flight are cut.

    Sequence: drain, its answer is lost, drain again.
    Cause: the repeat was taken for the second signal, which ends at once.
    """
    listener = Listener()
    drain = create_drain(listener)
    heard = []
    drain._events.connect(DRAIN_STARTED, lambda: heard.append(True))
    stop = asyncio.create_task(drain.wait())
    drain.start_drain()
    drain.start_drain()
    listener.idle.set()
    assert await asyncio.wait_for(stop, PATIENCE)
    assert heard == [True]


async def test_what_is_not_finished_in_time_is_broken_off():
    """Symptom: callers see closed connections at the end of a stop.

    Sequence: the time for requests in flight is over, and the process ends.
    Cause: nobody gave these requests their final answers.
    """
    listener = Listener()
    listener.idle.set()
    listener.finished = False
    drain = create_drain(listener)
    stop = asyncio.create_task(drain.wait())
    drain.request_stop()
    assert await asyncio.wait_for(stop, PATIENCE) is False
    assert listener.steps == ["closed", "waiting", "broken off", "waiting"]


async def test_step_that_fails_is_told_and_breaks_off(caplog):
    """Symptom: an instance ends its stop in silence, and its callers are cut.

    Sequence: closing the listener fails.
    Cause: the error was taken for the result of the stop, and what follows left out.
    """
    listener = Listener()
    listener.idle.set()
    drain = create_drain(listener)

    async def fail() -> None:
        raise RuntimeError("no such descriptor")

    drain._close_listener = fail
    stop = asyncio.create_task(drain.wait())
    drain.request_stop()
    assert await asyncio.wait_for(stop, PATIENCE) is False
    assert listener.steps == ["broken off", "waiting"]
    assert "no such descriptor" in caplog.text


def test_end_of_a_stop_is_known_once_it_is_requested():
    drain = create_drain(Listener(), lag=2.0)
    assert drain.drain_deadline == math.inf
    drain.request_stop()
    assert drain.drain_deadline == drain.started_at + 2.0 + PATIENCE
