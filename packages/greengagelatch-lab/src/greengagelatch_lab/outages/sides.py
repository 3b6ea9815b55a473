"""Attainment during each fault, on each side of a partition."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from ..load.request_statistics import RequestStatistics

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from ..load.observations import Observation

__all__ = ("FaultWindow", "Side", "measure_sides")

#: names of sides that are not a single data centre
ALL_INSTANCES = "all"
OTHER_CENTRES = "the others"


@dataclass(frozen=True, slots=True, kw_only=True)
class FaultWindow:
    """When a fault was active, in seconds since the traffic began."""

    fault: str
    begin: float
    end: float
    #: data centre that was cut off; empty if none was
    data_centre: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class Side:
    """Outcomes of the requests sent to one side during a fault."""

    fault: str
    name: str
    statistics: RequestStatistics

    def format(self) -> str:
        """Return the counts as a row of a text table."""
        refusals = ", ".join(
            f"{code} {count}"
            for code, count in sorted(self.statistics.refusals.items())
        )
        return (
            f"{self.fault:<20}{self.name:<16}{self.statistics.requests:>6}"
            f"{self.statistics.attainment:>9.1%}  {refusals}"
        )

    def encode(self) -> dict[str, Any]:
        """Return the counts as JSON-compatible values."""
        return {
            "fault": self.fault,
            "side": self.name,
            "made": self.statistics.requests,
            "attainment": round(self.statistics.attainment, 4),
        }


def measure_sides(
    windows: Sequence[FaultWindow],
    observations: Iterable[Observation],
    places: Mapping[str, str],
) -> list[Side]:
    """Count first attempts by fault and by the side that they were sent to.

    :param places: data centre of each instance, by id
    """
    statistics_by_side: dict[tuple[str, str], RequestStatistics] = {}
    for window in windows:
        names = (
            (window.data_centre, OTHER_CENTRES)
            if window.data_centre
            else (ALL_INSTANCES,)
        )
        for name in names:
            statistics_by_side[(window.fault, name)] = RequestStatistics()
    for observation in observations:
        if observation.arrival.retry_of is not None:
            continue
        for window in windows:
            if not window.begin <= observation.arrival.offset < window.end:
                continue
            name = _find_side_name(window, places.get(observation.instance, ""))
            statistics_by_side[(window.fault, name)].add(observation)
    return [
        Side(fault=fault, name=name, statistics=statistics)
        for (fault, name), statistics in statistics_by_side.items()
    ]


def _find_side_name(window: FaultWindow, data_centre: str) -> str:
    if not window.data_centre:
        return ALL_INSTANCES
    return window.data_centre if data_centre == window.data_centre else OTHER_CENTRES
