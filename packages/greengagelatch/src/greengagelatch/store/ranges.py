"""Interface for reading and watching all keys with a common prefix."""

from __future__ import annotations

from abc import abstractmethod
from dataclasses import dataclass

from result import Result

from . import Entry, Store, StoreError

__all__ = ("Changes", "RangeStore", "Scan")


@dataclass(frozen=True, slots=True)
class Scan:
    """The entries under a prefix, read page by page.

    The pages are read at different times. ``revision`` is that of the store at the
    first page, so a watch that starts from it misses no change.
    """

    entries: tuple[Entry, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class Changes:
    """The changes under a prefix; the next watch starts from ``revision``."""

    written: tuple[Entry, ...]
    #: keys that were deleted, each with the revision of its deletion
    removed: tuple[tuple[str, int], ...]
    revision: int


class RangeStore(Store):
    """A store that can read and watch all keys under a prefix."""

    @abstractmethod
    async def scan(self, prefix: str) -> Result[Scan, StoreError]:
        """Return all entries whose keys start with ``prefix``."""

    def renew_connections(self) -> None:
        """Make further calls on connections that are opened from now on.

        Open ones may have gone silent without an error. Calls that wait for their
        answers are not affected.
        """

    async def scan_anew(self, prefix: str) -> Result[Scan, StoreError]:
        """Scan on connections that are opened for it.

        Further calls use these, unless the scan fails: the former ones may be better.
        """
        self.renew_connections()
        return await self.scan(prefix)

    @abstractmethod
    async def follow(
        self, prefix: str, after: int, wait: float
    ) -> Result[Changes, StoreError]:
        """Wait up to ``wait`` seconds for changes after a revision and return them.

        The error ``COMPACTED`` means that the store no longer has the history since
        that revision, and the prefix must be scanned again.
        """
