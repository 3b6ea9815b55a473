"""Division of a quota into shares of the instances."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ("EVEN_FRACTION", "ShareInputs", "compute_fraction", "compute_share")

#: fraction of a quota that is split evenly, so that each instance can start
EVEN_FRACTION = 0.05


@dataclass(frozen=True, slots=True, kw_only=True)
class ShareInputs:
    """Inputs of an instance's share of one quota."""

    #: requests per second of the whole quota; 0 if it does not limit requests
    rate: float
    #: requests per second at this instance
    own: float
    #: the same at the other instances that count as alive
    others: float
    #: instances that count as alive, including this one
    alive: int
    #: unreachable instances whose shares are reserved for them
    reserved_count: int = 0
    #: sum of these shares
    reserved_share: float = 0.0
    #: whether the demand of this instance has not propagated to the others yet
    settling: bool = False


def compute_share(inputs: ShareInputs) -> float:
    """Return the share of the quota, between 0 and 1.

    With the same inputs everywhere, the shares of all instances add up to 1. Until
    this instance's demand has propagated, it takes at most the even share, so that
    instances that start together don't exceed the quota.
    """
    free = max(0.0, 1.0 - inputs.reserved_share)
    total = inputs.own + inputs.others
    fraction = compute_fraction(inputs.own, total, inputs.alive, free * inputs.rate)
    share = free * fraction
    if inputs.settling:
        share = min(share, 1.0 / (inputs.alive + inputs.reserved_count))
    return share


def compute_fraction(own: float, total: float, count: int, rate: float) -> float:
    """Return one instance's fraction of a rate that ``count`` instances divide.

    If the total demand fits, each gets its demand and the rest is split evenly:
    demand comes in bursts, and an instance without recent requests needs capacity
    for the next burst. Otherwise :data:`EVEN_FRACTION` is split evenly and the rest in
    proportion to demand.
    """
    if total <= 0:
        return 1.0 / count
    if total < (1 - EVEN_FRACTION) * rate:
        return own / rate + (1 - total / rate) / count
    return EVEN_FRACTION / count + (1 - EVEN_FRACTION) * own / total
