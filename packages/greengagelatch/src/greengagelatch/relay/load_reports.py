"""Load as targets report it, and what is concluded from a report."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ("LoadReport", "ReportedLoad")

#: seconds for which a load report is used
REPORT_TTL_SECONDS = 1.0
#: the same where it matters only whether the target was nearly full
SLOTS_REPORT_TTL_SECONDS = 3.0
#: share of a report in the average of the other instances' requests
OTHERS_WEIGHT = 0.3
#: seconds in which that average decays half-way once no report follows
OTHERS_HALF_LIFE = 2.0
#: most requests of others that are believed, as a multiple of the slots
MAX_OTHERS_PER_SLOT = 2.0


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load that a target reported."""

    running: int
    waiting: int
    slots: int
    #: how long work takes there now, as a multiple of the usual; ``None``: not told
    slowness: float | None = None


@dataclass(slots=True)
class ReportedLoad:
    """The last load report of a target, and the average of what others send it."""

    report: LoadReport | None = None
    #: monotonic time in seconds of the report
    reported: float = 0.0
    _others: float = 0.0

    def record(self, report: LoadReport, in_flight: int, now: float) -> None:
        """Record a report.

        :param in_flight: requests of this instance at the target, which the report
            includes
        """
        most = max(1, report.slots) * MAX_OTHERS_PER_SLOT
        others = min(most, max(0, report.running + report.waiting - in_flight))
        known = self.estimate_others(now)
        self._others = known + (others - known) * OTHERS_WEIGHT
        self.report = report
        self.reported = now

    def find_age(self, now: float) -> float:
        """Return the seconds since the last report; -1: there is none."""
        return now - self.reported if self.report is not None else -1.0

    def count_others(self, in_flight: int, now: float) -> float:
        """Return the other instances' requests by the last report alone."""
        if self.report is None or now - self.reported > REPORT_TTL_SECONDS:
            return 0.0
        reported = self.report.running + self.report.waiting
        return max(0.0, float(reported - in_flight))

    def estimate_others(self, now: float) -> float:
        """Return the other instances' requests on average of the last reports.

        All instances get the same late report. If each believed it in full, all would
        run to the target that happened to be idle and leave it together.
        """
        return self._others * 0.5 ** ((now - self.reported) / OTHERS_HALF_LIFE)

    def find_occupancy(self, in_flight: int, now: float) -> float | None:
        """Return the share of an engine's slots in use; ``None`` if unknown."""
        report = self.report
        if (
            report is None
            or now - self.reported > SLOTS_REPORT_TTL_SECONDS
            or report.slots <= 0
        ):
            return None
        return max(report.running + report.waiting, in_flight) / report.slots
