"""Encoding of calls to targets; parsing and validation of their answers."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import xxhash

from greengagelatch.targets import CallFailure, FailureKind, StageAnswer
from greengagelatch.verdict import Verdict

if TYPE_CHECKING:
    from greengagelatch.targets import StageCall, TokenListener

    from .event_stream import Event

__all__ = (
    "AnswerError",
    "TokenReader",
    "encode_call",
    "parse_refusal",
    "parse_answer",
)

#: maximum characters of a target's response in an error message
MAX_SHOWN = 200
#: statuses with a meaning in the protocol of targets
NOT_RUN_STATUS = 503
CANNOT_RESUME_STATUS = 409
#: times of a day or more are invalid and ignored
MAX_MILLISECONDS = 86_400_000

#: shared, as ``json.dumps`` creates an encoder for each call with these separators
_ENCODER = json.JSONEncoder(separators=(",", ":"))
_DECODER = json.JSONDecoder()


@dataclass(frozen=True, slots=True)
class AnswerError(Exception):
    """An answer is invalid or belongs to another call."""

    kind: FailureKind
    message: str


def encode_call(call: StageCall, now: float) -> bytes:
    """Encode the body of ``POST /call``.

    :raises ValueError: if the input can't be encoded as JSON
    :raises RecursionError: if the input is nested too deeply
    """
    fields = {
        "attempt": call.attempt_id,
        "request": call.request_id,
        "stage": call.stage,
        "workspace": call.workspace,
        "pipeline": call.pipeline,
        "kind": call.kind.value,
        "input": call.input,
        "repeatable": call.repeatable,
        "budget_ms": max(1, int((call.deadline - now) * 1000)),
        "priority": call.priority,
        "stream": call.stream,
        "resume_at": call.resume_at,
    }
    return _ENCODER.encode(fields).encode()


def parse_answer(call: StageCall, body: bytes, *, leaving: bool) -> StageAnswer:
    """Parse the body of a response with status 200.

    :raises AnswerError: if it belongs to another call or is invalid
    """
    fields = _parse(body)
    _check_ids(call, fields)
    if "output" not in fields:
        raise AnswerError(FailureKind.TARGET_ERROR, "answer without output")
    return StageAnswer(
        output=fields["output"], cost=_read_cost(fields), leaving=leaving
    )


def parse_refusal(call: StageCall, status: int, body: bytes) -> CallFailure:
    """Convert a response with a status other than 200 to a failure."""
    fields = _parse_or_empty(body)
    attempt = fields.get("attempt", call.attempt_id)
    if attempt != call.attempt_id:
        return CallFailure(
            kind=FailureKind.MISMATCHED,
            verdict=Verdict.MAY_HAVE_RUN,
            message=f"refusal of another attempt: {str(attempt)[:MAX_SHOWN]}",
        )
    # only the echoed attempt id proves that "not run" refers to this call: on another
    # call's refusal, a non-idempotent call would be retried and executed twice
    refused = status == NOT_RUN_STATUS and fields.get("not_run") is True
    if refused and "attempt" in fields:
        return CallFailure(
            kind=FailureKind.TARGET_REFUSED,
            verdict=Verdict.NOT_RUN,
            message="the target refused the call",
            retry_after_ms=_read_milliseconds(fields.get("retry_after_ms")),
        )
    if status == CANNOT_RESUME_STATUS and call.resume_at > 0:
        return CallFailure(
            kind=FailureKind.CANNOT_RESUME,
            verdict=Verdict.MAY_HAVE_RUN,
            message=f"the target can't resume at {call.resume_at}",
        )
    text = body[:MAX_SHOWN].decode("utf-8", "replace")
    return CallFailure(
        kind=FailureKind.TARGET_ERROR,
        verdict=Verdict.MAY_HAVE_RUN,
        message=f"status {status}: {text}",
    )


class TokenReader:
    """Reads the events of a streamed answer and checks that it is complete."""

    def __init__(self, call: StageCall, listener: TokenListener | None) -> None:
        self._call = call
        self._listener = listener
        self.tokens: list[str] = list(call.received[: call.resume_at])
        self.answer: StageAnswer | None = None

    def handle_event(self, event: Event, *, leaving: bool) -> None:
        """Process one event.

        :raises AnswerError: if it does not continue the answer of this call
        """
        if self.answer is not None:
            raise AnswerError(FailureKind.MISMATCHED, "event after the end event")
        fields = _parse(event.data)
        if event.name == "token":
            self._append_token(fields)
        elif event.name == "end":
            self.answer = self._read_end(fields, leaving)

    def _append_token(self, fields: dict[str, Any]) -> None:
        if fields.get("attempt") != self._call.attempt_id:
            raise AnswerError(FailureKind.MISMATCHED, "token of another attempt")
        offset, text = fields.get("offset"), fields.get("text")
        if not isinstance(text, str) or type(offset) is not int:
            raise AnswerError(FailureKind.TARGET_ERROR, "token without text or offset")
        if offset != len(self.tokens):
            message = f"token at offset {offset}, expected {len(self.tokens)}"
            raise AnswerError(FailureKind.DISCONNECTED, message)
        self.tokens.append(text)
        if self._listener is not None:
            self._listener(offset, text)

    def _read_end(self, fields: dict[str, Any], leaving: bool) -> StageAnswer:
        _check_ids(self._call, fields)
        if fields.get("count") != len(self.tokens):
            message = f"got {len(self.tokens)} of {fields.get('count')!r:.40} tokens"
            raise AnswerError(FailureKind.DISCONNECTED, message)
        output = "".join(self.tokens)
        digest = xxhash.xxh64_hexdigest(output.encode("utf-8", "surrogatepass"))
        if fields.get("digest") != digest:
            raise AnswerError(
                FailureKind.DISCONNECTED, "digest of the tokens does not match"
            )
        return StageAnswer(
            output=output,
            tokens=tuple(self.tokens),
            cost=_read_cost(fields),
            leaving=leaving,
        )


def _check_ids(call: StageCall, fields: dict[str, Any]) -> None:
    expected = (call.attempt_id, call.request_id, call.stage)
    found = (fields.get("attempt"), fields.get("request"), fields.get("stage"))
    if found == expected:
        return
    # only the ids tell a late answer to an earlier call on the same connection from
    # the answer to this one: the caller would get the result of another request
    message = f"answer of another call: {str(found)[:MAX_SHOWN]}"
    raise AnswerError(FailureKind.MISMATCHED, message)


def _parse(body: bytes) -> dict[str, Any]:
    try:
        # ``json.loads`` would detect the encoding again for each token
        fields = _DECODER.decode(body.decode("utf-8", "surrogatepass"))
    except (ValueError, RecursionError) as error:
        message = f"answer is not valid JSON: {str(error)[:MAX_SHOWN]}"
        raise AnswerError(FailureKind.TARGET_ERROR, message) from error
    if not isinstance(fields, dict):
        raise AnswerError(FailureKind.TARGET_ERROR, "answer is not a JSON object")
    return fields


def _parse_or_empty(body: bytes) -> dict[str, Any]:
    try:
        return _parse(body)
    except AnswerError:
        return {}


def _read_cost(fields: dict[str, Any]) -> float:
    milliseconds = _read_milliseconds(fields.get("cost_ms"))
    return (milliseconds or 0) / 1000


def _read_milliseconds(value: Any) -> int | None:
    if type(value) not in (int, float) or not 0 <= value < MAX_MILLISECONDS:
        return None
    return round(value)
