"""Checks of a run, from what callers and targets have seen."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from greengagelatch.relay.stream_versions import MEMORY_SECONDS

from ..platform_standins import announced_rates
from ..platform_standins.announced_leaving import DRAIN_SECONDS
from ..platform_standins.announced_rest import MAX_ARRIVALS
from ..platform_standins.targets import EVENTS
from .callers import DEADLINE_SECONDS
from .disturbances import Cause

if TYPE_CHECKING:
    from collections import Counter
    from collections.abc import Iterator, Mapping, Sequence

    from ..platform_standins.announced_leaving import AnnouncedLeaving
    from ..platform_standins.announced_rates import AnnouncedRate
    from ..platform_standins.announced_rest import AnnouncedRest
    from .callers import Outcome
    from .disturbances import Period, Periods

__all__ = ("Evidence", "check")

#: seconds before a close in which a request may cross it
CROSSING_SECONDS = 0.2
#: seconds after which a disturbance has to be known, and during which its end counts
CONTACT_SECONDS = 3.0
#: first tries that may fail in a partition: these and 1 in 50
MAX_FAILED, FAILED_DIVISOR = 10, 50
#: tries on each side below which shares are not compared
MIN_TRIES = 10
#: falls of brittle targets: these and a tenth of their number
MAX_FALLS, FALLS_DIVISOR = 2, 10
#: crashes of engines after which a prompt part has to be known, and the requests with
#: it that may reach engines once it is
MAX_CRASHES, MAX_LATE_ARRIVALS = 5, 3
#: seconds after an answer with a rate from which it binds the instance that got it
TOLD_SECONDS = 0.5
#: seconds after a silence in which requests that were held back are answered
HELD_SECONDS = 0.2
#: statuses that promise that a request was not run
NOT_RUN = (408, 421, 429, 503)
STATUS_SERVER_ERROR = 500
#: what delays no answer of a target
UNDISTURBING = (Cause.RESTART, Cause.RELOAD, Cause.CONFIGURATION)
PLANNED = (Cause.RESTART, Cause.KILL, Cause.EXIT)


@dataclass(frozen=True, slots=True, kw_only=True)
class Evidence:
    """All that a run has shown."""

    #: names of all instances
    instances: Sequence[str]
    outcomes: Sequence[Outcome]
    periods: Periods
    #: number of runs by request id, over all targets
    runs: Counter[str]
    #: ids of requests that a target has received, or stage work for them
    reached: frozenset[str]
    brittle_targets: int
    #: the rates of the targets that name one
    rates: Sequence[AnnouncedRate]
    #: what all processes of targets have announced, with their services
    leavings: Sequence[tuple[str, AnnouncedLeaving]]
    rests: Sequence[tuple[str, AnnouncedRest]]
    #: name of the instance that connects to targets from each host
    names: Mapping[str, str]
    #: what the processes' logs and ends show, by instance
    process_faults: Sequence[str]


def check(evidence: Evidence) -> list[str]:
    """Return all violations, in words."""
    violations = [
        *_check_answers(evidence),
        *_check_runs(evidence),
        *_check_stops(evidence),
        *_check_silences(evidence),
        *_check_partitions(evidence),
        *_check_falls(evidence),
        *_check_crashing_parts(evidence),
        *_check_versions(evidence),
        *_check_rates(evidence),
        *_check_leavings(evidence),
        *_check_rests(evidence),
    ]
    return violations + list(evidence.process_faults)


def _check_answers(evidence: Evidence) -> Iterator[str]:
    for outcome in evidence.outcomes:
        if outcome.abandoned:
            yield f"no end of the response: {outcome}"
            continue
        if outcome.left:
            continue
        if outcome.complete:
            if outcome.status == 200 and not outcome.served:
                yield f"a stream ends without {EVENTS} events: {outcome}"
            continue
        if _is_killed(evidence, outcome):
            continue
        if outcome.status == 0:
            crossed = outcome.ended - outcome.sent <= CROSSING_SECONDS
            if crossed and outcome.request_id not in evidence.reached:
                continue
            yield f"closed without an answer: {outcome}"
            continue
        if not _find_excuse(evidence, outcome):
            yield f"broken without a cause: {outcome}"


def _check_runs(evidence: Evidence) -> Iterator[str]:
    for outcome in evidence.outcomes:
        runs = evidence.runs[outcome.request_id]
        if outcome.route.once and runs > 1:
            yield f"run {runs} times: {outcome}"
        if outcome.status in NOT_RUN and runs:
            yield f"refused though it was run: {outcome}"


def _check_stops(evidence: Evidence) -> Iterator[str]:
    """Find requests that may run once only and were given up in a planned stop.

    Targets answer them at once, unless something else disturbs them.
    """
    others = [one for one in Cause if one not in UNDISTURBING]
    for outcome in evidence.outcomes:
        if not outcome.route.once or outcome.route.stream or not outcome.complete:
            continue
        if outcome.status < STATUS_SERVER_ERROR or outcome.status in NOT_RUN:
            continue
        stops = evidence.periods.find(Cause.RESTART)
        if not _meets(stops, outcome, instance=outcome.instance):
            continue
        if not _meets(evidence.periods.find(*others), outcome):
            yield f"given up in a planned stop: {outcome}"


def _check_silences(evidence: Evidence) -> Iterator[str]:
    for outcome in evidence.outcomes:
        if (
            outcome.served
            or outcome.left
            or outcome.ended - outcome.sent >= DEADLINE_SECONDS
        ):
            continue
        if outcome.status == 0:
            # judged as a connection that closes
            continue
        if not _find_excuse(evidence, outcome):
            yield f"refused or broken with no cause but silence: {outcome}"


def _check_partitions(evidence: Evidence) -> Iterator[str]:
    for period in evidence.periods.find(Cause.PARTITION):
        service = period.service
        tries = [
            outcome
            for outcome in evidence.outcomes
            if period.start + CONTACT_SECONDS <= outcome.sent <= period.end
            and (not service or service in outcome.route.services)
            and not outcome.left
            and _is_in_touch(evidence, outcome, outcome.instance)
            and _has_relay(evidence, outcome, period)
            and not _meets(
                evidence.periods.find(Cause.BRITTLE, Cause.LIMIT, Cause.CRASHING_PART),
                outcome,
            )
        ]
        cut = [one for one in tries if one.instance in period.instances]
        others = [one for one in tries if one.instance not in period.instances]
        name = f"partition at {period.start:.3f} ({service or 'all services'})"
        yield from _compare(cut, others, name)


def _compare(
    cut: Sequence[Outcome], others: Sequence[Outcome], name: str
) -> Iterator[str]:
    served = sum(one.served for one in cut)
    served_others = sum(one.served for one in others)
    failed = [str(one) for one in cut if not one.served]
    words = f"{name}: {served} of {len(cut)} first tries served, at the others "
    words += f"{served_others} of {len(others)}; failed: {'; '.join(failed[:3])}"
    if len(failed) > MAX_FAILED + len(cut) / FAILED_DIVISOR:
        yield words
        return
    if min(len(cut), len(others)) < MIN_TRIES:
        return
    if served / len(cut) < served_others / len(others) * 2 / 3:
        yield words


def _check_falls(evidence: Evidence) -> Iterator[str]:
    allowed = MAX_FALLS + evidence.brittle_targets / FALLS_DIVISOR
    for period in evidence.periods.find(Cause.BRITTLE):
        if period.falls > allowed:
            yield f"{period.falls} falls of brittle targets, {allowed} are allowed"


def _check_crashing_parts(evidence: Evidence) -> Iterator[str]:
    for period in evidence.periods.find(Cause.CRASHING_PART):
        if len(period.crashes) < MAX_CRASHES:
            continue
        known_at = period.crashes[MAX_CRASHES - 1] + CONTACT_SECONDS
        late = [
            f"{at:.3f} from {instance}"
            for at, instance in period.arrivals
            if at > known_at and not _is_disturbed(evidence, instance, at)
        ]
        if len(late) > MAX_LATE_ARRIVALS:
            yield (
                f"{len(late)} requests with a crashing part reach engines after "
                f"{known_at:.3f}: {', '.join(late[:6])}"
            )


def _check_versions(evidence: Evidence) -> Iterator[str]:
    by_id = {one.request_id: one.versions for one in evidence.outcomes}
    for outcome in evidence.outcomes:
        versions = outcome.versions | by_id.get(outcome.resumes, frozenset())
        if len(versions) > 1:
            yield f"events of versions {sorted(versions)}: {outcome}"


def _check_rates(evidence: Evidence) -> Iterator[str]:
    for period in evidence.periods.find(Cause.LIMIT):
        since = period.start + announced_rates.CONTACT_SECONDS
        allowed = announced_rates.count_allowed(period.rate)
        for rate in evidence.rates:
            counted = announced_rates.AnnouncedRate()
            for at, request_id in rate.requests:
                instance = _find_instance(evidence, request_id)
                if not _is_told(rate, instance, at) or at > period.named_until:
                    continue
                if not _is_disturbed(evidence, instance, at):
                    counted.record_arrival(at)
            peak = counted.find_peak(since)
            if peak > allowed:
                yield f"{peak} requests at a rate of {period.rate}, {allowed} allowed"


def _check_leavings(evidence: Evidence) -> Iterator[str]:
    sent_at = {one.request_id: one.sent for one in evidence.outcomes}
    for service, leaving in evidence.leavings:
        for at, host, request_id in leaving.arrivals:
            instance = evidence.names.get(host, host)
            told_at = _find_told_at(evidence, service, leaving.answers[host])
            if sent_at.get(request_id, 0.0) <= told_at + DRAIN_SECONDS:
                continue
            if _was_restarted(evidence, instance, told_at, at):
                continue
            yield (
                f"{request_id} reaches a target from {instance}, which it has told "
                f"{at - told_at:.3f} s before that it leaves"
            )


def _find_told_at(evidence: Evidence, service: str, answers: Sequence[float]) -> float:
    """Return the time of the first answer that was not held back."""
    told = (at for at in answers if not _is_held_back(evidence, service, at))
    return next(told, float("inf"))


def _check_rests(evidence: Evidence) -> Iterator[str]:
    for service, rest in evidence.rests:
        for host, asked_at, times in rest.list_arrivals():
            if _is_held_back(evidence, service, asked_at):
                continue
            instance = evidence.names.get(host, host)
            times = [at for at in times if not _is_disturbed(evidence, instance, at)]
            if len(times) > MAX_ARRIVALS:
                offsets = ", ".join(f"{at - asked_at:.3f}" for at in times)
                yield (
                    f"{len(times)} requests of {instance} in a rest from {asked_at:.3f}"
                    f", after {offsets} s"
                )


def _is_held_back(evidence: Evidence, service: str, at: float) -> bool:
    """Return whether an answer may be to a request that was held back on its link.

    Its instance may have given the request up by then, and gets no answer.
    """
    return any(
        period.service == service and period.overlaps(at - HELD_SECONDS, at)
        for period in evidence.periods.find(Cause.SILENCE)
    )


def _was_restarted(evidence: Evidence, instance: str, start: float, end: float) -> bool:
    return any(
        instance in period.instances and period.overlaps(start, end)
        for period in evidence.periods.find(*PLANNED)
    )


def _find_instance(evidence: Evidence, request_id: str) -> str:
    """Return the instance that a caller has sent a request to."""
    names = [one for one in evidence.instances if request_id.startswith(f"{one}-")]
    return names[0] if names else ""


def _is_told(rate: AnnouncedRate, instance: str, at: float) -> bool:
    """Return whether an instance had got an answer with the rate some time before."""
    return any(
        answered_at + TOLD_SECONDS <= at and request_id.startswith(f"{instance}-")
        for answered_at, request_id in rate.answers
    )


def _is_disturbed(evidence: Evidence, instance: str, at: float) -> bool:
    """Return whether an instance was stopped, started or partitioned lately."""
    return any(
        instance in period.instances and period.overlaps(at - CONTACT_SECONDS, at)
        for period in evidence.periods.find(Cause.PARTITION, *PLANNED)
    )


def _find_excuse(evidence: Evidence, outcome: Outcome) -> bool:
    """Return whether anything but silence may have caused a failure."""
    periods = evidence.periods
    # stage work is made at several instances
    instance = "" if len(outcome.route.services) > 1 else outcome.instance
    causes = (Cause.PARTITION, Cause.CRASHING_PART, *PLANNED)
    if _meets(periods.find(*causes), outcome, instance=instance):
        return True
    if _meets(periods.find(Cause.BRITTLE, Cause.LIMIT), outcome):
        return True
    return _has_no_target(evidence, outcome) or _is_unknown(evidence, outcome)


def _has_no_target(evidence: Evidence, outcome: Outcome) -> bool:
    """Return whether targets that rest or leave may have taken a request's chances.

    The other target of the service serves, unless it is silent, or rests or leaves too.
    """
    periods = evidence.periods
    causes = (Cause.LEAVING, Cause.REST)
    if not _meets(periods.find(*causes), outcome):
        return False
    if outcome.route.attempts == 1 and _meets(periods.find(Cause.REST), outcome):
        return True
    met = [one for one in periods.find(*causes) if _meets(iter((one,)), outcome)]
    return len(met) > 1 or _meets(periods.find(Cause.SILENCE), outcome)


def _is_unknown(evidence: Evidence, outcome: Outcome) -> bool:
    """Return whether nobody may know which version began a stream."""
    return bool(outcome.resumes) and any(
        period.overlaps(outcome.sent - MEMORY_SECONDS, outcome.ended)
        for period in evidence.periods.find(Cause.OUTAGE)
    )


def _meets(periods: Iterator[Period], outcome: Outcome, *, instance: str = "") -> bool:
    """Return whether a period, or the time just after it, concerns a request."""
    for period in periods:
        if instance and period.instances and instance not in period.instances:
            continue
        if period.service and period.service not in outcome.route.services:
            continue
        if period.overlaps(outcome.sent - CONTACT_SECONDS, outcome.ended):
            return True
    return False


def _is_in_touch(evidence: Evidence, outcome: Outcome, instance: str) -> bool:
    """Return whether an instance is neither stopped nor started around a request."""
    planned = evidence.periods.find(*PLANNED)
    return not _meets(planned, outcome, instance=instance)


def _has_relay(evidence: Evidence, outcome: Outcome, period: Period) -> bool:
    """Return whether an instance in touch reaches the targets in a partition."""
    return any(
        name not in period.instances and _is_in_touch(evidence, outcome, name)
        for name in evidence.instances
    )


def _is_killed(evidence: Evidence, outcome: Outcome) -> bool:
    return any(
        outcome.instance in one.instances and one.overlaps(outcome.sent, outcome.ended)
        for one in evidence.periods.find(Cause.KILL)
    )
