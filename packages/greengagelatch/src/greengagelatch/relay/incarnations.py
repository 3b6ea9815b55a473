"""Incarnations of targets: one for each start under an id."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

__all__ = ("Incarnation", "IncarnationOrder")


@dataclass(frozen=True, slots=True, order=True)
class Incarnation:
    """One life of a target, from a start to its end.

    A target may start again under the id that it had, and then holds nothing of
    before. Whatever is believed of it is kept under this, so that no belief about
    the former one is taken for true of the next.
    """

    target_id: str
    #: Unix milliseconds of its start, by its own clock; 0: not told
    started_ms: int = 0

    def __str__(self) -> str:
        return (
            f"{self.target_id}@{self.started_ms}" if self.started_ms else self.target_id
        )


class IncarnationOrder(Enum):
    """How what an entry says stands to the newest incarnation known of its id."""

    #: nothing was known of the id
    FIRST = "first"
    SAME = "same"
    #: the target has started again
    NEWER = "newer"
    #: an old answer
    OUTDATED = "outdated"
    #: it does not say which incarnation it is of, and is at another address
    UNKNOWN = "untold"
