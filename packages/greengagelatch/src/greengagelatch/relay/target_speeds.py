"""How long work takes at each target, learned from its answers.

A target's time for a request is modelled as a multiple of the usual time for that kind
of work: a base, plus a slope for each further request that the target runs. Both are
fitted to its own answers by least squares. Old answers lose their weight, so that what
is known of a target returns to the usual unless its answers confirm it.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .incarnations import Incarnation
    from .targets import ListedTarget

__all__ = ("Answer", "SpeedBelief", "SpeedMode", "TargetSpeeds")

#: seconds in which what is known of a target loses half of its weight
HALF_LIFE = 3.0
#: weight that each further answer leaves to the earlier ones
ANSWER_MEMORY = 0.94
#: the same for an answer that differs from the expected time by this factor; one of a
#: target that seemed slow proves that it no longer is
SURPRISE_FACTOR = 2.0
SURPRISE_MEMORY = 0.5
RECOVERY_MEMORY = 0.0
#: weight, in answers, from which on an answer may contradict what is known of a target
KNOWN_WEIGHT = 1.0
#: largest time of one answer that is used, as a multiple of the expected time
MAX_SURPRISE = 4.0
#: weights, in answers, of the usual base and of the usual slope
BASE_PRIOR = 0.5
SLOPE_PRIOR = 1.0
#: what each further request adds, in usual times, as long as nothing is known
USUAL_SLOPE = 0.1
#: bounds on the base, as a multiple of the usual time
MIN_BASE = 0.1
MAX_BASE = 20.0
#: bounds within which a target's word on its slowness is believed
MIN_TOLD = 0.5
MAX_TOLD = 2.0
#: share of one report in the average of what a target tells
TOLD_WEIGHT = 0.5
#: weight of one answer in the usual time of its kind of work
USUAL_WEIGHT = 0.05
#: weight of one outcome in a target's share of failures, and its upper bound
FAILURE_WEIGHT = 0.1
MAX_FAILURES = 0.8
#: seconds after the last report on slowness for which a service counts as reporting it
REPORTING_SECONDS = 30.0
#: slowness from which a target is believed slow, and to which it must return
SLOW_FROM = 2.0
SLOW_UNTIL = 1.4
#: least seconds between two changes of the belief in one target
MIN_BELIEF_SECONDS = 5.0
#: most kinds of work whose usual time is kept
MAX_KINDS = 2048


class SpeedMode(Enum):
    """For which services targets are chosen by their measured speed."""

    #: those whose targets report how long work takes
    REPORTED = "reported"
    ALWAYS = "always"
    NEVER = "never"


class SpeedBelief(Enum):
    """What this instance takes a target for."""

    USUAL = "usual"
    SLOW = "slow"


@dataclass(frozen=True, slots=True, kw_only=True)
class Answer:
    """The time that a target took to answer."""

    #: requests that the target had when this one was sent, this one included
    requests: float
    #: kind of work; times are compared with those of the same kind
    kind: str
    #: size of the work, in any unit of its kind
    size: float = 1.0
    seconds: float


@dataclass(slots=True)
class _Speed:
    """Sums of a least-squares fit of time by further requests, and a share."""

    updated: float
    weight: float = 0.0
    further: float = 0.0
    further_squared: float = 0.0
    time: float = 0.0
    further_time: float = 0.0
    told: float = 1.0
    told_at: float = float("-inf")
    failures: float = 0.0
    failures_at: float = float("-inf")
    belief: SpeedBelief = SpeedBelief.USUAL
    believed_at: float = float("-inf")

    def fit(self, now: float) -> tuple[float, float]:
        """Return base and slope."""
        kept = _decay(now - self.updated)
        usual = 1.0 + (self.told - 1.0) * _decay(now - self.told_at)
        weight = self.weight * kept + BASE_PRIOR
        further = self.further * kept
        squared = self.further_squared * kept + SLOPE_PRIOR
        time = self.time * kept + BASE_PRIOR * usual
        mixed = self.further_time * kept + SLOPE_PRIOR * USUAL_SLOPE
        spread = weight * squared - further * further
        slope = max(0.0, (weight * mixed - further * time) / spread)
        base = (time - slope * further) / weight
        return min(MAX_BASE, max(MIN_BASE, base)), slope

    def add(self, further: float, ratio: float, memory: float, now: float) -> None:
        """Add an answer to the fit."""
        kept = _decay(now - self.updated) * memory
        self.updated = now
        self.weight = self.weight * kept + 1.0
        self.further = self.further * kept + further
        self.further_squared = self.further_squared * kept + further * further
        self.time = self.time * kept + ratio
        self.further_time = self.further_time * kept + further * ratio

    def find_weight(self, now: float) -> float:
        """Return the weight of the answers, decayed with their age."""
        return self.weight * _decay(now - self.updated)

    def find_failures(self, now: float) -> float:
        """Return the share of failures, decayed with its age."""
        return self.failures * _decay(now - self.failures_at)


class TargetSpeeds:
    """What this instance has learned of the speed of targets.

    :param on_changed: called when a target is believed slow or as usual from now on,
        with its slowness
    """

    def __init__(
        self,
        mode: SpeedMode = SpeedMode.REPORTED,
        on_changed: Callable[[ListedTarget, SpeedBelief, float], None] = (
            lambda _target, _belief, _slowness: None
        ),
    ) -> None:
        self._mode = mode
        self._on_changed = on_changed
        self._speeds: dict[Incarnation, _Speed] = {}
        #: usual seconds for a size of one, by service and kind of work
        self._usual: dict[tuple[str, str], float] = {}
        #: monotonic time in seconds of the last report on slowness, by service
        self._reported_at: dict[str, float] = {}

    def is_used(self, service: str, now: float) -> bool:
        """Return whether targets of a service are chosen by their speed."""
        if self._mode is not SpeedMode.REPORTED:
            return self._mode is SpeedMode.ALWAYS
        reported = self._reported_at.get(service, float("-inf"))
        return now - reported <= REPORTING_SECONDS

    def record_told(self, target: ListedTarget, slowness: float, now: float) -> None:
        """Record what a target told of its slowness.

        It may be late, wrong or untrue, so that it only replaces the usual base that
        answers are weighed against, within bounds and for a while.
        """
        if self._mode is SpeedMode.NEVER:
            return
        self._reported_at[target.service] = now
        speed = self._find(target.incarnation, now)
        told = min(MAX_TOLD, max(MIN_TOLD, slowness))
        known = 1.0 + (speed.told - 1.0) * _decay(now - speed.told_at)
        speed.told = known + (told - known) * TOLD_WEIGHT
        speed.told_at = now

    def record_answer(self, target: ListedTarget, answer: Answer, now: float) -> bool:
        """Record the time of a request that a target has answered successfully.

        :return: whether the target has become slower, by what was known of it
        """
        if not self.is_used(target.service, now) or answer.size <= 0:
            return False
        speed = self._find(target.incarnation, now)
        base, slope = speed.fit(now)
        slots = max(1, target.slots)
        further = max(0.0, min(answer.requests, slots) - 1)
        wait = _find_wait(answer.requests, slots)
        seconds = answer.seconds / (answer.size * (1.0 + wait))
        expected = base + slope * further
        usual = self._record_usual(target.service, answer.kind, seconds / expected)
        ratio = min(seconds / usual, expected * MAX_SURPRISE)
        memory = _find_memory(ratio, expected)
        if memory == RECOVERY_MEMORY:
            # nor does its own word that it is slow count any more
            speed.told = 1.0
        was_known = speed.find_weight(now) >= KNOWN_WEIGHT
        speed.add(further, ratio, memory, now)
        self._record_outcome(speed, False, now)
        self._review_belief(target, speed, now)
        return was_known and ratio > expected * SURPRISE_FACTOR

    def record_failure(self, incarnation: Incarnation, now: float) -> None:
        """Record a failure that a target is responsible for.

        How fast it failed says nothing on its speed. The share of failures makes its
        expected time longer, as a request that fails has to be sent again.
        """
        speed = self._speeds.get(incarnation)
        if speed is not None:
            self._record_outcome(speed, True, now)

    def estimate(self, target: ListedTarget, requests: float, now: float) -> float:
        """Return the expected time of one more request, in usual times.

        :param requests: those that the target runs or has queued already
        """
        speed = self._speeds.get(target.incarnation)
        base, slope = (1.0, USUAL_SLOPE) if speed is None else speed.fit(now)
        failures = 0.0 if speed is None else speed.find_failures(now)
        slots = max(1, target.slots)
        time = base + slope * max(0.0, min(requests, slots - 1))
        wait = _find_wait(requests + 1, slots)
        return time * (1.0 + wait) / (1.0 - failures)

    def find_slowness(self, incarnation: Incarnation, now: float) -> float:
        """Return the time of a target that is idle, in usual times."""
        speed = self._speeds.get(incarnation)
        return 1.0 if speed is None else speed.fit(now)[0]

    def forget(self, incarnation: Incarnation) -> None:
        """Discard what is known of a target that is gone."""
        self._speeds.pop(incarnation, None)

    def describe(self, incarnation: Incarnation, now: float) -> dict[str, float | str]:
        """Return what is known of a target for the state dump."""
        speed = self._speeds.get(incarnation)
        if speed is None:
            return {}
        base, slope = speed.fit(now)
        return {
            "speed": speed.belief.value,
            "answers": round(speed.find_weight(now), 3),
            "slowness": round(base, 3),
            "slowness_per_request": round(slope, 3),
            "failures": round(speed.find_failures(now), 3),
        }

    def _find(self, incarnation: Incarnation, now: float) -> _Speed:
        speed = self._speeds.get(incarnation)
        if speed is None:
            speed = self._speeds[incarnation] = _Speed(now)
        return speed

    def _record_usual(self, service: str, kind: str, seconds: float) -> float:
        """Record the time of an answer, made up for the speed of its target."""
        key = service, kind
        usual = self._usual.get(key)
        if usual is None:
            usual = seconds
            if len(self._usual) >= MAX_KINDS:
                del self._usual[next(iter(self._usual))]
        usual += (min(seconds, usual * MAX_SURPRISE) - usual) * USUAL_WEIGHT
        self._usual[key] = max(usual, 1e-6)
        return self._usual[key]

    def _record_outcome(self, speed: _Speed, failed: bool, now: float) -> None:
        known = speed.find_failures(now)
        share = known + (float(failed) - known) * FAILURE_WEIGHT
        speed.failures = min(MAX_FAILURES, share)
        speed.failures_at = now

    def _review_belief(self, target: ListedTarget, speed: _Speed, now: float) -> None:
        if now - speed.believed_at < MIN_BELIEF_SECONDS:
            return
        base, _ = speed.fit(now)
        belief = speed.belief
        if base >= SLOW_FROM:
            belief = SpeedBelief.SLOW
        elif base <= SLOW_UNTIL:
            belief = SpeedBelief.USUAL
        if belief is speed.belief:
            return
        speed.belief, speed.believed_at = belief, now
        self._on_changed(target, belief, base)


def _decay(seconds: float) -> float:
    return 0.5 ** (max(0.0, seconds) / HALF_LIFE)


def _find_memory(ratio: float, expected: float) -> float:
    """Return the weight that an answer leaves to the earlier ones."""
    if ratio * SURPRISE_FACTOR < expected:
        return RECOVERY_MEMORY if expected >= SLOW_FROM else SURPRISE_MEMORY
    return SURPRISE_MEMORY if ratio > expected * SURPRISE_FACTOR else ANSWER_MEMORY


def _find_wait(requests: float, slots: int) -> float:
    """Return the time in the queue of a target, in times of one request."""
    return max(0.0, requests - slots) / slots
