"""Parses and validates callers' HTTP requests."""

from __future__ import annotations

import hashlib
import json
from collections.abc import Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from result import Err, Ok, Result

from greengagelatch.errors import Refusal, RefusalCode
from greengagelatch.identity import create_id
from greengagelatch.request import Request

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
FIRST_HEADER = "X-First-Attempt"

INPUT_FIELD = "input"
STREAM_FIELD = "stream"
BODY_FIELDS = frozenset({INPUT_FIELD, STREAM_FIELD})

#: maximum characters of an invalid value that a refusal shows
MAX_SHOWN = 64
#: maximum digits of a deadline; longer ones are rejected without being parsed
MAX_DEADLINE_DIGITS = 12
DIGEST_BYTES = 16

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


class _BadFieldError(Exception):
    def __init__(self, field: str, value: Any, message: str) -> None:
        super().__init__(message)
        self.refusal = Refusal(
            code=RefusalCode.BAD_REQUEST,
            message=message,
            field=field,
            value=_shorten(value),
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

    def parse(self, arrival: ReceivedRequest) -> Result[Request, Refusal]:
        """Return the request, or a refusal that names the invalid field."""
        try:
            return Ok(self._read(arrival))
        except _BadFieldError as error:
            return Err(error.refusal)

    def _read(self, arrival: ReceivedRequest) -> Request:
        headers = arrival.headers
        workspace = headers.get(WORKSPACE_HEADER, "")
        if not workspace:
            raise _BadFieldError(WORKSPACE_HEADER, "", "the workspace is required")
        budget = self._read_budget(arrival)
        key = self._read_key(headers)
        repeatable = _read_flag(headers, REPEATABLE_HEADER, True)
        first = _read_flag(headers, FIRST_HEADER, False)
        fields = self._read_body(arrival.body)
        stream = fields.get(STREAM_FIELD, False)
        if not isinstance(stream, bool):
            raise _BadFieldError(STREAM_FIELD, stream, "must be true or false")
        given = fields[INPUT_FIELD]
        return Request(
            request_id=arrival.request_id,
            workspace=workspace,
            pipeline=arrival.pipeline,
            input=given,
            received=arrival.received,
            deadline=arrival.received + budget / 1000,
            repeatable=repeatable,
            key=key,
            digest=_digest(workspace, arrival.pipeline, fields) if key else "",
            first_attempt=first,
            stream=stream,
        )

    def _read_budget(self, arrival: ReceivedRequest) -> int:
        text = arrival.headers.get(DEADLINE_HEADER)
        if text is None:
            pipeline = self._snapshot().pipelines.get(arrival.pipeline)
            budget = pipeline.default_deadline_ms if pipeline is not None else 0
            # the configuration check that follows refuses an unknown pipeline
            if budget > 0 or pipeline is None:
                return budget
            message = "required, as the pipeline has no default deadline"
            raise _BadFieldError(DEADLINE_HEADER, "", message)
        number = text.strip()
        well_formed = number.isascii() and number.isdigit()
        if not well_formed or len(number) > MAX_DEADLINE_DIGITS:
            message = "must be a whole number of milliseconds"
            raise _BadFieldError(DEADLINE_HEADER, text, message)
        budget = int(number)
        limit = self._limits.max_deadline_ms
        if not 1 <= budget <= limit:
            message = f"must be between 1 and {limit} milliseconds"
            raise _BadFieldError(DEADLINE_HEADER, text, message)
        return budget

    def _read_key(self, headers: Mapping[str, str]) -> str:
        key = headers.get(KEY_HEADER)
        if key is None:
            return ""
        limit = self._limits.max_key_length
        if not 1 <= len(key) <= limit or not key.isascii() or not key.isprintable():
            message = f"must be 1 to {limit} printable ASCII characters"
            raise _BadFieldError(KEY_HEADER, key, message)
        return key

    def _read_body(self, body: bytes) -> dict[str, Any]:
        try:
            fields = _DECODER.decode(body.decode("utf-8"))
        except RecursionError:
            raise _BadFieldError("body", "", "nested too deeply to be parsed") from None
        except ValueError as error:
            message = f"not JSON: {str(error)[:MAX_SHOWN]}"
            shown = body[:MAX_SHOWN].decode("utf-8", "replace")
            raise _BadFieldError("body", shown, message) from None
        if not isinstance(fields, dict):
            raise _BadFieldError("body", fields, "must be a JSON object")
        for name in fields:
            if name not in BODY_FIELDS:
                raise _BadFieldError(name[:MAX_SHOWN], fields[name], "unknown field")
        if INPUT_FIELD not in fields:
            raise _BadFieldError(INPUT_FIELD, "", "the input is required")
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
                raise _BadFieldError("body", "", message)
            below: list[Any] = []
            for value in level:
                children = value.values() if isinstance(value, dict) else value
                below.extend(c for c in children if isinstance(c, (dict, list)))
            level = below


def _read_flag(headers: Mapping[str, str], name: str, default: bool) -> bool:
    text = headers.get(name)
    if text is None:
        return default
    value = _YES_NO.get(text.strip().lower())
    if value is None:
        raise _BadFieldError(name, text, "must be yes or no")
    return value


def _refuse_constant(name: str) -> float:
    raise ValueError(f"{name} is not a JSON number")


_DECODER = json.JSONDecoder(parse_constant=_refuse_constant)


def _digest(workspace: str, pipeline: str, fields: dict[str, Any]) -> str:
    described = [workspace, pipeline, fields[INPUT_FIELD]]
    text = json.dumps(described, sort_keys=True, separators=(",", ":"))
    return hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES).hexdigest()


def _shorten(value: Any) -> str:
    text = value if isinstance(value, str) else json.dumps(value)
    return text[:MAX_SHOWN]
