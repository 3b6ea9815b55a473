"""Label selectors of policies and queries.

A selector is a comma-separated list of requirements, all of which must hold:

==========================  ======================================================
``tier = gold``             the label has that value (``==`` is the same)
``tier != gold``            the label has another value or is absent
``tier in (gold, silver)``  the label has one of the values
``tier notin (gold)``       the label has none of the values or is absent
``tier``                    the label is present
``!trial``                  the label is absent
==========================  ======================================================

The built-in label ``name`` is the object's name. The empty selector matches all.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from functools import lru_cache

from result import Err, Ok, Result

__all__ = (
    "MAX_REQUIREMENTS",
    "NAME_LABEL",
    "Operator",
    "Requirement",
    "Selector",
    "parse_selector",
)

#: built-in label that holds the object's name
NAME_LABEL = "name"

#: limit of requirements in one selector, which bounds the cost of matching
MAX_REQUIREMENTS = 32

_TOKEN = re.compile(r"\s*(?:(==|!=|[=!(),])|([A-Za-z0-9][A-Za-z0-9._/-]*))")


class Operator(Enum):
    """Comparison operator of a requirement."""

    IN = "in"
    NOT_IN = "notin"
    PRESENT = "present"
    ABSENT = "absent"


@dataclass(frozen=True, slots=True)
class Requirement:
    """One condition on one label; equality is ``IN`` with a single value."""

    key: str
    operator: Operator
    values: frozenset[str] = frozenset()

    def accepts(self, value: str | None) -> bool:
        """Return whether a label's value satisfies this; ``None``: it is absent."""
        if self.operator is Operator.PRESENT:
            return value is not None
        if self.operator is Operator.ABSENT:
            return value is None
        if self.operator is Operator.IN:
            return value in self.values
        return value not in self.values


@dataclass(frozen=True, slots=True)
class Selector:
    """A parsed selector."""

    requirements: tuple[Requirement, ...] = ()

    def matches(self, name: str, labels: Mapping[str, str]) -> bool:
        """Return whether an object with this name and these labels matches."""
        for requirement in self.requirements:
            key = requirement.key
            value = name if key == NAME_LABEL else labels.get(key)
            if not requirement.accepts(value):
                return False
        return True


@lru_cache(maxsize=4096)
def parse_selector(text: str) -> Result[Selector, str]:
    """Parse a selector; the error is a readable reason."""
    try:
        tokens = _tokenize(text)
        return Ok(Selector(_Parser(tokens).parse()))
    except ValueError as error:
        return Err(str(error))


def _tokenize(text: str) -> list[str]:
    tokens = []
    position = 0
    end = len(text.rstrip())
    while position < end:
        match = _TOKEN.match(text, position, end)
        if match is None:
            raise ValueError(f"unexpected {text[position:end].strip()[:20]!r}")
        tokens.append(match.group(1) or match.group(2))
        position = match.end()
    return tokens


class _Parser:
    """Recursive descent parser of requirements with one token of lookahead."""

    def __init__(self, tokens: list[str]) -> None:
        self._tokens = tokens
        self._position = 0

    def parse(self) -> tuple[Requirement, ...]:
        requirements = []
        while self._position < len(self._tokens):
            if requirements:
                self._expect(",")
            requirements.append(self._parse_requirement())
            if len(requirements) > MAX_REQUIREMENTS:
                raise ValueError(f"more than {MAX_REQUIREMENTS} requirements")
        return tuple(requirements)

    def _parse_requirement(self) -> Requirement:
        if self._peek() == "!":
            self._next()
            return Requirement(self._next_word(), Operator.ABSENT)
        key = self._next_word()
        sign = self._peek()
        if sign in ("", ","):
            return Requirement(key, Operator.PRESENT)
        self._next()
        if sign in ("=", "=="):
            return Requirement(key, Operator.IN, frozenset({self._next_word()}))
        if sign == "!=":
            return Requirement(key, Operator.NOT_IN, frozenset({self._next_word()}))
        if sign in ("in", "notin"):
            return Requirement(key, Operator(sign), self._parse_values())
        raise ValueError(f"unexpected {sign!r} after {key!r}")

    def _parse_values(self) -> frozenset[str]:
        self._expect("(")
        values = {self._next_word()}
        while self._peek() == ",":
            self._next()
            values.add(self._next_word())
        self._expect(")")
        return frozenset(values)

    def _peek(self) -> str:
        if self._position == len(self._tokens):
            return ""
        return self._tokens[self._position]

    def _next(self) -> str:
        token = self._peek()
        self._position += 1
        return token

    def _next_word(self) -> str:
        token = self._next()
        if not token or not token[0].isalnum():
            raise ValueError(f"expected a word, found {token or 'the end'!r}")
        return token

    def _expect(self, expected: str) -> None:
        token = self._next()
        if token != expected:
            raise ValueError(f"expected {expected!r}, found {token or 'the end'!r}")
