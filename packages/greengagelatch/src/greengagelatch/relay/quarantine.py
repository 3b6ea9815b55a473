"""Quarantine of requests that crash the targets which run them."""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from .incarnations import Incarnation

__all__ = (
    "AMBIGUOUS_CRASH_LIMIT",
    "CLEARED_SECONDS",
    "CORRELATION_SECONDS",
    "CRASH_LIMIT",
    "QUARANTINE_SECONDS",
    "SUSPECT_CRASHES",
    "TRIAL_SECONDS",
    "CrashReport",
    "PartSurvivalReport",
    "Quarantine",
    "SurvivalReport",
)

#: crashes of targets that ran a request from which on instances coordinate its sends
SUSPECT_CRASHES = 2
#: crashes after which it is quarantined
CRASH_LIMIT = 3
#: the same where the crashes may have another cause: one more than a harmless request
#: meets in two attempts of two sends each
AMBIGUOUS_CRASH_LIMIT = 5
#: seconds for which one send of an undecided request holds back the next, unless its
#: outcome is known earlier
TRIAL_SECONDS = 1.0
#: seconds before and after the crashes of a request within which other crashes of the
#: service show that targets crash without it
CORRELATION_SECONDS = 10.0
#: seconds for which a crash counts against the requests that ran on the target
QUARANTINE_SECONDS = 600.0
#: seconds for which a request is cleared of suspicion once it has been answered: a
#: request that many callers send runs on every target when a data centre loses power
CLEARED_SECONDS = 60.0
#: most requests that are remembered as cleared
MAX_CLEARED = 4096
#: most crashes that are remembered; the oldest are dropped first
MAX_CRASHES = 16_384


@dataclass(frozen=True, slots=True)
class CrashReport:
    """A crashed target, with the requests of one instance that it was running."""

    target: Incarnation
    service: str
    #: digests of requests that were not answered and had not been running for long
    digests: tuple[str, ...]
    #: ids of the prompt parts that each of them shares with other requests, in the
    #: same order; empty: reported by an earlier release
    parts: tuple[tuple[str, ...], ...] = ()


@dataclass(frozen=True, slots=True)
class SurvivalReport:
    """An answered request that had run on targets as they crashed."""

    digest: str


@dataclass(frozen=True, slots=True)
class PartSurvivalReport:
    """Prompt parts of requests that targets of a service have begun to answer."""

    service: str
    part_ids: tuple[str, ...]
    #: seconds since the last answer to each of them
    ages: tuple[float, ...]


