"""Command that sets and removes labels of an object."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING, Any

from cleo.helpers import argument
from result import Err

from greengagelatch.config.ini import parse_objects
from greengagelatch.config.ini_writer import format_object
from greengagelatch.config.names import find_name_error

from ..exit_codes import ExitCode
from . import UsageError
from .objects import KINDS, check_kind, read_objects
from .submit_command import SUBMIT_OPTIONS, SubmitCommand

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from ..client import Client

__all__ = ("Label",)

REMOVE_SUFFIX = "-"


class Label(SubmitCommand):
    """Sets and removes labels of an object.

    The whole object is written back with the generation that it was read from as
    the change's base, so that a concurrent change is a conflict, not overwritten.
    """

    name = "label"
    description = "Set (key=value) and remove (key-) labels of an object."
    arguments = (
        argument("kind", f"One of {', '.join(KINDS)}."),
        argument("name", "Name of the object."),
        argument("labels", "key=value to set, key- to remove.", multiple=True),
    )
    options = SUBMIT_OPTIONS

    async def prepare(self, client: Client) -> Sequence[Mapping[str, Any]] | ExitCode:
        kind, name = check_kind(self.argument("kind")), self.argument("name")
        edits = _parse_edits(self.argument("labels"))
        reply = await read_objects(self, client, {"kind": kind, "name": name})
        if isinstance(reply, ExitCode):
            return reply
        objects = reply.body["objects"]
        if not objects:
            self.output.show_error(f"{reply.server}: no {kind} {name!r}", reply.body)
            return ExitCode.REFUSED
        parsed = parse_objects(objects[0]["text"])
        if isinstance(parsed, Err):
            problems = "\n".join(str(problem) for problem in parsed.err_value)
            self.output.show_error(
                f"{reply.server}: sent an invalid {kind} {name!r}:\n{problems}"
            )
            return ExitCode.REFUSED
        (item,) = parsed.ok_value
        labels = _apply_edits(item.labels, edits)
        text = format_object(replace(item, labels=labels))
        base = reply.body["generation"]
        return ({"mode": "apply", "text": text, "file": "label", "base": base},)


def _parse_edits(labels: Sequence[str]) -> Mapping[str, str | None]:
    edits: dict[str, str | None] = {}
    for label in labels:
        key, separator, value = label.partition("=")
        if not separator:
            if not label.endswith(REMOVE_SUFFIX):
                msg = f"label {label!r}: must be key=value or key-"
                raise UsageError(msg)
            key, value = label.removesuffix(REMOVE_SUFFIX), None
        if key in edits:
            msg = f"label {label!r}: duplicate key {key!r}"
            raise UsageError(msg)
        # a comma or line break in a value would add other labels or keys
        for part in (key, value):
            name_error = "" if part is None else find_name_error(part)
            if name_error:
                msg = f"label {label!r}: {part!r} {name_error}"
                raise UsageError(msg)
        edits[key] = value
    return edits


def _apply_edits(
    labels: Mapping[str, str], edits: Mapping[str, str | None]
) -> Mapping[str, str]:
    edited = dict(labels)
    for key, value in edits.items():
        if value is None:
            edited.pop(key, None)
        else:
            edited[key] = value
    return edited
