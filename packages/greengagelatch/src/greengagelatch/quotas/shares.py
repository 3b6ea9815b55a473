"""Which part of a quota an instance may use."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ("FLOOR", "ShareInputs", "compute_fraction", "compute_share")

#: part of a quota that is split evenly, so that each instance can begin
FLOOR = 0.05


@dataclass(frozen=True, slots=True, kw_only=True)
class ShareInputs:
    """What an instance's share of one quota depends on."""

    #: requests per second of the whole quota; 0: it limits something else
    rate: float
    #: requests per second asked here
    own: float
    #: the same at the other instances that are believed alive
    others: float
    #: instances believed alive, this one included
    alive: int
    #: those that are out of reach and whose shares are kept for them
    reserved_count: int = 0
    #: sum of these shares
    reserved_share: float = 0.0
    #: whether others can't have heard yet that the quota is used here
    settling: bool = False


def compute_share(facts: ShareInputs) -> float:
    """Return the part of the quota, between 0 and 1.

    With the same facts everywhere, the shares of all instances add up to 1. Until
    others can have heard of this one's demand it takes at most the even share:
    instances that begin together then use no more than the quota.
    """
    free = max(0.0, 1.0 - facts.reserved_share)
    total = facts.own + facts.others
    part = compute_fraction(facts.own, total, facts.alive, free * facts.rate)
    share = free * part
    if facts.settling:
        share = min(share, 1.0 / (facts.alive + facts.reserved_count))
    return share


def compute_fraction(own: float, total: float, count: int, rate: float) -> float:
    """Return one instance's part of a rate that ``count`` instances divide.

    Each gets what is asked of it, and what is left is split evenly: demand comes
    in bursts, and an instance that was not asked for a while has to have room for
    the next ones. Of more demand than there is, each gets its part, and of
    :data:`FLOOR` its even part.
    """
    if total <= 0:
        return 1.0 / count
    if total < (1 - FLOOR) * rate:
        return own / rate + (1 - total / rate) / count
    return FLOOR / count + (1 - FLOOR) * own / total
