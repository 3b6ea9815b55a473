"""Permits of this instance to send requests to targets that have named a rate."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from .rate_limits import RateLimits

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from .incarnations import Incarnation

__all__ = ("PERMIT_SECONDS", "Permits")

#: seconds for which a permit may be used. The rate holds for the requests that arrive,
#: which must not be many more than those that were permitted in the time before
PERMIT_SECONDS = 0.5
#: seconds without an answer of a target from which it is sent requests to learn whether
#: its limit has ended, also where there are enough others
SILENT_SECONDS = 2.0


class Permits:
    """Permits that were issued to this instance, each for one request.

    :param limits: the rates that targets have named
    :param on_wanted: called with targets that requests could be sent to if there were a
        permit, and the seconds for which one is worth waiting for
    """

    def __init__(
        self,
        limits: RateLimits | None = None,
        on_wanted: Callable[[Sequence[Incarnation], float], None] = lambda *_: None,
    ) -> None:
        self.limits = RateLimits() if limits is None else limits
        self._on_wanted = on_wanted
        #: monotonic times until which the permits for each target may be used
        self._held: dict[Incarnation, deque[float]] = {}
        #: monotonic times of the last requests that could have used one
        self._wanted_at: dict[Incarnation, float] = {}

    def may_send(self, incarnation: Incarnation, now: float) -> bool:
        """Return whether a request may be sent to a target now."""
        if not self.limits or self.limits.find_rate(incarnation, now) is None:
            return True
        return self.count(incarnation, now) > 0

    def count(self, incarnation: Incarnation, now: float) -> int:
        """Return how many permits for a target are left."""
        held = self._held.get(incarnation)
        if held is None:
            return 0
        while held and held[0] <= now:
            held.popleft()
        return len(held)

    def add(self, incarnation: Incarnation, count: int, now: float) -> None:
        """Record permits that were issued to this instance."""
        held = self._held.setdefault(incarnation, deque())
        held.extend([now + PERMIT_SECONDS] * count)

    def record_send(self, incarnation: Incarnation, now: float) -> None:
        """Use a permit, as a request is sent to a target."""
        if self.count(incarnation, now):
            self._held[incarnation].popleft()

    def want(
        self, incarnations: Sequence[Incarnation], now: float, *, patience: float = 0.0
    ) -> None:
        """Ask for a permit for one of those targets that there is none for.

        Without patience it is for a request that may follow, and only asked for if one
        is likely to, or if nothing has been heard of the target for some time.

        :param patience: seconds for which it is worth waiting for
        """
        if not self.limits:
            return
        lacking = [one for one in incarnations if not self.may_send(one, now)]
        if not patience:
            lacking = [one for one in lacking if self._is_likely_used(one, now)]
        if lacking:
            self._on_wanted(lacking, patience)

    def forget(self, incarnation: Incarnation) -> None:
        """Discard what is known of a target that is gone."""
        self._held.pop(incarnation, None)
        self._wanted_at.pop(incarnation, None)

    def describe(self, now: float) -> dict[str, int]:
        """Return the permits that are left, for the state dump."""
        counts = {one: self.count(one, now) for one in tuple(self._held)}
        return {str(incarnation): count for incarnation, count in counts.items()}

    def _is_likely_used(self, incarnation: Incarnation, now: float) -> bool:
        """Return whether a permit is worth asking for that no request waits for."""
        before = self._wanted_at.get(incarnation, float("-inf"))
        self._wanted_at[incarnation] = now
        is_silent = self.limits.find_age(incarnation, now) >= SILENT_SECONDS
        return is_silent or now - before < PERMIT_SECONDS
