"""Parsing of targets' load reports."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from .directory import LoadReport

__all__ = ("MAX_PREFIXES", "TargetReport", "parse_report")

#: maximum number of prefixes kept per report, to bound memory; they are only hints
MAX_PREFIXES = 512

#: milliseconds; a higher age of a report is reduced to this, at which the report is
#: unusable
MAX_AGE_MS = 3_600_000

#: highest valid number of calls in a report
MAX_CALLS = 1_000_000


@dataclass(frozen=True, slots=True)
class TargetReport:
    """A target's report on itself; ``load`` is ``None`` if its load is invalid."""

    leaving: bool
    load: LoadReport | None


def parse_report(data: Any, asked: float) -> TargetReport:
    """Parse the answer to ``GET /load``.

    :param asked: monotonic seconds at which the request was sent. The report's age is
        subtracted from this and not from the time of the answer, so that a report
        delayed by the network does not seem newer than it is.
    """
    if not isinstance(data, dict):
        return TargetReport(leaving=False, load=None)
    leaving = data.get("state") == "leaving"
    numbers = []
    for name in ("in_flight", "queued", "capacity"):
        number = data.get(name)
        if not _is_count(number):
            return TargetReport(leaving=leaving, load=None)
        numbers.append(number)
    in_flight, queued, capacity = numbers
    load = LoadReport(
        in_flight=in_flight,
        queued=queued,
        capacity=max(1, capacity),
        taken=asked - _read_age(data.get("age_ms")) / 1000,
        cached_prefixes=_read_prefixes(data.get("cached_prefixes")),
    )
    return TargetReport(leaving=leaving, load=load)


def _is_count(value: Any) -> bool:
    if isinstance(value, bool) or not isinstance(value, int):
        return False
    return 0 <= value <= MAX_CALLS


def _read_age(value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        return 0.0
    # a condition that is also true for NaN, which becomes the maximum age
    if not 0 <= value <= MAX_AGE_MS:
        return 0.0 if value < 0 else MAX_AGE_MS
    return float(value)


def _read_prefixes(value: Any) -> frozenset[str]:
    if not isinstance(value, list):
        return frozenset()
    texts = [item for item in value[:MAX_PREFIXES] if isinstance(item, str)]
    return frozenset(texts)
