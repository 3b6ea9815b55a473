"""A caller's request and its final answer."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from .errors import Refusal
from .verdict import Verdict

__all__ = ("Answer", "Request")


@dataclass(frozen=True, slots=True, kw_only=True)
class Request:
    """A checked request."""

    request_id: str
    workspace: str
    pipeline: str
    input: Any
    #: monotonic seconds at which the request was received
    received: float
    #: monotonic seconds after which an answer is worthless
    deadline: float
    #: whether the caller allows stages to be run more than once for it
    repeatable: bool = True
    #: ``Idempotency-Key`` of the caller, empty where there is none
    key: str = ""
    #: digest of what the caller asked for, to notice a key used for another request
    digest: str = ""
    #: whether the caller declares that it has not sent this key before
    first_attempt: bool = False
    stream: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Answer:
    """The final answer to a request: a result or a refusal, never both."""

    request_id: str
    verdict: Verdict
    #: result of the last stage; meaningful only without a refusal
    result: Any = None
    refusal: Refusal | None = None
    #: seconds spent in each stage, by stage name
    stage_seconds: Mapping[str, float] | None = None
    #: whether the answer was found under the request's key and not run now
    replayed: bool = False
