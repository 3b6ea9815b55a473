"""Reading of targets' load reports."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from .directory import LoadReport

__all__ = ("MAX_PREFIXES", "TargetReport", "parse_report")

#: prefixes kept of one report; they are hints, and memory is bounded
MAX_PREFIXES = 512

#: an age beyond this is as good as no report, in milliseconds
MAX_AGE_MS = 3_600_000

MAX_CALLS = 1_000_000


@dataclass(frozen=True, slots=True)
class TargetReport:
    """What a target says of itself; ``load`` is ``None`` where it can't be read."""

    leaving: bool
    load: LoadReport | None


def parse_report(data: Any, asked: float) -> TargetReport:
    """Read the answer to ``GET /load``.

    :param asked: monotonic seconds at which the call was begun. The report's age
        is subtracted from it and not from the time of the answer: a report that
        spent a while on the wire must not pass for a fresh one.
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
    # written so that NaN counts as no usable report either
    if not 0 <= value <= MAX_AGE_MS:
        return 0.0 if value < 0 else MAX_AGE_MS
    return float(value)


def _read_prefixes(value: Any) -> frozenset[str]:
    if not isinstance(value, list):
        return frozenset()
    texts = [item for item in value[:MAX_PREFIXES] if isinstance(item, str)]
    return frozenset(texts)
