"""Choice of the target for one call."""

from __future__ import annotations

import random
from abc import ABC, abstractmethod
from dataclasses import dataclass

import xxhash

from .loads import TargetView

__all__ = ("ChoiceRule", "TargetChoice", "PowerOfTwoChoices")


@dataclass(frozen=True, slots=True, kw_only=True)
class ChoiceRule:
    """Parameters of the choice."""

    #: targets looked at in this data centre, and in all others together
    local_samples: int = 2
    remote_samples: int = 2
    #: load, as a share of the limit, by which a far target must be better
    remote_penalty: float = 0.25
    #: load, as a share of the limit, that a cached prefix is worth
    affinity: float = 1.0
    #: targets that calls with one prefix are kept to
    affinity_targets: int = 1
    #: load, as a multiple of the mean, beyond which affinity counts for nothing
    affinity_bound: float = 1.25


class TargetChoice(ABC):
    """Picks one of the targets that have room."""

    @abstractmethod
    def choose(
        self, views: tuple[TargetView, ...], prefix: str, random_source: random.Random
    ) -> TargetView:
        """Return one of ``views``, which is not empty."""

    @abstractmethod
    def find_affinity_targets(
        self, views: tuple[TargetView, ...], prefix: str
    ) -> list[TargetView]:
        """Return the targets that probably hold a prefix and are not overloaded."""


class PowerOfTwoChoices(TargetChoice):
    """The better of a few random targets, near ones and familiar ones first.

    If each instance took the target that it believes is the least loaded, all of
    them would take the same one until the next report; one notices targets that
    swing between idle and overloaded. Two random ones are enough to keep the load
    even, and instances then differ in what they look at.
    """

    def __init__(self, rule: ChoiceRule) -> None:
        self._rule = rule

    def choose(
        self, views: tuple[TargetView, ...], prefix: str, random_source: random.Random
    ) -> TargetView:
        near = [view for view in views if view.local]
        far = [view for view in views if not view.local]
        sampled = _sample(near, self._rule.local_samples, random_source)
        sampled += _sample(far, self._rule.remote_samples, random_source)
        familiar = self.find_affinity_targets(views, prefix)
        sampled += [view for view in familiar if view not in sampled]
        costs = [
            self._draw_cost(view, view in familiar, random_source) for view in sampled
        ]
        return sampled[costs.index(min(costs))]

    def _draw_cost(
        self, view: TargetView, familiar: bool, random_source: random.Random
    ) -> float:
        """Return the cost of a call at a target, for one load it may have by now.

        However little an old report says, all instances would act on it alike; a
        drawn load differs between them, the more the older the report.
        """
        held = view.expected_in_flight + random_source.gauss(0.0, view.deviation)
        cost = (max(0.0, held) + 1) / view.limit * view.slowness
        if not view.local:
            cost += self._rule.remote_penalty
        if familiar:
            cost -= self._rule.affinity
        return cost

    def find_affinity_targets(
        self, views: tuple[TargetView, ...], prefix: str
    ) -> list[TargetView]:
        # which they are follows from a hash, so that all instances agree without a
        # message, also when cache events are late or missing; a target that is said
        # to hold the prefix goes first
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
