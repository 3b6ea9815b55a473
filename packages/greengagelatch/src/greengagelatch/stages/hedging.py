"""How long a call may stay without any answer before a second one is made."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ("HedgeRule", "choose_hedge_delay")


@dataclass(frozen=True, slots=True, kw_only=True)
class HedgeRule:
    """When a call that is still out gets a backup on another target."""

    #: multiple of the 95th percentile of the stage's durations
    factor: float = 2.0
    #: seconds below which no call counts as late
    floor: float = 0.05
    #: medians that must remain for a backup to be answered in time
    reserve: float = 1.5
    #: share of the stage's time to wait where no duration was measured yet
    unmeasured_share: float = 0.5


def choose_hedge_delay(
    rule: HedgeRule, *, median: float, late: float, remaining: float
) -> float | None:
    """Return the seconds after which to make a backup call; ``None``: make none.

    A connection that went silent swallows the call without an error, and waiting
    for the deadline would lose the request although other targets are idle. Giving
    the call up instead would lose every call of a stage that just became slower.

    :param median: measured 50th percentile of the stage in seconds, 0 if unknown
    :param late: measured 95th percentile, 0 if unknown
    :param remaining: seconds until the stage should be done
    """
    if late <= 0:
        return max(0.0, remaining) * rule.unmeasured_share
    usual = max(rule.floor, rule.factor * late)
    patience = min(usual, remaining - rule.reserve * median)
    # sooner than that, ordinary calls would be made twice
    if patience < late:
        return None
    return patience
