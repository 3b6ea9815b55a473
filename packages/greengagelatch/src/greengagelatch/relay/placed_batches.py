"""Batching of bundles that only the makers of some data centres may make."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .batches import BatchPolicy
from .regions import is_allowed

if TYPE_CHECKING:
    from .batches import MakerView, PlannedCall
    from .deployment import MakerProfile
    from .pieces import Bundle, Piece

__all__ = ("PlacedBatching",)


class PlacedBatching(BatchPolicy):
    """Applies a policy to each set of bundles with the same allowed data centres.

    Restricted bundles come first: the others may use the makers that are left.
    """

    def __init__(self, policy: BatchPolicy) -> None:
        self._policy = policy

    def plan(
        self,
        bundles: list[tuple[Bundle, list[Piece]]],
        makers: list[MakerView],
        profile: MakerProfile,
        now: float,
    ) -> list[PlannedCall]:
        placements = {bundle.data_centres for bundle, _ in bundles}
        if placements <= {None}:
            return self._policy.plan(bundles, makers, profile, now)
        calls: list[PlannedCall] = []
        for allowed in sorted(placements, key=_compute_sort_key):
            taken = {call.incarnation for call in calls}
            usable = [
                maker
                for maker in makers
                if is_allowed(maker.data_centre, allowed)
                and maker.incarnation not in taken
            ]
            chosen = [row for row in bundles if row[0].data_centres == allowed]
            calls += self._policy.plan(chosen, usable, profile, now)
        return calls


def _compute_sort_key(allowed: frozenset[str] | None) -> tuple[bool, list[str]]:
    return allowed is None, sorted(allowed or ())
