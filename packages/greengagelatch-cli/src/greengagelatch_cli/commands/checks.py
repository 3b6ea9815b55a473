"""Command that validates files without a server."""

from __future__ import annotations

from dataclasses import asdict
from enum import Enum
from typing import TYPE_CHECKING

from cleo.helpers import argument, option
from result import Err

from greengagelatch import settings
from greengagelatch.config.ini import parse_objects
from greengagelatch.config.names import identify
from greengagelatch.config.sections import split_sections
from greengagelatch.config.validation import find_problems

from ..exit_codes import ExitCode
from . import OperatorCommand, UsageError
from .submit_command import read_input

if TYPE_CHECKING:
    from collections.abc import Sequence

    from greengagelatch.config.problems import Problem

__all__ = ("Check",)

#: separates kind and name in the section title of an object
TITLE_SEPARATOR = ":"


class FileContent(Enum):
    """Type of the content of a file."""

    AUTO = "auto"
    SETTINGS = "settings"
    OBJECTS = "objects"


class Check(OperatorCommand):
    """Validates a file of settings or of objects."""

    name = "check"
    description = "Validate a file of settings or objects, without a server."
    arguments = (argument("file", "INI file; - is standard input."),)
    options = (
        option(
            "as",
            None,
            "Content of the file: settings, objects or auto.",
            flag=False,
            default="auto",
        ),
        option(
            "complete",
            None,
            "The file holds all objects: validate references between them too.",
        ),
    )

    def run_command(self) -> ExitCode:
        path = self.argument("file")
        text = read_input(path)
        content = self._read_content_option()
        if content is FileContent.AUTO:
            content = _detect_content(text)
        if content is FileContent.SETTINGS:
            return self._check_settings(path, text)
        return self._check_objects(path, text)

    def _check_settings(self, path: str, text: str) -> ExitCode:
        checked = settings.parse(text)
        if isinstance(checked, Err):
            error = checked.err_value
            data = {"state": "refused", "problems": [{"file": path, **asdict(error)}]}
            self.output.show_error(f"{path}: {error}", data)
            return ExitCode.REFUSED
        self.output.show(f"{path}: settings are valid", {"state": "checked"})
        return ExitCode.OK

    def _check_objects(self, path: str, text: str) -> ExitCode:
        parsed = parse_objects(text, path)
        if isinstance(parsed, Err):
            return self._report_problems(parsed.err_value)
        objects = {identify(item): item for item in parsed.ok_value}
        if self.option("complete"):
            problems = find_problems(objects, path)
            if problems:
                return self._report_problems(problems)
        line = f"{path}: {len(objects)} objects are valid"
        self.output.show(line, {"state": "checked", "objects": len(objects)})
        return ExitCode.OK

    def _report_problems(self, problems: Sequence[Problem]) -> ExitCode:
        lines = "\n".join(str(problem) for problem in problems)
        data = {
            "state": "refused",
            "problems": [asdict(problem) for problem in problems],
        }
        self.output.show_error(lines, data)
        return ExitCode.REFUSED

    def _read_content_option(self) -> FileContent:
        text = self.option("as")
        try:
            return FileContent(text)
        except ValueError as error:
            msg = f"--as = {text!r}: must be settings, objects or auto"
            raise UsageError(msg) from error


def _detect_content(text: str) -> FileContent:
    sections, _ = split_sections(text, "")
    setting_groups = {setting.name.partition(".")[0] for setting in settings.SETTINGS}
    for section in sections:
        if TITLE_SEPARATOR in section.title:
            return FileContent.OBJECTS
        if section.title in setting_groups:
            return FileContent.SETTINGS
    return FileContent.OBJECTS
