"""Tests of greengagelatch_entry.application."""

from __future__ import annotations

import asyncio
import os
import signal
from types import SimpleNamespace

from mode import Service

from greengagelatch.clock import ManualClock
from greengagelatch.events import EventBus
from greengagelatch_entry.application import Application, ExitCode
from greengagelatch_entry.controllers import Controller
from greengagelatch_entry.controllers.drain import DrainController
from greengagelatch_entry.metrics import Metrics

#: timeout of every wait in these tests, in seconds
TIMEOUT = 10


class RecordingController(Controller):
    """A controller that records its start and stop."""

    def __init__(self, name: str, steps: list[str]) -> None:
        super().__init__()
        self.name = name
        self.port = 1
        self._steps = steps

    async def on_start(self) -> None:
        self._steps.append(f"start {self.name}")

    async def on_stop(self) -> None:
        self._steps.append(f"stop {self.name}")

    def dump(self):
        return {}


class FailingController(RecordingController):
    """A controller whose background task raises."""

    @Service.task
    async def _work(self) -> None:
        raise RuntimeError("out of order")


class AddressInUseController(RecordingController):
    """A controller whose address is in use."""

    async def on_start(self) -> None:
        raise OSError("address in use")


async def do_nothing() -> None:
    pass


async def report_idle(seconds: float) -> bool:
    return True


def create_application(
    *parts: RecordingController,
) -> tuple[Application, DrainController]:
    drain = DrainController(
        clock=ManualClock(),
        events=EventBus(),
        metrics=Metrics("127.0.0.1:9"),
        balancer_lag=0.0,
        max_drain_seconds=TIMEOUT,
        close_listener=do_nothing,
        wait_idle=report_idle,
        abort_requests=lambda: None,
    )
    composed = SimpleNamespace(
        controllers=(*parts, drain),
        drain=drain,
        close=do_nothing,
        # a signal that is ignored by default, so that the tests survive a missed one
        signals={signal.SIGWINCH: drain.start_drain},
        list_addresses=dict,
    )
    return Application(composed), drain


async def test_controllers_stop_in_the_reverse_order_of_their_start():
    steps: list[str] = []
    application, drain = create_application(
        RecordingController("a", steps), RecordingController("b", steps)
    )
    drain.start_drain()
    async with asyncio.timeout(TIMEOUT):
        assert await application.run() == ExitCode.FINISHED
    assert steps == ["start a", "start b", "stop b", "stop a"]


async def test_failed_background_task_stops_the_process():
    """Guards against an instance that serves with an outdated configuration.

    The task that receives configuration changes raises, and everything else continues
    to run, unless the end of a task stops the process.
    """
    application, _ = create_application(FailingController("a", []))
    async with asyncio.timeout(TIMEOUT):
        assert await application.run() == ExitCode.FAILED


class SignallingController(RecordingController):
    """A controller that sends a signal to the process while it starts."""

    async def on_start(self) -> None:
        await super().on_start()
        os.kill(os.getpid(), signal.SIGWINCH)
        await asyncio.sleep(0)


async def test_signal_during_startup_is_handled():
    """Guards against a process that is killed by a stop signal during start-up.

    The signal arrives when one controller already serves and others still start. It
    would kill the process if handlers were installed only after all have started.
    """
    steps: list[str] = []
    application, _ = create_application(
        SignallingController("a", steps), RecordingController("b", steps)
    )
    async with asyncio.timeout(TIMEOUT):
        assert await application.run() == ExitCode.FINISHED
    assert steps == ["start a", "start b", "stop b", "stop a"]


async def test_address_in_use_aborts_startup_and_stops_started_controllers():
    steps: list[str] = []
    application, _ = create_application(
        RecordingController("a", steps), AddressInUseController("b", steps)
    )
    async with asyncio.timeout(TIMEOUT):
        assert await application.run() == ExitCode.STARTUP_FAILED
    assert steps == ["start a", "stop a"]
