"""Base of simulated targets: calls, cancellation, load reports, faults, run log.

In addition to the calls of ``docs/protocols.md``, each target serves, for tests and
experiments::

    POST /control/faults   fields of TargetFaults
    GET  /record           {"runs": [RunRecord]}
    GET  /record/summary   counts, and costs by stage and outcome
"""

from __future__ import annotations

import asyncio
import random
from abc import ABC, abstractmethod
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from typing import Any

from aiohttp import web

from .answers import expected_output, find_hint
from .faults import FAULT_NAMES, Fault, TargetFaults, draw_fault
from .options import TargetOptions
from .run_log import Call, RunLog, RunOutcome, RunRecord, decode_call, read_ms
from .serving import MAX_BODY, ControlError, read_json, update_fields

__all__ = ("Attempt", "Target", "refuse")

STATES = ("live", "leaving")
#: retry delay in milliseconds that a rejected caller is given
RETRY_AFTER_MS = 50
#: seconds between checks whether a caller that gets no answer has disconnected
DISCONNECT_POLL_SECONDS = 0.25
#: relative spread of service times around the mean, to either side
SPREAD = 0.2


@dataclass(slots=True, eq=False)
class Attempt:
    """A call that is queued or running at the target."""

    call: Call
    run_log: RunLog
    run: RunRecord | None = None
    task: asyncio.Task[None] | None = None
    #: texts of the tokens generated so far, from offset ``call.resume_at`` on
    tokens: list[str] = field(default_factory=list)
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    ended: bool = False

    def start(self) -> RunRecord:
        """Record the start of the run."""
        self.run = self.run_log.record_start(self.call)
        return self.run

    def emit(self, text: str) -> None:
        """Append a generated token and wake its stream."""
        self.tokens.append(text)
        self.changed.set()

    def end(self, outcome: RunOutcome) -> None:
        """Record the outcome of the run; further calls have no effect."""
        if self.ended:
            return
        self.ended = True
        if self.run is None:
            self.run_log.not_run += 1
            return
        self.run_log.record_end(self.run, outcome)


