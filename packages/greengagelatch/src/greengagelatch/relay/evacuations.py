"""Data centres whose targets are to receive nothing until further notice."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ("Evacuation", "EvacuationTable")


@dataclass(frozen=True, slots=True)
class Evacuation:
    """State of the evacuation of one data centre as of a store revision."""

    data_centre: str
    revision: int
    active: bool = True


class EvacuationTable:
    """Evacuations by data centre; of each, the newest state counts.

    Stale reads and peers that lag behind can neither cancel an evacuation nor restore
    one that was cancelled.
    """

    def __init__(self) -> None:
        self._states: dict[str, Evacuation] = {}
        self._revision = 0
        #: revision of the newest complete state
        self._complete_at = 0

    @property
    def revision(self) -> int:
        """Store revision up to which the state is known."""
        return self._revision

    @property
    def data_centres(self) -> frozenset[str]:
        """Data centres that are evacuated."""
        return frozenset(one.data_centre for one in self.list_active())

    def list_active(self) -> tuple[Evacuation, ...]:
        """Return the active evacuations."""
        return tuple(one for one in self._states.values() if one.active)

    def put(self, evacuation: Evacuation) -> bool:
        """Apply the state of one data centre; return whether it changed."""
        if evacuation.revision <= self._complete_at:
            return False
        self._revision = max(self._revision, evacuation.revision)
        known = self._states.get(evacuation.data_centre)
        if known is not None and known.revision >= evacuation.revision:
            return False
        self._states[evacuation.data_centre] = evacuation
        return (known is not None and known.active) != evacuation.active

    def replace(self, active: Iterable[Evacuation], revision: int) -> list[Evacuation]:
        """Apply all evacuations that are active at a revision.

        :return: the states that changed
        """
        if revision <= self._complete_at:
            return []
        rows = {one.data_centre: one for one in active}
        rows |= {
            known.data_centre: Evacuation(known.data_centre, revision, active=False)
            for known in self.list_active()
            if known.data_centre not in rows
        }
        changed = [one for one in rows.values() if self.put(one)]
        self._revision = max(self._revision, revision)
        self._complete_at = revision
        return changed
