"""Which pieces share a call to a maker, and when the call is made."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass, field
from math import ceil
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .deployment import MakerProfile
    from .incarnations import Incarnation
    from .pieces import Bundle, Piece

__all__ = (
    "BatchPolicy",
    "MakerView",
    "PlannedCall",
    "PerRequestBatching",
    "CrossRequestBatching",
    "find_infeasible",
    "is_late",
)

#: seconds by which a bundle seems less urgent for each rank: enough to order bundles
#: that came together, too little to starve any
RANK_PENALTY_SECONDS = 0.8

#: bytes that a bundle moves from which it waits for a maker in the right place
LARGE_INPUT_BYTES = 500_000
#: seconds that it waits at the most; a full call takes about as long
MAX_LOCAL_WAIT_SECONDS = 0.45
#: slowness up to which a maker is waited for
MAX_LOCAL_SLOWNESS = 1.5
#: seconds by which a bundle seems less urgent to a maker far from its inputs
REMOTE_PENALTY_SECONDS = 0.3
#: seconds before a bundle's last moment at which it goes first: about a call. With
#: more, late bundles take the place of others that could still be on time
DEADLINE_MARGIN_SECONDS = 0.3
#: the same before what it reads lapses, which would be made again: a call and some
EXPIRY_MARGIN_SECONDS = 0.4
#: share of makers' full speed that is counted on: calls are not always full
ASSUMED_UTILISATION = 0.8
#: slowness of a maker that is counted at the least
MIN_SLOWNESS = 0.5
#: times a bundle's results that a maker must have room for before it is split
SPLIT_MEMORY_FACTOR = 2.0


@dataclass(frozen=True, slots=True, kw_only=True)
class MakerView:
    """One maker at the moment of a decision."""

    incarnation: Incarnation
    data_centre: str
    #: monotonic seconds at which it should be able to begin another call
    free_at: float
    #: bytes of results that it has room for
    free_bytes: float
    #: how long its calls take, as a multiple of what the profile says
    slowness: float = 1.0


@dataclass(slots=True)
class PlannedCall:
    """A call that is to be made now."""

    incarnation: Incarnation
    #: pieces in order, each with its bundle
    pieces: list[tuple[Bundle, Piece]] = field(default_factory=list)


class BatchPolicy(ABC):
    """Fills calls from the bundles that wait."""

    @abstractmethod
    def plan(
        self,
        bundles: list[tuple[Bundle, list[Piece]]],
        makers: list[MakerView],
        profile: MakerProfile,
        now: float,
    ) -> list[PlannedCall]:
        """Return the calls to make now.

        :param bundles: each with its pieces that are not yet being made
        :param makers: all makers, busy ones included
        """


class CrossRequestBatching(BatchPolicy):
    """Lets requests share calls, the most urgent ones first.

    A call has a high fixed cost and a low one for each piece, so full calls make
    about twice as many pieces as calls for one request each. Under light load
    there are more idle makers than bundles, and each bundle has its own call; as
    load rises, bundles wait while makers are busy, and calls fill up by themselves.
    """

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
        waiting = _defer_to_local(
            _sort_bundles(bundles, profile, now, call), idle, makers, profile, now
        )
        while waiting and idle:
            share = _count_share(waiting, len(idle), profile)
            maker = _choose_maker(idle, waiting[0].bundle)
            idle.remove(maker)
            call = _fill(maker, _sort_for_maker(maker, waiting), share, profile)
            waiting = [one for one in waiting if one.left]
            if call.pieces:
                calls.append(call)
        return calls


class PerRequestBatching(BatchPolicy):
    """One bundle a call, in the order of arrival; the baseline to compare with."""

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
            waiting = [_WaitingBundle(bundle, left)]
            call = _fill(idle.pop(0), waiting, profile.batch, profile)
            if call.pieces:
                calls.append(call)
        return calls


@dataclass(slots=True)
class _WaitingBundle:
    """A bundle that waits, and its place in the order."""

    bundle: Bundle
    #: pieces that are not yet being made
    left: list[Piece]
    late: bool = False
    urgency: float = 0.0

    @property
    def has_large_inputs(self) -> bool:
        """Whether it is best made in one place."""
        return self.bundle.moved_bytes >= LARGE_INPUT_BYTES


def _estimate_call(
    bundles: list[tuple[Bundle, list[Piece]]], makers: int, profile: MakerProfile
) -> float:
    """Return the seconds that a call takes if makers share all that waits."""
    pieces = sum(len(left) for _, left in bundles)
    share = ceil(pieces / max(1, makers))
    return profile.estimate_seconds(min(share, profile.batch))


def _sort_bundles(
    bundles: list[tuple[Bundle, list[Piece]]],
    profile: MakerProfile,
    now: float,
    call: float = 0.0,
) -> list[_WaitingBundle]:
    """Order bundles: those that can still meet their aim, then by urgency.

    One that can't meet its aim any more has lost most of its worth; let it wait
    for those that have not, up to its last chance: what was made for it is not to be
    thrown away, and few such are begun.

    :param call: seconds that the next calls take, as requests share them
    """
    waiting = []
    for bundle, left in bundles:
        if not left:
            continue
        late = is_late(bundle, len(left), profile, now, call)
        urgency = bundle.soft_deadline + bundle.rank * RANK_PENALTY_SECONDS
        if late and now > _find_promotion_time(bundle):
            late, urgency = False, now
        waiting.append(_WaitingBundle(bundle, left, late, urgency))
    waiting.sort(key=lambda one: (one.late, one.urgency))
    return waiting


def _find_promotion_time(bundle: Bundle) -> float:
    return min(
        bundle.hard_deadline - DEADLINE_MARGIN_SECONDS,
        bundle.inputs_expire_at - EXPIRY_MARGIN_SECONDS,
    )


def _sort_for_maker(
    maker: MakerView, waiting: list[_WaitingBundle]
) -> list[_WaitingBundle]:
    """Put bundles that move much first at a maker in the right place.

    What crosses data centres is paid for.
    """
    if not any(one.has_large_inputs for one in waiting):
        return waiting
    return sorted(waiting, key=lambda one: (one.late, _find_urgency(one, maker)))


def _find_urgency(one: _WaitingBundle, maker: MakerView) -> float:
    if one.has_large_inputs and one.bundle.data_centre != maker.data_centre:
        return one.urgency + REMOTE_PENALTY_SECONDS
    return one.urgency


def is_late(
    bundle: Bundle, count: int, profile: MakerProfile, now: float, call: float = 0.0
) -> bool:
    """Whether a bundle's request can't meet its objective any more.

    :param call: seconds that a call takes that other requests share
    """
    alone = profile.estimate_seconds(min(count, profile.batch))
    return now + max(alone, call) > bundle.soft_deadline


def find_infeasible(
    bundles: list[tuple[Bundle, list[Piece]]],
    makers: list[MakerView],
    profile: MakerProfile,
    now: float,
) -> list[Bundle]:
    """Return the bundles that can't be made by their last moment.

    Load pattern: a burst, or lost makers, of more than can be made for seconds.
    Those behind too much are found out at once and not at their last moment: their
    callers would hear of it when there is no time left to come back, and until then
    they would make the queue seem longer to newcomers.
    """
    speed = sum(1 / max(one.slowness, MIN_SLOWNESS) for one in makers)
    rate = speed * profile.batch / profile.estimate_seconds(profile.batch)
    rate *= ASSUMED_UTILISATION
    least = now + profile.estimate_seconds(1)
    infeasible = []
    before = 0
    for one in _sort_bundles(bundles, profile, now):
        count = len(one.left)
        call = profile.estimate_seconds(min(count, profile.batch))
        latest = one.bundle.hard_deadline
        if least > latest or now + before / rate + call > latest:
            infeasible.append(one.bundle)
            continue
        before += count
    return infeasible


def _defer_to_local(
    waiting: list[_WaitingBundle],
    idle: list[MakerView],
    makers: list[MakerView],
    profile: MakerProfile,
    now: float,
) -> list[_WaitingBundle]:
    """Return the bundles to place now, without those that wait for a near maker.

    What crosses data centres is paid for, and every piece reads all of its bundle's
    inputs. A bundle that reads much waits for a maker beside them as long as that
    one can take it with its next call, in time for the request's objective.
    """
    idle_data_centres = {one.data_centre for one in idle}
    makers_by_data_centre: dict[str, list[MakerView]] = {}
    for maker in makers:
        makers_by_data_centre.setdefault(maker.data_centre, []).append(maker)
    deferred: dict[str, int] = {}
    ready = []
    for one in waiting:
        data_centre = one.bundle.data_centre
        local_makers = makers_by_data_centre.get(data_centre, [])
        count = deferred.get(data_centre, 0) + len(one.left)
        if (
            not one.has_large_inputs
            or data_centre in idle_data_centres
            or count > profile.batch * len(local_makers)
            or not any(
                _is_available_soon(maker, one.bundle, count, profile, now)
                for maker in local_makers
            )
        ):
            ready.append(one)
            continue
        deferred[data_centre] = count
    return ready


def _is_available_soon(
    maker: MakerView, bundle: Bundle, count: int, profile: MakerProfile, now: float
) -> bool:
    """Whether a busy maker will be done with ``count`` pieces in time."""
    if (
        maker.free_at > now + MAX_LOCAL_WAIT_SECONDS
        or maker.slowness > MAX_LOCAL_SLOWNESS
    ):
        return False
    end = maker.free_at + profile.estimate_seconds(min(count, profile.batch))
    return end <= bundle.soft_deadline


def _list_eligible(
    makers: list[MakerView], profile: MakerProfile, now: float
) -> list[MakerView]:
    """Return the idle makers that end a call before any other one could.

    A maker that has become five times slower is idle more often than not to the
    eye of a late binding; work sent to it would be late, though another maker could
    have begun a moment later and still ended sooner.
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


def _count_share(
    waiting: list[_WaitingBundle], idle: int, profile: MakerProfile
) -> int:
    pieces = sum(len(one.left) for one in waiting)
    return max(1, min(profile.batch, ceil(pieces / idle)))


def _choose_maker(idle: list[MakerView], bundle: Bundle) -> MakerView:
    """Prefer fast makers, then near ones, then those with the most room."""
    return min(
        idle,
        key=lambda one: (
            round(one.slowness, 1),
            one.data_centre != bundle.data_centre,
            -one.free_bytes,
        ),
    )


def _fill(
    maker: MakerView, waiting: list[_WaitingBundle], share: int, profile: MakerProfile
) -> PlannedCall:
    """Take pieces off ``waiting`` for one call, whole bundles if possible.

    A bundle of which only some pieces are made holds room at its maker for nothing
    until the others are. It is split only where it would not fit any call, or where
    the maker has room for more than this call could fill.
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
