"""Rehearsal of the choice of a target, with the reasons for each."""

from __future__ import annotations

import copy
import random
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from .cached_parts import find_affinity_target
from .load_balancer import LoadBalancer
from .regions import is_allowed

if TYPE_CHECKING:
    from .engine_costs import EngineDemand
    from .incarnations import Incarnation
    from .targets import ListedTarget

__all__ = ("CandidateReason", "ChoiceRehearsal")

PACKAGE = __name__.partition(".")[0]


@dataclass(frozen=True, slots=True, kw_only=True)
class CandidateReason:
    """Why a target would be sent a request, or not."""

    target: str
    address: str
    data_centre: str
    chosen: bool
    #: what keeps requests from it: ``leaving``, ``evacuated``, ``region``, ``version``
    #: (not recorded yet), ``cold``, ``rest``, ``rate`` (no permit is held now),
    #: ``brittle``, or ``breaker``
    barred_by: tuple[str, ...]
    #: the lowest is chosen; at equal ones a draw decides
    score: float
    #: whether consistent hashing assigns the shared prompt parts to it
    has_affinity: bool
    #: prompt tokens that are not expected in its cache; ``None``: not an engine
    missing_tokens: float | None
    #: rejections in a second that it tolerates; ``None``: not brittle
    brittle_limit: int | None
    #: requests a second that it takes from all instances; ``None``: any number
    rate_limit: float | None
    #: seconds for which it wants no requests of this instance
    rest_seconds: float
    #: its state as in the state dump
    state: dict[str, float | str]


class ChoiceRehearsal(LoadBalancer):
    """A load balancer with a copy of the state of another one.

    Its decisions are made by the same code and leave no trace in the other one: no
    probe, no record of a request, no draw of its random numbers.
    """

    def __init__(self, original: LoadBalancer) -> None:
        table = original._target_table
        memo: dict[int, Any] = {
            # methods that its parts were given become those of the copy
            id(original): self,
            id(table): table,
            id(original._random): random.Random(0),
        }
        for state in original._states.values():
            # only read by a choice, and long
            memo[id(state.cached_parts)] = state.cached_parts
        _keep_callables(original, memo)
        vars(self).update(copy.deepcopy(vars(original), memo))

    def explain(
        self,
        service: str,
        demand: EngineDemand,
        now: float,
        *,
        is_engine: bool,
        unrecorded: frozenset[Incarnation] = frozenset(),
    ) -> tuple[CandidateReason, ...]:
        """Return the targets of a service with the reasons, best first.

        :param is_engine: whether the service's targets are chosen as engines
        :param unrecorded: targets whose software versions may begin no streams yet
        """
        listed = [
            one for one in self._target_table.list_all() if one.service == service
        ]
        bars = {one: self._list_bars(one, demand, unrecorded, now) for one in listed}
        states = self.describe(now)
        may_probe = self._create_probe_rule(service, demand.repeatable, now)
        candidates = self._candidates.find(
            service, unrecorded, now, demand.data_centres, may_probe
        )
        affinity = find_affinity_target(demand.prompt, candidates)
        scores = {
            one: self._score(one, demand, affinity, now, is_engine) for one in listed
        }
        chosen = self._choose(service, demand, unrecorded, now, is_engine)
        reasons = [
            CandidateReason(
                target=str(one.incarnation),
                address=one.address,
                data_centre=one.data_centre,
                chosen=one is chosen,
                barred_by=bars[one] or (() if one in candidates else ("breaker",)),
                score=scores[one],
                has_affinity=is_engine and one is affinity,
                missing_tokens=self._count_missing(one, demand, now, is_engine),
                brittle_limit=self._limits.brittle.find_limit(one, now),
                rate_limit=self._limits.permits.limits.find_rate(one.incarnation, now),
                rest_seconds=self.find_seconds_of_rest(one.incarnation, now),
                state=states.get(str(one.incarnation), {}),
            )
            for one in listed
        ]
        reasons.sort(key=lambda one: (not one.chosen, bool(one.barred_by), one.score))
        return tuple(reasons)

    def _list_bars(
        self,
        target: ListedTarget,
        demand: EngineDemand,
        unrecorded: frozenset[Incarnation],
        now: float,
    ) -> tuple[str, ...]:
        """Return what keeps requests from a target, besides its breaker."""
        is_evacuated = self._target_table.is_evacuated(target.data_centre)
        checks = (
            ("leaving", not target.leaving),
            ("evacuated", not is_evacuated),
            ("region", is_allowed(target.data_centre, demand.data_centres)),
            ("version", target.incarnation not in unrecorded),
        )
        names = tuple(name for name, passed in checks if not passed)
        obstacles = self._candidates.list_obstacles(target, now)
        return names + tuple(one.value for one in obstacles)

    def _score(
        self,
        target: ListedTarget,
        demand: EngineDemand,
        affinity: ListedTarget | None,
        now: float,
        is_engine: bool,
    ) -> float:
        if is_engine:
            score, _ = self._score_engine(target, demand, affinity, now)
        elif self._speeds.is_used(target.service, now):
            requests = self.count_requests(target.incarnation, now)
            score = self._speeds.estimate(target, requests, now)
        else:
            score, _ = self._score_target(target, now)
        return score

    def _choose(
        self,
        service: str,
        demand: EngineDemand,
        unrecorded: frozenset[Incarnation],
        now: float,
        is_engine: bool,
    ) -> ListedTarget | None:
        if is_engine:
            return self.choose_engine(service, demand, unrecorded, now)
        return self.choose_least_loaded(
            service,
            unrecorded,
            now,
            demand.data_centres,
            repeatable=demand.repeatable,
        )

    def _count_missing(
        self, target: ListedTarget, demand: EngineDemand, now: float, is_engine: bool
    ) -> float | None:
        if not is_engine:
            return None
        return self.count_tokens(target.incarnation, demand.prompt, now)


def _keep_callables(part: object, memo: dict[int, Any]) -> None:
    """Let a copy of ``part`` share its functions, and tell nobody of changes."""
    for name, value in vars(part).items():
        if id(getattr(value, "__self__", None)) in memo:
            # bound to the copy when it is copied
            continue
        if callable(value):
            memo[id(value)] = _ignore if name.startswith("_on_") else value
        elif id(value) not in memo and _is_own(value):
            _keep_callables(value, memo)


def _is_own(value: object) -> bool:
    is_of_package = type(value).__module__.partition(".")[0] == PACKAGE
    return is_of_package and hasattr(value, "__dict__")


def _ignore(*_: object) -> None:
    """Stand in for what is called on a change."""
