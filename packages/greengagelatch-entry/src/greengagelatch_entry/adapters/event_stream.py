"""Encoding and parsing of server-sent events."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

__all__ = (
    "Event",
    "EventParser",
    "EventTooLargeError",
    "encode_event",
    "encode_token",
)

#: shared, as ``json.dumps`` creates an encoder for each call with these separators
_ENCODER = json.JSONEncoder(separators=(",", ":"))


@dataclass(frozen=True, slots=True)
class Event:
    """Server-sent event with its raw data."""

    name: str
    data: bytes


class EventTooLargeError(ValueError):
    """An event exceeds the size limit."""


class EventParser:
    """Splits a byte stream into events, buffering at most ``limit`` bytes."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._buffer = b""
        self._name = ""
        self._data: list[bytes] = []
        self._size = 0

    def feed(self, chunk: bytes) -> list[Event]:
        """Return the events completed by ``chunk``.

        :raises EventTooLargeError: if an unfinished event exceeds the limit
        """
        lines = (self._buffer + chunk).split(b"\n")
        self._buffer = lines.pop()
        events: list[Event] = []
        for line in lines:
            event = self._parse_line(line.removesuffix(b"\r"))
            if event is not None:
                events.append(event)
        if self._size + len(self._buffer) > self._limit:
            raise EventTooLargeError(f"event exceeds the limit of {self._limit} bytes")
        return events

    def _parse_line(self, line: bytes) -> Event | None:
        if not line:
            return self._finish_event()
        field, _, value = line.partition(b":")
        value = value.removeprefix(b" ")
        if field == b"event":
            self._name = value.decode("utf-8", "replace")
        elif field == b"data":
            self._data.append(value)
            self._size += len(value)
        return None

    def _finish_event(self) -> Event | None:
        event = None
        if self._data:
            event = Event(self._name or "message", b"\n".join(self._data))
        self._name = ""
        self._data = []
        self._size = 0
        return event


def encode_event(name: str, data: Any) -> bytes:
    """Encode an event with ``data`` as JSON, which contains no line breaks."""
    return f"event: {name}\ndata: {_ENCODER.encode(data)}\n\n".encode()


def encode_token(offset: int, text: str) -> bytes:
    """Encode a token event.

    An instance encodes thousands of tokens per second, so the object is formatted
    here: encoding only the text is far faster than encoding an object.
    """
    fields = f'{{"offset":{offset},"text":{_ENCODER.encode(text)}}}'
    return f"event: token\ndata: {fields}\n\n".encode()
