"""The load of one service as this instance sees it."""

from __future__ import annotations

import random
from collections.abc import Callable, Hashable
from dataclasses import dataclass
from statistics import fmean

from ..targets.directory import Candidate, TargetDirectory
from . import Grant, Outcome, OutcomeKind
from .breakers import BreakerRule, BreakerState, find_ejected, trip_slow
from .caution import Caution
from .choice import TargetChoice
from .durations import DurationTracker, create_first_token_kind
from .knees import KneeFinder
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
#: seconds before the deadline at which a call that ends counts as too late: it was
#: given up at the deadline, which the clock may show slightly early
LATE_MARGIN = 0.01
#: seconds between two looks at the calls that are out
WATCH_INTERVAL = 0.1
#: percentile of the durations that is taken as safe, before any caution
SAFE_PERCENTILE = 95.0
#: part of a stage's time that a call takes by expectation before any was measured
PRIOR_SHARE = 0.3
#: seconds that a call is taken to last before any was made, weight of later ones in
#: the mean, and its lowest value
FIRST_MEAN = 1.0
MEAN_WEIGHT = 0.05
SHORTEST_MEAN = 0.001
#: targets that have gone are forgotten once there are this many
FORGET_ABOVE = 64


@dataclass(slots=True)
class _Running:
    """A granted call; ``overdue`` is the next multiple of the median to be noted."""

    grant: Grant
    long: bool
    held: float
    #: calls held by its target over all reports so far, and number of reports
    reported: float
    reports: int
    overdue: float = OVERDUE
    #: whether its first token has come
    begun: bool = False


