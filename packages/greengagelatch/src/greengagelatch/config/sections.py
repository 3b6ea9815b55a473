"""INI text split into sections, with all its syntax errors."""

from __future__ import annotations

import configparser
from collections.abc import Mapping
from dataclasses import dataclass

from .problems import MAX_SHOWN_VALUE, Problem

__all__ = ("MAX_SYNTAX_ERRORS", "Section", "split_sections")

#: syntax errors reported at once; each costs another pass over the text
MAX_SYNTAX_ERRORS = 20

#: title given to the second section of one name while the text is read on
_REPEATED = "repeated section on line "


@dataclass(frozen=True, slots=True)
class Section:
    """A section's title and its values as text, in the order written."""

    title: str
    values: Mapping[str, str]

    @property
    def kind(self) -> str:
        """What stands before the colon of the title."""
        return self.title.partition(":")[0]

    @property
    def name(self) -> str:
        """What stands after the colon of the title; empty without one."""
        return self.title.partition(":")[2]


def split_sections(text: str, file: str) -> tuple[tuple[Section, ...], list[Problem]]:
    """Return all sections that can be read, and a problem for each syntax error.

    The parser stops at the first error of most kinds. The line at fault is then
    taken out and the text is read again, until the rest is sound.
    """
    lines = text.splitlines()
    problems: list[Problem] = []
    while len(problems) < MAX_SYNTAX_ERRORS:
        parser = _create_parser()
        try:
            parser.read_string("\n".join(lines))
        except configparser.Error as error:
            problems.extend(_take_out(error, lines, file))
            continue
        return _collect(parser), problems
    return (), problems


def _create_parser() -> configparser.RawConfigParser:
    # no title is empty, so that no section lends its values to all others; names of
    # keys are kept as written, as those of labels and parameters are
    parser = configparser.RawConfigParser(
        default_section="",
        delimiters=("=",),
        comment_prefixes=("#", ";"),
        empty_lines_in_values=False,
        strict=True,
    )
    parser.optionxform = str
    return parser


def _collect(parser: configparser.RawConfigParser) -> tuple[Section, ...]:
    sections = []
    for title in parser.sections():
        if title.startswith(_REPEATED):
            continue
        values = {key: " ".join(value.split()) for key, value in parser.items(title)}
        sections.append(Section(title.strip(), values))
    return tuple(sections)


def _take_out(error: configparser.Error, lines: list[str], file: str) -> list[Problem]:
    match error:
        case configparser.DuplicateSectionError(section=title, lineno=number):
            lines[number - 1] = f"[{_REPEATED}{number}]"
            reason = f"line {number}: the section appears twice"
            return [Problem(file=file, section=title, reason=reason)]
        case configparser.DuplicateOptionError():
            number = error.lineno
            lines[number - 1] = ""
            reason = f"line {number}: the key appears twice in the section"
            return [
                Problem(
                    file=file, section=error.section, key=error.option, reason=reason
                )
            ]
        case configparser.MissingSectionHeaderError(lineno=number, line=line):
            lines[number - 1] = ""
            return [_report_line(file, number, line, "stands before any section")]
        case configparser.ParsingError(errors=errors):
            problems = []
            for number, line in errors:
                problems.append(_report_line(file, number, line, "is not KEY = VALUE"))
                lines[number - 1] = ""
            return problems
    raise error


def _report_line(file: str, number: int, line: str, reason: str) -> Problem:
    text = line.strip().strip("'")[:MAX_SHOWN_VALUE]
    return Problem(file=file, value=text, reason=f"line {number}: {reason}")
