"""HTTP responses to operators' configuration changes."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import asdict
from typing import Any

from aiohttp import web

from greengagelatch.config.problems import Problem
from greengagelatch.config.requests import (
    ChangeOutcome,
    ChangeRequest,
    Checked,
    Conflict,
    Conflicted,
    Difference,
    NotApplied,
    Refused,
    RefusedCode,
    Settled,
    Unsettled,
)

__all__ = ("create_json_response", "create_outcome_response", "describe_problems")

#: milliseconds after which a change that was not applied may be retried
RETRY_AFTER_MS = 1000

_REFUSED_STATUS = {
    RefusedCode.INVALID: 400,
    RefusedCode.UNKNOWN_GENERATION: 404,
    RefusedCode.CHANGE_ID_REUSED: 409,
}


def create_json_response(body: dict[str, Any], *, status: int = 200) -> web.Response:
    """Return a JSON response; ``retry_after_ms`` also sets ``Retry-After``."""
    headers = {}
    retry_after_ms = body.get("retry_after_ms")
    if retry_after_ms is not None:
        headers["Retry-After"] = str(-(-retry_after_ms // 1000))
    return web.json_response(body, status=status, headers=headers)


def describe_problems(change_id: str, problems: Iterable[Problem]) -> dict[str, Any]:
    """Return the response body that lists all problems of a request."""
    rows = [asdict(problem) for problem in problems]
    return {
        "state": "refused",
        "change_id": change_id,
        "code": RefusedCode.INVALID.value,
        "problems": rows,
    }


def create_outcome_response(
    request: ChangeRequest, outcome: ChangeOutcome
) -> web.Response:
    """Return the response that reports the outcome of a change."""
    change_id = request.change_id
    body: dict[str, Any] = {"change_id": change_id}
    match outcome:
        case Settled():
            body["state"] = "settled"
            body["generation"] = outcome.generation
            body["repeated"] = outcome.repeated
            body["changed"] = list(outcome.changed)
            return create_json_response(body)
        case Checked():
            body["state"] = "checked"
            body["generation"] = outcome.generation
            body["changed"] = [_describe_difference(item) for item in outcome.changed]
            return create_json_response(body)
        case Conflicted():
            body["state"] = "conflict"
            body["generation"] = outcome.generation
            body["conflicts"] = [_describe_conflict(item) for item in outcome.conflicts]
            return create_json_response(body, status=409)
        case Refused():
            return _describe_refusal(change_id, outcome)
        case NotApplied():
            body["state"] = "not-applied"
            body["message"] = outcome.message
            body["base"] = outcome.base
            body["retry_after_ms"] = RETRY_AFTER_MS
            return create_json_response(body, status=503)
        case Unsettled():
            body["state"] = "unknown"
            body["message"] = outcome.message
            body["base"] = outcome.base
            return create_json_response(body, status=504)


def _describe_refusal(change_id: str, outcome: Refused) -> web.Response:
    body = describe_problems(change_id, outcome.problems)
    body["code"] = outcome.code.value
    body["message"] = outcome.message
    if outcome.code is RefusedCode.UNKNOWN_GENERATION:
        body["oldest"] = outcome.oldest
    return create_json_response(body, status=_REFUSED_STATUS[outcome.code])


def _describe_difference(item: Difference) -> dict[str, Any]:
    return {"object": item.object_id, "before": item.before, "after": item.after}


def _describe_conflict(item: Conflict) -> dict[str, Any]:
    return {
        "object": item.object_id,
        "base": item.base,
        "yours": item.yours,
        "generation": item.generation,
        "change_id": item.change_id,
        "current": item.current,
    }
