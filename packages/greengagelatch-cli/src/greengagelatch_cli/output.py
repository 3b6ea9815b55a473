"""Output of results, errors and progress, as text or JSON."""

from __future__ import annotations

import json
from enum import Enum
from typing import TYPE_CHECKING, Any

from cleo.io.outputs.output import Type, Verbosity

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from cleo.io.io import IO

__all__ = ("Format", "Output", "render_table")

COLUMN_GAP = "  "


class Format(Enum):
    """Format of results on standard output."""

    TEXT = "text"
    JSON = "json"


class Output:
    """Writes results to standard output, errors and progress to standard error.

    Everything is written raw: cleo would interpret ``<`` and ``>`` in names and
    values as its own mark-up and drop them.
    """

    def __init__(self, io: IO, output_format: Format) -> None:
        self._io = io
        self.format = output_format
        self._progress = ""

    @property
    def is_json(self) -> bool:
        """Whether results are written as JSON."""
        return self.format is Format.JSON

    def show(self, text: str, data: Any) -> None:
        """Write a result, as ``text`` or as ``data`` in JSON."""
        if self.is_json:
            text = json.dumps(data, indent=2, ensure_ascii=False)
        self._end_progress()
        self._io.write_line(text, type=Type.RAW)

    def show_error(self, text: str, data: Mapping[str, Any] | None = None) -> None:
        """Write an error; in JSON format also ``data``, if given, as the result."""
        self._end_progress()
        self._io.write_error_line(text, Verbosity.QUIET, Type.RAW)
        if data is not None and self.is_json:
            self.show("", data)

    def show_progress(self, text: str) -> None:
        """Replace the progress line on a terminal; else write a line if it changed."""
        if text == self._progress:
            return
        self._progress = text
        if self._io.error_output.is_decorated():
            self._io.write_error(f"\r\x1b[2K{text}", type=Type.RAW)
            self._io.error_output.flush()
        else:
            self._io.write_error_line(text, type=Type.RAW)

    def _end_progress(self) -> None:
        if self._progress and self._io.error_output.is_decorated():
            self._io.write_error_line("", type=Type.RAW)
        self._progress = ""


def render_table(headers: Sequence[str], rows: Sequence[Sequence[Any]]) -> str:
    """Return a table of left-aligned columns, without trailing blanks."""
    lines = [list(headers), *([_show(cell) for cell in row] for row in rows)]
    widths = [max(len(line[i]) for line in lines) for i in range(len(headers))]
    rendered = []
    for line in lines:
        cells = [cell.ljust(width) for cell, width in zip(line, widths, strict=True)]
        rendered.append(COLUMN_GAP.join(cells).rstrip())
    return "\n".join(rendered)


def _show(cell: Any) -> str:
    if cell is None:
        return "?"
    if isinstance(cell, bool):
        return "yes" if cell else "no"
    return str(cell)
