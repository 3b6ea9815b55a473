"""Commands for changes: show, wait, list, rollback."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from cleo.helpers import argument, option
from result import Err

from ..exit_codes import ExitCode
from ..messages import format_time
from ..output import render_table
from ..submission import CHANGES_PATH, find_change
from ..waiting import wait_until_in_force
from . import ServerCommand, UsageError
from .submit_command import SUBMIT_OPTIONS, SubmitCommand

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from ..client import Client, Reply

__all__ = ("ListChanges", "RollBack", "ShowChange", "WaitForChange")

MEMBER_HEADERS = ("INSTANCE", "DATA CENTRE", "STATE", "GENERATION", "IN FORCE")


class ShowChange(ServerCommand):
    """Shows the outcome of a change."""

    name = "change show"
    description = "Show the outcome of a change, and where it is in force."
    arguments = (argument("id", "Id of the change."),)

    async def run_with_client(self, client: Client) -> ExitCode:
        change_id = self.argument("id")
        result = await find_change(client, change_id, query_instances=True)
        if isinstance(result, Err):
            return self.show_unreachable(result.err_value)
        reply = result.ok_value
        if reply.state == "settled":
            self.output.show(_describe_change(reply.body), reply.body)
            return ExitCode.OK
        if reply.state == "not-found":
            self.output.show_error(_describe_not_found(change_id, reply), reply.body)
            return ExitCode.UNKNOWN
        if reply.state == "unknown":
            text = f"{reply.server}: outcome unknown: the store is not readable"
            self.output.show_error(text, reply.body)
            return ExitCode.UNKNOWN
        return self.show_refusal(reply)


class WaitForChange(ServerCommand):
    """Waits until a change is in force everywhere."""

    name = "change wait"
    description = "Wait until every entry instance has a change in force."
    arguments = (argument("id", "Id of the change."),)
    options = (option("timeout", None, "Seconds to wait.", flag=False, default="30"),)

    async def run_with_client(self, client: Client) -> ExitCode:
        timeout = self.read_number_option("timeout", 0)
        return await wait_until_in_force(
            client, self.argument("id"), timeout=timeout, output=self.output
        )


class ListChanges(ServerCommand):
    """Lists recent changes."""

    name = "change list"
    description = "List recent changes, newest first."
    options = (
        option(
            "limit",
            None,
            "Maximum number of changes to list.",
            flag=False,
            default="20",
        ),
    )

    async def run_with_client(self, client: Client) -> ExitCode:
        limit = int(self.read_number_option("limit", 1))
        result = await client.read(CHANGES_PATH, {"limit": str(limit)})
        if isinstance(result, Err):
            return self.show_unreachable(result.err_value)
        reply = result.ok_value
        if "changes" not in reply.body:
            return self.show_refusal(reply)
        rows = [
            (change["generation"], change["change_id"], format_time(change["time"]))
            for change in reply.body["changes"]
        ]
        table = render_table(("GENERATION", "CHANGE", "TIME"), rows)
        self.output.show(table, reply.body)
        return ExitCode.OK


class RollBack(SubmitCommand):
    """Restores the configuration of an earlier generation."""

    name = "rollback"
    description = "Restore the configuration of an earlier generation."
    arguments = (argument("generation", "Generation to restore."),)
    options = SUBMIT_OPTIONS

    async def prepare(self, client: Client) -> Sequence[Mapping[str, Any]] | ExitCode:
        text = self.argument("generation")
        if not text.isdecimal():
            msg = f"generation = {text!r}: must be a whole number"
            raise UsageError(msg)
        return ({"mode": "rollback", "to_generation": int(text)},)


def _describe_change(body: Mapping[str, Any]) -> str:
    rows = [
        (
            member["instance"],
            member["data_centre"],
            member["state"],
            member["generation"],
            member["in_force"],
        )
        for member in body.get("in_force", ())
    ]
    line = f"change {body['change_id']} accepted as generation {body['generation']}"
    if not rows:
        return line
    return f"{line}\n{render_table(MEMBER_HEADERS, rows)}"


def _describe_not_found(change_id: str, reply: Reply) -> str:
    body = reply.body
    return (
        f"change {change_id}: not in force at generation {body.get('generation')};"
        f" changes are retained since {format_time(body.get('oldest_time'))}.\n"
        "A write that is still in progress may yet take effect."
    )
