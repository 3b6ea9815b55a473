"""Quarantine of prompt parts that crash the targets which respond to them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from .part_crashes import PartCrashes, SharedPart
from .quarantine import (
    AMBIGUOUS_CRASH_LIMIT,
    CORRELATION_SECONDS,
    CRASH_LIMIT,
    QUARANTINE_SECONDS,
)

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from .incarnations import Incarnation
    from .quarantine import CrashReport

__all__ = ("SETTLE_SECONDS", "PartHold", "PartQuarantine")

#: seconds from a crash report until the other instances have told what they know of
#: the target and of its requests
SETTLE_SECONDS = 1.0
#: least number of different requests with a part under which targets crashed
MIN_REQUESTS = 2
#: the same for the times of the crashes, if the part was answered recently: targets
#: that lose power together are one event
MIN_MOMENTS = 2
#: maximum number of parts that are listed
MAX_LISTED = 64
#: seconds before each trial of a quarantined part, in which one request is sent
TRIAL_PAUSES = (0.0, 5.0, 30.0, 120.0, 480.0)
#: number of these that are skipped if nothing else is a likely cause
SKIPPED_PAUSES = 2


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

    * a part that is certainly the cause was on the same target,
    * or a part with as many crashes that only some of the requests with this one have,
    * or a request with as many crashes, which crashes its targets whatever its parts.

    The limit is higher where other causes are as likely, and for parts that were
    answered recently. Such a part may be harmless, and is tried again sooner. Of parts
    that always came together, each request that lacks one may be sent.
    """

    def __init__(self) -> None:
        self._crashes = PartCrashes()
        self._quarantined: dict[SharedPart, _Quarantined] = {}

    def record_crash(self, report: CrashReport, now: float) -> None:
        """Record a crash report; idempotent."""
        self._expire(now)
        for parts in self._crashes.record_crash(report, now):
            for part in parts:
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
            self._crashes.record_survival(part, survived_at)
            state = self._quarantined.get(part)
            if state is not None and survived_at >= state.final_at - SETTLE_SECONDS:
                del self._quarantined[part]

    def find_age(self, part: SharedPart, now: float) -> float:
        """Return the seconds since a part was last answered; ``inf``: not known."""
        return self._crashes.find_age(part, now)

    def has_survived(self, part: SharedPart, now: float) -> bool:
        """Return whether a request with a part was answered recently."""
        return self._crashes.has_survived(part, now)

    def has_crashes(self, part: SharedPart) -> bool:
        """Return whether a target has crashed since a part was last answered."""
        return self._crashes.count(part) > 0

    def find_hold(self, parts: Sequence[SharedPart], now: float) -> PartHold | None:
        """Return why a request with some parts must not be sent; ``None``: it may.

        Of several reasons, the one that lasts longest.
        """
        holds = []
        for part in parts:
            is_suspected = self._crashes.count(part) >= CRASH_LIMIT
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
        """Return the holds of the parts in quarantine, the most crashes first."""
        holds = (
            self._find_hold(part, self._crashes.find_companions(part), now)
            for part in self._crashes.list_suspected(CRASH_LIMIT)[:MAX_LISTED]
        )
        return [hold for hold in holds if hold is not None and not hold.settle_seconds]

    def is_explained(self, target: Incarnation) -> bool:
        """Return whether a target crashed on a part that is certainly the cause."""
        if not self._quarantined:
            return False
        return any(map(self._is_known_cause, self._crashes.list_parts(target)))

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
        for part in frozenset().union(*map(self._crashes.list_parts, targets)):
            state = None if part in self._quarantined else self._judge(part, now)
            if state is not None:
                found[part] = state
        # crashes that follow without these parts don't release them
        self._quarantined |= found

    def _judge(self, part: SharedPart, now: float) -> _Quarantined | None:
        """Return the state of a part that is to be quarantined."""
        blamed = self._find_blamed(part, now)
        is_certain = self._is_certain(part, blamed, now)
        if not is_certain and not self._is_likely(part, blamed, now):
            return None
        trials = SKIPPED_PAUSES if is_certain else 0
        last = self._crashes.find_last_report(blamed)
        companions = self._crashes.find_companions(part)
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
        crashes = self._crashes
        is_suspected = crashes.count(part) >= CRASH_LIMIT
        if not is_suspected or crashes.count_requests(part) < MIN_REQUESTS:
            return []
        limit = max(CRASH_LIMIT, crashes.count(part))
        causes = self._list_causes(part, now)
        return [
            target
            for target in crashes.list_targets(part)
            if crashes.find_most_repeated(target) < limit
            and causes.isdisjoint(crashes.list_parts(target))
        ]

    def _list_causes(self, part: SharedPart, now: float) -> set[SharedPart]:
        """Return the parts that explain crashes better than a part does."""
        crashes = self._crashes
        companions = crashes.find_companions(part)
        known = {one for one in self._quarantined if self._is_known_cause(one)}
        narrower = {
            other
            for other in crashes.list_suspected(crashes.count(part))
            if not self.has_survived(other, now) and crashes.is_narrower(other, part)
        }
        return (known - companions - {part}) | narrower

    def _is_certain(
        self, part: SharedPart, blamed: list[Incarnation], now: float
    ) -> bool:
        """Return whether nothing else is a likely cause of some crashes."""
        if len(blamed) < CRASH_LIMIT or self.has_survived(part, now):
            return False
        if self._has_rival(part, blamed, now):
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
        return self._crashes.count_moments(blamed) >= MIN_MOMENTS

    def _has_rival(
        self, part: SharedPart, blamed: list[Incarnation], now: float
    ) -> bool:
        """Return whether other requests on some targets have a part as suspicious.

        That is one with at least as many crashes. Parts that come with this one in
        every request don't count.
        """
        crashes = self._crashes
        companions = crashes.find_companions(part)
        return any(
            other not in companions
            and not self.has_survived(other, now)
            and crashes.has_any(other, blamed)
            for other in crashes.list_suspected(crashes.count(part))
        )

    def _has_independent(self, part: SharedPart, blamed: list[Incarnation]) -> bool:
        """Return whether targets of the service crash for no known cause as well.

        Crashes in the same period that one other part or request explains don't count.
        """
        others = {
            target
            for target in self._crashes.list_others(part, blamed, CORRELATION_SECONDS)
            if not self.is_explained(target)
        }
        explained = self._crashes.count_by_one_cause(others, CRASH_LIMIT)
        return explained < len(others)

    def _expire(self, now: float) -> None:
        self._crashes.expire(now)
        for part, state in tuple(self._quarantined.items()):
            if now >= state.expires_at:
                del self._quarantined[part]
