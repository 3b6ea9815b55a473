"""Commands for objects: apply, get, diff, delete."""

from __future__ import annotations

import difflib
from typing import TYPE_CHECKING, Any

from cleo.helpers import argument, option
from result import Err

from greengagelatch.config.names import ObjectKind

from ..exit_codes import ExitCode
from ..messages import describe_conflict
from . import ServerCommand, UsageError
from .submit_command import SUBMIT_OPTIONS, SubmitCommand, parse_base, read_input

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from ..client import Client, Reply

__all__ = ("KINDS", "Apply", "Delete", "Diff", "Get", "check_kind", "read_objects")

KINDS = tuple(kind.value for kind in ObjectKind)

OBJECTS_PATH = "/objects"


class Apply(SubmitCommand):
    """Creates or replaces the objects in files."""

    name = "apply"
    description = "Create or replace objects; each file is one atomic change."
    arguments = (
        argument("file", "INI file of objects; - is standard input.", multiple=True),
    )
    options = SUBMIT_OPTIONS

    async def prepare(self, client: Client) -> Sequence[Mapping[str, Any]] | ExitCode:
        paths = self.argument("file")
        if len(paths) > 1 and self.option("change-id"):
            msg = f"--change-id identifies one change, but {len(paths)} files are given"
            raise UsageError(msg)
        # all files are read first, so that a wrong name fails before any change is sent
        return [_create_change(path) for path in paths]


class Diff(ServerCommand):
    """Shows what applying a file would change."""

    name = "diff"
    description = "Show what applying a file would change; nothing is changed."
    arguments = (argument("file", "INI file of objects; - is standard input."),)

    async def run_with_client(self, client: Client) -> ExitCode:
        change = {
            **_create_change(self.argument("file")),
            "change_id": "diff",
            "dry_run": True,
        }
        failures = []
        for server in client.servers:
            # a dry run changes nothing, so after a failure the next server is tried
            match await client.call(server, "POST", "/changes", body=change):
                case Err(failure):
                    failures.append(failure)
                    continue
                case result:
                    return self._show(result.ok_value)
        return self.show_unreachable(failures)

    def _show(self, reply: Reply) -> ExitCode:
        if reply.state == "conflict":
            self.output.show_error(describe_conflict(reply.body), reply.body)
            return ExitCode.CONFLICT
        if reply.state != "checked":
            return self.show_refusal(reply)
        changed = reply.body.get("changed", ())
        text = "".join(_format_diff(item) for item in changed) or "no change\n"
        self.output.show(text.rstrip("\n"), reply.body)
        return ExitCode.OK


class Get(ServerCommand):
    """Prints objects in the format that ``apply`` reads."""

    name = "get"
    description = "Print objects as INI, in the format that apply reads."
    arguments = (
        argument("kind", f"One of {', '.join(KINDS)}.", optional=True),
        argument("name", "Name of one object.", optional=True),
    )
    options = (
        option("selector", None, "Label selector, such as tier=gold.", flag=False),
    )

    async def run_with_client(self, client: Client) -> ExitCode:
        kind, name = self.argument("kind"), self.argument("name")
        if kind is not None:
            check_kind(kind)
        query = {"kind": kind, "name": name, "selector": self.option("selector")}
        query = {key: value for key, value in query.items() if value is not None}
        reply = await read_objects(self, client, query)
        if isinstance(reply, ExitCode):
            return reply
        objects = reply.body["objects"]
        if name is not None and not objects:
            self.output.show_error(f"{reply.server}: no {kind} {name!r}", reply.body)
            return ExitCode.REFUSED
        self.output.show(_format_objects(reply.body), reply.body)
        return ExitCode.OK


class Delete(SubmitCommand):
    """Deletes an object."""

    name = "delete"
    description = "Delete an object."
    arguments = (
        argument("kind", f"One of {', '.join(KINDS)}."),
        argument("name", "Name of the object."),
    )
    options = SUBMIT_OPTIONS

    async def prepare(self, client: Client) -> Sequence[Mapping[str, Any]] | ExitCode:
        kind = check_kind(self.argument("kind"))
        return ({"mode": "delete", "names": [f"{kind}/{self.argument('name')}"]},)


def check_kind(kind: str) -> str:
    """Return ``kind`` if it is a kind of objects.

    :raises UsageError: if it is not
    """
    if kind not in KINDS:
        msg = f"kind = {kind!r}: must be one of {', '.join(KINDS)}"
        raise UsageError(msg)
    return kind


async def read_objects(
    command: ServerCommand, client: Client, query: Mapping[str, str]
) -> Reply | ExitCode:
    """Read objects with their texts, or report the error and return its code."""
    result = await client.read(OBJECTS_PATH, {**query, "format": "json"})
    if isinstance(result, Err):
        return command.show_unreachable(result.err_value)
    reply = result.ok_value
    if "objects" not in reply.body:
        return command.show_refusal(reply)
    return reply


def _create_change(path: str) -> Mapping[str, Any]:
    text = read_input(path)
    return {"mode": "apply", "text": text, "file": path, **parse_base(text)}


def _format_objects(body: Mapping[str, Any]) -> str:
    texts = [item["text"].strip() for item in body["objects"]]
    return "\n\n".join([f"# generation {body['generation']}", *texts])


def _format_diff(change: Mapping[str, str]) -> str:
    before = change["before"].splitlines(keepends=True)
    after = change["after"].splitlines(keepends=True)
    name = change["object"]
    return "".join(
        difflib.unified_diff(before, after, f"{name} in force", f"{name} in the file")
    )
