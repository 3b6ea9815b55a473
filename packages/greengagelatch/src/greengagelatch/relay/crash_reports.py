"""Encoding of crash and survival reports in the store."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from .incarnations import Incarnation
from .quarantine import CrashReport, SurvivalReport

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ("MAX_DIGESTS", "MAX_REPORTS", "Report", "decode_reports", "encode_reports")

Report = CrashReport | SurvivalReport

#: most requests in one report; an instance rarely has more on one target
MAX_DIGESTS = 128
#: most reports in one value
MAX_REPORTS = 256


def encode_reports(reports: Iterable[Report]) -> bytes:
    """Return the value under which the store keeps reports."""
    rows = [_encode(one) for one in reports]
    return json.dumps(rows, separators=(",", ":")).encode()


def _encode(report: Report) -> dict[str, object]:
    if isinstance(report, SurvivalReport):
        return {"answered": report.digest}
    return {
        "target": report.target.target_id,
        "born": report.target.started_ms,
        "service": report.service,
        "requests": report.digests,
    }


def decode_reports(value: bytes) -> tuple[Report, ...]:
    """Return the reports of a value from the store.

    :raises ValueError: naming the invalid field
    """
    rows = json.loads(value)
    if not isinstance(rows, list) or len(rows) > MAX_REPORTS:
        raise ValueError(f"crash reports: not a list of at most {MAX_REPORTS} items")
    return tuple(map(_decode, rows))


def _decode(row: object) -> Report:
    if not isinstance(row, dict):
        raise ValueError(f"crash report is not an object: {type(row).__name__}")
    if "answered" in row:
        answered = row["answered"]
        if not isinstance(answered, str) or not answered:
            raise ValueError(f"invalid answered: {str(answered)[:64]!r}")
        return SurvivalReport(answered)
    target, started_ms, digests = (
        row.get("target"),
        row.get("born"),
        row.get("requests"),
    )
    service = row.get("service")
    if not isinstance(service, str):
        raise ValueError(f"invalid service: {str(service)[:64]!r}")
    if not isinstance(target, str) or not target:
        raise ValueError(f"invalid target: {str(target)[:64]!r}")
    if (
        not isinstance(started_ms, int)
        or isinstance(started_ms, bool)
        or started_ms < 0
    ):
        raise ValueError(f"invalid born: {str(started_ms)[:64]!r}")
    valid = isinstance(digests, list) and len(digests) <= MAX_DIGESTS
    if not valid or not all(isinstance(one, str) for one in digests):
        raise ValueError(f"invalid requests: {str(digests)[:64]!r}")
    return CrashReport(Incarnation(target, started_ms), service, tuple(digests))
