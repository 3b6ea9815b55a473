"""How many calls side by side serve a service best, learnt from its throughput."""

from __future__ import annotations

from math import exp
from typing import NamedTuple

__all__ = ("ConcurrencyTuner",)

#: seconds after which a measured call counts for about a third
MEMORY = 30.0
#: seconds that the calls of a range must have taken for it to count
MIN_TAKEN = 15.0
#: seconds between two changes: calls must end before one shows
INTERVAL = 2.0
#: part of the present value by which it is changed
STEP = 0.08
#: edges of the ranges below, around and above the present value, as parts of it
EDGES = (0.65, 0.92, 1.08, 1.5)
#: part of the present throughput that is good enough with fewer calls: the last
#: few per cent of it cost the most latency
ENOUGH = 0.95
#: part of the present throughput that more calls must give
BETTER = 1.03
#: lowest value, as a part of the capacity that targets tell
FLOOR = 0.25

#: bounds of what the line through the measured points is trusted for
LEAST_SLOWDOWN = 0.5
MOST_SLOWDOWN = 3.0


class _Point(NamedTuple):
    """Seconds that calls took at one concurrency, and the work they did in it."""

    taken: float
    work: float


class ConcurrencyTuner:
    """Looks for the smallest concurrency that gives almost all of the throughput.

    A target that batches answers more calls a second the more it holds, up to a
    knee; it tells the number that it can hold, which may lie far beyond. Past the
    knee more calls only make each of them slower: one notices drafts that end late
    although no target is idle.

    By Little's law ``n`` calls side by side that each do ``w`` work in ``s`` seconds
    give a throughput of ``n * w / s``. Work is counted in tokens, over all targets
    of the service: how long whole calls take varies far too much to see the knee
    within minutes. While calls wait, the value goes down as long as fewer do as
    well, and up where more do better; else it drifts back to the capacity, as
    nothing is learnt about what is not used.
    """

    def __init__(self) -> None:
        self._points: dict[int, _Point] = {}
        self._faded = float("-inf")
        self._changed = float("-inf")
        self._value: float | None = None

    def record(self, held: float, taken: float, work: float, now: float) -> None:
        """Take in a call.

        :param held: calls that its target held meanwhile.
        :param taken: seconds the call took.
        :param work: tokens it got.
        """
        self._fade(now)
        at = max(1, round(held))
        point = self._points.get(at, _Point(0.0, 0.0))
        self._points[at] = _Point(point.taken + taken, point.work + work)

    def update(self, capacity: float, *, pressed: bool, now: float) -> float:
        """Return the concurrency to keep to, at most ``capacity``.

        :param pressed: whether calls wait, so that all that is allowed is used.
        """
        value = capacity if self._value is None else min(self._value, capacity)
        if self._points and now - self._changed >= INTERVAL:
            self._changed = now
            value = self._improve(value) if pressed else value * (1 + STEP / 4)
        self._value = min(max(value, capacity * FLOOR), capacity)
        return self._value

    def estimate_slowdown(self, held: float) -> float:
        """Return how long a token takes at a concurrency, relative to the mean.

        1 where too little is known. Calls take seconds, so what has been measured
        tells of the load as it was; this tells at once what a change of load will
        do to calls that start now. Without it admission acts seconds late and
        swings between too much and too little.
        """
        taken = sum(point.taken for point in self._points.values())
        work = sum(point.work for point in self._points.values())
        if taken < MIN_TAKEN or work <= 0:
            return 1.0
        mean_held = sum(at * p.work for at, p in self._points.items()) / work
        spread = bent = 0.0
        for at, point in self._points.items():
            spread += point.work * (at - mean_held) ** 2
            bent += (at - mean_held) * point.taken
        slope = bent / spread if spread > 0 else 0.0
        slowdown = 1 + max(0.0, slope) * (held - mean_held) * work / taken
        return min(max(slowdown, LEAST_SLOWDOWN), MOST_SLOWDOWN)

    def _improve(self, value: float) -> float:
        edges = [value * edge for edge in EDGES]
        here = self._measure(edges[1], edges[2])
        if here is None:
            return value
        above = self._measure(edges[2], edges[3])
        if above is not None and above > here * BETTER:
            return value * (1 + STEP)
        below = self._measure(edges[0], edges[1])
        if below is None or below >= here * ENOUGH:
            return value * (1 - STEP)
        return value

    def _measure(self, low: float, high: float) -> float | None:
        """Return the throughput of a range, ``None`` if too little is known."""
        taken = work = 0.0
        for at, point in self._points.items():
            if low < at <= high:
                taken += point.taken
                work += at * point.work
        return work / taken if taken >= MIN_TAKEN else None

    def _fade(self, now: float) -> None:
        if now - self._faded < 1.0:
            return
        factor = exp(-(now - self._faded) / MEMORY)
        self._faded = now
        for at, point in tuple(self._points.items()):
            self._points[at] = _Point(point.taken * factor, point.work * factor)
