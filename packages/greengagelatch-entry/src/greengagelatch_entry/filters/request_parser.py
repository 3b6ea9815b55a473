"""Parses and validates callers' HTTP requests."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from result import Err, Ok, Result

from greengagelatch.errors import Refusal, RefusalCode
from greengagelatch.identity import create_id
from greengagelatch.request import Request

from ..request_digests import compute_digest

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from greengagelatch.clock import Clock
    from greengagelatch.config.snapshot import Snapshot

__all__ = ("ReceivedRequest", "RequestParser", "RequestLimits")

WORKSPACE_HEADER = "X-Workspace"
DEADLINE_HEADER = "X-Deadline-Ms"
KEY_HEADER = "Idempotency-Key"
REPEATABLE_HEADER = "X-Repeatable"
FIRST_ATTEMPT_HEADER = "X-First-Attempt"

INPUT_FIELD = "input"
STREAM_FIELD = "stream"
BODY_FIELDS = frozenset({INPUT_FIELD, STREAM_FIELD})

#: maximum characters of an invalid value that a refusal shows
MAX_SHOWN_CHARS = 64
#: maximum digits of a deadline; longer ones are rejected without being parsed
MAX_DEADLINE_DIGITS = 12

_YES_NO = {"yes": True, "no": False}


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestLimits:
    """Limits on the content of requests."""

    #: maximum deadline in milliseconds
    max_deadline_ms: int = 600_000
    #: maximum nesting depth of arrays and objects in a body
    max_depth: int = 64
    #: maximum characters of an ``Idempotency-Key``
    max_key_length: int = 200


@dataclass(frozen=True, slots=True, kw_only=True)
class ReceivedRequest:
    """A request as received from the caller, before validation."""

    request_id: str
    pipeline: str
    headers: Mapping[str, str]
    body: bytes
    #: time of receipt in monotonic seconds
    received: float


class _InvalidFieldError(Exception):
    def __init__(self, field: str, value: Any, message: str) -> None:
        super().__init__(message)
        self.refusal = Refusal(
            code=RefusalCode.BAD_REQUEST,
            message=message,
            field=field,
            value=_truncate(value),
        )


class RequestParser:
    """Validates received requests and creates request ids.

    :param snapshot: returns the active configuration
    """

    def __init__(
        self,
        *,
        clock: Clock,
        random_source: random.Random,
        snapshot: Callable[[], Snapshot],
        limits: RequestLimits | None = None,
    ) -> None:
        self._clock = clock
        self._random = random_source
        self._snapshot = snapshot
        self._limits = limits or RequestLimits()

    def create_request_id(self) -> str:
        """Return a new unique request id."""
        return create_id("request", self._random)

    def parse(self, received_request: ReceivedRequest) -> Result[Request, Refusal]:
        """Return the request, or a refusal that names the invalid field."""
        try:
            return Ok(self._parse_request(received_request))
        except _InvalidFieldError as error:
            return Err(error.refusal)

    def _parse_request(self, received_request: ReceivedRequest) -> Request:
        headers = received_request.headers
        workspace = headers.get(WORKSPACE_HEADER, "")
        if not workspace:
            raise _InvalidFieldError(WORKSPACE_HEADER, "", "the workspace is required")
        budget = self._parse_deadline_ms(received_request)
        key = self._parse_key(headers)
        repeatable = _parse_flag(headers, REPEATABLE_HEADER, True)
        first = _parse_flag(headers, FIRST_ATTEMPT_HEADER, False)
        fields = self._parse_body(received_request.body)
        stream = fields.get(STREAM_FIELD, False)
        if not isinstance(stream, bool):
            raise _InvalidFieldError(STREAM_FIELD, stream, "must be true or false")
        pipeline, pipeline_input = received_request.pipeline, fields[INPUT_FIELD]
        return Request(
            request_id=received_request.request_id,
            workspace=workspace,
            pipeline=pipeline,
            input=pipeline_input,
            received=received_request.received,
            deadline=received_request.received + budget / 1000,
            repeatable=repeatable,
            key=key,
            digest=compute_digest(workspace, pipeline, pipeline_input) if key else "",
            first_attempt=first,
            stream=stream,
        )

    def _parse_deadline_ms(self, received_request: ReceivedRequest) -> int:
        text = received_request.headers.get(DEADLINE_HEADER)
        if text is None:
            pipeline = self._snapshot().pipelines.get(received_request.pipeline)
            budget = pipeline.default_deadline_ms if pipeline is not None else 0
            # the configuration check that follows refuses an unknown pipeline
            if budget > 0 or pipeline is None:
                return budget
            message = "required, as the pipeline has no default deadline"
            raise _InvalidFieldError(DEADLINE_HEADER, "", message)
        number = text.strip()
        well_formed = number.isascii() and number.isdigit()
        if not well_formed or len(number) > MAX_DEADLINE_DIGITS:
            message = "must be a whole number of milliseconds"
            raise _InvalidFieldError(DEADLINE_HEADER, text, message)
        budget = int(number)
        limit = self._limits.max_deadline_ms
        if not 1 <= budget <= limit:
            message = f"must be between 1 and {limit} milliseconds"
            raise _InvalidFieldError(DEADLINE_HEADER, text, message)
        return budget

    def _parse_key(self, headers: Mapping[str, str]) -> str:
        key = headers.get(KEY_HEADER)
        if key is None:
            return ""
        limit = self._limits.max_key_length
        if not 1 <= len(key) <= limit or not key.isascii() or not key.isprintable():
            message = f"must be 1 to {limit} printable ASCII characters"
            raise _InvalidFieldError(KEY_HEADER, key, message)
        return key

    def _parse_body(self, body: bytes) -> dict[str, Any]:
        try:
            fields = _DECODER.decode(body.decode("utf-8"))
        except RecursionError:
            raise _InvalidFieldError(
                "body", "", "nested too deeply to be parsed"
            ) from None
        except ValueError as error:
            message = f"not JSON: {str(error)[:MAX_SHOWN_CHARS]}"
            shown = body[:MAX_SHOWN_CHARS].decode("utf-8", "replace")
            raise _InvalidFieldError("body", shown, message) from None
        if not isinstance(fields, dict):
            raise _InvalidFieldError("body", fields, "must be a JSON object")
        for name in fields:
            if name not in BODY_FIELDS:
                raise _InvalidFieldError(
                    name[:MAX_SHOWN_CHARS], fields[name], "unknown field"
                )
        if INPUT_FIELD not in fields:
            raise _InvalidFieldError(INPUT_FIELD, "", "the input is required")
        self._check_depth(body, fields)
        return fields

    def _check_depth(self, body: bytes, fields: dict[str, Any]) -> None:
        limit = self._limits.max_depth
        # fast path: the depth can't exceed the number of opening brackets
        if body.count(b"{") + body.count(b"[") <= limit:
            return
        level: list[Any] = [fields]
        depth = 0
        while level:
            depth += 1
            if depth > limit:
                message = f"nested deeper than {limit} levels"
                raise _InvalidFieldError("body", "", message)
            next_level: list[Any] = []
            for value in level:
                children = value.values() if isinstance(value, dict) else value
                next_level.extend(c for c in children if isinstance(c, (dict, list)))
            level = next_level


def _parse_flag(headers: Mapping[str, str], name: str, default: bool) -> bool:
    text = headers.get(name)
    if text is None:
        return default
    value = _YES_NO.get(text.strip().lower())
    if value is None:
        raise _InvalidFieldError(name, text, "must be yes or no")
    return value


def _reject_constant(name: str) -> float:
    raise ValueError(f"{name} is not a JSON number")


_DECODER = json.JSONDecoder(parse_constant=_reject_constant)


def _truncate(value: Any) -> str:
    text = value if isinstance(value, str) else json.dumps(value)
    return text[:MAX_SHOWN_CHARS]
