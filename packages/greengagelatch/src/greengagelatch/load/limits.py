"""Concurrency limits of targets."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass

__all__ = ("AdaptiveLimit", "ConcurrencyLimit", "LimitRule")


@dataclass(frozen=True, slots=True, kw_only=True)
class LimitRule:
    """Parameters of the adaptive limit."""

    #: limit for a target that has not reported its capacity
    initial: float = 8.0
    min_limit: float = 1.0
    max_limit: float = 1024.0
    #: seconds of queueing at a target that are allowed beyond its capacity. Load
    #: reports are up to one interval old, which is many calls of a fast service;
    #: without a short queue at the target its workers would idle meanwhile
    allowed_queueing: float = 0.1
    #: highest limit, as a multiple of the capacity
    max_oversubscription: float = 4.0
    #: latency, as a multiple of the one without load, that counts as overload
    latency_tolerance: float = 3.0
    #: minimum seconds between two changes: the latency must reflect one before the
    #: next
    min_interval: float = 0.5
    #: minimum calls between two changes
    min_samples: int = 4
    #: factor on the limit after a rejection by the target
    rejection_factor: float = 0.85
    #: largest decrease in one change
    min_factor: float = 0.7


class ConcurrencyLimit(ABC):
    """Limit on the calls in flight at one target, over all instances."""

    @property
    @abstractmethod
    def value(self) -> float:
        """The present limit, at least 1."""

    @abstractmethod
    def update_capacity(self, capacity: float, longest: float) -> None:
        """Update the number of calls that the target can serve concurrently.

        :param longest: seconds that its longest calls take without load, 0 if unknown.
        """

    @abstractmethod
    def reset(self, now: float) -> None:
        """Restart from the lowest limit, after the target was ejected."""

    @abstractmethod
    def record_latency(self, ratio: float, held: float, now: float) -> None:
        """Record a call that took ``ratio`` times its duration without load.

        :param held: calls in flight at the target at that time, of all instances.
        """

    @abstractmethod
    def record_rejection(self, held: float, now: float) -> None:
        """Record that the target rejected a call because of overload."""


class AdaptiveLimit(ConcurrencyLimit):
    """Additive increase, multiplicative decrease (AIMD) on latency.

    The throughput of a target with continuous batching rises with its concurrency
    up to a knee; beyond it only the latency grows. The limit rises while it is used
    and the latency stays within the tolerance, and falls in proportion to the
    excess otherwise. All instances see the same target's latency, so their limits
    agree without communication.
    """

    def __init__(self, rule: LimitRule) -> None:
        self._rule = rule
        self._value = rule.initial
        self._ceiling = rule.max_limit
        self._capacity = 0.0
        self._ratios = 0.0
        self._samples = 0
        self._highest_held = 0.0
        self._changed = float("-inf")

    @property
    def value(self) -> float:
        return self._value

    def update_capacity(self, capacity: float, longest: float) -> None:
        if capacity <= 0:
            return
        rule = self._rule
        stretch = (
            min(1 + rule.allowed_queueing / longest, rule.max_oversubscription)
            if longest > 0
            else 1.0
        )
        ceiling = min(rule.max_limit, capacity * stretch)
        untouched = self._capacity == 0 or self._value >= self._ceiling
        self._capacity = capacity
        self._ceiling = ceiling
        self._set(ceiling if untouched else self._value)

    def reset(self, now: float) -> None:
        self._set(self._rule.min_limit)
        self._start_window(now)

    def record_latency(self, ratio: float, held: float, now: float) -> None:
        self._ratios += ratio
        self._samples += 1
        self._highest_held = max(self._highest_held, held)
        if self._samples < self._rule.min_samples:
            return
        if now - self._changed < self._rule.min_interval:
            return
        mean = self._ratios / self._samples
        if mean > self._rule.latency_tolerance:
            factor = max(self._rule.min_factor, self._rule.latency_tolerance / mean)
            self._set(min(self._value, max(1.0, self._highest_held)) * factor)
        elif self._highest_held >= self._value / 2:
            self._set(self._value + 1)
        self._start_window(now)

    def record_rejection(self, held: float, now: float) -> None:
        if now - self._changed < self._rule.min_interval:
            return
        self._set(min(self._value, max(1.0, held)) * self._rule.rejection_factor)
        self._start_window(now)

    def _start_window(self, now: float) -> None:
        self._changed = now
        self._ratios = 0.0
        self._samples = 0
        self._highest_held = 0.0

    def _set(self, value: float) -> None:
        self._value = max(self._rule.min_limit, min(value, self._ceiling))
