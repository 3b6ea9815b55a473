"""Encoding of crash and survival reports in the store."""

from __future__ import annotations

import json
from hashlib import blake2b
from typing import TYPE_CHECKING

from .incarnations import Incarnation
from .quarantine import CrashReport, PartSurvivalReport, SurvivalReport

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = (
    "MAX_DIGESTS",
    "MAX_PARTS",
    "MAX_PART_ID_LENGTH",
    "MAX_REPORTS",
    "Report",
    "decode_reports",
    "encode_reports",
    "shorten_part_id",
)

Report = CrashReport | SurvivalReport | PartSurvivalReport

#: most requests in one report; an instance rarely has more on one target
MAX_DIGESTS = 128
#: most prompt parts of one request, and of one survival report
MAX_PARTS = 32
#: longest id of a prompt part in characters; a longer one is replaced by its digest
MAX_PART_ID_LENGTH = 64
#: most reports in one value
MAX_REPORTS = 256


def encode_reports(reports: Iterable[Report]) -> bytes:
    """Return the value under which the store keeps reports."""
    rows = [_encode(one) for one in reports]
    return json.dumps(rows, separators=(",", ":")).encode()


def _encode(report: Report) -> dict[str, object]:
    if isinstance(report, SurvivalReport):
        return {"answered": report.digest}
    if isinstance(report, PartSurvivalReport):
        ages = [round(age, 3) for age in report.ages]
        return {
            "service": report.service,
            "parts-answered": report.part_ids,
            "ages": ages,
        }
    row = {
        "target": report.target.target_id,
        "born": report.target.started_ms,
        "service": report.service,
        "requests": report.digests,
    }
    return row | {"parts": report.parts} if report.parts else row


def shorten_part_id(part_id: str) -> str:
    """Return the id of a prompt part in reports."""
    if len(part_id) <= MAX_PART_ID_LENGTH:
        return part_id
    encoded = part_id.encode("utf-8", "surrogatepass")
    return blake2b(encoded, digest_size=MAX_PART_ID_LENGTH // 2).hexdigest()


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
    service = row.get("service")
    if not isinstance(service, str):
        raise ValueError(f"invalid service: {str(service)[:64]!r}")
    if "parts-answered" in row:
        answered = _decode_part_ids(row["parts-answered"], "parts-answered")
        ages = row.get("ages")
        valid = isinstance(ages, list) and len(ages) == len(answered)
        if not valid or not all(_is_age(age) for age in ages):
            raise ValueError(f"invalid ages: {str(ages)[:64]!r}")
        return PartSurvivalReport(service, answered, tuple(ages))
    target, started_ms, digests = (
        row.get("target"),
        row.get("born"),
        row.get("requests"),
    )
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
    parts = row.get("parts", [])
    if not isinstance(parts, list) or len(parts) not in (0, len(digests)):
        raise ValueError(f"invalid parts: {str(parts)[:64]!r}")
    return CrashReport(
        Incarnation(target, started_ms),
        service,
        tuple(digests),
        tuple(_decode_part_ids(one, "parts") for one in parts),
    )


def _is_age(value: object) -> bool:
    is_number = isinstance(value, (int, float)) and not isinstance(value, bool)
    return is_number and 0 <= value < float("inf")


def _decode_part_ids(value: object, field: str) -> tuple[str, ...]:
    valid = isinstance(value, list) and len(value) <= MAX_PARTS
    if not valid or not all(isinstance(one, str) for one in value):
        raise ValueError(f"invalid {field}: {str(value)[:64]!r}")
    return tuple(value)
