"""Whether a data centre's engines should hold what a placement names."""

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

#: load of data centres none of whose engines can be reached
NONE_REACHED = math.inf


@dataclass(frozen=True, slots=True, kw_only=True)
class OverflowRule:
    """When work overflows from the preferred data centres; durations in seconds.

    Loads are calls for each call that the engines can run side by side. The two
    loads lie apart, and each has to last: load reports lag, and models that are
    loaded and dropped in turn would use up the weight store's rate.
    """

    high: float = 1.2
    low: float = 0.6
    rise: float = 30.0
    fall: float = 300.0


@dataclass(frozen=True, slots=True)
class OverflowState:
    """Whether work overflows, and since when the load says the opposite."""

    overflowing: bool = False
    #: monotonic seconds; ``None``: the load does not say the opposite
    since: float | None = None

    def update(
        self, now: float, load: float | None, rule: OverflowRule
    ) -> OverflowState:
        """Take in the preferred data centres' load; ``None``: it is not known."""
        if load is None or not self._is_opposite(load, rule):
            return dataclasses.replace(self, since=None)
        if self.since is None:
            return dataclasses.replace(self, since=now)
        needed = rule.fall if self.overflowing else rule.rise
        if now - self.since < needed:
            return self
        return OverflowState(overflowing=not self.overflowing)

    def _is_opposite(self, load: float, rule: OverflowRule) -> bool:
        return load <= rule.low if self.overflowing else load >= rule.high


def is_preferred(placement: Placement, data_centre: str) -> bool:
    """Whether a placement names a data centre, or none and so all of them."""
    return not placement.data_centres or data_centre in placement.data_centres


def measure_load(placement: Placement, candidates: Iterable[Candidate]) -> float | None:
    """Return the load of the preferred data centres, ``None`` if nobody reports."""
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