class Quarantine:
    """Finds requests that crash one target after the other.

    All requests that run on a target when it crashes become suspects, most of them
    wrongly. A request is not blamed for a crash if another request on that target has
    more crashes, nor if it was answered recently. The limit is higher, so that a
    harmless request is not quarantined by chance, where other requests on the same
    targets have as many crashes, or where at least half of the service's crashes in the
    same period happen without it and have no other single cause.

    Between the two limits a request is sent to one target at a time. Attempts sent at
    once would all reach targets before the next crash is known.

    Decisions depend on the reports and their arrival times but not on their order, so
    that instances with the same reports agree.

    :param is_explained: returns whether a target crashed for another known reason
    """

    def __init__(
        self, is_explained: Callable[[Incarnation], bool] = lambda target: False
    ) -> None:
        self._is_explained_otherwise = is_explained
        #: crashed targets by the request that they ran, with the time of the report
        self._crashed_targets: dict[str, dict[Incarnation, float]] = {}
        self._suspects: dict[Incarnation, set[str]] = {}
        #: service and time of each crash, the earliest report first
        self._crashes: OrderedDict[Incarnation, tuple[str, float]] = OrderedDict()
        #: limit by which each request was quarantined: later crashes without the
        #: request don't raise it
        self._limits: dict[str, int] = {}
        #: time of the last send of each undecided request whose outcome is not known
        self._trials: dict[str, float] = {}
        #: time, target and digest of each suspicion, in order of arrival
        self._suspicions: deque[tuple[float, Incarnation, str]] = deque()
        self._cleared: OrderedDict[str, float] = OrderedDict()

    def record_crash(self, report: CrashReport, now: float) -> None:
        """Record a crash report; idempotent."""
        self._expire(now)
        suspects = self._suspects.get(report.target, set())
        if not suspects.issuperset(report.digests):
            # another request on the same target may explain the crash as well
            for digest in suspects:
                self._limits.pop(digest, None)
        for digest in report.digests:
            self._trials.pop(digest, None)
            targets = self._crashed_targets.setdefault(digest, {})
            if report.target in targets:
                continue
            targets[report.target] = now
            self._suspects.setdefault(report.target, set()).add(digest)
            self._crashes.setdefault(report.target, (report.service, now))
            self._suspicions.append((now, report.target, digest))

    def record_survival(self, digest: str, now: float) -> None:
        """Record that a target has answered a request without a crash."""
        self._cleared.pop(digest, None)
        self._cleared[digest] = now
        if len(self._cleared) > MAX_CLEARED:
            self._cleared.popitem(last=False)
        self._limits.pop(digest, None)
        self._trials.pop(digest, None)
        for target in self._crashed_targets.pop(digest, {}):
            self._remove_suspect(target, digest)

    def is_cleared(self, digest: str, now: float) -> bool:
        """Return whether a request was answered recently."""
        return now - self._cleared.get(digest, float("-inf")) < CLEARED_SECONDS

    def find_quarantine_seconds(self, digest: str, now: float) -> float | None:
        """Return the seconds for which a request must not be sent.

        ``None``: it may be sent now. If its crashes leave undecided whether it is
        harmless, the next send waits until a crash is reported, :meth:`end_trial` is
        called or :data:`TRIAL_SECONDS` have passed.
        """
        held = self.find_hold_seconds(digest, now)
        if held is not None:
            return held
        if self.count_crashed(digest) < CRASH_LIMIT or self.is_cleared(digest, now):
            return None
        started = self._trials.get(digest)
        # the same time: the same send is checked again
        if started is not None and started < now < started + TRIAL_SECONDS:
            return started + TRIAL_SECONDS - now
        self._trials[digest] = now
        return None

    def find_hold_seconds(self, digest: str, now: float) -> float | None:
        """Return the seconds for which a request stays in quarantine.

        ``None``: it is not quarantined.
        """
        targets = self._crashed_targets.get(digest)
        if targets is None or len(targets) < CRASH_LIMIT:
            return None
        self._expire(now)
        blamed = self._find_blamed(digest)
        limit = self._limits.get(digest) or self._find_limit(digest, blamed)
        if len(blamed) < limit or self.is_cleared(digest, now):
            self._limits.pop(digest, None)
            return None
        self._limits[digest] = limit
        # ends when enough crashes have expired that fewer than the limit remain
        reported_at = sorted(targets[target] for target in blamed)
        return reported_at[-limit] + QUARANTINE_SECONDS - now

    def end_trial(self, digest: str) -> None:
        """Record that a send has ended, so that the next one need not wait for it."""
        self._trials.pop(digest, None)

    def find_last_crash(self, digest: str) -> float:
        """Return when the latest crash of a request was reported.

        ``-inf``: no target crashed while it ran the request.
        """
        targets = self._crashed_targets.get(digest, {})
        return max(targets.values(), default=float("-inf"))

    def has_crashes(self) -> bool:
        """Return whether any target crashed while it ran a request."""
        return bool(self._crashed_targets)

    def count_crashed(self, digest: str) -> int:
        """Return how many targets crashed while they ran a request."""
        return len(self._crashed_targets.get(digest, ()))

    def list_crashed(self, digest: str) -> tuple[Incarnation, ...]:
        """Return the targets that crashed while they ran a request."""
        return tuple(self._crashed_targets.get(digest, ()))

    def _find_limit(self, digest: str, blamed: set[Incarnation]) -> int:
        """Return the number of crashes for which a request is quarantined."""
        if self._count_undisputed(digest, blamed) < CRASH_LIMIT:
            return AMBIGUOUS_CRASH_LIMIT
        others = self._list_unrelated(digest, blamed)
        if self._count_unexplained(others) >= len(blamed):
            return AMBIGUOUS_CRASH_LIMIT
        return CRASH_LIMIT

    def _count_undisputed(self, digest: str, blamed: set[Incarnation]) -> int:
        """Count the crashes for which every other request has fewer crashes."""
        crashes = len(self._crashed_targets[digest])
        return sum(
            all(
                len(self._crashed_targets[other]) < crashes
                for other in self._suspects[target]
                if other != digest
            )
            for target in blamed
        )

    def _count_unexplained(self, targets: set[Incarnation]) -> int:
        """Count the crashes that are left if one request has caused all it can."""
        requests = set().union(*(self._suspects.get(one, ()) for one in targets))
        explained = (
            len(targets & crashed.keys())
            for crashed in map(self._crashed_targets.get, requests)
            if len(crashed) >= CRASH_LIMIT
        )
        return len(targets) - max(explained, default=0)

    def _list_unrelated(
        self, digest: str, blamed: set[Incarnation]
    ) -> set[Incarnation]:
        """Return the targets that crashed in the same period without a request."""
        known = [self._crashes[target] for target in blamed if target in self._crashes]
        services = {service for service, _ in known}
        times = [crashed_at for _, crashed_at in known]
        first = min(times, default=0.0) - CORRELATION_SECONDS
        last = max(times, default=0.0) + CORRELATION_SECONDS
        return {
            target
            for target, (service, crashed_at) in self._crashes.items()
            if service in services
            and first <= crashed_at <= last
            and digest not in self._suspects.get(target, ())
            and not self._is_explained_otherwise(target)
        }

    def _is_explained(self, target: Incarnation, crashes: int) -> bool:
        """Return whether a target ran a request with more crashes than a number.

        Crashes that have another known reason are explained as well.
        """
        return self._is_explained_otherwise(target) or any(
            len(self._crashed_targets[one]) > crashes for one in self._suspects[target]
        )

    def _find_blamed(self, digest: str) -> set[Incarnation]:
        """Return the crashes of a request that no other request explains better."""
        targets = self._crashed_targets.get(digest, {})
        return {
            target for target in targets if not self._is_explained(target, len(targets))
        }

    def _expire(self, now: float) -> None:
        horizon = now - QUARANTINE_SECONDS
        while self._crashes:
            target, (_, crashed_at) = next(iter(self._crashes.items()))
            if crashed_at > horizon and len(self._crashes) <= MAX_CRASHES:
                break
            del self._crashes[target]
        while self._suspicions:
            reported_at, target, digest = self._suspicions[0]
            if (
                now - reported_at < QUARANTINE_SECONDS
                and len(self._suspicions) <= MAX_CRASHES
            ):
                return
            self._suspicions.popleft()
            targets = self._crashed_targets.get(digest, {})
            if targets.get(target) != reported_at:
                continue
            del targets[target]
            if not targets:
                del self._crashed_targets[digest]
                self._limits.pop(digest, None)
                self._trials.pop(digest, None)
            self._remove_suspect(target, digest)

    def _remove_suspect(self, target: Incarnation, digest: str) -> None:
        suspects = self._suspects[target]
        suspects.discard(digest)
        if not suspects:
            del self._suspects[target]
