"""Invalid entries in the target listing."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Collection

    from greengagelatch.store import Entry

    from ..metrics import Metrics
    from .decisions import DecisionLog

__all__ = ("InvalidEntries",)

#: entries remembered as reported; once one is evicted, it may be logged again
MAX_REPORTED = 1024


class InvalidEntries:
    """Logs each invalid entry once, and again when its content changes.

    Every instance reads the listing again after each store outage. Logging an entry
    on each read would flood the log.
    """

    def __init__(self, *, metrics: Metrics, decisions: DecisionLog) -> None:
        self._metrics = metrics
        self._decisions = decisions
        #: digest of the value and the reason it is invalid, by key
        self._reported: dict[str, tuple[int, str]] = {}

    def record(self, entry: Entry, reason: str) -> None:
        """Count an invalid entry, and log it unless it has been logged already."""
        self._metrics.count("targets.unreadable")
        seen = (xxhash.xxh3_64_intdigest(entry.value), reason)
        if self._reported.get(entry.key) == seen:
            return
        self._reported[entry.key] = seen
        if len(self._reported) > MAX_REPORTED:
            del self._reported[next(iter(self._reported))]
        self._decisions.log_state_change(
            "target-unreadable", key=entry.key, reason=reason, revision=entry.revision
        )

    def discard(self, key: str) -> None:
        """Remove an entry that was deleted or has become valid."""
        self._reported.pop(key, None)

    def retain_only(self, keys: Collection[str]) -> None:
        """Remove all entries except those of ``keys``."""
        for key in tuple(self._reported):
            if key not in keys:
                del self._reported[key]

    def dump(self) -> dict[str, str]:
        """Return the reason for each invalid entry, by key."""
        return {key: reason for key, (_, reason) in self._reported.items()}
