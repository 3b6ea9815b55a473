"""Instances that may know an older record of versions, as they are cut off."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from .service_versions import MAX_GAP_SECONDS
from .stream_versions import MEMORY_SECONDS

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

__all__ = ("MAX_PERIODS", "PERIOD_SECONDS", "RecordHolders")

#: seconds for which one instance sees another missing until it counts a period
PERIOD_SECONDS = 600.0
#: periods after which an instance that is missing is taken to have ended. All together
#: are longer than data centres are cut off from each other
MAX_PERIODS = 7


@dataclass(frozen=True, slots=True)
class _Absence:
    #: periods that were counted when it began, or was last counted
    periods: int
    #: monotonic time of that
    since: float


class RecordHolders:
    """Instances by address that have read the record, and may have missed a later one.

    An instance whose registration has ended may be cut off, and begin streams at
    versions that it knows. It has read a later record once an instance is registered at
    its address, the same or a successor.
    """

    def __init__(self) -> None:
        self._absences: dict[str, _Absence] = {}
        #: monotonic time at which one was last seen missing, or may have been
        self._missing_at = float("-inf")
        self._updated_at = float("-inf")

    def update(
        self, known: Mapping[str, int], present: Collection[str], now: float
    ) -> dict[str, int]:
        """Return the periods for which each instance has been missing.

        :param known: the same, as of the record
        :param present: addresses of the instances that are registered
        """
        found = dict.fromkeys(present, 0)
        missing = {one: n for one, n in known.items() if one not in found}
        if missing or now - self._updated_at > MAX_GAP_SECONDS:
            # without a look, one may have been missing until now
            self._missing_at = now
        self._updated_at = now
        self._absences = {
            one: self._find_absence(one, periods, now)
            for one, periods in missing.items()
        }
        for address, absence in self._absences.items():
            periods = absence.periods
            if now - absence.since >= PERIOD_SECONDS:
                periods += 1
            if periods < MAX_PERIODS:
                found[address] = periods
        return found

    def is_any_missing(self, now: float) -> bool:
        """Return whether one may know an older record, or did lately.

        The streams that it has begun are taken up for some time after its return.
        """
        return now - self._missing_at < MEMORY_SECONDS

    def _find_absence(self, address: str, periods: int, now: float) -> _Absence:
        known = self._absences.get(address)
        if known is None or known.periods != periods:
            return _Absence(periods, now)
        return known
