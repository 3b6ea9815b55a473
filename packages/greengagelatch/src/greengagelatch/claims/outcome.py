"""Outcome of a request, as stored for its repeats and sent to other instances."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import cbor2
from result import Err, Ok, Result

from ..errors import Refusal, RefusalCode
from ..request import Answer
from ..verdict import Verdict

__all__ = ("Outcome", "decode_outcome", "encode_outcome")


@dataclass(frozen=True, slots=True, kw_only=True)
class Outcome:
    """Stored answer to a keyed request, without the request id of each repeat."""

    verdict: Verdict
    result: Any = None
    refusal: Refusal | None = None

    def to_answer(self, request_id: str) -> Answer:
        """Return the answer to the repeat ``request_id``."""
        return Answer(
            request_id=request_id,
            verdict=self.verdict,
            result=self.result,
            refusal=self.refusal,
            replayed=True,
        )


def encode_outcome(outcome: Outcome) -> bytes:
    """Encode an outcome."""
    refusal = outcome.refusal
    fields = None
    if refusal is not None:
        fields = [
            refusal.code.value,
            refusal.message,
            int(refusal.verdict),
            refusal.field,
            refusal.value,
            refusal.retry_after_ms,
        ]
    return cbor2.dumps([int(outcome.verdict), outcome.result, fields])


def decode_outcome(data: bytes) -> Result[Outcome, str]:
    """Decode an outcome; the error is the reason why it is invalid."""
    try:
        verdict, result, fields = cbor2.loads(data)
        refusal = None if fields is None else _read_refusal(*fields)
        return Ok(Outcome(verdict=Verdict(verdict), result=result, refusal=refusal))
    except (cbor2.CBORDecodeError, TypeError, ValueError, RecursionError) as error:
        return Err(f"malformed outcome: {error}")


def _read_refusal(
    code: str,
    message: str,
    verdict: int,
    field: str,
    value: str,
    retry_after_ms: int | None,
) -> Refusal:
    return Refusal(
        code=RefusalCode(code),
        message=message,
        verdict=Verdict(verdict),
        field=field,
        value=value,
        retry_after_ms=retry_after_ms,
    )
