"""Parsing of operators' configuration changes from request bodies."""

from __future__ import annotations

import asyncio
from typing import Any

from result import Err, Ok, Result

from greengagelatch.config.ini import ParseResult, parse_incrementally
from greengagelatch.config.names import ConfigObject, ObjectId, parse_object_id
from greengagelatch.config.problems import MAX_SHOWN_VALUE, Problem
from greengagelatch.config.requests import ChangeMode, ChangeRequest, is_valid_change_id

__all__ = ("MAX_TEXT_LENGTH", "read_change")

#: maximum characters of INI text in one change
MAX_TEXT_LENGTH = 512 * 1024

#: INI sections parsed before the event loop gets control to serve requests
SECTIONS_PER_TURN = 5

#: maximum number of objects that one change may delete
MAX_NAMES = 4096

_FIELDS = frozenset(
    {
        "change_id",
        "mode",
        "text",
        "file",
        "names",
        "base",
        "to_generation",
        "dry_run",
    }
)

Problems = tuple[Problem, ...]


async def read_change(body: Any) -> Result[ChangeRequest, Problems]:
    """Parse a change from a request body, or return all problems found in it."""
    if not isinstance(body, dict):
        return Err((Problem(file="", reason="the body must be a JSON object"),))
    reader = _BodyReader(body)
    change_id = reader.read_change_id()
    mode = reader.read_mode()
    base = reader.read_number("base")
    dry_run = reader.read_flag("dry_run")
    file = reader.read_text("file")
    objects: tuple[ConfigObject, ...] = ()
    names: tuple[ObjectId, ...] = ()
    to_generation = 0
    match mode:
        case ChangeMode.APPLY:
            objects = await reader.read_objects(file)
        case ChangeMode.DELETE:
            names = reader.read_names()
        case ChangeMode.ROLLBACK:
            to_generation = reader.read_number("to_generation", required=True) or 0
    reader.check_fields()
    if reader.problems or mode is None:
        return Err(tuple(reader.problems))
    return Ok(
        ChangeRequest(
            change_id=change_id,
            mode=mode,
            objects=objects,
            names=names,
            to_generation=to_generation,
            base=base,
            file=file,
            dry_run=dry_run,
        )
    )


class _BodyReader:
    """Reads the fields of a body and collects the problems found."""

    def __init__(self, body: dict[str, Any]) -> None:
        self.problems: list[Problem] = []
        self._body = body

    def read_change_id(self) -> str:
        value = self._body.get("change_id")
        if isinstance(value, str) and is_valid_change_id(value):
            return value
        self._add("change_id", value, "must be 1 to 64 letters, digits, . _ or -")
        return ""

    def read_mode(self) -> ChangeMode | None:
        value = self._body.get("mode")
        try:
            return ChangeMode(value)
        except ValueError:
            known = ", ".join(mode.value for mode in ChangeMode)
            self._add("mode", value, f"must be one of {known}")
            return None

    def read_number(self, key: str, *, required: bool = False) -> int | None:
        value = self._body.get(key)
        if value is None and not required:
            return None
        if isinstance(value, int) and not isinstance(value, bool) and value >= 0:
            return value
        self._add(key, value, "must be a generation, an integer of at least 0")
        return None

    def read_flag(self, key: str) -> bool:
        value = self._body.get(key, False)
        if not isinstance(value, bool):
            self._add(key, value, "must be true or false")
        return value is True

    def read_text(self, key: str) -> str:
        value = self._body.get(key, "")
        if isinstance(value, str):
            return value
        self._add(key, value, "must be a string")
        return ""

    async def read_objects(self, file: str) -> tuple[ConfigObject, ...]:
        text = self.read_text("text")
        if len(text) > MAX_TEXT_LENGTH:
            reason = f"must be at most {MAX_TEXT_LENGTH} characters long"
            self._add("text", text[:MAX_SHOWN_VALUE], reason)
            return ()
        match await _parse(text, file):
            case Err(problems):
                self.problems.extend(problems)
                return ()
            case Ok(objects):
                pass
        if not objects:
            self._add("text", text[:MAX_SHOWN_VALUE], "contains no object")
        return objects

    def read_names(self) -> tuple[ObjectId, ...]:
        value = self._body.get("names")
        if not isinstance(value, list) or not 0 < len(value) <= MAX_NAMES:
            self._add("names", value, f"must be a list of 1 to {MAX_NAMES} KIND/NAME")
            return ()
        names = []
        for item in value:
            match parse_object_id(item if isinstance(item, str) else ""):
                case Err(reason):
                    self._add("names", item, reason)
                case Ok(name):
                    names.append(name)
        return tuple(dict.fromkeys(names))

    def check_fields(self) -> None:
        for key in self._body:
            if key not in _FIELDS:
                self._add(str(key), self._body[key], "unknown field")

    def _add(self, key: str, value: Any, reason: str) -> None:
        shown = "" if value is None else str(value)[:MAX_SHOWN_VALUE]
        file = self._body.get("file", "")
        self.problems.append(
            Problem(
                file=file if isinstance(file, str) else "",
                key=key,
                value=shown,
                reason=reason,
            )
        )


async def _parse(text: str, file: str) -> ParseResult:
    steps = parse_incrementally(text, file)
    count = 0
    while True:
        try:
            next(steps)
        except StopIteration as stop:
            return stop.value
        count += 1
        if count % SECTIONS_PER_TURN == 0:
            await asyncio.sleep(0)
