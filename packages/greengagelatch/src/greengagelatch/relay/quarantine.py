"""Requests that end the targets which run them, told from those beside them."""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .incarnations import Incarnation

__all__ = ("QUARANTINE_SECONDS", "CrashReport", "Quarantine")

#: targets that may end under a request before it is kept from all others
CRASH_LIMIT = 3
#: the same where another request was on all of these, or targets end by themselves:
#: one more than a sound request meets in two attempts of two sends each
AMBIGUOUS_CRASH_LIMIT = 5
#: seconds around the ends under a request in which other ends of the service speak for
#: it
CORRELATION_SECONDS = 10.0
#: seconds for which a target's end counts against the requests that were on it
QUARANTINE_SECONDS = 600.0
#: seconds for which a request that was answered is taken to be sound: one that many
#: callers send is on every target when a data centre loses power
CLEARED_SECONDS = 60.0
#: requests that are remembered as sound
MAX_CLEARED = 4096
#: ends of targets under requests that are remembered; the oldest go first
MAX_CRASHES = 16_384


@dataclass(frozen=True, slots=True)
class CrashReport:
    """A target that ended, and the requests on it that one instance had sent."""

    target: Incarnation
    service: str
    #: digests of those that it had not answered and not been running for long
    digests: tuple[str, ...]


class Quarantine:
    """Finds requests under which one target after the other ends.

    Whatever was on a target when it ended is suspected, most of it wrongly. A request
    is not blamed for the end of a target on which there was another one that more
    targets ended under, nor if it was answered lately. More targets have to end, so
    that chance does not decide about a sound one, where two requests can't be told
    apart, and where half of the targets of the service that end meanwhile or more do so
    without it.

    Answers depend on the reports and on when they came, not on their order, so that
    instances which know the same reports agree.
    """

    def __init__(self) -> None:
        #: targets that ended under a request, and when that was learnt
        self._crashed_targets: dict[str, dict[Incarnation, float]] = {}
        self._suspects: dict[Incarnation, set[str]] = {}
        #: service and time of each end, those learnt first in front
        self._crashes: OrderedDict[Incarnation, tuple[str, float]] = OrderedDict()
        #: limit by which each request is held: what ends by itself later on does not
        #: speak for it any more
        self._limits: dict[str, int] = {}
        #: every end under a request in the order in which they were learnt
        self._suspicions: deque[tuple[float, Incarnation, str]] = deque()
        self._cleared: OrderedDict[str, float] = OrderedDict()

    def record_crash(self, report: CrashReport, now: float) -> None:
        """Take in that a target ended; a report that is known changes nothing."""
        self._expire(now)
        for digest in report.digests:
            targets = self._crashed_targets.setdefault(digest, {})
            if report.target in targets:
                continue
            targets[report.target] = now
            self._suspects.setdefault(report.target, set()).add(digest)
            self._crashes.setdefault(report.target, (report.service, now))
            self._suspicions.append((now, report.target, digest))

    def record_survival(self, digest: str, now: float) -> None:
        """Take in that a target has answered a request, and lives."""
        self._cleared.pop(digest, None)
        self._cleared[digest] = now
        if len(self._cleared) > MAX_CLEARED:
            self._cleared.popitem(last=False)
        self._limits.pop(digest, None)
        for target in self._crashed_targets.pop(digest, {}):
            self._remove_suspect(target, digest)

    def is_cleared(self, digest: str, now: float) -> bool:
        """Whether a request was answered lately."""
        return now - self._cleared.get(digest, float("-inf")) < CLEARED_SECONDS

    def find_quarantine_seconds(self, digest: str, now: float) -> float | None:
        """Return for how many seconds a request is kept from targets.

        ``None``: it may be sent.
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
        # held until so many of these have lapsed that fewer than the limit are left
        reported_at = sorted(targets[target] for target in blamed)
        return reported_at[-limit] + QUARANTINE_SECONDS - now

    def has_crashes(self) -> bool:
        """Whether any target ended with a request on it."""
        return bool(self._crashed_targets)

    def count_crashed(self, digest: str) -> int:
        """Return how many targets ended with a request on them."""
        return len(self._crashed_targets.get(digest, ()))

    def list_crashed(self, digest: str) -> tuple[Incarnation, ...]:
        """Return the targets that ended with a request on them."""
        return tuple(self._crashed_targets.get(digest, ()))

    def _find_limit(self, digest: str, blamed: set[Incarnation]) -> int:
        """Return how many ends a request must be blamed for to be held."""
        if not self._dominates(digest, blamed):
            others = self._list_unrelated(digest, blamed)
            left = [one for one in others if not self._has_dominant_request(one)]
            if len(left) >= len(blamed):
                return AMBIGUOUS_CRASH_LIMIT
        return (
            AMBIGUOUS_CRASH_LIMIT if self._is_ambiguous(digest, blamed) else CRASH_LIMIT
        )

    def _has_dominant_request(self, target: Incarnation) -> bool:
        """Whether a request was on a target that ends of targets stand out for."""
        return any(
            len(self._crashed_targets[one]) >= CRASH_LIMIT
            and self._dominates(one, set(self._crashed_targets[one]))
            for one in self._suspects.get(target, ())
        )

    def _dominates(self, digest: str, blamed: set[Incarnation]) -> bool:
        """Whether most targets that end about the same time end with a request."""
        return len(self._list_unrelated(digest, blamed)) < len(blamed)

    def _list_unrelated(
        self, digest: str, blamed: set[Incarnation]
    ) -> list[Incarnation]:
        """Return the targets that ended without a request about the same time."""
        known = [self._crashes[target] for target in blamed if target in self._crashes]
        services = {service for service, _ in known}
        times = [crashed_at for _, crashed_at in known]
        first = min(times, default=0.0) - CORRELATION_SECONDS
        last = max(times, default=0.0) + CORRELATION_SECONDS
        return [
            target
            for target, (service, crashed_at) in self._crashes.items()
            if service in services
            and first <= crashed_at <= last
            and digest not in self._suspects.get(target, ())
        ]

    def _is_explained(self, target: Incarnation, crashes: int) -> bool:
        """Whether a request was on a target that more than ``ends`` ended under."""
        return any(
            len(self._crashed_targets[one]) > crashes for one in self._suspects[target]
        )

    def _find_blamed(self, digest: str) -> set[Incarnation]:
        """Return the targets whose end nothing else on them explains better."""
        targets = self._crashed_targets.get(digest, {})
        return {
            target for target in targets if not self._is_explained(target, len(targets))
        }

    def _is_ambiguous(self, digest: str, blamed: set[Incarnation]) -> bool:
        """Whether another request was on the same targets, and on no more."""
        if not blamed:
            return False
        shared = set.intersection(*(self._suspects[target] for target in blamed))
        return len(shared - {digest}) > 0

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
            self._remove_suspect(target, digest)

    def _remove_suspect(self, target: Incarnation, digest: str) -> None:
        suspects = self._suspects[target]
        suspects.discard(digest)
        if not suspects:
            del self._suspects[target]
