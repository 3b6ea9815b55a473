"""HTTP status codes, headers and bodies of responses to callers."""

from __future__ import annotations

import json
import math
from typing import TYPE_CHECKING, Any

from greengagelatch.errors import Refusal, RefusalCode
from greengagelatch.verdict import Verdict

if TYPE_CHECKING:
    from greengagelatch.request import Answer

__all__ = (
    "CONTENT_TYPE",
    "create_headers",
    "describe_end",
    "describe_refusal",
    "encode",
    "encode_answer",
    "find_status",
)

CONTENT_TYPE = "application/json"
STATUS_OK = 200

#: shared, as ``json.dumps`` creates an encoder for each call with these separators
_ENCODER = json.JSONEncoder(separators=(",", ":"))

_STATUSES = {
    RefusalCode.BAD_REQUEST: 400,
    RefusalCode.UNKNOWN_PIPELINE: 404,
    RefusalCode.UNKNOWN_WORKSPACE: 404,
    RefusalCode.UNAUTHORIZED: 401,
    RefusalCode.TOO_LARGE: 413,
    RefusalCode.KEY_REUSED: 422,
    RefusalCode.REPEAT_UNSETTLED: 409,
    RefusalCode.IN_PROGRESS: 409,
    RefusalCode.CONFLICT: 409,
    RefusalCode.QUOTA: 429,
    RefusalCode.INTERNAL: 500,
    RefusalCode.STAGE_FAILED: 502,
    RefusalCode.NOT_READY: 503,
    RefusalCode.OVERLOADED: 503,
    RefusalCode.QUARANTINED: 503,
    RefusalCode.NO_TARGET: 503,
    RefusalCode.STORE_UNREACHABLE: 503,
    RefusalCode.DEADLINE: 504,
}

_VERDICTS = {
    Verdict.NOT_RUN: "not-run",
    Verdict.MAY_HAVE_RUN: "may-have-run",
    Verdict.RAN: "ran",
}


def encode(fields: dict[str, Any]) -> bytes:
    """Encode ``fields`` as compact JSON."""
    return _ENCODER.encode(fields).encode()


def find_status(answer: Answer) -> int:
    """Return the HTTP status of an answer."""
    if answer.refusal is None:
        return STATUS_OK
    return _STATUSES[answer.refusal.code]


def encode_answer(answer: Answer) -> bytes:
    """Return the response body of an answer that is not streamed."""
    if answer.refusal is not None:
        return encode(describe_refusal(answer.request_id, answer.refusal))
    return encode(
        {
            "request": answer.request_id,
            "verdict": _VERDICTS[answer.verdict],
            "result": answer.result,
            "replayed": answer.replayed,
        }
    )


def describe_refusal(request_id: str, refusal: Refusal) -> dict[str, Any]:
    """Return the JSON fields of a refusal."""
    return {
        "request": request_id,
        "verdict": _VERDICTS[refusal.verdict],
        "code": refusal.code.value,
        "message": refusal.message,
        "field": refusal.field,
        "value": refusal.value,
        "retry_after_ms": refusal.retry_after_ms,
    }


def describe_end(answer: Answer, *, count: int, digest: str) -> dict[str, Any]:
    """Return the JSON fields of the ``end`` event of a complete stream."""
    return {
        "request": answer.request_id,
        "verdict": _VERDICTS[answer.verdict],
        "result": answer.result,
        "count": count,
        "digest": digest,
    }


def create_headers(refusal: Refusal | None) -> dict[str, str]:
    """Return the response headers of an answer with ``refusal``, if any."""
    headers = {"Content-Type": CONTENT_TYPE}
    if refusal is not None and refusal.retry_after_ms is not None:
        seconds = max(1, math.ceil(refusal.retry_after_ms / 1000))
        headers["Retry-After"] = str(seconds)
    return headers
