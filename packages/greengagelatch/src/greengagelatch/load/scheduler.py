"""Scheduling of stage calls: a queue for each service, bound late to targets."""

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
from .choice import ChoiceRule, TwoChoices
from .durations import DurationTracker
from .limits import LimitRule
from .queue import FairQueue, Waiting
from .refusals import create_refusal
from .room import Room
from .service import ServiceLoad
from .weights import scale_margin, weigh_evenly

__all__ = ("RETRIES", "Decision", "Scheduler", "SchedulerRule")

#: budget of repeated and backup calls
RETRIES = BudgetRule(share=0.1, burst=10, per_second=0.5)

#: seconds after which calls that wait are looked at again, as load reports and
#: deadlines make no event
WAKE_INTERVAL = 0.02
#: seconds after which a lost data centre or service may be back
NO_TARGET_RETRY = 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class SchedulerRule:
    """Parameters of scheduling."""

    limit: LimitRule = field(default_factory=LimitRule)
    breaker: BreakerRule = field(default_factory=BreakerRule)
    choice: ChoiceRule = field(default_factory=ChoiceRule)
    retries: BudgetRule = RETRIES
    #: calls that may wait for one service
    queue_bound: int = 2000
    #: share of each target's limit that only short calls may use
    short_share: float = 0.2
    #: percentile of the stage's duration that must fit for a call to start where
    #: targets are idle
    idle_percentile: float = 10
    #: share of the calls started where others wait that may yet end too late
    late_share: float = 0.03


@dataclass(frozen=True, slots=True)
class Decision:
    """What became of a ticket: a grant, or a refusal with nothing run."""

    waiting_id: int
    result: Result[Grant, Refusal]


