"""Tuning of a service's concurrency per target by its throughput."""

from __future__ import annotations

from math import exp
from typing import NamedTuple

__all__ = ("ConcurrencyTuner",)

#: time constant, in seconds, with which measured calls lose weight
DECAY_TIME = 30.0
#: total seconds of calls that a range needs for its throughput to count
MIN_TOTAL_SECONDS = 15.0
#: seconds between two changes: calls must end before the effect of one shows
INTERVAL = 2.0
#: change of the value, as a fraction of it
STEP = 0.08
#: edges of the ranges below, around and above the present value, as multiples of it
RANGE_EDGES = (0.65, 0.92, 1.08, 1.5)
#: fraction of the present throughput that suffices at a lower concurrency: the last
#: few per cent of throughput cost the most latency
SUFFICIENT_RATIO = 0.95
#: multiple of the present throughput that a higher concurrency must reach
IMPROVEMENT_RATIO = 1.03
#: lowest value, as a fraction of the capacity that targets report
MIN_CAPACITY_SHARE = 0.25

#: bounds of the slowdown extrapolated by linear regression
MIN_SLOWDOWN = 0.5
MAX_SLOWDOWN = 3.0


class _Point(NamedTuple):
    """Total seconds of the calls at one concurrency, and the work they did."""

    seconds: float
    work: float


class ConcurrencyTuner:
    """Finds the lowest concurrency that gives almost the full throughput.

    The throughput of a target that batches rises with its concurrency up to a knee.
    The capacity it reports may lie far beyond that knee, where more concurrent calls
    only make each of them slower and calls miss their deadlines.

    By Little's law ``n`` concurrent calls that each do ``w`` work in ``s`` seconds
    give a throughput of ``n * w / s``. Work is counted in tokens, over all targets
    of the service, as the durations of whole calls vary too much to find the knee
    within minutes. While calls are queued, the value is lowered as long as a lower
    concurrency does as well, and raised if a higher one does better. Otherwise it
    drifts back to the capacity, as unused concurrency can't be measured.
    """

    def __init__(self) -> None:
        self._points: dict[int, _Point] = {}
        self._decayed = float("-inf")
        self._changed = float("-inf")
        self._value: float | None = None

    def record(self, in_flight: float, seconds: float, work: float, now: float) -> None:
        """Record a call.

        :param in_flight: calls in flight at its target meanwhile.
        :param seconds: seconds the call took.
        :param work: tokens received.
        """
        self._decay(now)
        at = max(1, round(in_flight))
        point = self._points.get(at, _Point(0.0, 0.0))
        self._points[at] = _Point(point.seconds + seconds, point.work + work)

    def update(self, capacity: float, *, backlogged: bool, now: float) -> float:
        """Adjust and return the concurrency limit, at most ``capacity``.

        :param backlogged: whether calls are queued, so that the limit is fully used.
        """
        value = capacity if self._value is None else min(self._value, capacity)
        if self._points and now - self._changed >= INTERVAL:
            self._changed = now
            value = self._adjust(value) if backlogged else value * (1 + STEP / 4)
        self._value = min(max(value, capacity * MIN_CAPACITY_SHARE), capacity)
        return self._value

    def estimate_slowdown(self, in_flight: float) -> float:
        """Return the time per token at a concurrency, relative to the mean.

        The result is 1 if too little is measured. Calls take seconds, so measured
        durations reflect a past load; this predicts how the present load affects
        calls that start now. Without it admission reacts seconds late and
        oscillates between admitting too much and too little.
        """
        seconds = sum(point.seconds for point in self._points.values())
        work = sum(point.work for point in self._points.values())
        if seconds < MIN_TOTAL_SECONDS or work <= 0:
            return 1.0
        mean_in_flight = sum(at * p.work for at, p in self._points.items()) / work
        variance = covariance = 0.0
        for at, point in self._points.items():
            variance += point.work * (at - mean_in_flight) ** 2
            covariance += (at - mean_in_flight) * point.seconds
        slope = covariance / variance if variance > 0 else 0.0
        slowdown = 1 + max(0.0, slope) * (in_flight - mean_in_flight) * work / seconds
        return min(max(slowdown, MIN_SLOWDOWN), MAX_SLOWDOWN)

    def _adjust(self, value: float) -> float:
        edges = [value * edge for edge in RANGE_EDGES]
        here = self._measure_throughput(edges[1], edges[2])
        if here is None:
            return value
        above = self._measure_throughput(edges[2], edges[3])
        if above is not None and above > here * IMPROVEMENT_RATIO:
            return value * (1 + STEP)
        below = self._measure_throughput(edges[0], edges[1])
        if below is None or below >= here * SUFFICIENT_RATIO:
            return value * (1 - STEP)
        return value

    def _measure_throughput(self, low: float, high: float) -> float | None:
        """Return the throughput of a range, ``None`` if too little is measured."""
        seconds = work = 0.0
        for at, point in self._points.items():
            if low < at <= high:
                seconds += point.seconds
                work += at * point.work
        return work / seconds if seconds >= MIN_TOTAL_SECONDS else None

    def _decay(self, now: float) -> None:
        if now - self._decayed < 1.0:
            return
        factor = exp(-(now - self._decayed) / DECAY_TIME)
        self._decayed = now
        for at, point in tuple(self._points.items()):
            self._points[at] = _Point(point.seconds * factor, point.work * factor)
