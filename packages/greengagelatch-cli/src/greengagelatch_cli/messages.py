"""Texts that describe servers' replies."""

from __future__ import annotations

from datetime import UTC, datetime
from typing import TYPE_CHECKING, Any

from .exit_codes import ExitCode

if TYPE_CHECKING:
    from collections.abc import Mapping

    from .client import Reply
    from .submission import SubmissionResult

__all__ = (
    "describe_conflict",
    "describe_failure",
    "describe_refusal",
    "describe_success",
    "describe_unknown_outcome",
    "format_time",
)


#: characters shown of a reply that is not valid JSON
MAX_SHOWN = 200


def format_time(seconds: float | None) -> str:
    """Return seconds since the Unix epoch as a date and time in UTC."""
    if seconds is None:
        return "?"
    return datetime.fromtimestamp(seconds, UTC).strftime("%Y-%m-%d %H:%M:%SZ")


def describe_refusal(reply: Reply) -> str:
    """Return lines that name each rejected field with its value."""
    body = reply.body
    lines = [f"{reply.server}: refused ({reply.status}): {body.get('message', '')}"]
    if body.get("field"):
        lines.append(f"  {body['field']} = {body.get('value', '')!r}")
    if body.get("oldest") is not None:
        lines.append(f"  the oldest retained generation is {body['oldest']}")
    for problem in body.get("problems", ()):
        lines.append(_describe_problem(problem))
    if not body:
        lines.append(f"  {reply.text.strip()[:MAX_SHOWN]}")
    return "\n".join(lines)


def _describe_problem(problem: Mapping[str, str]) -> str:
    parts = []
    if problem.get("file"):
        parts.append(f"{problem['file']}:")
    if problem.get("section"):
        parts.append(f"[{problem['section']}]")
    if problem.get("key"):
        parts.append(f"{problem['key']} = {problem.get('value', '')!r}")
    location = " ".join(parts).removesuffix(":")
    return f"  {location}: {problem.get('reason', '')}"


def describe_success(data: Mapping[str, Any]) -> str:
    """Return lines that describe an accepted change."""
    change_id, generation = data["change_id"], data.get("generation")
    if data.get("repeated"):
        return f"change {change_id} was already accepted as generation {generation}"
    lines = [f"change {change_id} accepted as generation {generation}"]
    lines.extend(f"  {name}" for name in data.get("changed", ()))
    return "\n".join(lines)


def describe_failure(submission: SubmissionResult) -> str:
    """Return lines that describe a change that may not have been accepted."""
    reply = submission.reply
    match submission.code:
        case ExitCode.UNKNOWN:
            return describe_unknown_outcome(submission.change_id)
        case ExitCode.CONFLICT if reply is not None:
            return describe_conflict(reply.body)
        case ExitCode.UNREACHABLE if reply is not None:
            message = reply.body.get("message", "")
            return f"{reply.server}: nothing took effect: {message}"
        case ExitCode.REFUSED if reply is not None:
            return describe_refusal(reply)
    lines = ["no server could be reached; nothing took effect"]
    lines.extend(f"  {failure}" for failure in submission.failures)
    return "\n".join(lines)


def describe_conflict(body: Mapping[str, Any]) -> str:
    """Return lines that show both versions of each object."""
    lines = ["conflict: nothing took effect"]
    for conflict in body.get("conflicts", ()):
        lines.append(
            f"{conflict['object']}: your edit is based on generation"
            f" {conflict['base']}, but change {conflict['change_id']} modified it in"
            f" generation {conflict['generation']}"
        )
        lines.append("current version:")
        lines.extend(f"  {line}" for line in conflict["current"].splitlines())
        lines.append("yours:")
        lines.extend(f"  {line}" for line in conflict["yours"].splitlines())
    return "\n".join(lines)


def describe_unknown_outcome(change_id: str) -> str:
    """Return lines that explain how to find an unknown outcome of a change."""
    return (
        f"outcome unknown: change {change_id} may or may not have taken effect.\n"
        f"Check with: greengagelatch change show {change_id}\n"
        f"or repeat the command with --change-id {change_id}, which is applied only"
        " once."
    )
