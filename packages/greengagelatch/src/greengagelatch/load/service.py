"""Load of one service as this instance estimates it."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from statistics import fmean

from ..targets.directory import Candidate, TargetDirectory
from . import Grant, Outcome, OutcomeKind
from .breakers import BreakerRule, BreakerState, find_ejected, trip_slow_targets
from .choice import TargetChoice
from .durations import DurationTracker
from .free_capacity import FreeCapacity
from .limits import LimitRule
from .loads import TargetLoad
from .queue import CallQueue, QueuedCall
from .times import CallKind, CallTimes, find_kind
from .waits import DrainRate, estimate_fair_wait

__all__ = ("ServiceLoad",)

#: multiple of the median duration at which a running call counts as overdue; counted
#: again at each doubling
OVERDUE_RATIO = 4.0
#: seconds between two checks for overdue calls
OVERDUE_INTERVAL = 0.1
#: slowness above which a target's streams are not used to tune the concurrency
MAX_TUNING_SLOWNESS = 2.0
#: number of known targets from which absent ones are evicted
EVICT_ABOVE = 64


@dataclass(slots=True)
class _Running:
    """A granted call; ``overdue`` is the next multiple of the median to record."""

    grant: Grant
    long: bool
    expected_in_flight: float
    #: sum of its target's reported calls over all reports so far, and their number
    reported: float
    reports: int
    overdue: float = OVERDUE_RATIO
    #: whether its first token was received
    begun: bool = False


@dataclass(frozen=True, slots=True)
class _CachedCapacity:
    """The free capacity computed last, and its inputs."""

    at: float
    candidates: tuple[Candidate, ...]
    capacity: FreeCapacity


class ServiceLoad:
    """Queue, calls in flight and target loads of one service."""

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
        count_senders: Callable[[str], float],
    ) -> None:
        self.name = name
        self.queue = queue
        self._directory = directory
        self._limit_rule = limit_rule
        self._breaker_rule = breaker_rule
        self._short_share = short_share
        self._data_centre = data_centre
        self._random = random_source
        self._times = CallTimes(durations, late_share=late_share)
        self._choice = choice
        self._weigh = weigh
        self._count_senders = count_senders
        self._targets: dict[str, TargetLoad] = {}
        self._running: dict[int, _Running] = {}
        self._drain = DrainRate()
        self._overdue_checked = float("-inf")
        self._cached_capacity: _CachedCapacity | None = None

    @property
    def targets(self) -> dict[str, TargetLoad]:
        """Loads by target id."""
        return self._targets

    @property
    def in_flight(self) -> int:
        """Number of granted calls."""
        return len(self._running)

    def estimate_duration(
        self, kind: CallKind, allotted: float, percentile: float, now: float
    ) -> float:
        """Return seconds that a call takes once it has started.

        :param allotted: seconds of the deadline that are allotted to the stage.
        """
        return self._times.estimate(kind, allotted, percentile, now)

    def estimate_safe_duration(
        self, kind: CallKind, allotted: float, now: float
    ) -> float:
        """Return seconds within which all but the allowed share of calls end."""
        held = self.find_free_capacity(now).mean_in_flight
        return self._times.estimate_safe(kind, allotted, held, now)

    def is_long(self, kind: CallKind, now: float) -> bool:
        """Whether calls of this kind are long ones of this service."""
        return self._times.is_long(kind, now)

    def is_busy(self, now: float) -> bool:
        """Whether calls are queued or the targets' utilization is high."""
        return len(self.queue) > 0 or self.find_free_capacity(now).busy

    def find_free_capacity(self, now: float) -> FreeCapacity:
        """Return the free capacity of all targets as of ``now``.

        The result is cached: one call needs it several times at the same moment,
        from arrival to grant, and computing it is most of the cost of a decision.
        """
        candidates = self._directory.candidates(self.name)
        known = self._cached_capacity
        if known is None or known.at != now or known.candidates != candidates:
            capacity = self._compute_free_capacity(candidates, now)
            known = self._cached_capacity = _CachedCapacity(now, candidates, capacity)
        return known.capacity

    def _compute_free_capacity(
        self, candidates: tuple[Candidate, ...], now: float
    ) -> FreeCapacity:
        senders = max(1.0, self._count_senders(self.name))
        longest = self._times.find_longest(now)
        loads = [self._find_load(candidate, longest, now) for candidate in candidates]
        known = [load.count_reported_others() for load in loads]
        reported = [count for count in known if count is not None]
        usual = fmean(reported) if reported else 0.0
        ids = [candidate.target.target_id for candidate in candidates]
        breakers = [
            (target_id, load.breaker)
            for target_id, load in zip(ids, loads, strict=True)
        ]
        ejected = find_ejected(breakers, self._breaker_rule, now)
        views = []
        for candidate, load in zip(candidates, loads, strict=True):
            others = load.estimate_others(now, usual, self._times.mean)
            state = load.breaker.read_state(now)
            views.append(
                load.view(
                    candidate,
                    others=others,
                    senders=senders,
                    local=candidate.target.data_centre == self._data_centre,
                    ejected=candidate.target.target_id in ejected,
                    half_open=state is BreakerState.HALF_OPEN,
                )
            )
        return FreeCapacity(
            tuple(views),
            short_share=self._short_share,
            choice=self._choice,
            random_source=self._random,
        )

    def start(self, grant: Grant, queued: QueuedCall, held: float) -> None:
        """Count a granted call.

        :param held: estimated calls in flight at its target before it.
        """
        priority = grant.ticket.priority
        self._drain.record_start(priority, queued.expected, grant.granted)
        self._cached_capacity = None
        load = self._targets[grant.target.target_id]
        load.adjust_in_flight(1, long=queued.long, now=grant.granted)
        if grant.probe:
            load.breaker.begin_probe(grant.granted)
        self._running[grant.grant_id] = _Running(
            grant, queued.long, held, load.reported, load.reports
        )

    def finish(self, grant: Grant, outcome: Outcome, now: float) -> None:
        """Remove a granted call and record its outcome."""
        running = self._running.pop(grant.grant_id, None)
        if running is None:
            return
        self._cached_capacity = None
        load = self._targets[grant.target.target_id]
        load.adjust_in_flight(-1, long=running.long, now=now)
        if outcome.tokens:
            self._record_tokens(running, load, outcome, now)
        ticket = grant.ticket
        match outcome.kind:
            case OutcomeKind.SUCCESS:
                self._record_answer(running, load, outcome, now)
            case OutcomeKind.FAILURE:
                load.breaker.record_failure(now)
            case OutcomeKind.REJECTED:
                load.limit.record_rejection(running.expected_in_flight, now)
            case OutcomeKind.ABANDONED:
                if outcome.tokens:
                    load.breaker.record_latency(
                        self._times.compare_duration(ticket, outcome, now)
                    )
        self._times.record_end(ticket, outcome, now)

    def record_first_token(self, grant: Grant, seconds: float, now: float) -> None:
        """Record the time to first token of a stream."""
        running = self._running.get(grant.grant_id)
        if running is None:
            return
        running.begun = True
        self._cached_capacity = None
        ratio = self._times.compare_first_token(grant.ticket, seconds, now)
        self._targets[grant.target.target_id].breaker.record_latency(ratio)

    def record_silence(self, grant: Grant, now: float) -> None:
        """Record that a target is silent; new calls prefer others."""
        if grant.grant_id not in self._running:
            return
        self._cached_capacity = None
        self._targets[grant.target.target_id].breaker.record_failure(now)

    def check_overdue(self, now: float) -> None:
        """Record overdue calls and trip the breakers of slow targets."""
        if now - self._overdue_checked < OVERDUE_INTERVAL:
            return
        self._overdue_checked = now
        self._cached_capacity = None
        for running in self._running.values():
            self._record_overdue(running, now)
        breakers = [load.breaker for load in self._targets.values()]
        trip_slow_targets(breakers, self._breaker_rule, now)

    def _record_overdue(self, running: _Running, now: float) -> None:
        grant = running.grant
        elapsed = now - grant.granted
        ratio = self._times.compare_elapsed(
            grant.ticket, elapsed, now, begun=running.begun
        )
        if ratio < running.overdue:
            return
        self._targets[grant.target.target_id].breaker.record_latency(ratio)
        running.overdue *= 2

    def _record_answer(
        self, running: _Running, load: TargetLoad, outcome: Outcome, now: float
    ) -> None:
        ticket = running.grant.ticket
        seconds = outcome.seconds
        baseline = self._times.find_baseline(find_kind(ticket), seconds, now)
        load.breaker.record_latency(self._times.compare_duration(ticket, outcome, now))
        if load.breaker.record_success():
            load.limit.reset(now)
        usual = baseline + self._limit_rule.allowed_queueing
        load.limit.record_latency(seconds / usual, running.expected_in_flight, now)

    def estimate_wait(
        self, workspace: str, priority: int, work: float, now: float
    ) -> float:
        """Return the queueing time of a call of ``work`` seconds arriving now."""
        if not len(self.queue):
            return 0.0
        pending = self.queue.sum_pending(priority)
        pending[workspace] = pending.get(workspace, 0.0) + work
        rate = self.find_rate(priority, now)
        return estimate_fair_wait(pending, workspace, self._weigh, rate)

    def find_rate(self, priority: int, now: float) -> float:
        """Return the seconds of work started each second for a priority."""
        self._drain.record_queue_length(len(self.queue), now)
        return self._drain.estimate(priority, self._count_slots(now), now)

    def _record_tokens(
        self, running: _Running, load: TargetLoad, outcome: Outcome, now: float
    ) -> None:
        """Record a stream and its target's concurrency for concurrency tuning.

        Streams of slow targets are excluded: they would make a low concurrency look
        as slow as a high one.
        """
        if load.breaker.slowness > MAX_TUNING_SLOWNESS:
            return
        reports = load.reports - running.reports
        held = running.expected_in_flight
        if reports > 0:
            held = (load.reported - running.reported) / reports
        self._times.concurrency.record(held, outcome.seconds, outcome.tokens, now)

    def _count_slots(self, now: float) -> float:
        """Return the estimated number of calls this instance can have in flight."""
        senders = max(1.0, self._count_senders(self.name))
        return sum(
            max(
                view.limit / senders,
                view.limit - view.expected_in_flight + view.own_in_flight,
            )
            for view in self.find_free_capacity(now).views
            if not view.ejected
        )

    def _find_load(
        self, candidate: Candidate, longest: float, now: float
    ) -> TargetLoad:
        target_id = candidate.target.target_id
        load = self._targets.get(target_id)
        if load is None:
            self._evict_absent()
            load = self._targets[target_id] = TargetLoad(
                limit_rule=self._limit_rule,
                breaker_rule=self._breaker_rule,
                random_source=self._random,
            )
        report = candidate.report
        if report is None or not load.is_new(report):
            return load
        backlogged = len(self.queue) > 1
        capacity = self._times.concurrency.update(
            report.capacity, backlogged=backlogged, now=now
        )
        load.apply_report(report, longest, capacity)
        return load

    def _evict_absent(self) -> None:
        """Drop absent targets, or each replaced target would leak memory."""
        if len(self._targets) < EVICT_ABOVE:
            return
        present = {
            candidate.target.target_id
            for candidate in self._directory.candidates(self.name)
        }
        for target_id, load in tuple(self._targets.items()):
            if load.own_in_flight == 0 and target_id not in present:
                del self._targets[target_id]
