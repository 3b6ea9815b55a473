"""Incarnations of targets: one for each start of a target under an id."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

__all__ = ("Incarnation", "IncarnationOrder")


@dataclass(frozen=True, slots=True, order=True)
class Incarnation:
    """One run of a target, from its start to its end.

    A target may restart under the same id and then has lost all its former state. What
    is known of a target is stored by incarnation, so that facts about a former run
    are not applied to the next one.
    """

    target_id: str
    #: Unix milliseconds of its start, by its own clock; 0: unknown
    started_ms: int = 0

    def __str__(self) -> str:
        return (
            f"{self.target_id}@{self.started_ms}" if self.started_ms else self.target_id
        )


class IncarnationOrder(Enum):
    """How an entry compares with the newest incarnation known of its id."""

    #: the id was not known
    FIRST = "first"
    SAME = "same"
    #: the target has restarted
    NEWER = "newer"
    #: a stale entry of a former incarnation
    OUTDATED = "outdated"
    #: the entry gives no start and has another address, so its incarnation is unknown
    UNKNOWN = "untold"
