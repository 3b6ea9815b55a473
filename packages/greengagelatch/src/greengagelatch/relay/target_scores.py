"""Choice among targets by their expected times."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..targets.subset import compute_weight

if TYPE_CHECKING:
    import random

    from .incarnations import Incarnation
    from .target_speeds import TargetSpeeds
    from .targets import ListedTarget

__all__ = ("FastestChoice", "TargetOption")

#: most targets among which an instance chooses: with its requests spread over more, it
#: would learn of none of them before what it knew is out of date
MAX_CHOICE = 8
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
#: most services whose trials are counted
MAX_SERVICES = 1024


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetOption:
    """A target that a request may be sent to."""

    target: ListedTarget
    #: requests that it is expected to have now
    requests: float
    #: whether requests of this instance are in flight there
    in_use: bool
    #: monotonic time in seconds at which this instance last sent it a request
    sent_at: float
    #: whether it is being tried again after failures
    half_open: bool = False
    #: whether it is in another data centre
    remote: bool = False


class FastestChoice:
    """Chooses the target that is expected to answer first.

    :param own: name of this instance, from which follows its choice of targets of a
        large service
    """

    def __init__(
        self, *, own: str, speeds: TargetSpeeds, random_source: random.Random
    ) -> None:
        self._own = own
        self._speeds = speeds
        self._random = random_source
        #: trials that each service may make, in requests
        self._trials: dict[str, float] = {}
        #: rank of each target that was seen in the last table of its service
        self._ranks: dict[str, dict[Incarnation, int]] = {}

    def select(
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
        return ranked[:MAX_CHOICE]

    def choose(
        self, service: str, options: Sequence[TargetOption], now: float
    ) -> ListedTarget:
        """Return the target for a request: the fastest, or one that is due a trial."""
        due = self._find_due(service, options, now)
        if due is not None:
            return due.target
        return min(options, key=lambda one: self._score(one, now)).target

    def _find_due(
        self, service: str, options: Sequence[TargetOption], now: float
    ) -> TargetOption | None:
        if service not in self._trials and len(self._trials) >= MAX_SERVICES:
            self._trials.clear()
        trials = min(1.0, self._trials.get(service, 0.0) + TRIAL_SHARE)
        self._trials[service] = trials
        if trials < 1.0:
            return None
        due = [
            one
            for one in options
            if not one.in_use and now - one.sent_at >= TRIAL_SECONDS
        ]
        if not due:
            return None
        self._trials[service] = 0.0
        return min(due, key=lambda one: one.sent_at)

    def _score(self, option: TargetOption, now: float) -> float:
        factor = 1.0 + SPREAD * self._random.random()
        if option.remote:
            factor *= REMOTE_FACTOR
        if option.half_open:
            # its history would deny it the request that shows whether it works again
            return factor
        return factor * self._speeds.estimate(option.target, option.requests, now)
