"""Member records, and updates with their order of precedence and wire format."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from ..peers import MemberState

__all__ = ("MemberRecord", "MemberUpdate", "decode_update", "encode_update")

#: precedence of states within one incarnation, lowest first; leaving is the highest, as
#: it is the instance's own decision and must not be overridden by a failure to answer
_ORDER = (
    MemberState.ALIVE,
    MemberState.SUSPECT,
    MemberState.DEAD,
    MemberState.LEAVING,
)

_RANKS = {state: rank for rank, state in enumerate(_ORDER)}

#: seconds for which an instance must be dead before it can be considered gone
GONE_AFTER = 5.0

MAX_TEXT = 255

MAX_INCARNATION = 2**53


@dataclass(frozen=True, slots=True, kw_only=True)
class MemberUpdate:
    """State of one entry instance, as gossiped between instances.

    Updates are totally ordered by incarnation, then by state. Each instance keeps the
    highest update, so all views converge whatever the order in which updates arrive.
    Only an instance itself raises its incarnation.
    """

    instance_id: str
    #: 0 for an instance known from the platform's list only
    incarnation: int
    state: MemberState
    #: empty if unknown, or omitted because the state makes it unnecessary
    data_centre: str = ""
    address: str = ""
    #: bundles of stage calls that it can collect per second, as in
    #: :attr:`Capacity.bundles`; 0: unknown
    capacity: int = 0

    def overrides(self, incarnation: int, state: MemberState) -> bool:
        """Whether this update takes precedence over the given state."""
        own = (self.incarnation, _RANKS[self.state])
        return own > (incarnation, _RANKS[state])


@dataclass(frozen=True, slots=True, kw_only=True)
class MemberRecord:
    """Local record of another entry instance."""

    instance_id: str
    data_centre: str
    address: str
    incarnation: int
    state: MemberState
    #: monotonic seconds at which it entered this state
    since: float
    #: whether the platform's newest listing contains it
    listed: bool = False
    #: whether a listing contained it and a later one no longer does
    delisted: bool = False
    #: whether any listing showed it as leaving; this is permanent, as a replacement has
    #: a new id, and overrides what the instance itself announces
    listed_leaving: bool = False
    #: bundles of stage calls that it can collect per second; 0: unknown
    capacity: int = 0

    @property
    def confirmed(self) -> bool:
        """Whether any instance has had contact with it; being listed is not enough."""
        return self.incarnation > 0

    def is_gone(self, now: float) -> bool:
        """Whether it is dead for its peers and removed from the platform's list.

        A killed instance cannot announce that it leaves. While it counts as an
        unreachable member, no configuration change can be confirmed to be in force
        everywhere. An instance that is still listed, or never was, may be partitioned
        and still serving, so both conditions are required.
        """
        dead = self.state is MemberState.DEAD
        return dead and self.delisted and now - self.since >= GONE_AFTER

    @property
    def update(self) -> MemberUpdate:
        """This record as an update to gossip."""
        return MemberUpdate(
            instance_id=self.instance_id,
            incarnation=self.incarnation,
            state=self.state,
            data_centre=self.data_centre,
            address=self.address,
            capacity=self.capacity,
        )


def encode_update(update: MemberUpdate) -> tuple[Any, ...]:
    """Return an update in its wire format, a short tuple.

    Data centre, address and capacity are omitted for dead and leaving instances, an
    unknown capacity always.
    """
    head = (update.instance_id, update.incarnation, _RANKS[update.state])
    if update.state in (MemberState.DEAD, MemberState.LEAVING):
        return head
    row = (*head, update.data_centre, update.address)
    return (*row, update.capacity) if update.capacity else row


def decode_update(item: Any) -> MemberUpdate | None:
    """Parse an update from a peer; return ``None`` if it is invalid."""
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
    return MemberUpdate(
        instance_id=instance_id,
        incarnation=incarnation,
        state=_ORDER[rank],
        data_centre=item[3] if len(item) > 3 else "",
        address=item[4] if len(item) > 4 else "",
        capacity=capacity,
    )
