"""Scheduling of stage calls: one queue per service, late binding to targets."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from result import Err, Ok, Result

from ..config.policy_resolution import Weights
from ..errors import Refusal, RefusalCode
from ..targets.directory import TargetDirectory
from . import Grant, Outcome, Ticket
from .breakers import BreakerRule
from .budgets import Budget, BudgetRule
from .choice import ChoiceRule, PowerOfTwoChoices
from .durations import DurationTracker
from .free_capacity import FreeCapacity
from .limits import LimitRule
from .queue import FairQueue, QueuedCall
from .refusals import create_refusal
from .service import ServiceLoad
from .weights import scale_margin, weigh_evenly

__all__ = ("RETRY_BUDGET", "Decision", "Scheduler", "SchedulerRule")

#: budget of retries and hedged calls
RETRY_BUDGET = BudgetRule(share=0.1, burst=10, per_second=0.5)

#: seconds after which queued calls are reconsidered, as load reports and deadlines
#: cause no event
WAKE_INTERVAL = 0.02
#: retry-after time in seconds if a service has no reachable target
NO_TARGET_RETRY = 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class SchedulerRule:
    """Parameters of scheduling."""

    limit: LimitRule = field(default_factory=LimitRule)
    breaker: BreakerRule = field(default_factory=BreakerRule)
    choice: ChoiceRule = field(default_factory=ChoiceRule)
    retries: BudgetRule = RETRY_BUDGET
    #: maximum queue length of one service
    queue_limit: int = 2000
    #: share of each target's limit that only short calls may use
    short_share: float = 0.2
    #: percentile of the stage's duration that must fit for a call to start while
    #: targets are idle
    idle_percentile: float = 10
    #: share of the calls started on busy targets that may miss their deadline
    late_share: float = 0.03


@dataclass(frozen=True, slots=True)
class Decision:
    """Decision on a ticket: a grant, or a refusal without any execution."""

    ticket_id: int
    result: Result[Grant, Refusal]


class Scheduler:
    """Decides which call goes to which target, and when.

    A call is queued for its service and bound to a target only when one has free
    capacity. So no queued call has to be moved if a target drains or fails.

    No method blocks. Callers ``submit``, then ``poll`` after each event and at
    :meth:`find_next_wake`; decisions carry the ticket id returned by ``submit``.

    :param weigh: returns a workspace's weight in the fair shares, above 0.
    :param count_senders: returns how many instances send calls to one target of
        the named service.
    :param find_weights: returns the weights of attainment and cost for a
        workspace's calls of a pipeline.
    :param estimate_remaining: returns the seconds that the stages after a ticket's own
        are expected to take.
    """

    def __init__(
        self,
        *,
        directory: TargetDirectory,
        rule: SchedulerRule,
        data_centre: str,
        random_source: random.Random,
        weigh: Callable[[str], float],
        count_senders: Callable[[str], float],
        estimate_remaining: Callable[[Ticket, float], float],
        durations: DurationTracker,
        now: float,
        find_weights: Callable[[str, str], Weights] = weigh_evenly,
    ) -> None:
        self._directory = directory
        self._rule = rule
        self._data_centre = data_centre
        self._random = random_source
        self._weigh = weigh
        self._count_senders = count_senders
        self._estimate_remaining = estimate_remaining
        self._find_weights = find_weights
        self._durations = durations
        self._retries = Budget(rule.retries, now)
        self._services: dict[str, ServiceLoad] = {}
        self._queued_services: dict[int, ServiceLoad] = {}
        self._dirty_services: set[str] = set()
        self._decisions: list[Decision] = []
        self._last_ticket_id = 0
        self._last_grant_id = 0

    @property
    def retry_budget(self) -> Budget:
        """The budget of retries and hedged calls."""
        return self._retries

    @property
    def waiting(self) -> int:
        """Number of queued calls."""
        return len(self._queued_services)

    def find_service(self, name: str) -> ServiceLoad:
        """Return the load of a service, creating it if needed."""
        service = self._services.get(name)
        if service is None:
            service = self._services[name] = ServiceLoad(
                name,
                directory=self._directory,
                limit_rule=self._rule.limit,
                breaker_rule=self._rule.breaker,
                short_share=self._rule.short_share,
                late_share=self._rule.late_share,
                data_centre=self._data_centre,
                random_source=self._random,
                durations=self._durations,
                choice=PowerOfTwoChoices(self._rule.choice),
                queue=FairQueue(self._weigh),
                weigh=self._weigh,
                count_senders=self._count_senders,
            )
        return service

    def list_services(self) -> tuple[ServiceLoad, ...]:
        """Return the loads of all services called so far."""
        return tuple(self._services.values())

    def submit(self, ticket: Ticket, now: float) -> int:
        """Queue or refuse a ticket; return the id that its decision will carry."""
        self._last_ticket_id += 1
        service = self.find_service(ticket.service)
        refusal = self._check_submission(service, ticket, now)
        if refusal is not None:
            self._decisions.append(Decision(self._last_ticket_id, Err(refusal)))
            return self._last_ticket_id
        queued = self._prepare(service, ticket, now)
        service.queue.push(queued)
        self._queued_services[queued.ticket_id] = service
        self._dirty_services.add(service.name)
        return queued.ticket_id

    def poll(self, now: float) -> tuple[Decision, ...]:
        """Return the decisions made since the last call."""
        dirty, self._dirty_services = self._dirty_services, set()
        for name in sorted(dirty):
            self._dispatch(self._services[name], now)
        decided, self._decisions = self._decisions, []
        return tuple(decided)

    def expire(self, now: float) -> None:
        """Refuse the queued calls that can't meet their deadline any more.

        Also reconsiders the others, as load reports may show free capacity.
        """
        for service in self._services.values():
            if not len(service.queue):
                continue
            self._dirty_services.add(service.name)
            busy = _is_contended(service, now)
            for queued in service.queue:
                if not _is_late(queued, busy, now):
                    continue
                service.queue.remove(queued.ticket_id)
                self._refuse_late(service, queued, now)

    def cancel(self, ticket_id: int) -> None:
        """Remove a call that its caller has abandoned from the queue."""
        service = self._queued_services.pop(ticket_id, None)
        if service is not None:
            service.queue.remove(ticket_id)

    def finish(self, grant: Grant, outcome: Outcome, now: float) -> None:
        """Release a grant and record its outcome."""
        service = self.find_service(grant.ticket.service)
        service.finish(grant, outcome, now)
        self._dirty_services.add(service.name)

    def record_first_token(self, grant: Grant, seconds: float, now: float) -> None:
        """Record the time to first token of a granted stream."""
        self.find_service(grant.ticket.service).record_first_token(grant, seconds, now)

    def record_silence(self, grant: Grant, now: float) -> None:
        """Record that the target of a granted call is silent."""
        self.find_service(grant.ticket.service).record_silence(grant, now)

    def count_targets(self, ticket: Ticket, now: float) -> int:
        """Return how many healthy targets would take a call at once."""
        service = self.find_service(ticket.service)
        if len(service.queue):
            return 0
        queued = self._prepare(service, ticket, now)
        if _is_late(queued, service.is_busy(now), now):
            return 0
        capacity = service.find_free_capacity(now)
        capacity.begin(long_queued=queued.long, contended=False)
        return capacity.count_fitting(queued)

    def mark_all_dirty(self) -> None:
        """Mark all services for scheduling, as the target directory has changed."""
        self._dirty_services.update(self._services)

    def find_next_wake(self, now: float) -> float | None:
        """Return the monotonic seconds at which to ``expire`` and ``poll`` next."""
        if not self._queued_services:
            return None
        return now + WAKE_INTERVAL

    def _check_submission(
        self, service: ServiceLoad, ticket: Ticket, now: float
    ) -> Refusal | None:
        if not self._directory.candidates(ticket.service):
            message = f"service {ticket.service} has no reachable target"
            return create_refusal(RefusalCode.NO_TARGET, message, NO_TARGET_RETRY)
        if len(service.queue) >= self._rule.queue_limit:
            message = f"the queue of service {ticket.service} is full"
            return self._create_overload(service, ticket, message, now)
        if not ticket.retry:
            self._retries.record_request(now)
            return None
        if ticket.charged or self._retries.try_spend(now):
            return None
        message = "the retry budget is exhausted"
        return self._create_overload(service, ticket, message, now)

    def _prepare(self, service: ServiceLoad, ticket: Ticket, now: float) -> QueuedCall:
        kind = (ticket.pipeline, ticket.stage)
        allotted = max(0.0, ticket.stage_deadline - now)
        rule = self._rule
        expected = service.estimate_duration(kind, allotted, 50, now)
        least = service.estimate_duration(kind, allotted, rule.idle_percentile, now)
        weights = self._find_weights(ticket.workspace, ticket.pipeline)
        most = service.estimate_safe_duration(kind, allotted, now)
        most *= scale_margin(weights)
        end = ticket.deadline - self._estimate_remaining(ticket, now)
        return QueuedCall(
            ticket_id=self._last_ticket_id,
            ticket=ticket,
            entered=now,
            expected=expected,
            start_by=ticket.stage_deadline - expected,
            latest_start=end - least,
            safe_start=end - most,
            long=service.is_long(kind, now),
        )

    def _dispatch(self, service: ServiceLoad, now: float) -> None:
        """Grant queued calls until no target can serve any of them."""
        service.check_overdue(now)
        if not len(service.queue):
            return
        if not self._directory.candidates(service.name):
            self._refuse_all(service)
            return
        capacity = service.find_free_capacity(now)
        while True:
            queue = service.queue
            capacity.begin(long_queued=queue.has_long_calls, contended=len(queue) > 1)
            queued = service.queue.select(capacity, now)
            if queued is None:
                return
            if _is_late(queued, service.is_busy(now), now):
                self._refuse_late(service, queued, now)
                continue
            self._grant(service, queued, capacity, now)

    def _grant(
        self,
        service: ServiceLoad,
        queued: QueuedCall,
        capacity: FreeCapacity,
        now: float,
    ) -> None:
        view = capacity.choose(queued, now)
        self._last_grant_id += 1
        grant = Grant(
            self._last_grant_id, queued.ticket, view.target, now, probe=view.ejected
        )
        held = capacity.reserve(view, long=queued.long)
        service.start(grant, queued, held)
        self._decide(queued, Ok(grant))

    def _refuse_all(self, service: ServiceLoad) -> None:
        message = f"service {service.name} has lost its last reachable target"
        refusal = create_refusal(RefusalCode.NO_TARGET, message, NO_TARGET_RETRY)
        for queued in service.queue:
            service.queue.remove(queued.ticket_id)
            self._decide(queued, Err(refusal))

    def _refuse_late(
        self, service: ServiceLoad, queued: QueuedCall, now: float
    ) -> None:
        message = f"no target of service {service.name} had free capacity in time"
        refusal = self._create_overload(service, queued.ticket, message, now)
        self._decide(queued, Err(refusal))

    def _create_overload(
        self, service: ServiceLoad, ticket: Ticket, message: str, now: float
    ) -> Refusal:
        kind = (ticket.pipeline, ticket.stage)
        allotted = max(0.0, ticket.stage_deadline - now)
        work = service.estimate_duration(kind, allotted, 50, now)
        wait = service.estimate_wait(ticket.workspace, ticket.priority, work, now)
        return create_refusal(RefusalCode.OVERLOADED, message, wait)

    def _decide(self, queued: QueuedCall, result: Result[Grant, Refusal]) -> None:
        self._queued_services.pop(queued.ticket_id, None)
        self._decisions.append(Decision(queued.ticket_id, result))


def _is_late(queued: QueuedCall, busy: bool, now: float) -> bool:
    """Whether it is too late to start a call.

    On busy targets, a call that will probably miss its deadline displaces one that
    would meet it: most work is then wasted under overload, and attainment falls as
    the load rises. If targets are idle, or if a request on which work was already
    spent only needs a short call, even a small chance of success is worth it.
    """
    cautious = busy and (queued.long or not queued.ticket.begun)
    return now > (queued.safe_start if cautious else queued.latest_start)


def _is_contended(service: ServiceLoad, now: float) -> bool:
    """Whether a queued call would probably still meet its deadline."""
    return any(now <= queued.safe_start for queued in service.queue)
