"""What is known of the ends of targets, and what brings a target back."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .incarnations import Incarnation

__all__ = ("EndEvidence", "TargetEnd", "TargetEnds")

#: most ends of each kind, final or not, that are remembered
MAX_REMEMBERED = 4096


class EndEvidence(Enum):
    """By what a target is taken to have ended or to be about to end."""

    #: it has said in an answer that it leaves
    ANSWER = "answer"
    #: its entry has said that it leaves
    ENTRY = "entry"
    #: a newer incarnation of it is known
    RESTART = "restart"
    #: its entry has lapsed or was removed, without saying that it leaves
    REMOVAL = "removal"
    #: its entry can't be used
    INVALID_ENTRY = "invalid-entry"
    #: a target of another service was listed at its address after it
    ADDRESS = "address"

    @property
    def is_final(self) -> bool:
        """Whether only a newer incarnation of the target may get requests."""
        return self in _FINAL


_FINAL = frozenset({EndEvidence.ANSWER, EndEvidence.ENTRY, EndEvidence.RESTART})


@dataclass(frozen=True, slots=True)
class TargetEnd:
    """The end of one incarnation of a target."""

    evidence: EndEvidence
    #: store revision of the evidence; 0: the evidence is not from the store
    revision: int = 0

    def is_ended_by(self, revision: int) -> bool:
        """Return whether an entry brings the target back.

        :param revision: store revision at which the entry was certainly there
        """
        if self.evidence.is_final or self.evidence is EndEvidence.ADDRESS:
            return False
        return revision > self.revision


class TargetEnds:
    """Ends by incarnation; those that are not final have room of their own."""

    def __init__(self) -> None:
        self._final: OrderedDict[Incarnation, TargetEnd] = OrderedDict()
        self._others: OrderedDict[Incarnation, TargetEnd] = OrderedDict()

    def find(self, incarnation: Incarnation) -> TargetEnd | None:
        """Return the end of a target; ``None``: none is known."""
        return self._final.get(incarnation) or self._others.get(incarnation)

    def record(self, incarnation: Incarnation, end: TargetEnd) -> bool:
        """Record an end; return whether a final one is new.

        A final end is kept whatever follows.
        """
        if incarnation in self._final:
            return False
        self._others.pop(incarnation, None)
        ends = self._final if end.evidence.is_final else self._others
        ends[incarnation] = end
        if len(ends) > MAX_REMEMBERED:
            ends.popitem(last=False)
        return end.evidence.is_final

    def discard(self, incarnation: Incarnation) -> None:
        """Discard an end that is not final."""
        self._others.pop(incarnation, None)
