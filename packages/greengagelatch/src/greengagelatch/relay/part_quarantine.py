"""Quarantine of prompt parts that crash the targets which respond to them."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from .quarantine import (
    AMBIGUOUS_CRASH_LIMIT,
    CLEARED_SECONDS,
    CORRELATION_SECONDS,
    CRASH_LIMIT,
    QUARANTINE_SECONDS,
)

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from .incarnations import Incarnation
    from .quarantine import CrashReport

__all__ = ("SETTLE_SECONDS", "PartHold", "PartQuarantine", "SharedPart")

#: seconds from a crash report until the other instances have told what they know of
#: the target and of its requests
SETTLE_SECONDS = 1.0
#: least number of different requests with a part under which targets crashed
MIN_REQUESTS = 2
#: the same for the times of the crashes, if the part was answered recently: targets
#: that lose power together are one event
MIN_MOMENTS = 2
#: seconds between two crashes that are counted as two events
MOMENT_SECONDS = 0.1
#: seconds before each trial of a quarantined part, in which one request is sent
TRIAL_PAUSES = (0.0, 5.0, 30.0, 120.0, 480.0)
#: number of these that are skipped if nothing else is a likely cause
SKIPPED_PAUSES = 2
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


@dataclass(frozen=True, slots=True)
class PartHold:
    """Why a request with some part must not be sent."""

    part: SharedPart
    #: targets that crashed, in order of the reports
    targets: tuple[Incarnation, ...]
    #: seconds until the decision is final; requests wait until then
    settle_seconds: float
    #: seconds until a request may be sent on trial
    trial_seconds: float


@dataclass(slots=True)
class _Crash:
    """A crashed target with the requests that it had not begun to respond to."""

    service: str
    reported_at: float
    #: shared parts by digest
    requests: dict[str, frozenset[SharedPart]] = field(default_factory=dict)


@dataclass(slots=True)
class _Quarantined:
    """State of a part in quarantine."""

    #: parts that every crashing request had; a request without one of them may be sent
    companions: frozenset[SharedPart]
    targets: tuple[Incarnation, ...]
    #: time at which the decision is final
    final_at: float
    expires_at: float
    trial_at: float
    #: trials that crashed their targets, or that were skipped
    trials: int
    #: whether nothing else is a likely cause; crashes on it are then explained
    is_certain: bool


class PartQuarantine:
    """Finds shared prompt parts that crash one target after the other.

    Requests with such a part have different digests, and harmless requests share
    their other parts and their targets. A part is cleared of its crashes by each
    request with it that a target has begun to answer. It is blamed for a crash unless

    * a part in quarantine was on the same target,
    * or a part with as many crashes that only some of the requests with this one have,
    * or a request with as many crashes, which crashes its targets whatever its parts.

    The limit is higher where other causes are as likely, and for parts that were
    answered recently. Such a part may be harmless, and is tried again sooner. Of parts
    that always came together, each request that lacks one may be sent.
    """

    def __init__(self) -> None:
        #: crashed targets, the earliest report first
        self._crashes: OrderedDict[Incarnation, _Crash] = OrderedDict()
        #: crashes of each part since it was last answered
        self._targets: dict[SharedPart, set[Incarnation]] = {}
        #: targets of each request
        self._request_targets: dict[str, set[Incarnation]] = {}
        #: time of the last answer, the least recent first
        self._survived: OrderedDict[SharedPart, float] = OrderedDict()
        self._quarantined: dict[SharedPart, _Quarantined] = {}

    def record_crash(self, report: CrashReport, now: float) -> None:
        """Record a crash report; idempotent."""
        self._expire(now)
        for digest, part_ids in zip(report.digests, report.parts, strict=False):
            crash = self._crashes.setdefault(report.target, _Crash(report.service, now))
            if digest in crash.requests or len(crash.requests) >= MAX_REQUESTS:
                continue
            parts = frozenset(SharedPart(report.service, one) for one in part_ids)
            crash.requests[digest] = parts
            self._request_targets.setdefault(digest, set()).add(report.target)
            for part in parts:
                self._targets.setdefault(part, set()).add(report.target)
                self._record_crash_in_quarantine(part, parts, now)

    def _record_crash_in_quarantine(
        self, part: SharedPart, parts: frozenset[SharedPart], now: float
    ) -> None:
        state = self._quarantined.get(part)
        if state is None:
            return
        state.companions &= parts
        if now >= state.trial_at:
            state.trials = min(state.trials + 1, len(TRIAL_PAUSES) - 1)
            state.trial_at = now + TRIAL_PAUSES[state.trials]
            state.is_certain = True

    def record_survival(self, parts: Iterable[SharedPart], survived_at: float) -> None:
        """Record that a target has begun to answer a request with some parts."""
        for part in parts:
            known_at = self._survived.pop(part, float("-inf"))
            self._survived[part] = max(known_at, survived_at)
            self._forget_crashes(part, survived_at)
        while len(self._survived) > MAX_SURVIVED:
            self._survived.popitem(last=False)

    def _forget_crashes(self, part: SharedPart, survived_at: float) -> None:
        """Forget the crashes of a part that were reported before it was answered."""
        for target in tuple(self._targets.get(part, ())):
            if self._crashes[target].reported_at <= survived_at:
                _discard(self._targets, part, target)
        state = self._quarantined.get(part)
        if state is not None and survived_at >= state.final_at - SETTLE_SECONDS:
            del self._quarantined[part]

    def find_age(self, part: SharedPart, now: float) -> float:
        """Return the seconds since a part was last answered; ``inf``: not known."""
        return now - self._survived.get(part, float("-inf"))

    def has_survived(self, part: SharedPart, now: float) -> bool:
        """Return whether a request with a part was answered recently."""
        return self.find_age(part, now) < CLEARED_SECONDS

    def has_crashes(self, part: SharedPart) -> bool:
        """Return whether a target has crashed since a part was last answered."""
        return part in self._targets

    def find_hold(self, parts: Sequence[SharedPart], now: float) -> PartHold | None:
        """Return why a request with some parts must not be sent; ``None``: it may.

        Of several reasons, the one that lasts longest.
        """
        holds = []
        for part in parts:
            is_suspected = len(self._targets.get(part, ())) >= CRASH_LIMIT
            if not is_suspected and part not in self._quarantined:
                continue
            hold = self._find_hold(part, frozenset(parts), now)
            if hold is not None:
                holds.append(hold)
        return max(
            holds,
            key=lambda hold: (hold.trial_seconds, hold.settle_seconds),
            default=None,
        )

    def list_holds(self, now: float) -> list[PartHold]:
        """Return the holds of all parts in quarantine."""
        suspected = [
            part
            for part, targets in self._targets.items()
            if len(targets) >= CRASH_LIMIT
        ]
        holds = (
            self._find_hold(part, self._find_companions(part), now)
            for part in suspected
        )
        return [hold for hold in holds if hold is not None and not hold.settle_seconds]

    def is_explained(self, target: Incarnation) -> bool:
        """Return whether a target crashed on a part that is in quarantine."""
        crash = self._crashes.get(target)
        if crash is None or not self._quarantined:
            return False
        return any(self._is_known_cause(part) for part in self._list_parts((target,)))

    def _is_known_cause(self, part: SharedPart) -> bool:
        state = self._quarantined.get(part)
        return state is not None and state.is_certain

    def _find_hold(
        self, part: SharedPart, parts: frozenset[SharedPart], now: float
    ) -> PartHold | None:
        self._expire(now)
        state = self._quarantined.get(part)
        if state is None:
            state = self._judge(part, now)
            if state is None:
                return None
            if now >= state.final_at:
                self._quarantine_all(state.targets, now)
        if not state.companions <= parts:
            return None
        return PartHold(
            part=part,
            targets=state.targets,
            settle_seconds=max(0.0, state.final_at - now),
            trial_seconds=max(0.0, state.trial_at - now),
        )

    def _quarantine_all(self, targets: Iterable[Incarnation], now: float) -> None:
        """Quarantine all parts to blame for the crashes of some targets.

        Once one of two equally likely parts is quarantined, the crashes would no
        longer count against the other.
        """
        found = {}
        for part in self._list_parts(targets):
            state = None if part in self._quarantined else self._judge(part, now)
            if state is not None:
                found[part] = state
        # crashes that follow without these parts don't release them
        self._quarantined |= found

    def _list_parts(self, targets: Iterable[Incarnation]) -> frozenset[SharedPart]:
        return frozenset().union(
            *(
                parts
                for target in targets
                for parts in self._crashes[target].requests.values()
            )
        )

    def _judge(self, part: SharedPart, now: float) -> _Quarantined | None:
        """Return the state of a part that is to be quarantined."""
        blamed = self._find_blamed(part, now)
        is_certain = self._is_certain(part, blamed, now)
        if not is_certain and not self._is_likely(part, blamed, now):
            return None
        trials = SKIPPED_PAUSES if is_certain else 0
        last = max(self._crashes[target].reported_at for target in blamed)
        companions = self._find_companions(part)
        return _Quarantined(
            companions=frozenset(
                one for one in companions if not self.has_survived(one, now)
            ),
            targets=tuple(blamed),
            final_at=last + SETTLE_SECONDS,
            expires_at=last + QUARANTINE_SECONDS,
            trial_at=last + TRIAL_PAUSES[trials],
            trials=trials,
            is_certain=is_certain,
        )

    def _find_blamed(self, part: SharedPart, now: float) -> list[Incarnation]:
        """Return the crashes for which a part is to blame; empty if too few."""
        targets = self._targets.get(part, ())
        if len(targets) < CRASH_LIMIT or len(self._list_requests(part)) < MIN_REQUESTS:
            return []
        return [
            target
            for target in self._crashes
            if target in targets and not self._is_explained(target, part, now)
        ]

    def _is_certain(
        self, part: SharedPart, blamed: list[Incarnation], now: float
    ) -> bool:
        """Return whether nothing else is a likely cause of some crashes."""
        if len(blamed) < CRASH_LIMIT or self.has_survived(part, now):
            return False
        if any(self._has_rival(target, part, now) for target in blamed):
            return False
        return not self._has_independent(part, blamed)

    def _is_likely(
        self, part: SharedPart, blamed: list[Incarnation], now: float
    ) -> bool:
        """Return whether a part is to be quarantined although others may be the cause.

        Targets that lose power together speak against no part that was answered
        before.
        """
        if len(blamed) < AMBIGUOUS_CRASH_LIMIT:
            return False
        if not self.has_survived(part, now):
            return True
        return self._count_moments(blamed) >= MIN_MOMENTS

    def _count_moments(self, targets: Iterable[Incarnation]) -> int:
        moments, last = 0, float("-inf")
        for reported_at in sorted(self._crashes[one].reported_at for one in targets):
            if reported_at - last >= MOMENT_SECONDS:
                moments, last = moments + 1, reported_at
        return moments

    def _is_explained(self, target: Incarnation, part: SharedPart, now: float) -> bool:
        """Return whether a crash has a known cause, or one that implies this part."""
        crashes = len(self._targets[part])
        requests = self._crashes[target].requests
        if any(
            len(self._request_targets[digest]) >= max(CRASH_LIMIT, crashes)
            for digest in requests
        ):
            return True
        companions = self._find_companions(part)
        for other in self._list_parts((target,)) - {part}:
            if self._is_known_cause(other) and other not in companions:
                return True
            found = len(self._targets.get(other, ()))
            if found < crashes or self.has_survived(other, now):
                continue
            if self._is_narrower(other, part):
                return True
        return False

    def _has_rival(self, target: Incarnation, part: SharedPart, now: float) -> bool:
        """Return whether other requests on a target have a part with as many crashes.

        Parts that come with this one in every request don't count.
        """
        others = self._list_parts((target,))
        return any(
            len(self._targets.get(other, ())) >= len(self._targets[part])
            and not self.has_survived(other, now)
            for other in others - self._find_companions(part)
        )

    def _is_narrower(self, other: SharedPart, part: SharedPart) -> bool:
        """Return whether only some of the requests with a part have another one."""
        return self._list_requests(other) < self._list_requests(part)

    def _list_requests(self, part: SharedPart) -> set[str]:
        """Return the requests with a part that were on crashed targets."""
        return {
            digest
            for target in self._targets.get(part, ())
            for digest, parts in self._crashes[target].requests.items()
            if part in parts
        }

    def _find_companions(self, part: SharedPart) -> frozenset[SharedPart]:
        """Return the parts of every such request, with the part itself."""
        found = [
            parts
            for target in self._targets.get(part, ())
            for parts in self._crashes[target].requests.values()
            if part in parts
        ]
        return frozenset.intersection(*found) if found else frozenset()

    def _has_independent(self, part: SharedPart, blamed: list[Incarnation]) -> bool:
        """Return whether targets of the service crash for no known cause as well.

        Crashes in the same period that one other part or request explains don't count.
        """
        times = [self._crashes[target].reported_at for target in blamed]
        first, last = min(times), max(times)
        others = {
            target
            for target, crash in self._crashes.items()
            if crash.service == part.service
            and first - CORRELATION_SECONDS <= crash.reported_at
            and crash.reported_at <= last + CORRELATION_SECONDS
            and target not in self._targets[part]
            and not self.is_explained(target)
        }
        explained = 0
        for target in others:
            for digest, parts in self._crashes[target].requests.items():
                causes = [self._targets.get(one, set()) for one in parts]
                for crashed in (self._request_targets[digest], *causes):
                    if len(crashed) >= CRASH_LIMIT:
                        explained = max(explained, len(crashed & others))
        return explained < len(others)

    def _expire(self, now: float) -> None:
        horizon = now - QUARANTINE_SECONDS
        while self._crashes:
            target, crash = next(iter(self._crashes.items()))
            if crash.reported_at > horizon and len(self._crashes) <= MAX_CRASHES:
                break
            del self._crashes[target]
            for digest, parts in crash.requests.items():
                _discard(self._request_targets, digest, target)
                for part in parts:
                    _discard(self._targets, part, target)
        for part, state in tuple(self._quarantined.items()):
            if now >= state.expires_at:
                del self._quarantined[part]


def _discard(
    targets: dict[SharedPart, set[Incarnation]] | dict[str, set[Incarnation]],
    key: SharedPart | str,
    target: Incarnation,
) -> None:
    found = targets.get(key)
    if found is None:
        return
    found.discard(target)
    if not found:
        del targets[key]
