"""Crashes of targets by the prompt parts of the requests that they ran."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from .quarantine import CLEARED_SECONDS, QUARANTINE_SECONDS

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .incarnations import Incarnation
    from .quarantine import CrashReport

__all__ = ("MAX_SURVIVED", "PartCrashes", "SharedPart")

#: seconds between two crashes that are counted as two events
MOMENT_SECONDS = 0.1
#: maximum number of crashes, and of answered parts, that are remembered
MAX_CRASHES = 512
MAX_SURVIVED = 16_384
#: maximum number of requests that are remembered for one crash
MAX_REQUESTS = 64


@dataclass(frozen=True, slots=True)
class SharedPart:
    """A prompt part at a service; another service may run another model."""

    service: str
    part_id: str


@dataclass(slots=True)
class _Crash:
    """A crashed target with the requests that it had not begun to respond to."""

    service: str
    reported_at: float
    #: shared parts by digest
    requests: dict[str, frozenset[SharedPart]] = field(default_factory=dict)


class PartCrashes:
    """Remembers crashed targets, and the last answer to each prompt part.

    A part has the crashes since it was last answered.
    """

    def __init__(self) -> None:
        #: crashed targets, the earliest report first
        self._crashes: OrderedDict[Incarnation, _Crash] = OrderedDict()
        #: crashes of each part since it was last answered
        self._targets: dict[SharedPart, set[Incarnation]] = {}
        #: requests with each part on these targets
        self._requests: dict[SharedPart, set[str]] = {}
        #: crashes and parts of each request
        self._request_targets: dict[str, set[Incarnation]] = {}
        self._request_parts: dict[str, frozenset[SharedPart]] = {}
        #: time of the last answer, the least recent first
        self._survived: OrderedDict[SharedPart, float] = OrderedDict()

    def record_crash(
        self, report: CrashReport, now: float
    ) -> list[frozenset[SharedPart]]:
        """Record a crash report; return the parts of each request that is new in it."""
        recorded = []
        for digest, part_ids in zip(report.digests, report.parts, strict=False):
            crash = self._crashes.setdefault(report.target, _Crash(report.service, now))
            if digest in crash.requests or len(crash.requests) >= MAX_REQUESTS:
                continue
            parts = frozenset(SharedPart(report.service, one) for one in part_ids)
            crash.requests[digest] = parts
            self._request_targets.setdefault(digest, set()).add(report.target)
            self._request_parts[digest] = parts
            for part in parts:
                self._targets.setdefault(part, set()).add(report.target)
                self._requests.setdefault(part, set()).add(digest)
            recorded.append(parts)
        return recorded

    def record_survival(self, part: SharedPart, survived_at: float) -> None:
        """Record that a target has begun to answer a request with a part."""
        known_at = self._survived.pop(part, float("-inf"))
        self._survived[part] = max(known_at, survived_at)
        if len(self._survived) > MAX_SURVIVED:
            self._survived.popitem(last=False)
        for target in tuple(self._targets.get(part, ())):
            if self._crashes[target].reported_at <= survived_at:
                self._remove_crash(part, target)

    def expire(self, now: float) -> None:
        """Forget the crashes that were reported too long ago."""
        horizon = now - QUARANTINE_SECONDS
        while self._crashes:
            target, crash = next(iter(self._crashes.items()))
            if crash.reported_at > horizon and len(self._crashes) <= MAX_CRASHES:
                return
            del self._crashes[target]
            for digest, parts in crash.requests.items():
                for part in parts:
                    self._remove_crash(part, target)
                targets = self._request_targets[digest]
                targets.discard(target)
                if not targets:
                    del self._request_targets[digest], self._request_parts[digest]

    def _remove_crash(self, part: SharedPart, target: Incarnation) -> None:
        """Forget that a target crashed while it ran requests with a part."""
        targets = self._targets.get(part, set())
        targets.discard(target)
        if not targets:
            self._targets.pop(part, None)
            self._requests.pop(part, None)
            return
        self._requests[part] = {
            digest
            for one in targets
            for digest, parts in self._crashes[one].requests.items()
            if part in parts
        }

    def find_age(self, part: SharedPart, now: float) -> float:
        """Return the seconds since a part was last answered; ``inf``: not known."""
        return now - self._survived.get(part, float("-inf"))

    def has_survived(self, part: SharedPart, now: float) -> bool:
        """Return whether a request with a part was answered recently."""
        return self.find_age(part, now) < CLEARED_SECONDS

    def count(self, part: SharedPart) -> int:
        """Return the number of crashes of a part."""
        return len(self._targets.get(part, ()))

    def list_suspected(self, limit: int) -> list[SharedPart]:
        """Return the parts with at least a number of crashes, the most first."""
        found = [
            part for part, targets in self._targets.items() if len(targets) >= limit
        ]
        return sorted(found, key=self.count, reverse=True)

    def list_targets(self, part: SharedPart) -> list[Incarnation]:
        """Return the targets that crashed, in order of the reports."""
        targets = self._targets.get(part, ())
        return sorted(targets, key=lambda one: self._crashes[one].reported_at)

    def has_any(self, part: SharedPart, targets: Iterable[Incarnation]) -> bool:
        """Return whether one of some targets crashed while it ran a part."""
        return not self._targets.get(part, set()).isdisjoint(targets)

    def list_parts(self, target: Incarnation) -> frozenset[SharedPart]:
        """Return the parts of all requests on a target that crashed."""
        crash = self._crashes.get(target)
        return frozenset().union(*crash.requests.values()) if crash else frozenset()

    def find_most_repeated(self, target: Incarnation) -> int:
        """Return the most crashes that one request on a target has had."""
        requests = self._crashes[target].requests
        return max(len(self._request_targets[digest]) for digest in requests)

    def find_last_report(self, targets: Iterable[Incarnation]) -> float:
        """Return when the latest of some crashes was reported."""
        return max(self._crashes[target].reported_at for target in targets)

    def count_moments(self, targets: Iterable[Incarnation]) -> int:
        """Count some crashes; those that happened together count once."""
        moments, last = 0, float("-inf")
        for reported_at in sorted(self._crashes[one].reported_at for one in targets):
            if reported_at - last >= MOMENT_SECONDS:
                moments, last = moments + 1, reported_at
        return moments

    def count_requests(self, part: SharedPart) -> int:
        """Return the number of requests with a part that were on crashed targets."""
        return len(self._requests.get(part, ()))

    def find_companions(self, part: SharedPart) -> frozenset[SharedPart]:
        """Return the parts of every such request, with the part itself."""
        companions = None
        for digest in self._requests.get(part, ()):
            parts = self._request_parts[digest]
            companions = parts if companions is None else companions & parts
            if len(companions) == 1:
                break
        return frozenset() if companions is None else companions

    def is_narrower(self, other: SharedPart, part: SharedPart) -> bool:
        """Return whether only some of the requests with a part have another one."""
        return self._requests.get(other, set()) < self._requests.get(part, set())

    def list_others(
        self, part: SharedPart, targets: Iterable[Incarnation], seconds: float
    ) -> set[Incarnation]:
        """Return the crashes of a part's service without it around some crashes.

        :param seconds: time before the first and after the last of ``targets``
        """
        times = [self._crashes[target].reported_at for target in targets]
        first, last = min(times) - seconds, max(times) + seconds
        return {
            target
            for target, crash in self._crashes.items()
            if crash.service == part.service
            and first <= crash.reported_at <= last
            and target not in self._targets[part]
        }

    def count_by_one_cause(self, targets: set[Incarnation], limit: int) -> int:
        """Return how many of some crashes one part or request may have caused.

        :param limit: least number of crashes of such a part or request
        """
        most = 0
        for target in targets:
            for digest, parts in self._crashes[target].requests.items():
                causes = [self._targets.get(one, set()) for one in parts]
                for crashed in (self._request_targets[digest], *causes):
                    if len(crashed) >= limit:
                        most = max(most, len(crashed & targets))
        return most