class Target(ABC):
    """A simulated target; subclasses define how calls are run."""

    def __init__(self, options: TargetOptions) -> None:
        self.options = options
        self.faults = TargetFaults()
        self.run_log = RunLog()
        self.random = random.Random(options.seed)
        self._attempts: dict[str, Attempt] = {}
        self._last_call: Call | None = None
        self._reports: list[tuple[float, dict[str, Any]]] = []

    @abstractmethod
    async def run(self, attempt: Attempt) -> None:
        """Queue ``attempt``, then start and run it.

        The task that runs this is cancelled together with the call.
        """

    def build_app(self) -> web.Application:
        """Create the application that serves this target."""
        app = web.Application(client_max_size=MAX_BODY)
        app.add_routes(
            [
                web.post("/call", self._call),
                web.post("/cancel", self._cancel),
                web.get("/load", self._get_load),
                web.post("/control/faults", self._set_faults),
                web.get("/record", self._get_record),
                web.get("/record/summary", self._get_summary),
            ]
        )
        app.on_response_prepare.append(self._add_state)
        app.cleanup_ctx.append(self._run_sampling)
        return app

    def draw_service_ms(self, call: Call) -> float:
        """Draw the service time of ``call`` in milliseconds."""
        size = find_hint(call.input, "size")
        factor = size if isinstance(size, int | float) else 1.0
        spread = self.random.uniform(1 - SPREAD, 1 + SPREAD)
        return self.options.service_ms * factor * spread * self.faults.slow

    def report_load(self) -> dict[str, Any]:
        """Return the current load."""
        running = sum(attempt.run is not None for attempt in self._attempts.values())
        return {
            "in_flight": running,
            "queued": len(self._attempts) - running,
            "capacity": self.options.capacity,
            "state": self.faults.state,
            "cached_prefixes": [],
            "models": [],
            "role": "",
        }

    async def stream(
        self, request: web.Request, attempt: Attempt, fault: Fault
    ) -> web.StreamResponse:
        """Answer ``attempt`` as a stream; only engines support it."""
        raise web.HTTPBadRequest(text="this target does not stream")

    def choose_answered_call(self, call: Call, fault: Fault) -> Call:
        """Return the call whose ids and output are sent in the answer to ``call``."""
        if fault is not Fault.CROSS:
            return call
        if self._last_call is not None and self._last_call.attempt != call.attempt:
            return self._last_call
        return Call(
            attempt=f"other-{call.attempt}",
            request=f"other-{call.request}",
            stage=call.stage,
            workspace=call.workspace,
            pipeline=call.pipeline,
            kind=call.kind,
            input="other",
        )

    async def wait_for_disconnect(self, request: web.Request) -> web.Response:
        """Send no answer and wait until the caller closes the connection."""
        while True:
            if request.transport is None or request.transport.is_closing():
                return web.Response()
            await asyncio.sleep(DISCONNECT_POLL_SECONDS)

    async def _call(self, request: web.Request) -> web.StreamResponse:
        try:
            call = decode_call(await read_json(request))
        except TypeError as error:
            raise web.HTTPBadRequest(text=str(error)) from error
        self.run_log.record_arrival()
        fault = draw_fault(self.faults, self.random)
        waiting = sum(attempt.run is None for attempt in self._attempts.values())
        if fault is Fault.REFUSE or waiting >= self.options.queue:
            self.run_log.not_run += 1
            return refuse(call)
        if fault is Fault.STALL:
            self.run_log.not_run += 1
            return await self.wait_for_disconnect(request)
        attempt = Attempt(call, self.run_log)
        attempt.task = asyncio.create_task(self.run(attempt))
        self._attempts[call.attempt] = attempt
        try:
            if call.stream:
                return await self.stream(request, attempt, fault)
            return await self._answer(request, attempt, fault)
        finally:
            attempt.task.cancel()
            # no effect if an outcome has been recorded above
            attempt.end(RunOutcome.CANCELLED)
            self._last_call = call
            if self._attempts.get(call.attempt) is attempt:
                del self._attempts[call.attempt]

    async def _answer(
        self, request: web.Request, attempt: Attempt, fault: Fault
    ) -> web.Response:
        await asyncio.wait([attempt.task])
        call = attempt.call
        if attempt.task.cancelled():
            if attempt.run is None:
                return refuse(call)
            return _fail(call, "cancelled")
        attempt.task.result()
        if fault is Fault.FAIL:
            attempt.end(RunOutcome.FAILED)
            return _fail(call, "failed after the run")
        attempt.end(RunOutcome.DONE)
        if fault is Fault.MUTE:
            return await self.wait_for_disconnect(request)
        if fault is Fault.CUT:
            request.transport.abort()
            return web.Response()
        answered_call = self.choose_answered_call(call, fault)
        return web.json_response(
            {
                "attempt": answered_call.attempt,
                "request": answered_call.request,
                "stage": answered_call.stage,
                "output": expected_output(
                    answered_call.pipeline,
                    answered_call.stage,
                    answered_call.kind,
                    answered_call.input,
                ),
                "cost_ms": attempt.run.cost_ms,
            }
        )

    async def _cancel(self, request: web.Request) -> web.Response:
        body = await read_json(request)
        attempt = self._attempts.get(body.get("attempt", ""))
        cancelled = attempt is not None and attempt.task.cancel()
        return web.json_response({"cancelled": cancelled})

    async def _get_load(self, request: web.Request) -> web.Response:
        if self.faults.load_outage:
            return await self.wait_for_disconnect(request)
        sampled_ms, report = self._reports[0]
        # the state is never stale: a target knows its own
        current = {"state": self.faults.state, "age_ms": read_ms() - sampled_ms}
        return web.json_response(report | current)

    async def _set_faults(self, request: web.Request) -> web.Response:
        body = await read_json(request)
        if body.get("state", "live") not in STATES:
            raise web.HTTPBadRequest(text=f"state must be one of {STATES}")
        try:
            update_fields(self.faults, FAULT_NAMES, body)
        except ControlError as error:
            raise web.HTTPBadRequest(text=str(error)) from error
        if self.faults.state == "live":
            self.run_log.leaving_since_ms = None
        elif self.run_log.leaving_since_ms is None:
            self.run_log.leaving_since_ms = read_ms()
        return web.json_response({})

    async def _get_record(self, request: web.Request) -> web.Response:
        return web.json_response({"runs": self.run_log.encode()})

    async def _get_summary(self, request: web.Request) -> web.Response:
        return web.json_response(self.run_log.summarize())

    async def _add_state(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        response.headers["X-Target-State"] = self.faults.state

    async def _run_sampling(self, app: web.Application) -> AsyncIterator[None]:
        """Sample the load twice per ``load_lag_ms``; the older sample is reported."""
        task = asyncio.create_task(self._sample_load())
        yield
        task.cancel()

    async def _sample_load(self) -> None:
        while True:
            self._reports.append((read_ms(), self.report_load()))
            del self._reports[:-2]
            await asyncio.sleep(max(self.options.load_lag_ms, 1) / 2000)


def refuse(call: Call) -> web.Response:
    """Create the response stating that ``call`` has not run."""
    body = {
        "attempt": call.attempt,
        "not_run": True,
        "retry_after_ms": RETRY_AFTER_MS,
    }
    return web.json_response(body, status=503)


def _fail(call: Call, reason: str) -> web.Response:
    return web.json_response({"attempt": call.attempt, "error": reason}, status=500)