@dataclass(frozen=True, slots=True)
class _KnownRoom:
    """The room as it was worked out last, and from what."""

    at: float
    candidates: tuple[Candidate, ...]
    room: Room


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
        late_share: float,
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
        self._watched = float("-inf")
        self._knees = KneeFinder()
        self._caution = Caution(late_share)
        #: seconds that a call lasts, mean over the latest calls
        self._mean_call = FIRST_MEAN
        self._answers = 0
        self._known_room: _KnownRoom | None = None

    @property
    def targets(self) -> dict[str, TargetLoad]:
        """Load by target id."""
        return self._targets

    @property
    def in_flight(self) -> int:
        """Number of granted calls."""
        return len(self._running)

    def estimate_duration(
        self, kind: Kind, allotted: float, percentile: float, now: float
    ) -> float:
        """Return seconds that such a call takes once it has started.

        :param allotted: seconds of the deadline that are meant for the stage; until
            some calls were measured, one is taken to need a part of them.
        """
        prior = allotted * PRIOR_SHARE
        return self._durations.estimate(kind, percentile, now, prior)

    def estimate_safe_duration(self, kind: Kind, allotted: float, now: float) -> float:
        """Return seconds within which all but a few of such calls end."""
        seconds = self.estimate_duration(kind, allotted, SAFE_PERCENTILE, now)
        seconds *= self._knees.find_slowdown(self.find_room(now).mean_held + 1)
        return seconds * self._caution.find_factor(kind, now)

    def is_busy(self, now: float) -> bool:
        """Whether its targets are so full that calls take clearly longer."""
        return len(self.queue) > 0 or self.find_room(now).busy

    def is_long(self, kind: Kind, now: float) -> bool:
        """Whether the call belongs to the long ones of this service.

        The boundary lies between the shortest and the longest kind that the service
        is called with, by measured medians; a service whose kinds take about the
        same time has no long calls.
        """
        self._kinds.add(kind)
        estimate = self._durations.estimate
        medians = [estimate(each, 50, now, 0.0) for each in self._kinds]
        measured = [median for median in medians if median > 0]
        if not measured or max(measured) < LONG_RATIO * min(measured):
            return False
        boundary = (max(measured) * min(measured)) ** 0.5
        return estimate(kind, 50, now, 0.0) > boundary

    def find_room(self, now: float) -> Room:
        """Return the room of all targets as of ``now``.

        A call is asked about several times at one moment, from its arrival to its
        grant, and working the room out is most of what a decision costs.
        """
        candidates = self._directory.candidates(self.name)
        known = self._known_room
        if known is None or known.at != now or known.candidates != candidates:
            room = self._work_out_room(candidates, now)
            known = self._known_room = _KnownRoom(now, candidates, room)
        return known.room

    def _work_out_room(self, candidates: tuple[Candidate, ...], now: float) -> Room:
        choosers = max(1.0, self._count_choosers(self.name))
        longest = max(
            (self._durations.find_baseline(kind, now, 0.0) for kind in self._kinds),
            default=0.0,
        )
        loads = [self._load_of(candidate, longest, now) for candidate in candidates]
        known = [load.count_reported_others() for load in loads]
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
            others = load.estimate_others(now, usual, self._mean_call)
            state = load.breaker.read_state(now)
            views.append(
                load.view(
                    candidate,
                    others=others,
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
        priority = grant.ticket.priority
        self._drain.note_started(priority, waiting.expected, grant.granted)
        self._known_room = None
        load = self._targets[grant.target.target_id]
        load.change(1, long=waiting.long, now=grant.granted)
        if grant.probe:
            load.breaker.begin_probe(grant.granted)
        self._running[grant.grant_id] = _Running(
            grant, waiting.long, held, load.reported, load.reports
        )

    def finish(self, grant: Grant, outcome: Outcome, now: float) -> None:
        """Count out a granted call and learn from how it ended."""
        running = self._running.pop(grant.grant_id, None)
        if running is None:
            return
        self._known_room = None
        load = self._targets[grant.target.target_id]
        load.change(-1, long=running.long, now=now)
        kind = (grant.ticket.pipeline, grant.ticket.stage)
        if outcome.tokens:
            self._note_tokens(running, load, outcome, now)
        late = now >= grant.ticket.deadline - LATE_MARGIN
        match outcome.kind:
            case OutcomeKind.SUCCESS:
                self._note_mean(outcome.seconds)
                self._caution.note(kind, late=late, now=now)
                baseline = self._durations.find_baseline(kind, now, outcome.seconds)
                self._note_time(load, running, outcome, now)
                if load.breaker.note_success():
                    load.limit.restart(now)
                usual = baseline + self._limit_rule.wait
                load.limit.note_latency(outcome.seconds / usual, running.held, now)
                self._durations.record(kind, outcome.seconds, now)
            case OutcomeKind.FAILURE:
                load.breaker.note_failure(now)
            case OutcomeKind.REJECTED:
                load.limit.note_rejection(running.held, now)
            case OutcomeKind.ABANDONED:
                if late:
                    self._caution.note(kind, late=True, now=now)
                if outcome.tokens:
                    self._note_time(load, running, outcome, now)

    def note_first_token(self, grant: Grant, seconds: float, now: float) -> None:
        """Learn from how long a stream took to begin."""
        running = self._running.get(grant.grant_id)
        if running is None:
            return
        running.begun = True
        self._known_room = None
        kind = create_first_token_kind(grant.ticket.pipeline, grant.ticket.stage)
        median = self._durations.estimate(kind, 50, now, seconds)
        load = self._targets[grant.target.target_id]
        load.breaker.note_time(_divide(seconds, median))
        self._durations.record(kind, seconds, now)

    def watch(self, now: float) -> None:
        """Notice calls that are out far longer than usual, and slow targets."""
        if now - self._watched < WATCH_INTERVAL:
            return
        self._watched = now
        self._known_room = None
        for running in self._running.values():
            self._note_overdue(running, now)
        breakers = [load.breaker for load in self._targets.values()]
        trip_slow(breakers, self._breaker_rule, now)

    def _note_overdue(self, running: _Running, now: float) -> None:
        ticket = running.grant.ticket
        elapsed = now - running.grant.granted
        whole = self._durations.estimate((ticket.pipeline, ticket.stage), 50, now, 0.0)
        first = create_first_token_kind(ticket.pipeline, ticket.stage)
        usual = self._durations.estimate(first, 50, now, whole)
        if running.begun:
            usual = whole
        if usual <= 0 or elapsed < running.overdue * usual:
            return
        load = self._targets[running.grant.target.target_id]
        load.breaker.note_time(elapsed / usual)
        running.overdue *= 2

    def _note_time(
        self, load: TargetLoad, running: _Running, outcome: Outcome, now: float
    ) -> None:
        """Compare a call's time with the usual one; of streams, that of one token."""
        ticket = running.grant.ticket
        seconds = outcome.seconds
        kind: Hashable = (ticket.pipeline, ticket.stage)
        if outcome.tokens:
            seconds /= outcome.tokens
            kind = (ticket.pipeline, ticket.stage, "token")
        usual = self._durations.estimate(kind, 50, now, seconds)
        load.breaker.note_time(_divide(seconds, usual))
        if outcome.tokens:
            self._durations.record(kind, seconds, now)

    def estimate_wait(
        self, workspace: str, priority: int, work: float, now: float
    ) -> float:
        """Return seconds that a call of ``work`` seconds would wait, if it came now."""
        if not len(self.queue):
            return 0.0
        pending = self.queue.sum_pending(priority)
        pending[workspace] = pending.get(workspace, 0.0) + work
        rate = self.find_rate(priority, now)
        return estimate_fair_wait(pending, workspace, self._weigh, rate)

    def find_rate(self, priority: int, now: float) -> float:
        """Return the seconds of work of a priority that are started each second."""
        self._drain.note_queue(len(self.queue), now)
        return self._drain.estimate(priority, self._count_slots(now), now)

    def _note_mean(self, seconds: float) -> None:
        self._answers += 1
        weight = max(MEAN_WEIGHT, 1 / self._answers)
        mean = self._mean_call + (seconds - self._mean_call) * weight
        self._mean_call = max(mean, SHORTEST_MEAN)

    def _note_tokens(
        self, running: _Running, load: TargetLoad, outcome: Outcome, now: float
    ) -> None:
        """Tell the curve of a stream and of how many calls its target held then."""
        reports = load.reports - running.reports
        held = running.held
        if reports > 0:
            held = (load.reported - running.reported) / reports
        self._knees.note(held, outcome.seconds, outcome.tokens, now)

    def _count_slots(self, now: float) -> float:
        """Return how many calls this instance can have in flight, by expectation."""
        choosers = max(1.0, self._count_choosers(self.name))
        return sum(
            max(view.limit / choosers, view.limit - view.held + view.mine)
            for view in self.find_room(now).views
            if not view.ejected
        )

    def _load_of(self, candidate: Candidate, longest: float, now: float) -> TargetLoad:
        target_id = candidate.target.target_id
        load = self._targets.get(target_id)
        if load is None:
            self._forget_idle()
            load = self._targets[target_id] = TargetLoad(
                limit_rule=self._limit_rule,
                breaker_rule=self._breaker_rule,
                random_source=self._random,
            )
        report = candidate.report
        if report is None or not load.is_new(report):
            return load
        pressed = len(self.queue) > 1
        knee = self._knees.find(report.capacity, pressed=pressed, now=now)
        load.take_report(report, longest, knee)
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
