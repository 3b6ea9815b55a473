"""Observations of entry instances and the order in which they override each other."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from ..peers import MemberState

__all__ = ("Record", "Update", "decode_update", "encode_update")

#: Within one incarnation, a later state of this list overrides an earlier one. Leaving
#: comes last: it is an instance's own decision, which no later silence takes back.
_ORDER = (
    MemberState.ALIVE,
    MemberState.SUSPECT,
    MemberState.DEAD,
    MemberState.LEAVING,
)

_RANKS = {state: rank for rank, state in enumerate(_ORDER)}

#: seconds for which an instance must be dead before it can count as gone
GONE_AFTER = 5.0

MAX_TEXT = 255

MAX_INCARNATION = 2**53


@dataclass(frozen=True, slots=True, kw_only=True)
class Update:
    """An observation of one entry instance, as it is passed on.

    Observations are totally ordered by incarnation, then by state. As each
    instance keeps the highest, all come to the same view whatever the order in
    which they hear of things. Only an instance itself raises its incarnation.
    """

    instance_id: str
    #: zero stands for an instance known from the platform's list only
    incarnation: int
    state: MemberState
    #: empty where the sender does not know or need not say it
    data_centre: str = ""
    address: str = ""
    #: stage work that it can gather, as :attr:`Capacity.bundles` says; 0: not told
    capacity: int = 0

    def overrides(self, incarnation: int, state: MemberState) -> bool:
        """Whether this is newer than what an instance believes."""
        own = (self.incarnation, _RANKS[self.state])
        return own > (incarnation, _RANKS[state])


@dataclass(frozen=True, slots=True, kw_only=True)
class Record:
    """What this instance believes of another one."""

    instance_id: str
    data_centre: str
    address: str
    incarnation: int
    state: MemberState
    #: monotonic seconds at which it came into this state
    since: float
    #: whether the newest listing of the platform shows it
    listed: bool = False
    #: whether a listing showed it and a later one no longer does
    delisted: bool = False
    #: whether any listing showed it as leaving: that holds for its id for good, as
    #: a replacement has a new id, whatever it says itself
    listed_leaving: bool = False
    #: stage work that it can gather; 0: not told
    capacity: int = 0

    @property
    def confirmed(self) -> bool:
        """Whether any instance has met it; the list alone does not count."""
        return self.incarnation > 0

    def is_gone(self, now: float) -> bool:
        """Whether both its peers and the platform have given it up.

        A killed instance can't say that it leaves. While it is counted as a member
        out of reach, no change of the configuration is known to be in force
        everywhere. One that the list still shows, or never did, may be cut off and
        serving, so neither word is enough by itself.
        """
        dead = self.state is MemberState.DEAD
        return dead and self.delisted and now - self.since >= GONE_AFTER

    @property
    def update(self) -> Update:
        """This belief in the form in which it is passed on."""
        return Update(
            instance_id=self.instance_id,
            incarnation=self.incarnation,
            state=self.state,
            data_centre=self.data_centre,
            address=self.address,
            capacity=self.capacity,
        )


def encode_update(update: Update) -> tuple[Any, ...]:
    """Return an update as a short tuple for the wire.

    The address is left out where it is no longer needed, and a capacity that is not
    told.
    """
    head = (update.instance_id, update.incarnation, _RANKS[update.state])
    if update.state in (MemberState.DEAD, MemberState.LEAVING):
        return head
    row = (*head, update.data_centre, update.address)
    return (*row, update.capacity) if update.capacity else row


def decode_update(item: Any) -> Update | None:
    """Read what a peer sent; ``None`` if it makes no sense."""
    if not isinstance(item, tuple) or len(item) < 3:
        return None
    instance_id, incarnation, rank = item[:3]
    texts = (instance_id, *item[3:5])
    if not all(isinstance(text, str) and len(text) <= MAX_TEXT for text in texts):
        return None
    capacity = item[5] if len(item) > 5 else 0
    numbers = (incarnation, rank, capacity)
    if not all(type(number) is int for number in numbers) or not instance_id:
        return None
    if not 0 < incarnation <= MAX_INCARNATION or not 0 <= rank < len(_ORDER):
        return None
    if capacity < 0:
        return None
    return Update(
        instance_id=instance_id,
        incarnation=incarnation,
        state=_ORDER[rank],
        data_centre=item[3] if len(item) > 3 else "",
        address=item[4] if len(item) > 4 else "",
        capacity=capacity,
    )
