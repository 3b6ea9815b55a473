"""Violated guarantees that the checker reports."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

__all__ = ("Violation", "ViolationKind")


class ViolationKind(Enum):
    """Which guarantee to the caller was violated."""

    #: the connection failed or closed before the response was complete
    DISCONNECTED = "cut"
    #: no complete response within the grace period after the deadline
    TIMED_OUT = "silent"
    #: the response does not conform to the protocol
    MALFORMED = "malformed"
    #: tokens are missing or duplicated, or don't match the stated count or digest
    INCOMPLETE = "incomplete"
    #: the result differs from the expected one
    WRONG_RESULT = "wrong"
    #: the result or request id belongs to another request
    MISROUTED = "crossed"
    #: a stage that must run at most once ran more than once
    DUPLICATE_RUN = "doubled"
    #: refused as "not run" although a target ran at least one stage
    FALSE_NOT_RUN = "false-not-run"
    #: refused because of an internal error of the entry instance
    INTERNAL_ERROR = "fault"
    #: a result without a completed run of every stage in the targets' records
    NOT_RECORDED = "not-recorded"
    #: a target's record is incomplete, so the run can't be verified
    INCOMPLETE_RECORD = "record-lost"


@dataclass(frozen=True, slots=True, kw_only=True)
class Violation:
    """One violated guarantee, with the details needed to investigate it."""

    kind: ViolationKind
    #: index of the arrival; ``None`` if no single arrival is concerned
    index: int | None = None
    request_id: str = ""
    pipeline: str = ""
    detail: str = ""

    def __str__(self) -> str:
        return (
            f"{self.kind.value}: arrival {self.index}, request"
            f" {self.request_id or '-'}, {self.pipeline or '-'}: {self.detail}"
        )
