"""Overflow of a placement's load beyond its preferred data centres."""

from __future__ import annotations

import dataclasses
import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..config.effects import Placement
    from ..targets.directory import Candidate

__all__ = ("OverflowState", "OverflowRule", "is_preferred", "measure_load")

#: load of data centres whose engines are all unreachable
NONE_REACHED = math.inf


@dataclass(frozen=True, slots=True, kw_only=True)
class OverflowRule:
    """When work overflows from the preferred data centres.

    Loads are calls in flight or queued, divided by the calls that the engines can
    run concurrently. The two thresholds, and the seconds for which each has to be
    crossed, form a hysteresis: load reports lag, and models that are loaded and
    unloaded in turn would exhaust the weight store's rate limit.
    """

    high_load: float = 1.2
    low_load: float = 0.6
    rise_seconds: float = 30.0
    fall_seconds: float = 300.0


@dataclass(frozen=True, slots=True)
class OverflowState:
    """Whether work overflows, and since when the load calls for the opposite."""

    overflowing: bool = False
    #: monotonic seconds; ``None``: the load does not call for the opposite
    since: float | None = None

    def update(
        self, now: float, load: float | None, rule: OverflowRule
    ) -> OverflowState:
        """Return the state after a load of the preferred data centres.

        :param load: calls per concurrent slot, ``None`` if unknown.
        """
        if load is None or not self._is_opposite(load, rule):
            return dataclasses.replace(self, since=None)
        if self.since is None:
            return dataclasses.replace(self, since=now)
        needed = rule.fall_seconds if self.overflowing else rule.rise_seconds
        if now - self.since < needed:
            return self
        return OverflowState(overflowing=not self.overflowing)

    def _is_opposite(self, load: float, rule: OverflowRule) -> bool:
        return load <= rule.low_load if self.overflowing else load >= rule.high_load


def is_preferred(placement: Placement, data_centre: str) -> bool:
    """Whether a placement names the data centre, or none and so all of them."""
    return not placement.data_centres or data_centre in placement.data_centres


def measure_load(placement: Placement, candidates: Iterable[Candidate]) -> float | None:
    """Return the load of the preferred data centres, ``None`` without any report."""
    reached = False
    work = 0
    capacity = 0
    for candidate in candidates:
        if candidate.target.data_centre not in placement.data_centres:
            continue
        reached = True
        if candidate.report is None:
            continue
        work += candidate.report.in_flight + candidate.report.queued
        capacity += candidate.report.capacity
    if capacity:
        return work / capacity
    return None if reached else NONE_REACHED
