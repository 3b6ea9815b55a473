"""Identifiers of objects and the syntax of names."""

from __future__ import annotations

import re
from dataclasses import dataclass
from enum import Enum

from result import Err, Ok, Result

from .objects import Pipeline, Policy, Service, Workspace

__all__ = (
    "MAX_NAME_LENGTH",
    "ConfigObject",
    "ObjectId",
    "ObjectKind",
    "find_name_error",
    "identify",
    "parse_object_id",
)

MAX_NAME_LENGTH = 63

_NAME = re.compile(r"[A-Za-z0-9](?:[A-Za-z0-9._-]*[A-Za-z0-9])?")

#: any top-level object; stages are part of their pipeline
ConfigObject = Pipeline | Policy | Service | Workspace


class ObjectKind(Enum):
    """Kinds of objects, in canonical order."""

    SERVICE = "service"
    WORKSPACE = "workspace"
    PIPELINE = "pipeline"
    POLICY = "policy"


@dataclass(frozen=True, slots=True)
class ObjectId:
    """Kind and name of an object; its text is ``KIND/NAME``."""

    kind: ObjectKind
    name: str

    def __str__(self) -> str:
        return f"{self.kind.value}/{self.name}"


_KINDS = {
    Service: ObjectKind.SERVICE,
    Workspace: ObjectKind.WORKSPACE,
    Pipeline: ObjectKind.PIPELINE,
    Policy: ObjectKind.POLICY,
}


def identify(item: ConfigObject) -> ObjectId:
    """Return the id of an object."""
    return ObjectId(_KINDS[type(item)], item.name)


def parse_object_id(text: str) -> Result[ObjectId, str]:
    """Parse ``KIND/NAME``; the error is a readable reason."""
    kind, slash, name = text.partition("/")
    if not slash:
        return Err("must be KIND/NAME, as in service/stockdesk")
    kinds = [item.value for item in ObjectKind]
    if kind not in kinds:
        return Err(f"unknown kind {kind!r}; kinds are {', '.join(kinds)}")
    error = find_name_error(name)
    if error:
        return Err(error)
    return Ok(ObjectId(ObjectKind(kind), name))


def find_name_error(name: str) -> str:
    """Return why a name is invalid, or an empty string if it is valid."""
    if len(name) > MAX_NAME_LENGTH:
        return f"must be at most {MAX_NAME_LENGTH} characters long"
    if not _NAME.fullmatch(name):
        return (
            "must be letters, digits, dots, underscores and dashes, and begin and"
            " end with a letter or digit"
        )
    return ""
