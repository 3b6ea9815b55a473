"""Reads and watches of all keys below a prefix."""

from __future__ import annotations

from abc import abstractmethod
from dataclasses import dataclass

from result import Result

from . import Entry, Store, StoreError

__all__ = ("Changes", "RangeStore", "Scan")


@dataclass(frozen=True, slots=True)
class Scan:
    """The entries below a prefix, read page by page.

    Pages are read at different moments. ``revision`` is the store's at the first
    one, so that a watch from there on misses nothing.
    """

    entries: tuple[Entry, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class Changes:
    """What has changed below a prefix; ``revision`` is where to go on from."""

    written: tuple[Entry, ...]
    #: keys that were removed, each with the revision of its removal
    removed: tuple[tuple[str, int], ...]
    revision: int


class RangeStore(Store):
    """A store whose prefixes can be read and watched as a whole."""

    @abstractmethod
    async def scan(self, prefix: str) -> Result[Scan, StoreError]:
        """Return all entries whose keys start with ``prefix``."""

    @abstractmethod
    async def follow(
        self, prefix: str, after: int, wait: float
    ) -> Result[Changes, StoreError]:
        """Return what changed after a revision, or nothing after ``wait`` seconds.

        ``COMPACTED`` means that the history since then is gone: scan again.
        """