class Scheduler:
    """Decides which call goes to which target, and when.

    A call waits for its service, not for a target: it is given a target only at
    the moment that one has room. So a target that begins to leave, or fails, holds
    no waiting call that would have to be moved.

    Nothing here waits. Callers ``submit``, then ``poll`` after each event and at
    :meth:`find_next_wake`; decisions name the ticket by the id from ``submit``.

    :param weigh: returns a workspace's weight in the fair shares, above 0.
    :param count_choosers: returns how many instances send calls to one target of
        the named service.
    :param find_weights: returns how a workspace's calls of a pipeline weigh
        attainment against cost.
    :param estimate_rest: returns the seconds that the stages after a ticket's own
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
        count_choosers: Callable[[str], float],
        estimate_rest: Callable[[Ticket, float], float],
        durations: DurationTracker,
        now: float,
        find_weights: Callable[[str, str], Weights] = weigh_evenly,
    ) -> None:
        self._directory = directory
        self._rule = rule
        self._data_centre = data_centre
        self._random = random_source
        self._weigh = weigh
        self._count_choosers = count_choosers
        self._estimate_rest = estimate_rest
        self._find_weights = find_weights
        self._durations = durations
        self._retries = Budget(rule.retries, now)
        self._services: dict[str, ServiceLoad] = {}
        self._homes: dict[int, ServiceLoad] = {}
        self._dirty: set[str] = set()
        self._decided: list[Decision] = []
        self._last_id = 0
        self._last_grant = 0

    @property
    def retries(self) -> Budget:
        """The budget of repeated calls."""
        return self._retries

    @property
    def waiting(self) -> int:
        """Number of calls that wait."""
        return len(self._homes)

    def find_service(self, name: str) -> ServiceLoad:
        """Return the load of a service, an empty one if it is new."""
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
                choice=TwoChoices(self._rule.choice),
                queue=FairQueue(self._weigh),
                weigh=self._weigh,
                count_choosers=self._count_choosers,
            )
        return service

    def list_services(self) -> tuple[ServiceLoad, ...]:
        """Return the load of all services that were ever called."""
        return tuple(self._services.values())

    def submit(self, ticket: Ticket, now: float) -> int:
        """Take in a ticket and return the id that its decision will carry."""
        self._last_id += 1
        service = self.find_service(ticket.service)
        refusal = self._find_fault(service, ticket, now)
        if refusal is not None:
            self._decided.append(Decision(self._last_id, Err(refusal)))
            return self._last_id
        waiting = self._prepare(service, ticket, now)
        service.queue.push(waiting)
        self._homes[waiting.waiting_id] = service
        self._dirty.add(service.name)
        return waiting.waiting_id

    def poll(self, now: float) -> tuple[Decision, ...]:
        """Return the decisions that have come about."""
        dirty, self._dirty = self._dirty, set()
        for name in sorted(dirty):
            self._serve(self._services[name], now)
        decided, self._decided = self._decided, []
        return tuple(decided)

    def expire(self, now: float) -> None:
        """Refuse the calls that can't be done in time any more.

        It also looks again for room, which reports may have shown meanwhile.
        """
        for service in self._services.values():
            if not len(service.queue):
                continue
            self._dirty.add(service.name)
            busy = _is_contended(service, now)
            for waiting in service.queue:
                if not _is_late(waiting, busy, now):
                    continue
                service.queue.remove(waiting.waiting_id)
                self._refuse_late(service, waiting, now)

    def withdraw(self, waiting_id: int) -> None:
        """Forget a call that its caller has given up."""
        service = self._homes.pop(waiting_id, None)
        if service is not None:
            service.queue.remove(waiting_id)

    def finish(self, grant: Grant, outcome: Outcome, now: float) -> None:
        """Take back a grant."""
        service = self.find_service(grant.ticket.service)
        service.finish(grant, outcome, now)
        self._dirty.add(service.name)

    def note_first_token(self, grant: Grant, seconds: float, now: float) -> None:
        """Take in that a granted stream has begun."""
        self.find_service(grant.ticket.service).note_first_token(grant, seconds, now)

    def touch(self) -> None:
        """Look again at all services, as the directory has changed."""
        self._dirty.update(self._services)

    def find_next_wake(self, now: float) -> float | None:
        """Return the monotonic seconds at which to ``expire`` and ``poll`` next."""
        if not self._homes:
            return None
        return now + WAKE_INTERVAL

    def _find_fault(
        self, service: ServiceLoad, ticket: Ticket, now: float
    ) -> Refusal | None:
        if not self._directory.candidates(ticket.service):
            message = f"service {ticket.service} has no target in reach"
            return create_refusal(RefusalCode.NO_TARGET, message, NO_TARGET_RETRY)
        if len(service.queue) >= self._rule.queue_bound:
            message = f"too many calls wait for {ticket.service}"
            return self._create_overload(service, ticket, message, now)
        if not ticket.retry:
            self._retries.note_ordinary(now)
            return None
        if self._retries.take(now):
            return None
        message = "too many calls are being repeated"
        return self._create_overload(service, ticket, message, now)

    def _prepare(self, service: ServiceLoad, ticket: Ticket, now: float) -> Waiting:
        kind = (ticket.pipeline, ticket.stage)
        allotted = max(0.0, ticket.stage_deadline - now)
        rule = self._rule
        expected = service.estimate_duration(kind, allotted, 50, now)
        least = service.estimate_duration(kind, allotted, rule.idle_percentile, now)
        weights = self._find_weights(ticket.workspace, ticket.pipeline)
        most = service.estimate_safe_duration(kind, allotted, now)
        most *= scale_margin(weights)
        end = ticket.deadline - self._estimate_rest(ticket, now)
        return Waiting(
            waiting_id=self._last_id,
            ticket=ticket,
            entered=now,
            expected=expected,
            urgency=ticket.stage_deadline - expected,
            latest_start=end - least,
            safe_start=end - most,
            long=service.is_long(kind, now),
        )

    def _serve(self, service: ServiceLoad, now: float) -> None:
        """Grant calls until nothing suits or there is no room."""
        service.watch(now)
        if not len(service.queue):
            return
        if not self._directory.candidates(service.name):
            self._refuse_all(service)
            return
        room = service.find_room(now)
        while True:
            queue = service.queue
            room.begin(long_waits=queue.long_waits, rush=len(queue) > 1)
            waiting = service.queue.select(room, now)
            if waiting is None:
                return
            if _is_late(waiting, service.is_busy(now), now):
                self._refuse_late(service, waiting, now)
                continue
            self._grant(service, waiting, room, now)

    def _grant(
        self, service: ServiceLoad, waiting: Waiting, room: Room, now: float
    ) -> None:
        view = room.choose(waiting, now)
        self._last_grant += 1
        grant = Grant(
            self._last_grant, waiting.ticket, view.target, now, probe=view.ejected
        )
        held = room.take(view, long=waiting.long)
        service.start(grant, waiting, held)
        self._decide(waiting, Ok(grant))

    def _refuse_all(self, service: ServiceLoad) -> None:
        message = f"service {service.name} has no target in reach any more"
        refusal = create_refusal(RefusalCode.NO_TARGET, message, NO_TARGET_RETRY)
        for waiting in service.queue:
            service.queue.remove(waiting.waiting_id)
            self._decide(waiting, Err(refusal))

    def _refuse_late(self, service: ServiceLoad, waiting: Waiting, now: float) -> None:
        message = f"no target of {service.name} had room in time"
        refusal = self._create_overload(service, waiting.ticket, message, now)
        self._decide(waiting, Err(refusal))

    def _create_overload(
        self, service: ServiceLoad, ticket: Ticket, message: str, now: float
    ) -> Refusal:
        kind = (ticket.pipeline, ticket.stage)
        allotted = max(0.0, ticket.stage_deadline - now)
        work = service.estimate_duration(kind, allotted, 50, now)
        wait = service.estimate_wait(ticket.workspace, ticket.priority, work, now)
        return create_refusal(RefusalCode.OVERLOADED, message, wait)

    def _decide(self, waiting: Waiting, result: Result[Grant, Refusal]) -> None:
        self._homes.pop(waiting.waiting_id, None)
        self._decided.append(Decision(waiting.waiting_id, result))


def _is_late(waiting: Waiting, busy: bool, now: float) -> bool:
    """Whether starting a call is pointless.

    Where targets are busy, a call that will probably end too late takes the place
    of one that would not: under overload they would then work mostly for nothing,
    seen as attainment that falls as the load rises. Where they are idle, or where
    only a short call is missing to a request on which work was spent, the least
    chance is worth taking.
    """
    cautious = busy and (waiting.long or not waiting.ticket.begun)
    return now > (waiting.safe_start if cautious else waiting.latest_start)


def _is_contended(service: ServiceLoad, now: float) -> bool:
    """Whether some call waits that would still end in time."""
    return any(now <= waiting.safe_start for waiting in service.queue)
