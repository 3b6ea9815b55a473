"""Makers of a service in groups, each with an owner, and which group makes what."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..targets.subset import compute_weight
from .batches import LARGE_INPUT_BYTES, is_late

if TYPE_CHECKING:
    import random
    from collections.abc import Collection, Mapping, Sequence

    from .deployment import MakerProfile
    from .pieces import Bundle
    from .queue_waits import QueueWait

__all__ = (
    "CapacityBasedOwnership",
    "PerDataCentreOwnership",
    "OwnershipPolicy",
    "GroupView",
    "MakerGroup",
    "ServiceView",
    "SingleOwnership",
    "choose_group",
    "estimate_load",
    "find_owning_data_centre",
)

#: makers for each data centre, on average, from which a service's makers are divided,
#: and below which they are put together again; apart, so that one maker that comes and
#: goes does not change all owners
PARTITION_FROM = 1.5
MERGE_BELOW = 1.0
#: share of the strongest instance's capacity below which they are put together again
MERGE_CAPACITY_SHARE = 0.5
#: pieces of a bundle, about
BUNDLE_PIECES = 5
#: seconds by which makers in another data centre must be sooner
REMOTE_PENALTY_SECONDS = 0.05
#: the same for a bundle whose inputs would cross data centres, which is paid for
LARGE_INPUT_PENALTY_SECONDS = 0.3
#: seconds by which a near queue must be longer than a far one for every bundle to go
#: there. All instances hear of the same queues, a moment late: were each to choose the
#: shorter one, it would be the longer one by then
CERTAIN_MOVE_SECONDS = 0.4


@dataclass(frozen=True, slots=True, order=True)
class MakerGroup:
    """Makers of one service that have one owner."""

    service: str
    #: where they are; empty: all makers of the service
    data_centre: str = ""

    def __str__(self) -> str:
        return (
            f"{self.service}/{self.data_centre}" if self.data_centre else self.service
        )


@dataclass(frozen=True, slots=True)
class GroupView:
    """A group, and what a piece would have before it there."""

    group: MakerGroup
    wait: QueueWait


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceView:
    """What the division of a service's makers depends on."""

    #: number of makers by the data centre whose instances may own them
    makers: Mapping[str, int]
    #: bundles that all of them could take in a second
    load: float
    #: bundles that the strongest instance could gather in a second; 0: not told
    capacity: int


class OwnershipPolicy(ABC):
    """Says whether the makers of a service have one owner, or one in each place."""

    @abstractmethod
    def is_partitioned(self, view: ServiceView, before: bool) -> bool:
        """Return whether makers are divided by data centre.

        :param before: whether they were
        """


class CapacityBasedOwnership(OwnershipPolicy):
    """Divides makers that could take more work than any instance could gather.

    One owner for all fills calls best and has the next idle maker sooner: bundles of
    three data centres wait for a third as long as those of one. But everything goes
    through its processor and link, so that where no instance is strong enough for
    all makers, each data centre has an owner.
    """

    def is_partitioned(self, view: ServiceView, before: bool) -> bool:
        if not view.capacity or len(view.makers) < 2:
            return False
        mean_makers = sum(view.makers.values()) / len(view.makers)
        if before:
            exceeds_capacity = view.load > view.capacity * MERGE_CAPACITY_SHARE
            return exceeds_capacity and mean_makers >= MERGE_BELOW
        return view.load > view.capacity and mean_makers >= PARTITION_FROM


class SingleOwnership(OwnershipPolicy):
    """One owner for all makers of a service; a baseline to compare with."""

    def is_partitioned(self, view: ServiceView, before: bool) -> bool:
        return False


class PerDataCentreOwnership(OwnershipPolicy):
    """An owner in each data centre that has makers; a baseline to compare with."""

    def is_partitioned(self, view: ServiceView, before: bool) -> bool:
        return len(view.makers) > 1


def estimate_load(profile: MakerProfile, makers: int) -> float:
    """Return the bundles that so many makers could take in a second."""
    rate = profile.batch / profile.estimate_seconds(profile.batch)
    return makers * rate / BUNDLE_PIECES


def find_owning_data_centre(data_centre: str, homes: Collection[str]) -> str:
    """Return the data centre whose instances own the makers of ``place``.

    Makers in a data centre without instances are owned from another one.
    """
    if data_centre in homes or not homes:
        return data_centre
    return min(homes, key=lambda one: (compute_weight(one, data_centre), one))


def choose_group(
    bundle: Bundle,
    views: Sequence[GroupView],
    profile: MakerProfile | None,
    now: float,
    random_source: random.Random,
) -> MakerGroup:
    """Return the group that should make a bundle: the near one, unless it is behind.

    Load pattern: a burst that falls on one data centre, or makers that are lost in
    one: the queue there grows while others are short.

    :param views: at least one
    """
    late = profile is not None and is_late(bundle, len(bundle.pieces), profile, now)
    local = next(
        (one for one in views if one.group.data_centre == bundle.data_centre), None
    )
    others = [one for one in views if one is not local]
    if local is None:
        return min(others, key=lambda one: _find_wait(one, late)).group
    if not others:
        return local.group
    moved = bundle.moved_bytes >= LARGE_INPUT_BYTES
    if moved and not late and _is_on_time(local, bundle, profile, now):
        return local.group
    best = min(others, key=lambda one: _find_wait(one, late))
    gap = _find_wait(local, late) - _find_wait(best, late)
    gap -= LARGE_INPUT_PENALTY_SECONDS if moved else REMOTE_PENALTY_SECONDS
    if random_source.random() * CERTAIN_MOVE_SECONDS < gap:
        return best.group
    return local.group


def _find_wait(view: GroupView, late: bool) -> float:
    return view.wait.total if late else view.wait.urgent


def _is_on_time(
    view: GroupView, bundle: Bundle, profile: MakerProfile | None, now: float
) -> bool:
    if profile is None:
        return True
    count = min(len(bundle.pieces), profile.batch)
    seconds = view.wait.estimate_stage(profile.estimate_seconds(count))
    return now + view.wait.urgent + seconds <= bundle.soft_deadline
