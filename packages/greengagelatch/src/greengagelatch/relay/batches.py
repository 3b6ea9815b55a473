"""Batching: which pieces share a call to a maker, and when the call is made."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass, field
from math import ceil
from typing import TYPE_CHECKING

from .bundle_orders import DeadlineOrder, WaitingBundle
from .local_makers import choose_maker, defer_to_local, moves_much

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .bundle_orders import BundleOrder
    from .deployment import MakerProfile
    from .incarnations import Incarnation
    from .pieces import Bundle, Piece

__all__ = (
    "BatchPolicy",
    "MakerView",
    "PlannedCall",
    "PerRequestBatching",
    "CrossRequestBatching",
    "estimate_rate",
    "find_infeasible",
)

#: seconds added to a bundle's urgency at a maker in another data centre than its inputs
REMOTE_PENALTY_SECONDS = 0.3
#: share of the makers' full throughput that estimates assume: calls are not always full
ASSUMED_UTILISATION = 0.8
#: lower bound on the slowness of a maker in estimates of throughput
MIN_SLOWNESS = 0.5
#: free memory that a maker must have before a bundle is split, as a multiple of the
#: size of the bundle's results
SPLIT_MEMORY_FACTOR = 2.0


@dataclass(frozen=True, slots=True, kw_only=True)
class MakerView:
    """State of one maker at the time of a decision."""

    incarnation: Incarnation
    data_centre: str
    #: monotonic time at which it is expected to accept another call
    free_at: float
    #: free memory for results
    free_bytes: float
    #: duration of its calls as a multiple of the profile's estimate
    slowness: float = 1.0


@dataclass(slots=True)
class PlannedCall:
    """A call to make now."""

    incarnation: Incarnation
    #: pieces in order, each with its bundle
    pieces: list[tuple[Bundle, Piece]] = field(default_factory=list)


class BatchPolicy(ABC):
    """Assigns waiting bundles to calls."""

    @abstractmethod
    def plan(
        self,
        bundles: list[tuple[Bundle, list[Piece]]],
        makers: list[MakerView],
        profile: MakerProfile,
        now: float,
    ) -> list[PlannedCall]:
        """Return the calls to make now.

        :param bundles: each with those of its pieces that are not in a call yet
        :param makers: all makers, including busy ones
        """


class CrossRequestBatching(BatchPolicy):
    """Batches pieces of several requests into one call, the most urgent ones first.

    A call has a high fixed cost and a low cost for each piece, so full calls make
    about twice as many pieces as calls for one request each. Under light load
    there are more idle makers than bundles, and each bundle has its own call; as
    load rises, bundles queue while makers are busy, and the calls grow.
    """

    def __init__(self, order: BundleOrder | None = None) -> None:
        self._order = order or DeadlineOrder()

    def plan(
        self,
        bundles: list[tuple[Bundle, list[Piece]]],
        makers: list[MakerView],
        profile: MakerProfile,
        now: float,
    ) -> list[PlannedCall]:
        idle = _list_eligible(makers, profile, now)
        calls = []
        call = _estimate_call(bundles, len(idle), profile)
        rate = estimate_rate(makers, profile)
        waiting = self._order.sort(bundles, profile, now, rate=rate, call=call)
        waiting = defer_to_local(waiting, idle, makers, profile, now)
        while waiting and idle:
            share = _count_share(waiting, len(idle), profile)
            maker = choose_maker(idle, waiting[0])
            idle.remove(maker)
            call = _fill(maker, _sort_for_maker(maker, waiting), share, profile)
            waiting = [one for one in waiting if one.left]
            if call.pieces:
                calls.append(call)
        return calls


class PerRequestBatching(BatchPolicy):
    """Makes one call for each bundle, first come first served; a baseline."""

    def plan(
        self,
        bundles: list[tuple[Bundle, list[Piece]]],
        makers: list[MakerView],
        profile: MakerProfile,
        now: float,
    ) -> list[PlannedCall]:
        calls = []
        idle = [maker for maker in makers if maker.free_at <= now]
        for bundle, left in bundles:
            if not idle:
                break
            if not left:
                continue
            waiting = [WaitingBundle(bundle, left)]
            call = _fill(idle.pop(0), waiting, profile.batch, profile)
            if call.pieces:
                calls.append(call)
        return calls


def _estimate_call(
    bundles: list[tuple[Bundle, list[Piece]]], makers: int, profile: MakerProfile
) -> float:
    """Return the seconds that a call takes if all waiting pieces are spread evenly."""
    pieces = sum(len(left) for _, left in bundles)
    share = ceil(pieces / max(1, makers))
    return profile.estimate_seconds(min(share, profile.batch))


def _sort_for_maker(
    maker: MakerView, waiting: list[WaitingBundle]
) -> list[WaitingBundle]:
    """Sort bundles for one maker, those with large inputs in its data centre first.

    Traffic between data centres is billed.
    """
    if not any(moves_much(one.bundle) for one in waiting):
        return waiting
    return sorted(waiting, key=lambda one: (one.tier, _find_urgency(one, maker)))


def _find_urgency(one: WaitingBundle, maker: MakerView) -> float:
    if moves_much(one.bundle) and one.bundle.data_centre != maker.data_centre:
        return one.urgency + REMOTE_PENALTY_SECONDS
    return one.urgency


def estimate_rate(makers: Iterable[MakerView], profile: MakerProfile) -> float:
    """Return the pieces that makers can be assumed to complete per second."""
    speed = sum(1 / max(one.slowness, MIN_SLOWNESS) for one in makers)
    rate = speed * profile.batch / profile.estimate_seconds(profile.batch)
    return rate * ASSUMED_UTILISATION


def find_infeasible(
    bundles: list[tuple[Bundle, list[Piece]]],
    makers: list[MakerView],
    profile: MakerProfile,
    now: float,
    order: BundleOrder | None = None,
) -> list[Bundle]:
    """Return the bundles that can't be made before their hard deadline.

    In a burst, or after a loss of makers, the queue can hold more work than the makers
    complete in several seconds. Bundles too far back are reported at once rather than
    at their deadline: a caller that is refused early still has time to retry, and
    such bundles would inflate the queue estimates that newer requests are judged by.
    """
    rate = estimate_rate(makers, profile)
    least = now + profile.estimate_seconds(1)
    infeasible = []
    before = 0
    for one in (order or DeadlineOrder()).sort(bundles, profile, now, rate=rate):
        count = len(one.left)
        call = profile.estimate_seconds(min(count, profile.batch))
        latest = one.bundle.hard_deadline
        if least > latest or now + before / rate + call > latest:
            infeasible.append(one.bundle)
            continue
        before += count
    return infeasible


def _list_eligible(
    makers: list[MakerView], profile: MakerProfile, now: float
) -> list[MakerView]:
    """Return the idle makers that would finish a call no later than a busy one.

    A maker that has become five times slower is often idle when work is assigned,
    but another maker that starts the call a moment later still finishes it sooner.
    """
    typical_call = profile.estimate_seconds(max(1, profile.batch // 2))
    earliest_end = min(
        (max(now, one.free_at) + typical_call * one.slowness for one in makers),
        default=0.0,
    )
    eligible = []
    for one in makers:
        if one.free_at > now:
            continue
        if now + typical_call * one.slowness > earliest_end + typical_call:
            continue
        eligible.append(one)
    return eligible


def _count_share(waiting: list[WaitingBundle], idle: int, profile: MakerProfile) -> int:
    pieces = sum(len(one.left) for one in waiting)
    return max(1, min(profile.batch, ceil(pieces / idle)))


def _fill(
    maker: MakerView, waiting: list[WaitingBundle], share: int, profile: MakerProfile
) -> PlannedCall:
    """Move pieces from ``waiting`` to one call, whole bundles if possible.

    The results of a partly made bundle occupy memory at the maker, unused until the
    other pieces are made. A bundle is split only if it exceeds any call, or if the
    maker has more free memory than this call could fill.
    """
    call = PlannedCall(maker.incarnation)
    free = maker.free_bytes
    for one in waiting:
        bundle, left = one.bundle, one.left
        if call.pieces and len(call.pieces) >= share:
            break
        fitting = profile.batch - len(call.pieces)
        if bundle.result_bytes > 0:
            fitting = min(fitting, int(free // bundle.result_bytes))
        if fitting < len(left) and not _may_split(bundle, left, call, free, profile):
            continue
        for _ in range(min(fitting, len(left))):
            free -= bundle.result_bytes
            call.pieces.append((bundle, left.pop(0)))
    return call


def _may_split(
    bundle: Bundle,
    left: list[Piece],
    call: PlannedCall,
    free: float,
    profile: MakerProfile,
) -> bool:
    if len(left) > profile.batch:
        return True
    if len(left) * bundle.result_bytes > profile.result_memory_bytes:
        return not call.pieces
    return free >= SPLIT_MEMORY_FACTOR * len(left) * bundle.result_bytes
