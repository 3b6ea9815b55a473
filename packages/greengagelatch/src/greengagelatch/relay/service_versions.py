"""Software versions that the targets of each service have had lately."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from .stream_versions import MEMORY_SECONDS

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ("MAX_GAP_SECONDS", "ServiceVersions")

#: longest time in seconds between two confirmations of the listing in which no version
#: comes and goes unseen
MAX_GAP_SECONDS = 5.0


@dataclass(slots=True)
class _History:
    #: monotonic times between which the listing was known to be current without a gap
    since: float = float("-inf")
    confirmed_at: float = float("-inf")
    #: versions at the last look
    listed: frozenset[str] = frozenset()
    #: monotonic times at which each version was last listed
    seen_at: dict[str, float] = field(default_factory=dict)
    #: monotonic times since which versions are known to begin no streams any more
    retired_at: dict[str, float] = field(default_factory=dict)


class ServiceVersions:
    """Versions that the targets of each service have had lately.

    :param seconds: time for which a version is remembered
    """

    def __init__(self, seconds: float = MEMORY_SECONDS) -> None:
        self._seconds = seconds
        self._services: dict[str, _History] = {}

    def observe(
        self, service: str, versions: Iterable[str], confirmed_at: float, now: float
    ) -> None:
        """Record the versions of the targets that are listed now.

        :param confirmed_at: monotonic time at which the listing was known to be current
        """
        history = self._find(service)
        if confirmed_at - history.confirmed_at > MAX_GAP_SECONDS:
            history.since = confirmed_at
        history.confirmed_at = max(history.confirmed_at, confirmed_at)
        history.listed = frozenset(versions)
        for version in history.listed:
            history.seen_at[version] = now

    def add_reported(self, service: str, versions: Iterable[str], now: float) -> None:
        """Add versions that another instance has seen, maybe only a moment ago."""
        history = self._find(service)
        for version in versions:
            history.seen_at[version] = now

    def set_retired(self, service: str, versions: Iterable[str], now: float) -> None:
        """Set the versions that begin no streams any more."""
        history = self._find(service)
        known = history.retired_at
        history.retired_at = {one: known.get(one, now) for one in versions}

    def list_retired(self, service: str, seconds: float, now: float) -> frozenset[str]:
        """Return the versions that have begun no streams for some seconds."""
        retired_at = self._find(service).retired_at
        return frozenset(
            version for version, at in retired_at.items() if now - at >= seconds
        )

    def list_listed(self, service: str) -> frozenset[str]:
        """Return the versions that were listed at the last look."""
        return self._find(service).listed

    def list_lately(self, service: str, now: float) -> frozenset[str]:
        """Return the versions that targets have had lately."""
        history = self._services.get(service)
        if history is None:
            return frozenset()
        for version, seen_at in tuple(history.seen_at.items()):
            if now - seen_at >= self._seconds:
                del history.seen_at[version]
        return frozenset(history.seen_at)

    def sort_by_time(self, service: str, versions: Iterable[str]) -> list[str]:
        """Return versions in the order in which they were last seen, latest first."""
        seen_at = self._find(service).seen_at
        return sorted(versions, key=lambda one: (-seen_at.get(one, 0.0), one))

    def is_certain(self, service: str, now: float) -> bool:
        """Return whether no version of that time can have been missed."""
        history = self._services.get(service)
        if history is None or now - history.confirmed_at > MAX_GAP_SECONDS:
            return False
        return min(now, history.confirmed_at) - history.since >= self._seconds

    def _find(self, service: str) -> _History:
        return self._services.setdefault(service, _History())
