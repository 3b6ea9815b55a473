"""Model of an entry instance that runs requests through their stages."""

from __future__ import annotations

import random
from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass, field

from result import Err, Result

from greengagelatch.config.objects import Stage
from greengagelatch.errors import Refusal
from greengagelatch.load import Grant, Outcome, OutcomeKind, Ticket
from greengagelatch.stages.graph import find_ready
from greengagelatch.stages.retries import RetryRules, decide_retry
from greengagelatch.targets import CallFailure, FailureKind
from greengagelatch.verdict import Verdict

from .events import EventClock
from .fleet import ModelDirectory, ModelFleet
from .models import ModelCall
from .traces import Request

__all__ = ("Entry", "RequestRun", "StageRun")

_OUTCOMES = {
    FailureKind.TARGET_REFUSED: OutcomeKind.REJECTED,
}


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt to run a stage on a target."""

    grant: Grant
    call: ModelCall
    started: float


@dataclass(slots=True, eq=False)
class StageRun:
    """The execution of one stage of a request."""

    run: RequestRun
    stage: Stage
    started: float
    deadline: float
    attempts: int = 0
    excluded: frozenset[str] = frozenset()
    open_attempts: list[Attempt] = field(default_factory=list)
    waiting: object = None
    done: bool = False


@dataclass(slots=True, eq=False)
class RequestRun:
    """The execution of one request and its result."""

    request: Request
    begun: set[str] = field(default_factory=set)
    results: set[str] = field(default_factory=set)
    stages: list[StageRun] = field(default_factory=list)
    calls: list[tuple[str, ModelCall]] = field(default_factory=list)
    first_token: float | None = None
    finished: float | None = None
    answered: bool = False
    refusal: Refusal | None = None
    retries: int = 0
    hedges: int = 0

    @property
    def ended(self) -> bool:
        """Whether the request has been answered, refused or abandoned."""
        return self.finished is not None


class Entry(ABC):
    """Runs stages like the daemon's pipeline runner; subclasses define the policy."""

    def __init__(
        self,
        *,
        instance_id: str,
        data_centre: str,
        clock: EventClock,
        fleet: ModelFleet,
        directory: ModelDirectory,
        random_source: random.Random,
    ) -> None:
        self.instance_id = instance_id
        self.data_centre = data_centre
        self.clock = clock
        self.fleet = fleet
        self.directory = directory
        self.random = random_source
        self.alive = True
        self._rules = RetryRules()

    # policy hooks

    def admit(self, run: RequestRun) -> Refusal | None:
        """Apply admission control; return the refusal of a rejected request."""
        return None

    def handle_end(self, run: RequestRun) -> None:  # noqa: B027
        """Handle the end of a request."""

    @abstractmethod
    def plan(self, run: RequestRun, stage: Stage) -> float:
        """Return the deadline of a stage that starts at this moment."""

    @abstractmethod
    def acquire(
        self, ticket: Ticket, receive: Callable[[Result[Grant, Refusal]], None]
    ) -> object:
        """Request a target; ``receive`` is called with it, at once or later."""

    def cancel_pending(self, waiting: object) -> None:  # noqa: B027
        """Cancel the pending request that :meth:`acquire` returned."""

    @abstractmethod
    def release(self, grant: Grant, outcome: Outcome) -> None:
        """Release a grant and report the outcome of its call."""

    def record_first_token(self, grant: Grant, seconds: float) -> None:  # noqa: B027
        """Record the time to first token of a stream."""

    def find_hedge_delay(self, grant: Grant) -> float | None:
        """Return the seconds after which to send a hedge, or ``None`` for no hedge."""
        return None

    # execution

    def start(self, request: Request) -> RequestRun:
        """Start the execution of a request."""
        run = RequestRun(request)
        if not self.alive:
            self._end(run)
            return run
        refusal = self.admit(run)
        if refusal is not None:
            run.refusal = refusal
            self._end(run)
            return run
        self.clock.call_at(request.deadline, lambda: self._end(run))
        self._advance(run)
        return run

    def _advance(self, run: RequestRun) -> None:
        pipeline = run.request.pipeline
        for stage in find_ready(pipeline, run.begun, run.results):
            run.begun.add(stage.name)
            stage_run = StageRun(run, stage, self.clock.now(), self.plan(run, stage))
            run.stages.append(stage_run)
            self._request_grant(stage_run, retry=False)
        if len(run.results) == len(pipeline.stages):
            run.answered = True
            self._end(run)

    def _request_grant(
        self, stage_run: StageRun, *, retry: bool, hedge: bool = False
    ) -> None:
        ticket = self._create_ticket(stage_run, retry=retry)
        received: list[bool] = []

        def receive(result: Result[Grant, Refusal]) -> None:
            received.append(True)
            stage_run.waiting = None
            self._receive(stage_run, result, hedge=hedge)

        waiting = self.acquire(ticket, receive)
        if not received:
            stage_run.waiting = waiting

    def _create_ticket(self, stage_run: StageRun, *, retry: bool) -> Ticket:
        request, stage = stage_run.run.request, stage_run.stage
        return Ticket(
            request_id=str(request.arrival.index),
            workspace=request.arrival.workspace,
            pipeline=request.pipeline.name,
            stage=stage.name,
            service=stage.service,
            kind=stage.kind,
            deadline=request.deadline,
            stage_deadline=stage_run.deadline,
            priority=self.find_priority(request),
            repeatable=stage.repeatable,
            prefix=request.work[stage.name].prefix,
            begun=bool(stage_run.run.results),
            excluded=stage_run.excluded,
            retry=retry,
        )

    def find_priority(self, request: Request) -> int:
        """Return the scheduling priority of a request's calls."""
        return 0

    def _receive(
        self, stage_run: StageRun, result: Result[Grant, Refusal], *, hedge: bool
    ) -> None:
        run = stage_run.run
        if isinstance(result, Err):
            if hedge or run.ended or stage_run.open_attempts:
                return
            run.refusal = result.err_value
            self._end(run)
            return
        grant = result.ok_value
        if run.ended or stage_run.done or not self.alive:
            self.release(grant, Outcome(OutcomeKind.ABANDONED, 0.0))
            return
        self._call(stage_run, grant)

    def _call(self, stage_run: StageRun, grant: Grant) -> None:
        run = stage_run.run
        name = stage_run.stage.name
        call = ModelCall(
            work=run.request.work[name],
            priority=grant.ticket.priority,
            on_done=lambda: self._answer(stage_run, attempt),
            on_disconnect=lambda: self._fail(
                stage_run, attempt, FailureKind.DISCONNECTED
            ),
            on_first_token=lambda: self._handle_first_token(stage_run, attempt),
        )
        attempt = Attempt(grant, call, self.clock.now())
        stage_run.attempts += 1
        stage_run.open_attempts.append(attempt)
        run.calls.append((name, call))
        self.fleet.send(
            self.data_centre,
            grant.target.target_id,
            call,
            lambda not_run: self._fail(
                stage_run,
                attempt,
                FailureKind.CONNECT if not_run else FailureKind.STALLED,
            ),
        )
        self._schedule_hedge(stage_run, attempt)

    def _schedule_hedge(self, stage_run: StageRun, attempt: Attempt) -> None:
        if not stage_run.stage.repeatable:
            return
        streamed = stage_run.run.request.arrival.stream
        if streamed and stage_run.attempts > 1:
            # attempts are limited: waiting is better than restarting a stream again
            return
        hedge_delay = self.find_hedge_delay(attempt.grant)
        if hedge_delay is None:
            return
        self.clock.call_later(hedge_delay, lambda: self._send_hedge(stage_run, attempt))

    def _send_hedge(self, stage_run: StageRun, attempt: Attempt) -> None:
        run = stage_run.run
        if run.ended or stage_run.open_attempts != [attempt]:
            return
        if run.request.arrival.stream:
            if attempt.call.generated_tokens:
                return
            # two concurrent streams could differ in tokens: cancel the first
            model = self.fleet.models[attempt.grant.target.target_id]
            model.cancel(attempt.call)
            self._fail(stage_run, attempt, FailureKind.STALLED)
            return
        run.hedges += 1
        stage_run.excluded |= {attempt.grant.target.target_id}
        self._request_grant(stage_run, retry=True, hedge=True)

    def _handle_first_token(self, stage_run: StageRun, attempt: Attempt) -> None:
        run = stage_run.run
        if run.ended or not run.request.arrival.stream:
            return
        now = self.clock.now()
        self.record_first_token(attempt.grant, now - attempt.started)
        if run.first_token is None:
            run.first_token = now

    def _answer(self, stage_run: StageRun, attempt: Attempt) -> None:
        if attempt not in stage_run.open_attempts:
            return
        stage_run.open_attempts.remove(attempt)
        attempt.call.answered = True
        seconds = self.clock.now() - attempt.started
        self.directory.record_call(attempt.grant.target.target_id, answered=True)
        self._cancel_attempts(stage_run)
        stage_run.done = True
        stage_run.run.results.add(stage_run.stage.name)
        tokens = self._count_tokens(stage_run, attempt)
        outcome = Outcome(OutcomeKind.SUCCESS, seconds, tokens)
        self.release(attempt.grant, outcome)
        self._advance(stage_run.run)

    def _fail(self, stage_run: StageRun, attempt: Attempt, kind: FailureKind) -> None:
        if attempt not in stage_run.open_attempts:
            return
        stage_run.open_attempts.remove(attempt)
        attempt.call.ended = True
        target_id = attempt.grant.target.target_id
        model = self.fleet.models[target_id]
        if kind is FailureKind.CONNECT and model.reachable:
            kind = FailureKind.TARGET_REFUSED
        elif kind in (FailureKind.CONNECT, FailureKind.STALLED):
            self.directory.record_call(target_id, answered=False)
        seconds = self.clock.now() - attempt.started
        outcome = _OUTCOMES.get(kind, OutcomeKind.FAILURE)
        self.release(attempt.grant, Outcome(outcome, seconds))
        if stage_run.open_attempts or stage_run.run.ended:
            return
        self._retry(stage_run, target_id, kind)

    def _retry(self, stage_run: StageRun, target_id: str, kind: FailureKind) -> None:
        run = stage_run.run
        not_run = kind in (FailureKind.CONNECT, FailureKind.TARGET_REFUSED)
        verdict = Verdict.NOT_RUN if not_run else Verdict.MAY_HAVE_RUN
        stop_reason = decide_retry(
            self._rules,
            CallFailure(kind=kind, verdict=verdict, message=""),
            repeatable=stage_run.stage.repeatable,
            attempts=stage_run.attempts,
            remaining=run.request.deadline - self.clock.now(),
        )
        if stop_reason is not None:
            self._end(run)
            return
        run.retries += 1
        stage_run.excluded |= {target_id}
        self._request_grant(stage_run, retry=True)

    def _count_tokens(self, stage_run: StageRun, attempt: Attempt) -> int:
        streamed = stage_run.run.request.arrival.stream
        return attempt.call.generated_tokens if streamed else 0

    def _cancel_attempts(self, stage_run: StageRun) -> None:
        """Cancel the open attempts of a stage and its pending ticket."""
        if stage_run.waiting is not None:
            self.cancel_pending(stage_run.waiting)
            stage_run.waiting = None
        for attempt in stage_run.open_attempts:
            model = self.fleet.models[attempt.grant.target.target_id]
            model.cancel(attempt.call)
            seconds = self.clock.now() - attempt.started
            tokens = self._count_tokens(stage_run, attempt)
            outcome = Outcome(OutcomeKind.ABANDONED, seconds, tokens)
            self.release(attempt.grant, outcome)
        stage_run.open_attempts.clear()

    def _end(self, run: RequestRun) -> None:
        if run.ended:
            return
        run.finished = self.clock.now()
        for stage_run in run.stages:
            self._cancel_attempts(stage_run)
        self.handle_end(run)


def run_synchronously(coroutine) -> Result[Grant, Refusal]:
    """Run a coroutine that never suspends and return its result."""
    try:
        coroutine.send(None)
    except StopIteration as stop:
        return stop.value
    raise RuntimeError(f"coroutine {coroutine} suspended instead of returning")
