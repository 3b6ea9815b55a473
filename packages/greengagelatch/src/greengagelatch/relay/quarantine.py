"""Requests that end the targets which run them, told from those beside them."""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .incarnations import Incarnation

__all__ = ("QUARANTINE_SECONDS", "CrashReport", "Quarantine")

#: targets that may end under a request before it is kept from all others
MAX_ENDED = 3
#: the same where another request was on all of these, or targets end by themselves:
#: one more than a sound request meets in two attempts of two sends each
MAX_ENDED_DOUBTED = 5
#: seconds around the ends under a request in which other ends of the service speak for
#: it
AROUND_SECONDS = 10.0
#: seconds for which a target's end counts against the requests that were on it
QUARANTINE_SECONDS = 600.0
#: seconds for which a request that was answered is taken to be sound: one that many
#: callers send is on every target when a data centre loses power
SOUND_SECONDS = 60.0
#: requests that are remembered as sound
MAX_SOUND = 4096
#: ends of targets under requests that are remembered; the oldest go first
MAX_ENDS = 16_384


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
        self._ended: dict[str, dict[Incarnation, float]] = {}
        self._suspects: dict[Incarnation, set[str]] = {}
        #: service and time of each end, those learnt first in front
        self._ends: OrderedDict[Incarnation, tuple[str, float]] = OrderedDict()
        #: limit by which each request is held: what ends by itself later on does not
        #: speak for it any more
        self._limits: dict[str, int] = {}
        #: every end under a request in the order in which they were learnt
        self._order: deque[tuple[float, Incarnation, str]] = deque()
        self._sound: OrderedDict[str, float] = OrderedDict()

    def record_crash(self, report: CrashReport, now: float) -> None:
        """Take in that a target ended; a report that is known changes nothing."""
        self._drop_old(now)
        for digest in report.digests:
            targets = self._ended.setdefault(digest, {})
            if report.target in targets:
                continue
            targets[report.target] = now
            self._suspects.setdefault(report.target, set()).add(digest)
            self._ends.setdefault(report.target, (report.service, now))
            self._order.append((now, report.target, digest))

    def record_survival(self, digest: str, now: float) -> None:
        """Take in that a target has answered a request, and lives."""
        self._sound.pop(digest, None)
        self._sound[digest] = now
        if len(self._sound) > MAX_SOUND:
            self._sound.popitem(last=False)
        self._limits.pop(digest, None)
        for target in self._ended.pop(digest, {}):
            self._forget_suspect(target, digest)

    def is_cleared(self, digest: str, now: float) -> bool:
        """Whether a request was answered lately."""
        return now - self._sound.get(digest, float("-inf")) < SOUND_SECONDS

    def find_quarantine_seconds(self, digest: str, now: float) -> float | None:
        """Return for how many seconds a request is kept from targets.

        ``None``: it may be sent.
        """
        targets = self._ended.get(digest)
        if targets is None or len(targets) < MAX_ENDED:
            return None
        self._drop_old(now)
        blamed = self._find_blamed(digest)
        limit = self._limits.get(digest) or self._find_limit(digest, blamed)
        if len(blamed) < limit or self.is_cleared(digest, now):
            self._limits.pop(digest, None)
            return None
        self._limits[digest] = limit
        # held until so many of these have lapsed that fewer than the limit are left
        learnt = sorted(targets[target] for target in blamed)
        return learnt[-limit] + QUARANTINE_SECONDS - now

    def has_crashes(self) -> bool:
        """Whether any target ended with a request on it."""
        return bool(self._ended)

    def count_crashed(self, digest: str) -> int:
        """Return how many targets ended with a request on them."""
        return len(self._ended.get(digest, ()))

    def list_crashed(self, digest: str) -> tuple[Incarnation, ...]:
        """Return the targets that ended with a request on them."""
        return tuple(self._ended.get(digest, ()))

    def _find_limit(self, digest: str, blamed: set[Incarnation]) -> int:
        """Return how many ends a request must be blamed for to be held."""
        if not self._stands_out(digest, blamed):
            others = self._list_others(digest, blamed)
            left = [one for one in others if not self._has_standing_out(one)]
            if len(left) >= len(blamed):
                return MAX_ENDED_DOUBTED
        return MAX_ENDED_DOUBTED if self._is_tied(digest, blamed) else MAX_ENDED

    def _has_standing_out(self, target: Incarnation) -> bool:
        """Whether a request was on a target that ends of targets stand out for."""
        return any(
            len(self._ended[one]) >= MAX_ENDED
            and self._stands_out(one, set(self._ended[one]))
            for one in self._suspects.get(target, ())
        )

    def _stands_out(self, digest: str, blamed: set[Incarnation]) -> bool:
        """Whether most targets that end about the same time end with a request."""
        return len(self._list_others(digest, blamed)) < len(blamed)

    def _list_others(self, digest: str, blamed: set[Incarnation]) -> list[Incarnation]:
        """Return the targets that ended without a request about the same time."""
        known = [self._ends[target] for target in blamed if target in self._ends]
        services = {service for service, _ in known}
        moments = [moment for _, moment in known]
        first = min(moments, default=0.0) - AROUND_SECONDS
        last = max(moments, default=0.0) + AROUND_SECONDS
        return [
            target
            for target, (service, moment) in self._ends.items()
            if service in services
            and first <= moment <= last
            and digest not in self._suspects.get(target, ())
        ]

    def _is_explained(self, target: Incarnation, ends: int) -> bool:
        """Whether a request was on a target that more than ``ends`` ended under."""
        return any(len(self._ended[one]) > ends for one in self._suspects[target])

    def _find_blamed(self, digest: str) -> set[Incarnation]:
        """Return the targets whose end nothing else on them explains better."""
        targets = self._ended.get(digest, {})
        return {
            target for target in targets if not self._is_explained(target, len(targets))
        }

    def _is_tied(self, digest: str, blamed: set[Incarnation]) -> bool:
        """Whether another request was on the same targets, and on no more."""
        if not blamed:
            return False
        shared = set.intersection(*(self._suspects[target] for target in blamed))
        return len(shared - {digest}) > 0

    def _drop_old(self, now: float) -> None:
        horizon = now - QUARANTINE_SECONDS
        while self._ends:
            target, (_, moment) = next(iter(self._ends.items()))
            if moment > horizon and len(self._ends) <= MAX_ENDS:
                break
            del self._ends[target]
        while self._order:
            learnt, target, digest = self._order[0]
            if now - learnt < QUARANTINE_SECONDS and len(self._order) <= MAX_ENDS:
                return
            self._order.popleft()
            targets = self._ended.get(digest, {})
            if targets.get(target) != learnt:
                continue
            del targets[target]
            if not targets:
                del self._ended[digest]
                self._limits.pop(digest, None)
            self._forget_suspect(target, digest)

    def _forget_suspect(self, target: Incarnation, digest: str) -> None:
        suspects = self._suspects[target]
        suspects.discard(digest)
        if not suspects:
            del self._suspects[target]
