"""What the ledger keeps of each target and service."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from sortedcontainers import SortedKeyList

from . import Target
from .directory import Candidate, LoadReport

__all__ = ("Group", "Record")


@dataclass(slots=True, eq=False)
class Record:
    """A target that is neither leaving nor gone."""

    target: Target
    #: place in this instance's own order of targets
    weight: int
    report: LoadReport | None = None
    #: listings in a row that did not show it
    missing: int = 0
    #: calls and polls in a row that could not reach it
    failures: int = 0
    #: kept from new work until a probe reaches it
    ejected: bool = False


@dataclass(slots=True, eq=False)
class Group:
    """The targets of one service, in this instance's own order."""

    records: SortedKeyList = field(
        default_factory=lambda: SortedKeyList(key=lambda record: record.weight)
    )
    #: monotonic seconds at which candidates were last asked for
    used: float = float("-inf")
    #: those of ``records`` that are used, ``None`` where they must be chosen anew
    chosen: tuple[Record, ...] | None = None
    #: the chosen ones and those passed over as out of reach, which are probed
    watched: tuple[Record, ...] = ()
    #: made from ``chosen`` on demand
    candidates: tuple[Candidate, ...] | None = None

    def choose(self, subset: int, minimum: int) -> tuple[Record, ...]:
        """Return the records that may be given new work.

        The first ``subset`` reachable ones of the order. If fewer than
        ``minimum`` can be reached, those that failed least are used all the same:
        this instance alone may be at fault, and a service without any candidate
        would refuse everything.
        """
        if self.chosen is not None:
            return self.chosen
        reachable: list[Record] = []
        passed: list[Record] = []
        for record in self._walk(subset):
            (passed if record.ejected else reachable).append(record)
        missing = min(minimum, len(reachable) + len(passed)) - len(reachable)
        if missing > 0:
            least = sorted(passed, key=lambda record: (record.failures, record.weight))
            reachable.extend(least[:missing])
        self.watched = (*reachable, *(r for r in passed if r not in reachable))
        self.chosen = tuple(sorted(reachable, key=lambda r: r.target.target_id))
        # made from the choice before: one that is not accepted any more would be
        # chosen again and again
        self.candidates = None
        return self.chosen

    def list_candidates(self, subset: int, minimum: int) -> tuple[Candidate, ...]:
        """Return the candidates, by id."""
        chosen = self.choose(subset, minimum)
        if self.candidates is None:
            self.candidates = tuple(Candidate(r.target, r.report) for r in chosen)
        return self.candidates

    def _walk(self, subset: int) -> Iterator[Record]:
        reachable = 0
        # twice the subset bounds what is probed when a great part is out of reach
        for record in self.records[: 2 * subset]:
            yield record
            reachable += not record.ejected
            if reachable >= subset:
                return
