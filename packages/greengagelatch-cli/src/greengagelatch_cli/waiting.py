"""Wait until a change is in force on every entry instance."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Any

from result import Ok

from .exit_codes import ExitCode
from .submission import find_change

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from .client import Client, Reply
    from .output import Output

__all__ = ("wait_until_in_force",)

#: seconds between two queries
POLL_INTERVAL = 0.5

STATE_DEAD = "dead"


async def wait_until_in_force(
    client: Client, change_id: str, *, timeout: float, output: Output
) -> ExitCode:
    """Wait until every known entry instance reports the change as in force.

    Unreachable instances count too: one behind a network partition may still serve
    callers with the previous configuration.
    """
    deadline = time.monotonic() + timeout
    reply: Reply | None = None
    while True:
        result = await find_change(client, change_id, query_instances=True)
        if isinstance(result, Ok):
            reply = result.ok_value
        members = _list_members(reply)
        unconfirmed = [member for member in members if not member.get("in_force")]
        if members and not unconfirmed:
            output.show(f"in force on all {len(members)} entry instances", reply.body)
            return ExitCode.OK
        output.show_progress(_describe_progress(change_id, members, unconfirmed))
        if time.monotonic() >= deadline:
            break
        await asyncio.sleep(POLL_INTERVAL)
    return _report_timeout(change_id, reply, unconfirmed, timeout, output)


def _list_members(reply: Reply | None) -> Sequence[Mapping[str, Any]]:
    if reply is None or reply.state != "settled":
        return ()
    return reply.body.get("in_force", ())


def _describe_progress(
    change_id: str,
    members: Sequence[Mapping[str, Any]],
    unconfirmed: Sequence[Mapping[str, Any]],
) -> str:
    if not members:
        return f"change {change_id}: acceptance not confirmed yet"
    confirmed = len(members) - len(unconfirmed)
    return f"in force on {confirmed} of {len(members)}"


def _report_timeout(
    change_id: str,
    reply: Reply | None,
    unconfirmed: Sequence[Mapping[str, Any]],
    timeout: float,
    output: Output,
) -> ExitCode:
    if reply is None or reply.state != "settled":
        body = dict(reply.body) if reply else {"state": "unreachable"}
        output.show_error(
            f"change {change_id}: acceptance not confirmed within {timeout:g} s", body
        )
        return ExitCode.UNKNOWN if reply else ExitCode.UNREACHABLE
    lines = [f"change {change_id}: accepted, but within {timeout:g} s not in force on:"]
    for member in unconfirmed:
        suffix = ", unreachable" if member["state"] == STATE_DEAD else ""
        generation = member.get("generation")
        lines.append(
            f"  {member['instance']} ({member['data_centre']}): {member['state']}"
            f"{suffix}, generation {'?' if generation is None else generation}"
        )
    output.show_error("\n".join(lines), reply.body)
    return ExitCode.TIMED_OUT
