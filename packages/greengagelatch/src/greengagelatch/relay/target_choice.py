"""Choice among targets by their expected times."""

from __future__ import annotations

from dataclasses import dataclass
from operator import itemgetter
from typing import TYPE_CHECKING

from ..load.breakers import BreakerState
from ..targets.subset import compute_weight

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Sequence

    from .incarnations import Incarnation
    from .target_speeds import TargetSpeeds
    from .target_states import TargetState
    from .targets import ListedTarget

__all__ = ("FastestChoice",)

#: most targets among which an instance chooses: with its requests spread over more, it
#: would learn of none of them before what it knew is out of date
MAX_CHOICE = 8
#: those of them that are in the instance's own data centre, if it has as many; the rest
#: may be anywhere, for when these have too much to do
LOCAL_CHOICE = 4
#: largest random addition to an expected time, as a share of it: instances with equal
#: knowledge must not run to the same target together
SPREAD = 0.2
#: factor on the expected time of targets in other data centres, so that of equals the
#: local ones win
REMOTE_FACTOR = 1.0 + SPREAD
#: share of a service's requests that are sent to targets about which nothing recent is
#: known
TRIAL_SHARE = 0.02
#: seconds without a request after which a target is due for a trial
TRIAL_SECONDS = 1.0
#: most trials that a service saves for changes of speed, and the share of its requests
#: that adds to them
SAVED_TRIALS = 4.0
SAVED_SHARE = 0.01
#: most services whose trials are counted
MAX_SERVICES = 1024


@dataclass(slots=True)
class _Trials:
    """Trials that the requests of a service may make."""

    regular: float = 0.0
    saved: float = SAVED_TRIALS
    #: whether a target has become slower, and no trial has followed yet
    is_changed: bool = False

    def earn(self) -> None:
        """Count a request."""
        self.regular = min(1.0, self.regular + TRIAL_SHARE)
        self.saved = min(SAVED_TRIALS, self.saved + SAVED_SHARE)

    def may_try(self) -> bool:
        """Return whether a request may be a trial."""
        return self.is_changed or self.regular >= 1.0

    def record_change(self) -> None:
        """Allow a trial from those that are saved, if there is one."""
        self.is_changed = self.is_changed or self.saved >= 1.0

    def spend(self) -> None:
        """Count a trial."""
        self.regular = 0.0
        if self.is_changed:
            self.saved -= 1.0
            self.is_changed = False


class FastestChoice:
    """Chooses the target that is expected to answer first.

    :param own: name of this instance, from which follows its choice of targets of a
        large service
    :param find_state: returns what is known of a target's requests and health
    """

    def __init__(
        self,
        *,
        own: str,
        data_centre: str,
        speeds: TargetSpeeds,
        find_state: Callable[[Incarnation], TargetState],
        random_source: random.Random,
    ) -> None:
        self._own = own
        self._data_centre = data_centre
        self._speeds = speeds
        self._find_state = find_state
        self._random = random_source
        self._trials: dict[str, _Trials] = {}
        #: rank of each target of large services
        self._ranks: dict[str, dict[Incarnation, int]] = {}

    def choose(
        self,
        service: str,
        candidates: Sequence[ListedTarget],
        now: float,
        *,
        may_try: bool = True,
    ) -> ListedTarget:
        """Return the target for a request: the fastest, or one that is due a trial.

        :param may_try: whether the request may be a trial; a retry may be the last
            attempt
        """
        selected = self._select(service, candidates)
        if may_try:
            due = self._find_due(service, selected, now)
            if due is not None:
                return due
        return min(selected, key=lambda one: self._score(one, now))

    def record_change(self, service: str) -> None:
        """Record that a target has become slower: others may have changed as well.

        An instance with few requests would find those that have become faster too
        late by its regular trials.
        """
        self._find_trials(service).record_change()

    def _select(
        self, service: str, candidates: Sequence[ListedTarget]
    ) -> list[ListedTarget]:
        """Return the candidates among which this instance chooses."""
        if len(candidates) <= MAX_CHOICE:
            return list(candidates)
        ranks = self._ranks.setdefault(service, {})
        if len(ranks) > 2 * len(candidates) + MAX_CHOICE:
            # most of them are gone
            ranks.clear()
        for one in candidates:
            if one.incarnation not in ranks:
                ranks[one.incarnation] = compute_weight(self._own, one.target_id)
        ranked = sorted(candidates, key=lambda one: ranks[one.incarnation])
        local = [one for one in ranked if one.data_centre == self._data_centre]
        chosen = local[:LOCAL_CHOICE]
        rest = [one for one in ranked if one not in chosen]
        return chosen + rest[: MAX_CHOICE - len(chosen)]

    def _find_due(
        self, service: str, candidates: Sequence[ListedTarget], now: float
    ) -> ListedTarget | None:
        """Return the target that a trial is due at, if the service may make one."""
        trials = self._find_trials(service)
        trials.earn()
        if not trials.may_try():
            return None
        due: list[tuple[float, ListedTarget]] = []
        for one in candidates:
            state = self._find_state(one.incarnation)
            if state.in_flight or now - state.sent_at < TRIAL_SECONDS:
                continue
            due.append((state.sent_at, one))
        if not due:
            return None
        trials.spend()
        return min(due, key=itemgetter(0))[1]

    def _find_trials(self, service: str) -> _Trials:
        trials = self._trials.get(service)
        if trials is not None:
            return trials
        if len(self._trials) >= MAX_SERVICES:
            self._trials.clear()
        trials = self._trials[service] = _Trials()
        return trials

    def _score(self, target: ListedTarget, now: float) -> float:
        factor = 1.0 + SPREAD * self._random.random()
        if target.data_centre != self._data_centre:
            factor *= REMOTE_FACTOR
        state = self._find_state(target.incarnation)
        if state.breaker.read_state(now) is BreakerState.HALF_OPEN:
            # its history would deny it the request that shows whether it works again
            return factor
        return factor * self._speeds.estimate(target, state.count_expected(now), now)
