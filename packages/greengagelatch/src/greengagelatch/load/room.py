"""Which targets of a service have room for which calls."""

from __future__ import annotations

import random
from dataclasses import replace

from ..targets import Target
from .choice import TargetChoice
from .loads import TargetView
from .queue import Waiting

__all__ = ("Room",)

#: a probe goes only to a call that has this many times its duration left
PROBE_SLACK = 2.0


class Room:
    """The room of all targets of one service while calls are being granted.

    Long calls leave a share of each limit free, so that a short call which comes
    while long ones fill the service starts at once. While a long call waits, the
    short ones keep to that share, so that neither kind can shut out the other.

    Each instance may always use its own share of a limit, whatever it believes of
    the others: with stale reports it could otherwise shut itself out.
    """

    def __init__(
        self,
        views: tuple[TargetView, ...],
        *,
        short_share: float,
        choice: TargetChoice,
        random_source: random.Random,
    ) -> None:
        self._views = {view.target.target_id: view for view in views}
        self._short_share = short_share
        self._choice = choice
        self._random = random_source
        self._long_waits = False

    @property
    def views(self) -> tuple[TargetView, ...]:
        """All targets as they are now."""
        return tuple(self._views.values())

    def begin(self, *, long_waits: bool) -> None:
        """Prepare for one selection; ``long_waits``: a long call is among the rest."""
        self._long_waits = long_waits

    def suits(self, waiting: Waiting) -> bool:
        """Whether some target has room for the call."""
        return any(self._fits(view, waiting) for view in self._views.values())

    def choose(self, waiting: Waiting, now: float) -> Target:
        """Return the target for a call that :meth:`suits` has accepted."""
        fitting = tuple(v for v in self._views.values() if self._fits(v, waiting))
        probe = self._find_probe(fitting, waiting, now)
        if probe is not None:
            return probe.target
        sound = tuple(view for view in fitting if not view.ejected) or fitting
        view = self._choice.choose(sound, waiting.ticket.prefix, self._random)
        return view.target

    def take(self, target_id: str, *, long: bool) -> float:
        """Count a call given to a target; return how many it held before."""
        view = self._views[target_id]
        self._views[target_id] = replace(
            view,
            mine=view.mine + 1,
            mine_long=view.mine_long + long,
            held=view.held + 1,
        )
        return view.held

    def _fits(self, view: TargetView, waiting: Waiting) -> bool:
        if view.target.target_id in waiting.ticket.excluded:
            return False
        if view.ejected:
            return view.probing and view.mine == 0 and waiting.ticket.repeatable
        common = view.limit * (1 - self._short_share)
        if waiting.long:
            own = max(1, int(view.assured * (1 - self._short_share)))
            assured = view.assured > 0 and view.mine_long < own
            return assured or view.held + 1 <= max(1.0, common)
        if view.mine < view.assured:
            return True
        if view.held + 1 > max(1.0, view.limit):
            return False
        if not self._long_waits or view.held + 1 <= common:
            return True
        reserved = max(1.0, view.limit * self._short_share)
        return view.mine - view.mine_long < reserved

    def _find_probe(
        self, views: tuple[TargetView, ...], waiting: Waiting, now: float
    ) -> TargetView | None:
        if now + PROBE_SLACK * waiting.expected > waiting.latest_start:
            return None
        return next((view for view in views if view.ejected), None)
