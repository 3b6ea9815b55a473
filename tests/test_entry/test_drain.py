"""Tests of greengagelatch_entry.controllers.drain."""

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

#: timeout of every wait in these tests, in seconds
TIMEOUT = 10


class FakeListener:
    """A fake of the callers' server that records the order of calls."""

    def __init__(self) -> None:
        self.steps: list[str] = []
        self.idle = asyncio.Event()
        #: whether all requests in flight are reported as completed
        self.finished = True

    async def close(self) -> None:
        self.steps.append("closed")

    def break_off(self) -> None:
        self.steps.append("broken off")

    async def wait_idle(self, seconds: float) -> bool:
        self.steps.append("waiting")
        try:
            await asyncio.wait_for(self.idle.wait(), seconds)
        except TimeoutError:
            return False
        return self.finished


def create_drain(listener: FakeListener, lag: float = 0.0) -> DrainController:
    """Return a drain controller of ``listener``."""
    return DrainController(
        clock=ManualClock(),
        events=EventBus(),
        metrics=Metrics("127.0.0.1:9"),
        balancer_lag=lag,
        max_drain_seconds=TIMEOUT,
        close_listener=listener.close,
        wait_idle=listener.wait_idle,
        abort_requests=listener.break_off,
    )


async def test_listener_stays_open_while_the_balancer_lags():
    """Guards against refused connections during each rollout.

    The load balancer, which polls readiness, still sends new connections for a while
    after the stop was requested. The listener must not be closed before.
    """
    listener = FakeListener()
    drain = create_drain(listener, lag=3600)
    stop = asyncio.create_task(drain.wait())
    drain.request_stop()
    await asyncio.sleep(0)
    assert drain.draining
    assert drain.state is DrainState.LEAVING
    assert listener.steps == []
    stop.cancel()
    await asyncio.gather(stop, return_exceptions=True)


async def test_requests_in_flight_are_completed():
    """Guards against streams without an end event whenever an instance stops.

    The stop begins during a stream; the process must not exit before it is complete.
    """
    listener = FakeListener()
    drain = create_drain(listener)
    stop = asyncio.create_task(drain.wait())
    drain.request_stop()
    await wait_until(lambda: listener.steps == ["closed", "waiting"])
    assert not stop.done()
    listener.idle.set()
    assert await asyncio.wait_for(stop, TIMEOUT)
    assert drain.state is DrainState.STOPPED


async def test_no_request_begins_once_none_is_in_flight():
    """Guards against requests that are passed on by a process which exits.

    A request is read in the turn of the loop after the last one has ended. The fault is
    to accept it, as requests are rejected some turns later only.
    """
    listener = FakeListener()
    drain = create_drain(listener)

    async def end_last_request(_: float) -> bool:
        asyncio.get_running_loop().call_soon(listener.steps.append, "next read")
        return True

    drain._wait_idle = end_last_request
    drain.request_stop()
    assert await asyncio.wait_for(drain.wait(), TIMEOUT)
    assert listener.steps == ["closed", "broken off", "next read"]


async def test_second_stop_request_stops_at_once():
    listener = FakeListener()
    drain = create_drain(listener, lag=3600)
    stop = asyncio.create_task(drain.wait())
    drain.request_stop()
    drain.request_stop()
    assert await asyncio.wait_for(stop, TIMEOUT) is False


async def test_second_stop_request_aborts_the_requests_in_flight():
    """Guards against connections closed without an answer by a second signal."""
    listener = FakeListener()
    drain = create_drain(listener)
    stop = asyncio.create_task(drain.wait())
    drain.request_stop()
    await wait_until(lambda: listener.steps == ["closed", "waiting"])
    drain.request_stop()
    assert await asyncio.wait_for(stop, TIMEOUT) is False
    assert listener.steps == ["closed", "waiting", "broken off", "waiting"]
    assert drain.state is DrainState.STOPPED


async def test_drain_by_an_operator_is_idempotent():
    """Guards against requests in flight that are cancelled by a second ``drain``.

    An operator retries the command as its answer was lost. Unlike a second signal,
    which stops at once, the retry must have no effect.
    """
    listener = FakeListener()
    drain = create_drain(listener)
    drain_events = []
    drain._events.connect(DRAIN_STARTED, lambda: drain_events.append(True))
    stop = asyncio.create_task(drain.wait())
    drain.start_drain()
    drain.start_drain()
    listener.idle.set()
    assert await asyncio.wait_for(stop, TIMEOUT)
    assert drain_events == [True]


async def test_requests_not_completed_in_time_are_aborted():
    """Guards against connections closed without an answer at the end of a stop.

    The time for requests in flight is over. They must be cancelled and get their
    final answers before the process exits.
    """
    listener = FakeListener()
    listener.idle.set()
    listener.finished = False
    drain = create_drain(listener)
    stop = asyncio.create_task(drain.wait())
    drain.request_stop()
    assert await asyncio.wait_for(stop, TIMEOUT) is False
    assert listener.steps == ["closed", "waiting", "broken off", "waiting"]


async def test_failed_step_is_logged_and_requests_are_aborted(caplog):
    """Guards against a stop that skips its later steps after an error.

    Closing the listener fails. The error must be logged, and the requests in flight
    must still get their answers.
    """
    listener = FakeListener()
    listener.idle.set()
    drain = create_drain(listener)

    async def fail() -> None:
        raise RuntimeError("no such descriptor")

    drain._close_listener = fail
    stop = asyncio.create_task(drain.wait())
    drain.request_stop()
    assert await asyncio.wait_for(stop, TIMEOUT) is False
    assert listener.steps == ["broken off", "waiting"]
    assert "no such descriptor" in caplog.text


def test_drain_deadline_is_known_once_a_stop_is_requested():
    drain = create_drain(FakeListener(), lag=2.0)
    assert drain.drain_deadline == math.inf
    drain.request_stop()
    assert drain.drain_deadline == drain.started_at + 2.0 + TIMEOUT
