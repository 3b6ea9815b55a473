"""Groups of makers, each with one owner, and the choice of a group for a bundle."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..targets.subset import compute_weight
from .bundle_orders import is_late
from .local_makers import LARGE_BYTES, find_latest_end

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

#: average number of makers for each data centre from which a service's makers are
#: partitioned, and below which they are merged again; the hysteresis keeps one maker
#: that leaves and returns from changing all owners
PARTITION_FROM = 1.5
MERGE_BELOW = 1.0
#: share of the largest instance's capacity below which they are merged again
MERGE_CAPACITY_SHARE = 0.5
#: typical number of pieces in a bundle
BUNDLE_PIECES = 5
#: seconds by which the queue in another data centre must be shorter to be chosen
REMOTE_PENALTY_SECONDS = 0.05
#: the same for a bundle with large inputs, as traffic between data centres is billed
LARGE_INPUT_PENALTY_SECONDS = 0.3
#: seconds by which the local queue must be longer than a remote one for every bundle
#: to go there. All instances see the same queue lengths with a delay: if each chose the
#: shorter queue, that queue would become the longer one
CERTAIN_MOVE_SECONDS = 0.4


@dataclass(frozen=True, slots=True, order=True)
class MakerGroup:
    """Makers of one service that share an owner."""

    service: str
    #: data centre of the makers; empty: all makers of the service
    data_centre: str = ""

    def __str__(self) -> str:
        return (
            f"{self.service}/{self.data_centre}" if self.data_centre else self.service
        )


@dataclass(frozen=True, slots=True)
class GroupView:
    """A group and the wait in its queue."""

    group: MakerGroup
    wait: QueueWait


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceView:
    """What the ownership of a service's makers depends on."""

    #: number of makers by the data centre whose instances may own them
    makers: Mapping[str, int]
    #: bundles that all makers together can process per second
    load: float
    #: bundles that the largest instance can process per second; 0: unknown
    capacity: int


class OwnershipPolicy(ABC):
    """Decides whether a service has one owner or one in each data centre."""

    @abstractmethod
    def is_partitioned(self, view: ServiceView, before: bool) -> bool:
        """Return whether makers are partitioned by data centre.

        :param before: whether they are at present
        """


class CapacityBasedOwnership(OwnershipPolicy):
    """Partitions makers whose throughput exceeds the capacity of any single owner.

    A single owner fills calls best and finds an idle maker sooner: bundles of three
    data centres wait a third as long as those of one. But all work passes through its
    processor and link, so that each data centre gets its own owner where no instance
    has the capacity for all makers.
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
    """One owner for all makers of a service; a baseline for comparisons."""

    def is_partitioned(self, view: ServiceView, before: bool) -> bool:
        return False


class PerDataCentreOwnership(OwnershipPolicy):
    """One owner in each data centre that has makers; a baseline for comparisons."""

    def is_partitioned(self, view: ServiceView, before: bool) -> bool:
        return len(view.makers) > 1


def estimate_load(profile: MakerProfile, makers: int) -> float:
    """Return the bundles that a number of makers can process per second."""
    rate = profile.batch / profile.estimate_seconds(profile.batch)
    return makers * rate / BUNDLE_PIECES


def find_owning_data_centre(data_centre: str, homes: Collection[str]) -> str:
    """Return the data centre whose instances own the makers of a data centre.

    Makers in a data centre without instances are owned from another one.

    :param homes: data centres that have instances
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
    """Return the group for a bundle: the local one, unless its queue is too long.

    A burst in one data centre, or a loss of makers there, makes its queue grow while
    the queues of others stay short.

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
    moved = bundle.moved_bytes >= LARGE_BYTES
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
    return now + view.wait.urgent + seconds <= find_latest_end(bundle, now)
