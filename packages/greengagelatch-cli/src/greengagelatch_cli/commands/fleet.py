"""Commands for entry instances: status, dump, drain."""

from __future__ import annotations

import json
from collections import Counter
from typing import TYPE_CHECKING, Any

from cleo.helpers import option
from result import Err, Ok, Result

from ..client import CallFailure, FailureKind, Reply
from ..exit_codes import ExitCode
from ..output import render_table
from . import ServerCommand, UsageError

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from ..client import Client, Server

__all__ = ("Drain", "Dump", "Status")

SERVER_HEADERS = (
    "SERVER",
    "INSTANCE",
    "DATA CENTRE",
    "GENERATION",
    "READY",
    "DRAINING",
)
MEMBER_HEADERS = ("INSTANCE", "DATA CENTRE", "SEEN AS", "GENERATION")
TARGET_HEADERS = ("SERVICE", "TARGETS")

UNREACHABLE = "unreachable"

STATUS_ACCEPTED = 202


class Status(ServerCommand):
    """Shows the state of the fleet as reported by each server."""

    name = "status"
    description = "Show entry instances with their generations, and targets."

    async def run_with_client(self, client: Client) -> ExitCode:
        results = await client.read_all("/status")
        replies = [
            result.ok_value
            for result in results
            if isinstance(result, Ok) and "instance" in result.ok_value.body
        ]
        rows = [
            _describe_server(server, result)
            for server, result in zip(client.servers, results, strict=True)
        ]
        tables = [render_table(SERVER_HEADERS, rows)]
        if replies:
            tables.append(render_table(MEMBER_HEADERS, _list_members(replies)))
            tables.append(render_table(TARGET_HEADERS, _list_targets(replies[0])))
        data = {
            str(server): _get_json(result)
            for server, result in zip(client.servers, results, strict=True)
        }
        self.output.show("\n\n".join(tables), data)
        return ExitCode.OK if replies else ExitCode.UNREACHABLE


class Dump(ServerCommand):
    """Prints the internal state of each server's process."""

    name = "dump"
    description = "Print the internal state of each server's process as JSON."
    options = (
        option(
            "controller", None, "Print the state of this controller only.", flag=False
        ),
    )

    async def run_with_client(self, client: Client) -> ExitCode:
        controller = self.option("controller")
        query = {"controller": controller} if controller else None
        results = await client.read_all("/dump", query)
        data = {
            str(server): _get_json(result)
            for server, result in zip(client.servers, results, strict=True)
        }
        self.output.show(json.dumps(data, indent=2, ensure_ascii=False), data)
        statuses = {
            result.ok_value.status for result in results if isinstance(result, Ok)
        }
        if not statuses:
            return ExitCode.UNREACHABLE
        return ExitCode.OK if 200 in statuses else ExitCode.REFUSED


class Drain(ServerCommand):
    """Stops an entry instance gracefully, or marks a target as leaving."""

    name = "drain"
    description = "Stop one entry instance gracefully, or mark a target as leaving."
    options = (
        option(
            "target",
            None,
            "Mark this target as leaving instead; it gets no new requests.",
            flag=False,
        ),
    )

    async def run_with_client(self, client: Client) -> ExitCode:
        target = self.option("target")
        if target is None and len(client.servers) != 1:
            msg = "drain stops an entry instance: give exactly one --server"
            raise UsageError(msg)
        body = {} if target is None else {"target": target}
        failures: list[CallFailure] = []
        for server in client.servers:
            match await client.call(server, "POST", "/drain", body=body):
                case Ok(reply):
                    return self._report(reply)
                case Err(failure):
                    failures.append(failure)
        # draining is idempotent, so the next server is tried after a lost reply too
        if any(failure.kind is FailureKind.NO_REPLY for failure in failures):
            return self._report_unknown(failures)
        return self.show_unreachable(failures)

    def _report(self, reply: Reply) -> ExitCode:
        if reply.status != STATUS_ACCEPTED:
            return self.show_refusal(reply)
        subject = reply.body.get("target", f"entry instance at {reply.server}")
        self.output.show(f"{subject}: leaving", reply.body)
        return ExitCode.OK

    def _report_unknown(self, failures: Sequence[CallFailure]) -> ExitCode:
        lines = ["outcome unknown; the command can safely be repeated"]
        lines.extend(f"  {failure}" for failure in failures)
        data = {"state": "unknown", "failures": [str(failure) for failure in failures]}
        self.output.show_error("\n".join(lines), data)
        return ExitCode.UNKNOWN


def _describe_server(
    server: Server, result: Result[Reply, CallFailure]
) -> tuple[Any, ...]:
    if isinstance(result, Err):
        return (server, UNREACHABLE, "-", "-", "-", "-")
    body = result.ok_value.body
    if "instance" not in body:
        return (server, f"error {result.ok_value.status}", "-", "-", "-", "-")
    return (
        server,
        body["instance"],
        body["data_centre"],
        body["generation"],
        body["ready"],
        body["draining"],
    )


def _list_members(replies: Sequence[Reply]) -> list[tuple[Any, ...]]:
    """Merge the servers' member lists; differing states of a member are counted."""
    states: dict[str, Counter[str]] = {}
    details: dict[str, Mapping[str, Any]] = {}
    for reply in replies:
        for name, member in reply.body.get("members", {}).items():
            states.setdefault(name, Counter())[member["state"]] += 1
            latest = details.setdefault(name, member)
            if _get_generation(member) > _get_generation(latest):
                details[name] = member
    return [
        (
            name,
            details[name]["data_centre"],
            _join_counts(states[name]),
            details[name].get("generation"),
        )
        for name in sorted(details)
    ]


def _get_generation(member: Mapping[str, Any]) -> int:
    generation = member.get("generation")
    return -1 if generation is None else generation


def _list_targets(reply: Reply) -> list[tuple[str, str]]:
    rows = []
    for service, targets in sorted(reply.body.get("targets", {}).items()):
        counts = Counter(target["state"] for target in targets.values())
        rows.append((service, _join_counts(counts)))
    return rows


def _join_counts(counts: Counter[str]) -> str:
    if len(counts) == 1 and counts.total() == 1:
        return next(iter(counts))
    return ", ".join(f"{count} {state}" for state, count in sorted(counts.items()))


def _get_json(result: Result[Reply, CallFailure]) -> Any:
    if isinstance(result, Err):
        return {"state": UNREACHABLE, "message": result.err_value.message}
    return result.ok_value.body
