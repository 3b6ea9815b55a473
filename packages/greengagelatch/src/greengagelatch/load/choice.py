"""Load balancing: the choice of the target for one call."""

from __future__ import annotations

import random
from abc import ABC, abstractmethod
from dataclasses import dataclass

import xxhash

from .loads import TargetView

__all__ = ("ChoiceRule", "TargetChoice", "PowerOfTwoChoices")


@dataclass(frozen=True, slots=True, kw_only=True)
class ChoiceRule:
    """Parameters of load balancing."""

    #: targets sampled in this data centre, and in all others together
    local_samples: int = 2
    remote_samples: int = 2
    #: load, as a share of the limit, that is added to a remote target's cost
    remote_penalty: float = 0.25
    #: load, as a share of the limit, that is taken off for a cached prefix
    affinity: float = 1.0
    #: targets that calls with one prefix are routed to
    affinity_targets: int = 1
    #: load, as a multiple of the mean, beyond which affinity is ignored
    affinity_bound: float = 1.25


class TargetChoice(ABC):
    """Picks one of the targets that have free capacity."""

    @abstractmethod
    def choose(
        self, views: tuple[TargetView, ...], prefix: str, random_source: random.Random
    ) -> TargetView:
        """Return one of ``views``, which is not empty."""

    @abstractmethod
    def find_affinity_targets(
        self, views: tuple[TargetView, ...], prefix: str
    ) -> list[TargetView]:
        """Return the targets that probably cache a prefix and are not overloaded."""


class PowerOfTwoChoices(TargetChoice):
    """Power of two choices: the cheapest of a few random targets.

    Remote targets cost more, and those with prefix affinity less. If each instance
    took the least loaded target of all, every instance would take the same one
    until the next load report, and targets would swing between idle and overloaded.
    Two random candidates are enough to balance the load, and differ from instance
    to instance.
    """

    def __init__(self, rule: ChoiceRule) -> None:
        self._rule = rule

    def choose(
        self, views: tuple[TargetView, ...], prefix: str, random_source: random.Random
    ) -> TargetView:
        local_views = [view for view in views if view.local]
        remote_views = [view for view in views if not view.local]
        sampled = _sample(local_views, self._rule.local_samples, random_source)
        sampled += _sample(remote_views, self._rule.remote_samples, random_source)
        affine = self.find_affinity_targets(views, prefix)
        sampled += [view for view in affine if view not in sampled]
        costs = [
            self._sample_cost(view, view in affine, random_source) for view in sampled
        ]
        return sampled[costs.index(min(costs))]

    def _sample_cost(
        self, view: TargetView, affine: bool, random_source: random.Random
    ) -> float:
        """Return the cost of a call at a target, for a randomly drawn load.

        All instances see the same report and would otherwise act on it alike. The
        drawn loads differ between them, and the more the older the report is.
        """
        held = view.expected_in_flight + random_source.gauss(0.0, view.deviation)
        cost = (max(0.0, held) + 1) / view.limit * view.slowness
        if not view.local:
            cost += self._rule.remote_penalty
        if affine:
            cost -= self._rule.affinity
        return cost

    def find_affinity_targets(
        self, views: tuple[TargetView, ...], prefix: str
    ) -> list[TargetView]:
        # rendezvous hashing, so that all instances agree without communication, also
        # if cache events are late or missing; targets that report the prefix as
        # cached come first
        if not prefix:
            return []
        ranked = sorted(views, key=lambda view: _rank(view, prefix))
        loads = [view.expected_in_flight / view.limit for view in views]
        mean_held = sum(loads) / len(loads)
        bound = mean_held * self._rule.affinity_bound
        return [
            view
            for view in ranked[: self._rule.affinity_targets]
            if view.expected_in_flight / view.limit <= bound + 1 / view.limit
        ]


def _rank(view: TargetView, prefix: str) -> tuple[bool, int]:
    text = f"{prefix}\0{view.target.target_id}"
    # JSON may hold halves of surrogate pairs, which a strict encoder refuses
    digest = xxhash.xxh64_intdigest(text.encode("utf-8", "surrogatepass"))
    return (prefix not in view.cached_prefixes, digest)


def _sample(
    views: list[TargetView], count: int, random_source: random.Random
) -> list[TargetView]:
    if len(views) <= count:
        return list(views)
    return random_source.sample(views, count)
