"""Selection of the instances that try to acquire a lease."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from ..claims.sharding import rank_instances
from ..peers import MemberState

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..peers import Member

__all__ = ("LeaseIntent", "choose_intent")

#: states of members that may hold a lease; suspected members are included, as otherwise
#: every slow answer would move leases between instances
ELIGIBLE_STATES = frozenset({MemberState.ALIVE, MemberState.SUSPECT})


class LeaseIntent(Enum):
    """What an instance intends to do with one lease."""

    #: acquire and renew it
    HOLD = "hold"
    #: renew it if held, otherwise try to acquire it at a lower rate
    STAND_BY = "stand-by"
    #: release it if held, and do not try to acquire it
    RELEASE = "let-go"


#: intents of the first instances in rank order; all others intend to release
_INTENTS_BY_RANK = (LeaseIntent.HOLD, LeaseIntent.STAND_BY)


def choose_intent(
    group: str, members: Iterable[Member], *, data_centre: str, instance_id: str
) -> LeaseIntent:
    """Return what ``instance_id`` intends to do with the lease of ``group``.

    Only the highest-ranked instances contend, which limits the calls to the store.
    Instances with the same view of the members compute the same ranking without
    exchanging messages. Different views only cost a few extra calls, as the store
    decides who holds the lease. The second-ranked instance stands by in case the first
    can reach its peers but not the store. A holder that becomes second keeps the
    lease, since each new holder has to wait for the actions of the former one.
    """
    eligible = {
        member.instance_id
        for member in members
        if member.data_centre == data_centre and member.state in ELIGIBLE_STATES
    }
    eligible.add(instance_id)
    ranking = rank_instances(f"lease {group}", eligible)
    rank = ranking.index(instance_id)
    if rank < len(_INTENTS_BY_RANK):
        return _INTENTS_BY_RANK[rank]
    return LeaseIntent.RELEASE
