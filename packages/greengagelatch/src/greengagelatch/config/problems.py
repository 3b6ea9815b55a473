"""Errors in an operator's input."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ("MAX_SHOWN_VALUE", "Problem")

#: characters of an invalid value that an error message shows
MAX_SHOWN_VALUE = 200


@dataclass(frozen=True, slots=True, kw_only=True)
class Problem:
    """One error; its ``str`` is the line shown to operators."""

    file: str
    section: str = ""
    key: str = ""
    value: str = ""
    reason: str

    def __str__(self) -> str:
        place = f"{self.file or 'text'}: [{self.section}]"
        if self.key:
            place = f"{place} {self.key} = {self.value!r}"
        return f"{place}: {self.reason}"
