"""Splits INI text into sections and collects all syntax errors."""

from __future__ import annotations

import configparser
from collections.abc import Generator, Mapping
from dataclasses import dataclass
from typing import TypeVar

from .problems import MAX_SHOWN_VALUE, Problem

__all__ = (
    "MAX_SYNTAX_ERRORS",
    "Section",
    "run_to_end",
    "split_incrementally",
    "split_sections",
)

#: syntax errors reported at once; each costs another pass over its part of the text
MAX_SYNTAX_ERRORS = 20

#: least number of lines parsed together; a parser per section would take three times
#: as long
MIN_PART_LINES = 40

T = TypeVar("T")

#: replacement title of a duplicate section, so that parsing can continue
_DUPLICATE_TITLE = "repeated section on line "


@dataclass(frozen=True, slots=True)
class Section:
    """A section's title and its values as text, in source order."""

    title: str
    values: Mapping[str, str]

    @property
    def kind(self) -> str:
        """Part of the title before the colon."""
        return self.title.partition(":")[0]

    @property
    def name(self) -> str:
        """Part of the title after the colon; empty without one."""
        return self.title.partition(":")[2]


#: parsed sections and the errors in the text
SplitResult = tuple[tuple[Section, ...], list[Problem]]


def split_sections(text: str, file: str) -> SplitResult:
    """Return all sections that can be parsed, and a problem for each syntax error."""
    return run_to_end(split_incrementally(text, file))


def split_incrementally(text: str, file: str) -> Generator[None, None, SplitResult]:
    """Split like :func:`split_sections`, and yield after each part of the text.

    The parser stops at the first error of most kinds. The invalid line is then
    blanked and the part is parsed again.
    """
    sections: list[Section] = []
    problems: list[Problem] = []
    titles: set[str] = set()
    for first, lines in _split_parts(text):
        for section in _parse_part(lines, first, file, problems):
            if section.title in titles:
                reason = "the section appears twice"
                problem = Problem(file=file, section=section.title, reason=reason)
                problems.append(problem)
                continue
            titles.add(section.title)
            sections.append(section)
        if len(problems) >= MAX_SYNTAX_ERRORS:
            break
        yield
    return tuple(sections), problems


def run_to_end(steps: Generator[None, None, T]) -> T:
    """Run a generator to its end and return its value."""
    while True:
        try:
            next(steps)
        except StopIteration as stop:
            return stop.value


def _split_parts(text: str) -> list[tuple[int, list[str]]]:
    """Split a text before section titles into parts with their first line numbers."""
    parts: list[tuple[int, list[str]]] = [(1, [])]
    for number, line in enumerate(text.splitlines(), start=1):
        if line.startswith("[") and len(parts[-1][1]) >= MIN_PART_LINES:
            parts.append((number, []))
        parts[-1][1].append(line)
    return parts


def _parse_part(
    lines: list[str], first: int, file: str, problems: list[Problem]
) -> tuple[Section, ...]:
    while len(problems) < MAX_SYNTAX_ERRORS:
        parser = _create_parser()
        try:
            parser.read_string("\n".join(lines))
        except configparser.Error as error:
            problems.extend(_blank_invalid_lines(error, lines, first - 1, file))
            continue
        return _build_sections(parser)
    return ()


def _create_parser() -> configparser.RawConfigParser:
    # an empty default section disables inheritance, as no title is empty; the case of
    # keys is preserved, as labels and parameters are case-sensitive
    parser = configparser.RawConfigParser(
        default_section="",
        delimiters=("=",),
        comment_prefixes=("#", ";"),
        empty_lines_in_values=False,
        strict=True,
    )
    parser.optionxform = str
    return parser


def _build_sections(parser: configparser.RawConfigParser) -> tuple[Section, ...]:
    sections = []
    for title in parser.sections():
        if title.startswith(_DUPLICATE_TITLE):
            continue
        values = {key: " ".join(value.split()) for key, value in parser.items(title)}
        sections.append(Section(title.strip(), values))
    return tuple(sections)


def _blank_invalid_lines(
    error: configparser.Error, lines: list[str], offset: int, file: str
) -> list[Problem]:
    """Blank invalid lines and return their problems.

    :param offset: number of lines before the part.
    """
    match error:
        case configparser.DuplicateSectionError(section=title, lineno=number):
            lines[number - 1] = f"[{_DUPLICATE_TITLE}{number}]"
            reason = f"line {offset + number}: the section appears twice"
            return [Problem(file=file, section=title, reason=reason)]
        case configparser.DuplicateOptionError(section=title, option=key):
            number = error.lineno
            lines[number - 1] = ""
            reason = f"line {offset + number}: the key appears twice in the section"
            return [Problem(file=file, section=title, key=key, reason=reason)]
        case configparser.MissingSectionHeaderError(lineno=number, line=line):
            lines[number - 1] = ""
            reason = f"line {offset + number}: is outside of any section"
            return [_create_line_problem(file, line, reason)]
        case configparser.ParsingError(errors=errors):
            problems = []
            for number, line in errors:
                reason = f"line {offset + number}: is not KEY = VALUE"
                problems.append(_create_line_problem(file, line, reason))
                lines[number - 1] = ""
            return problems
    raise error


def _create_line_problem(file: str, line: str, reason: str) -> Problem:
    text = line.strip().strip("'")[:MAX_SHOWN_VALUE]
    return Problem(file=file, value=text, reason=reason)
