"""Encoding of crash reports in the store."""

from __future__ import annotations

import json

from .incarnations import Incarnation
from .quarantine import CrashReport

__all__ = ("MAX_DIGESTS", "MAX_REPORTS", "decode_reports", "encode_reports")

#: most requests in one report; an instance rarely has more on one target
MAX_DIGESTS = 128
#: most reports in one value
MAX_REPORTS = 256


def encode_reports(reports: tuple[CrashReport, ...]) -> bytes:
    """Return the value under which the store keeps reports."""
    rows = [
        {
            "target": one.target.target_id,
            "born": one.target.started_ms,
            "service": one.service,
            "requests": one.digests,
        }
        for one in reports
    ]
    return json.dumps(rows, separators=(",", ":")).encode()


def decode_reports(value: bytes) -> tuple[CrashReport, ...]:
    """Return the reports of a value from the store.

    :raises ValueError: naming the invalid field
    """
    rows = json.loads(value)
    if not isinstance(rows, list) or len(rows) > MAX_REPORTS:
        raise ValueError(f"crash reports: not a list of at most {MAX_REPORTS} items")
    return tuple(map(_decode, rows))


def _decode(row: object) -> CrashReport:
    if not isinstance(row, dict):
        raise ValueError(f"crash report is not an object: {type(row).__name__}")
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
