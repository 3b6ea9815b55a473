"""Whose shares are kept although they are out of reach."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from ..peers import Member, MemberState
from . import digest_text

__all__ = ("CRASH_GRACE", "MembershipView", "MembershipTracker")

#: seconds for which the share of an instance is kept that went alone
CRASH_GRACE = 15.0


@dataclass(frozen=True, slots=True)
class MembershipView:
    """Instances, as digests of their ids."""

    #: this instance included
    alive: frozenset[int]
    #: those out of reach that may still use their shares
    reserved: frozenset[int] = frozenset()
    #: those that leave or have left, which is not told apart
    leaving: frozenset[int] = frozenset()


class MembershipTracker:
    """Tells crashed instances from a data centre that was cut off.

    Instances out of reach may go on using their shares, and an instance that took
    these over would overrun the quota together with them. But a crashed instance's
    share would be of use to nobody for as long. A whole data centre that falls
    silent at once is more likely cut off, so its shares are kept for ``hold``
    seconds; one instance whose neighbours still answer has crashed, or they would
    have reached it. Its share is kept only for as long as it takes to notice that
    the rest of its data centre is silent as well.
    """

    def __init__(self, own: str, hold: float) -> None:
        self._own = own
        self._hold = hold
        #: when instances were first seen dead
        self._since: dict[str, float] = {}

    def update(self, members: Iterable[Member], now: float) -> MembershipView:
        """Return who counts, given what is believed of the members now."""
        dead = []
        alive = {self._own}
        leaving = set()
        lively = set()
        for member in members:
            if member.state is MemberState.DEAD:
                dead.append(member)
                continue
            if member.state is MemberState.LEAVING:
                leaving.add(member.instance_id)
                continue
            alive.add(member.instance_id)
            lively.add(member.data_centre)
        self._since = {
            member.instance_id: self._since.get(member.instance_id, now)
            for member in dead
        }
        reserved = set()
        for member in dead:
            hold = CRASH_GRACE if member.data_centre in lively else self._hold
            if now - self._since[member.instance_id] < hold:
                reserved.add(digest_text(member.instance_id))
        return MembershipView(
            alive=frozenset(map(digest_text, alive)),
            reserved=frozenset(reserved),
            leaving=frozenset(map(digest_text, leaving - alive)),
        )
