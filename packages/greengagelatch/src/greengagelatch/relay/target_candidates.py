"""Targets that a request may be sent to now, by all that is known of them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..load.breakers import Breaker, BreakerRule, BreakerState, find_ejected
from .regions import is_allowed
from .send_limits import Obstacle

if TYPE_CHECKING:
    from collections.abc import Callable

    from .incarnations import Incarnation
    from .send_limits import SendLimits
    from .target_states import TargetState
    from .targets import ListedTarget, TargetTable

__all__ = ("BREAKER_RULE", "TargetCandidates")

#: the circuit breaker of a target opens after two failures in a row: with three
#: targets, a third of all requests fails while a lost target is still in use
BREAKER_RULE = BreakerRule(consecutive_failures=2, min_ejection=1.0, max_ejection=4.0)


class TargetCandidates:
    """Lists targets of a service by what allows or prevents a send.

    :param find_state: returns what is known of a target's requests and health
    :param count_in_flight: returns how many requests of this instance a target has
    """

    def __init__(
        self,
        *,
        target_table: TargetTable,
        limits: SendLimits,
        find_state: Callable[[Incarnation], TargetState],
        count_in_flight: Callable[[Incarnation], int],
    ) -> None:
        self._target_table = target_table
        self._limits = limits
        self._find_state = find_state
        self._count_in_flight = count_in_flight

    def find(
        self,
        service: str,
        excluded: frozenset[Incarnation],
        now: float,
        data_centres: frozenset[str] | None = None,
        may_probe: Callable[[Breaker], bool] = lambda _: True,
    ) -> list[ListedTarget]:
        """Return the targets that nothing keeps requests from.

        Those that are ejected by their breakers are among them if there are no others.

        :param excluded: targets that have had the request
        :param data_centres: those of the targets; ``None``: all
        :param may_probe: whether the request may probe an ejected target
        """
        listed = self._list_allowed(service, frozenset(), data_centres)
        if self._limits.has_any():
            listed = [
                one
                for one in listed
                if self._limits.may_send(
                    one, self._count_in_flight(one.incarnation), now
                )
            ]
        breakers = [
            (one.incarnation, self._find_state(one.incarnation).breaker)
            for one in listed
        ]
        ejected = find_ejected(breakers, BREAKER_RULE, now)
        left = listed
        if excluded:
            # a retry is no probe: it may be the last attempt
            left = [one for one in left if one.incarnation not in excluded]
        else:
            ejected = frozenset(
                one for one in ejected if not self._may_probe_now(one, now, may_probe)
            )
        if not ejected:
            return left
        healthy = [one for one in left if one.incarnation not in ejected]
        return healthy or left

    def lacks_room(
        self,
        service: str,
        excluded: frozenset[Incarnation],
        now: float,
        data_centres: frozenset[str] | None,
    ) -> bool:
        """Return whether only what targets have said prevents a send."""
        if not self._limits.has_any():
            return False
        listed = self._list_warm(service, excluded, now, data_centres)
        sendable = [one for one in listed if self._limits.may_send_warm(one, now)]
        if listed and not sendable:
            return True
        in_flight = [(one, self._count_in_flight(one.incarnation)) for one in sendable]
        return self._limits.brittle.lacks_room(service, in_flight, now)

    def find_rest(
        self,
        service: str,
        excluded: frozenset[Incarnation],
        now: float,
        data_centres: frozenset[str] | None,
    ) -> float:
        """Return the seconds until the first of the targets ends its rest.

        :return: 0 if one does not rest, or if there is none
        """
        if not self._limits.rests.has_any():
            return 0.0
        listed = self._list_warm(service, excluded, now, data_centres)
        rests = [
            self._limits.rests.find_seconds(one.incarnation, now) for one in listed
        ]
        return min(rests, default=0.0)

    def list_limited(
        self,
        service: str,
        excluded: frozenset[Incarnation],
        now: float,
        data_centres: frozenset[str] | None,
    ) -> list[Incarnation]:
        """Return the targets that a request could be sent to with a permit."""
        if not self._limits.permits.limits:
            return []
        return [
            one.incarnation
            for one in self._list_warm(service, excluded, now, data_centres)
            if self.list_obstacles(one, now) == (Obstacle.RATE,)
        ]

    def list_obstacles(self, target: ListedTarget, now: float) -> tuple[Obstacle, ...]:
        """Return what keeps requests from a target, besides its breaker."""
        in_flight = self._count_in_flight(target.incarnation)
        return self._limits.list_obstacles(target, in_flight, now)

    def _list_warm(
        self,
        service: str,
        excluded: frozenset[Incarnation],
        now: float,
        data_centres: frozenset[str] | None,
    ) -> list[ListedTarget]:
        """Return the targets that only their own word may keep a request from."""
        return [
            one
            for one in self._list_allowed(service, excluded, data_centres)
            if self._limits.cold.may_send(one, now)
        ]

    def _list_allowed(
        self,
        service: str,
        excluded: frozenset[Incarnation],
        data_centres: frozenset[str] | None,
    ) -> list[ListedTarget]:
        """Return the targets that a request may be sent to by its route."""
        listed = self._target_table.list_service(service)
        if data_centres is None and not excluded:
            return list(listed)
        return [
            one
            for one in listed
            if is_allowed(one.data_centre, data_centres)
            and one.incarnation not in excluded
        ]

    def _may_probe_now(
        self, incarnation: Incarnation, now: float, may_probe: Callable[[Breaker], bool]
    ) -> bool:
        breaker = self._find_state(incarnation).breaker
        return breaker.read_state(now) is not BreakerState.OPEN and may_probe(breaker)
