"""Prefix cache of a simulated engine, and its insertion and eviction events."""

from __future__ import annotations

import base64
import random
from collections import OrderedDict, deque
from dataclasses import dataclass
from typing import Any

import xxhash

__all__ = ("PrefixCache",)

#: maximum number of retained events
MAX_EVENTS = 2000


@dataclass(frozen=True, slots=True)
class _Event:
    sequence: int
    prefix: str
    cached: bool
    #: wall-clock milliseconds from which the event is visible
    visible_ms: float


class PrefixCache:
    """LRU cache of prompt prefixes with an event log.

    Events become visible after ``lag_ms``; a fraction ``gap_rate`` of them is lost,
    which leaves gaps in the sequence numbers.
    """

    def __init__(
        self,
        *,
        entries: int,
        lag_ms: float,
        gap_rate: float,
        random_source: random.Random,
    ) -> None:
        self._limit = entries
        self._lag_ms = lag_ms
        self._gap_rate = gap_rate
        self._random = random_source
        self._prefixes: OrderedDict[str, None] = OrderedDict()
        self._events: deque[_Event] = deque(maxlen=MAX_EVENTS)
        self._sequence = 0

    def lookup(self, prefix: str, now_ms: float) -> bool:
        """Look up ``prefix`` and cache it; return whether it was a hit."""
        if not prefix:
            return False
        hit = prefix in self._prefixes
        self.insert(prefix, now_ms)
        return hit

    def insert(self, prefix: str, now_ms: float) -> None:
        """Insert ``prefix`` as the most recently used entry."""
        if prefix not in self._prefixes:
            self._add_event(prefix, True, now_ms)
        self._prefixes[prefix] = None
        self._prefixes.move_to_end(prefix)
        while len(self._prefixes) > self._limit:
            oldest, _ = self._prefixes.popitem(last=False)
            self._add_event(oldest, False, now_ms)

    def list_prefixes(self) -> list[str]:
        """Return the cached prefixes, least recently used first."""
        return list(self._prefixes)

    def export(self, prefix: str) -> str | None:
        """Return the cache entry of ``prefix`` as base64; ``None`` if not cached."""
        if prefix not in self._prefixes:
            return None
        return _encode(prefix)

    def import_entry(self, prefix: str, data: str, now_ms: float) -> bool:
        """Insert an exported entry; return whether ``data`` belongs to ``prefix``."""
        if data != _encode(prefix):
            return False
        self.insert(prefix, now_ms)
        return True

    def read_events(self, after: int, now_ms: float) -> dict[str, Any]:
        """Return the visible events with sequence numbers above ``after``."""
        visible = [
            event
            for event in self._events
            if event.sequence > after and event.visible_ms <= now_ms
        ]
        events = [
            {"sequence": event.sequence, "prefix": event.prefix, "cached": event.cached}
            for event in visible
        ]
        last = visible[-1].sequence if visible else after
        return {"next": last, "events": events}

    def _add_event(self, prefix: str, cached: bool, now_ms: float) -> None:
        self._sequence += 1
        if self._random.random() < self._gap_rate:
            return
        visible_ms = now_ms + self._lag_ms
        self._events.append(_Event(self._sequence, prefix, cached, visible_ms))


def _encode(prefix: str) -> str:
    return base64.b64encode(xxhash.xxh128_digest(prefix.encode())).decode()
