"""Which part of a quota an instance may use."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ("FLOOR", "ShareFacts", "compute_share")

#: part of a quota that is split evenly, so that each instance can begin
FLOOR = 0.05


@dataclass(frozen=True, slots=True, kw_only=True)
class ShareFacts:
    """What an instance's share of one quota depends on."""

    #: requests per second asked here
    own: float
    #: the same at the other instances that are believed alive
    others: float
    #: instances believed alive, this one included
    alive: int
    #: those that are out of reach and whose shares are kept for them
    kept: int = 0
    #: sum of these shares
    kept_share: float = 0.0
    #: whether others can't have heard yet that the quota is used here
    young: bool = False


def compute_share(facts: ShareFacts) -> float:
    """Return the part of the quota, between 0 and 1.

    With the same facts everywhere, the shares of all instances add up to 1. Until
    others can have heard of this one's demand it takes at most the even share:
    instances that begin together then use no more than the quota.
    """
    free = max(0.0, 1.0 - facts.kept_share)
    total = facts.own + facts.others
    part = facts.own / total if total > 0 else 1.0 / facts.alive
    share = free * (FLOOR / facts.alive + (1 - FLOOR) * part)
    if facts.young:
        share = min(share, 1.0 / (facts.alive + facts.kept))
    return share
