"""Pipeline requests and their final answers."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from .errors import Refusal
from .verdict import Verdict

__all__ = ("Answer", "Request")


@dataclass(frozen=True, slots=True, kw_only=True)
class Request:
    """A validated request to run a pipeline."""

    request_id: str
    workspace: str
    pipeline: str
    input: Any
    #: monotonic seconds at which the request was received
    received: float
    #: monotonic seconds after which the caller no longer waits for an answer
    deadline: float
    #: whether the caller allows stages to run more than once for this request
    repeatable: bool = True
    #: value of the ``Idempotency-Key`` header, empty if the caller sent none
    key: str = ""
    #: digest of the request's content, to detect a key reused for another request
    digest: str = ""
    #: whether the caller declares that this is the first request with its key
    first_attempt: bool = False
    stream: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Answer:
    """The final answer to a request: either a result or a refusal."""

    request_id: str
    verdict: Verdict
    #: result of the last stage; valid only if ``refusal`` is ``None``
    result: Any = None
    refusal: Refusal | None = None
    #: duration of each stage in seconds, by stage name
    stage_seconds: Mapping[str, float] | None = None
    #: whether the answer was stored under the request's idempotency key earlier and is
    #: returned without running the pipeline again
    replayed: bool = False
