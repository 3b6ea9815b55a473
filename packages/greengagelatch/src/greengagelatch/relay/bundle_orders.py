"""Order in which waiting bundles are made."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .deployment import MakerProfile
    from .pieces import Bundle, Piece

__all__ = (
    "BundleOrder",
    "DeadlineOrder",
    "WaitingBundle",
    "estimate_call",
    "find_promotion_time",
    "is_late",
    "list_waiting",
)

#: seconds added to a bundle's soft deadline for each priority rank: enough to order
#: bundles that arrive together, too little to starve any
RANK_PENALTY_SECONDS = 0.8
#: seconds before its hard deadline at which a late bundle is put first: about the time
#: of a call. With more, late bundles displace others that could still be on time
DEADLINE_MARGIN_SECONDS = 0.3
#: the same before its inputs expire, which would have to be made again: a little more
#: than the time of a call, in seconds
EXPIRY_MARGIN_SECONDS = 0.4


@dataclass(slots=True)
class WaitingBundle:
    """A waiting bundle with its sort keys."""

    bundle: Bundle
    #: pieces that are not in a call yet
    left: list[Piece]
    #: bundles of a lower tier go first; 0: those that should be on time
    tier: float = 0.0
    urgency: float = 0.0
    #: whether it is put first although it is late
    promoted: bool = False


class BundleOrder(ABC):
    """Decides which of the waiting bundles goes first."""

    @abstractmethod
    def sort(
        self,
        bundles: Iterable[tuple[Bundle, list[Piece]]],
        profile: MakerProfile,
        now: float,
        *,
        rate: float,
        call: float = 0.0,
    ) -> list[WaitingBundle]:
        """Return the bundles that have pieces left, sorted by tier and urgency.

        :param rate: pieces that the makers complete per second
        :param call: seconds that the next shared call takes
        """

    @property
    def by_rank(self) -> bool:
        """Whether less urgent bundles yield to more urgent ones."""
        return False


class DeadlineOrder(BundleOrder):
    """Puts bundles that can still meet the soft deadline first, by urgency.

    A late bundle has lost most of its value, so it yields to those that are on time.
    Shortly before its hard deadline, or before its inputs expire, it is put first:
    the work already done for its request should not be wasted, and admission control
    lets few late requests in.
    """

    def sort(
        self,
        bundles: Iterable[tuple[Bundle, list[Piece]]],
        profile: MakerProfile,
        now: float,
        *,
        rate: float,
        call: float = 0.0,
    ) -> list[WaitingBundle]:
        waiting = list_waiting(bundles, profile, now, call)
        waiting.sort(key=lambda one: (one.tier, one.urgency))
        return waiting


def is_late(
    bundle: Bundle, count: int, profile: MakerProfile, now: float, call: float = 0.0
) -> bool:
    """Return whether a bundle can't meet its soft deadline any more.

    :param call: seconds that a call shared with other requests takes
    """
    return now + estimate_call(count, profile, call) > bundle.soft_deadline


def find_promotion_time(bundle: Bundle) -> float:
    """Return the time from which a late bundle is put first."""
    return min(
        bundle.hard_deadline - DEADLINE_MARGIN_SECONDS,
        bundle.inputs_expire_at - EXPIRY_MARGIN_SECONDS,
    )


def estimate_call(count: int, profile: MakerProfile, call: float) -> float:
    """Return the seconds of a call with ``count`` pieces of a bundle.

    :param call: seconds that a call shared with other requests takes
    """
    return max(profile.estimate_seconds(min(count, profile.batch)), call)


def list_waiting(
    bundles: Iterable[tuple[Bundle, list[Piece]]],
    profile: MakerProfile,
    now: float,
    call: float,
) -> list[WaitingBundle]:
    """Return the bundles that have pieces left, with their sort keys."""
    waiting = []
    for bundle, left in bundles:
        if not left:
            continue
        one = WaitingBundle(bundle, left)
        one.urgency = bundle.soft_deadline + bundle.rank * RANK_PENALTY_SECONDS
        if is_late(bundle, len(left), profile, now, call):
            one.tier = 1.0
            if now > find_promotion_time(bundle):
                one.tier, one.urgency, one.promoted = 0.0, now, True
        waiting.append(one)
    return waiting
