"""Splitting of an event stream into whole events, byte for byte."""

from __future__ import annotations

import re

__all__ = ("EventSplitter",)

_EVENT_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")


class EventSplitter:
    """Cuts a stream after each event.

    A target may stop in the middle of an event. What was passed on up to there
    could not be taken back when another target goes on with the same event.
    """

    def __init__(self) -> None:
        self._buffer = b""

    @property
    def pending(self) -> bool:
        """Whether a part of an event is left."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> list[bytes]:
        """Return the events that ``data`` completes, with their ends."""
        buffer = self._buffer + data
        events = []
        start = 0
        for match in _EVENT_END.finditer(buffer):
            events.append(buffer[start : match.end()])
            start = match.end()
        self._buffer = buffer[start:]
        return events
