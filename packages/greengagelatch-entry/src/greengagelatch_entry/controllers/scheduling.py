"""Scheduling of stage calls: queues callers until the scheduler decides."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import TYPE_CHECKING, Any

from mode import Service
from result import Err, Ok, Result

from greengagelatch.errors import Refusal, RefusalCode
from greengagelatch.load import Dispatcher, Grant, Outcome, OutcomeKind, Ticket
from greengagelatch.load.breakers import BreakerRule, BreakerState
from greengagelatch.load.choice import ChoiceRule
from greengagelatch.load.refusals import create_refusal
from greengagelatch.load.scheduler import RETRY_BUDGET, Scheduler, SchedulerRule

from . import Controller

if TYPE_CHECKING:
    from greengagelatch.clock import Clock
    from greengagelatch.events import EventBus
    from greengagelatch.load.service import ServiceLoad
    from greengagelatch.settings import Settings
    from greengagelatch.targets.directory import TargetDirectory

    from ..metrics import Metrics

__all__ = ("TARGET_LEAVING", "SchedulingController", "read_scheduler_rule")

#: emitted with the id of a target when it is known to be leaving
TARGET_LEAVING = "target-leaving"

#: maximum number of services, and of targets per service, in the state dump
MAX_DUMPED = 100
#: seconds between two updates of the gauges
GAUGE_INTERVAL = 1.0


def read_scheduler_rule(settings: Settings) -> SchedulerRule:
    """Return the scheduler parameters from the settings."""
    return SchedulerRule(
        breaker=BreakerRule(
            slowness=settings["load.slowness"],
            ejected_share=settings["load.ejected_share"],
        ),
        choice=ChoiceRule(
            remote_penalty=settings["load.distance"], affinity=settings["load.affinity"]
        ),
        retries=replace(RETRY_BUDGET, share=settings["load.retry_share"]),
        queue_limit=settings["load.queue"],
        short_share=settings["load.short_share"],
        late_share=settings["load.late_share"],
    )


class SchedulingController(Dispatcher, Controller):
    """Queues stage calls until the scheduler has decided on them.

    Each queued call has a future. The scheduler is polled after each event that may
    have freed capacity, and by a timer while calls are queued, because load reports
    and deadlines emit no event. When a caller is cancelled, its call leaves the queue,
    and a grant made at the same moment is released: otherwise it would occupy a slot
    of the target for good, visible as a limit that is never reached again.
    """

    name = "scheduling"

    def __init__(
        self,
        *,
        scheduler: Scheduler,
        directory: TargetDirectory,
        clock: Clock,
        events: EventBus,
        metrics: Metrics,
    ) -> None:
        super().__init__()
        self._scheduler = scheduler
        self._directory = directory
        self._clock = clock
        self._metrics = metrics
        self._waiters: dict[int, asyncio.Future[Result[Grant, Refusal]]] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._refusing = False
        events.declare(TARGET_LEAVING)
        events.connect(TARGET_LEAVING, self._handle_leaving)

    async def acquire(self, ticket: Ticket) -> Result[Grant, Refusal]:
        while True:
            result = await self._queue_call(ticket)
            if isinstance(result, Err):
                self._metrics.count(f"scheduling.refused.{result.err_value.code.value}")
                return result
            grant = result.ok_value
            target_id = grant.target.target_id
            if self._directory.accepts(target_id):
                return result
            # the target began to leave between the decision and this wake-up. While
            # capacity is free, a grant does not suspend this task, so retrying the
            # same target would block the event loop
            ticket = replace(ticket, excluded=ticket.excluded | {target_id})
            self._metrics.count("scheduling.moved")
            self.release(grant, Outcome(OutcomeKind.ABANDONED, 0.0))

    def record_first_token(self, grant: Grant, seconds: float) -> None:
        self._scheduler.record_first_token(grant, seconds, self._clock.now())

    def record_silence(self, grant: Grant) -> None:
        self._scheduler.record_silence(grant, self._clock.now())

    def count_targets(self, ticket: Ticket) -> int:
        return self._scheduler.count_targets(ticket, self._clock.now())

    def count_retries(self) -> int:
        return self._scheduler.retry_budget.count_left(self._clock.now())

    def charge_retry(self) -> bool:
        return self._scheduler.retry_budget.try_spend(self._clock.now())

    def release(self, grant: Grant, outcome: Outcome) -> None:
        now = self._clock.now()
        self._scheduler.finish(grant, outcome, now)
        self._metrics.count(f"scheduling.outcome.{outcome.kind.value}")
        self._poll(now)

    async def on_stop(self) -> None:
        """Refuse queued calls, so that no caller hangs until its deadline."""
        self._refusing = True
        if self._timer is not None:
            self._timer.cancel()
        refusal = create_refusal(RefusalCode.NOT_READY, "this instance is stopping", 0)
        for ticket_id, future in tuple(self._waiters.items()):
            self._scheduler.cancel(ticket_id)
            if not future.done():
                future.set_result(Err(refusal))

    @Service.task
    async def _send_gauges(self) -> None:
        while not self.should_stop:
            self._metrics.gauge("scheduling.waiting", self._scheduler.waiting)
            for service in self._scheduler.list_services()[:MAX_DUMPED]:
                name = service.name
                self._metrics.gauge(f"scheduling.{name}.waiting", len(service.queue))
                self._metrics.gauge(f"scheduling.{name}.in_flight", service.in_flight)
            await self.sleep(GAUGE_INTERVAL)

    def dump(self) -> dict[str, Any]:
        now = self._clock.now()
        retries = self._scheduler.retry_budget
        return {
            "waiting": self._scheduler.waiting,
            "retries": {"granted": retries.granted, "denied": retries.denied},
            "services": {
                service.name: _dump_service(service, now)
                for service in self._scheduler.list_services()[:MAX_DUMPED]
            },
        }

    async def _queue_call(self, ticket: Ticket) -> Result[Grant, Refusal]:
        if self._refusing:
            message = "this instance is stopping"
            return Err(create_refusal(RefusalCode.NOT_READY, message, 0))
        # one timestamp for both calls: the scheduler's estimates hold for that instant
        now = self._clock.now()
        ticket_id = self._scheduler.submit(ticket, now)
        future = asyncio.get_running_loop().create_future()
        self._waiters[ticket_id] = future
        self._poll(now)
        try:
            return await future
        except asyncio.CancelledError:
            self._cancel_call(ticket_id, future)
            raise
        finally:
            self._waiters.pop(ticket_id, None)

    def _cancel_call(
        self, ticket_id: int, future: asyncio.Future[Result[Grant, Refusal]]
    ) -> None:
        self._scheduler.cancel(ticket_id)
        self._metrics.count("scheduling.given_up")
        if not future.done() or future.cancelled():
            return
        match future.result():
            case Ok(grant):
                self.release(grant, Outcome(OutcomeKind.ABANDONED, 0.0))

    def _poll(self, now: float) -> None:
        for decision in self._scheduler.poll(now):
            future = self._waiters.get(decision.ticket_id)
            if future is not None and not future.done():
                future.set_result(decision.result)
                continue
            match decision.result:
                case Ok(grant):
                    outcome = Outcome(OutcomeKind.ABANDONED, 0.0)
                    self._scheduler.finish(grant, outcome, now)
        self._set_timer(now)

    def _set_timer(self, now: float) -> None:
        if self._timer is not None or self._refusing:
            return
        wake = self._scheduler.find_next_wake(now)
        if wake is None:
            return
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(max(0.0, wake - now), self._wake)

    def _wake(self) -> None:
        self._timer = None
        now = self._clock.now()
        self._scheduler.expire(now)
        self._poll(now)

    def _handle_leaving(self, *_target: Any) -> None:
        self._scheduler.mark_all_dirty()
        if self._waiters:
            self._poll(self._clock.now())


def _dump_service(service: ServiceLoad, now: float) -> dict[str, Any]:
    return {
        "waiting": len(service.queue),
        "in_flight": service.in_flight,
        "targets": {
            target_id: {
                "in_flight": load.own_in_flight,
                "limit": round(load.limit.value, 2),
                "slowness": round(load.breaker.slowness, 2),
                "breaker": load.breaker.read_state(now).value,
            }
            for target_id, load in tuple(service.targets.items())[:MAX_DUMPED]
            if load.own_in_flight
            or load.breaker.read_state(now) is not BreakerState.CLOSED
        },
    }
