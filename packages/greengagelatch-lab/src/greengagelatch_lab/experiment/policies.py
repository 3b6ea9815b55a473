"""The compared policies: the project's scheduler, and round robin without limits."""

from __future__ import annotations

from collections.abc import Callable, Hashable
from dataclasses import replace

from result import Result

from greengagelatch.config.objects import Stage, StageKind
from greengagelatch.config.policy_resolution import Weights
from greengagelatch.config.snapshot import Snapshot
from greengagelatch.errors import Refusal
from greengagelatch.load import Grant, Outcome, Ticket
from greengagelatch.load.admission import AdmissionRule, Arrival, EstimateAdmission
from greengagelatch.load.deadlines import DeadlinePlan
from greengagelatch.load.durations import DurationTracker, create_first_token_kind
from greengagelatch.load.round_robin import RoundRobinDispatcher
from greengagelatch.load.scheduler import Scheduler, SchedulerRule
from greengagelatch.load.weights import scale_hedge_delay
from greengagelatch.stages.hedging import HedgeRule, choose_hedge_delay
from greengagelatch.stages.plan import divide_by_share

from .entry import Entry, RequestRun, run_synchronously
from .traces import Request

__all__ = ("NaiveEntry", "SchedulingEntry")

#: default weights: attainment and cost count equally
BALANCED = Weights()
#: latency percentile above which a call counts as late; equal to the daemon's
LATE_PERCENTILE = 95
#: delay of the hedge of a probe, in medians of the call duration
PROBE_HEDGE_FACTOR = 2.0


class NaiveEntry(Entry):
    """Uses round robin, without admission control or concurrency limits."""

    def __init__(
        self,
        *,
        snapshot: Snapshot,
        sender_count: int,
        streams: frozenset[str],
        **values,
    ) -> None:
        super().__init__(**values)
        self._dispatcher = RoundRobinDispatcher(
            directory=self.directory, clock=self.clock
        )

    def plan(self, run: RequestRun, stage: Stage) -> float:
        request = run.request
        now = self.clock.now()
        return divide_by_share(request.pipeline, stage, now, request.deadline)

    def acquire(
        self, ticket: Ticket, receive: Callable[[Result[Grant, Refusal]], None]
    ) -> object:
        receive(run_synchronously(self._dispatcher.acquire(ticket)))
        return None

    def release(self, grant: Grant, outcome: Outcome) -> None:
        self._dispatcher.release(grant, outcome)


class SchedulingEntry(Entry):
    """Uses the scheduler with its admission control, deadline plan and hedging."""

    def __init__(
        self,
        *,
        snapshot: Snapshot,
        sender_count: int,
        streams: frozenset[str],
        weights: Weights = BALANCED,
        **values,
    ) -> None:
        super().__init__(**values)
        self._weights = weights
        self._snapshot = snapshot
        self._durations = DurationTracker()
        self._hedge_rule = HedgeRule()
        self._stream_hedge_rule = HedgeRule(factor=3.0, min_delay=0.3)
        self._streams = streams
        self._plan = DeadlinePlan(
            durations=self._durations, find_pipeline=snapshot.pipelines.get
        )
        self._scheduler = Scheduler(
            directory=self.directory,
            rule=SchedulerRule(),
            data_centre=self.data_centre,
            random_source=self.random,
            weigh=lambda workspace: 1.0,
            count_senders=lambda service: sender_count,
            estimate_remaining=self._plan.estimate_remaining,
            find_weights=lambda workspace, pipeline: weights,
            durations=self._durations,
            now=self.clock.now(),
        )
        self._admission = EstimateAdmission(
            rule=AdmissionRule(), find_service=self._scheduler.find_service
        )
        self._receivers: dict[int, Callable[[Result[Grant, Refusal]], None]] = {}
        self._polling = False
        self._timer_set = False

    def find_priority(self, request: Request) -> int:
        urgent = request.pipeline.labels.get("urgency") == "short"
        return 10 if urgent else 0

    def admit(self, run: RequestRun) -> Refusal | None:
        request = run.request
        arrival = Arrival(
            workspace=request.arrival.workspace,
            pipeline=request.pipeline,
            priority=self.find_priority(request),
            deadline=request.deadline,
            weights=self._weights,
        )
        return self._admission.check(arrival, self.clock.now())

    def plan(self, run: RequestRun, stage: Stage) -> float:
        request = run.request
        return self._plan(request.pipeline, stage, self.clock.now(), request.deadline)

    def record_first_token(self, grant: Grant, seconds: float) -> None:
        self._scheduler.record_first_token(grant, seconds, self.clock.now())

    def find_hedge_delay(self, grant: Grant) -> float | None:
        ticket = grant.ticket
        now = self.clock.now()
        kind: Hashable = (ticket.pipeline, ticket.stage)
        rule = self._hedge_rule
        if ticket.kind is StageKind.GENERATE and ticket.pipeline in self._streams:
            kind = create_first_token_kind(ticket.pipeline, ticket.stage)
            rule = self._stream_hedge_rule
        scale = scale_hedge_delay(self._weights)
        rule = replace(rule, factor=rule.factor * scale)
        median = self._durations.estimate(kind, 50, now, 0.0)
        if grant.probe and median > 0:
            return PROBE_HEDGE_FACTOR * median
        return choose_hedge_delay(
            rule,
            median=median,
            late=self._durations.estimate(kind, LATE_PERCENTILE, now, 0.0),
            remaining=ticket.stage_deadline - now,
        )

    def acquire(
        self, ticket: Ticket, receive: Callable[[Result[Grant, Refusal]], None]
    ) -> object:
        waiting_id = self._scheduler.submit(ticket, self.clock.now())
        self._receivers[waiting_id] = receive
        self._poll()
        return waiting_id

    def cancel_pending(self, waiting: object) -> None:
        self._scheduler.cancel(waiting)
        self._receivers.pop(waiting, None)

    def release(self, grant: Grant, outcome: Outcome) -> None:
        self._scheduler.finish(grant, outcome, self.clock.now())
        self._poll()

    def _poll(self) -> None:
        if self._polling:
            return
        self._polling = True
        while True:
            decisions = self._scheduler.poll(self.clock.now())
            if not decisions:
                break
            for decision in decisions:
                receive = self._receivers.pop(decision.ticket_id, None)
                if receive is not None:
                    receive(decision.result)
        self._polling = False
        self._set_timer()

    def _set_timer(self) -> None:
        if self._timer_set:
            return
        wake = self._scheduler.find_next_wake(self.clock.now())
        if wake is not None:
            self._timer_set = True
            self.clock.call_at(wake, self._wake)

    def _wake(self) -> None:
        self._timer_set = False
        self._scheduler.expire(self.clock.now())
        self._poll()
