"""Splitting of a byte stream into complete server-sent events."""

from __future__ import annotations

import re

__all__ = ("EventSplitter",)

_EVENT_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")


class EventSplitter:
    """Buffers a stream and returns complete events only.

    A target may fail in the middle of an event. If the first part had been forwarded,
    the caller would receive it again when another target resends the event.
    """

    def __init__(self) -> None:
        self._buffer = b""

    @property
    def pending(self) -> bool:
        """Whether an incomplete event is buffered."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> list[bytes]:
        """Return the events that ``data`` completes, including their terminators."""
        buffer = self._buffer + data
        events = []
        start = 0
        for match in _EVENT_END.finditer(buffer):
            events.append(buffer[start : match.end()])
            start = match.end()
        self._buffer = buffer[start:]
        return events
