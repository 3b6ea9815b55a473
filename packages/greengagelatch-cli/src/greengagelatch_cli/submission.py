"""Submission of a change, and search for its outcome if the reply is lost."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any
from urllib.parse import quote

from result import Err, Ok, Result

from .client import CallFailure, Client, FailureKind, Reply
from .exit_codes import ExitCode

if TYPE_CHECKING:
    from .output import Output

__all__ = ("SubmissionResult", "find_change", "submit")

CHANGES_PATH = "/changes"

#: seconds in which the outcome of a change whose reply was lost is looked up, and
#: seconds between two look-ups
LOOKUP_TIMEOUT = 10.0
LOOKUP_INTERVAL = 0.5

STATUS_NOT_APPLIED = 503


@dataclass(frozen=True, slots=True, kw_only=True)
class SubmissionResult:
    """Outcome of a submitted change."""

    code: ExitCode
    change_id: str
    #: last reply about the change, if any
    reply: Reply | None = None
    failures: tuple[CallFailure, ...] = field(default=())

    def as_dict(self) -> dict[str, Any]:
        """Return the outcome for JSON output, based on the server's reply if any."""
        if self.code is ExitCode.UNKNOWN:
            data: dict[str, Any] = {"state": "unknown"}
        elif self.reply is not None:
            data = dict(self.reply.body)
        else:
            data = {"state": "unreachable"}
        data.setdefault("change_id", self.change_id)
        if self.failures:
            data["failures"] = [str(failure) for failure in self.failures]
        return data


async def submit(
    client: Client, change: Mapping[str, Any], output: Output, *, new_id: bool
) -> SubmissionResult:
    """Send ``change`` to the first server that accepts it.

    No further server is tried after one that may have received the change: if it
    were sent to another one too, the operator could not tell which of the two
    replies is valid. Its outcome is then looked up by the change's id.

    :param new_id: whether the id was generated for this change; an id given by the
        operator may have been used before
    """
    change_id = change["change_id"]
    failures: list[CallFailure] = []
    not_applied: Reply | None = None
    for server in client.servers:
        match await client.call(server, "POST", CHANGES_PATH, body=change):
            case Err(failure):
                failures.append(failure)
                if failure.kind is FailureKind.NOT_SENT:
                    continue
                return await _look_up_outcome(client, change, failures, output, new_id)
            case Ok(reply):
                if reply.status == STATUS_NOT_APPLIED and reply.state == "not-applied":
                    not_applied = reply
                    continue
                code = _find_exit_code(reply)
                if code is ExitCode.UNKNOWN:
                    return await _look_up_outcome(
                        client, change, failures, output, new_id
                    )
                return SubmissionResult(
                    code=code,
                    change_id=change_id,
                    reply=reply,
                    failures=tuple(failures),
                )
    return SubmissionResult(
        code=ExitCode.UNREACHABLE,
        change_id=change_id,
        reply=not_applied,
        failures=tuple(failures),
    )


async def find_change(
    client: Client, change_id: str, *, query_instances: bool = False
) -> Result[Reply, tuple[CallFailure, ...]]:
    """Return the most conclusive reply of any server about a change.

    An instance may lag behind the others, so "not found" from one of them does not
    end the search, while "settled" from any of them does.

    :param query_instances: whether the server queries the other instances again
        for whether the change is in force there
    """
    query = {"ask": "yes"} if query_instances else None
    failures = []
    best_reply: Reply | None = None
    for server in client.servers:
        path = f"{CHANGES_PATH}/{quote(change_id, safe='')}"
        match await client.call(server, "GET", path, query=query):
            case Err(failure):
                failures.append(failure)
            case Ok(reply):
                if reply.state == "settled":
                    return Ok(reply)
                if best_reply is None or reply.status < best_reply.status:
                    best_reply = reply
    if best_reply is not None:
        return Ok(best_reply)
    return Err(tuple(failures))


async def _look_up_outcome(
    client: Client,
    change: Mapping[str, Any],
    failures: list[CallFailure],
    output: Output,
    new_id: bool,
) -> SubmissionResult:
    change_id = change["change_id"]
    deadline = time.monotonic() + LOOKUP_TIMEOUT
    code, reply = ExitCode.UNKNOWN, None
    while True:
        output.show_progress(f"reply lost, looking up change {change_id}")
        result = await find_change(client, change_id)
        if isinstance(result, Ok):
            reply = result.ok_value
            if reply.state == "settled" and new_id:
                code = ExitCode.OK
            elif reply.state == "settled":
                code, reply = await _verify_change_id(client, change, reply)
        if code is not ExitCode.UNKNOWN or time.monotonic() >= deadline:
            break
        await asyncio.sleep(LOOKUP_INTERVAL)
    return SubmissionResult(
        code=code, change_id=change_id, reply=reply, failures=tuple(failures)
    )


async def _verify_change_id(
    client: Client, change: Mapping[str, Any], lookup_reply: Reply
) -> tuple[ExitCode, Reply]:
    """Check whether a settled id belongs to this change or to an earlier one.

    The look-up by id can't tell them apart, and this change would be reported as
    accepted even if an earlier one had used its id. Sending the change again tells
    them apart; it can't take effect, as its id is already settled.
    """
    result = await client.call(lookup_reply.server, "POST", CHANGES_PATH, body=change)
    if isinstance(result, Err):
        return ExitCode.UNKNOWN, lookup_reply
    return _find_exit_code(result.ok_value), result.ok_value


def _find_exit_code(reply: Reply) -> ExitCode:
    if reply.status == 200 and reply.state in ("settled", "checked"):
        return ExitCode.OK
    if reply.state == "conflict":
        return ExitCode.CONFLICT
    if 400 <= reply.status < 500:
        return ExitCode.REFUSED
    return ExitCode.UNKNOWN
