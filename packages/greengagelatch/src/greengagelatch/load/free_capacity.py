"""Free capacity of a service's targets, by kind of call."""

from __future__ import annotations

import random
from dataclasses import replace

from .choice import TargetChoice
from .loads import TargetView
from .queue import QueuedCall, SelectionFilter

__all__ = ("FreeCapacity",)

#: utilization of the limits above which a service counts as busy
BUSY_SHARE = 0.5
#: minimum remaining time of a call used as a probe, as a multiple of its duration
PROBE_SLACK = 2.0


class FreeCapacity(SelectionFilter):
    """Free capacity of one service's targets while calls are being granted.

    A share of each limit is reserved for short calls, so that they start at once
    even if long calls fill the rest of the service. While a long call is queued,
    short calls are confined to that share, so that neither kind starves the other.

    Each instance may always use its own share of a limit, whatever it estimates for
    the others: with stale reports it could otherwise lock itself out.
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
        self._long_queued = False
        self._contended = False

    @property
    def views(self) -> tuple[TargetView, ...]:
        """Snapshots of all targets, including calls granted since."""
        return tuple(self._views.values())

    @property
    def busy(self) -> bool:
        """Whether utilization is so high that calls take clearly longer."""
        limit = sum(view.limit for view in self._list_healthy())
        return (
            sum(view.expected_in_flight for view in self._list_healthy())
            > BUSY_SHARE * limit
        )

    @property
    def mean_in_flight(self) -> float:
        """Mean number of calls in flight at the targets that are not ejected."""
        healthy = self._list_healthy()
        return sum(view.expected_in_flight for view in healthy) / max(1, len(healthy))

    def begin(self, *, long_queued: bool, contended: bool) -> None:
        """Prepare for one selection.

        :param long_queued: whether a long call is queued.
        :param contended: whether several calls are queued, as they then probably are on
            all instances.
        """
        self._long_queued = long_queued
        self._contended = contended

    def accepts(self, queued: QueuedCall) -> bool:
        """Whether some target has free capacity for the call."""
        return any(self._fits(view, queued) for view in self._views.values())

    def count_fitting(self, queued: QueuedCall) -> int:
        """Return how many targets have free capacity for the call."""
        return sum(self._fits(view, queued) for view in self._views.values())

    def prefers(self, queued: QueuedCall) -> bool:
        """Whether a target with free capacity probably caches the call's prefix."""
        prefix = queued.ticket.prefix
        if not prefix:
            return False
        affine = self._choice.find_affinity_targets(self.views, prefix)
        return any(self._fits(view, queued) for view in affine)

    def choose(self, queued: QueuedCall, now: float) -> TargetView:
        """Return the target for a call that :meth:`accepts` has accepted."""
        fitting = tuple(v for v in self._views.values() if self._fits(v, queued))
        probe = self._find_probe(fitting, queued, now)
        if probe is not None:
            return probe
        healthy = tuple(view for view in fitting if not view.ejected) or fitting
        return self._choice.choose(healthy, queued.ticket.prefix, self._random)

    def reserve(self, view: TargetView, *, long: bool) -> float:
        """Count a granted call; return the calls in flight there before it."""
        self._views[view.target.target_id] = replace(
            view,
            own_in_flight=view.own_in_flight + 1,
            own_long_in_flight=view.own_long_in_flight + long,
            expected_in_flight=view.expected_in_flight + 1,
            burst_allowance=view.burst_allowance - 1,
        )
        return view.expected_in_flight

    def _list_healthy(self) -> list[TargetView]:
        return [view for view in self._views.values() if not view.ejected]

    def _fits(self, view: TargetView, queued: QueuedCall) -> bool:
        if view.target.target_id in queued.ticket.excluded:
            return False
        if view.ejected:
            return (
                view.half_open and view.own_in_flight == 0 and self._may_probe(queued)
            )
        common = max(1.0, view.limit * (1 - self._short_share))
        if queued.long:
            if view.own_in_flight < view.guaranteed and self._has_long_share():
                return True
            return view.expected_in_flight + 1 <= common and self._may_share(view)
        if view.own_in_flight < view.guaranteed:
            return True
        if view.expected_in_flight + 1 > max(1.0, view.limit) or not self._may_share(
            view
        ):
            return False
        if not self._long_queued or view.expected_in_flight + 1 <= common:
            return True
        reserved = max(1.0, view.limit * self._short_share)
        return view.own_in_flight - view.own_long_in_flight < reserved

    def _has_long_share(self) -> bool:
        """Whether a long call may use this instance's own share of the limits.

        A part of that share is reserved for short calls. It is counted over all
        targets: if the share is a single call at each of them, no part of it can be
        reserved per target.
        """
        healthy = self._list_healthy()
        own = sum(view.guaranteed for view in healthy) * (1 - self._short_share)
        return sum(view.own_long_in_flight for view in healthy) < max(1, int(own))

    def _may_share(self, view: TargetView) -> bool:
        """Whether this instance may use capacity beyond its own share."""
        return not self._contended or view.burst_allowance > 0

    def _may_probe(self, queued: QueuedCall) -> bool:
        """Whether a call may be used to probe an ejected target.

        Long calls may not, as they would take seconds on a target that is still
        slow; nor may calls that can't be retried on another target.
        """
        ticket = queued.ticket
        return ticket.repeatable and not ticket.retry and not queued.long

    def _find_probe(
        self, views: tuple[TargetView, ...], queued: QueuedCall, now: float
    ) -> TargetView | None:
        if now + PROBE_SLACK * queued.expected > queued.latest_start:
            return None
        return next((view for view in views if view.ejected), None)
