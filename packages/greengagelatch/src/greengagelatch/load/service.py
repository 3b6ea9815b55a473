"""The load of one service as this instance sees it."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from statistics import fmean

from ..targets.directory import Candidate, TargetDirectory
from . import Grant, Outcome, OutcomeKind, Ticket
from .breakers import BreakerRule, BreakerState, find_ejected
from .choice import TargetChoice
from .durations import DurationTracker
from .limits import LimitRule
from .loads import TargetLoad
from .queue import CallQueue, Waiting
from .room import Room
from .waits import DrainRate, estimate_fair_wait

__all__ = ("Kind", "ServiceLoad")

#: pipeline and stage: calls of one kind take about the same time
Kind = tuple[str, str]

#: longest over shortest median of a service's kinds from which it has long calls
LONG_RATIO = 4.0
#: a call is overdue at this multiple of its median, and at each doubling of it
OVERDUE = 4.0
#: targets that have gone are forgotten once there are this many
FORGET_ABOVE = 64


@dataclass(slots=True)
class _Running:
    """A granted call; ``overdue`` is the next multiple of the median to be noted."""

    grant: Grant
    long: bool
    held: float
    overdue: float = OVERDUE


class ServiceLoad:
    """Queue, calls in flight and targets of one service."""

    def __init__(
        self,
        name: str,
        *,
        directory: TargetDirectory,
        limit_rule: LimitRule,
        breaker_rule: BreakerRule,
        short_share: float,
        prior: float,
        data_centre: str,
        random_source: random.Random,
        durations: DurationTracker,
        choice: TargetChoice,
        queue: CallQueue,
        weigh: Callable[[str], float],
        count_choosers: Callable[[str], float],
    ) -> None:
        self.name = name
        self.queue = queue
        self._directory = directory
        self._limit_rule = limit_rule
        self._breaker_rule = breaker_rule
        self._short_share = short_share
        self._prior = prior
        self._data_centre = data_centre
        self._random = random_source
        self._durations = durations
        self._choice = choice
        self._weigh = weigh
        self._count_choosers = count_choosers
        self._targets: dict[str, TargetLoad] = {}
        self._running: dict[int, _Running] = {}
        self._kinds: set[Kind] = set()
        self._drain = DrainRate()

    @property
    def targets(self) -> dict[str, TargetLoad]:
        """Load by target id."""
        return self._targets

    @property
    def in_flight(self) -> int:
        """Number of granted calls."""
        return len(self._running)

    def estimate_duration(self, ticket: Ticket, percentile: float, now: float) -> float:
        """Return seconds that such a call takes once it has started."""
        kind = (ticket.pipeline, ticket.stage)
        return self._durations.estimate(kind, percentile, now, self._prior)

    def is_long(self, ticket: Ticket, now: float) -> bool:
        """Whether the call belongs to the long ones of this service.

        The boundary lies between the shortest and the longest kind that the service
        is called with, by measured medians; a service whose kinds take about the
        same time has no long calls.
        """
        kind = (ticket.pipeline, ticket.stage)
        self._kinds.add(kind)
        estimate = self._durations.estimate
        medians = [estimate(each, 50, now, 0.0) for each in self._kinds]
        measured = [median for median in medians if median > 0]
        if not measured or max(measured) < LONG_RATIO * min(measured):
            return False
        boundary = (max(measured) * min(measured)) ** 0.5
        return estimate(kind, 50, now, 0.0) > boundary

    def find_room(self, now: float) -> Room:
        """Return the room of all targets as of ``now``."""
        choosers = max(1.0, self._count_choosers(self.name))
        candidates = self._directory.candidates(self.name)
        loads = [self._load_of(candidate) for candidate in candidates]
        known = [load.count_others(now, None) for load in loads]
        told = [count for count in known if count is not None]
        usual = fmean(told) if told else 0.0
        ids = [candidate.target.target_id for candidate in candidates]
        breakers = [
            (target_id, load.breaker)
            for target_id, load in zip(ids, loads, strict=True)
        ]
        ejected = find_ejected(breakers, self._breaker_rule, now)
        views = []
        for candidate, load in zip(candidates, loads, strict=True):
            others = load.count_others(now, usual)
            state = load.breaker.read_state(now)
            views.append(
                load.view(
                    candidate,
                    others=usual if others is None else others,
                    choosers=choosers,
                    near=candidate.target.data_centre == self._data_centre,
                    ejected=candidate.target.target_id in ejected,
                    probing=state is BreakerState.PROBING,
                )
            )
        return Room(
            tuple(views),
            short_share=self._short_share,
            choice=self._choice,
            random_source=self._random,
        )

    def start(self, grant: Grant, waiting: Waiting, held: float) -> None:
        """Count a granted call; ``held`` is what its target held by expectation."""
        self._drain.note_started(waiting.expected, grant.granted)
        load = self._targets[grant.target.target_id]
        load.change(1, long=waiting.long, now=grant.granted)
        self._running[grant.grant_id] = _Running(grant, waiting.long, held)

    def finish(self, grant: Grant, outcome: Outcome, now: float) -> None:
        """Count out a granted call and learn from how it ended."""
        running = self._running.pop(grant.grant_id, None)
        if running is None:
            return
        load = self._targets[grant.target.target_id]
        load.change(-1, long=running.long, now=now)
        kind = (grant.ticket.pipeline, grant.ticket.stage)
        median = self._durations.estimate(kind, 50, now, outcome.seconds)
        match outcome.kind:
            case OutcomeKind.SUCCESS:
                baseline = self._durations.find_baseline(kind, now, outcome.seconds)
                load.breaker.note_success(_divide(outcome.seconds, median), now)
                ratio = _divide(outcome.seconds, baseline)
                load.limit.note_latency(ratio, running.held, now)
                self._durations.record(kind, outcome.seconds, now)
            case OutcomeKind.FAILURE:
                load.breaker.note_failure(now)
            case OutcomeKind.REJECTED:
                load.limit.note_rejection(running.held, now)
            case OutcomeKind.ABANDONED:
                # it would have taken longer still: leaving it out would make the
                # service look faster the more calls are given up
                if outcome.seconds > median:
                    self._durations.record(kind, outcome.seconds, now)

    def note_overdue(self, now: float) -> None:
        """Tell the breakers of calls that have run far longer than usual."""
        for running in self._running.values():
            grant = running.grant
            kind = (grant.ticket.pipeline, grant.ticket.stage)
            elapsed = now - grant.granted
            median = self._durations.estimate(kind, 50, now, 0.0)
            if median <= 0 or elapsed < running.overdue * median:
                continue
            breaker = self._targets[grant.target.target_id].breaker
            breaker.note_overdue(elapsed / median, now)
            running.overdue *= 2

    def estimate_wait(self, workspace: str, work: float, now: float) -> float:
        """Return seconds that a call of ``work`` seconds would wait, if it came now."""
        pending = self.queue.sum_pending()
        pending[workspace] = pending.get(workspace, 0.0) + work
        wait = estimate_fair_wait(pending, workspace, self._weigh, self.find_rate(now))
        return wait if len(self.queue) else 0.0

    def find_rate(self, now: float) -> float:
        """Return the seconds of work that the service starts for us each second."""
        self._drain.note_queue(len(self.queue), now)
        return self._drain.estimate(self._count_slots(now), now)

    def _count_slots(self, now: float) -> float:
        """Return how many calls this instance can have in flight, by expectation."""
        choosers = max(1.0, self._count_choosers(self.name))
        return sum(
            max(view.limit / choosers, view.limit - view.held + view.mine)
            for view in self.find_room(now).views
            if not view.ejected
        )

    def _load_of(self, candidate: Candidate) -> TargetLoad:
        target_id = candidate.target.target_id
        load = self._targets.get(target_id)
        if load is None:
            self._forget_idle()
            load = self._targets[target_id] = TargetLoad(
                limit_rule=self._limit_rule,
                breaker_rule=self._breaker_rule,
                random_source=self._random,
            )
        load.take_report(candidate.report)
        return load

    def _forget_idle(self) -> None:
        """Drop targets that have gone, or each replacement would use more memory."""
        if len(self._targets) < FORGET_ABOVE:
            return
        present = {
            candidate.target.target_id
            for candidate in self._directory.candidates(self.name)
        }
        for target_id, load in tuple(self._targets.items()):
            if load.mine == 0 and target_id not in present:
                del self._targets[target_id]


def _divide(seconds: float, usual: float) -> float:
    return seconds / usual if usual > 0 else 1.0
