"""Choice of makers in the data centre where a bundle moves the fewest bytes."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .batches import MakerView
    from .bundle_orders import WaitingBundle
    from .deployment import MakerProfile
    from .pieces import Bundle

__all__ = (
    "LARGE_BYTES",
    "choose_maker",
    "defer_to_local",
    "find_latest_end",
    "moves_much",
)

#: bytes moved between data centres from which a bundle waits for a local maker
LARGE_BYTES = 500_000
#: longest time that a bundle waits for a local maker, in seconds; about as long as a
#: full call
MAX_LOCAL_WAIT_SECONDS = 0.45
#: share of the time until its soft deadline that a first stage may take with such a
#: wait: the later stages and the engine need the rest if they are slower than expected
FIRST_STAGE_SLACK_SHARE = 0.5
#: slowness up to which a bundle waits for a local maker
MAX_LOCAL_SLOWNESS = 1.5


def defer_to_local(
    waiting: list[WaitingBundle],
    idle: list[MakerView],
    makers: list[MakerView],
    profile: MakerProfile,
    now: float,
) -> list[WaitingBundle]:
    """Return the bundles to place now, without those that wait for a local maker.

    Traffic between data centres is billed, and every piece reads all inputs of its
    bundle. A bundle with large inputs waits for a maker in their data centre as long
    as the next call of that maker can include it and meet its soft deadline. The same
    holds for large results, which the engine reads.
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
            not moves_much(one.bundle)
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
    """Return whether a busy maker can finish ``count`` pieces by the soft deadline."""
    if (
        maker.free_at > now + MAX_LOCAL_WAIT_SECONDS
        or maker.slowness > MAX_LOCAL_SLOWNESS
    ):
        return False
    end = maker.free_at + profile.estimate_seconds(min(count, profile.batch))
    return end <= find_latest_end(bundle, now)


def moves_much(bundle: Bundle) -> bool:
    """Return whether inputs or results of a bundle are too large to be moved."""
    return bundle.moved_bytes >= LARGE_BYTES


def find_latest_end(bundle: Bundle, now: float) -> float:
    """Return by when a bundle that waits to be executed locally has to be done."""
    slack = bundle.soft_deadline - now
    if not bundle.begun:
        slack *= FIRST_STAGE_SLACK_SHARE
    return now + slack


def choose_maker(idle: list[MakerView], first: WaitingBundle) -> MakerView:
    """Return a maker: fast ones first, then local ones, then the most free memory.

    Large inputs or results keep a bundle local unless the makers there are slow.
    """
    data_centre = first.bundle.data_centre
    local = [one for one in idle if one.data_centre == data_centre]
    if moves_much(first.bundle):
        idle = [one for one in local if one.slowness <= MAX_LOCAL_SLOWNESS] or idle
    return min(
        idle,
        key=lambda one: (
            round(one.slowness, 1),
            one.data_centre != data_centre,
            -one.free_bytes,
        ),
    )
