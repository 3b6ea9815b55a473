"""Broken promises that a checker finds."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

__all__ = ("Violation", "ViolationKind")


class ViolationKind(Enum):
    """Which promise to the caller was broken."""

    #: the connection ended before the answer did
    CUT = "cut"
    #: no answer long after the deadline
    SILENT = "silent"
    #: the answer is not as the protocol says
    MALFORMED = "malformed"
    #: tokens are missing or repeated, or don't match the stated count and digest
    INCOMPLETE = "incomplete"
    WRONG = "wrong"
    #: the answer or its id belongs to another request
    CROSSED = "crossed"
    #: something that may not be repeated ran more than once
    DOUBLED = "doubled"
    #: refused as "not run" though a target ran some of it
    FALSE_NOT_RUN = "false-not-run"
    #: refused because of an error inside the entry instance
    FAULT = "fault"
    #: answered with a result that no target's run accounts for
    NOT_RECORDED = "not-recorded"
    #: a target's record is not whole, so nothing can be proved by it
    RECORD_LOST = "record-lost"


@dataclass(frozen=True, slots=True, kw_only=True)
class Violation:
    """One broken promise, with what is needed to look into it."""

    kind: ViolationKind
    #: index of the arrival; ``None`` where no single one is concerned
    index: int | None = None
    request_id: str = ""
    pipeline: str = ""
    detail: str = ""

    def __str__(self) -> str:
        return (
            f"{self.kind.value}: arrival {self.index}, request"
            f" {self.request_id or '-'}, {self.pipeline or '-'}: {self.detail}"
        )
