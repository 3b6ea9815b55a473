"""How many calls side by side serve a service best, learnt from its latency."""

from __future__ import annotations

from math import exp
from typing import NamedTuple

__all__ = ("KneeCurve",)

#: seconds after which a measured call counts for about a third
MEMORY = 30.0
#: seconds that the calls of a point must have taken for it to count
MIN_WORK = 15.0
#: share of the best throughput that is good enough: the last few per cent cost the
#: most latency
ENOUGH = 0.95
#: concurrency beyond the best that is allowed, to see whether it has moved
EXPLORED = 1.0
#: part of the smallest measured concurrency that is tried where that one is best
LESS = 0.85


class _Point(NamedTuple):
    """Seconds that calls took at one concurrency, and the work they did in it."""

    taken: float
    work: float


class KneeCurve:
    """Throughput by concurrency, over all targets of one service.

    A target that batches answers more calls a second the more it holds, up to a
    knee; it tells the number that it can hold, which may lie far beyond. Past the
    knee more calls only make each of them slower: one notices drafts that end late
    although no target is idle.

    By Little's law ``n`` calls side by side that each do ``w`` work in ``s`` seconds
    give a throughput of ``n * w / s``. Work is best counted in tokens: how long whole
    calls take varies far too much to see the knee within minutes.
    """

    def __init__(self) -> None:
        self._points: dict[int, _Point] = {}
        self._updated = float("-inf")

    def note(self, held: float, taken: float, work: float, now: float) -> None:
        """Take in a call.

        :param held: calls that its target held meanwhile.
        :param taken: seconds the call took.
        :param work: tokens it got.
        """
        self._decay(now)
        at = max(1, round(held))
        point = self._points.get(at, _Point(0.0, 0.0))
        self._points[at] = _Point(point.taken + taken, point.work + work)

    def find_knee(self) -> float | None:
        """Return the concurrency to keep to, ``None`` while too little is known."""
        throughputs = {}
        for at in sorted(self._points):
            point = self._sum_around(at)
            if point.taken < MIN_WORK:
                continue
            throughputs[at] = at * point.work / point.taken
        if not throughputs:
            return None
        enough = max(throughputs.values()) * ENOUGH
        knee = min(at for at, value in throughputs.items() if value >= enough)
        if knee == min(throughputs):
            # fewer may do as well: a service that was never seen with fewer would
            # stay beyond its knee for good
            return max(1.0, knee * LESS)
        return knee + EXPLORED

    def _sum_around(self, at: int) -> _Point:
        """Return a point together with its neighbours, which smooths the curve."""
        near = [self._points.get(at + step) for step in (-1, 0, 1)]
        known = [point for point in near if point is not None]
        return _Point(
            sum(point.taken for point in known), sum(point.work for point in known)
        )

    def _decay(self, now: float) -> None:
        if now - self._updated < 1.0:
            return
        factor = exp(-(now - self._updated) / MEMORY)
        self._updated = now
        for at, point in tuple(self._points.items()):
            self._points[at] = _Point(point.taken * factor, point.work * factor)
