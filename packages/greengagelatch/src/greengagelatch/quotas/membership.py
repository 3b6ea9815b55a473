"""Instances that count for quota shares, including unreachable ones."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from ..peers import Member, MemberState
from . import digest_text

__all__ = ("CRASH_GRACE", "MembershipView", "MembershipTracker")

#: seconds for which the share of a crashed instance stays reserved
CRASH_GRACE = 15.0


@dataclass(frozen=True, slots=True)
class MembershipView:
    """Instances by state, as digests of their ids."""

    #: this instance included
    alive: frozenset[int]
    #: unreachable ones that may still use their shares
    reserved: frozenset[int] = frozenset()
    #: those that are leaving or have left, which can't be distinguished
    leaving: frozenset[int] = frozenset()


class MembershipTracker:
    """Distinguishes crashed instances from a partitioned data centre.

    Unreachable instances may still use their shares; if the others took these over,
    the quota would be exceeded. But the share of a crashed instance would be wasted
    while it stays reserved. A whole data centre that becomes unreachable is probably
    partitioned, so its shares stay reserved for ``hold`` seconds. A single instance
    whose neighbours still answer has crashed, as they would otherwise reach it; its
    share stays reserved only for as long as it takes to detect that the rest of its
    data centre is unreachable as well.
    """

    def __init__(self, own: str, hold: float) -> None:
        self._own = own
        self._hold = hold
        #: when instances were first seen dead
        self._since: dict[str, float] = {}

    def update(self, members: Iterable[Member], now: float) -> MembershipView:
        """Return the instances that count, by the present member states."""
        dead = []
        alive = {self._own}
        leaving = set()
        reachable_centres = set()
        for member in members:
            if member.state is MemberState.DEAD:
                dead.append(member)
                continue
            if member.state is MemberState.LEAVING:
                leaving.add(member.instance_id)
                continue
            alive.add(member.instance_id)
            reachable_centres.add(member.data_centre)
        self._since = {
            member.instance_id: self._since.get(member.instance_id, now)
            for member in dead
        }
        reserved = set()
        for member in dead:
            hold = (
                CRASH_GRACE if member.data_centre in reachable_centres else self._hold
            )
            if now - self._since[member.instance_id] < hold:
                reserved.add(digest_text(member.instance_id))
        return MembershipView(
            alive=frozenset(map(digest_text, alive)),
            reserved=frozenset(reserved),
            leaving=frozenset(map(digest_text, leaving - alive)),
        )
