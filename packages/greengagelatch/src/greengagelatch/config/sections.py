"""INI text split into sections, with all its syntax errors."""

from __future__ import annotations

import configparser
from collections.abc import Generator, Mapping
from dataclasses import dataclass
from typing import TypeVar

from .problems import MAX_SHOWN_VALUE, Problem

__all__ = ("MAX_SYNTAX_ERRORS", "Section", "drain", "split_in_steps", "split_sections")

#: syntax errors reported at once; each costs another pass over the text
MAX_SYNTAX_ERRORS = 20

#: lines read at once; a parser of its own for each section would take thrice as long
PART_LINES = 40

T = TypeVar("T")

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


#: what was read, and what was wrong
Split = tuple[tuple[Section, ...], list[Problem]]


def split_sections(text: str, file: str) -> Split:
    """Return all sections that can be read, and a problem for each syntax error."""
    return drain(split_in_steps(text, file))


def split_in_steps(text: str, file: str) -> Generator[None, None, Split]:
    """Do the same, and yield after each part of the text.

    The parser stops at the first error of most kinds. The line at fault is then
    taken out and the part is read again.
    """
    sections: list[Section] = []
    problems: list[Problem] = []
    titles: set[str] = set()
    for first, lines in _cut(text):
        for section in _read_lines(lines, first, file, problems):
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


def drain(steps: Generator[None, None, T]) -> T:
    """Take all steps at once and return what they lead to."""
    while True:
        try:
            next(steps)
        except StopIteration as stop:
            return stop.value


def _cut(text: str) -> list[tuple[int, list[str]]]:
    """Cut a text before titles; with the number of each part's first line."""
    parts: list[tuple[int, list[str]]] = [(1, [])]
    for number, line in enumerate(text.splitlines(), start=1):
        if line.startswith("[") and len(parts[-1][1]) >= PART_LINES:
            parts.append((number, []))
        parts[-1][1].append(line)
    return parts


def _read_lines(
    lines: list[str], first: int, file: str, problems: list[Problem]
) -> tuple[Section, ...]:
    while len(problems) < MAX_SYNTAX_ERRORS:
        parser = _create_parser()
        try:
            parser.read_string("\n".join(lines))
        except configparser.Error as error:
            problems.extend(_take_out(error, lines, first - 1, file))
            continue
        return _collect(parser)
    return ()


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


def _take_out(
    error: configparser.Error, lines: list[str], offset: int, file: str
) -> list[Problem]:
    """Blank the lines at fault and name them; ``offset`` lines stand before."""
    match error:
        case configparser.DuplicateSectionError(section=title, lineno=number):
            lines[number - 1] = f"[{_REPEATED}{number}]"
            reason = f"line {offset + number}: the section appears twice"
            return [Problem(file=file, section=title, reason=reason)]
        case configparser.DuplicateOptionError(section=title, option=key):
            number = error.lineno
            lines[number - 1] = ""
            reason = f"line {offset + number}: the key appears twice in the section"
            return [Problem(file=file, section=title, key=key, reason=reason)]
        case configparser.MissingSectionHeaderError(lineno=number, line=line):
            lines[number - 1] = ""
            reason = f"line {offset + number}: stands before any section"
            return [_report_line(file, line, reason)]
        case configparser.ParsingError(errors=errors):
            problems = []
            for number, line in errors:
                reason = f"line {offset + number}: is not KEY = VALUE"
                problems.append(_report_line(file, line, reason))
                lines[number - 1] = ""
            return problems
    raise error


def _report_line(file: str, line: str, reason: str) -> Problem:
    text = line.strip().strip("'")[:MAX_SHOWN_VALUE]
    return Problem(file=file, value=text, reason=reason)
