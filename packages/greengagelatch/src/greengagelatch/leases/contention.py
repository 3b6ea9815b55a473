"""Which instances try to get a lease, so that few calls are made for it."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from ..claims.sharding import rank_instances
from ..peers import MemberState

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..peers import Member

__all__ = ("Wish", "choose_wish")

#: states in which a member is taken to be able to hold a lease; one that is only
#: suspected stays in, or every slow answer would move leases about
ABLE = frozenset({MemberState.ALIVE, MemberState.SUSPECT})


class Wish(Enum):
    """What an instance wants of one lease."""

    #: get it, and keep it
    HOLD = "hold"
    #: keep it if held; try for it now and then
    STAND_BY = "stand-by"
    #: give it up
    LET_GO = "let-go"


#: by the place in line; everyone behind lets go
_PLACES = (Wish.HOLD, Wish.STAND_BY)


def choose_wish(
    group: str, members: Iterable[Member], *, data_centre: str, instance_id: str
) -> Wish:
    """Return what ``instance_id`` wants of the lease of ``group``.

    Instances that see the same members agree on the line without a message; those
    that don't only cost a few calls, as the store decides who holds the lease. The
    second in line stands by because the first may reach its peers and not the store.
    A holder that becomes second stays, since each change of holder costs a wait.
    """
    able = {
        member.instance_id
        for member in members
        if member.data_centre == data_centre and member.state in ABLE
    }
    able.add(instance_id)
    line = rank_instances(f"lease {group}", able)
    place = line.index(instance_id)
    if place < len(_PLACES):
        return _PLACES[place]
    return Wish.LET_GO
