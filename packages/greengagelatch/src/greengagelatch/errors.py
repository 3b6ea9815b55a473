"""Typed refusals of requests and commands."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from .verdict import Verdict

__all__ = ("Refusal", "RefusalCode")


class RefusalCode(Enum):
    """Machine-readable reason of a refusal; callers receive the value."""

    BAD_REQUEST = "bad-request"
    UNKNOWN_PIPELINE = "unknown-pipeline"
    UNKNOWN_WORKSPACE = "unknown-workspace"
    UNAUTHORIZED = "unauthorized"
    TOO_LARGE = "too-large"
    KEY_REUSED = "key-reused"
    REPEAT_UNSETTLED = "repeat-unsettled"
    IN_PROGRESS = "in-progress"
    NOT_READY = "not-ready"
    OVERLOADED = "overloaded"
    QUOTA = "quota"
    QUARANTINED = "quarantined"
    DEADLINE = "deadline"
    NO_TARGET = "no-target"
    STAGE_FAILED = "stage-failed"
    STORE_UNREACHABLE = "store-unreachable"
    CONFLICT = "conflict"
    INTERNAL = "internal"


@dataclass(frozen=True, slots=True, kw_only=True)
class Refusal:
    """The final answer to a request that yields no result."""

    code: RefusalCode
    message: str
    verdict: Verdict = Verdict.NOT_RUN
    #: name of the invalid field, empty if the refusal concerns no single field
    field: str = ""
    #: invalid value as text, truncated by the code that creates the refusal
    value: str = ""
    #: milliseconds after which a retry may succeed; ``None``: do not retry
    retry_after_ms: int | None = None
