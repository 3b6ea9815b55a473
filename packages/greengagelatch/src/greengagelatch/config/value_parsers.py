"""Parsers of values in INI text; each raises ``ValueError`` with a readable reason."""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from enum import Enum
from typing import TypeVar

from .names import find_name_error
from .selectors import NAME_LABEL, parse_selector

__all__ = (
    "MAX_LABELS",
    "MAX_LIST_ENTRIES",
    "build_choice_parser",
    "build_number_parser",
    "parse_bool",
    "parse_labels",
    "parse_name",
    "parse_names",
    "parse_positive",
    "parse_selector_text",
    "parse_share",
    "parse_shares",
    "parse_weight",
)

#: limit of entries in one list of names
MAX_LIST_ENTRIES = 64

#: limit of labels on one object
MAX_LABELS = 64

#: largest weight of one entry in a traffic split
MAX_SHARE = 1_000_000

_TRUE = frozenset({"yes", "true", "on", "1"})
_FALSE = frozenset({"no", "false", "off", "0"})

#: operators in selectors, which would be ambiguous as label keys
_RESERVED_KEYS = frozenset({"in", "notin"})

E = TypeVar("E", bound=Enum)


def build_choice_parser(choices: type[E]) -> Callable[[str], E]:
    """Return a parser of an enumeration's values."""

    def parse(text: str) -> E:
        try:
            return choices(text)
        except ValueError:
            known = ", ".join(item.value for item in choices)
            raise ValueError(f"must be one of {known}") from None

    return parse


def build_number_parser(low: int, high: int) -> Callable[[str], int]:
    """Return a parser of integers between two inclusive bounds."""

    def parse(text: str) -> int:
        try:
            value = int(text)
        except ValueError:
            raise ValueError("must be a whole number") from None
        if not low <= value <= high:
            raise ValueError(f"must be between {low} and {high}")
        return value

    return parse


def parse_bool(text: str) -> bool:
    """Parse a boolean such as ``yes`` or ``no``."""
    lowered = text.lower()
    if lowered in _TRUE:
        return True
    if lowered in _FALSE:
        return False
    raise ValueError("must be yes or no")


def parse_weight(text: str) -> float:
    """Parse a finite number of at least 0."""
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    if not (math.isfinite(value) and value >= 0):
        raise ValueError("must be a number of at least 0")
    return value


def parse_positive(text: str) -> float:
    """Parse a finite number above 0."""
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    if not (math.isfinite(value) and value > 0):
        raise ValueError("must be a number above 0")
    return value


def parse_share(text: str) -> float:
    """Parse a number above 0 and at most 1."""
    value = parse_positive(text)
    if value > 1:
        raise ValueError("must be at most 1")
    return value


def parse_name(text: str) -> str:
    """Parse one name."""
    error = find_name_error(text)
    if error:
        raise ValueError(error)
    return text


def parse_names(text: str) -> tuple[str, ...]:
    """Parse comma-separated unique names, at least one."""
    names = tuple(_parse_entry(part) for part in text.split(","))
    if len(set(names)) < len(names):
        raise ValueError("must not contain a name twice")
    if len(names) > MAX_LIST_ENTRIES:
        raise ValueError(f"must hold at most {MAX_LIST_ENTRIES} names")
    return names


def parse_labels(text: str) -> Mapping[str, str]:
    """Parse labels such as ``tier=gold, region=luzon``; the text may be empty."""
    labels: dict[str, str] = {}
    if not text:
        return labels
    for part in text.split(","):
        key, value = _parse_pair(part, "tier=gold, region=luzon")
        if key == NAME_LABEL:
            raise ValueError(f"the label {NAME_LABEL!r} is built in")
        if key in _RESERVED_KEYS:
            raise ValueError(f"{key!r} is a reserved word of selectors")
        if key in labels:
            raise ValueError(f"sets {key!r} twice")
        labels[key] = _parse_entry(value)
    if len(labels) > MAX_LABELS:
        raise ValueError(f"must hold at most {MAX_LABELS} labels")
    return labels


def parse_shares(text: str) -> tuple[tuple[str, int], ...]:
    """Parse whole-number weights by name, such as ``quote-a=90, quote-b=10``."""
    parse_number = build_number_parser(0, MAX_SHARE)
    shares: dict[str, int] = {}
    for part in text.split(","):
        name, value = _parse_pair(part, "quote-a=90, quote-b=10")
        if name in shares:
            raise ValueError(f"sets {name!r} twice")
        shares[name] = parse_number(value)
    if len(shares) > MAX_LIST_ENTRIES:
        raise ValueError(f"must hold at most {MAX_LIST_ENTRIES} names")
    if not sum(shares.values()):
        raise ValueError("at least one share must be above 0")
    return tuple(shares.items())


def parse_selector_text(text: str) -> str:
    """Validate a label selector and return its text."""
    selector = parse_selector(text)
    if selector.is_err():
        raise ValueError(f"is not a valid selector: {selector.err_value}")
    return text


def _parse_pair(part: str, example: str) -> tuple[str, str]:
    key, sign, value = (piece.strip() for piece in part.partition("="))
    if not sign:
        raise ValueError(f"must be a list such as {example}")
    return _parse_entry(key), value


def _parse_entry(part: str) -> str:
    name = part.strip()
    error = find_name_error(name)
    if error:
        raise ValueError(f"{name!r}: {error}")
    return name
