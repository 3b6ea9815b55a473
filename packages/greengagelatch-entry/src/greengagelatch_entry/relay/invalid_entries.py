"""Entries in the listing of targets that name none to use."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Collection

    from greengagelatch.store import Entry

    from ..metrics import Metrics
    from .decisions import DecisionLog

__all__ = ("InvalidEntries",)

#: bad entries that are remembered; beyond it a line may be written again
MAX_REPORTED = 1024


class InvalidEntries:
    """Tells of each bad entry once, and again when its bytes have changed.

    The listing is read again after each outage of the store, by every instance. A
    line for each reading would fill the log with entries that nobody can mend.
    """

    def __init__(self, *, metrics: Metrics, decisions: DecisionLog) -> None:
        self._metrics = metrics
        self._decisions = decisions
        #: digest of the bytes, and what is wrong with them, by key
        self._reported: dict[str, tuple[int, str]] = {}

    def record(self, entry: Entry, reason: str) -> None:
        """Take in that an entry can't be used."""
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
        """Take in that an entry is gone, or can be used."""
        self._reported.pop(key, None)

    def retain_only(self, keys: Collection[str]) -> None:
        """Forget all entries but those of ``keys``."""
        for key in tuple(self._reported):
            if key not in keys:
                del self._reported[key]

    def dump(self) -> dict[str, str]:
        """Return what is wrong with each, by key."""
        return {key: reason for key, (_, reason) in self._reported.items()}
