"""Records of targets and services in the target registry."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from sortedcontainers import SortedKeyList

from . import Target
from .directory import Candidate, LoadReport

__all__ = ("ServiceGroup", "TargetRecord")


@dataclass(slots=True, eq=False)
class TargetRecord:
    """A target that is neither leaving nor gone."""

    target: Target
    #: rank in this instance's order of targets, see :func:`.subset.compute_weight`
    weight: int
    report: LoadReport | None = None
    #: consecutive listings that did not contain it
    missing: int = 0
    #: consecutive calls and polls that did not reach it
    failures: int = 0
    #: whether it gets no new work until a probe or call reaches it
    ejected: bool = False


@dataclass(slots=True, eq=False)
class ServiceGroup:
    """The targets of one service, ordered by weight for this instance."""

    records: SortedKeyList = field(
        default_factory=lambda: SortedKeyList(key=lambda record: record.weight)
    )
    #: monotonic seconds at which candidates were last queried
    used: float = float("-inf")
    #: the subset of ``records`` in use; ``None`` if it must be chosen again
    chosen: tuple[TargetRecord, ...] | None = None
    #: the chosen records and the ejected ones passed over, all of which are polled
    watched: tuple[TargetRecord, ...] = ()
    #: candidates created from ``chosen``; ``None`` if they must be created again
    candidates: tuple[Candidate, ...] | None = None

    def choose(self, subset: int, minimum: int) -> tuple[TargetRecord, ...]:
        """Return the records that may receive new work.

        These are the first ``subset`` records in order that are not ejected. If they
        are fewer than ``minimum``, the ejected records with the fewest failures are
        added: the fault may be on the side of this instance, and a service without
        candidates would refuse all requests.
        """
        if self.chosen is not None:
            return self.chosen
        reachable: list[TargetRecord] = []
        ejected: list[TargetRecord] = []
        for record in self._walk(subset):
            (ejected if record.ejected else reachable).append(record)
        missing = min(minimum, len(reachable) + len(ejected)) - len(reachable)
        if missing > 0:
            fewest_failures = sorted(
                ejected, key=lambda record: (record.failures, record.weight)
            )
            reachable.extend(fewest_failures[:missing])
        self.watched = (*reachable, *(r for r in ejected if r not in reachable))
        self.chosen = tuple(sorted(reachable, key=lambda r: r.target.target_id))
        # created from the previous choice: a target that is no longer accepted would
        # be offered again and again
        self.candidates = None
        return self.chosen

    def list_candidates(self, subset: int, minimum: int) -> tuple[Candidate, ...]:
        """Return the candidates, sorted by id."""
        chosen = self.choose(subset, minimum)
        if self.candidates is None:
            self.candidates = tuple(Candidate(r.target, r.report) for r in chosen)
        return self.candidates

    def _walk(self, subset: int) -> Iterator[TargetRecord]:
        reachable = 0
        # twice the subset limits the number of polls if many targets are unreachable
        for record in self.records[: 2 * subset]:
            yield record
            reachable += not record.ejected
            if reachable >= subset:
                return
