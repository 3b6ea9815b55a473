"""Splitting of a byte stream into complete server-sent events."""

from __future__ import annotations

import re

__all__ = ("EventSplitter", "EventTooLargeError", "has_data")

#: maximum size of one event in bytes
MAX_EVENT_BYTES = 1024 * 1024
#: bytes of an event's end that may arrive before its last byte
_PARTIAL_END_BYTES = 3
_EVENT_END = re.compile(rb"\n\r?\n|\r\r")
_DATA = re.compile(rb"(?:^|[\r\n])data(?:[:\r\n]|$)")


class EventTooLargeError(Exception):
    """An event exceeds :data:`MAX_EVENT_BYTES`."""


class EventSplitter:
    """Buffers a stream and returns complete events only.

    A target may fail in the middle of an event. If the first part had been forwarded,
    the caller would receive it again when another target resends the event.
    """

    def __init__(self) -> None:
        self._buffer = bytearray()
        #: position up to which no event ends
        self._searched = 0

    @property
    def pending(self) -> int:
        """Size in bytes of the incomplete event that is buffered."""
        return len(self._buffer)

    def feed(self, data: bytes) -> list[bytes]:
        """Return the events that ``data`` completes, including their terminators.

        :raises EventTooLargeError: if the next event has no end within the limit
        """
        buffer = self._buffer
        buffer += data
        events = []
        start = 0
        for match in _EVENT_END.finditer(buffer, self._searched):
            events.append(bytes(buffer[start : match.end()]))
            start = match.end()
        del buffer[:start]
        if len(buffer) > MAX_EVENT_BYTES:
            raise EventTooLargeError(f"event exceeds {MAX_EVENT_BYTES} bytes")
        self._searched = max(0, len(buffer) - _PARTIAL_END_BYTES)
        return events


def has_data(event: bytes) -> bool:
    """Return whether an event carries data; callers ignore those that carry none."""
    return _DATA.search(event) is not None
